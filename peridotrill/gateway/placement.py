"""Placement of requests: which targets may take a request, and when."""

import enum
import math
from datetime import timedelta
from functools import partial
from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.fair_queue import QueueBounds
from peridotrill.gateway.admission_queue import (
    AdmissionQueue,
    Reservation,
    ReservationFinder,
)
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.engine_speed import EngineSpeeds
from peridotrill.gateway.load_tracker import LoadTracker, prefill_key
from peridotrill.gateway.part_directory import PartDirectory, PartLocation
from peridotrill.gateway.prefill_speed import CALL_OVERHEAD_MS, PrefillSpeed
from peridotrill.gateway.prompt_placement import (
    MIN_SPLIT_TOKENS,
    EngineLoads,
    Loads,
    PrefillLimits,
    choose_decode,
    choose_least_loaded,
    choose_prefill_engine,
    estimate_prefill_work_ms,
)
from peridotrill.gateway.reported_slowness import ReportedSlowness
from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.gateway.waiting_work import WaitingWork, choose_cycle_s

# Large enough to keep an engine busy between two reports of the gateways, and
# small enough that the queue determines the order. Decode engines get less,
# since prefill delays the tokens of their running requests.
PREFILL_LIMITS: Final = PrefillLimits(
    prefill_engine_ms=240,
    decode_short_ms=60,
    decode_long_ms=4,
    decode_long_running=12,
)


# Assumed memory of an engine until the configuration is loaded.
_DEFAULT_MEMORY_TOKENS: Final = 500000
# Limits the memory and processing time for waiting requests.
_QUEUE_BOUNDS: Final = QueueBounds(max_requests=400, max_bytes=1)
# Prompts with less prefill by the engine model say little about the speed of an
# engine, since the overhead of a call varies.
_MIN_COMPARED_MS: Final = 40.0
# Time between two output events of an engine by the engine model, without other
# requests and for each running one: 4.5 ms when idle, 11 ms with 64 requests.
_STEP_MS: Final = 4.5
_STEP_MS_PER_REQUEST: Final = 0.1


class Pool(enum.Enum):
    """Queues of a service, in the order in which they are dispatched."""

    PLAIN = 0
    DECODE = 1
    SHORT_READING = 2
    LONG_READING = 3


