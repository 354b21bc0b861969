"""State of one admitted request, and handling of its failed attempts."""

import math
from datetime import timedelta
from functools import cached_property, partial
from http import HTTPStatus
from typing import Final, final

import anyio

from peridotrill.exceptions import (
    CodecError,
    ConnectionsExhausted,
    ResponseExcessive,
    TargetOutcomeUnknown,
    TargetRefused,
    TargetReplaced,
    TargetTimeout,
    TargetUnidentified,
    TargetUnreachable,
)
from peridotrill.gateway.admission_queue import (
    Reservation,
    ReservationFinder,
    ReservationRequest,
)
from peridotrill.gateway.caller_server import Responder
from peridotrill.gateway.components import GatewayComponents
from peridotrill.gateway.configuration import Route, Team
from peridotrill.gateway.error_responses import GatewayError, send_error
from peridotrill.gateway.load_shedding import Displacement
from peridotrill.gateway.metrics import (
    ATTEMPTS,
    AVOIDED,
    DISPLACED,
    QUEUE_TIME_S,
    UNREADABLE,
)
from peridotrill.gateway.placement import Pool
from peridotrill.gateway.requests import CallerRequest, RequestKind
from peridotrill.gateway.target_connections import Framing, TargetExchange
from peridotrill.gateway.target_health import Failure
from peridotrill.gateway.target_messages import RequestOptions, TargetResponse
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.prompt_quarantine import Quarantine
from peridotrill.target_crashes import Exposure

# Retry-After in seconds if there is no better estimate.
DEFAULT_RETRY_AFTER_S: Final = 0.5
# Lower bound of Retry-After: a caller needs some time to reconnect anyway.
_MIN_RETRY_AFTER_S: Final = 0.1
# A request with less time until its deadline is not retried: no target responds
# that fast.
_MIN_REMAINING_S: Final = 0.03
# Retry-After as a fraction of the time until the deadline.
_RETRY_AFTER_FRACTION: Final = 0.3
# A target whose address now belongs to another target is suspended for this
# time, in which its record is expected to be updated.
_WRONG_TARGET_SUSPENSION: Final = timedelta(seconds=1.5)

# A prompt is harmless to an engine that goes on after its first output event.
HARMLESS_EVENTS: Final = 2


def _round_cost(cost: float | None) -> float | None:
    """Keep three digits, as costs differ by orders of magnitude."""
    return None if cost is None else float(f'{cost:.3g}')


