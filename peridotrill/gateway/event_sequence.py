"""Order of the events of one stream, over all runs that contribute to it."""

from typing import Final, final

# Longer ids are not read as numbers.
_MAX_ID_DIGITS: Final = 18


@final
class EventSequence:
    """Tells which events of a run the caller lacks.

    A run is the output of one attempt. One that continues a stream may repeat
    events that the caller has. Ids that are no integers are never compared.
    """

    def __init__(self, resume_after: bytes | None) -> None:
        """:param resume_after: id of the last event that the caller has."""
        self.last_id = resume_after
        self.forwarded = 0
        # Events that the caller had, and events before which ids are left out
        # or that do not follow the previous one of their run.
        self.skipped = 0
        self.gaps = 0
        self.disordered = 0
        self._run_number: int | None = None

    def start_run(self) -> None:
        """Begin the output of another attempt."""
        self._run_number = None

    def accept(self, event_id: bytes | None) -> bool:
        """Return whether the next event of the run is to be forwarded."""
        number = _parse_number(event_id)
        last_number = _parse_number(self.last_id)
        self._observe(number, last_number)
        if number is not None and last_number is not None:
            if number <= last_number:
                self.skipped += 1
                return False
        if event_id is not None:
            self.last_id = event_id
        self.forwarded += 1
        return True

    def _observe(self, number: int | None, last_number: int | None) -> None:
        previous, self._run_number = self._run_number, number
        if number is None:
            return
        if previous is not None and number <= previous:
            self.disordered += 1
        elif number > (last_number or 0) + 1:
            self.gaps += 1


def _parse_number(event_id: bytes | None) -> int | None:
    """Return the number in an id; None if it is none."""
    if event_id is None or len(event_id) > _MAX_ID_DIGITS:
        return None
    return int(event_id) if event_id.isdigit() else None
