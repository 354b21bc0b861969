"""How the processes of targets mark the ends of their streams."""

from collections import OrderedDict
from typing import Final, final

# Far above the number of processes that serve at the same time.
_MAX_PROCESSES: Final = 1000
# Fewer streams tell nothing of a process.
_MIN_STREAMS: Final = 20
# Lowest share of streams with a marked end at which one without is an exception.
_MARKED_SHARE: Final = 0.95


@final
class FramingHistory:
    """Tells the processes that mark the ends of their streams from others.

    HTTP allows a response to end with its connection, and some services end all
    of theirs so. But where a process marks the ends of its streams by chunks, one
    without a mark has most likely lost its rest.
    """

    def __init__(self) -> None:
        """Start without streams."""
        # Streams with a marked end, and all, by process; the latest is last.
        self._streams: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def record(self, process: str, is_marked: bool) -> None:
        """Record the end of a stream."""
        marked, ended = self._streams.get(process, (0, 0))
        self._streams[process] = (marked + is_marked, ended + 1)
        self._streams.move_to_end(process)
        if len(self._streams) > _MAX_PROCESSES:
            self._streams.popitem(last=False)

    def marks_ends(self, process: str) -> bool:
        """Tell whether a process marks the ends of its streams."""
        marked, ended = self._streams.get(process, (0, 0))
        return ended >= _MIN_STREAMS and marked >= ended * _MARKED_SHARE
