"""What is known of one admitted request, and what its end proves."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final, final

import anyio

from peridotrill.exceptions import TargetTimeout
from peridotrill.gateway.admission_queue import (
    Reservation,
    ReservationFinder,
    ReservationRequest,
)
from peridotrill.gateway.callers_port import Responder
from peridotrill.gateway.configuration import Route, Team
from peridotrill.gateway.error_responses import GatewayError, send_error
from peridotrill.gateway.metrics import ATTEMPTS, QUEUE_S
from peridotrill.gateway.placement import Pool
from peridotrill.gateway.requests import CallerRequest
from peridotrill.gateway.services import Services
from peridotrill.gateway.target_health import Failure
from peridotrill.gateway.target_messages import RequestOptions, TargetReply
from peridotrill.gateway.target_port import TargetExchange
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Retry-After where nothing better is known.
DEFAULT_RETRY_AFTER_S: Final = 0.5
# Callers on other connections need some time to come back at all.
_MIN_RETRY_AFTER_S: Final = 0.1
# Time below which a request is not sent any more: no target answers sooner.
_MIN_USEFUL_S: Final = 0.03
# Part of a caller's remaining time after which it should come back.
_RETRY_PART: Final = 0.3
# A target whose address another one has is not tried again before its record
# has had time to change.
_OTHER_TARGET_PAUSE: Final = timedelta(seconds=1.5)


@final
class RequestRun:
    """One admitted request and what is known of its runs."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        team: Team | None,
        service: str,
        responder: Responder,
        shared: Services,
    ) -> None:
        """:param service: chosen from the route's services."""
        self.request = request
        self.route = route
        self.team = team
        self.service = service
        self.responder = responder
        self.shared = shared
        # Sends of which it is not known that they did not run.
        self._unsettled = 0
        self.outcome = 'cancelled'
        self.targets_used: list[str] = []
        self.excluded: set[str] = set()
        self.queue_s = 0.0
        self.first_byte_s: float | None = None
        self.was_counted = False
        wait_ms = route.timeout_ms
        if request.wait_ms is not None:
            wait_ms = min(wait_ms, request.wait_ms)
        self.deadline_s = request.received_s + wait_ms / 1000

    @property
    def priority(self) -> int:
        """Return the rank; the team's goes before the route's."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    def is_late(self) -> bool:
        """Tell whether the goal for the first byte has been missed."""
        waited_s = self.shared.clock.monotonic_s() - self.request.received_s
        return waited_s * 1000 > self.route.goal_ms

    def left_s(self) -> float:
        """Return the time until the caller stops waiting."""
        return self.deadline_s - self.shared.clock.monotonic_s()

    async def require_target(self, excluded: set[str]) -> None:
        """Raise GatewayError if the service has no target that may be tried.

        The records of targets that have just started or come back may be in
        the store and not read yet.

        :param excluded: ids of targets that were tried.
        """
        placement = self.shared.placement
        if placement.has_target(self.service, excluded):
            return
        await self.shared.refresh_targets()
        if not placement.has_target(self.service, excluded):
            raise self.refuse('no_target')

    async def find_place(
        self,
        pool: Pool,
        finder: ReservationFinder,
        cost: float,
        service_s: float,
        give_up_s: float,
    ) -> Reservation:
        """Wait for a place; raises GatewayError if there is none in time.

        :param cost: work of the request, for fairness between teams.
        :param service_s: expected time from the place to the first byte.
        """
        shared = self.shared
        if self.left_s() <= 0:
            # The process was paused: its timers run late.
            raise self.refuse('no_place_in_time')
        queue = shared.placement.queue(self.service, pool)
        queued_s = shared.clock.monotonic_s()
        team = self.team.name if self.team else ''
        reservation = await queue.acquire(
            ReservationRequest(
                finder,
                team,
                self.priority,
                cost,
                self.request.received_s + self.route.goal_ms / 1000 - service_s,
                give_up_s,
            ),
        )
        waited_s = shared.clock.monotonic_s() - queued_s
        self.queue_s += waited_s
        QUEUE_S.labels(pool.name.lower()).observe(waited_s)
        if reservation is None:
            raise self.refuse('no_place_in_time', self.retry_after_s())
        return reservation

    def retry_after_s(self) -> float:
        """Return when the caller should come back after a queue was full.

        Bursts last for some seconds, so that the caller should use the time
        that it has; it waits for a third of it at most.
        """
        return max(_MIN_RETRY_AFTER_S, self.left_s() * _RETRY_PART)

    async def read_reply(
        self,
        target: TargetRecord,
        exchange: TargetExchange,
        patience: timedelta,
        can_leave: bool,
    ) -> TargetReply:
        """Wait for the head of an answer.

        A target that stays silent is avoided by other requests; this one
        leaves it, too, if it may run again.

        :param patience: after which the target counts as silent.
        :param can_leave: whether another target may be tried; then
            TargetTimeout is raised, and the failure has been noted.
        """
        targets = self.shared.targets
        with anyio.move_on_after(patience.total_seconds()):
            return await targets.read_reply(exchange)
        if can_leave:
            self.note_failure(target, Failure.ABANDONED, 'no answer yet')
            raise TargetTimeout('silent')
        self.note_failure(target, Failure.SILENT, 'no answer yet')
        return await targets.read_reply(exchange)

    def has_other_target(self) -> bool:
        """Tell whether the request may still run at another target."""
        return (
            self.route.is_repeatable
            and len(self.targets_used) < self.route.max_targets
            and self.shared.placement.has_target(self.service, self.excluded)
        )

    def may_repeat(self) -> bool:
        """Tell whether the request may run at another target, and count it."""
        if not self.has_other_target() or self.left_s() <= _MIN_USEFUL_S:
            return False
        return self.take_repeat()

    def take_repeat(self) -> bool:
        """Take one further send from the budget, if it has one."""
        return self.shared.budget.try_take_retry(
            self.service,
            self.shared.quotas.gateways,
        )

    def options(self, target: TargetRecord) -> RequestOptions:
        """Return what each request to a target is sent with."""
        return RequestOptions(
            target.target_id,
            self.team.name if self.team else None,
            self.left_s() * 1000,
        )

    def note_load(self, target: TargetRecord, reply: TargetReply) -> None:
        """Remember the load that a target reported."""
        if reply.load is not None and target.role is not TargetRole.PREFILL:
            self.shared.loads.observe_target(
                target.target_id,
                reply.load.running + reply.load.waiting,
            )

    @property
    def may_have_run(self) -> bool:
        """Tell whether a target may have worked on the request."""
        return self._unsettled > 0

    def note_sent(self, target: TargetRecord) -> None:
        """Note that a target has been given the request to run."""
        self.targets_used.append(target.target_id)
        self._unsettled += 1

    def note_not_run(self) -> None:
        """Note that the last target says it did not run the request."""
        self.targets_used.pop()
        self._unsettled -= 1

    def count_start(self) -> None:
        """Count the request as begun, once, for the usage reports."""
        if self.team is not None and not self.was_counted:
            self.was_counted = True
            self.shared.usage.count(self.team.name)

    def note_failure(
        self,
        target: TargetRecord,
        failure: Failure,
        detail: str,
    ) -> None:
        """Log a failed attempt and remember it against the target."""
        self.shared.health.record_failure(target.target_id, failure)
        ATTEMPTS.labels(self.service, failure.name.lower()).inc()
        self.shared.log.write(
            'attempt_failed',
            request=self.request.request_id,
            target=target.target_id,
            failure=failure.name.lower(),
            detail=detail,
            left_ms=round(self.left_s() * 1000),
        )

    def note_refused(self, target: TargetRecord, reply: TargetReply) -> None:
        """Note that a target did not take the request."""
        if reply.is_other_target:
            self.shared.cluster_state.suspend_target(
                target.target_id,
                _OTHER_TARGET_PAUSE,
            )
        self.note_failure(target, Failure.REFUSED, f'status {reply.status}')

    def settle_rejection(
        self,
        target: TargetRecord,
        reply: TargetReply,
    ) -> None:
        """Note that the request did not run; raise GatewayError if it may not go on.

        A rejected request may be sent to another target whatever its kind,
        but each send counts.
        """
        self.note_refused(target, reply)
        self.note_not_run()
        if not self.take_repeat():
            raise self.refuse('targets_full')

    def refuse(
        self,
        reason: str,
        retry_after_s: float | None = DEFAULT_RETRY_AFTER_S,
    ) -> GatewayError:
        """Return the true error for a request that is given up."""
        if self.may_have_run:
            return GatewayError(HTTPStatus.BAD_GATEWAY, reason)
        return GatewayError(
            HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s
        )

    def fail(self, error: GatewayError) -> None:
        """Send an error, or break an answer that has begun."""
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
        """End a request whose time is over."""
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
