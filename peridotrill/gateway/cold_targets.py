"""Targets that have just started and tolerate few requests.

A cold target that gets more than its limit within a second crashes. The limit
holds for all gateways together, also for those that are cut off or have just
started, so that it can't depend on reports: each gateway has a fixed share.
"""

import math
from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.event_log import EventSink
from peridotrill.gateway.peers import rank_for_key
from peridotrill.gateway.targets import TargetRecord
from peridotrill.gateway.token_bucket import TokenBucket

# Part of the limit that the known gateways use. The rest is for gateways that
# are not known here yet, and for requests that are held up while they are sent.
_USED_RATIO: Final = 0.8
# Largest part of that which is a rate; the rest is for single requests that all
# senders may send at the same moment.
_RATE_RATIO: Final = 0.75
# After the cold time the limit is raised for this long before it ends, so that
# what has been waiting does not arrive at once.
_RAMP: Final = timedelta(seconds=1)
_RAMP_FACTOR: Final = 2
# Time in which a record that a target has made reaches the store. One that was
# written later than this after an event was made after it.
_MAX_RECORD_DELAY: Final = timedelta(seconds=1)
# Bounds what a wrong figure can do, beyond the time that the service declares.
_MAX_COLD_TIME: Final = timedelta(seconds=60)
_MS_PER_S: Final = 1000


class WarmUpRule(NamedTuple):
    """What the targets of a service tolerate while they are cold.

    ``duration_s`` is how long a target is cold after its start, ``rate_per_s``
    the requests that it tolerates, and ``max_per_second`` the limit within any
    second.
    """

    duration_s: float
    rate_per_s: float
    max_per_second: float


class SenderShare(NamedTuple):
    """How many gateways send to a cold target, and what each of them may send.

    Within a second, that is at most ``burst`` and ``rate_per_s`` together.
    """

    senders: int
    rate_per_s: float
    burst: float


def share_limit(rule: WarmUpRule, gateways: int) -> SenderShare:
    """Divide the limit of a cold target between gateways.

    A gateway that sends at all may send one request at any moment, so the
    number of senders bounds what arrives at the same time.
    """
    limit = rule.max_per_second * _USED_RATIO
    rate_per_s = min(rule.rate_per_s, limit * _RATE_RATIO)
    burst = limit - rate_per_s
    senders = max(1, min(gateways, int(burst)))
    return SenderShare(senders, rate_per_s / senders, max(1, burst / senders))


@final
class _ColdTarget:
    """State of one cold target at this gateway."""

    def __init__(self, rule: WarmUpRule, now_s: float) -> None:
        self.rule = rule
        self.until_s = now_s
        # When something that happened to the target last showed that it is cold.
        self.event_s = -math.inf
        # The same two as far as this gateway knows itself.
        self.known_until_s = now_s
        self.known_event_s = -math.inf
        # An earlier process of this gateway, or this one while it did not know,
        # may have sent requests within the last second.
        self.bucket = TokenBucket(now_s)
        # The number of gateways for which the next two hold.
        self.gateways = 0
        self.share = SenderShare(0, 0, 0)
        self.is_sender = False


