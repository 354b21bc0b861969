"""Usage windows, derived from the records of the log.

Every reader of the log derives the same windows.
"""

from typing import Final, NamedTuple, final

from peridotrill.records import UsageAcknowledged, UsageClosed, UsageCounted
from peridotrill.statechart import StateMachine, load_chart

# Acknowledged windows that are kept.
KEPT_WINDOWS: Final = 10
# Sequence numbers are kept for this many processes, those counted last.
KEPT_PROCESSES: Final = 4096

_chart: Final = load_chart('usage_window')


class UsageFigure(NamedTuple):
    """Usage of one team."""

    requests: int
    prompt_tokens: int
    output_tokens: int

    def plus(self, other: 'UsageFigure') -> 'UsageFigure':
        """Return the sum."""
        return UsageFigure(
            *(one + two for one, two in zip(self, other, strict=True))
        )

    def minus(self, other: 'UsageFigure') -> 'UsageFigure':
        """Return the difference."""
        return UsageFigure(
            *(one - two for one, two in zip(self, other, strict=True))
        )


NO_USAGE: Final = UsageFigure(0, 0, 0)


@final
class UsageWindow:
    """One window: figures by team, immutable once it is closed."""

    def __init__(self, start_s: int) -> None:
        """:param start_s: start of the window in platform time."""
        self.start_s = start_s
        self.end_s = start_s
        self.figures: dict[str, UsageFigure] = {}
        self.unacknowledged: set[str] = set()
        self.conflicts: set[str] = set()
        self._machine = StateMachine(_chart)

    @property
    def state(self) -> str:
        """State in the statechart ``usage_window``."""
        return self._machine.state

    def to_snapshot(self) -> 'WindowSnapshot':
        """Return the content of the window, for a snapshot."""
        return WindowSnapshot(
            self.start_s,
            self.end_s,
            self.state,
            self.figures,
            sorted(self.unacknowledged),
            sorted(self.conflicts),
        )

    @classmethod
    def from_snapshot(cls, content: 'WindowSnapshot') -> 'UsageWindow':
        """Restore a window from a snapshot."""
        window = cls(content.start_s)
        window.end_s = content.end_s
        window.figures = dict(content.figures)
        window.unacknowledged = set(content.unacknowledged)
        window.conflicts = set(content.conflicts)
        window._machine = StateMachine(_chart, content.state)  # noqa: SLF001
        return window

    def add(self, team: str, figure: UsageFigure) -> None:
        """Add usage of a team to an open window."""
        self.figures[team] = self.figures.get(team, NO_USAGE).plus(figure)

    def close(self, end_s: int) -> None:
        """Close the window; its figures no longer change.

        :param end_s: end of the window in platform time.
        """
        self._machine.fire('close')
        self.end_s = end_s
        self.unacknowledged = set(self.figures)
        if not self.unacknowledged:
            self._machine.fire('acknowledge_last')

    def acknowledge(self, teams: list[str], conflicts: list[str]) -> None:
        """Record the teams whose figures the platform accepted or rejected."""
        if not self._machine.allows('acknowledge'):
            return
        self.conflicts.update(conflicts)
        self.unacknowledged.difference_update(teams, conflicts)
        last = not self.unacknowledged
        self._machine.fire('acknowledge_last' if last else 'acknowledge')


class WindowSnapshot(NamedTuple):
    """Stored form of one window."""

    start_s: int
    end_s: int
    state: str
    figures: dict[str, UsageFigure]
    unacknowledged: list[str]
    conflicts: list[str]


class UsageSnapshot(NamedTuple):
    """Stored form of all windows."""

    windows: list[WindowSnapshot]
    carried: dict[str, UsageFigure]
    sequences: dict[str, int]
    forgotten_before_s: int


@final
class UsageWindows:
    """The windows that are kept, oldest first.

    Usage that is counted after its window was closed is carried over to the
    window that is closed next.
    """

    def __init__(self) -> None:
        """Create an empty set of windows."""
        self.windows: dict[int, UsageWindow] = {}
        self.carried: dict[str, UsageFigure] = {}
        self._sequences: dict[str, int] = {}
        self._forgotten_before_s = 0

    def count(self, record: UsageCounted) -> None:
        """Apply a record of counts; repeated records have no effect."""
        source = record['incarnation']
        if record['sequence'] <= self._sequences.get(source, 0):
            return
        # Inserted again at the end, so that the process counted longest ago is
        # the first.
        self._sequences.pop(source, None)
        self._sequences[source] = record['sequence']
        if len(self._sequences) > KEPT_PROCESSES:
            self._sequences.pop(next(iter(self._sequences)))
        for team, numbers in record['counts'].items():
            self._add(record['window_start_s'], team, UsageFigure(*numbers))

    def close(self, record: UsageClosed) -> None:
        """Close a window and add the usage that was carried over.

        Has no effect if the window is closed already.
        """
        window = self._window(record['window_start_s'])
        if window.state != 'open':
            return
        for team, figure in self.carried.items():
            window.add(team, figure)
        self.carried = {}
        window.close(record['window_end_s'])
        self._forget_old()

    def acknowledge(self, record: UsageAcknowledged) -> None:
        """Apply the responses of the platform for a window."""
        window = self.windows.get(record['window_start_s'])
        if window is not None:
            window.acknowledge(record['teams'], record['conflicts'])

    def to_snapshot(self) -> UsageSnapshot:
        """Return the content of all windows, for a snapshot."""
        return UsageSnapshot(
            [window.to_snapshot() for window in self.windows.values()],
            self.carried,
            self._sequences,
            self._forgotten_before_s,
        )

    @classmethod
    def from_snapshot(cls, snapshot: UsageSnapshot) -> 'UsageWindows':
        """Restore the windows from a snapshot."""
        restored = cls()
        for content in snapshot.windows:
            window = UsageWindow.from_snapshot(content)
            restored.windows[content.start_s] = window
        restored.carried = dict(snapshot.carried)
        restored._sequences = dict(snapshot.sequences)  # noqa: SLF001
        restored._forgotten_before_s = (  # noqa: SLF001
            snapshot.forgotten_before_s
        )
        return restored

    def _add(self, start_s: int, team: str, figure: UsageFigure) -> None:
        is_forgotten = start_s < self._forgotten_before_s
        window = None if is_forgotten else self._window(start_s)
        if window is not None and window.state == 'open':
            window.add(team, figure)
        else:
            self.carried[team] = self.carried.get(team, NO_USAGE).plus(figure)

    def _window(self, start_s: int) -> UsageWindow:
        if start_s not in self.windows:
            self.windows[start_s] = UsageWindow(start_s)
        return self.windows[start_s]

    def _forget_old(self) -> None:
        done = sorted(
            start_s
            for start_s, window in self.windows.items()
            if window.state == 'acknowledged'
        )
        for start_s in done[:-KEPT_WINDOWS]:
            self.windows.pop(start_s)
            self._forgotten_before_s = start_s + 1
