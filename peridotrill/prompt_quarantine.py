"""Quarantine of requests and prompt parts under which target processes crash.

A request that comes again is treated like a part of its prompt that only its
repeats share; its digest is the id of that part. In what follows, a part can be
either.

A part is suspected if a process ends while it runs a request with the part
that has not proved harmless. One crash proves nothing: all other requests at
the process are suspected with it. A part is quarantined after several crashes
in a row, without a response to any prompt with the part in between.

Quarantined parts are tried again after a time that grows with each crash, as
a prompt may have been blamed for unrelated failures.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.target_crashes import CrashLog, Exposure, TargetCrash

# Crashes in a row after which a part is quarantined. At fewer, a rarely used
# part could be blamed for the crashes of flapping targets.
MIN_CRASHES: Final = 3
# Quarantine after the first of these crashes; each further crash multiplies it.
_FIRST_HOLD: Final = timedelta(seconds=30)
_HOLD_FACTOR: Final = 4
# Time after which the outcome of a trial request is known.
_TRIAL_TIME: Final = timedelta(seconds=10)
_MIN_RETRY_AFTER_S: Final = 1.0
# Limits of the memory; the parts whose last crash or proof is the oldest are
# forgotten first.
_MAX_SUSPECTS: Final = 4000
_MAX_PROOFS: Final = 4000
_MAX_EXPOSURES: Final = 16


class Quarantine(NamedTuple):
    """Why a request is not sent, and when the part may be tried again."""

    part_id: str
    crashes: int
    retry_after_s: float


class _PartExposure(NamedTuple):
    """The last request with a part that a process was running at its end.

    ``companions`` are the parts of all such requests at the process.
    """

    alive_s: float
    ended_s: float
    companions: frozenset[str]


class _Suspect:
    """The crashes of one part since the last proof that it is harmless."""

    def __init__(self) -> None:
        self.exposures: dict[str, _PartExposure] = {}
        self.crashes = 0
        self.last_crash_s = 0.0
        self.trial_until_s = float('-inf')

    @property
    def is_quarantined(self) -> bool:
        return self.crashes >= MIN_CRASHES

    @property
    def companions(self) -> frozenset[str]:
        """The parts that came with this one at each crash."""
        rows = [row.companions for row in self.exposures.values()]
        return frozenset.intersection(*rows)

    @property
    def hold_until_s(self) -> float:
        """When the quarantine ends."""
        factor = _HOLD_FACTOR ** (self.crashes - MIN_CRASHES)
        return self.last_crash_s + _FIRST_HOLD.total_seconds() * factor

    def add(self, process: str, exposure: _PartExposure) -> None:
        """Add an exposure; one process can only crash once."""
        known = self.exposures.get(process)
        if known is not None:
            ended_s = min(known.ended_s, exposure.ended_s)
            exposure = _PartExposure(
                min(ended_s, max(known.alive_s, exposure.alive_s)),
                ended_s,
                known.companions | exposure.companions,
            )
        self.exposures[process] = exposure
        if len(self.exposures) > _MAX_EXPOSURES:
            oldest = min(
                self.exposures, key=lambda name: self.exposures[name].ended_s
            )
            self.exposures.pop(oldest)
        self._count()

    def clear_before(self, proven_s: float) -> None:
        """Drop the crashes before a proof that the part is harmless."""
        self.exposures = {
            process: row
            for process, row in self.exposures.items()
            if row.ended_s > proven_s
        }
        self._count()

    def _count(self) -> None:
        """Count the crashes in a row.

        A crash counts only if its process was running after the last one that
        counts, and was sent the request later than that: processes that end
        together, for another reason, may all have been running requests with
        the part, and requests are sent to them until their ends are known.
        """
        self.crashes = 0
        self.last_crash_s = float('-inf')
        for row in sorted(self.exposures.values(), key=lambda row: row.ended_s):
            if row.alive_s > self.last_crash_s:
                self.crashes += 1
                self.last_crash_s = row.ended_s


@final
class PromptQuarantine:
    """Suspected and quarantined parts, as known to one process."""

    def __init__(self, clock: Clock, log: CrashLog) -> None:
        """Start without suspected parts."""
        self._clock = clock
        self._log = log
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        # For each part, when a response to a prompt with it last began.
        self._proofs: OrderedDict[str, float] = OrderedDict()

    def find(self, parts: Collection[str]) -> Quarantine | None:
        """Return the quarantine that applies to a prompt, or None.

        Where a part came with another one at each crash, either may be to
        blame. Then only prompts with both are held back, and the outcomes of
        the others decide.

        :param parts: ids of the parts that other requests may share.
        """
        for part_id in parts:
            suspect = self._suspects.get(part_id)
            if suspect is None or not suspect.is_quarantined:
                continue
            if self._find_blamed(suspect) <= set(parts):
                wait_s = suspect.hold_until_s - self._clock.monotonic_s()
                return Quarantine(
                    part_id, suspect.crashes, max(_MIN_RETRY_AFTER_S, wait_s)
                )
        return None

    @property
    def has_suspects(self) -> bool:
        """Whether any part is suspected."""
        return bool(self._suspects)

    def is_suspected(self, part_id: str) -> bool:
        """Whether a process crashed under a part since its last response."""
        return part_id in self._suspects

    def last_crash_s(self, parts: Iterable[str]) -> float:
        """Return when a process last ended under one of the parts.

        Negative infinity if none of them is suspected.
        """
        return max(
            (
                suspect.last_crash_s
                for part_id in parts
                if (suspect := self._suspects.get(part_id))
            ),
            default=float('-inf'),
        )

    def try_start_trial(self, part_id: str) -> bool:
        """Allow one request with a part whose quarantine has ended.

        Until its outcome is known, no other request is allowed.
        """
        suspect = self._suspects.get(part_id)
        now_s = self._clock.monotonic_s()
        if suspect is None or now_s < max(
            suspect.hold_until_s, suspect.trial_until_s
        ):
            return False
        suspect.trial_until_s = now_s + _TRIAL_TIME.total_seconds()
        self._log.write('part_tried', part=part_id, crashes=suspect.crashes)
        return True

    def record_crash(self, crash: TargetCrash) -> list[str]:
        """Suspect the parts of the requests at a process that has ended.

        :return: the parts that were proved harmless after the crash.
        """
        harmless: list[str] = []
        for exposure in crash.exposures:
            for part_id in exposure.parts:
                if self._proofs.get(part_id, float('-inf')) >= crash.ended_s:
                    harmless.append(part_id)
                else:
                    self._suspect(part_id, crash, exposure)
        return harmless

    def record_proof(self, parts: Iterable[str], started_s: float) -> list[str]:
        """Record that a process survived the start of a response.

        :param started_s: when the response began.
        :return: the parts that were suspected.
        """
        cleared: list[str] = []
        for part_id in parts:
            known_s = self._proofs.pop(part_id, started_s)
            self._proofs[part_id] = max(known_s, started_s)
            suspect = self._suspects.get(part_id)
            if suspect is not None:
                self._clear(part_id, suspect, started_s)
                cleared.append(part_id)
        while len(self._proofs) > _MAX_PROOFS:
            self._proofs.popitem(last=False)
        return cleared

    def proven_s(self, part_id: str) -> float | None:
        """Return when a response to a prompt with a part last began."""
        return self._proofs.get(part_id)

    def quarantined_crashes(self) -> list[TargetCrash]:
        """Return the crashes that the quarantined parts are blamed for."""
        crashes: list[TargetCrash] = []
        for suspect in self._suspects.values():
            if suspect.is_quarantined:
                blamed = tuple(sorted(self._find_blamed(suspect)))
                crashes.extend(
                    TargetCrash(
                        process, row.ended_s, (Exposure(blamed, row.alive_s),)
                    )
                    for process, row in suspect.exposures.items()
                )
        return crashes

    @property
    def quarantined_parts(self) -> list[str]:
        """Ids of the quarantined parts."""
        return [
            part_id
            for part_id, suspect in self._suspects.items()
            if suspect.is_quarantined
        ]

    def _find_blamed(self, suspect: _Suspect) -> set[str]:
        """Return a part and those that came with it and are quarantined."""
        return {
            part_id
            for part_id in suspect.companions
            if (row := self._suspects.get(part_id)) and row.is_quarantined
        }

    def _suspect(
        self, part_id: str, crash: TargetCrash, exposure: Exposure
    ) -> None:
        suspect = self._suspects.setdefault(part_id, _Suspect())
        self._suspects.move_to_end(part_id)
        crashes_before = suspect.crashes
        suspect.add(
            crash.process,
            _PartExposure(
                exposure.alive_s, crash.ended_s, frozenset(exposure.parts)
            ),
        )
        if suspect.is_quarantined and suspect.crashes > crashes_before:
            self._log.write(
                'part_quarantined',
                part=part_id,
                crashes=suspect.crashes,
                blamed_with=','.join(self._find_blamed(suspect) - {part_id})
                or None,
                hold_s=round(suspect.hold_until_s - suspect.last_crash_s),
            )
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _clear(self, part_id: str, suspect: _Suspect, proven_s: float) -> None:
        was_quarantined = suspect.is_quarantined
        suspect.clear_before(proven_s)
        if was_quarantined and not suspect.is_quarantined:
            self._log.write('part_released', part=part_id)
        if not suspect.exposures:
            self._suspects.pop(part_id)
