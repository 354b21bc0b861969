"""Handling of caller requests: routing, authentication, quotas, dispatch."""

import math
import random
from http import HTTPStatus
from typing import final

import anyio

from peridotrill.gateway.caller_server import RawRequest, Responder
from peridotrill.gateway.components import GatewayComponents
from peridotrill.gateway.configuration import Configuration, Route, Team
from peridotrill.gateway.error_responses import GatewayError, send_error
from peridotrill.gateway.metrics import (
    FIRST_BYTE_S,
    REQUEST_DURATION_S,
    REQUESTS,
)
from peridotrill.gateway.plain_requests import serve_plain_request
from peridotrill.gateway.request_context import RequestContext
from peridotrill.gateway.requests import CallerRequest, RequestKind
from peridotrill.gateway.stream_origins import digest_request
from peridotrill.gateway.stream_requests import serve_stream_request

# Retry-After of a gateway that cannot serve, for lack of a usable configuration
# or because it stops. It is short because another gateway most likely can.
_RETRY_ELSEWHERE_S = 0.1


@final
class RequestHandler:
    """Entry point for all requests of callers."""

    def __init__(self, shared: GatewayComponents) -> None:
        """:param shared: components that all requests use."""
        self._shared = shared
        self.in_progress = 0
        self._scopes: set[anyio.CancelScope] = set()
        self._is_stopping = False
        # When ``stop`` will be called, once that is known.
        self._stop_s = math.inf

    def announce_stop(self, stop_s: float) -> None:
        """Refuse new requests that may not end before the gateway stops.

        :param stop_s: when ``stop`` will be called, as a monotonic time.
        """
        self._stop_s = stop_s

    def stop(self) -> None:
        """Give up the requests in progress, and refuse all others.

        Each caller gets an error that tells whether its request may have run.
        """
        self._is_stopping = True
        for scope in self._scopes:
            scope.cancel()

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Handle one request and send the response."""
        request = self._shared.wire.decode_request(raw)
        if request is None:
            REQUESTS.labels('', 'malformed_request').inc()
            self._shared.log.write(
                'request_refused',
                status=HTTPStatus.BAD_REQUEST,
                reason='malformed_request',
            )
            send_error(responder, HTTPStatus.BAD_REQUEST, 'malformed_request')
            return
        self.in_progress += 1
        try:
            await self._handle(request, responder)
        finally:
            self.in_progress -= 1

    async def _handle(
        self,
        request: CallerRequest,
        responder: Responder,
    ) -> None:
        try:
            context = self._admit(request, responder)
        except GatewayError as error:
            self._log_refusal(request, error)
            send_error(
                responder,
                error.status,
                error.reason,
                error.retry_after_s,
            )
            return
        try:
            await self._execute(context)
        finally:
            if (
                context.may_have_run
                and context.route.kind is not RequestKind.STREAM
            ):
                # A plain request that was sent has most likely started; a
                # stream is counted at its first event.
                context.count_usage()
            self._log_end(context)

    async def _execute(self, context: RequestContext) -> None:
        scope = anyio.move_on_after(max(0, context.remaining_s()))
        self._scopes.add(scope)
        try:
            with scope:
                await self._serve(context)
        finally:
            self._scopes.discard(scope)
        if scope.cancelled_caught:
            self._give_up(context)

    async def _serve(self, context: RequestContext) -> None:
        serve_request = serve_plain_request
        if context.route.kind is RequestKind.STREAM:
            serve_request = serve_stream_request
        try:
            await serve_request(context)
        except GatewayError as error:
            context.fail(error)
        except Exception as error:  # noqa: BLE001
            # A target may have run the request, so the response is a 502,
            # which does not tell the caller that it did not run.
            self._shared.log.write_exception(
                'request_fault',
                error,
                request=context.request.request_id,
            )
            context.fail(GatewayError(HTTPStatus.BAD_GATEWAY, 'internal_error'))

    def _give_up(self, context: RequestContext) -> None:
        if self._is_stopping:
            context.fail(
                context.build_error('gateway_stopping', _RETRY_ELSEWHERE_S)
            )
        else:
            context.expire()

    def _admit(
        self,
        request: CallerRequest,
        responder: Responder,
    ) -> RequestContext:
        shared = self._shared
        configuration = shared.cluster_state.configuration
        if configuration is None:
            raise GatewayError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'configuration_unknown',
                _RETRY_ELSEWHERE_S,
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise GatewayError(HTTPStatus.NOT_FOUND, 'route_unknown')
        team = self._find_team(request, route, configuration)
        service = self._choose_service(request, route, team)
        context = RequestContext(
            request, route, team, service, responder, shared
        )
        if self._is_stopping or self._latest_end_s(context) > self._stop_s:
            raise context.build_error('gateway_stopping', _RETRY_ELSEWHERE_S)
        context.check_quarantine()
        if team is not None:
            self._take_quota(request, team)
        shared.budget.record_request(service)
        return context

    def _choose_service(
        self, request: CallerRequest, route: Route, team: Team | None
    ) -> str:
        """Return the service that began a stream, else one by the weights."""
        services = [row.service for row in route.services]
        if request.resumed_id is not None:
            origin = self._shared.origins.find(
                digest_request(team.name if team else '', request.resumed_id)
            )
            if origin is not None and origin.service in services:
                return origin.service
        weights = [row.weight for row in route.services]
        return random.choices(services, weights)[0]

    def _latest_end_s(self, context: RequestContext) -> float:
        """Return when the request should have ended, as a monotonic time.

        A stream lasts for as long as its output, and a request that may not be
        repeated must not be given up. Others take much less than their time.
        """
        if context.route.kind is RequestKind.IDEMPOTENT:
            return context.request.received_s + context.route.goal_ms / 1000
        return context.deadline_s

    def _find_team(
        self,
        request: CallerRequest,
        route: Route,
        configuration: Configuration,
    ) -> Team | None:
        if route.is_public or not configuration.requires_keys:
            return None
        if not self._shared.cluster_state.is_fresh:
            raise GatewayError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'configuration_stale',
                _RETRY_ELSEWHERE_S,
            )
        team = None
        if request.api_key is not None:
            team = configuration.find_team(request.api_key)
        if team is None:
            raise GatewayError(HTTPStatus.UNAUTHORIZED, 'key_unknown')
        return team

    def _take_quota(self, request: CallerRequest, team: Team) -> None:
        cost = 1.0
        if team.counts_tokens:
            cost = team.plain_tokens
            if request.prompt is not None:
                cost = request.prompt.total_tokens
        decision = self._shared.quotas.admit(team, cost)
        if not decision.is_admitted:
            raise GatewayError(
                HTTPStatus.TOO_MANY_REQUESTS,
                'team_over_limit',
                decision.retry_after_s,
                team=team.name,
                cost=cost,
                left=round(decision.left),
                available=round(decision.available),
                rate_per_s=team.rate_per_s,
                burst=team.burst,
            )

    def _log_refusal(self, request: CallerRequest, error: GatewayError) -> None:
        cluster_state = self._shared.cluster_state
        known = cluster_state.configuration
        REQUESTS.labels('', error.reason).inc()
        self._shared.log.write(
            'request_refused',
            request=request.request_id,
            path=request.path,
            status=error.status,
            reason=error.reason,
            retry_after_s=error.retry_after_s,
            version=known.version if known else None,
            config_age_s=cluster_state.config_age_s(),
            **error.log_fields,
        )

    def _log_end(self, context: RequestContext) -> None:
        now_s = self._shared.clock.monotonic_s()
        if context.responder.is_disconnected:
            context.outcome = 'caller_left'
        route = context.route.name
        duration_s = now_s - context.request.received_s
        first_s = None
        if context.first_byte_s is not None:
            first_s = context.first_byte_s - context.request.received_s
            FIRST_BYTE_S.labels(route).observe(first_s)
        REQUEST_DURATION_S.labels(route).observe(duration_s)
        REQUESTS.labels(route, context.outcome).inc()
        known = self._shared.cluster_state.configuration
        self._shared.log.write(
            'request_ended',
            request=context.request.request_id,
            route=route,
            team=context.team.name if context.team else None,
            service=context.service,
            outcome=context.outcome,
            targets=','.join(context.targets_used) or None,
            pool=context.pool.name.lower() if context.pool else None,
            queue_ms=round(context.queue_s * 1000),
            first_ms=None if first_s is None else round(first_s * 1000),
            total_ms=round(duration_s * 1000),
            version=known.version if known else None,
            resumes=context.request.resumed_id,
            framing=context.framing and context.framing.value,
            **context.response_fields,
        )
