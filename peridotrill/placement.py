"""Placement of idempotency keys on home targets, agreed through the log.

All entries derive the home of a key from the same record, so that two of
them can differ only while one has not yet read a newer record.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.records import PlacementChanged

PLACEMENT_LEASE: Final = 'placement'
# A set with added targets is recorded once it has not changed for this long,
# so that a fleet that starts causes one record. A target that leaves is taken
# out at once, because its keys wait for their new home.
STABLE_TIME: Final = timedelta(seconds=1)


class Placement(NamedTuple):
    """The targets that are homes from a record on.

    ``version`` is the offset of the record, ``since_s`` its platform time.
    """

    version: int
    targets: tuple[str, ...]
    since_s: float


def home_target(key_digest: bytes, targets: Iterable[str]) -> str | None:
    """Return the home of a key by rendezvous hashing.

    :param targets: ids of the targets; None if there are none.
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
    """Return the version since which the key has its present home.

    :param placements: oldest first.
    :return: 0 if the key had the same home in all of them.
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
    """Append a placement and drop those that no longer matter.

    A placement matters until its successor is older than the retention,
    because a key may have run at a home of it.
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
        """:param clock: measures how long a set has been stable."""
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

        :param targets: ids of the targets that can be homes.
        :param epoch: of the lease ``placement``, which the caller holds.
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
        """Return for how many seconds the set has not changed."""
        now_s = self._clock.monotonic_s()
        seen, since_s = self._seen.get(service, (frozenset(), now_s))
        if seen != targets:
            since_s = now_s
        self._seen[service] = (targets, since_s)
        return now_s - since_s