@final
class RequestContext:
    """One admitted request and the state of its attempts."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        team: Team | None,
        service: str,
        responder: Responder,
        shared: GatewayComponents,
    ) -> None:
        """:param service: the service chosen from those of the route.

        :param shared: components that all requests use.
        """
        self.request = request
        self.route = route
        self.team = team
        self.service = service
        self.responder = responder
        self.shared = shared
        # Number of attempts that were sent and not rejected: their targets may
        # have run the request.
        self._unrejected_attempts = 0
        # Stays unless another outcome is set before the request ends.
        self.outcome = 'cancelled'
        # Ids of the targets that were sent the request and may have run it.
        self.targets_used: list[str] = []
        # Ids of targets that are not tried again.
        self.excluded: set[str] = set()
        # Whether an engine was sent the prompt.
        self.is_prompt_sent = False
        # Total time spent in admission queues.
        self.queue_s = 0.0
        # The last queue that the request has waited in.
        self.pool: Pool | None = None
        # When the last attempt was sent.
        self.sent_s = request.received_s
        self.first_byte_s: float | None = None
        self.is_usage_counted = False
        # Software version that began the stream; None if any may begin it.
        self.stream_version: str | None = None
        # How the end of the last response was marked.
        self.framing: Framing | None = None
        # Further fields of the log line at the end of the request.
        self.response_fields: dict[str, str | int | None] = {}
        # When an attempt at an engine last broke.
        self._broken_s = -math.inf
        # Whether the request tries what is suspected after its quarantine.
        self.is_trial = False
        timeout_ms = route.timeout_ms
        if request.wait_ms is not None:
            timeout_ms = min(timeout_ms, request.wait_ms)
        self.deadline_s = request.received_s + timeout_ms / 1000

    @property
    def priority(self) -> int:
        """Priority of the team, or of the route if the team has none."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def team_name(self) -> str:
        """Name of the team; empty if the route is public."""
        return self.team.name if self.team else ''

    @cached_property
    def allowed_regions(self) -> frozenset[str] | None:
        """Regions whose targets may run the request; None for all."""
        of_route = self.route.allowed_regions
        of_team = None if self.team is None else self.team.allowed_regions
        if of_route is None or of_team is None:
            return of_team if of_route is None else of_route
        return of_route & of_team

    def is_late(self) -> bool:
        """Tell whether the latency goal for the first byte has been missed."""
        waited_s = self.shared.clock.monotonic_s() - self.request.received_s
        return waited_s * 1000 > self.route.goal_ms

    def remaining_s(self) -> float:
        """Return the time left until the deadline; negative after it."""
        return self.deadline_s - self.shared.clock.monotonic_s()

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may share."""
        prompt = self.request.prompt
        return () if prompt is None else prompt.shared_part_ids

    @cached_property
    def suspects(self) -> tuple[str, ...]:
        """What a crash of a target may be due to.

        That is the request, which may come again, or a part of its prompt.
        """
        return (
            *self.shared_part_ids,
            self.request.digest(self.team_name),
        )

    def check_quarantine(self) -> None:
        """Raise GatewayError if the request or its prompt is quarantined.

        One request may try it when the quarantine has ended.
        """
        quarantine = self.shared.quarantine
        found = self._find_quarantine()
        if found is None:
            return
        if quarantine.try_start_trial(found.part_id):
            self.is_trial = True
            return
        raise GatewayError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'prompt_quarantined',
            found.retry_after_s,
            part=found.part_id,
            crashes=found.crashes,
        )

    def require_no_quarantine(self) -> None:
        """Raise GatewayError if the request was quarantined meanwhile."""
        found = None if self.is_trial else self._find_quarantine()
        if found is not None:
            raise self.build_error('prompt_quarantined', found.retry_after_s)

    def _find_quarantine(self) -> Quarantine | None:
        quarantine = self.shared.quarantine
        return quarantine.find(self.suspects) if quarantine.is_needed else None

    def record_harmless(self, started_s: float) -> None:
        """Record that a target survived the start of its response.

        :param started_s: when the response began.
        """
        quarantine = self.shared.quarantine
        quarantine.record_proof(self.shared_part_ids, started_s)
        # Proofs of all requests would displace those of prompt parts.
        if quarantine.is_needed and quarantine.is_suspected(self.suspects[-1]):
            quarantine.record_proof(self.suspects[-1:], started_s)

    def _has_target(self, excluded: set[str]) -> bool:
        """Return whether a target that is not excluded can respond.

        Prefill engines do not respond to callers, and a stream that has begun
        goes on at its software version only.
        """
        role = None
        if self.route.kind is RequestKind.STREAM:
            role = TargetRole.DECODE
        return self.shared.placement.has_target(
            self.service,
            excluded,
            role,
            self.stream_version,
            self.deadline_s,
            self.allowed_regions,
        )

    async def require_target(self, excluded: set[str]) -> None:
        """Raise GatewayError if the service has no target that can respond.

        If no such target is known, the target records are first refreshed
        from the store: it may hold records of targets that have just started
        or become available again.

        :param excluded: ids of targets that were already tried.
        """
        if self._has_target(excluded):
            return
        await self.shared.refresh_targets()
        if not self._has_target(excluded):
            self._log_restrictions()
            raise self.build_error('no_target', self.retry_after_s())

    def _log_restrictions(self) -> None:
        """Log what the operator has set that may leave no target."""
        evacuated = len(self.shared.cluster_state.evacuations)
        if evacuated or self.allowed_regions is not None:
            self.shared.log.write(
                'targets_restricted',
                request=self.request.request_id,
                service=self.service,
                evacuated_zones=evacuated,
                regions=','.join(sorted(self.allowed_regions or ())) or None,
            )

    async def reserve_target(
        self,
        pool: Pool,
        finder: ReservationFinder,
        cost: float,
        expected_latency_s: float,
        queue_deadline_s: float,
    ) -> Reservation:
        """Wait for a reservation; raises GatewayError if there is none in time.

        :param cost: cost of the request in fair queuing between teams.
        :param expected_latency_s: time from the reservation to the first
            byte.
        :param queue_deadline_s: when to stop waiting.
        """
        shared = self.shared
        if self.remaining_s() <= 0:
            # The timer that ends the request at its deadline fires late after
            # the process was paused.
            raise self.build_error('no_place_in_time')
        self.pool = pool
        queue = shared.placement.queue(self.service, pool)
        queued_s = shared.clock.monotonic_s()
        reservation = await queue.acquire(
            ReservationRequest(
                finder,
                self.team_name,
                self.priority,
                cost,
                self.request.received_s
                + self.route.goal_ms / 1000
                - expected_latency_s,
                queue_deadline_s,
                self.route.name,
                not (self.may_have_run or self.is_prompt_sent),
                self._record_displaced,
                self.allowed_regions,
            ),
        )
        waited_s = shared.clock.monotonic_s() - queued_s
        self.queue_s += waited_s
        QUEUE_TIME_S.labels(pool.name.lower()).observe(waited_s)
        if reservation is None:
            raise self.build_error('no_place_in_time', self.retry_after_s())
        return reservation

    def _record_displaced(self, displacement: Displacement) -> None:
        """Log why the request is refused while it waits."""
        pool = '' if self.pool is None else self.pool.name.lower()
        DISPLACED.labels(pool, displacement.reason).inc()
        self.shared.log.write(
            'request_displaced',
            request=self.request.request_id,
            reason=displacement.reason,
            service=self.service,
            route=self.route.name,
            team=self.team_name,
            priority=self.priority,
            pool=pool,
            forecast_ms=round(displacement.wait_s * 1000),
            left_ms=round(self.remaining_s() * 1000),
            late=displacement.is_late,
            cost=_round_cost(displacement.cost),
            newcomer_cost=_round_cost(displacement.newcomer_cost),
            newcomer_priority=displacement.newcomer_priority,
        )

    def retry_after_s(self) -> float:
        """Return the Retry-After time for a request that was not served.

        Bursts of load last several seconds, so the caller should retry before
        its deadline. Waiting takes about a third of the time until then.
        """
        return max(
            _MIN_RETRY_AFTER_S, self.remaining_s() * _RETRY_AFTER_FRACTION
        )

    async def read_response_head(
        self,
        target: TargetRecord,
        exchange: TargetExchange,
        response_timeout: timedelta,
        can_retry_elsewhere: bool,
    ) -> TargetResponse:
        """Wait for the head of a response; raises TargetTimeout.

        After ``response_timeout`` the target counts as silent: a failure is
        recorded, which makes other requests avoid it.

        :param can_retry_elsewhere: whether another target may be tried. If
            so, TargetTimeout is raised after ``response_timeout``; otherwise
            this request keeps waiting.
        """
        with anyio.move_on_after(response_timeout.total_seconds()):
            return await self._read_head(target, exchange)
        if can_retry_elsewhere:
            self.record_attempt_failure(
                target, Failure.ABANDONED, 'no response yet'
            )
            raise TargetTimeout('silent')
        self.record_attempt_failure(target, Failure.SILENT, 'no response yet')
        return await self._read_head(target, exchange)

    async def _read_head(
        self, target: TargetRecord, exchange: TargetExchange
    ) -> TargetResponse:
        response = await self.shared.targets.read_response_head(exchange)
        self.framing = exchange.framing
        self.shared.limits.observe(target.target_id, response.limit_per_s)
        self.shared.limits.cold.observe_response(target, response.cold_left_ms)
        self._observe_slowness(target, response)
        if response.is_leaving:
            self.shared.cluster_state.mark_leaving(target)
        if response.pause_s is not None:
            self.shared.health.pause(target.target_id, response.pause_s)
        return response

    def _observe_slowness(
        self, target: TargetRecord, response: TargetResponse
    ) -> None:
        """Apply what a target states of the time that work takes there."""
        reported = self.shared.placement.reported
        if response.load is not None and response.load.slowness is not None:
            reported.observe(target.target_id, response.load.slowness)
        if not response.is_load_malformed:
            return
        UNREADABLE.labels('load').inc()
        malformed = reported.count_malformed()
        if malformed is not None:
            self.shared.log.write(
                'load_unreadable',
                request=self.request.request_id,
                target=target.target_id,
                malformed=malformed,
            )

    async def require_running(
        self,
        target: TargetRecord,
        response: TargetResponse,
        received_events: float = math.inf,
        must_be_known: bool = False,
    ) -> None:
        """Raise TargetOutcomeUnknown if a target ended with its response.

        A response without length ends with its connection, and so does one
        whose process is killed. A target that leaves ends after its responses, so
        that it has ended is no evidence, but its report may be. The end that a
        process marks in this way proves nothing after it has ended another
        stream early.

        :param received_events: number of events of the stream so far. A target
            that reports more has not sent all of them.

        :param must_be_known: whether a target whose state is not known, or that
            leaves and has ended, counts as killed. A busy one may not respond in
            time, and has sent a whole response; the address of one that was
            killed refuses connections.
        """
        if self.framing is not Framing.CONNECTION:
            return
        if self.shared.early_ends.is_known(target.process):
            raise TargetOutcomeUnknown('process has ended a stream early')
        try:
            report = await self._read_report(target)
        except TargetUnreachable as error:
            self._record_unknown_state(target, error)
            if must_be_known:
                raise TargetOutcomeUnknown('process may have ended') from error
            return
        is_expected_end = report is None and self._is_leaving(target, response)
        if must_be_known or not is_expected_end:
            self._check_report(target, report, received_events)

    async def _read_report(self, target: TargetRecord) -> bytes | None:
        """Ask a target for its report; raises TargetUnreachable."""
        try:
            return await self.shared.targets.read_report(target)
        finally:
            if self._find_record(target) is None:
                # Its connections were closed when it was removed.
                self.shared.targets.forget(target)

    def _find_record(self, target: TargetRecord) -> TargetRecord | None:
        return self.shared.cluster_state.find_target(target.target_id)

    def _is_leaving(
        self, target: TargetRecord, response: TargetResponse
    ) -> bool:
        """Tell whether a target may have ended after its response."""
        known = self._find_record(target)
        return response.is_leaving or known is None or known.is_draining

    def _check_report(
        self, target: TargetRecord, report: bytes | None, received_events: float
    ) -> None:
        """Raise TargetOutcomeUnknown if a report shows that a response is cut.

        :param report: None if the process has ended.
        """
        if report is None:
            raise TargetOutcomeUnknown('process ended with its response')
        made = self._events_made(report)
        if made > received_events:
            detail = f'ended after {received_events} events of {made}'
            self.record_early_end(target, detail)
            raise TargetOutcomeUnknown(detail)

    def _record_unknown_state(
        self, target: TargetRecord, error: TargetUnreachable
    ) -> None:
        """Log that a process may have ended with its response."""
        self.shared.log.write(
            'process_state_unknown',
            request=self.request.request_id,
            target=target.target_id,
            error=str(error),
        )

    def _events_made(self, report: bytes) -> int:
        """Return how many events of this request a target reports.

        The report is some hundred milliseconds old, and lists no run that ended
        before: 0 proves nothing. Nor does a report that cannot be read.
        """
        try:
            return self.shared.wire.decode_events_made(
                report, self.request.request_id
            )
        except CodecError as error:
            self.shared.log.write(
                'report_unreadable',
                request=self.request.request_id,
                error=str(error),
            )
            return 0

    def can_retry_elsewhere(self) -> bool:
        """Tell whether another target may be tried if one may have run it."""
        return (
            self.route.is_repeatable
            and len(self.targets_used) < self.route.max_targets
            and self._has_target(self.excluded)
        )

    def allow_retry(self, share: float = 1) -> bool:
        """Take a retry from the budget for a request that may have run.

        Returns False if the request may not be sent to another target, if too
        little time is left or if the budget is exhausted.

        :param share: part of the budget that counts.
        """
        if (
            not self.can_retry_elsewhere()
            or self.remaining_s() <= _MIN_REMAINING_S
        ):
            return False
        return self.try_consume_retry(share)

    def try_consume_retry(self, share: float = 1) -> bool:
        """Take one retry from the budget; return False if it is exhausted.

        Use ``allow_retry`` if a target may have run the request.
        """
        return self.shared.budget.try_take_retry(
            self.service, self.shared.quotas.gateways, share
        )

    def options(self, target: TargetRecord) -> RequestOptions:
        """Return the options common to all requests to a target."""
        return RequestOptions(
            target.target_id,
            self.team.name if self.team else None,
            self.remaining_s() * 1000,
        )

    def record_load(
        self, target: TargetRecord, response: TargetResponse
    ) -> None:
        """Record the load that a target reported, except at prefill engines."""
        if response.load is not None and target.role is not TargetRole.PREFILL:
            self.shared.loads.observe_target(
                target.target_id,
                response.load.running + response.load.waiting,
            )

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self._unrejected_attempts > 0

    def record_sent(self, target: TargetRecord) -> None:
        """Record that the request was sent to a target."""
        self.targets_used.append(target.target_id)
        self._unrejected_attempts += 1
        self.sent_s = self.shared.clock.monotonic_s()

    def record_not_run(self) -> None:
        """Record that the target of the last attempt did not run the request."""
        self.targets_used.pop()
        self._unrejected_attempts -= 1

    def count_usage(self) -> None:
        """Count the request in the usage of its team, at most once."""
        if self.team is not None and not self.is_usage_counted:
            self.is_usage_counted = True
            self.shared.usage.count(self.team.name)

    def record_attempt_failure(
        self,
        target: TargetRecord,
        failure: Failure,
        detail: str,
        **fields: str | int | None,
    ) -> None:
        """Log a failed attempt and record it in the health of the target.

        :param fields: further fields of the log line.
        """
        self.shared.health.record_failure(target.target_id, failure)
        ATTEMPTS.labels(self.service, failure.name.lower()).inc()
        self.shared.log.write(
            'attempt_failed',
            request=self.request.request_id,
            target=target.target_id,
            failure=failure.name.lower(),
            detail=detail,
            left_ms=round(self.remaining_s() * 1000),
            **fields,
        )
        self._report_avoided(target, failure, detail)

    def _report_avoided(
        self, target: TargetRecord, failure: Failure, detail: str
    ) -> None:
        """Name a target that has been avoided long although it is ready."""
        known = self.shared.cluster_state.find_target(target.target_id)
        if known is None or known.is_draining:
            return
        duration_s = self.shared.health.take_avoided_s(target.target_id)
        if not duration_s:
            return
        AVOIDED.labels(self.service, failure.name.lower()).inc()
        self.shared.log.write(
            'target_avoided',
            target=target.target_id,
            for_ms=round(duration_s * 1000),
            failure=failure.name.lower(),
            detail=detail,
        )

    def record_unreachable(
        self, target: TargetRecord, error: TargetUnreachable
    ) -> None:
        """Record that no connection to a target could be opened."""
        # The target may have started again, and be cold, without a record yet;
        # but not if it is running, or if the fault is with this gateway.
        if not isinstance(error, (ConnectionsExhausted, TargetUnidentified)):
            self.shared.limits.cold.assume(target, 'unreachable')
        self.record_attempt_failure(target, Failure.UNREACHABLE, str(error))
        if isinstance(error, TargetRefused):
            self.shared.crashes.record_end(target.process, 'connection refused')
        if isinstance(error, TargetReplaced):
            self._record_replaced(target)

    def record_broken_response(
        self,
        target: TargetRecord,
        error: TargetOutcomeUnknown | CodecError,
        sent_s: float,
        events: int = 0,
    ) -> None:
        """Record that a target broke off, and check whether it still runs.

        :param sent_s: when the request was sent to the target.
        :param events: number of events that a model engine had sent.
        """
        parts = self.shared_part_ids
        is_excessive = isinstance(error, ResponseExcessive)
        self.record_attempt_failure(
            target,
            Failure.EXCESSIVE if is_excessive else Failure.BROKEN,
            str(error),
            events=events,
            parts=','.join(parts) or None,
            digest=self.suspects[-1],
        )
        exposure = None
        if events < HARMLESS_EVENTS:
            exposure = Exposure(
                self.suspects, self._find_alive_s(target, sent_s)
            )
        # A trial is one attempt: another one could cost another engine.
        self.is_trial = False
        crashes = self.shared.crashes
        if crashes.record_broken(target.process, exposure):
            self.shared.start_task(
                crashes.check,
                target.process,
                partial(self.shared.targets.is_refused, target),
            )
        self._broken_s = self.shared.clock.monotonic_s()

    def alive_after_s(self) -> float:
        """Return since when a process must have responded to get the request.

        An engine that has ended together with the last one is found out before
        it is sent the request, which therefore is not blamed for its end.
        """
        crash_s = self.shared.quarantine.last_crash_s(self.suspects)
        return max(crash_s, self._broken_s)

    def _find_alive_s(self, target: TargetRecord, sent_s: float) -> float:
        """Return when a process was last known to run before a request."""
        if target.role is None:
            # Plain services have no report to ask for.
            return sent_s
        return min(sent_s, self.shared.targets.alive_s(target))

    def record_early_end(self, target: TargetRecord, detail: str) -> None:
        """Record that a running process ended a stream before its end."""
        self.shared.early_ends.record(target.process)
        self.shared.log.write(
            'stream_ended_early',
            request=self.request.request_id,
            target=target.target_id,
            started_ms=target.started_ms,
            detail=detail,
        )

    def record_rejection(
        self, target: TargetRecord, response: TargetResponse
    ) -> None:
        """Record that a target rejected the request.

        If the address now belongs to another target, no new requests are sent
        to this one for a while.
        """
        if response.is_wrong_target:
            self._record_replaced(target)
        self.record_attempt_failure(
            target, Failure.REFUSED, f'status {response.status}'
        )

    def _record_replaced(self, target: TargetRecord) -> None:
        """Record that another process answers at the address of a target."""
        self.shared.cluster_state.suspend_target(
            target.target_id,
            _WRONG_TARGET_SUSPENSION,
        )
        self.shared.crashes.record_end(
            target.process, 'another process answers'
        )
        self.shared.start_task(self.shared.refresh_targets)

    def handle_rejection(
        self,
        target: TargetRecord,
        response: TargetResponse,
    ) -> None:
        """Record a rejection; raise GatewayError if the budget is exhausted.

        A rejected request did not run, so even a non-idempotent one may be
        sent to another target, but each retry counts against the budget.
        """
        self.record_rejection(target, response)
        self.record_not_run()
        if not self.try_consume_retry():
            raise self.build_error('targets_full')

    def build_error(
        self,
        reason: str,
        retry_after_s: float | None = DEFAULT_RETRY_AFTER_S,
    ) -> GatewayError:
        """Return the error for a request that is given up.

        Its status is 502 if a target may have run the request, else 503.
        """
        if self.may_have_run:
            return GatewayError(HTTPStatus.BAD_GATEWAY, reason)
        return GatewayError(
            HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s
        )

    def fail(self, error: GatewayError) -> None:
        """Send an error, or reset the connection if a response has begun."""
        self.outcome = error.reason
        if self.responder.has_started:
            self.responder.abort()
        else:
            send_error(
                self.responder,
                error.status,
                error.reason,
                error.retry_after_s,
            )

    def expire(self) -> None:
        """Send the error for a request whose deadline has passed."""
        if self.may_have_run:
            self.fail(
                GatewayError(HTTPStatus.GATEWAY_TIMEOUT, 'deadline_passed')
            )
        else:
            self.fail(
                GatewayError(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'no_place_in_time',
                    DEFAULT_RETRY_AFTER_S,
                ),
            )
