"""Distributed rate limits, enforced by all gateways together.

In any window, a quota allows its rate times the window plus its burst. Each
gateway tracks the usage of the whole system in the last window: its own
admissions and those that its peers report a few times per second. Between two
reports, a gateway spends at most its share of the remaining quota, so that the
sum stays within the limit without coordination. It gets a new share only when it
knows what the others have spent of theirs. A gateway without recent reports is
assumed to have spent its share, and to go on at the mean rate.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Final, NamedTuple, Protocol, final

from peridotrill.clock import Clock
from peridotrill.gateway.report_timing import report_interval_s, silence_s

# Least time without a report after which a peer is assumed to use its full share.
_MIN_SILENCE_S: Final = 0.6
# Callers wait for at most a third of their remaining time.
_MAX_RETRY_AFTER_S: Final = 5.0
# A retry is useful only after the next reports of the peers have arrived, in
# intervals between reports.
_MIN_RETRY_INTERVALS: Final = 1.5
# Fraction of the tolerated excess that is used in addition to the burst. The
# rest covers requests that gateways admit before the next reports.
_USED_EXCESS_RATIO: Final = 0.4
# Resolution of the window, about the interval between reports.
_SLOT_S: Final = 0.1
# Fraction of the remaining quota that is shared evenly; the rest is shared in
# proportion to recent use.
_EVEN_SHARE_RATIO: Final = 0.4
# Prior for the recent use, spread evenly over gateways, as a fraction of the
# burst.
_PRIOR_USE_RATIO: Final = 0.1
# Least time after the start for which usage is imported from peers; three of
# their reports carry it.
_MIN_IMPORT_PERIOD_S: Final = 2.0
# A peer whose last report is older than this number of intervals has not been
# heard: it, or the last report, may be cut off.
_MAX_HEARD_INTERVALS: Final = 1.5
# Ratio of the peers that are not silent whose reports a gateway needs to renew its
# share. Some reports are lost in each interval where there are many peers.
_RENEWAL_RATIO: Final = 0.75
# Time constant of the exponential decay of recent use.
_USE_DECAY_S: Final = 1.5


class Quota(Protocol):
    """A limit, for example of a team or of a target; no limit if the rate is 0."""

    @property
    def name(self) -> str:
        """Key of the quota; unique among those of one ``SharedQuotas``."""

    @property
    def rate_per_s(self) -> float:
        """Allowed rate, in the unit of the quota per second."""

    @property
    def burst(self) -> float:
        """Amount that is allowed in any window in addition to the rate."""


class QuotaDecision(NamedTuple):
    """Admission decision; ``retry_after_s`` is 0 for admitted requests.

    ``left`` is the remaining quota of all gateways together, ``available``
    the share of this gateway, both in the unit of the limit.
    """

    is_admitted: bool
    retry_after_s: float
    left: float = math.inf
    available: float = math.inf


@final
class _Window:
    """Usage of one quota at all gateways, by time slot."""

    def __init__(self, size_s: float) -> None:
        self._slots: deque[tuple[int, float]] = deque()
        self._size = math.ceil(size_s / _SLOT_S)
        self.spent = 0.0
        self.updated_s: float | None = None
        # Value of the sum over silent peers, and the number of peers that had
        # fallen silent, at that time.
        self.silent_peer_s = 0.0
        self.silences = 0
        # What silent peers may have spent beyond the mean rate.
        self.reserved = 0.0
        # What was left of the quota when the share was last renewed.
        self.shared = 0.0
        # Spent here since the share was last renewed, and between that and the
        # renewal before. The others may not have heard of either.
        self.current_spent = 0.0
        self.previous_spent = 0.0
        # Recent use at this gateway and at all gateways, with exponential decay.
        self.local_use = 0.0
        self.total_use = 0.0
        # Fraction of the remaining quota that this gateway may spend until
        # its next report; None before the first report. A larger share applies
        # only from the next renewal on, when the others know of the use by which
        # theirs become smaller.
        self.local_share: float | None = None
        self.next_share: float | None = None

    @property
    def unheard_spent(self) -> float:
        """What this gateway has spent that the others may not have heard of."""
        return self.previous_spent + self.current_spent

    def renew(self, share: float, shared: float) -> None:
        """Start to spend a new share.

        :param share: fraction of ``shared`` for this gateway.

        :param shared: what is left of the quota for all gateways together,
            with what the others have not heard of.
        """
        self.previous_spent = self.current_spent
        self.current_spent = 0
        self.local_share = min(share, self.next_share or share)
        self.next_share = share
        self.shared = shared

    def add(self, at_s: float, amount: float) -> None:
        """Add usage at a given time; times must not decrease."""
        slot = int(at_s / _SLOT_S)
        if self._slots and self._slots[-1][0] >= slot:
            slot, known = self._slots.pop()
            self._slots.append((slot, known + amount))
        else:
            self._slots.append((slot, amount))
        self.spent += amount

    def expire(self, now_s: float) -> None:
        """Drop the slots before the window."""
        first = int(now_s / _SLOT_S) - self._size
        while self._slots and self._slots[0][0] < first:
            self.spent -= self._slots.popleft()[1]
        if not self._slots:
            self.spent = 0.0

    def usage_by_age(self, now_s: float) -> list[float]:
        """Return the usage by age in whole seconds."""
        seconds = math.ceil(self._size * _SLOT_S)
        amounts = [0.0 for _ in range(seconds)]
        current = int(now_s / _SLOT_S)
        for slot, amount in self._slots:
            age_s = int((current - slot) * _SLOT_S)
            amounts[min(age_s, len(amounts) - 1)] += amount
        return amounts

    def decay(self, elapsed_s: float) -> None:
        """Apply the exponential decay to the recent use."""
        factor = math.exp(-elapsed_s / _USE_DECAY_S)
        self.local_use *= factor
        self.total_use *= factor


@final
class SharedQuotas:
    """Quotas of one kind, as tracked by one gateway."""

    def __init__(
        self,
        clock: Clock,
        window: timedelta,
        tolerated_excess: float = 0,
        is_first_start: bool = False,
    ) -> None:
        """:param window: period in which a quota allows its rate and burst.

        :param tolerated_excess: amount by which the sum over all gateways
            may exceed a limit.
        :param is_first_start: whether there is no earlier usage. Otherwise,
            the whole limit is assumed to have been used evenly.
        """
        self._clock = clock
        self._window_s = window.total_seconds()
        self.apply_excess(tolerated_excess)
        self._started_s = clock.monotonic_s()
        self._is_first_start = is_first_start
        self._windows: dict[str, _Window] = {}
        self._quotas: Mapping[str, Quota] = {}
        # Usage before the start, imported from peers: by quota, the time of
        # the import and the amounts by age in seconds.
        self._imported_usage: dict[str, tuple[float, Sequence[float]]] = {}
        self._spent: dict[str, float] = {}
        self._peer_spent: dict[str, dict[str, float]] = {}
        self._incarnations: dict[str, str] = {}
        # When each peer last reported, the earliest first.
        self._peer_last_report_s: OrderedDict[str, float] = OrderedDict()
        # Sum over the silent peers of the time for which they were silent, and
        # when it was brought up to date.
        self._silent_peer_s = 0.0
        self._silence_updated_s = self._started_s
        self._silent_peers: set[str] = set()
        self._silences = 0
        # Peers that have reported since the shares were last renewed.
        self._reported: set[str] = set()
        # Fraction of what is left that peers with overdue reports may have spent.
        self._overdue_share = 0.0

    def apply_excess(self, tolerated_excess: float) -> None:
        """Set the tolerated excess, in the unit of the limits."""
        self._excess = tolerated_excess * _USED_EXCESS_RATIO

    def configure(self, quotas: Mapping[str, Quota]) -> None:
        """Replace the quotas; the usage of those that stay is kept."""
        self._quotas = quotas
        for gone in self._windows.keys() - quotas.keys():
            self._windows.pop(gone)
        self._update_all(self._clock.monotonic_s())

    def add_peer(self, peer: str) -> None:
        """Add a gateway that shares the limits, even without reports."""
        if peer not in self._peer_last_report_s:
            self._update_silence(self._clock.monotonic_s())
            self._peer_last_report_s[peer] = float('-inf')
            self._peer_last_report_s.move_to_end(peer, last=False)
            self._silent_peers.add(peer)

    def remove_peer(self, peer: str) -> None:
        """Remove a gateway that has left permanently."""
        self._update_silence(self._clock.monotonic_s())
        self._peer_last_report_s.pop(peer, None)
        self._silent_peers.discard(peer)

    @property
    def gateways(self) -> int:
        """Number of gateways that share the limits, including this one."""
        return len(self._peer_last_report_s) + 1

    def spent(self) -> dict[str, float]:
        """Return the usage admitted by this process since its start, by quota."""
        return self._spent

    def usage(self) -> dict[str, list[float]]:
        """Return the usage of all gateways in the last window.

        :return: by quota, the amounts by age in whole seconds; empty while
            this process itself only assumes the usage before its start.
        """
        now_s = self._clock.monotonic_s()
        is_old = now_s - self._started_s >= self._window_s
        if not (self._is_first_start or is_old or self._imported_usage):
            return {}
        self._update_all(now_s)
        return {
            name: window.usage_by_age(now_s)
            for name, window in self._windows.items()
        }

    def import_usage(self, usage: Mapping[str, Sequence[float]]) -> None:
        """Import the usage before the start of this process from a peer.

        Every gateway overestimates rather than underestimates the usage, so
        the lowest value is used.

        :param usage: result of ``usage`` at another gateway.
        """
        now_s = self._clock.monotonic_s()
        age_s = now_s - self._started_s
        period_s = silence_s(self.gateways - 1, _MIN_IMPORT_PERIOD_S)
        if self._is_first_start or age_s > period_s:
            return
        for name, amounts in usage.items():
            known = self._imported_usage.get(name)
            if known is None or sum(amounts) < sum(known[1]):
                self._imported_usage[name] = (now_s, amounts)
                self._windows.pop(name, None)
        self._update_all(now_s)

    def observe_peer(
        self,
        peer: str,
        incarnation: str,
        spent: Mapping[str, float],
    ) -> None:
        """Apply a report of another gateway.

        :param incarnation: identifies the reporting process.
        :param spent: totals since the start of that process, by quota.
        """
        now_s = self._clock.monotonic_s()
        self._update_silence(now_s)
        if peer in self._silent_peers and peer in self._incarnations:
            self._silences -= 1
        self._peer_last_report_s[peer] = now_s
        self._peer_last_report_s.move_to_end(peer)
        self._silent_peers.discard(peer)
        self._reported.add(peer)
        if self._incarnations.get(peer) != incarnation:
            self._incarnations[peer] = incarnation
            self._peer_spent[peer] = dict(spent)
            return
        known = self._peer_spent[peer]
        for name, total in spent.items():
            usage = total - known.get(name, 0)
            if usage > 0:
                known[name] = total
                self._add_usage(name, usage, now_s)

    def _add_usage(self, name: str, usage: float, now_s: float) -> None:
        quota = self._quotas.get(name)
        if quota is not None and quota.rate_per_s > 0:
            window = self._update(quota, now_s)
            window.add(now_s, usage)
            window.total_use += usage

    def end_report_interval(self) -> None:
        """Renew the shares after reporting the local totals.

        Until most peers have reported since the last time, this gateway keeps to
        the share that it has.
        """
        now_s = self._clock.monotonic_s()
        self._update_silence(now_s)
        self._update_all(now_s)
        active = self._peer_last_report_s.keys() - self._silent_peers
        reported = len(active & self._reported)
        has_heard_most = reported >= len(active) * _RENEWAL_RATIO
        if has_heard_most:
            self._reported.clear()
        self._overdue_share = self._count_overdue(now_s) / self.gateways
        heard = self._count_heard(now_s)
        for name, window in self._windows.items():
            quota = self._quotas.get(name)
            if quota is None:
                continue
            share = self._local_share(window, quota, heard)
            if has_heard_most:
                left = self._left(window, quota)
                window.renew(share, max(0, left + window.current_spent))
            elif window.local_share is not None:
                window.local_share = min(window.local_share, share)

    def admit(self, quota: Quota, cost: float) -> QuotaDecision:
        """Charge the cost of a request if the quota allows it.

        :param cost: cost in the unit of the quota.
        """
        if quota.rate_per_s <= 0:
            return QuotaDecision(True, 0)
        window = self._update(quota, self._clock.monotonic_s())
        left = self._left(window, quota)
        available = self._available(window, left)
        if not _fits(quota, window, cost, left, available):
            lacking = cost - min(available, left)
            wait_s = _SLOT_S + lacking / self._mean_rate(quota)
            return QuotaDecision(
                False,
                min(_MAX_RETRY_AFTER_S, max(self._min_retry_after_s, wait_s)),
                left,
                available,
            )
        self.charge(quota, cost)
        return QuotaDecision(True, 0)

    def local_share(self, quota: Quota) -> float:
        """Return the fraction of a quota that this gateway should use."""
        window = self._windows.get(quota.name)
        share = None if window is None else window.local_share
        return share or 1 / self.gateways

    def has_room(self, quota: Quota, cost: float) -> bool:
        """Return whether the quota allows a request now, without charging it."""
        if quota.rate_per_s <= 0:
            return True
        window = self._update(quota, self._clock.monotonic_s())
        left = self._left(window, quota)
        return _fits(quota, window, cost, left, self._available(window, left))

    def charge(self, quota: Quota, cost: float) -> None:
        """Charge the cost of a request, even if the quota does not allow it."""
        now_s = self._clock.monotonic_s()
        window = self._update(quota, now_s)
        window.add(now_s, cost)
        window.current_spent += cost
        window.local_use += cost
        window.total_use += cost
        self._spent[quota.name] = self._spent.get(quota.name, 0) + cost

    def assume_used(self, quota: Quota) -> None:
        """Assume that a new quota was fully and evenly used until now.

        Otherwise the gateways would use it up at once, and then again after
        each window.
        """
        window = _Window(self._window_s)
        self._fill(window, quota, self._clock.monotonic_s())
        self._windows[quota.name] = window

    def _fill(self, window: _Window, quota: Quota, until_s: float) -> None:
        slots = math.ceil(self._window_s / _SLOT_S)
        share = self._limit(quota) / slots
        for slot in range(slots, 0, -1):
            window.add(until_s - slot * _SLOT_S, share)

    def _left(self, window: _Window, quota: Quota) -> float:
        """Return what all gateways together may still spend in the window."""
        return self._limit(quota) - window.spent - window.reserved

    def _available(self, window: _Window, left: float) -> float:
        """Return what this gateway may spend until the next reports."""
        shared = left + window.unheard_spent
        shared *= max(0, 1 - self._overdue_share)
        share = shared * (window.local_share or 1 / self.gateways)
        return share - window.unheard_spent

    @property
    def _min_retry_after_s(self) -> float:
        return _MIN_RETRY_INTERVALS * report_interval_s(self.gateways - 1)

    def _limit(self, quota: Quota) -> float:
        """Return the quota of all gateways together in one window."""
        return quota.rate_per_s * self._window_s + quota.burst + self._excess

    def _mean_rate(self, quota: Quota) -> float:
        """Return the mean rate of a quota that is always fully used."""
        return self._limit(quota) / self._window_s

    def _update_all(self, now_s: float) -> None:
        """Update all windows; quotas without a limit have none."""
        for quota in self._quotas.values():
            if quota.rate_per_s > 0:
                self._update(quota, now_s)

    def _update(self, quota: Quota, now_s: float) -> _Window:
        """Expire old usage, and add the assumed usage of silent peers."""
        window = self._windows.get(quota.name)
        if window is None:
            window = self._create_window(quota)
            self._windows[quota.name] = window
        known_s = now_s if window.updated_s is None else window.updated_s
        elapsed_s = max(0, now_s - known_s)
        if not elapsed_s and window.updated_s is not None:
            return window
        self._update_silence(now_s)
        silent_s = self._silent_peer_s
        if window.updated_s is not None:
            share_s = (silent_s - window.silent_peer_s) / self.gateways
            shares = (self._silences - window.silences) / self.gateways
            used = share_s * self._mean_rate(quota)
            window.add(now_s, used)
            window.reserved += shares * window.shared - used
            window.reserved = max(0.0, window.reserved)
        window.silent_peer_s = silent_s
        window.silences = self._silences
        window.updated_s = max(known_s, now_s)
        window.expire(now_s)
        window.decay(elapsed_s)
        return window

    def _update_silence(self, now_s: float) -> None:
        """Add the time since the last call for each peer that is silent."""
        elapsed_s = now_s - self._silence_updated_s
        if elapsed_s <= 0:
            return
        self._silence_updated_s = now_s
        peers = self._peer_last_report_s
        since_s = now_s - silence_s(len(peers), _MIN_SILENCE_S)
        silent = 0
        for peer, last_report_s in peers.items():
            if last_report_s >= since_s:
                break
            silent += 1
            if peer not in self._silent_peers:
                self._silent_peers.add(peer)
                self._silences += 1
        self._silent_peer_s += elapsed_s * silent

    def _create_window(self, quota: Quota) -> _Window:
        """Return a window with the usage before the start."""
        window = _Window(self._window_s)
        if self._is_first_start:
            return window
        imported = self._imported_usage.get(quota.name)
        if imported is None:
            self._fill(window, quota, self._started_s)
            return window
        imported_s, amounts = imported
        for age_s in range(len(amounts) - 1, -1, -1):
            window.add(imported_s - age_s, amounts[age_s])
        window.add(imported_s, self._spent.get(quota.name, 0))
        return window

    def _count_heard(self, now_s: float) -> int:
        """Return the number of gateways whose use is known, with this one."""
        interval_s = report_interval_s(len(self._peer_last_report_s))
        since_s = now_s - _MAX_HEARD_INTERVALS * interval_s
        heard = 1
        for last_report_s in reversed(self._peer_last_report_s.values()):
            if last_report_s < since_s:
                break
            heard += 1
        return heard

    def _count_overdue(self, now_s: float) -> float:
        """Return how many reports of peers that are not silent are overdue.

        With each of them, the peer may have spent its share once more.
        """
        interval_s = report_interval_s(len(self._peer_last_report_s))
        overdue = 0.0
        for peer, last_report_s in self._peer_last_report_s.items():
            intervals = (now_s - last_report_s) / interval_s
            if intervals <= _MAX_HEARD_INTERVALS:
                break
            if peer not in self._silent_peers:
                overdue += intervals - _MAX_HEARD_INTERVALS
        return overdue

    def _local_share(self, window: _Window, quota: Quota, heard: int) -> float:
        """Return the fraction of the remaining quota for this gateway.

        Gateways that hear each other derive their shares from the same reports,
        so these add up to about one. Each one that is not heard keeps an even
        share: whether it uses less is not known.
        """
        prior = max(1.0, quota.burst * _PRIOR_USE_RATIO)
        use = window.local_use + prior / heard
        by_use = use / (window.total_use + prior) * heard
        shares = _EVEN_SHARE_RATIO + (1 - _EVEN_SHARE_RATIO) * by_use
        return shares / self.gateways


def _fits(
    quota: Quota,
    window: _Window,
    cost: float,
    left: float,
    available: float,
) -> bool:
    """Return whether a quota allows a cost.

    A request larger than the local share is admitted if the total remaining
    quota suffices and nothing was spent since the last report.
    """
    return available >= cost or (
        left >= max(2 * cost, quota.burst / 2) and window.unheard_spent <= 0
    )
