"""Processes of targets that have ended a response before its end."""

from typing import Final, final

# Far above the number of processes that serve at the same time.
_MAX_PROCESSES: Final = 1000


@final
class EarlyEnds:
    """Processes whose ends of responses without length prove nothing.

    A process that ends one stream early is likely to end others, and nothing
    in such a response tells a half from the whole. The start time of a process
    is part of its identifier, so one that replaces it is trusted again.
    """

    def __init__(self) -> None:
        """Trust all processes."""
        # As an ordered set: the process with the latest evidence is last.
        self._processes: dict[str, None] = {}

    def record(self, process: str) -> None:
        """Record evidence against a process."""
        self._processes.pop(process, None)
        self._processes[process] = None
        if len(self._processes) > _MAX_PROCESSES:
            oldest = next(iter(self._processes))
            self._processes.pop(oldest)

    def is_known(self, process: str) -> bool:
        """Tell whether there is evidence against a process."""
        return process in self._processes
