"""Costs at the target size, worked out of the measured slopes."""

import math
from collections.abc import Collection
from typing import Final, NamedTuple, final

from capacity import target
from capacity.decisions import PUSHED_KEYS
from capacity.slopes import Results
from peridotrill.snapshots import SnapshotSettings

_US: Final = 1e6
# Bytes of a payload become this many in the JSON of a page (base64).
_BASE64: Final = 4 / 3
_TEAM_NAME_BYTES: Final = 10
_PROBE_DELAY_S: Final = 0.02
# Teams in each file of the measurement of whole configurations.
_FILE_TEAMS: Final = 100
# Heartbeat with the other fields of its batch.
_HEARTBEAT_BYTES: Final = 35


class Cost(NamedTuple):
    """Cost of one duty of a process."""

    messages_per_s: float = 0
    bytes_per_s: float = 0
    cores: float = 0
    memory_bytes: float = 0

    def plus(self, other: 'Cost') -> 'Cost':
        """Return the sum."""
        return Cost(*(one + two for one, two in zip(self, other, strict=True)))


class RecordFlow(NamedTuple):
    """Records of one kind in the log."""

    kind: str
    per_s: float
    record_bytes: float
    fold_us: float

    @property
    def bytes_per_s(self) -> float:
        """Return bytes per second as appended."""
        return self.per_s * self.record_bytes


