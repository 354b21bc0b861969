"""Records of the idempotency keys that this entry has sent to targets.

They rebuild the ledger of a restarted agent. When the home target of a key
changes, they tell the new agent what may have run at the previous target.
"""

from typing import Final, Literal, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.messages import ForwardedKey, ForwardedKeys
from peridotrill.placement import Placement, home_target

# Limits the size of one message.
RECORDS_PER_MESSAGE: Final = 1000

KeyState = Literal['sent', 'answered', 'unknown']


class _Row(NamedTuple):
    service: str
    key_digest: bytes
    request_digest: bytes
    recorded_at_s: float
    expires_at_s: float
    state: KeyState


@final
class ForwardedKeyTable:
    """Records of forwarded keys, by attempt id."""

    def __init__(self, clock: Clock) -> None:
        """Initialize an empty table.

        :param clock: monotonic clock from which the record ages are derived.
        """
        self._clock = clock
        self._rows: dict[str, _Row] = {}

    def record(
        self,
        service: str,
        attempt_id: str,
        key_digest: bytes,
        request_digest: bytes,
        retention_s: float,
    ) -> None:
        """Add the record of a key; must be called before the attempt is sent.

        :param retention_s: how long the record is kept.
        """
        now_s = self._clock.monotonic_s()
        self._rows[attempt_id] = _Row(
            service,
            key_digest,
            request_digest,
            now_s,
            now_s + retention_s,
            'sent',
        )

    def set_state(self, attempt_id: str, state: KeyState) -> None:
        """Set the state of an attempt."""
        row = self._rows.get(attempt_id)
        if row is not None:
            self._rows[attempt_id] = row._replace(state=state)

    def remove(self, attempt_id: str) -> None:
        """Remove the record of an attempt that did not and will not run."""
        self._rows.pop(attempt_id, None)

    def records_by_home(
        self,
        service: str,
        placement: Placement,
    ) -> dict[str, list[ForwardedKey]]:
        """Return the records of a service by the home target of their key.

        :param placement: newest placement of the service.
        """
        self.expire()
        now_s = self._clock.monotonic_s()
        homes: dict[str, list[ForwardedKey]] = {}
        for attempt_id, row in self._rows.items():
            home = home_target(row.key_digest, placement.targets)
            if row.service == service and home is not None:
                record = ForwardedKey(
                    row.key_digest,
                    row.request_digest,
                    attempt_id,
                    now_s - row.recorded_at_s,
                    row.state,
                )
                homes.setdefault(home, []).append(record)
        return homes

    def messages(
        self,
        service: str,
        target_id: str,
        placement: Placement,
    ) -> list[ForwardedKeys]:
        """Return the messages with the records of a home target's keys.

        :param placement: newest placement of the service.
        """
        records = self.records_by_home(service, placement).get(target_id, [])
        return split_records(records, placement.version)

    def expire(self) -> None:
        """Remove records whose retention has passed."""
        now_s = self._clock.monotonic_s()
        self._rows = {
            attempt_id: row
            for attempt_id, row in self._rows.items()
            if row.expires_at_s > now_s
        }

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._rows)


def split_records(
    records: list[ForwardedKey],
    version: int,
) -> list[ForwardedKeys]:
    """Split records into messages for an agent; returns at least one.

    :param version: placement by which the records were selected.
    """
    starts = range(0, max(1, len(records)), RECORDS_PER_MESSAGE)
    return [
        ForwardedKeys(
            records[start : start + RECORDS_PER_MESSAGE],
            is_last=start + RECORDS_PER_MESSAGE >= len(records),
            placement_version=version,
        )
        for start in starts
    ]
