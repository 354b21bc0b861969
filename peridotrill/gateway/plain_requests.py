"""Forwards requests to plain services; responses are buffered whole."""

from contextlib import closing
from datetime import timedelta
from typing import Final

from peridotrill.exceptions import (
    TargetOutcomeUnknown,
    TargetTimeout,
    TargetUnreachable,
)
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.metrics import ATTEMPTS
from peridotrill.gateway.placement import Pool
from peridotrill.gateway.request_context import RequestContext
from peridotrill.gateway.target_health import Failure
from peridotrill.gateway.target_messages import TargetResponse
from peridotrill.gateway.targets import TargetRecord

_MIN_SERVER_ERROR_STATUS: Final = 500
# Time without a response after which a target counts as silent; a plain
# request usually takes tens of milliseconds.
_RESPONSE_TIMEOUT: Final = timedelta(milliseconds=350)
# A request with less time left is not sent: no target responds sooner.
_MIN_REMAINING_S: Final = 0.02
# Typical processing time of a plain request at a target.
_EXPECTED_LATENCY_S: Final = 0.03


async def serve_plain_request(context: RequestContext) -> None:
    """Forward a request and send the response; raises GatewayError."""
    while True:
        context.require_no_quarantine()
        reservation = await _reserve_target(context)
        response, body = await _try_target(context, reservation)
        if response is None:
            continue
        failed = response.status >= _MIN_SERVER_ERROR_STATUS
        if failed and context.allow_retry():
            context.shared.log.write(
                'attempt_repeated',
                request=context.request.request_id,
                target=reservation.target.target_id,
                status=response.status,
            )
            continue
        context.responder.send(response.status, response.headers, body)
        context.outcome = 'target_error' if failed else 'answered'
        return


async def _reserve_target(context: RequestContext) -> Reservation:
    await context.require_target(context.excluded)
    finder = context.shared.placement.plain_finder(
        context.service, context.excluded, context.allowed_regions
    )
    return await context.reserve_target(
        Pool.PLAIN,
        finder,
        1,
        _EXPECTED_LATENCY_S,
        context.deadline_s - _MIN_REMAINING_S,
    )


async def _try_target(
    context: RequestContext,
    reservation: Reservation,
) -> tuple[TargetResponse | None, bytes]:
    """Return the response head and body.

    The head is None if another target should be tried.
    """
    target = reservation.target
    context.excluded.add(target.target_id)
    try:
        response, body = await _exchange(context, target)
    except TargetUnreachable as error:
        context.record_unreachable(target, error)
        return None, b''
    except TargetOutcomeUnknown as error:
        if not isinstance(error, TargetTimeout):
            context.record_broken_response(target, error, context.sent_s)
        if not context.allow_retry():
            raise context.build_error('target_failed') from error
        return None, b''
    finally:
        context.shared.placement.release(reservation, context.service)
    return _check_response(context, reservation, response), body


async def _exchange(
    context: RequestContext,
    target: TargetRecord,
) -> tuple[TargetResponse, bytes]:
    """Send the request and read the whole response."""
    exchange = await context.shared.targets.send(
        context.request,
        target,
        context.options(target),
        context.route.is_repeatable,
    )
    context.record_sent(target)
    with closing(exchange):
        response = await context.read_response_head(
            target,
            exchange,
            _RESPONSE_TIMEOUT,
            context.can_retry_elsewhere(),
        )
        context.record_load(target, response)
        _record_time(context, target, response)
        body = await exchange.read_body()
    if not response.not_run:
        await context.require_running(target, response)
    return response, body


def _record_time(
    context: RequestContext, target: TargetRecord, response: TargetResponse
) -> None:
    """Learn the speed of a target from a response that it has worked for."""
    is_failure = response.status >= _MIN_SERVER_ERROR_STATUS
    if response.is_verified and not response.not_run and not is_failure:
        took_s = context.shared.clock.monotonic_s() - context.sent_s
        context.shared.placement.record_response_time(
            target, context.route.name, took_s * 1000
        )


def _check_response(
    context: RequestContext,
    reservation: Reservation,
    response: TargetResponse,
) -> TargetResponse | None:
    target = reservation.target
    if response.not_run:
        context.handle_rejection(target, response)
        return None
    if not response.is_verified:
        context.record_attempt_failure(
            target, Failure.BROKEN, 'response not verified'
        )
        if not context.allow_retry():
            raise context.build_error('target_failed')
        return None
    context.count_usage()
    context.record_harmless(context.sent_s)
    if response.status >= _MIN_SERVER_ERROR_STATUS:
        context.record_attempt_failure(
            target, Failure.ERROR, f'status {response.status}'
        )
    else:
        context.shared.health.record_success(target.target_id)
        ATTEMPTS.labels(context.service, 'answered').inc()
    return response
