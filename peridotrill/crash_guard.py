"""Protects targets from requests under which they crash, at one entry."""

import hashlib
from collections.abc import Callable
from typing import Any, Final, Self, final

from peridotrill.clock import Clock
from peridotrill.dispatch import Request
from peridotrill.errors import NOT_RUN, UNKNOWN, RequestError
from peridotrill.prompt_quarantine import PromptQuarantine
from peridotrill.target_crashes import CrashDetector, Exposure

# Reasons that agents give for a connection that broke during the response, and
# for one that could not be opened.
_BROKEN_REASON: Final = 'target_failed'
_UNREACHABLE_REASON: Final = 'target_unreachable'


@final
class _EventWriter:
    """Writes the events of the detector and the quarantine."""

    def __init__(self, emit: Callable[..., Any]) -> None:
        self._emit = emit

    def write(self, event: str, **fields: object) -> None:
        """Write an event."""
        self._emit(event, **fields)


@final
class CrashGuard:
    """Quarantines requests and prompt prefixes by the attempts of one entry.

    Entries do not share what they learn, so each entry may lose as many
    targets as it takes to quarantine one.
    """

    def __init__(
        self,
        clock: Clock,
        detector: CrashDetector,
        quarantine: PromptQuarantine,
    ) -> None:
        """:param detector: its crashes are reported to ``quarantine``."""
        self._clock = clock
        self._detector = detector
        self._quarantine = quarantine
        # How often each target has ended, which tells its processes apart.
        self._ends: dict[str, int] = {}
        detector.on_crash = quarantine.record_crash

    @classmethod
    def from_config(cls, clock: Clock, emit: Callable[..., Any]) -> Self:
        """Return a guard without suspected prefixes.

        :param emit: records an event of the time line.
        """
        writer = _EventWriter(emit)
        return cls(
            clock,
            CrashDetector(clock, writer),
            PromptQuarantine(clock, writer),
        )

    def check(self, request: Request) -> bool:
        """Raise RequestError if the prompt is quarantined.

        An earlier request with the same idempotency key may have run.

        :return: whether the request tries a prefix whose quarantine has ended.
        """
        if not self._quarantine.has_suspects:
            return False
        found = self._quarantine.find(_suspects(request))
        if found is None:
            return False
        if self._quarantine.try_start_trial(found.part_id):
            return True
        outcome = UNKNOWN if request.caller_key else NOT_RUN
        raise RequestError(
            'outcome_unknown' if request.caller_key else 'prompt_quarantined',
            outcome=outcome,
            retry_after_s=found.retry_after_s,
            reason='prompt_quarantined',
        )

    def record_failure(
        self,
        request: Request,
        target_id: str,
        error: RequestError,
        sent_s: float | None,
    ) -> None:
        """Record the error of an attempt.

        :param sent_s: when it was sent; None if it has proved harmless.
        """
        process = self._process(target_id)
        if error.reason == _UNREACHABLE_REASON:
            self.record_end(target_id)
        elif error.reason == _BROKEN_REASON:
            exposure = None
            if sent_s is not None:
                exposure = Exposure(_suspects(request), sent_s)
            self._detector.record_broken(process, exposure)

    def record_end(self, target_id: str) -> None:
        """Record that a target does not respond to its agent any more."""
        self._detector.record_end(
            self._process(target_id), 'target does not respond'
        )
        self._ends[target_id] = self._ends.get(target_id, 0) + 1

    def record_harmless(self, request: Request, started_s: float) -> None:
        """Record that a target goes on with its response to the prompt."""
        self._quarantine.record_proof(_prefixes(request), started_s)
        # Proofs of all requests would displace those of prefixes.
        if self._quarantine.has_suspects:
            digest = _digest(request)
            if self._quarantine.is_suspected(digest):
                self._quarantine.record_proof((digest,), started_s)

    def _process(self, target_id: str) -> str:
        return f'{target_id}/{self._ends.get(target_id, 0)}'


def _suspects(request: Request) -> tuple[str, ...]:
    """Return what a crash of a target may be due to."""
    return (*_prefixes(request), _digest(request))


def _prefixes(request: Request) -> tuple[str, ...]:
    return tuple(f'{number:x}' for number in request.cost.prefix_hashes)


def _digest(request: Request) -> str:
    """Return what repeats of a request have in common."""
    content = hashlib.sha256()
    for field in (
        request.service.name,
        request.team,
        request.method,
        request.path,
    ):
        content.update(f'{len(field)}:{field}'.encode())
    content.update(request.body)
    return content.hexdigest()
