"""Costs at the target scale, extrapolated from the measurements."""

import math
from collections.abc import Collection
from typing import Final, NamedTuple, final

from capacity import scale
from capacity.decisions import PUSHED_KEYS
from capacity.results import Results
from peridotrill.snapshots import SnapshotSettings

_US_PER_S: Final = 1e6
# Base64 expands the payloads in the JSON of a log page by this ratio.
_BASE64_RATIO: Final = 4 / 3
_TEAM_NAME_BYTES: Final = 10
_PROBE_DELAY_S: Final = 0.02
# Teams per service file in the ``config_whole`` measurement.
_TEAMS_PER_FILE: Final = 100
# Heartbeat, including the other fields of its batch.
_HEARTBEAT_BYTES: Final = 35


class Cost(NamedTuple):
    """Resource use of one duty of a process."""

    messages_per_s: float = 0
    bytes_per_s: float = 0
    cores: float = 0
    memory_bytes: float = 0

    def plus(self, other: 'Cost') -> 'Cost':
        """Return the sum."""
        return Cost(*(one + two for one, two in zip(self, other, strict=True)))


class RecordFlow(NamedTuple):
    """Rate and cost of one kind of record in the log."""

    kind: str
    per_s: float
    record_bytes: float
    fold_us: float

    @property
    def bytes_per_s(self) -> float:
        """Return the appended bytes per second."""
        return self.per_s * self.record_bytes


