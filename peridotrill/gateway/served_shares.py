"""Which parts of the waiting requests are served far less often than all.

The parts are priorities, teams, kinds (routes) and the large requests of each
kind. The shares are counted while requests wait, over some seconds.
"""

from collections.abc import Iterable
from itertools import groupby
from operator import itemgetter
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock

# The counts are halved after this time, so that they cover several bursts of some
# seconds and the calm between them.
_HALF_LIFE_S: Final = 10.0
# With fewer requests, the share of a part is not known.
_MIN_OFFERED: Final = 4.0
# Counts below this are forgotten, so that parts that are gone take no memory.
_MIN_KEPT: Final = 0.1

_KIND: Final = 'kind'
# A part of this type counts as starved below this ratio of the share of all
# requests. The bounds are a half for sizes, and a quarter for teams; the margins
# are for the time that passes until more requests of the part are served.
_STARVED_RATIOS: Final = {
    'size': 0.7,
    _KIND: 0.7,
    'team': 0.4,
    'priority': 0.4,
}
# A kind must be served more often than less urgent ones by this factor.
_INVERSION_MARGIN: Final = 1.5
# With a larger share of requests that are served, nothing is starved.
_ENOUGH: Final = 0.95
# Limits of the size classes of a kind, as multiples of its mean work.
_LARGE: Final = 1.4
_LARGEST: Final = 2.2


class PartKey(NamedTuple):
    """A part of the requests; ``size_class`` is 0 if it has all sizes.

    A kind is counted for each priority, as teams may have their own.
    """

    part: str
    name: str = ''
    priority: int = 0
    size_class: int = 0


@final
class _Counts:
    """Requests of a part that were served or turned away."""

    __slots__ = ('offered', 'served')

    def __init__(self) -> None:
        self.offered = 0.0
        self.served = 0.0

    def halve(self) -> None:
        """Give the next requests more weight than those before."""
        self.offered /= 2
        self.served /= 2

    @property
    def share(self) -> float:
        """Part of the requests that was served."""
        return self.served / self.offered


def size_class(work: float, mean_work: float) -> int:
    """Return the size class of a request among those of its kind."""
    return (work > mean_work * _LARGE) + (work > mean_work * _LARGEST)


@final
class ServedShares:
    """Counts how many requests of each part were served."""

    def __init__(self, clock: Clock) -> None:
        """Start without counts."""
        self._clock = clock
        self._halved_s = clock.monotonic_s()
        self._all = _Counts()
        self._parts: dict[PartKey, _Counts] = {}

    def record(self, keys: Iterable[PartKey], is_served: bool) -> None:
        """Count a request that was served or turned away.

        :param keys: the parts that it belongs to.
        """
        self._all.offered += 1
        self._all.served += is_served
        for key in keys:
            counts = self._parts.get(key)
            if counts is None:
                counts = _Counts()
                self._parts[key] = counts
            counts.offered += 1
            counts.served += is_served

    def starved(self) -> frozenset[PartKey]:
        """Return the parts that are served far less often than all requests.

        A kind that is served less often than a less urgent one counts as well.
        """
        self._halve()
        if self._all.offered < _MIN_OFFERED or self._all.share > _ENOUGH:
            return frozenset()
        share = self._all.share
        found = {
            key
            for key, counts in self._parts.items()
            if counts.offered >= _MIN_OFFERED
            and counts.share < share * _STARVED_RATIOS[key.part]
        }
        return frozenset(found | self._inverted())

    def _inverted(self) -> set[PartKey]:
        """Return the kinds that less urgent ones come close to or exceed."""
        rows = sorted(
            (
                (key.priority, counts.share, key)
                for key, counts in self._parts.items()
                if key.part == _KIND and counts.offered >= _MIN_OFFERED
            ),
            reverse=True,
        )
        found: set[PartKey] = set()
        highest: float = 0
        for _, group in groupby(rows, key=itemgetter(0)):
            kinds = tuple(group)
            found.update(
                key
                for _, share, key in kinds
                if share < min(highest * _INVERSION_MARGIN, _ENOUGH)
            )
            highest = max(highest, kinds[0][1])
        return found

    def _halve(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._halved_s < _HALF_LIFE_S:
            return
        self._halved_s = now_s
        self._all.halve()
        for key, counts in tuple(self._parts.items()):
            counts.halve()
            if counts.offered < _MIN_KEPT:
                self._parts.pop(key)
