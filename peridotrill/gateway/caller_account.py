"""Account of the memory and the connections that callers take.

When either is exhausted, the connections that hold most and transfer least are
given up first, so that a crowd of idle callers does not keep others out.
"""

import math
from collections.abc import Iterator
from typing import Final, NamedTuple, Protocol, final

_MIB: Final = 1024 * 1024
# Memory for a connection without a request: objects and a write buffer.
CONNECTION_BYTES: Final = 8192
# Memory for a request besides its body and the content of its head.
REQUEST_BYTES: Final = 4096
# Memory for a header field besides its content.
FIELD_BYTES: Final = 160
# Share of the memory of a process for its callers. The program itself takes up
# to 60 MB, and responses of targets an eighth of the memory (receive_limits).
_MEMORY_SHARE: Final = 0.25
# Share of the descriptors of a process for its callers; each request takes up to
# two connections to targets at a time.
_DESCRIPTOR_SHARE: Final = 0.6
# Connections may take at most this share of the memory for callers.
_CONNECTION_MEMORY_SHARE: Final = 0.5
# Connections are given up above the first share until the second is reached.
# The rest is for callers that hold little.
_SHED_SHARE: Final = 0.875
_TARGET_SHARE: Final = 0.8125
_LITTLE_BYTES: Final = 96 * 1024
# Part of the connections that is given up at once, so that the search for them is
# rare.
_CONNECTION_BATCH: Final = 1 / 64
# Largest part of the memory for callers that one response may take.
_RESPONSE_SHARE: Final = 0.5
# Bytes that a caller counts as having transferred, and those of one that has just
# connected. With 4 KiB, callers of small requests went before large bodies that
# had just arrived.
_LEAST_TRANSFER_BYTES: Final = 64 * 1024
_FIRST_TRANSFER_BYTES: Final = 64 * 1024
# What remains of the bytes that were transferred earlier, at each sample.
_DECAY: Final = 0.5
SAMPLE_INTERVAL_S: Final = 0.5


class AccountLimits(NamedTuple):
    """What all callers together may take."""

    max_bytes: int = 32 * _MIB
    max_connections: int = 1024

    @classmethod
    def from_machine(
        cls,
        memory_limit_mb: float,
        max_descriptors: float,
        caller_memory_mb: int = 0,
        caller_connections: int = 0,
    ) -> 'AccountLimits':
        """Return the limits of a process.

        :param memory_limit_mb: memory of the process.
        :param max_descriptors: descriptors that the process may open.
        :param caller_memory_mb: limit that is set; 0 derives it.
        :param caller_connections: the same for connections.
        """
        memory_mb = caller_memory_mb or memory_limit_mb * _MEMORY_SHARE
        max_bytes = int(memory_mb * _MIB)
        room = max_bytes * _CONNECTION_MEMORY_SHARE / CONNECTION_BYTES
        connections = min(max_descriptors * _DESCRIPTOR_SHARE, room)
        return cls(max_bytes, caller_connections or max(1, int(connections)))


class ShedReason(NamedTuple):
    """Why a connection is given up."""

    name: str
    # Whether its descriptor is needed at once.
    needs_descriptor: bool = False


MEMORY: Final = ShedReason('memory')
CONNECTIONS: Final = ShedReason('connections', needs_descriptor=True)
STALLED: Final = ShedReason('stalled')


class Sheddable(Protocol):
    """A connection that may be given up."""

    @property
    def shed_weight(self) -> float:
        """How readily the connection is given up; 0 if it may not be."""

    def measure_transfer(self) -> int:
        """Return the bytes that were received and sent so far."""

    def shed(self, reason: ShedReason) -> None:
        """Release what the connection holds, and close it."""


