"""Prefills prompts at engines of their own."""

from contextlib import closing
from datetime import timedelta
from http import HTTPStatus
from typing import Final, NamedTuple

from peridotrill.exceptions import (
    CodecError,
    TargetError,
    TargetOutcomeUnknown,
    TargetTimeout,
    TargetUnreachable,
)
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.engine_requests import (
    DECODE_LATENCY_S,
    MIN_REMAINING_S,
    PREFILL_TIMEOUT_FACTOR,
    engine_priority,
    expected_tokens,
)
from peridotrill.gateway.placement import Pool
from peridotrill.gateway.request_context import RequestContext
from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Time without a response after which an engine counts as silent; several times
# the delay of a full queue.
_PREFILL_TIMEOUT: Final = timedelta(seconds=1.5)
# Overhead of a prefill call at an idle engine.
_PREFILL_LATENCY_S: Final = 0.03
# Time per output token at an engine that is nearly idle.
_MIN_TOKEN_LATENCY_S: Final = 0.0045


class RemotePrompt(NamedTuple):
    """A prompt that was prefilled at ``target``, which keeps its KV cache."""

    target: TargetRecord
    handle: str


async def release_prompt(
    context: RequestContext, remote_prompt: RemotePrompt
) -> None:
    """Let an engine drop a prompt that is not needed.

    Engines drop them after a short time anyway. Those of an evacuated zone get
    no requests.
    """
    if remote_prompt.target.zone in context.shared.cluster_state.evacuations:
        return
    try:
        await context.shared.targets.release_prompt(
            remote_prompt.target,
            remote_prompt.handle,
        )
    except TargetError as error:
        context.shared.log.write(
            'prompt_release_failed',
            request=context.request.request_id,
            target=remote_prompt.target.target_id,
            error=str(error),
        )


async def prefill_prompt(
    context: RequestContext,
    prompt: Prompt,
) -> RemotePrompt | Reservation:
    """Prefill the prompt at a separate engine.

    If the reserved engine runs prefill and decode itself, its reservation is
    returned instead.
    """
    excluded: set[str] = set()
    while True:
        reservation = await _reserve_prefill_engine(context, prompt, excluded)
        if reservation.target.role is not TargetRole.PREFILL:
            return reservation
        excluded.add(reservation.target.target_id)
        remote_prompt, was_sent = await _try_prefill(
            context, prompt, reservation
        )
        if remote_prompt is not None:
            return remote_prompt
        if was_sent and not context.try_consume_retry():
            raise context.build_error('prefill_failed')


async def _reserve_prefill_engine(
    context: RequestContext,
    prompt: Prompt,
    excluded: set[str],
) -> Reservation:
    placement = context.shared.placement
    await context.require_target(excluded)
    pool = Pool.SHORT_READING
    if placement.is_long(prompt):
        pool = Pool.LONG_READING
    work_ms = placement.prefill_work_ms(context.service, prompt)
    return await context.reserve_target(
        pool,
        placement.prefill_finder(
            context.service,
            prompt,
            excluded,
            context.stream_version,
            context.allowed_regions,
        ),
        work_ms,
        work_ms / 1000 + _PREFILL_LATENCY_S + DECODE_LATENCY_S,
        context.deadline_s - MIN_REMAINING_S - _min_output_s(prompt),
    )


async def _try_prefill(
    context: RequestContext,
    prompt: Prompt,
    reservation: Reservation,
) -> tuple[RemotePrompt | None, bool]:
    """Return the prefilled prompt, and whether the call was sent."""
    target = reservation.target
    sent_s = context.shared.clock.monotonic_s()
    try:
        handle = await _send_prefill(context, prompt, reservation)
    except TargetUnreachable as error:
        context.record_unreachable(target, error)
        return None, False
    except TargetTimeout:
        return None, True
    except (TargetOutcomeUnknown, CodecError) as error:
        context.record_broken_response(target, error, sent_s)
        return None, True
    finally:
        context.shared.placement.release(reservation, context.service)
    if handle is None:
        return None, True
    context.shared.health.record_success(target.target_id)
    return RemotePrompt(target, handle), True


async def _send_prefill(
    context: RequestContext,
    prompt: Prompt,
    reservation: Reservation,
) -> str | None:
    """Prefill a prompt; return its handle, or None if it was rejected."""
    context.require_no_quarantine()
    shared = context.shared
    target = reservation.target
    started_s = shared.clock.monotonic_s()
    slowness = shared.placement.target_speeds.slowness(target.target_id)
    context.is_prompt_sent = True
    source = shared.placement.find_part_holder(prompt, target.target_id)
    exchange = await shared.targets.send(
        context.request,
        target,
        context.options(target)._replace(
            priority=engine_priority(context),
            role=TargetRole.PREFILL,
            kv_fetch=None if source is None else str(source.address),
        ),
        allow_retry=True,
        alive_after_s=context.alive_after_s(),
    )
    with closing(exchange):
        response = await context.read_response_head(
            target,
            exchange,
            _PREFILL_TIMEOUT
            + shared.placement.expected_prefill_time(reservation)
            * PREFILL_TIMEOUT_FACTOR,
            can_retry_elsewhere=True,
        )
        body = await exchange.read_body()
    if response.status != HTTPStatus.OK:
        context.record_rejection(target, response)
        return None
    prefilled = shared.wire.decode_prefilled(body)
    shared.placement.record_prefill(prompt, target)
    took_ms = (shared.clock.monotonic_s() - started_s) * 1000
    shared.placement.record_prefill_time(reservation, took_ms)
    shared.log.write(
        'prompt_read',
        request=context.request.request_id,
        target=target.target_id,
        tokens=prefilled.tokens,
        shared=prompt.shared_tokens,
        part=None if prompt.main_part is None else prompt.main_part.part_id,
        estimate_ms=round(reservation.prefill_ms * slowness),
        ahead_ms=round(reservation.ahead_ms * slowness),
        took_ms=round(took_ms),
        slowdown=round(reservation.slowdown, 2),
        slowness=round(slowness, 2),
        fetch=None if source is None else source.target_id,
    )
    return prefilled.handle


def _min_output_s(prompt: Prompt) -> float:
    """Return the minimum time that the expected output takes."""
    return expected_tokens(prompt) * _MIN_TOKEN_LATENCY_S