@final
class ColdTargets:
    """The targets that are cold, and what this gateway may send to them."""

    def __init__(
        self,
        node: str,
        peers: Callable[[], Collection[str] | None],
        find_rule: Callable[[str], WarmUpRule | None],
        clock: Clock,
        log: EventSink,
    ) -> None:
        """:param peers: returns all other gateways, also silent ones; None while
            they are not known.

        :param find_rule: returns the rule of a service; None if its targets
            are never cold.
        """
        self._node = node
        self._peers = peers
        self._find_rule = find_rule
        self._clock = clock
        self._log = log
        self._targets: dict[str, _ColdTarget] = {}
        # Times after which targets wrote records that say that they are not cold.
        self._ready_s: dict[str, float] = {}

    def observe_record(
        self,
        record: TargetRecord,
        is_new: bool,
        written_after_s: float | None = None,
    ) -> None:
        """Apply the record of a target.

        :param is_new: whether its process has not been known before. What it
            says of itself then replaces what is known of an earlier process.

        :param written_after_s: a monotonic time after which it was written. It
            may have been read much later, if the store was slow or away. None
            if it was written just now.
        """
        if is_new:
            self.forget(record.target_id)
        if record.cold_left_ms is not None:
            now_s = self._clock.monotonic_s()
            self._apply_record(
                record, now_s if written_after_s is None else written_after_s
            )
        elif is_new:
            self.assume(record, 'new process')

    def observe_response(
        self, target: TargetRecord, cold_left_ms: float | None
    ) -> None:
        """Apply what a target says in a response of its remaining cold time."""
        if cold_left_ms:
            self._extend(target, cold_left_ms / _MS_PER_S, 'response')

    def assume(self, target: TargetRecord, source: str) -> None:
        """Take a target for one that has just started.

        :param source: what suggests it, for the log.
        """
        rule = self._find_rule(target.service)
        if rule is not None:
            self._extend(target, rule.duration_s, source)

    def observe_peer(
        self,
        cold_targets: Mapping[str, tuple[int, int]],
        find_target: Callable[[str], TargetRecord | None],
    ) -> None:
        """Apply a report of another gateway.

        :param cold_targets: by target, the remaining cold time and the time
            since the event that it follows from, in milliseconds.
        """
        for target_id, (left_ms, age_ms) in cold_targets.items():
            target = find_target(target_id)
            if target is not None:
                self._extend(
                    target, left_ms / _MS_PER_S, 'peer', age_ms / _MS_PER_S
                )

    def report(self) -> dict[str, tuple[int, int]]:
        """Return the remaining cold times that this gateway knows itself.

        Each is with the time since the event that it follows from.

        What others have reported is left out: it is some time old when it
        arrives, so gateways would extend the time by telling each other.
        """
        now_s = self._clock.monotonic_s()
        for known_id, known in list(self._targets.items()):
            self._end_if_warm(known_id, known, now_s)
        return {
            target_id: (
                round((row.known_until_s - now_s) * _MS_PER_S),
                round((now_s - row.known_event_s) * _MS_PER_S),
            )
            for target_id, row in self._targets.items()
            if row.known_until_s > now_s
        }

    def has_room(self, target_id: str) -> bool:
        """Return whether a target may get a request from this gateway now."""
        row = self._targets.get(target_id)
        if row is None:
            return True
        now_s = self._clock.monotonic_s()
        if self._end_if_warm(target_id, row, now_s):
            return True
        self._update_share(target_id, row)
        if not row.gateways:
            # Its share can't be told from that of all gateways together.
            return False
        if now_s < row.until_s:
            # The others save up nothing, or all would send as the time ends.
            rate_per_s = row.share.rate_per_s if row.is_sender else 0
            row.bucket.refill(now_s, rate_per_s, row.share.burst)
            return row.is_sender and row.bucket.tokens >= 1
        rate_per_s = row.rule.rate_per_s * _RAMP_FACTOR / row.gateways
        row.bucket.refill(now_s, rate_per_s, max(1, row.share.burst))
        return row.bucket.tokens >= 1

    def charge(self, target_id: str) -> None:
        """Count a request to a target."""
        row = self._targets.get(target_id)
        if row is not None:
            row.bucket.tokens -= 1

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that was removed or replaced."""
        self._targets.pop(target_id, None)
        self._ready_s.pop(target_id, None)

    @property
    def count(self) -> int:
        """Number of targets that are cold."""
        now_s = self._clock.monotonic_s()
        return sum(row.until_s > now_s for row in self._targets.values())

    def _end_if_warm(
        self, target_id: str, row: _ColdTarget, now_s: float
    ) -> bool:
        """Drop the state of a target that is no longer limited."""
        is_warm = now_s >= row.until_s + _RAMP.total_seconds()
        if is_warm:
            self._targets.pop(target_id)
            self._log.write('target_warm', target=target_id)
        return is_warm

    def _apply_record(
        self, record: TargetRecord, written_after_s: float
    ) -> None:
        if record.cold_left_ms:
            self._extend(record, record.cold_left_ms / _MS_PER_S, 'record')
            return
        made_after_s = written_after_s - _MAX_RECORD_DELAY.total_seconds()
        self._ready_s[record.target_id] = made_after_s
        row = self._targets.get(record.target_id)
        if row is None:
            return
        now_s = self._clock.monotonic_s()
        if made_after_s > row.event_s:
            row.until_s = min(row.until_s, now_s)
        if made_after_s > row.known_event_s:
            row.known_until_s = min(row.known_until_s, now_s)

    def _extend(
        self,
        target: TargetRecord,
        left_s: float,
        source: str,
        reported_age_s: float | None = None,
    ) -> None:
        """Take a target for cold for some time at least.

        :param reported_age_s: time since the event that another gateway reports;
            None if this gateway knows it itself, and it is new.
        """
        rule = self._find_rule(target.service)
        if rule is None:
            return
        now_s = self._clock.monotonic_s()
        event_s = now_s - (reported_age_s or 0)
        if event_s < self._ready_s.get(target.target_id, -math.inf):
            # The target was ready after that.
            return
        row = self._targets.get(target.target_id)
        if row is None:
            row = _ColdTarget(rule, now_s)
            self._targets[target.target_id] = row
        if row.rule != rule:
            row.rule = rule
            row.gateways = 0
        if now_s >= row.until_s:
            self._log.write(
                'target_cold',
                target=target.target_id,
                source=source,
                left_ms=round(left_s * _MS_PER_S),
            )
        longest_s = max(_MAX_COLD_TIME.total_seconds(), rule.duration_s)
        until_s = now_s + min(left_s, longest_s)
        row.until_s = max(row.until_s, until_s)
        row.event_s = max(row.event_s, event_s)
        if reported_age_s is None:
            row.known_event_s = event_s
            row.known_until_s = max(row.known_until_s, until_s)

    def _update_share(self, target_id: str, row: _ColdTarget) -> None:
        peers = self._peers()
        # Members are added, but never removed.
        if peers is None or len(peers) + 1 == row.gateways:
            return
        nodes = (*peers, self._node)
        row.gateways = len(nodes)
        row.share = share_limit(row.rule, len(nodes))
        chosen = rank_for_key(nodes, target_id, row.share.senders)
        row.is_sender = self._node in chosen
