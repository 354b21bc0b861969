"""Shares of the gateways in what is left of a capacity.

Gateways learn of each other's requests from their reports, so that several may
take the same capacity between two of them. Each therefore takes no more than
its share, and the shares add up to one. A part is divided evenly; the rest goes
mostly to one gateway at a time, since an even share may be too small for any
request. They take turns without a message: all derive the same order from the
time. At the start of a turn, while the reports on the one before are under way,
there are only the even shares.
"""

import zlib
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.gateway.report_timing import report_interval_s

# Length of a turn and of the pause at its start, in intervals between reports.
# One report may be lost.
_TURN_INTERVALS: Final = 5
_PAUSE_INTERVALS: Final = 2.5
# Part that is divided evenly. Of the rest, the first of a turn gets a half, the
# second a quarter, and so on.
_EVEN_PART: Final = 0.3
# Turns of different keys begin at different times, so that not all are in the
# pause at once.
_OFFSETS: Final = 1000
# The time is computed from the clocks of all gateways only this often.
_CACHE_S: Final = 0.02


@final
class SenderRotation:
    """The share of this gateway at the moment, by key."""

    def __init__(
        self,
        node: str,
        peers: Callable[[], Iterable[str]],
        unix_s: Callable[[], float],
        clock: Clock,
    ) -> None:
        """:param peers: returns all other gateways, also silent ones.

        :param unix_s: returns the time that all gateways agree on.
        """
        self._node = node
        self._peers = peers
        self._unix_s = unix_s
        self._clock = clock
        self._read_s: float | None = None
        self._now_turns = 0.0
        self._nodes: tuple[str, ...] = (node,)
        self._offsets: dict[str, float] = {}
        # Turn of each key, and the place of this gateway in its order.
        self._places: dict[str, tuple[int, int]] = {}

    @property
    def gateways(self) -> int:
        """Number of all gateways."""
        self._read_time()
        return len(self._nodes)

    def share(self, key: str) -> float:
        """Return the part of what is left that this gateway may use now."""
        self._read_time()
        if len(self._nodes) == 1:
            return 1.0
        even = _EVEN_PART / len(self._nodes)
        place = self._place(key)
        if place is None:
            return even
        return even + (1 - _EVEN_PART) / 2 ** (place + 1)

    def is_first(self, key: str) -> bool:
        """Return whether it is the turn of this gateway."""
        self._read_time()
        return len(self._nodes) == 1 or self._place(key) == 0

    def _place(self, key: str) -> int | None:
        """Return the place in the order of a turn; None in the pause."""
        offset = self._offsets.get(key)
        if offset is None:
            offset = zlib.crc32(key.encode()) % _OFFSETS / _OFFSETS
            self._offsets[key] = offset
        turn, part = divmod(self._now_turns + offset, 1)
        if part < _PAUSE_INTERVALS / _TURN_INTERVALS:
            return None
        known = self._places.get(key)
        if known is not None and known[0] == turn:
            return known[1]
        own = _rank(key, turn, self._node)
        place = sum(_rank(key, turn, node) < own for node in self._nodes)
        self._places[key] = (int(turn), place)
        return place

    def _read_time(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._read_s is not None and now_s - self._read_s < _CACHE_S:
            return
        self._read_s = now_s
        nodes = (self._node, *self._peers())
        if len(nodes) != len(self._nodes):
            self._places.clear()
            self._offsets.clear()
        self._nodes = nodes
        interval_s = report_interval_s(len(nodes) - 1)
        self._now_turns = self._unix_s() / (interval_s * _TURN_INTERVALS)


def _rank(key: str, turn: float, node: str) -> bytes:
    """Return by what the gateways are ordered in a turn.

    With CRC-32, whose values for similar texts are related, some gateways would
    hardly ever be the first.
    """
    name = f'{key}/{int(turn)}/{node}'.encode()
    return blake2b(name, digest_size=8).digest()
