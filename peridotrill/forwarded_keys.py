"""Records of the idempotency keys that this entry sent to targets.

They rebuild the ledger of an agent that restarted.
"""

from typing import Final, Literal, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.messages import ForwardedKey, ForwardedKeys

# Bounds the size of one message.
RECORDS_PER_MESSAGE: Final = 1000

KeyState = Literal['sent', 'answered', 'unknown']


class _Row(NamedTuple):
    key_digest: bytes
    request_digest: bytes
    recorded_at_s: float
    keep_until_s: float
    state: KeyState


@final
class ForwardedKeyBook:
    """Forwarded-key records by target and attempt."""

    def __init__(self, clock: Clock) -> None:
        """:param clock: its monotonic time gives the age of the records."""
        self._clock = clock
        self._rows: dict[str, dict[str, _Row]] = {}

    def record(
        self,
        target_id: str,
        attempt_id: str,
        key_digest: bytes,
        request_digest: bytes,
        retention_s: float,
    ) -> None:
        """Keep a key; call this before its attempt is sent."""
        now_s = self._clock.monotonic_s()
        self._rows.setdefault(target_id, {})[attempt_id] = _Row(
            key_digest,
            request_digest,
            now_s,
            now_s + retention_s,
            'sent',
        )

    def mark(self, target_id: str, attempt_id: str, state: KeyState) -> None:
        """Note what became of an attempt."""
        rows = self._rows.get(target_id, {})
        row = rows.get(attempt_id)
        if row is not None:
            rows[attempt_id] = row._replace(state=state)

    def forget(self, target_id: str, attempt_id: str) -> None:
        """Remove the record of an attempt that has not run and never will."""
        self._rows.get(target_id, {}).pop(attempt_id, None)

    def messages(self, target_id: str) -> list[ForwardedKeys]:
        """Return what a new incarnation of the target's agent needs."""
        self.expire()
        now_s = self._clock.monotonic_s()
        records = [
            ForwardedKey(
                row.key_digest,
                row.request_digest,
                attempt_id,
                now_s - row.recorded_at_s,
                row.state,
            )
            for attempt_id, row in self._rows.get(target_id, {}).items()
        ]
        starts = range(0, max(1, len(records)), RECORDS_PER_MESSAGE)
        return [
            ForwardedKeys(
                records[start : start + RECORDS_PER_MESSAGE],
                is_last=start + RECORDS_PER_MESSAGE >= len(records),
            )
            for start in starts
        ]

    def expire(self) -> None:
        """Remove the records whose retention has passed."""
        now_s = self._clock.monotonic_s()
        for target_id, rows in list(self._rows.items()):
            self._rows[target_id] = {
                attempt_id: row
                for attempt_id, row in rows.items()
                if row.keep_until_s > now_s
            }
            if not self._rows[target_id]:
                self._rows.pop(target_id)

    def __len__(self) -> int:
        """Return the number of records."""
        return sum(len(rows) for rows in self._rows.values())