@final
class AccountEntry:
    """What one connection holds."""

    def __init__(self, account: 'CallerAccount', connection: Sheddable) -> None:
        """:param connection: the connection, which may be given up."""
        self._account = account
        self._connection = connection
        self.held_bytes = 0
        self.is_leaving = False
        # Weighted sum of the bytes that were transferred lately.
        self._recent_bytes = float(_FIRST_TRANSFER_BYTES)
        self._sampled_bytes = 0

    def resize(self, held_bytes: int) -> bool:
        """Set what the connection holds; make room for it.

        :return: whether there is room. If not, the connection must release what
            it holds.
        """
        grown_bytes = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        account = self._account
        account.used_bytes += grown_bytes
        return (
            grown_bytes <= 0
            or account.used_bytes <= account.shed_bytes
            or account.make_room(self)
        )

    def sample(self) -> None:
        """Update the recent transfer; called at a fixed interval."""
        transferred = self._connection.measure_transfer()
        moved_bytes = transferred - self._sampled_bytes
        self._sampled_bytes = transferred
        self._recent_bytes = (self._recent_bytes + moved_bytes) * _DECAY

    @property
    def recent_bytes(self) -> int:
        """Weighted sum of the bytes that were transferred lately."""
        transferred = self._connection.measure_transfer()
        return int(self._recent_bytes + transferred - self._sampled_bytes)

    def score(self) -> float:
        """Return how much is held for how little transfer; 0 to keep it."""
        weight = self._connection.shed_weight
        if not weight:
            return 0
        held_bytes = CONNECTION_BYTES + self.held_bytes
        return weight * held_bytes / (self.recent_bytes + _LEAST_TRANSFER_BYTES)

    def shed(self, reason: ShedReason) -> None:
        """Give the connection up."""
        self._connection.shed(reason)
        if reason.needs_descriptor:
            self._account.leave(self)


@final
class CallerAccount:
    """Counts what callers hold, and gives connections up to make room."""

    def __init__(self, limits: AccountLimits) -> None:
        """:param limits: for all callers together."""
        self.limits = limits
        self.max_response_bytes = int(limits.max_bytes * _RESPONSE_SHARE)
        self.shed_bytes = int(limits.max_bytes * _SHED_SHARE)
        self._target_bytes = int(limits.max_bytes * _TARGET_SHARE)
        self.used_bytes = 0
        self.open_connections = 0
        self._entries: set[AccountEntry] = set()

    def open(self, connection: Sheddable) -> AccountEntry | None:
        """Add a connection; return None if there is no room for it."""
        if self.open_connections >= self.limits.max_connections:
            self._shed_connections()
        if self.open_connections >= self.limits.max_connections:
            return None
        entry = AccountEntry(self, connection)
        self._entries.add(entry)
        self.open_connections += 1
        self.used_bytes += CONNECTION_BYTES
        return entry

    def close(self, entry: AccountEntry) -> None:
        """Remove a connection that was closed."""
        if entry not in self._entries:
            return
        self._entries.discard(entry)
        self.leave(entry)
        self.used_bytes -= CONNECTION_BYTES + entry.held_bytes
        entry.held_bytes = 0

    def leave(self, entry: AccountEntry) -> None:
        """Stop counting a connection whose descriptor is about to be closed."""
        if not entry.is_leaving:
            entry.is_leaving = True
            self.open_connections -= 1

    def sample(self) -> None:
        """Update the recent transfer of all connections."""
        for entry in list(self._entries):
            entry.sample()

    def make_room(self, newcomer: AccountEntry) -> bool:
        """Give up what holds most; return whether the newcomer may stay."""
        for entry in self._rank():
            if self.used_bytes <= self._target_bytes:
                return True
            if entry is newcomer:
                break
            if entry.held_bytes:
                entry.shed(MEMORY)
        if self.used_bytes <= self.shed_bytes:
            return True
        return (
            newcomer.held_bytes <= _LITTLE_BYTES
            and self.used_bytes <= self.limits.max_bytes
        )

    def _shed_connections(self) -> None:
        batch = math.ceil(self.limits.max_connections * _CONNECTION_BATCH)
        for entry in self._rank():
            if entry.is_leaving:
                continue
            entry.shed(CONNECTIONS)
            batch -= 1
            if not batch:
                return

    def _rank(self) -> Iterator[AccountEntry]:
        """Return what may be given up, in the order in which that is done."""
        scores = [(entry.score(), entry) for entry in self._entries]
        rows = [row for row in scores if row[0] > 0]
        rows.sort(key=_first, reverse=True)
        return (entry for _, entry in rows)


def _first(row: tuple[float, AccountEntry]) -> float:
    return row[0]
