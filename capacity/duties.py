"""Process roles, and the duties that each role pays for."""

from collections.abc import Callable
from typing import Final, NamedTuple

from capacity import scale
from capacity.costs import Cost, Costs
from capacity.results import Results

_DutyCost = Callable[[Costs, Results], Cost]
# Request and response of one poll of a target by its agent.
_POLL_BYTES: Final = 900


class Duty(NamedTuple):
    """One task of a role, shown as a table row.

    ``carrier`` names the modules that do the work, ``state`` what they keep
    in memory for it.
    """

    title: str
    carrier: str
    state: str
    cost: _DutyCost


class Role(NamedTuple):
    """A process role and its duties."""

    name: str
    duties: tuple[Duty, ...]


def _process_memory(program: str) -> _DutyCost:
    def cost(_costs: Costs, results: Results) -> Cost:
        return Cost(memory_bytes=results.mean(program, 'resident_bytes'))

    return cost


def _load_polls(costs: Costs, results: Results) -> Cost:
    # An agent polls the load and the cache events. Each HTTP request is
    # counted with the measured cost of an append.
    rate = 2 * costs.plan.reports_per_s
    used_us = results.per_unit('log_append', 'cpu_us')
    return Cost(rate, rate * _POLL_BYTES, rate * used_us / 1e6)


def _agent_prefixes(costs: Costs, _results: Results) -> Cost:
    links = costs.plan.links_per_entry * scale.NODES / scale.TARGETS
    return costs.prefixes(links)


def _serving_duties(costs: Costs, results: Results) -> Cost:
    total = Cost()
    for duty in ENTRY.duties:
        total = total.plus(duty.cost(costs, results))
    return total


_OTHER_RECORDS: Final = (
    'entry_renewed',
    'lease_renewed',
    'usage_acknowledged',
    'config_published',
    'entry_registered',
)

ENTRY: Final = Role(
    'entry node, serving (control work)',
    (
        Duty(
            'process with its libraries',
            'entry_main',
            'none',
            _process_memory('start_entry'),
        ),
        Duty(
            'idle links: heartbeats, load reports, acknowledgements',
            'link, channel',
            'connections',
            lambda costs, _results: costs.entry_links(),
        ),
        Duty(
            'cached prefixes in load reports',
            'messages, routing',
            'last report of each target',
            lambda costs, _results: costs.prefixes(costs.plan.links_per_entry),
        ),
        Duty(
            'reads of the log, without the records',
            'log_client',
            'offset',
            lambda costs, _results: costs.read_requests(),
        ),
        Duty(
            'reading and folding usage counts',
            'log_client, usage_windows',
            'see below',
            lambda costs, _results: costs.record_processing(('usage_counted',)),
        ),
        Duty(
            'reading snapshots',
            'log_client',
            'none',
            lambda costs, _results: costs.record_processing(('snapshot_part',)),
        ),
        Duty(
            'reading and folding all other records',
            'log_client, control_state',
            'see below',
            lambda costs, _results: costs.record_processing(_OTHER_RECORDS),
        ),
        Duty(
            'own renewals and usage counts',
            'registration, usage',
            'counts of two windows',
            lambda costs, _results: costs.own_appends(),
        ),
        Duty(
            'VM list',
            'target_links, targets',
            'none',
            lambda costs, _results: costs.vm_list(),
        ),
        Duty(
            'targets with their last report',
            'targets, routing',
            'row per target',
            lambda costs, _results: costs.target_table(),
        ),
        Duty(
            'announcing changed entries and home targets (320 a day)',
            'entry, target_links, forwarded_keys',
            'none',
            lambda costs, _results: costs.announcements(),
        ),
        Duty(
            'limits of teams',
            'limits',
            'bucket per team and service',
            lambda costs, _results: costs.team_limits(),
        ),
        Duty(
            'forwarded-key records',
            'forwarded_keys',
            'row per key in the retention time',
            lambda costs, _results: costs.forwarded_keys(),
        ),
        Duty(
            'configuration',
            'services, catalog',
            'files in force',
            lambda costs, _results: costs.config(),
        ),
        Duty(
            'keys',
            'keys',
            'digests',
            lambda costs, _results: costs.keys(),
        ),
        Duty(
            'registered entries',
            'control_state',
            'entries',
            lambda costs, _results: costs.entries(),
        ),
        Duty(
            'lease table',
            'control_state',
            'leases',
            lambda costs, _results: costs.lease_table(),
        ),
        Duty(
            'usage counts kept against repetition',
            'usage_windows',
            'row per window, entry and team',
            lambda costs, _results: costs.usage_counts(),
        ),
        Duty(
            'usage figures',
            'usage_windows',
            'row per window and team',
            lambda costs, _results: costs.usage_figures(),
        ),
    ),
)
HOLDER: Final = Role(
    'entry node holding control leases',
    (
        Duty(
            'serving, as above',
            'see above',
            'see above',
            _serving_duties,
        ),
        Duty(
            'renewing the leases',
            'leases',
            'none',
            lambda costs, _results: costs.lease_renewals(),
        ),
        Duty(
            'usage counts of its zone (only with the proposals)',
            'usage',
            'counts of one window',
            lambda costs, _results: costs.usage_collection(),
        ),
        Duty(
            'usage reports to the platform',
            'usage',
            'none',
            lambda costs, _results: costs.usage_reporting(),
        ),
        Duty(
            'writing snapshots',
            'snapshots',
            'encoded state',
            lambda costs, _results: costs.snapshots(),
        ),
    ),
)
AGENT: Final = Role(
    'agent (control work)',
    (
        Duty(
            'process with its libraries',
            'agent_main',
            'none',
            _process_memory('start_agent'),
        ),
        Duty(
            'idle links: heartbeats, load reports, acknowledgements',
            'link_listener, channel',
            'connections',
            lambda costs, _results: costs.agent_links(),
        ),
        Duty(
            'cached prefixes in load reports',
            'messages',
            'newest prefixes',
            _agent_prefixes,
        ),
        Duty(
            'polls of the load of its target',
            'engine_client, plain_client',
            'last report',
            _load_polls,
        ),
        Duty(
            'ledger of idempotency keys',
            'ledger',
            'row per key in the retention time, with its answer',
            lambda costs, _results: costs.ledger(),
        ),
    ),
)
ROLES: Final = (ENTRY, HOLDER, AGENT)
