"""Builds reports for the other gateways and applies the reports received."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.engine_speed import EngineSpeeds
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.part_directory import PartDirectory
from peridotrill.gateway.peers import (
    LeaseNotice,
    PeerExchange,
    Report,
)
from peridotrill.gateway.prefill_speed import PrefillSpeed
from peridotrill.gateway.report_routes import FULL_REPORT_INTERVAL
from peridotrill.gateway.report_timing import report_interval_s, silence_s
from peridotrill.gateway.shared_quotas import SharedQuotas
from peridotrill.gateway.stream_origins import StreamOrigins
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.gateway.waiting_work import WaitingWork
from peridotrill.settings import Address

# Least time for which a report suspends an engine that is changing its role,
# unless its record shows the new role earlier. The coordinator may fail before
# the engine has changed.
_SWITCH_NOTICE_S: Final = 3.0
# A gateway with an older configuration has lost the store and must not claim
# the lease. The store holds a read for less than half of this time.
_MAX_CONFIG_AGE_S: Final = 3.0
# Windows whose commitments are reported: those whose usage may still be due.
_REPORTED_COMMITMENTS: Final = 3
# Number of reports that carry quota usage after a new process was seen.
_QUOTA_USAGE_REPORTS: Final = 3


class ReportSources(NamedTuple):
    """Components of the gateway that reports are built from."""

    cluster_state: ClusterState
    coordinator: Coordinator
    quotas: SharedQuotas
    loads: LoadTracker
    usage: UsageCounts
    demand: DemandMeter
    parts: PartDirectory
    cluster_clock: ClusterClock
    limits: TargetLimits
    origins: StreamOrigins
    speed: PrefillSpeed
    target_speeds: EngineSpeeds
    waiting: WaitingWork


class Sender(NamedTuple):
    """The process that sends reports."""

    node: str
    incarnation: str
    address: Address


@final
class Reporting:
    """Sends totals to all other gateways and applies theirs."""

    def __init__(
        self,
        sender: Sender,
        peers: PeerExchange,
        sources: ReportSources,
        clock: Clock,
    ) -> None:
        """:param peers: exchanges messages with the other gateways."""
        self._sender = sender
        self._peers = peers
        self._sources = sources
        self._clock = clock
        self._sequence = 0
        self._notice_until_s = 0.0
        # Whether each gateway can claim the lease, by its latest report.
        self._candidates: dict[str, bool] = {}
        # Latest incarnation of each node. A new one needs the quota usage,
        # which the next ``_quota_reports_left`` reports carry.
        self._incarnations: dict[str, str] = {}
        self._quota_reports_left = 0
        self.is_draining = False
        self.switching: Callable[[], list[str]] = list
        self.on_new_process: Callable[[str], None] = _ignore
        peers.on_report = self.handle_report
        peers.on_new_member = self._add_peer

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self._peers.send_report(self.make_report())
            self._sources.quotas.end_report_interval()
            self._sources.limits.quotas.end_report_interval()
            self._sources.loads.end_report_interval()
            await anyio.sleep(report_interval_s(len(self._peers.members)))

    def send_last(self) -> None:
        """Send the final totals of this process.

        Without them, what was counted since the last full report is lost. They
        go to all gateways directly, as no later report makes up for a relay that
        fails.
        """
        self._peers.send(self.make_report(is_last=True))

    def make_report(self, is_last: bool = False) -> Report:
        """Build the next report.

        :param is_last: whether the process ends; the report is then a full one.
        """
        self._sequence += 1
        sources = self._sources
        switching = self.switching()
        self._suspend(switching)
        # Usage and demand change slowly and are large. A process that is killed
        # loses what it counted since the last full report.
        is_due = self._sequence % FULL_REPORT_INTERVAL == 0
        is_full_report = is_last or is_due
        return Report(
            self._sender.node,
            self._sender.incarnation,
            self._sequence,
            self._sender.address.host,
            self._sender.address.port,
            sources.cluster_clock.local_unix_s(),
            self.can_claim,
            _round_up_nonzero(sources.quotas.spent()),
            _round_up_nonzero(sources.loads.local_totals()),
            sources.usage.local_totals() if is_full_report else {},
            sources.parts.take_report_entries(),
            sources.demand.local_totals() if is_full_report else {},
            switching,
            self._lease_notice(),
            self._next_quota_usage(),
            sources.limits.report(),
            _round_up_nonzero(sources.limits.spent()),
            sources.cluster_state.config_version,
            self._commitments() if is_full_report else {},
            sources.origins.take_report_entries(),
            sources.speed.local_slowdowns() if is_full_report else {},
            sources.limits.cold.report(),
            zone=self._peers.routes.zone,
            # A process that ends forwards nothing any more.
            hears_zone=not is_last and self._peers.routes.hears_zone,
            target_speeds=(
                sources.target_speeds.report() if is_full_report else {}
            ),
            waiting=sources.waiting.report(),
        )

    def handle_report(self, report: Report) -> None:
        """Apply the report of another gateway."""
        sources = self._sources
        process = f'{report.node}/{report.incarnation}'
        if self._incarnations.get(report.node) != report.incarnation:
            self._incarnations[report.node] = report.incarnation
            self._quota_reports_left = _QUOTA_USAGE_REPORTS
            self.on_new_process(report.node)
        sources.quotas.import_usage(report.quota_used)
        sources.quotas.observe_peer(
            report.node,
            report.incarnation,
            report.spent,
        )
        self._apply_facts(report)
        self._apply_limits(report)
        self._apply_work(report)
        sources.usage.observe_peer(process, report.usage)
        if report.slowdowns:
            sources.speed.observe_peer(report.node, report.slowdowns)
        sources.target_speeds.observe_peer(
            report.node,
            report.target_speeds,
            sources.cluster_state.find_target,
        )
        if report.demand:
            sources.demand.observe_peer(process, report.demand)
        sources.cluster_clock.observe_peer(report.node, report.unix_s)
        sources.parts.observe_peer(report.parts)
        self._candidates[report.node] = report.can_claim
        self._suspend(report.switching)
        if report.lease is not None:
            now_s = self._clock.monotonic_s()
            # Valid unless several reports of the holder are lost in a row.
            self._notice_until_s = now_s + self._peers.active_age_s

    def _apply_work(self, report: Report) -> None:
        """Apply what a gateway has in progress, and what waits there."""
        sources = self._sources
        sources.loads.observe_peer(report.node, report.work)
        sources.waiting.observe_peer(report.node, report.waiting)

    def _apply_limits(self, report: Report) -> None:
        """Apply what a gateway knows of the limits of targets."""
        limits = self._sources.limits
        limits.observe_peer(report.target_limits)
        limits.cold.observe_peer(
            report.cold_targets, self._sources.cluster_state.find_target
        )
        limits.quotas.observe_peer(
            report.node, report.incarnation, report.target_spent
        )

    def _apply_facts(self, report: Report) -> None:
        """Apply what a gateway knows that does not change any more."""
        sources = self._sources
        sources.cluster_state.observe_peer_version(report.config_version)
        sources.coordinator.observe_commitments(report.committed)
        sources.origins.observe_peer(report.begun_streams)

    @property
    def can_claim(self) -> bool:
        """Whether this gateway reaches the store and is not shutting down."""
        age_s = self._sources.cluster_state.config_age_s()
        is_store_reachable = age_s is not None and age_s < _MAX_CONFIG_AGE_S
        return is_store_reachable and not self.is_draining

    def should_claim(self) -> bool:
        """Tell whether this gateway should claim the lease.

        While no holder is known, only the eligible gateway whose name sorts
        first claims it, so that candidates do not compete.
        """
        if not self.can_claim or self.knows_holder:
            return False
        return all(
            self._sender.node < peer
            for peer in self._peers.active_members()
            if self._candidates.get(peer)
        )

    @property
    def knows_holder(self) -> bool:
        """Whether another gateway has said lately that it holds the lease."""
        return self._clock.monotonic_s() < self._notice_until_s

    def _add_peer(self, node: str) -> None:
        self._sources.quotas.add_peer(node)
        self._sources.limits.quotas.add_peer(node)

    def _next_quota_usage(self) -> dict[str, list[float]]:
        """Return the quota usage if a new process still needs it."""
        if not self._quota_reports_left:
            return {}
        self._quota_reports_left -= 1
        usage = self._sources.quotas.usage()
        return {name: list(map(math.ceil, usage[name])) for name in usage}

    def _lease_notice(self) -> LeaseNotice | None:
        held = self._sources.coordinator.held_lease(timedelta(0))
        if held is None:
            return None
        remaining_s = held.valid_until_s - self._clock.monotonic_s()
        return LeaseNotice(self._sender.node, held.fence, remaining_s)

    def _commitments(self) -> dict[int, dict[str, int]]:
        """Return the last windows committed, if this process is the holder."""
        coordinator = self._sources.coordinator
        if coordinator.held_lease(timedelta(0)) is None:
            return {}
        committed = coordinator.committed_usage
        return {
            window: committed[window]
            for window in sorted(committed)[-_REPORTED_COMMITMENTS:]
        }

    def _suspend(self, target_ids: list[str]) -> None:
        """Suspend engines that are changing their roles."""
        duration_s = silence_s(len(self._peers.members), _SWITCH_NOTICE_S)
        for target_id in target_ids:
            self._sources.cluster_state.suspend_target(
                target_id, timedelta(seconds=duration_s)
            )


def _ignore(node: str) -> None:
    """Do nothing; used until a callback is set."""


def _round_up_nonzero(amounts: Mapping[str, float]) -> dict[str, float]:
    """Round up, as integers are encoded in fewer bytes; omit zeros."""
    rounded = ((name, math.ceil(amount)) for name, amount in amounts.items())
    return {name: amount for name, amount in rounded if amount}
