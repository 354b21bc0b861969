"""Runs requests of plain services: whole answers, never a part of one."""

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
from peridotrill.gateway.serving import RequestRun
from peridotrill.gateway.target_health import Failure
from peridotrill.gateway.target_messages import TargetReply
from peridotrill.gateway.targets import TargetRecord

_FIRST_SERVER_ERROR: Final = 500
# Time without an answer after which a target counts as silent; a plain
# request takes some ten milliseconds.
_PATIENCE: Final = timedelta(milliseconds=350)
# Time below which a request is not sent any more: no target answers sooner.
_MIN_USEFUL_S: Final = 0.02
# Usual time of a plain request at a target.
_SERVICE_S: Final = 0.03


async def run_plain(run: RequestRun) -> None:
    """Serve a request; raises GatewayError."""
    while True:
        reservation = await _find_place(run)
        reply, body = await _try_target(run, reservation)
        if reply is None:
            continue
        failed = reply.status >= _FIRST_SERVER_ERROR
        if failed and run.may_repeat():
            run.shared.log.write(
                'attempt_repeated',
                request=run.request.request_id,
                target=reservation.target.target_id,
                status=reply.status,
            )
            continue
        run.responder.send(reply.status, reply.headers, body)
        run.outcome = 'target_error' if failed else 'answered'
        return


async def _find_place(run: RequestRun) -> Reservation:
    await run.require_target(run.excluded)
    finder = run.shared.placement.plain_finder(run.service, run.excluded)
    return await run.find_place(
        Pool.PLAIN,
        finder,
        1,
        _SERVICE_S,
        run.deadline_s - _MIN_USEFUL_S,
    )


async def _try_target(
    run: RequestRun,
    reservation: Reservation,
) -> tuple[TargetReply | None, bytes]:
    """Return the answer; no reply means that another target may be tried."""
    target = reservation.target
    run.excluded.add(target.target_id)
    try:
        reply, body = await _exchange(run, target)
    except TargetUnreachable as error:
        run.note_failure(target, Failure.UNREACHABLE, str(error))
        return None, b''
    except TargetOutcomeUnknown as error:
        if not isinstance(error, TargetTimeout):
            run.note_failure(target, Failure.BROKEN, str(error))
        if not run.may_repeat():
            raise run.refuse('target_failed') from error
        return None, b''
    finally:
        run.shared.placement.release(reservation, run.service)
    return _judge(run, reservation, reply), body


async def _exchange(
    run: RequestRun,
    target: TargetRecord,
) -> tuple[TargetReply, bytes]:
    """Send the request and read the whole answer."""
    exchange = await run.shared.targets.send(
        run.request,
        target,
        run.options(target),
        run.route.is_repeatable,
    )
    run.note_sent(target)
    with closing(exchange):
        reply = await run.read_reply(
            target,
            exchange,
            _PATIENCE,
            run.has_other_target(),
        )
        run.note_load(target, reply)
        return reply, await exchange.read_body()


def _judge(
    run: RequestRun,
    reservation: Reservation,
    reply: TargetReply,
) -> TargetReply | None:
    target = reservation.target
    if reply.not_run:
        run.settle_rejection(target, reply)
        return None
    if not reply.is_genuine:
        run.note_failure(target, Failure.BROKEN, 'answer proves nothing')
        if not run.may_repeat():
            raise run.refuse('target_failed')
        return None
    run.count_start()
    if reply.status >= _FIRST_SERVER_ERROR:
        run.note_failure(target, Failure.ERROR, f'status {reply.status}')
    else:
        run.shared.health.record_success(target.target_id)
        ATTEMPTS.labels(run.service, 'answered').inc()
    return reply
