"""Placement of idempotency keys on home targets, based on the shared log.

All entries derive the home target of a key from the same record, so two
entries can disagree only while one of them has not read a newer record.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.records import PlacementChanged

PLACEMENT_LEASE: Final = 'placement'
# A set with added targets is recorded after it has been stable for this long,
# so that the start of a fleet causes a single record. A removed target is
# recorded at once, because its keys cannot be served until they have a new
# home.
STABLE_TIME: Final = timedelta(seconds=1)


class Placement(NamedTuple):
    """The set of home targets, valid from a record of the log on.

    ``version`` is the log offset of the record, ``since_s`` its platform time.
    """

    version: int
    targets: tuple[str, ...]
    since_s: float


def home_target(key_digest: bytes, targets: Iterable[str]) -> str | None:
    """Return the home target of a key, selected by rendezvous hashing.

    :param targets: ids of the targets.
    :return: None if there are no targets.
    """
    return max(
        targets,
        key=lambda target: hashlib.sha256(
            key_digest + target.encode(),
        ).digest(),
        default=None,
    )


def home_version(
    key_digest: bytes,
    placements: Sequence[Placement],
) -> int:
    """Return the version of the placement that gave the key its current home.

    :param placements: oldest first.
    :return: 0 if the key has the same home in all placements.
    """
    homes = [home_target(key_digest, row.targets) for row in placements]
    for index in range(len(homes) - 1, 0, -1):
        if homes[index - 1] != homes[index]:
            return placements[index].version
    return 0


def append_placement(
    placements: Sequence[Placement],
    added: Placement,
    retention_s: float,
) -> tuple[Placement, ...]:
    """Append a placement and drop expired ones.

    A placement expires when its successor is older than the retention time;
    until then, a retained key may have run at a home target of it.
    """
    rows = [*placements, added]
    kept_since_s = added.since_s - retention_s
    while len(rows) > 1 and rows[1].since_s < kept_since_s:
        rows.pop(0)
    return tuple(rows)


@final
class PlacementPlanner:
    """Decides when the set of home targets of a service changes."""

    def __init__(self, clock: Clock) -> None:
        """:param clock: measures how long a set of targets has been stable."""
        self._clock = clock
        self._seen: dict[str, tuple[frozenset[str], float]] = {}

    def next_record(
        self,
        service: str,
        targets: frozenset[str],
        placements: Mapping[str, Sequence[Placement]],
        epoch: int,
    ) -> PlacementChanged | None:
        """Return the record to append now, if any.

        :param targets: ids of the targets that can be home targets.
        :param epoch: epoch of the ``placement`` lease that the calling entry
            holds.
        """
        rows = placements.get(service)
        known = frozenset(rows[-1].targets) if rows else frozenset()
        stable_s = self._stable_seconds(service, targets)
        if not targets or targets == known:
            return None
        if targets >= known and stable_s < STABLE_TIME.total_seconds():
            return None
        return PlacementChanged(
            kind='placement_changed',
            service=service,
            targets=sorted(targets),
            epoch=epoch,
        )

    def _stable_seconds(self, service: str, targets: frozenset[str]) -> float:
        """Return how long the set of targets has been stable."""
        now_s = self._clock.monotonic_s()
        seen, since_s = self._seen.get(service, (frozenset(), now_s))
        if seen != targets:
            since_s = now_s
        self._seen[service] = (targets, since_s)
        return now_s - since_s