@final
class Placement:
    """Reserves capacity for requests, and queues those that must wait."""

    def __init__(
        self,
        cluster_state: ClusterState,
        loads: LoadTracker,
        health: TargetHealth,
        limits: TargetLimits,
        clock: Clock,
        local_zone: str,
    ) -> None:
        """:param limits: limits that targets name on their requests.

        :param local_zone: zone of the preferred targets.
        """
        self._cluster_state = cluster_state
        self._load_tracker = loads
        self._limits = limits
        self._clock = clock
        self._local_zone = local_zone
        self.parts = PartDirectory(_DEFAULT_MEMORY_TOKENS)
        self.speed = PrefillSpeed()
        self.reported = ReportedSlowness(clock)
        self.target_speeds = EngineSpeeds(clock, self.reported)
        self._health = health
        self._loads = Loads(
            loads.total, health.is_avoided, self.target_speeds.slowness
        )
        self._engine_loads = EngineLoads(
            self._prefill_ms,
            loads.total,
            health.is_avoided,
            self.parts.has,
            slowness=self.target_speeds.slowness,
        )
        self.waiting = WaitingWork(clock, choose_cycle_s())
        self._queues: dict[tuple[str, Pool], AdmissionQueue] = {}

    def queue(self, service: str, pool: Pool) -> AdmissionQueue:
        """Return the queue of a service for a pool."""
        key = (service, pool)
        if key not in self._queues:
            queue_name = f'{service}/{pool.value}'
            queue = AdmissionQueue(
                self._clock,
                _QUEUE_BOUNDS,
                self._begin,
                self._load_tracker.end,
                partial(self.waiting.must_yield, queue_name),
            )
            self._queues[key] = queue
            self.waiting.add_queue(queue_name, queue.waiting_totals)
            # Queues are dispatched in the order of the pools.
            self._queues = dict(
                sorted(self._queues.items(), key=lambda row: row[0][1].value),
            )
        return self._queues[key]

    def _begin(self, reservation: Reservation) -> None:
        self._load_tracker.begin(reservation)
        self._limits.charge(reservation.target.target_id)

    def has_target(
        self,
        service: str,
        excluded: set[str],
        role: TargetRole | None = None,
        version: str | None = None,
        by_s: float = math.inf,
        regions: frozenset[str] | None = None,
    ) -> bool:
        """Return whether a service has a target that is not excluded.

        :param role: role that the target must have; None for any.

        :param version: software version of the output; None for any.

        :param by_s: targets that want no requests until then do not count.

        :param regions: regions in which the target may be; None for all.
        """
        return any(
            row.target_id not in excluded
            and self._health.paused_until_s(row.target_id) < by_s
            for row in self._cluster_state.usable_targets(
                service, role, version, regions
            )
        )

    def release(self, reservation: Reservation, service: str) -> None:
        """Release a reservation and dispatch waiting requests."""
        self._load_tracker.end(reservation)
        self._dispatch_service(service)

    def forget(self, target: TargetRecord) -> None:
        """Drop what is known of a target that was removed or replaced."""
        self.parts.forget(target.target_id)
        self.reported.forget(target.target_id)
        self.target_speeds.forget(target.target_id)

    def _dispatch_service(self, service: str) -> None:
        for (name, _), queue in self._queues.items():
            if name == service:
                queue.dispatch()

    def dispatch(self) -> None:
        """Dispatch waiting requests after changes of targets or loads."""
        self._load_tracker.drop_stale_peers()
        for queue in self._queues.values():
            queue.dispatch()

    def is_long(self, prompt: Prompt | None) -> bool:
        """Return whether the prompt is placed by its prefill work."""
        return prompt is not None and (prompt.prompt_tokens >= MIN_SPLIT_TOKENS)

    def plain_finder(
        self,
        service: str,
        excluded: set[str],
        regions: frozenset[str] | None = None,
    ) -> ReservationFinder:
        """Return a finder for a target of a plain service.

        :param regions: regions in which the target may be; None for all.
        """

        def find() -> Reservation | None:  # noqa: WPS430
            targets = self._targets_with_capacity(
                service, None, excluded, regions=regions
            )
            target = choose_least_loaded(targets, self._loads, self._local_zone)
            return None if target is None else Reservation(target, running=1)

        return find

    def decode_finder(
        self,
        service: str,
        prompt: Prompt | None,
        excluded: set[str],
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> ReservationFinder:
        """Return a finder for the engine that generates the output.

        :param version: software version of the engine; None for any.

        :param regions: regions in which the engine may be; None for all.
        """

        def find() -> Reservation | None:  # noqa: WPS430
            targets = self._targets_with_capacity(
                service,
                TargetRole.DECODE,
                excluded,
                version,
                regions,
            )
            target = choose_decode(
                targets,
                self._loads,
                self._local_zone,
                lambda target_id: self._has_main_part(target_id, prompt),
            )
            return None if target is None else Reservation(target, running=1)

        return find

    def prefill_finder(
        self,
        service: str,
        prompt: Prompt,
        excluded: set[str],
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> ReservationFinder:
        """Return a finder for the engine that processes a prompt.

        A decode engine that processes the prompt also generates the output.

        :param version: software version of the output; None for any.

        :param regions: regions in which the engine may be; None for all.
        """

        def find() -> Reservation | None:  # noqa: WPS430
            targets = self._targets_with_capacity(
                service, None, excluded, version, regions
            )
            found = choose_prefill_engine(
                prompt,
                targets,
                self._engine_loads._replace(
                    slowdown=self.speed.slowdown(service)
                ),
                PREFILL_LIMITS,
                self.find_part_holder(prompt) is not None,
            )
            if found is None:
                return None
            running = 0 if found.target.role is TargetRole.PREFILL else 1
            return Reservation(
                found.target,
                running,
                found.work_ms,
                self._prefill_ms(found.target.target_id),
                self.speed.slowdown(service),
            )

        return find

    def prefill_work_ms(self, service: str, prompt: Prompt) -> float:
        """Estimate the prefill work of a prompt, independent of the engine."""
        holder = self.find_part_holder(prompt)
        return estimate_prefill_work_ms(
            prompt,
            '' if holder is None else holder.target_id,
            self.parts.has,
            holder is not None,
            self.speed.slowdown(service),
        )

    def find_part_holder(
        self,
        prompt: Prompt,
        excluded_id: str | None = None,
    ) -> TargetRecord | None:
        """Return an engine that has the main part of a prompt.

        Nothing is fetched from the engines of an evacuated zone.

        :param excluded_id: id of an engine to ignore.
        """
        main = prompt.main_part
        if main is None:
            return None
        found = [
            record
            for target_id in self.parts.holders(main.part_id)
            if target_id != excluded_id
            and (record := self._cluster_state.find_target(target_id))
            and record.zone not in self._cluster_state.evacuations
            and not self._loads.is_avoided(target_id)
        ]
        return min(
            found,
            key=lambda row: self._load_tracker.total(row.target_id),
            default=None,
        )

    def record_prefill_time(
        self, reservation: Reservation, took_ms: float
    ) -> None:
        """Learn from the time that a prefill engine took for a prompt."""
        work_ms = reservation.prefill_ms + reservation.ahead_ms
        model_ms = work_ms / reservation.slowdown
        slowness = self.target_speeds.slowness(reservation.target.target_id)
        self.speed.record(
            reservation.target.service, model_ms, took_ms, slowness
        )
        if model_ms >= _MIN_COMPARED_MS:
            self.target_speeds.record(
                reservation.target,
                'prefill',
                max(1.0, took_ms - CALL_OVERHEAD_MS),
                model_ms,
            )

    def expected_prefill_time(self, reservation: Reservation) -> timedelta:
        """Return the longest expected time for the prompt of a reservation."""
        slowness = self.target_speeds.slowness(reservation.target.target_id)
        return timedelta(milliseconds=reservation.prefill_ms * max(1, slowness))

    def record_step_time(self, target: TargetRecord, took_ms: float) -> None:
        """Learn from the time between two output events of a decode engine."""
        running = self._load_tracker.total(target.target_id)
        self.target_speeds.record(
            target, 'step', took_ms, _STEP_MS + running * _STEP_MS_PER_REQUEST
        )

    def record_response_time(
        self, target: TargetRecord, route: str, took_ms: float
    ) -> None:
        """Learn from the time that a plain target took for a response."""
        self.target_speeds.record(target, f'route {route}', took_ms, 1)

    def record_prefill(self, prompt: Prompt, target: TargetRecord) -> None:
        """Record that an engine has computed or received a prompt."""
        main = prompt.main_part
        if main is not None:
            self.parts.record(
                PartLocation(main.part_id, target.target_id, main.tokens),
            )

    def _has_main_part(self, target_id: str, prompt: Prompt | None) -> bool:
        main = None if prompt is None else prompt.main_part
        return main is not None and self.parts.has(target_id, main.part_id)

    def release_prefill(
        self, reservation: Reservation, service: str
    ) -> Reservation:
        """Release the prefill work of a reservation; return the rest."""
        self._load_tracker.end(reservation._replace(running=0))
        self._dispatch_service(service)
        return Reservation(reservation.target, reservation.running)

    def _targets_with_capacity(
        self,
        service: str,
        role: TargetRole | None,
        excluded: set[str],
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> list[TargetRecord]:
        """Return the targets that can take a request now.

        Failing targets are excluded while there are healthy ones, even if
        these are full: waiting is better than an unresponsive target.
        """
        targets = [
            row
            for row in self._cluster_state.usable_targets(
                service, role, version, regions
            )
            if row.target_id not in excluded
            and self._health.paused_until_s(row.target_id) == -math.inf
        ]
        healthy = [
            row for row in targets if not self._loads.is_avoided(row.target_id)
        ]
        return [
            row
            for row in healthy or targets
            if self._load_tracker.total(row.target_id) < row.slots
            and self._limits.has_room(row.target_id)
        ]

    def _prefill_ms(self, target_id: str) -> float:
        return self._load_tracker.expected_total(prefill_key(target_id))
