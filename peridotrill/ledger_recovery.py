"""Recovery of a ledger after a restart of its agent or a move of keys."""

from typing import Final, NamedTuple, final

from peridotrill.messages import EntryRef, Hello
from peridotrill.placement import Placement, home_version

RECOVERING: Final = 'recovering'
COMPLETE: Final = 'complete'
INCOMPLETE: Final = 'incomplete'


class RecoveryRequirement(NamedTuple):
    """Records that must have arrived before an unknown key counts as new.

    Records count if they were sent for placement ``version`` or a later one.
    ``since_s`` is when the key last could run at an earlier home target or at
    an earlier incarnation of this agent, unless an entry missed the change.
    """

    version: int
    since_s: float


@final
class Recovery:
    """Tracks which registered entries have sent all of their records."""

    def __init__(self, started_at_s: float, service: str) -> None:
        """Initialize the recovery state.

        :param started_at_s: clock value at the start of the agent.
        :param service: service of the target; its placements are tracked.
        """
        self.started_at_s = started_at_s
        self._service = service
        self._max_log_offset = -1
        self._registered: set[EntryRef] = set()
        self._pushed: dict[EntryRef, int] = {}
        self._lost_at_s: dict[EntryRef, float] = {}
        self._record_dropped_at_s = float('-inf')
        self._placements: dict[int, Placement] = {}

    @property
    def version(self) -> int:
        """Newest placement version that an entry has announced, or 0."""
        return max(self._placements, default=0)

    def update_from_hello(self, hello: Hello, now_s: float) -> None:
        """Merge the lists of entries and placements of an entry.

        The lists are merged rather than replaced, because an entry that lags
        behind the log does not know of every other entry.

        :param hello: first or repeated Hello of any entry.
        """
        self._max_log_offset = max(self._max_log_offset, hello.log_offset)
        self._registered.update(hello.registered)
        self._registered.add(EntryRef(hello.entry_id, hello.incarnation))
        for lost in hello.lost:
            ref = EntryRef(lost.entry_id, lost.incarnation)
            lost_at_s = now_s - lost.lost_age_s
            self._lost_at_s[ref] = max(
                lost_at_s, self._lost_at_s.get(ref, lost_at_s)
            )
        for row in hello.placements.get(self._service, ()):
            placement = Placement(
                row.version,
                tuple(row.targets),
                now_s - row.age_s,
            )
            self._placements.setdefault(row.version, placement)

    def drop_old_placements(self, now_s: float, retention_s: float) -> None:
        """Drop placements whose successor is older than two retention times.

        :param retention_s: retention of the keys of the service.
        """
        versions = sorted(self._placements)
        for version, successor in zip(versions, versions[1:], strict=False):
            age_s = now_s - self._placements[successor].since_s
            if age_s > 2 * retention_s:
                self._placements.pop(version)

    def mark_pushed(self, entry: EntryRef, version: int) -> None:
        """Record that an entry has sent its last record.

        :param version: placement by which the entry selected the records.
        """
        self._pushed[entry] = max(version, self._pushed.get(entry, version))

    def mark_record_dropped(self, now_s: float) -> None:
        """Record that a record was dropped because the ledger was full.

        :param now_s: when the record was dropped.
        """
        self._record_dropped_at_s = now_s

    def requirement(self, key_digest: bytes) -> RecoveryRequirement:
        """Return which records an unknown key of this home target needs."""
        rows = [self._placements[known] for known in sorted(self._placements)]
        version = home_version(key_digest, rows)
        if not version:
            return RecoveryRequirement(0, self.started_at_s)
        moved_s = self._placements[version].since_s
        return RecoveryRequirement(version, max(self.started_at_s, moved_s))

    def awaited_entries(self, version: int = 0) -> list[EntryRef]:
        """Return the entries whose records have not arrived yet.

        Entries that are lost are left out.

        :param version: oldest placement for which the records count.
        """
        pushed = {
            ref
            for ref, pushed_version in self._pushed.items()
            if pushed_version >= version
        }
        return sorted(self._registered - pushed - self._lost_at_s.keys())

    def incomplete_until_s(
        self, retention_s: float, requirement: RecoveryRequirement
    ) -> float:
        """Return when the retention of the last lost record has passed.

        A request of a lost entry may have run until the earlier incarnation
        of the agent ended. If it may have been sent to an earlier home
        target, it may have run until the entry was lost. No request runs for
        longer than the retention.

        :param retention_s: retention of the keys of the service.
        """
        oldest_s = requirement.since_s - 2 * retention_s
        until_s = self._record_dropped_at_s
        for entry, lost_at_s in self._lost_at_s.items():
            is_pushed = self._pushed.get(entry, -1) >= requirement.version
            if not is_pushed and lost_at_s >= oldest_s:
                last_s = max(
                    requirement.since_s, lost_at_s if requirement.version else 0
                )
                until_s = max(until_s, last_s)
        return until_s + retention_s

    def state(
        self,
        now_s: float,
        retention_s: float,
        requirement: RecoveryRequirement | None = None,
    ) -> str:
        """Return RECOVERING, INCOMPLETE or COMPLETE.

        :param retention_s: retention of the keys; once it has passed since
            the restart or move, earlier keys no longer matter.
        :param requirement: records that a key needs; by default those of a
            key that never moved.
        """
        requirement = requirement or RecoveryRequirement(0, self.started_at_s)
        has_retention_passed = now_s > requirement.since_s + retention_s
        is_up_to_date = self._max_log_offset >= requirement.version
        if not has_retention_passed and (
            not is_up_to_date or self.awaited_entries(requirement.version)
        ):
            return RECOVERING
        if now_s <= self.incomplete_until_s(retention_s, requirement):
            return INCOMPLETE
        return COMPLETE
