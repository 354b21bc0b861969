"""Runs requests of plain services: whole answers, never a part of one."""

from typing import Final

from peridotrill.exceptions import TargetOutcomeUnknown, TargetUnreachable
from peridotrill.gateway.admission_queue import Place
from peridotrill.gateway.metrics import ATTEMPTS
from peridotrill.gateway.pools import Pool
from peridotrill.gateway.serving import RequestRun
from peridotrill.gateway.target_health import Failure
from peridotrill.gateway.target_messages import RequestOptions, TargetReply

_FIRST_SERVER_ERROR: Final = 500
# Part of the remaining time after which a silent target is given up for
# another one.
_SILENCE_PART: Final = 0.45
# Time below which a request is not sent any more: no target answers sooner.
_MIN_USEFUL_S: Final = 0.02


async def run_plain(run: RequestRun) -> None:
    """Serve a request; raises Refused."""
    while True:
        place = await _find_place(run)
        reply, body = await _try_target(run, place)
        if reply is None:
            continue
        failed = reply.status >= _FIRST_SERVER_ERROR
        if failed and _may_repeat(run):
            run.shared.log.write(
                'attempt_repeated',
                request=run.request.request_id,
                target=place.target.target_id,
                status=reply.status,
            )
            continue
        run.responder.send(reply.status, reply.headers, body)
        run.outcome = 'answered' if not failed else 'target_error'
        return


async def _find_place(run: RequestRun) -> Place:
    placement = run.shared.placement
    if not placement.has_target(run.service, run.excluded):
        raise run.refuse('no_target')
    finder = placement.plain_finder(run.service, run.excluded)
    return await run.find_place(
        Pool.PLAIN,
        finder,
        1,
        run.deadline_s - _MIN_USEFUL_S,
    )


async def _try_target(
    run: RequestRun,
    place: Place,
) -> tuple[TargetReply | None, bytes]:
    """Return the answer; no reply means that another target may be tried."""
    shared = run.shared
    target = place.target
    run.excluded.add(target.target_id)
    exchange = None
    try:
        exchange = await shared.targets.send(
            run.request,
            target,
            RequestOptions(
                target.target_id,
                run.team.name if run.team else None,
                run.left_s() * 1000,
            ),
            run.route.is_repeatable,
        )
        run.note_sent(target)
        reply = await shared.targets.read_reply(exchange)
        run.note_load(target, reply)
        body = await exchange.read_body()
    except TargetUnreachable as error:
        run.note_failure(target, Failure.UNREACHABLE, str(error))
        return None, b''
    except TargetOutcomeUnknown as error:
        run.note_failure(target, Failure.BROKEN, str(error))
        if not _may_repeat(run):
            raise run.refuse('target_failed') from error
        return None, b''
    finally:
        if exchange is not None:
            exchange.close()
        shared.placement.release(place, run.service)
    return _judge(run, place, reply), body


def _judge(
    run: RequestRun,
    place: Place,
    reply: TargetReply,
) -> TargetReply | None:
    target = place.target
    if reply.not_run:
        run.note_refused(target, reply)
        run.note_not_run()
        if not run.shared.budget.try_repeat(
            run.service,
            run.shared.quotas.gateways,
        ):
            raise run.refuse('targets_full')
        return None
    if not reply.is_genuine:
        run.note_failure(target, Failure.BROKEN, 'no stamp')
        if not _may_repeat(run):
            raise run.refuse('target_failed')
        return None
    run.count_start()
    if reply.status >= _FIRST_SERVER_ERROR:
        run.note_failure(target, Failure.ERROR, f'status {reply.status}')
    else:
        run.shared.health.record_success(target.target_id)
        ATTEMPTS.labels(run.service, 'answered').inc()
    return reply


def _may_repeat(run: RequestRun) -> bool:
    """Tell whether the request may run at another target, and count it."""
    if not run.route.is_repeatable:
        return False
    if len(run.targets_used) >= run.route.max_targets:
        return False
    others = [
        row
        for row in run.shared.beliefs.usable_targets(run.service)
        if row.target_id not in run.excluded
    ]
    if not others or run.left_s() <= _MIN_USEFUL_S:
        return False
    return run.shared.budget.try_repeat(
        run.service,
        run.shared.quotas.gateways,
    )
