"""Places at targets: which targets may take a request, and how many."""

from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.gateway.admission_queue import (
    AdmissionQueue,
    Place,
    PlaceFinder,
)
from peridotrill.gateway.beliefs import Beliefs
from peridotrill.gateway.loads import LoadBook
from peridotrill.gateway.prompt_placement import (
    MIN_SPLIT_TOKENS,
    Loads,
    choose_decode,
    choose_least_loaded,
    choose_prefill,
    estimate_prefill_ms,
    find_home,
)
from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Prompt reading that may be in progress or waiting at one prefill engine.
# Enough to keep it busy between two reports, little enough that the order of
# the queue decides.
MAX_PREFILL_WORK_MS: Final = 160.0
# Reading at another engine than the home means moving the shared part.
_MOVED_MS: Final = 25.0


@final
class Placement:
    """Finds places for requests and queues those that must wait."""

    def __init__(
        self,
        beliefs: Beliefs,
        loads: LoadBook,
        health: TargetHealth,
        clock: Clock,
        own_zone: str,
    ) -> None:
        """:param own_zone: targets in it are preferred."""
        self._beliefs = beliefs
        self._book = loads
        self._clock = clock
        self._own_zone = own_zone
        self._loads = Loads(loads.total, health.is_avoided)
        self._queues: dict[tuple[str, TargetRole | None], AdmissionQueue] = {}

    def queue(
        self,
        service: str,
        role: TargetRole | None,
    ) -> AdmissionQueue:
        """Return the queue of a pool of targets."""
        key = (service, role)
        if key not in self._queues:
            self._queues[key] = AdmissionQueue(self._clock, self._begin)
        return self._queues[key]

    def release(self, place: Place, service: str) -> None:
        """Give a place back."""
        self._book.remove(place.target.target_id, place.work)
        queue = self._queues.get((service, place.target.role))
        if queue is not None:
            queue.pump()

    def pump(self) -> None:
        """Hand out places after news about targets or loads."""
        for queue in self._queues.values():
            queue.pump()

    def needs_prefill(self, service: str, prompt: Prompt | None) -> bool:
        """Tell whether a prefill engine should read the prompt."""
        if prompt is None or prompt.prompt_tokens < MIN_SPLIT_TOKENS:
            return False
        return bool(
            self._beliefs.usable_targets(service, TargetRole.PREFILL),
        )

    def plain_finder(self, service: str, excluded: set[str]) -> PlaceFinder:
        """Return a finder for a target of a plain service."""

        def find() -> Place | None:  # noqa: WPS430
            targets = [
                row
                for row in self._beliefs.usable_targets(service)
                if row.target_id not in excluded
                and self._book.total(row.target_id) < row.slots
            ]
            target = choose_least_loaded(targets, self._loads, self._own_zone)
            return None if target is None else Place(target, 1)

        return find

    def decode_finder(
        self,
        service: str,
        prompt: Prompt | None,
        excluded: set[str],
    ) -> PlaceFinder:
        """Return a finder for the engine that generates the output."""

        def find() -> Place | None:  # noqa: WPS430
            targets = [
                row
                for row in self._beliefs.usable_targets(
                    service,
                    TargetRole.DECODE,
                )
                if row.target_id not in excluded
                and self._book.total(row.target_id) < row.slots
            ]
            target = choose_decode(
                prompt,
                targets,
                self._loads,
                self._own_zone,
            )
            return None if target is None else Place(target, 1)

        return find

    def prefill_finder(
        self,
        service: str,
        prompt: Prompt,
        excluded: set[str],
    ) -> PlaceFinder:
        """Return a finder for the engine that reads a prompt."""
        work_ms = self.prefill_work_ms(prompt)

        def find() -> Place | None:  # noqa: WPS430
            targets = [
                row
                for row in self._beliefs.usable_targets(
                    service,
                    TargetRole.PREFILL,
                )
                if row.target_id not in excluded
                and self._book.total(row.target_id) < MAX_PREFILL_WORK_MS
            ]
            target = choose_prefill(prompt, targets, self._loads, _MOVED_MS)
            return None if target is None else Place(target, work_ms)

        return find

    def prefill_work_ms(self, prompt: Prompt) -> float:
        """Estimate the work of reading a prompt with its parts cached."""
        return estimate_prefill_ms(prompt, prompt.shared_tokens)

    def decode_home(
        self,
        service: str,
        prompt: Prompt,
    ) -> TargetRecord | None:
        """Return the decode engine that keeps the parts of a prompt."""
        return find_home(
            prompt,
            self._beliefs.usable_targets(service, TargetRole.DECODE),
        )

    def _begin(self, place: Place) -> None:
        self._book.add(place.target.target_id, place.work)
