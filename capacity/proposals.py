"""Table of proposed changes, with their expected figures."""

from collections.abc import Callable
from typing import Final, NamedTuple

from capacity import scale
from capacity.costs import Costs
from capacity.formatting import (
    format_number,
    format_percent,
    format_scaled,
    format_table,
)
from capacity.results import Results
from capacity.tables import tables


class Proposal(NamedTuple):
    """A proposed change and the figure that it affects."""

    modules: str
    change: str
    figure: str
    render: Callable[[Costs], str]


def _links(costs: Costs) -> str:
    cost = costs.entry_links()
    return f'{format_percent(cost.cores)}, {format_scaled(cost.bytes_per_s)}/s'


def _log_rate(costs: Costs) -> str:
    kinds = ('entry_renewed', 'lease_renewed')
    rate = sum(flow.per_s for flow in costs.flows() if flow.kind in kinds)
    return f'{rate:.1f}/s'


def _usage_reading(costs: Costs) -> str:
    cost = costs.record_processing(('usage_counted',))
    return f'{format_scaled(cost.bytes_per_s)}/s'


def _snapshot_reading(costs: Costs) -> str:
    cost = costs.record_processing(('snapshot_part',))
    return f'{format_scaled(cost.bytes_per_s)}/s'


# Numbers of the proposals that are implemented.
_IMPLEMENTED: Final = frozenset((6, 7, 11, 12))
_PARTLY_IMPLEMENTED: Final = frozenset((1, 3, 4, 8, 9))

_PROPOSALS: Final = (
    Proposal(
        '`target_links`',
        'Link to three targets of each service, the first three by '
        'rendezvous of the entry id, and dial the home target of a key when '
        'it is needed; and on a link without attempts send a heartbeat '
        'every 2 s (silent after 8 s), put the load report into the same '
        'batch every 2 s, and acknowledge batches that hold nothing else '
        'with the next heartbeat, without a probe (`channel`, `agent`)',
        'idle links of an entry',
        _links,
    ),
    Proposal(
        '`engine_client`, `agent`',
        'Report the prefixes stored and evicted since the last report '
        'instead of all; the whole list after a new connection',
        'prefixes received by an entry',
        lambda costs: '{0}/s'.format(
            format_scaled(
                costs.prefixes(costs.plan.links_per_entry).bytes_per_s
            ),
        ),
    ),
    Proposal(
        '`log_client`',
        'In `LogFollower.run` wait 2 s after a page with records; a lease '
        'that is due needs its own record, so `leases` renews at a third of '
        'a longer time to live (30 s)',
        'core for reads of the log',
        lambda costs: format_percent(costs.read_requests().cores),
    ),
    Proposal(
        '`registration`, `leases`',
        'Renew registrations every 120 s (expired after 6 minutes and not '
        'on the VM list) and leases of services and zones every 10 s',
        'appends of both',
        _log_rate,
    ),
    Proposal(
        '`usage`, control port',
        'Entries hand their counts to the holder of the lease '
        '`usage/<zone>`, which appends one record per window; grows with '
        'teams × zones instead of requests. A larger change, not inside one '
        'module',
        'usage counts read by every entry',
        _usage_reading,
    ),
    Proposal(
        '`usage_windows`, `usage`',
        'Append differences instead of sums, in the order of `sequence`, '
        'and repeat an append of unknown outcome before the next one; the '
        'fold takes only the sequence after the last one of an incarnation, '
        'and keeps one number per incarnation',
        'memory of counts kept',
        lambda costs: format_scaled(costs.usage_counts().memory_bytes),
    ),
    Proposal(
        '`usage_windows`',
        'Set `KEPT_WINDOWS` to 10 once differences are in use',
        'memory of figures',
        lambda costs: format_scaled(costs.usage_figures().memory_bytes),
    ),
    Proposal(
        '`snapshots`',
        'Write a snapshot every half of the retention of the log, or when '
        'the records since the last one have ten times its bytes, instead '
        'of every 2,000 records',
        'snapshots read by every entry',
        _snapshot_reading,
    ),
    Proposal(
        '`target_links`',
        'Poll the VM list at an interval of its size divided by 1.7 KB/s, '
        'at least 1 s; leaving targets announce themselves on their links',
        'VM list',
        lambda costs: f'{format_scaled(costs.vm_list().bytes_per_s)}/s',
    ),
    Proposal(
        '`messages`, `entry`, `ledger_recovery`',
        'Leave the lists out of `Hello`: `Welcome` names the offset whose '
        'lists the agent holds, and the entry sends what has changed since '
        '(all of it to a new agent, and only the placements of its '
        'service); on an existing connection send only the entry or the '
        'target that changed',
        'bytes from each entry when one entry registers',
        lambda costs: format_scaled(costs.announcement_bytes()),
    ),
    Proposal(
        '`forwarded_keys`, `target_links`',
        'In `announce_placements` work out the home of each record of the '
        'changed service once, and push to each home its group, instead of '
        'going through all records and all homes for each link',
        'event loop occupied by one changed set of home targets',
        lambda costs: f'{format_number(costs.placement_change_us() / 1e6)} s',
    ),
    Proposal(
        '`registration`',
        'Only the live entry that rendezvous assigns to the lost one '
        'appends `entry_expired`; the next one if it has not after 10 s',
        'appends after the loss of a zone of 70 entries',
        lambda costs: format_number(
            scale.NODES
            // scale.ZONES
            * min(
                scale.NODES - scale.NODES // scale.ZONES,
                costs.plan.expiry_writers,
            ),
        ),
    ),
    Proposal(
        '`usage`, `leases`',
        'One lease `usage/<zone>` for the teams of a share, and no second '
        'claim by a process that already holds two leases while others wait',
        'core for reports and renewals of one holder',
        lambda costs: format_percent(
            costs.usage_reporting().plus(costs.lease_renewals()).cores,
        ),
    ),
    Proposal(
        '`log_client`, `services`',
        'Before applying a `config_published` record call '
        '`read_service_file` for its files in a worker thread; the fold '
        'then finds them in the cache of parsed files',
        'event loop occupied by a change of 1,100 teams',
        lambda costs: f'{format_number(costs.config_loop_us() / 1000)} ms',
    ),
    Proposal(
        '`channel`',
        'Set `FLUSH_INTERVAL` to 10 ms, of 55 ms allowed between tokens; '
        'needs proposal 1, without which tokens do not share batches',
        'core for answer chunks (requests, not control)',
        lambda costs: format_percent(costs.chunks().cores),
    ),
    Proposal(
        '`targets`',
        'Keep the targets by service, so that `candidates` builds the views '
        'of one service only, and drop those that are not linked first',
        'core for choosing targets (requests, not control)',
        lambda costs: format_percent(costs.decisions().cores),
    ),
)


@tables.register('proposals')
def render_proposals(results: Results) -> str:
    """Render all proposals."""
    built, proposed = (Costs(results, plan) for plan in scale.PLANS)
    rows = [
        (
            str(number),
            row.modules,
            row.change,
            row.figure,
            row.render(built),
            row.render(proposed),
            _status(number),
        )
        for number, row in enumerate(_PROPOSALS, start=1)
    ]
    return format_table(
        'no. | module | change | figure | as built | expected | state',
        rows,
    )


def _status(number: int) -> str:
    if number in _IMPLEMENTED:
        return 'made'
    return 'partly made' if number in _PARTLY_IMPLEMENTED else 'open'