@final
class Costs:  # noqa: WPS214
    """Costs of the duties under one plan."""

    def __init__(self, results: Results, plan: scale.Plan) -> None:
        """:param results: measurements to extrapolate from."""
        self.plan = plan
        self._results = results
        self._per_unit = results.per_unit

    def entry_links(self) -> Cost:
        """Idle links of an entry, with heartbeats and load reports."""
        return self._idle_links('entry_links', self.plan.links_per_entry)

    def agent_links(self) -> Cost:
        """Idle links of an agent."""
        entries = self.plan.links_per_entry * scale.NODES / scale.TARGETS
        return self._idle_links('agent_links', entries)

    def prefixes(self, links: float) -> Cost:
        """Cached prefixes in the load reports on this many links."""
        per_report = self.plan.prefixes_per_report * self._per_unit(
            'load_report_bytes',
            'bytes',
        )
        rate = links * self.plan.reports_per_s
        return Cost(bytes_per_s=rate * per_report)

    def hello_bytes(self) -> float:
        """Size of the Hello message on a new connection."""
        return self._hello_size_bytes(
            self.plan.hello_entries, self.plan.hello_homes
        )

    def announcement_bytes(self) -> float:
        """Bytes that an entry sends on all links after one list changes."""
        changed = self._hello_size_bytes(
            self.plan.changed_entries,
            self.plan.changed_homes,
        )
        return self.plan.links_per_entry * changed

    def placement_change_us(self) -> float:
        """CPU time of an entry for one change of a set of home targets."""
        keys = _retained_keys(scale.NODES) / scale.MODELS
        homes = scale.TARGETS / scale.MODELS
        if self.plan.indexes_homes:
            # Measured over the targets of one service; the size counts the
            # targets of all services.
            each_us = self._results.at(
                'targets',
                'home_cpu_us',
                scale.TARGETS,
            )
            return keys * each_us
        push_us = self._results.at('key_push', 'cpu_us', homes)
        return self.plan.links_per_entry * push_us * keys / PUSHED_KEYS

    def announcements(self) -> Cost:
        """Announcing changed entries and home targets, averaged over a day."""
        nodes = scale.NODES + scale.TARGETS
        changes = 2 * scale.RESTARTS_PER_DAY
        moved = changes * scale.TARGETS / nodes
        return Cost(
            changes * self.plan.links_per_entry / scale.DAY_S,
            changes * self.announcement_bytes() / scale.DAY_S,
            moved * self.placement_change_us() / _US_PER_S / scale.DAY_S,
        )

    def connect_us(self) -> float:
        """CPU time of an entry to set up one link."""
        return self._per_unit('entry_links', 'connect_cpu_us')

    def teams_per_flush(self) -> float:
        """Expected number of distinct teams in one flush of one writer.

        Assumes that all teams send requests at the same rate.
        """
        requests = scale.REQUESTS_PER_S / self.plan.usage_writers
        share = requests * self.plan.usage_flush_interval_s / scale.TEAMS
        return scale.TEAMS * (1 - math.exp(-share))

    def usage_rows_per_s(self) -> float:
        """Usage rows, one per team, that all writers append per second."""
        writes = self.plan.usage_writers / self.plan.usage_flush_interval_s
        return writes * self.teams_per_flush()

    def usage_row_bytes(self) -> float:
        """Resident memory of one row of usage counts."""
        return self._per_unit('fold_usage_counted', 'resident_bytes')

    def flows(self) -> list[RecordFlow]:
        """Return the flow of each kind of record appended to the log."""
        rows = self.teams_per_flush()
        row_bytes = self._per_unit('fold_usage_counted', 'bytes')
        row_us = self._per_unit('fold_usage_counted', 'cpu_us')
        writes = self.plan.usage_writers / self.plan.usage_flush_interval_s
        acknowledged = scale.TEAMS * _TEAM_NAME_BYTES
        flows = [
            self._flow(
                'entry_renewed', scale.NODES / self.plan.renewal_interval_s
            ),
            self._flow(
                'lease_renewed',
                scale.LEASES / self.plan.lease_renewal_interval_s,
            ),
            RecordFlow(
                'usage_counted', writes, rows * row_bytes, rows * row_us
            ),
            RecordFlow('usage_acknowledged', 1 / 60, acknowledged, 0),
            self._config_flow(),
            self._flow(
                'entry_registered',
                scale.RESTARTS_PER_DAY / scale.DAY_S,
            ),
        ]
        return [*flows, self._snapshot_flow(flows)]

    def appends_per_s(self) -> float:
        """Appends per second of all processes together."""
        return sum(flow.per_s for flow in self.flows())

    def reads_per_s(self) -> float:
        """Reads of the log per second by one entry."""
        appends = self.appends_per_s()
        if self.plan.read_pause_s:
            return min(appends, 1 / self.plan.read_pause_s)
        # Records appended during a slow read are returned together.
        return min(appends, _US_PER_S / self._read_us())

    def read_requests(self) -> Cost:
        """Log reads by one entry, excluding the cost of the records."""
        reads = self.reads_per_s()
        read_bytes = self._results.linear_fit(
            'log_read', 'received_bytes'
        ).fixed
        return Cost(
            reads,
            reads * (max(0, read_bytes) + scale.HTTP_REQUEST_BYTES),
            reads * self._read_us() / _US_PER_S,
        )

    def record_processing(self, kinds: Collection[str]) -> Cost:
        """Receiving and applying records at one entry.

        :param kinds: kinds of records to include.
        """
        record_us = self._per_unit('log_read', 'cpu_us')
        renewal_bytes = (
            self._per_unit('fold_entry_renewed', 'bytes') * _BASE64_RATIO
        )
        row_bytes = self._per_unit('log_read', 'received_bytes') - renewal_bytes
        flows = [flow for flow in self.flows() if flow.kind in kinds]
        return Cost(
            bytes_per_s=sum(
                flow.per_s * row_bytes + flow.bytes_per_s * _BASE64_RATIO
                for flow in flows
            ),
            cores=sum(flow.per_s * (record_us + flow.fold_us) for flow in flows)
            / _US_PER_S,
        )

    def log_processing(self) -> Cost:
        """Reading and applying the whole log at one entry."""
        kinds = [flow.kind for flow in self.flows()]
        return self.read_requests().plus(self.record_processing(kinds))

    def own_appends(self) -> Cost:
        """Appends by one serving entry: its renewals and usage counts."""
        rate = 1 / self.plan.renewal_interval_s
        used_us = self._per_unit('log_append', 'cpu_us')
        sent = rate * 100
        writes = 1 / self.plan.usage_flush_interval_s
        row_bytes = self._per_unit('fold_usage_counted', 'bytes')
        sent += writes * self._teams_per_entry_flush() * row_bytes
        rate += writes
        sent += rate * scale.HTTP_REQUEST_BYTES
        return Cost(rate, sent, rate * used_us / _US_PER_S)

    def vm_list(self) -> Cost:
        """Polling the VM list."""
        rows = scale.NODES + scale.TARGETS
        rate = 1 / self.plan.vm_poll_interval_s
        received = self._results.linear_fit('vm_list', 'received_bytes').at(
            rows
        )
        used_us = self._results.linear_fit('vm_list', 'cpu_us').at(rows)
        return Cost(rate, rate * received, rate * used_us / _US_PER_S)

    def config(self) -> Cost:
        """Applying configuration changes, and keeping the active files."""
        rate = scale.CHANGES_PER_DAY / scale.DAY_S
        per_team = (
            self._per_unit('config_whole', 'resident_bytes') / _TEAMS_PER_FILE
        )
        # Parsing needs working memory, which is reused for the next file.
        parsing = self._results.linear_fit('config_change', 'resident_bytes')
        held = scale.MODELS * scale.TEAMS * per_team
        return Cost(
            cores=rate * self.config_us() / _US_PER_S,
            memory_bytes=held + parsing.at(scale.TEAMS),
        )

    def target_table(self) -> Cost:
        """State of all targets."""
        return self._table_memory('targets', scale.TARGETS)

    def team_limits(self) -> Cost:
        """Rate limit buckets of all teams for all models."""
        return self._table_memory('team_limits', scale.TEAMS * scale.MODELS)

    def forwarded_keys(self) -> Cost:
        """Keys that an entry has forwarded within the retention time."""
        return self._table_memory('forwarded_keys', _retained_keys(scale.NODES))

    def ledger(self) -> Cost:
        """Idempotency keys that an agent keeps for the retention time."""
        return self._table_memory('ledger_keys', _retained_keys(scale.TARGETS))

    def decisions(self) -> Cost:
        """Target selection at one entry; not control work."""
        rate = scale.REQUESTS_PER_S / scale.NODES
        size = scale.TARGETS
        if self.plan.indexed_targets:
            size = self.plan.links_per_entry
        used_us = self._results.at('targets', 'choose_cpu_us', size)
        used_us += self._results.at('targets', 'candidates_cpu_us', size)
        return Cost(rate, 0, rate * used_us / _US_PER_S)

    def config_us(self) -> float:
        """CPU time of one configuration change at an entry."""
        linear_fit = self._results.linear_fit('config_change', 'cpu_us')
        return linear_fit.at(scale.TEAMS)

    def config_loop_us(self) -> float:
        """Time for which one change blocks the event loop of an entry."""
        if not self.plan.parses_in_thread:
            return self.config_us()
        return self._results.at(
            'config_change',
            'parsed_before_cpu_us',
            scale.TEAMS,
        )

    def config_bytes(self) -> float:
        """Size of one configuration change: a file that lists every team."""
        linear_fit = self._results.linear_fit('config_change', 'bytes')
        return linear_fit.at(scale.TEAMS)

    def keys(self) -> Cost:
        """Table of API keys."""
        return self._table_memory(
            'fold_key_granted',
            scale.TEAMS * scale.KEYS_PER_TEAM,
        )

    def entries(self) -> Cost:
        """Table of registered entries."""
        return self._table_memory('fold_entry_registered', scale.NODES)

    def lease_table(self) -> Cost:
        """Table of leases."""
        return self._table_memory('fold_lease_claimed', scale.LEASES)

    def usage_counts(self) -> Cost:
        """Usage counts that are kept to detect duplicate records."""
        teams = self._teams_per_window()
        return self._table_memory(
            'fold_usage_counted', self.plan.kept_counts * teams
        )

    def usage_figures(self) -> Cost:
        """Usage figures of closed windows, excluding the usage counts."""
        both = self._per_unit('usage_windows', 'resident_bytes')
        counts = scale.TEAMS * self._per_unit(
            'fold_usage_counted',
            'resident_bytes',
        )
        return Cost(
            memory_bytes=self.plan.kept_windows * max(0, both - counts),
        )

    def lease_renewals(self) -> Cost:
        """Lease renewals by the process that holds the most leases."""
        rate = self.plan.held_leases / self.plan.lease_renewal_interval_s
        used_us = rate * self._per_unit('log_append', 'cpu_us')
        return Cost(rate, rate * 300, used_us / _US_PER_S)

    def usage_collection(self) -> Cost:
        """Usage counts that a writer receives from the entries of its zone."""
        senders = scale.NODES / self.plan.usage_writers
        if senders == 1:
            return Cost()
        rate = senders / self.plan.usage_flush_interval_s
        row_bytes = self._per_unit('fold_usage_counted', 'bytes')
        row_us = self._per_unit('fold_usage_counted', 'cpu_us')
        rows = rate * self._teams_per_entry_flush()
        rate_us = rate * self._per_unit('log_append', 'cpu_us')
        return Cost(
            rate,
            rows * row_bytes + rate * scale.HTTP_REQUEST_BYTES,
            (rows * row_us + rate_us) / _US_PER_S,
            scale.TEAMS * self.usage_row_bytes(),
        )

    def usage_reporting(self) -> Cost:
        """Reporting the usage of all teams, once per window of 60 s."""
        rate = scale.TEAMS / 60 / self.plan.usage_reporters
        used_us = rate * self._per_unit('log_append', 'cpu_us')
        return Cost(rate, rate * 450, used_us / _US_PER_S)

    def snapshots(self) -> Cost:
        """Writing snapshots, at the process that holds their lease."""
        flow = self.flows()[-1]
        written = flow.bytes_per_s
        usage_us = self._per_unit('snapshot_usage', 'write_cpu_us')
        per_byte_us = usage_us / self._per_unit('snapshot_usage', 'bytes')
        return Cost(flow.per_s, written, written * per_byte_us / _US_PER_S)

    def snapshot_bytes(self) -> float:
        """Size of one snapshot."""
        rows = self.plan.kept_counts * self._teams_per_window()
        rows += self.plan.kept_windows * scale.TEAMS
        keys = scale.TEAMS * scale.KEYS_PER_TEAM
        return (
            rows * self._per_unit('snapshot_usage', 'bytes')
            + keys * self._per_unit('snapshot_keys', 'bytes')
            + scale.MODELS * self.config_bytes()
        )

    def requests(self) -> Cost:
        """Requests on the links of one entry; not control work."""
        rate = scale.REQUESTS_PER_S / scale.NODES
        return Cost(
            rate * 5,
            rate * self._wire_bytes_per_s('requests'),
            rate * self._per_unit('requests', 'cpu_us_per_s') / _US_PER_S,
        )

    def chunks(self) -> Cost:
        """Answer chunks at one entry, one token each; not control work."""
        rate = scale.TOKENS_PER_S / scale.NODES
        batches = self.chunk_batches_per_s()
        chunk_us = self._per_unit('bunched_chunks', 'cpu_us_per_s')
        chunk_bytes = self._per_unit('bunched_chunks', 'received_bytes_per_s')
        return Cost(
            batches,
            rate * chunk_bytes + batches * scale.BATCH_OVERHEAD_BYTES,
            (rate * chunk_us + batches * self.batch_us()) / _US_PER_S,
        )

    def chunk_batches_per_s(self) -> float:
        """Batches of chunks that an entry receives, including probes."""
        links = self.plan.links_per_entry
        rate = scale.TOKENS_PER_S / scale.NODES / links
        batches = rate / (1 + rate * self.plan.flush_interval_s)
        probes = batches * math.exp(-batches * _PROBE_DELAY_S)
        return links * (batches + probes)

    def batch_us(self) -> float:
        """CPU time of an entry per received batch."""
        chunk_us = self._per_unit('bunched_chunks', 'cpu_us_per_s')
        spread_us = self._per_unit('spread_chunks', 'cpu_us_per_s')
        batches = self._per_unit('spread_chunks', 'received_batches_per_s')
        return max(0, spread_us - chunk_us) / batches

    def _read_us(self) -> float:
        return max(1, self._results.linear_fit('log_read', 'cpu_us').fixed)

    def _hello_size_bytes(self, entries: float, homes: float) -> float:
        per_home = self._per_unit('hello_home_bytes', 'bytes')
        per_entry = self._per_unit('hello_bytes', 'bytes')
        fixed = self._results.linear_fit('hello_bytes', 'bytes').fixed
        return fixed + entries * per_entry + homes * per_home

    def _teams_per_entry_flush(self) -> float:
        requests = scale.REQUESTS_PER_S / scale.NODES
        share = requests * self.plan.usage_flush_interval_s / scale.TEAMS
        return scale.TEAMS * (1 - math.exp(-share))

    def _teams_per_window(self) -> float:
        requests = scale.REQUESTS_PER_S / self.plan.usage_writers
        return scale.TEAMS * (1 - math.exp(-requests * 60 / scale.TEAMS))

    def _flow(self, kind: str, per_s: float) -> RecordFlow:
        name = f'fold_{kind}'
        return RecordFlow(
            kind,
            per_s,
            self._per_unit(name, 'bytes'),
            self._per_unit(name, 'cpu_us'),
        )

    def _config_flow(self) -> RecordFlow:
        rate = scale.CHANGES_PER_DAY / scale.DAY_S
        return RecordFlow(
            'config_published',
            rate,
            self.config_bytes(),
            0,
        )

    def _snapshot_flow(self, flows: list[RecordFlow]) -> RecordFlow:
        interval_s = self.plan.snapshot_interval_s
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

    def _table_memory(self, name: str, size: float) -> Cost:
        per_unit = self._per_unit(name, 'resident_bytes')
        return Cost(memory_bytes=size * per_unit)

    def _idle_links(self, name: str, links: float) -> Cost:
        memory = links * self._per_unit(name, 'resident_bytes')
        measured = self._batches_per_s(name)
        batch_us = self._per_unit(name, 'cpu_us_per_s') / measured
        batches, payload = (
            self.plan.batches_per_s,
            self._proposed_payload_bytes_per_s(),
        )
        if not batches:
            batches, payload = measured, self._payload_bytes_per_s(name)
        link_bytes = payload + batches * scale.BATCH_OVERHEAD_BYTES
        return Cost(
            links * batches,
            links * link_bytes,
            links * batches * batch_us / _US_PER_S,
            memory,
        )

    def _batches_per_s(self, name: str) -> float:
        sent = self._per_unit(name, 'sent_batches_per_s')
        return sent + self._per_unit(name, 'received_batches_per_s')

    def _payload_bytes_per_s(self, name: str) -> float:
        sent = self._per_unit(name, 'sent_bytes_per_s')
        return sent + self._per_unit(name, 'received_bytes_per_s')

    def _wire_bytes_per_s(self, name: str) -> float:
        overhead = self._batches_per_s(name) * scale.BATCH_OVERHEAD_BYTES
        return self._payload_bytes_per_s(name) + overhead

    def _proposed_payload_bytes_per_s(self) -> float:
        report = self._results.linear_fit('load_report_bytes', 'bytes').fixed
        beats = 2 * self.plan.heartbeats_per_s * _HEARTBEAT_BYTES
        return beats + self.plan.reports_per_s * report


def _retained_keys(processes: int) -> float:
    requests = scale.REQUESTS_PER_S * scale.PLAIN_SHARE / processes
    return requests * scale.RETENTION_S