@final
class Costs:  # noqa: WPS214
    """Costs of the duties under one plan."""

    def __init__(self, results: Results, plan: target.Plan) -> None:
        """:param results: measured slopes."""
        self.plan = plan
        self._results = results
        self._slope = results.per_unit

    def entry_links(self) -> Cost:
        """Idle links of an entry, with heartbeats and load reports."""
        return self._links('entry_links', self.plan.links_per_entry)

    def agent_links(self) -> Cost:
        """Idle links of an agent."""
        entries = self.plan.links_per_entry * target.NODES / target.TARGETS
        return self._links('agent_links', entries)

    def prefixes(self, links: float) -> Cost:
        """Cached prefixes in the load reports of links."""
        per_report = self.plan.prefixes_per_report * self._slope(
            'load_report_bytes',
            'bytes',
        )
        rate = links * self.plan.reports_per_s
        return Cost(bytes_per_s=rate * per_report)

    def hello_bytes(self) -> float:
        """Bytes of Hello on one connection."""
        return self._hello(self.plan.hello_entries, self.plan.hello_homes)

    def announced_bytes(self) -> float:
        """Bytes that an entry sends on all links when a list has changed."""
        changed = self._hello(
            self.plan.changed_entries,
            self.plan.changed_homes,
        )
        return self.plan.links_per_entry * changed

    def placement_us(self) -> float:
        """Processor time of an entry for one changed set of home targets."""
        keys = _keys_kept(target.NODES) / target.MODELS
        homes = target.TARGETS / target.MODELS
        if self.plan.indexes_homes:
            # Measured with the targets of a service, by number of targets.
            each_us = self._results.at(
                'targets',
                'home_cpu_us',
                target.TARGETS,
            )
            return keys * each_us
        push_us = self._results.at('key_push', 'cpu_us', homes)
        return self.plan.links_per_entry * push_us * keys / PUSHED_KEYS

    def announcing(self) -> Cost:
        """Changes of the entries and of the home targets, over a day."""
        nodes = target.NODES + target.TARGETS
        changes = 2 * target.RESTARTS_PER_DAY
        moved = changes * target.TARGETS / nodes
        return Cost(
            changes * self.plan.links_per_entry / target.DAY_S,
            changes * self.announced_bytes() / target.DAY_S,
            moved * self.placement_us() / _US / target.DAY_S,
        )

    def connect_us(self) -> float:
        """Processor time of an entry to set up one link."""
        return self._slope('entry_links', 'connect_cpu_us')

    def teams_per_flush(self) -> float:
        """Distinct teams in the counts of one writer, teams equally busy."""
        requests = target.REQUESTS_PER_S / self.plan.usage_writers
        share = requests * self.plan.usage_flush_s / target.TEAMS
        return target.TEAMS * (1 - math.exp(-share))

    def usage_rows_per_s(self) -> float:
        """Rows of teams that all writers append per second."""
        writes = self.plan.usage_writers / self.plan.usage_flush_s
        return writes * self.teams_per_flush()

    def usage_row_bytes(self) -> float:
        """Resident bytes of a row of counts."""
        return self._slope('fold_usage_counted', 'resident_bytes')

    def flows(self) -> list[RecordFlow]:
        """All records that are appended to the log."""
        rows = self.teams_per_flush()
        row_bytes = self._slope('fold_usage_counted', 'bytes')
        row_us = self._slope('fold_usage_counted', 'cpu_us')
        writes = self.plan.usage_writers / self.plan.usage_flush_s
        acknowledged = target.TEAMS * _TEAM_NAME_BYTES
        flows = [
            self._flow('entry_renewed', target.NODES / self.plan.renewal_s),
            self._flow(
                'lease_renewed',
                target.LEASES / self.plan.lease_renewal_s,
            ),
            RecordFlow(
                'usage_counted', writes, rows * row_bytes, rows * row_us
            ),
            RecordFlow('usage_acknowledged', 1 / 60, acknowledged, 0),
            self._config_flow(),
            self._flow(
                'entry_registered',
                target.RESTARTS_PER_DAY / target.DAY_S,
            ),
        ]
        return [*flows, self._snapshot_flow(flows)]

    def appends_per_s(self) -> float:
        """Appends of all processes together."""
        return sum(flow.per_s for flow in self.flows())

    def reads_per_s(self) -> float:
        """Reads of the log by one entry."""
        appends = self.appends_per_s()
        if self.plan.read_pause_s:
            return min(appends, 1 / self.plan.read_pause_s)
        # A read that takes longer than the next append returns more records.
        return min(appends, _US / self._read_us())

    def log_reads(self) -> Cost:
        """Reads of the log at one entry, without the records."""
        reads = self.reads_per_s()
        read_bytes = self._results.slope('log_read', 'received_bytes').fixed
        return Cost(
            reads,
            reads * (max(0, read_bytes) + target.HTTP_REQUEST_BYTES),
            reads * self._read_us() / _US,
        )

    def record_reading(self, kinds: Collection[str]) -> Cost:
        """Reading and folding records at one entry.

        :param kinds: kinds of the records.
        """
        record_us = self._slope('log_read', 'cpu_us')
        renewal_bytes = self._slope('fold_entry_renewed', 'bytes') * _BASE64
        row_bytes = self._slope('log_read', 'received_bytes') - renewal_bytes
        flows = [flow for flow in self.flows() if flow.kind in kinds]
        return Cost(
            bytes_per_s=sum(
                flow.per_s * row_bytes + flow.bytes_per_s * _BASE64
                for flow in flows
            ),
            cores=sum(flow.per_s * (record_us + flow.fold_us) for flow in flows)
            / _US,
        )

    def log_reading(self) -> Cost:
        """Reading and folding the whole log at one entry."""
        kinds = [flow.kind for flow in self.flows()]
        return self.log_reads().plus(self.record_reading(kinds))

    def appending(self) -> Cost:
        """Appends of one serving entry: its renewal and its usage."""
        rate = 1 / self.plan.renewal_s
        used = self._slope('log_append', 'cpu_us')
        sent = rate * 100
        writes = 1 / self.plan.usage_flush_s
        row_bytes = self._slope('fold_usage_counted', 'bytes')
        sent += writes * self._teams_of_entry() * row_bytes
        rate += writes
        sent += rate * target.HTTP_REQUEST_BYTES
        return Cost(rate, sent, rate * used / _US)

    def vm_list(self) -> Cost:
        """Polls of the list of VMs."""
        rows = target.NODES + target.TARGETS
        rate = 1 / self.plan.vm_poll_s
        received = self._results.slope('vm_list', 'received_bytes').at(rows)
        used = self._results.slope('vm_list', 'cpu_us').at(rows)
        return Cost(rate, rate * received, rate * used / _US)

    def config(self) -> Cost:
        """Configuration changes, with the files in force."""
        rate = target.CHANGES_PER_DAY / target.DAY_S
        per_team = self._slope('config_whole', 'resident_bytes') / _FILE_TEAMS
        # Parsing one file needs memory that is used again for the next.
        parsing = self._results.slope('config_change', 'resident_bytes')
        held = target.MODELS * target.TEAMS * per_team
        return Cost(
            cores=rate * self.config_us() / _US,
            memory_bytes=held + parsing.at(target.TEAMS),
        )

    def target_table(self) -> Cost:
        """State of all targets."""
        return self._state('targets', target.TARGETS)

    def team_limits(self) -> Cost:
        """Buckets of all teams for all models."""
        return self._state('team_limits', target.TEAMS * target.MODELS)

    def forwarded_keys(self) -> Cost:
        """Records of keys that an entry sent in the retention time."""
        return self._state('forwarded_keys', _keys_kept(target.NODES))

    def ledger(self) -> Cost:
        """Keys that an agent keeps for the retention time."""
        return self._state('ledger_keys', _keys_kept(target.TARGETS))

    def decisions(self) -> Cost:
        """Choosing targets at one entry; not control work."""
        rate = target.REQUESTS_PER_S / target.NODES
        size = target.TARGETS
        if self.plan.indexed_targets:
            size = self.plan.links_per_entry
        used = self._results.at('targets', 'choose_cpu_us', size)
        used += self._results.at('targets', 'candidates_cpu_us', size)
        return Cost(rate, 0, rate * used / _US)

    def config_us(self) -> float:
        """Processor time of one change at an entry."""
        slope = self._results.slope('config_change', 'cpu_us')
        return slope.at(target.TEAMS)

    def config_loop_us(self) -> float:
        """Time for which one change occupies the event loop of an entry."""
        if not self.plan.parses_in_thread:
            return self.config_us()
        return self._results.at(
            'config_change',
            'parsed_before_cpu_us',
            target.TEAMS,
        )

    def config_bytes(self) -> float:
        """Bytes of one change: a file that lists every team."""
        slope = self._results.slope('config_change', 'bytes')
        return slope.at(target.TEAMS)

    def keys(self) -> Cost:
        """Table of keys."""
        return self._state(
            'fold_key_granted',
            target.TEAMS * target.KEYS_PER_TEAM,
        )

    def entries(self) -> Cost:
        """Registered entries."""
        return self._state('fold_entry_registered', target.NODES)

    def lease_table(self) -> Cost:
        """Leases."""
        return self._state('fold_lease_claimed', target.LEASES)

    def usage_counts(self) -> Cost:
        """Counts that are kept to recognise repeated records."""
        teams = self._teams_per_window()
        return self._state('fold_usage_counted', self.plan.kept_counts * teams)

    def usage_figures(self) -> Cost:
        """Figures of closed windows, which the counts come on top of."""
        both = self._slope('usage_windows', 'resident_bytes')
        counts = target.TEAMS * self._slope(
            'fold_usage_counted',
            'resident_bytes',
        )
        return Cost(
            memory_bytes=self.plan.kept_windows * max(0, both - counts),
        )

    def holding_leases(self) -> Cost:
        """Renewals by the process that holds most leases."""
        rate = self.plan.held_leases / self.plan.lease_renewal_s
        used = rate * self._slope('log_append', 'cpu_us')
        return Cost(rate, rate * 300, used / _US)

    def collecting(self) -> Cost:
        """Counts that the writer of a zone receives from other entries."""
        senders = target.NODES / self.plan.usage_writers
        if senders == 1:
            return Cost()
        rate = senders / self.plan.usage_flush_s
        row_bytes = self._slope('fold_usage_counted', 'bytes')
        row_us = self._slope('fold_usage_counted', 'cpu_us')
        rows = rate * self._teams_of_entry()
        rate_us = rate * self._slope('log_append', 'cpu_us')
        return Cost(
            rate,
            rows * row_bytes + rate * target.HTTP_REQUEST_BYTES,
            (rows * row_us + rate_us) / _US,
            target.TEAMS * self.usage_row_bytes(),
        )

    def reporting(self) -> Cost:
        """Usage reports of all teams once in each window of 60 s."""
        rate = target.TEAMS / 60 / self.plan.usage_reporters
        used = rate * self._slope('log_append', 'cpu_us')
        return Cost(rate, rate * 450, used / _US)

    def snapshots(self) -> Cost:
        """Writing snapshots, at their holder."""
        flow = self.flows()[-1]
        written = flow.bytes_per_s
        usage_us = self._slope('snapshot_usage', 'write_cpu_us')
        per_byte_us = usage_us / self._slope('snapshot_usage', 'bytes')
        return Cost(flow.per_s, written, written * per_byte_us / _US)

    def snapshot_bytes(self) -> float:
        """Bytes of one snapshot."""
        rows = self.plan.kept_counts * self._teams_per_window()
        rows += self.plan.kept_windows * target.TEAMS
        keys = target.TEAMS * target.KEYS_PER_TEAM
        return (
            rows * self._slope('snapshot_usage', 'bytes')
            + keys * self._slope('snapshot_keys', 'bytes')
            + target.MODELS * self.config_bytes()
        )

    def requests(self) -> Cost:
        """Requests of one entry, over its links; not control work."""
        rate = target.REQUESTS_PER_S / target.NODES
        return Cost(
            rate * 5,
            rate * self._traffic('requests'),
            rate * self._slope('requests', 'cpu_us_per_s') / _US,
        )

    def chunks(self) -> Cost:
        """Answer chunks of one entry, one token each; not control work."""
        rate = target.TOKENS_PER_S / target.NODES
        batches = self.chunk_batches_per_s()
        chunk_us = self._slope('bunched_chunks', 'cpu_us_per_s')
        chunk_bytes = self._slope('bunched_chunks', 'received_bytes_per_s')
        return Cost(
            batches,
            rate * chunk_bytes + batches * target.BATCH_OVERHEAD_BYTES,
            (rate * chunk_us + batches * self.batch_us()) / _US,
        )

    def chunk_batches_per_s(self) -> float:
        """Batches with chunks that an entry receives, with their probes."""
        links = self.plan.links_per_entry
        rate = target.TOKENS_PER_S / target.NODES / links
        batches = rate / (1 + rate * self.plan.flush_s)
        probes = batches * math.exp(-batches * _PROBE_DELAY_S)
        return links * (batches + probes)

    def batch_us(self) -> float:
        """Processor time of an entry per received batch."""
        chunk_us = self._slope('bunched_chunks', 'cpu_us_per_s')
        spread_us = self._slope('spread_chunks', 'cpu_us_per_s')
        batches = self._slope('spread_chunks', 'received_batches_per_s')
        return max(0, spread_us - chunk_us) / batches

    def _read_us(self) -> float:
        return max(1, self._results.slope('log_read', 'cpu_us').fixed)

    def _hello(self, entries: float, homes: float) -> float:
        per_home = self._slope('hello_home_bytes', 'bytes')
        per_entry = self._slope('hello_bytes', 'bytes')
        fixed = self._results.slope('hello_bytes', 'bytes').fixed
        return fixed + entries * per_entry + homes * per_home

    def _teams_of_entry(self) -> float:
        requests = target.REQUESTS_PER_S / target.NODES
        share = requests * self.plan.usage_flush_s / target.TEAMS
        return target.TEAMS * (1 - math.exp(-share))

    def _teams_per_window(self) -> float:
        requests = target.REQUESTS_PER_S / self.plan.usage_writers
        return target.TEAMS * (1 - math.exp(-requests * 60 / target.TEAMS))

    def _flow(self, kind: str, per_s: float) -> RecordFlow:
        name = f'fold_{kind}'
        return RecordFlow(
            kind,
            per_s,
            self._slope(name, 'bytes'),
            self._slope(name, 'cpu_us'),
        )

    def _config_flow(self) -> RecordFlow:
        rate = target.CHANGES_PER_DAY / target.DAY_S
        return RecordFlow(
            'config_published',
            rate,
            self.config_bytes(),
            0,
        )

    def _snapshot_flow(self, flows: list[RecordFlow]) -> RecordFlow:
        interval_s = self.plan.snapshot_s
        if not interval_s:
            settings = SnapshotSettings()
            records_s = settings.interval_records / sum(
                flow.per_s for flow in flows
            )
            interval_s = min(
                settings.interval.total_seconds(),
                max(settings.min_interval.total_seconds(), records_s),
            )
        part_bytes = 512 * 1024
        parts = math.ceil(self.snapshot_bytes() / part_bytes)
        size_bytes = self.snapshot_bytes() / parts
        return RecordFlow('snapshot_part', parts / interval_s, size_bytes, 0)

    def _state(self, name: str, size: float) -> Cost:
        per_unit = self._slope(name, 'resident_bytes')
        return Cost(memory_bytes=size * per_unit)

    def _links(self, name: str, links: float) -> Cost:
        memory = links * self._slope(name, 'resident_bytes')
        measured = self._batches(name)
        batch_us = self._slope(name, 'cpu_us_per_s') / measured
        batches, payload = self.plan.batches_per_s, self._proposed_payload()
        if not batches:
            batches, payload = measured, self._payload(name)
        link_bytes = payload + batches * target.BATCH_OVERHEAD_BYTES
        return Cost(
            links * batches,
            links * link_bytes,
            links * batches * batch_us / _US,
            memory,
        )

    def _batches(self, name: str) -> float:
        sent = self._slope(name, 'sent_batches_per_s')
        return sent + self._slope(name, 'received_batches_per_s')

    def _payload(self, name: str) -> float:
        sent = self._slope(name, 'sent_bytes_per_s')
        return sent + self._slope(name, 'received_bytes_per_s')

    def _traffic(self, name: str) -> float:
        overhead = self._batches(name) * target.BATCH_OVERHEAD_BYTES
        return self._payload(name) + overhead

    def _proposed_payload(self) -> float:
        report = self._results.slope('load_report_bytes', 'bytes').fixed
        beats = 2 * self.plan.heartbeats_per_s * _HEARTBEAT_BYTES
        return beats + self.plan.reports_per_s * report


def _keys_kept(processes: int) -> float:
    requests = target.REQUESTS_PER_S * target.PLAIN_SHARE / processes
    return requests * target.RETENTION_S
