"""Ledger of the idempotency keys of one target; each key runs at most once.

The ledger is kept in memory. After a restart of the agent it is rebuilt from
the records that entries send; see ``ledger_recovery``.
"""

import heapq
from collections import OrderedDict
from typing import Final, NamedTuple, TypeAlias, final

from peridotrill.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from peridotrill.ledger_recovery import COMPLETE, RECOVERING, Recovery
from peridotrill.messages import (
    EntryRef,
    ForwardedKey,
    ForwardedKeys,
    Hello,
    StartAttempt,
)
from peridotrill.statechart import Chart, StateMachine, load_chart

DEFAULT_CAPACITY_BYTES: Final = 12 * 1024 * 1024
MAX_STORED_RESPONSE_BYTES: Final = 64 * 1024
DEFAULT_RETENTION_S: Final = 900.0
# Longer than the deadline of any request. A start that arrives after its
# deadline is refused as expired, so its id need not be stored any longer.
REFUSED_ATTEMPT_RETENTION_S: Final = 900.0
# Estimated memory per key and per refused attempt id, rounded up: resident
# memory grew by 492 and 217 bytes for each in a full ledger.
_KEY_BYTES: Final = 640
_REFUSED_ATTEMPT_BYTES: Final = 320
_HEADER_OVERHEAD_BYTES: Final = 192
_RECOVERING_RETRY_S: Final = 0.25


