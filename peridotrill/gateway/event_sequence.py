"""Order of the events of one stream, over all runs that contribute to it."""

import math
from typing import Final, NamedTuple, final

from peridotrill.exceptions import TargetOutcomeUnknown

# Longer ids are not read as numbers.
_MAX_ID_DIGITS: Final = 18
# A service numbers its events with gaps if at least this many have been seen,
# and they are at least this part of all steps from one event to the next.
_MIN_GAPS: Final = 3
_GAP_RATIO: Final = 0.25
# Gaps after which a target counts as one that numbers its events with gaps, if
# they are the same part of its own steps.
_MIN_TARGET_GAPS: Final = 2
# So many targets show that it is the numbering of their service: fewer may be
# faulty.
_MIN_TARGETS: Final = 2
# Older steps of a target count half each time that so many have been observed.
_MAX_STEPS: Final = 10_000
# Targets of a service that are remembered, those with the latest events.
_MAX_TARGETS: Final = 100


class _Steps(NamedTuple):
    """Steps from one event to the next, and those that leave ids out."""

    steps: int = 0
    gaps: int = 0

    def add(self, is_gap: bool) -> '_Steps':
        """Return the counts with one more step."""
        steps, gaps = self.steps + 1, self.gaps + is_gap
        if steps >= _MAX_STEPS:
            return _Steps(steps // 2, gaps // 2)
        return _Steps(steps, gaps)

    def has_gaps(self, min_gaps: int) -> bool:
        """Whether there are too many gaps for an occasional fault."""
        return self.gaps >= min_gaps and self.gaps >= _GAP_RATIO * self.steps


@final
class EventNumbering:
    """Whether the ids of a service's events are consecutive numbers.

    Ids have to increase, and no more is required of them. Those of a service
    count as consecutive until too many of its events leave numbers out, at
    several targets or at the only one.
    """

    def __init__(self) -> None:
        """Start without observations."""
        # By target, those with the latest events last.
        self._targets: dict[str, _Steps] = {}

    def is_consecutive(self, target_id: str, is_only_target: bool) -> bool:
        """Whether an event that leaves numbers out follows a lost one.

        :param target_id: target that sends the event.

        :param is_only_target: whether no other target serves.
        """
        rows = self._targets.values()
        total = _Steps(
            sum(row.steps for row in rows), sum(row.gaps for row in rows)
        )
        if not total.has_gaps(_MIN_GAPS):
            return True
        with_gaps = [row.has_gaps(_MIN_TARGET_GAPS) for row in rows]
        if sum(with_gaps) >= _MIN_TARGETS:
            return False
        own = self._targets.get(target_id, _Steps())
        return not (is_only_target and own.has_gaps(_MIN_TARGET_GAPS))

    def observe(self, target_id: str, is_gap: bool) -> None:
        """Count the step from one event of a target to the next."""
        known = self._targets.pop(target_id, _Steps())
        self._targets[target_id] = known.add(is_gap)
        if len(self._targets) > _MAX_TARGETS:
            self._targets.pop(next(iter(self._targets)))


@final
class EventNumberings:
    """The numbering of each service, as one gateway has observed it."""

    def __init__(self) -> None:
        """Start without observations."""
        self._numberings: dict[str, EventNumbering] = {}

    def find(self, service: str) -> EventNumbering:
        """Return the numbering of a service."""
        return self._numberings.setdefault(service, EventNumbering())


@final
class EventSequence:
    """Tells which events of a run the caller lacks.

    A run is the output of one attempt. One that continues a stream may repeat
    events that the caller has. Ids that are no integers are never compared.
    """

    def __init__(
        self, resume_after: bytes | None, numbering: EventNumbering
    ) -> None:
        """:param resume_after: id of the last event that the caller has.

        :param numbering: of the service that sends the events.
        """
        self.last_id = resume_after
        self._numbering = numbering
        self.forwarded = 0
        # Events that the caller had, and events before which ids are left out
        # or that do not follow the previous one of their run.
        self.skipped = 0
        self.gaps = 0
        self.disordered = 0
        self._run_number: int | None = None
        # Target that sends the run, and whether no other one serves.
        self._target_id = ''
        self._is_only_target = True
        # Id that the run goes on after.
        self._run_after = resume_after

    def start_run(
        self, target_id: str = '', is_only_target: bool = True
    ) -> None:
        """Begin the output of another attempt.

        :param is_only_target: whether no other target of the service serves.
        """
        self._run_number = None
        self._target_id = target_id
        self._is_only_target = is_only_target
        self._run_after = self.last_id

    def count_received(self, events: int) -> float:
        """Return the number of events of the stream up to the end of a run.

        That is infinity if it is not known, and may be too high if ids are left
        out.

        :param events: events of the run, with those that the caller had.
        """
        if self._run_after is None:
            return events
        before = _parse_number(self._run_after)
        return math.inf if before is None else before + events

    def accept(self, event_id: bytes | None) -> bool:
        """Return whether the next event of the run is to be forwarded.

        Raises TargetOutcomeUnknown if it does not follow the previous one, or
        if one between them is missing.
        """
        number = _parse_number(event_id)
        if number is not None:
            self._require_order(number)
            if self._is_duplicate(number):
                self.skipped += 1
                return False
            self._require_no_gap(number)
        if event_id is not None:
            self.last_id = event_id
        self.forwarded += 1
        return True

    def require_end(self) -> None:
        """Raise TargetOutcomeUnknown if the run ends too early.

        A whole run does not end before an event that the caller has.
        """
        last_number = _parse_number(self.last_id)
        if self._run_number is None or last_number is None:
            return
        if self._run_number < last_number:
            raise TargetOutcomeUnknown(
                f'stream ended at event {self._run_number}, before '
                f'{last_number}'
            )

    def _require_order(self, number: int) -> None:
        previous, self._run_number = self._run_number, number
        if previous is not None and number <= previous:
            self.disordered += 1
            raise TargetOutcomeUnknown(f'event {number} after {previous}')

    def _is_duplicate(self, number: int) -> bool:
        last_number = _parse_number(self.last_id)
        return last_number is not None and number <= last_number

    def _require_no_gap(self, number: int) -> None:
        last_number = _parse_number(self.last_id)
        if last_number is None:
            if self.last_id is not None:
                return
            last_number = 0
        is_gap = number > last_number + 1
        self._numbering.observe(self._target_id, is_gap)
        if not is_gap:
            return
        self.gaps += 1
        if self._numbering.is_consecutive(
            self._target_id, self._is_only_target
        ):
            raise TargetOutcomeUnknown(f'event {number} after {last_number}')


def _parse_number(event_id: bytes | None) -> int | None:
    """Return the number in an id; None if it is none."""
    if event_id is None or len(event_id) > _MAX_ID_DIGITS:
        return None
    return int(event_id) if event_id.isdigit() else None
