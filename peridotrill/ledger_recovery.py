"""What a ledger still lacks after a restart of its agent."""

from typing import Final, final

from peridotrill.messages import EntryRef, Hello

RECOVERING: Final = 'recovering'
COMPLETE: Final = 'complete'
INCOMPLETE: Final = 'incomplete'


@final
class Recovery:
    """Tracks which registered entries have pushed their records."""

    def __init__(self, started_s: float) -> None:
        """:param started_s: clock value at the start of the agent."""
        self.started_s = started_s
        self._is_informed = False
        self._registered: set[EntryRef] = set()
        self._pushed: set[EntryRef] = set()
        self._lost_s: dict[EntryRef, float] = {}
        self._dropped_s = float('-inf')

    def observe(self, hello: Hello, now_s: float) -> None:
        """Take over the lists of an entry.

        The lists are joined and not replaced, since an entry that lags
        behind the log does not know of every other entry.

        :param hello: of any entry, also a repeated one.
        """
        self._is_informed = True
        self._registered.update(hello.registered)
        self._registered.add(EntryRef(hello.entry_id, hello.incarnation))
        for lost in hello.lost:
            ref = EntryRef(lost.entry_id, lost.incarnation)
            lost_s = now_s - lost.lost_age_s
            self._lost_s[ref] = max(lost_s, self._lost_s.get(ref, lost_s))

    def mark_pushed(self, entry: EntryRef) -> None:
        """:param entry: has pushed its last record."""
        self._pushed.add(entry)

    def mark_dropped(self, now_s: float) -> None:
        """:param now_s: when a pushed record found no room."""
        self._dropped_s = now_s

    def missing(self) -> list[EntryRef]:
        """Return the entries whose records are awaited."""
        return sorted(self._registered - self._pushed - self._lost_s.keys())

    def incomplete_until_s(self, retention_s: float) -> float:
        """Return when the last lost record has passed its retention.

        A request of a lost entry may have run until the earlier incarnation
        of the agent ended, but not for longer than the retention.

        :param retention_s: of the service.
        """
        oldest_s = self.started_s - 2 * retention_s
        until_s = self._dropped_s
        for entry, lost_s in self._lost_s.items():
            if entry not in self._pushed and lost_s >= oldest_s:
                until_s = max(until_s, self.started_s)
        return until_s + retention_s

    def state(self, now_s: float, retention_s: float) -> str:
        """Return RECOVERING, INCOMPLETE or COMPLETE.

        :param retention_s: once it has passed since the start, no earlier
            key matters any more.
        """
        is_old = now_s > self.started_s + retention_s
        if not is_old and (not self._is_informed or self.missing()):
            return RECOVERING
        if now_s <= self.incomplete_until_s(retention_s):
            return INCOMPLETE
        return COMPLETE