class StoredResponse(NamedTuple):
    """Complete response, stored for later requests with the same key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    prompt_tokens: int
    output_tokens: int


class Run(NamedTuple):
    """Decision: the key is new, so the request may run."""


class Join(NamedTuple):
    """Decision: attach to the attempt that is running with this key."""

    attempt_id: str


class Replay(NamedTuple):
    """Decision: send the stored response of an earlier request."""

    answer: StoredResponse


class Failure(NamedTuple):
    """Decision: the request ran, or may have run, without a full response."""

    code: str
    detail: str
    outcome: str


class Refusal(NamedTuple):
    """Decision: start nothing; ``not_run`` is as in ``AttemptRefused``."""

    code: str
    detail: str
    not_run: bool
    retry_after_s: float = 0.0


Decision: TypeAlias = Run | Join | Replay | Failure | Refusal


@final
class Ledger:
    """Decides whether a request with an idempotency key may run."""

    def __init__(
        self,
        clock: Clock,
        service: str,
        capacity_bytes: int = DEFAULT_CAPACITY_BYTES,
    ) -> None:
        """Initialize an empty ledger.

        :param service: name of the service of the target.
        :param capacity_bytes: maximum memory for keys, refused attempt ids
            and stored responses.
        """
        self.recovery = Recovery(clock.monotonic_s(), service)
        self.used_bytes = 0
        self._clock = clock
        self._capacity_bytes = capacity_bytes
        self._response_bytes = 0
        # Unknown until the first request; until then no key expires.
        self._retention_s: float | None = None
        self._chart = load_chart('ledger_key')
        self._keys: dict[bytes, _Key] = {}
        self._expiry_heap: list[tuple[float, bytes]] = []
        self._refused_attempts: OrderedDict[str, float] = OrderedDict()

    def state(self) -> str:
        """Return the recovery state.

        :return: 'recovering', 'complete' or 'incomplete'.
        """
        return self.recovery.state(
            self._clock.monotonic_s(),
            self._retention_s or DEFAULT_RETENTION_S,
        )

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._keys)

    def decide(self, start: StartAttempt) -> Decision:
        """Decide what to do with a request.

        The caller must call ``begin`` if the decision is Run.

        :param start: a request with an idempotency key.
        """
        self._retention_s = max(self._retention_s or 0, start.retention_s)
        self.expire()
        known = self._keys.get(start.key_digest)
        if start.attempt_id in self._refused_attempts:
            # An earlier attempt with this key may have run.
            return Refusal('cancelled', '', known is None)
        if known is not None:
            return known.decide(start)
        refusal = self._refuse_unknown_key(start) if start.caller_key else None
        if refusal is not None:
            return refusal
        if start.only_if_known:
            return Refusal('rate_limited', '', True)
        if self.used_bytes + _KEY_BYTES > self._capacity_bytes:
            return Refusal('ledger_full', '', True, self._next_expiry_s())
        return Run()

    def begin(self, start: StartAttempt) -> None:
        """Record that a request is about to run.

        :param start: request for which ``decide`` has just returned Run.
        """
        # The retention starts when the request ends; until then the key
        # cannot expire.
        key = self._add_key(start.key_digest, float('inf'))
        key.request_digest = start.request_digest
        key.attempt_id = start.attempt_id
        key.machine.fire('begin')

    def answer(self, key_digest: bytes, answer: StoredResponse | None) -> None:
        """Record that a running request was answered.

        :param answer: response to store; None if it is too large.
        """
        key = self._settle(key_digest, 'answer')
        if answer is None:
            return
        size_bytes = _size_bytes(answer)
        # Responses may use at most half of the capacity. The rest is reserved
        # for keys, which must not be evicted.
        limit_bytes = min(
            self._capacity_bytes // 2 - self._response_bytes,
            self._capacity_bytes - self.used_bytes,
        )
        if (
            size_bytes <= limit_bytes
            and len(answer.body) <= MAX_STORED_RESPONSE_BYTES
        ):
            key.answer = answer
            self._response_bytes += size_bytes
            self.used_bytes += size_bytes

    def fail(self, key_digest: bytes, failure: Failure) -> None:
        """Record that a running request ended without a complete response.

        :param failure: if its outcome is 'not_run', the key is removed.
        """
        if failure.outcome == 'not_run':
            self._keys[key_digest].machine.fire('refuse')
            self._remove_key(key_digest)
        elif failure.outcome == 'ran':
            self._settle(key_digest, 'fail').failure = failure
        else:
            self._settle(key_digest, 'lose')

    def refuse_attempt(self, attempt_id: str) -> bool:
        """Store the id of an attempt that must not start any more.

        :return: False if the ledger is full; the id was not stored then, and
            the attempt may still start.
        """
        if attempt_id in self._refused_attempts:
            return True
        self.expire()
        if self.used_bytes + _REFUSED_ATTEMPT_BYTES > self._capacity_bytes:
            return False
        self._refused_attempts[attempt_id] = self._clock.monotonic_s()
        self.used_bytes += _REFUSED_ATTEMPT_BYTES
        return True

    def is_refused(self, attempt_id: str) -> bool:
        """Tell whether an attempt must not start."""
        return attempt_id in self._refused_attempts

    def update_from_hello(self, hello: Hello) -> None:
        """Update the known entries and placements.

        :param hello: lists the registered and lost entries.
        """
        self.recovery.update_from_hello(hello, self._clock.monotonic_s())

    def recover(self, entry: EntryRef, pushed: ForwardedKeys) -> None:
        """Add the records that an entry has sent.

        :param entry: the sender.
        """
        for record in pushed.records:
            if record.state != 'refused':
                self._recover_key(record)
        if pushed.is_last:
            self.recovery.mark_pushed(entry, pushed.placement_version)

    def expire(self) -> None:
        """Remove keys and refused attempt ids whose retention has passed."""
        now_s = self._clock.monotonic_s()
        self._expire_refused_attempts(now_s)
        if self._retention_s is None:
            return
        self.recovery.drop_old_placements(now_s, self._retention_s)
        oldest_s = now_s - self._retention_s
        while self._expiry_heap and self._expiry_heap[0][0] < oldest_s:
            settled_s, key_digest = heapq.heappop(self._expiry_heap)
            key = self._keys.get(key_digest)
            if key is not None and key.settled_s == settled_s:
                self._remove_key(key_digest)

    def _expire_refused_attempts(self, now_s: float) -> None:
        # An ordered dict removes its oldest item in constant time.
        oldest_s = now_s - REFUSED_ATTEMPT_RETENTION_S
        while self._refused_attempts:
            attempt_id, refused_at_s = self._refused_attempts.popitem(
                last=False
            )
            if refused_at_s >= oldest_s:
                self._refused_attempts[attempt_id] = refused_at_s
                self._refused_attempts.move_to_end(attempt_id, last=False)
                return
            self.used_bytes -= _REFUSED_ATTEMPT_BYTES

    def _refuse_unknown_key(self, start: StartAttempt) -> Refusal | None:
        if start.placement_version != self.recovery.version:
            # The key may have moved to another home target since, or may have
            # had a home target that this agent does not know of yet.
            return Refusal('placement_old', '', True, _RECOVERING_RETRY_S)
        state = self.recovery.state(
            self._clock.monotonic_s(),
            self._retention_s or DEFAULT_RETENTION_S,
            self.recovery.requirement(start.key_digest),
        )
        if state == COMPLETE:
            return None
        if state == RECOVERING:
            return Refusal('recovering', '', True, _RECOVERING_RETRY_S)
        return Refusal('outcome_unknown', 'records of an entry are lost', False)

    def _next_expiry_s(self) -> float:
        if not self._expiry_heap or self._retention_s is None:
            return 1
        elapsed_s = self._clock.monotonic_s() - self._expiry_heap[0][0]
        return max(self._retention_s - elapsed_s, 1)

    def _recover_key(self, record: ForwardedKey) -> None:
        event = 'recover_sent'
        if record.state == 'answered':
            event = 'recover_answered'
        # The entry's clock may run faster, by up to MAX_CLOCK_DRIFT.
        age_s = record.age_s * (1 - MAX_CLOCK_DRIFT_RATIO)
        settled_s = self._clock.monotonic_s() - age_s
        if record.state != 'answered':
            # The request may have been running until now, at the previous
            # home target or at the previous incarnation of this agent.
            settled_s = self._clock.monotonic_s()
        key = self._keys.get(record.key_digest)
        if key is None:
            if self.used_bytes + _KEY_BYTES > self._capacity_bytes:
                self.recovery.mark_record_dropped(self._clock.monotonic_s())
                return
            key = self._add_key(record.key_digest, float('-inf'))
            key.request_digest = record.request_digest
            key.attempt_id = record.attempt_id
        if key.machine.allows(event):
            key.machine.fire(event)
        if settled_s > key.settled_s:
            key.settled_s = settled_s
            self._schedule_expiry(record.key_digest, settled_s)

    def _add_key(self, key_digest: bytes, now_s: float) -> '_Key':
        key = _Key(self._chart, now_s)
        self._keys[key_digest] = key
        self.used_bytes += _KEY_BYTES
        return key

    def _settle(self, key_digest: bytes, event: str) -> '_Key':
        key = self._keys[key_digest]
        key.machine.fire(event)
        key.settled_s = self._clock.monotonic_s()
        self._schedule_expiry(key_digest, key.settled_s)
        return key

    def _schedule_expiry(self, key_digest: bytes, settled_s: float) -> None:
        heapq.heappush(self._expiry_heap, (settled_s, key_digest))

    def _remove_key(self, key_digest: bytes) -> None:
        key = self._keys.pop(key_digest)
        self.used_bytes -= _KEY_BYTES
        if key.answer is not None:
            size_bytes = _size_bytes(key.answer)
            self._response_bytes -= size_bytes
            self.used_bytes -= size_bytes


@final
class _Key:
    __slots__ = (
        'answer',
        'attempt_id',
        'failure',
        'machine',
        'request_digest',
        'settled_s',
    )

    def __init__(self, chart: Chart, settled_s: float) -> None:
        self.machine = StateMachine(chart)
        self.settled_s = settled_s
        self.request_digest = b''
        self.attempt_id = ''
        self.answer: StoredResponse | None = None
        self.failure: Failure | None = None

    def decide(self, start: StartAttempt) -> Decision:
        if start.request_digest != self.request_digest:
            return Refusal('idempotency_key_reused', '', True)
        match self.machine.state:
            case 'running':
                return Join(self.attempt_id)
            case 'answered' if self.answer is not None:
                return Replay(self.answer)
            case 'answered':
                return Refusal('answer_not_kept', '', False)
            case 'failed' if self.failure is not None:
                return self.failure
        return Refusal('outcome_unknown', 'an earlier attempt was lost', False)


def _size_bytes(answer: StoredResponse) -> int:
    return len(answer.body) + sum(
        len(name) + len(content) + _HEADER_OVERHEAD_BYTES
        for name, content in answer.headers
    )
