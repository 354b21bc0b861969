"""Learns how fast each target is, relative to the others of its service.

Machines of one service differ in speed, and nothing declares it. Each gateway
compares what its own requests took at the targets, separately for each kind of
work, and tells the others where a target differs. All combine what they know.

A time is the product of the target's slowness, of what is usual for the kind of
work, and of noise, so that logarithms are averaged. What is usual is the
median over the targets, after what is known of their slowness is divided out:
a gateway that has only had slow targets lately does not take them for usual.
"""

import math
import zlib
from collections.abc import Callable, Mapping
from datetime import timedelta
from statistics import fmean, median
from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.gateway.reported_slowness import ReportedSlowness
from peridotrill.gateway.targets import TargetRecord

# Time in which the weight of a sample falls to 1/e. A target that gets no
# requests counts as usual after a few of these, and is tried again.
_DECAY_TIME: Final = timedelta(seconds=10)
# Samples of a gateway for one kind of work count as no more than this many, so
# that those of a busy service do not outlast a change for long.
_MAX_WEIGHT: Final = 8.0
# Weight of the assumption that a target is as fast as the others, in samples.
_PRIOR_WEIGHT: Final = 3.0
# Estimates with less weight are dropped.
_MIN_WEIGHT: Final = 0.1
# Bounds of what can be learnt. Machines differ by a factor of 0.6 to 1.6 in speed.
_MIN_LEARNT: Final = 0.5
_MAX_LEARNT: Final = 2.5
# Bounds of the slowness with what the target states of its present speed.
_MIN_SLOWNESS: Final = 0.4
_MAX_SLOWNESS: Final = 5.0
# A time this many times the usual one, or its inverse, counts as a stuck or a
# trivial request, and the rest of it not at all.
_MAX_LOG_DEVIATION: Final = math.log(4)
# Differences below 20% are noise: such targets count as equally fast, and are
# chosen as if nothing was learnt.
_MIN_LOG_DIFFERENCE: Final = 0.18
# The estimates are computed from the samples this often at most.
_REFRESH_INTERVAL: Final = timedelta(seconds=0.25)
_PERCENT: Final = 100
_PROCESS_MASK: Final = 0xFFFF

# Process number, slowness in percent and weight by target, for the reports.
SpeedRows = dict[str, tuple[int, int, int]]


def process_number(target: TargetRecord) -> int:
    """Return a number that tells a process from the others at its target."""
    return zlib.crc32(target.process.encode()) & _PROCESS_MASK


@final
class _DecayingMean:
    """Mean of logarithms whose weight decays."""

    def __init__(self) -> None:
        """Start without samples."""
        self.mean = 0.0
        self._weight = 0.0
        self._updated_s = 0.0

    def weight(self, now_s: float) -> float:
        """Return the weight that is left of the samples."""
        return self._weight * _decay(now_s - self._updated_s)

    def add(self, sample: float, now_s: float, weight: float = 1) -> None:
        """Add a sample; a negative weight takes it out again."""
        total = self.weight(now_s) + weight
        if total < _MIN_WEIGHT:
            self.mean = 0.0
            self._weight = 0.0
        else:
            self.mean += (sample - self.mean) * weight / total
            self._weight = total
        self._updated_s = now_s

    def limit_weight(self, max_weight: float) -> None:
        """Let the samples count as no more than so many."""
        self._weight = min(self._weight, max_weight)


@final
class _TargetKnowledge:
    """What is known of one process, as logarithms of its slowness."""

    def __init__(self, target: TargetRecord) -> None:
        """:param target: the process at the target."""
        self.target = target
        # From the samples of this gateway.
        self.own = 0.0
        self.own_weight = 0.0
        # From the reports of the others, all together and each one's last.
        self.peers = _DecayingMean()
        self.reports: dict[str, tuple[float, float, float]] = {}
        self.combined = 0.0


