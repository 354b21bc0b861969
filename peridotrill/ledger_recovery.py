"""What a ledger still lacks after a restart of its agent or a move of keys."""

from typing import Final, NamedTuple, final

from peridotrill.messages import EntryRef, Hello
from peridotrill.placement import Placement, home_version

RECOVERING: Final = 'recovering'
COMPLETE: Final = 'complete'
INCOMPLETE: Final = 'incomplete'


class Need(NamedTuple):
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

    def __init__(self, started_s: float, service: str) -> None:
        """:param started_s: clock value at the start of the agent.

        :param service: its placements matter to this agent.
        """
        self.started_s = started_s
        self._service = service
        self._informed_offset = -1
        self._registered: set[EntryRef] = set()
        self._pushed: dict[EntryRef, int] = {}
        self._lost_s: dict[EntryRef, float] = {}
        self._dropped_s = float('-inf')
        self._placements: dict[int, Placement] = {}

    @property
    def version(self) -> int:
        """The newest placement that any entry has announced; 0 if none."""
        return max(self._placements, default=0)

    def observe(self, hello: Hello, now_s: float) -> None:
        """Take over the lists of an entry.

        The lists are joined and not replaced, since an entry that lags
        behind the log does not know of every other entry.

        :param hello: of any entry, also a repeated one.
        """
        self._informed_offset = max(self._informed_offset, hello.log_offset)
        self._registered.update(hello.registered)
        self._registered.add(EntryRef(hello.entry_id, hello.incarnation))
        for lost in hello.lost:
            ref = EntryRef(lost.entry_id, lost.incarnation)
            lost_s = now_s - lost.lost_age_s
            self._lost_s[ref] = max(lost_s, self._lost_s.get(ref, lost_s))
        for row in hello.placements.get(self._service, ()):
            placement = Placement(
                row.version,
                tuple(row.targets),
                now_s - row.age_s,
            )
            self._placements.setdefault(row.version, placement)

    def forget(self, now_s: float, retention_s: float) -> None:
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

    def mark_dropped(self, now_s: float) -> None:
        """:param now_s: when a pushed record found no room."""
        self._dropped_s = now_s

    def need(self, key_digest: bytes) -> Need:
        """Return what must have been pushed for a key whose home is here."""
        rows = [self._placements[known] for known in sorted(self._placements)]
        version = home_version(key_digest, rows)
        if not version:
            return Need(0, self.started_s)
        moved_s = self._placements[version].since_s
        return Need(version, max(self.started_s, moved_s))

    def missing(self, version: int = 0) -> list[EntryRef]:
        """Return the entries whose records are awaited.

        :param version: placement by which they must have been chosen.
        """
        pushed = {ref for ref, seen in self._pushed.items() if seen >= version}
        return sorted(self._registered - pushed - self._lost_s.keys())

    def incomplete_until_s(self, retention_s: float, need: Need) -> float:
        """Return when the last lost record has passed its retention.

        A request of a lost entry may have run until the earlier incarnation
        of the agent ended, or until the entry was lost if it may have gone
        to an earlier home, but not for longer than the retention.

        :param retention_s: of the service.
        """
        oldest_s = need.since_s - 2 * retention_s
        until_s = self._dropped_s
        for entry, lost_s in self._lost_s.items():
            is_pushed = self._pushed.get(entry, -1) >= need.version
            if not is_pushed and lost_s >= oldest_s:
                last_s = max(need.since_s, lost_s if need.version else 0)
                until_s = max(until_s, last_s)
        return until_s + retention_s

    def state(
        self,
        now_s: float,
        retention_s: float,
        need: Need | None = None,
    ) -> str:
        """Return RECOVERING, INCOMPLETE or COMPLETE.

        :param retention_s: once it has passed since the change, no earlier
            key matters any more.
        :param need: of a key; that of a key which never moved if None.
        """
        need = need or Need(0, self.started_s)
        is_old = now_s > need.since_s + retention_s
        is_informed = self._informed_offset >= need.version
        if not is_old and (not is_informed or self.missing(need.version)):
            return RECOVERING
        if now_s <= self.incomplete_until_s(retention_s, need):
            return INCOMPLETE
        return COMPLETE
