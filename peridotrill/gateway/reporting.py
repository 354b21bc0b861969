"""Reports of this gateway to the others, and what it learns from theirs."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.part_directory import PartDirectory
from peridotrill.gateway.peers import (
    LeaseNotice,
    PeerExchange,
    Report,
    report_interval_s,
)
from peridotrill.gateway.team_quotas import TeamQuotas
from peridotrill.gateway.true_time import TrueTime
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.settings import Address

# A lease notice of a peer is believed for this long without a new one.
_NOTICE_LIFETIME_S: Final = 1.0
# How long a report keeps a switching engine out of use unless its record
# shows the new role before; the coordinator may be lost meanwhile.
_SWITCH_NOTICE: Final = timedelta(seconds=3)
# Age of the configuration beyond which a gateway has lost the store, as far
# as the lease is concerned; reads are held for less than half of it.
_STORE_LOST_S: Final = 3.0
# Usage and demand change slowly and are large: they go with each third report.
# A process that is killed loses what it counted since.
_SLOW_REPORTS: Final = 3
# Reports in which a new process is told what was used of the quotas.
_USED_REPORTS: Final = 3


class ReportSources(NamedTuple):
    """Parts of the gateway whose totals are reported."""

    cluster_state: ClusterState
    coordinator: Coordinator
    quotas: TeamQuotas
    loads: LoadTracker
    usage: UsageCounts
    demand: DemandMeter
    parts: PartDirectory
    true_time: TrueTime


class Sender(NamedTuple):
    """The process that sends reports."""

    node: str
    incarnation: str
    address: Address


@final
class Reporting:
    """Sends totals to all other gateways and takes theirs in."""

    def __init__(
        self,
        sender: Sender,
        peers: PeerExchange,
        sources: ReportSources,
        clock: Clock,
    ) -> None:
        """:param peers: knows the other gateways."""
        self._sender = sender
        self._peers = peers
        self._sources = sources
        self._clock = clock
        self._sequence = 0
        self._notice_until_s = 0.0
        # Gateways that can take the lease, by their newest reports.
        self._candidates: dict[str, bool] = {}
        # Incarnations that were heard of, by node, and how many of the next
        # reports say what was used of the quotas, for a new one.
        self._incarnations: dict[str, str] = {}
        self._used_reports = 0
        self.is_draining = False
        self.switching: Callable[[], list[str]] = list
        self.on_process: Callable[[str], None] = _ignore
        peers.on_report = self.take_in
        peers.on_member = sources.quotas.add_peer

    async def run(self) -> None:
        """Report for as long as the process runs."""
        while True:
            self._peers.send(self.make_report())
            self._sources.quotas.end_report_interval()
            self._sources.loads.end_report_interval()
            await anyio.sleep(report_interval_s(len(self._peers.members)))

    def make_report(self) -> Report:
        """Return the next report."""
        self._sequence += 1
        sources = self._sources
        switching = self.switching()
        self._suspend(switching)
        has_slow = self._sequence % _SLOW_REPORTS == 0
        return Report(
            self._sender.node,
            self._sender.incarnation,
            self._sequence,
            self._sender.address.host,
            self._sender.address.port,
            sources.true_time.own_unix_s(),
            self.can_claim,
            _whole(sources.quotas.spent()),
            _whole(sources.loads.local_totals()),
            sources.usage.local_totals() if has_slow else {},
            sources.parts.take_report_entries(),
            sources.demand.local_totals() if has_slow else {},
            switching,
            self._lease_notice(),
            self._take_used(),
        )

    def take_in(self, report: Report) -> None:
        """Learn from the report of another gateway."""
        sources = self._sources
        process = f'{report.node}/{report.incarnation}'
        if self._incarnations.get(report.node) != report.incarnation:
            self._incarnations[report.node] = report.incarnation
            self._used_reports = _USED_REPORTS
            self.on_process(report.node)
        sources.quotas.import_usage(report.quota_used)
        sources.quotas.observe_peer(
            report.node,
            report.incarnation,
            report.spent,
        )
        sources.loads.observe_peer(report.node, report.work)
        sources.usage.observe_peer(process, report.usage)
        if report.demand:
            sources.demand.observe_peer(process, report.demand)
        sources.true_time.observe_peer(report.node, report.unix_s)
        sources.parts.observe_peer(report.parts)
        self._candidates[report.node] = report.can_claim
        self._suspend(report.switching)
        if report.lease is not None:
            now_s = self._clock.monotonic_s()
            self._notice_until_s = now_s + _NOTICE_LIFETIME_S

    @property
    def can_claim(self) -> bool:
        """Tell whether this gateway reaches the store and stays."""
        age_s = self._sources.cluster_state.config_age_s()
        is_in_touch = age_s is not None and age_s < _STORE_LOST_S
        return is_in_touch and not self.is_draining

    def should_claim(self) -> bool:
        """Tell whether this gateway should take the lease.

        Only the first by name of those that can does while no holder is
        heard of, so that candidates do not compete.
        """
        if not self.can_claim:
            return False
        if self._clock.monotonic_s() < self._notice_until_s:
            return False
        return all(
            self._sender.node < peer
            for peer in self._peers.heard_within(_NOTICE_LIFETIME_S)
            if self._candidates.get(peer)
        )

    def _take_used(self) -> dict[str, list[float]]:
        """Return what was used of the quotas if a new process needs it."""
        if not self._used_reports:
            return {}
        self._used_reports -= 1
        usage = self._sources.quotas.usage()
        return {name: list(map(math.ceil, usage[name])) for name in usage}

    def _lease_notice(self) -> LeaseNotice | None:
        held = self._sources.coordinator.held_lease(timedelta(0))
        if held is None:
            return None
        left_s = held.valid_until_s - self._clock.monotonic_s()
        return LeaseNotice(self._sender.node, held.fence, left_s)

    def _suspend(self, target_ids: list[str]) -> None:
        """Keep engines that change their roles out of use."""
        for target_id in target_ids:
            self._sources.cluster_state.suspend_target(
                target_id, _SWITCH_NOTICE
            )


def _ignore(node: str) -> None:
    """Nobody is interested in new processes."""


def _whole(amounts: Mapping[str, float]) -> dict[str, float]:
    """Return whole numbers, which take fewer bytes; zeros are left out."""
    whole = ((name, math.ceil(amount)) for name, amount in amounts.items())
    return {name: amount for name, amount in whole if amount}
