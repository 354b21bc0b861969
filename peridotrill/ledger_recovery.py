"""What a ledger still lacks after a restart of its agent or a move of keys."""

from typing import Final, NamedTuple, final

from peridotrill.messages import EntryRef, Hello
from peridotrill.placement import Placement, version_of_home

RECOVERING: Final = 'recovering'
COMPLETE: Final = 'complete'
INCOMPLETE: Final = 'incomplete'


class RecoveryRequirement(NamedTuple):
    """What must have been pushed before an unknown key is known to be new.

    Records count if they were pushed by placement ``version`` or a later
    one. ``since_s`` is when the key last could run at an earlier home or at
    an earlier incarnation of this agent, unless an entry missed the change.
    """

    version: int
    since_s: float


@final
class Recovery:
    """Tracks which registered entries have pushed their records."""

    def __init__(self, started_at_s: float, service: str) -> None:
        """:param started_s: clock value at the start of the agent.

        :param service: its placements matter to this agent.
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
        """The newest placement that any entry has announced; 0 if none."""
        return max(self._placements, default=0)

    def update_from_hello(self, hello: Hello, now_s: float) -> None:
        """Take over the lists of an entry.

        The lists are joined and not replaced, since an entry that lags
        behind the log does not know of every other entry.

        :param hello: of any entry, also a repeated one.
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
        """Drop placements whose successor is older than two retentions.

        :param retention_s: of the service.
        """
        versions = sorted(self._placements)
        for version, successor in zip(versions, versions[1:], strict=False):
            age_s = now_s - self._placements[successor].since_s
            if age_s > 2 * retention_s:
                self._placements.pop(version)

    def mark_pushed(self, entry: EntryRef, version: int) -> None:
        """Note that an entry has pushed its last record.

        :param version: placement by which it chose the records.
        """
        self._pushed[entry] = max(version, self._pushed.get(entry, version))

    def mark_record_dropped(self, now_s: float) -> None:
        """:param now_s: when a pushed record found no room."""
        self._record_dropped_at_s = now_s

    def requirement(self, key_digest: bytes) -> RecoveryRequirement:
        """Return what must have been pushed for a key whose home is here."""
        rows = [self._placements[known] for known in sorted(self._placements)]
        version = version_of_home(key_digest, rows)
        if not version:
            return RecoveryRequirement(0, self.started_at_s)
        moved_s = self._placements[version].since_s
        return RecoveryRequirement(version, max(self.started_at_s, moved_s))

    def awaited_entries(self, version: int = 0) -> list[EntryRef]:
        """Return the entries whose records are awaited.

        :param version: placement by which they must have been chosen.
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
        """Return when the last lost record has passed its retention.

        A request of a lost entry may have run until the earlier incarnation
        of the agent ended, or until the entry was lost if it may have gone
        to an earlier home, but not for longer than the retention.

        :param retention_s: of the service.
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

        :param retention_s: once it has passed since the change, no earlier
            key matters any more.
        :param need: of a key; that of a key which never moved if None.
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