@final
class EngineSpeeds:
    """The slowness of each target relative to its service; usually 1."""

    def __init__(self, clock: Clock, reported: ReportedSlowness) -> None:
        """:param reported: what targets state of their present speed."""
        self._clock = clock
        self._reported = reported
        self._known: dict[str, _TargetKnowledge] = {}
        # Log times by service and kind of work, then by target.
        self._samples: dict[tuple[str, str], dict[str, _DecayingMean]] = {}
        self._usual: dict[tuple[str, str], float] = {}
        # Slowness of the targets that differ from the others.
        self._learnt: dict[str, float] = {}
        self._refreshed_s = -math.inf
        self._last_reported: frozenset[str] = frozenset()
        # Gets a target that begins or ceases to differ, and its slowness.
        self.on_change: Callable[[str, float], None] = _ignore

    def slowness(self, target_id: str) -> float:
        """Return how many times as long as usual work takes at a target now."""
        learnt = self._learnt.get(target_id, 1.0)
        reported = self._reported.slowness(target_id)
        if reported == 1:
            return learnt
        return _bounded(learnt * reported, _MIN_SLOWNESS, _MAX_SLOWNESS)

    @property
    def differing(self) -> int:
        """Number of targets that differ from the others of their service."""
        return len(self._learnt)

    def learnt(self, target_id: str) -> float:
        """Return the slowness of a target apart from its present state."""
        return self._learnt.get(target_id, 1.0)

    def record(
        self, target: TargetRecord, kind: str, took_ms: float, model_ms: float
    ) -> None:
        """Record how long a target took.

        :param kind: kind of work; only times of the same kind are compared.

        :param model_ms: time that the work takes at a usual target, as far as
            it differs between requests of the kind.
        """
        known = self._find(target)
        if known is None or took_ms <= 0 or model_ms <= 0:
            return
        sample = math.log(took_ms / model_ms)
        sample -= math.log(self._reported.slowness(target.target_id))
        key = (target.service, kind)
        usual = self._usual.get(key)
        if usual is not None:
            sample = usual + _bounded(
                sample - usual, -_MAX_LOG_DEVIATION, _MAX_LOG_DEVIATION
            )
        means = self._samples.setdefault(key, {})
        mean = means.setdefault(target.target_id, _DecayingMean())
        now_s = self._clock.monotonic_s()
        mean.add(sample, now_s)
        mean.limit_weight(_MAX_WEIGHT)
        if now_s - self._refreshed_s >= _REFRESH_INTERVAL.total_seconds():
            self.refresh()

    def report(self) -> SpeedRows:
        """Return what this gateway has learnt, where a target differs clearly.

        That is so by its own samples, or by what all know. Then each gateway
        reports what it has, also if that is usual: if only those reported that
        have seen a difference, noise would add up. A target that does not
        differ any more is listed once again, as what the others were told last
        would count for longer otherwise.
        """
        self.refresh()
        differing = frozenset(
            target_id
            for target_id, known in self._known.items()
            if target_id in self._learnt or _is_clear(known)
        )
        rows = {
            target_id: (
                process_number(known.target),
                round(_PERCENT * math.exp(known.own)),
                max(1, round(known.own_weight)),
            )
            for target_id, known in self._known.items()
            if known.own_weight and target_id in differing | self._last_reported
        }
        self._last_reported = differing
        return rows

    def observe_peer(
        self,
        node: str,
        rows: Mapping[str, tuple[int, int, int]],
        find_target: Callable[[str], TargetRecord | None],
    ) -> None:
        """Apply what another gateway has learnt."""
        now_s = self._clock.monotonic_s()
        for target_id, (process, percent, weight) in rows.items():
            target = find_target(target_id)
            if target is None or process_number(target) != process:
                continue
            known = self._find(target)
            if known is not None and percent > 0 and weight > 0:
                slowness = _bounded(
                    percent / _PERCENT, _MIN_LEARNT, _MAX_LEARNT
                )
                self._replace_report(
                    known, node, math.log(slowness), min(weight, _MAX_WEIGHT)
                )
        if now_s - self._refreshed_s >= _REFRESH_INTERVAL.total_seconds():
            self.refresh()

    def forget(self, target_id: str) -> None:
        """Drop what is known of a process that has ended."""
        self._known.pop(target_id, None)
        self._learnt.pop(target_id, None)
        for means in self._samples.values():
            means.pop(target_id, None)

    def refresh(self) -> None:
        """Compute the slowness of the targets from what is known now."""
        now_s = self._clock.monotonic_s()
        self._refreshed_s = now_s
        sums: dict[str, tuple[float, float]] = {}
        for key, means in list(self._samples.items()):
            self._add_deviations(key, means, sums)
        for target_id, known in list(self._known.items()):
            weight, total = sums.get(target_id, (0.0, 0.0))
            known.own_weight = weight
            known.own = total / weight if weight else 0.0
            peers_weight = known.peers.weight(now_s)
            if weight + peers_weight < _MIN_WEIGHT:
                self._known.pop(target_id)
                continue
            total += known.peers.mean * peers_weight
            known.combined = total / (weight + peers_weight + _PRIOR_WEIGHT)
        self._update_learnt()

    def _update_learnt(self) -> None:
        """Find the targets that differ; tell which begin or cease to."""
        before = frozenset(self._learnt)
        self._learnt.clear()
        self._normalise()
        for target_id in before.symmetric_difference(self._learnt):
            self.on_change(target_id, self.learnt(target_id))

    def _normalise(self) -> None:
        """Let the typical target of each service have a slowness of 1."""
        services: dict[str, list[_TargetKnowledge]] = {}
        for known in self._known.values():
            services.setdefault(known.target.service, []).append(known)
        for rows in services.values():
            typical = _typical([row.combined for row in rows])
            for row in rows:
                row.combined -= typical
                if abs(row.combined) >= _MIN_LOG_DIFFERENCE:
                    self._learnt[row.target.target_id] = _bounded(
                        math.exp(row.combined), _MIN_LEARNT, _MAX_LEARNT
                    )

    def _find(self, target: TargetRecord) -> _TargetKnowledge | None:
        """Return what is known of a process; None if a later one replaced it."""
        known = self._known.get(target.target_id)
        if known is not None and known.target.process != target.process:
            if target.started_ms < known.target.started_ms:
                return None
            self.forget(target.target_id)
            known = None
        if known is None:
            known = _TargetKnowledge(target)
            self._known[target.target_id] = known
        return known

    def _replace_report(
        self,
        known: _TargetKnowledge,
        node: str,
        log_slowness: float,
        weight: float,
    ) -> None:
        now_s = self._clock.monotonic_s()
        before = known.reports.get(node)
        if before is not None:
            left = before[1] * _decay(now_s - before[2])
            known.peers.add(before[0], now_s, -left)
        known.reports[node] = (log_slowness, weight, now_s)
        known.peers.add(log_slowness, now_s, weight)

    def _add_deviations(
        self,
        key: tuple[str, str],
        means: dict[str, _DecayingMean],
        sums: dict[str, tuple[float, float]],
    ) -> None:
        """Add how far each target is from what is usual for a kind of work."""
        now_s = self._clock.monotonic_s()
        weights = {
            target_id: weight
            for target_id, row in means.items()
            if (weight := row.weight(now_s)) >= _MIN_WEIGHT
        }
        if not weights:
            self._samples.pop(key)
            self._usual.pop(key, None)
            return
        usual = median(
            means[target_id].mean - self._combined(target_id)
            for target_id in weights
        )
        self._usual[key] = usual
        if len(weights) == 1:
            # Nothing to compare with.
            return
        for target_id, weight in weights.items():
            known_weight, total = sums.get(target_id, (0.0, 0.0))
            sums[target_id] = (
                known_weight + weight,
                total + weight * (means[target_id].mean - usual),
            )

    def _combined(self, target_id: str) -> float:
        known = self._known.get(target_id)
        return 0.0 if known is None else known.combined


def _ignore(target_id: str, slowness: float) -> None:
    """Default callback for changes."""


def _is_clear(known: _TargetKnowledge) -> bool:
    """Whether a target differs from the others by own samples alone."""
    shrunk = known.own * known.own_weight / (known.own_weight + _PRIOR_WEIGHT)
    return abs(shrunk) >= _MIN_LOG_DIFFERENCE


def _typical(logs: list[float]) -> float:
    """Return the centre of the targets that are known.

    The median is far from it if only those are known that differ, and the mean
    if there is one unusual target among a few.
    """
    if len(logs) < 2:
        return 0.0
    return min(median(logs), fmean(logs), key=abs)


def _decay(age_s: float) -> float:
    return math.exp(-max(0.0, age_s) / _DECAY_TIME.total_seconds())


def _bounded(number: float, least: float, greatest: float) -> float:
    return min(greatest, max(least, number))
