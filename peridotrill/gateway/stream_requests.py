"""Forwards requests to model engines: prefill, then a stream of events."""

import math
from datetime import timedelta
from typing import Final

import anyio

from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.engine_requests import expected_tokens
from peridotrill.gateway.generation import Generation
from peridotrill.gateway.prefill import (
    RemotePrompt,
    prefill_prompt,
    release_prompt,
)
from peridotrill.gateway.report_timing import report_interval_s
from peridotrill.gateway.request_context import RequestContext
from peridotrill.gateway.stream_origins import (
    UNKNOWN_VERSION,
    StreamOrigin,
    digest_request,
)

# Least time in which another gateway reports a stream that has just begun there,
# or the store lists it.
_MIN_ORIGIN_TIMEOUT_S: Final = 0.3

# Time for reading the target records before other gateways are asked; the store
# responds within some milliseconds.
_CONFIRMATION_TIMEOUT_S: Final = 0.05


async def serve_stream_request(context: RequestContext) -> None:
    """Forward a request and stream the output; raises GatewayError."""
    prefill_result: RemotePrompt | Reservation | None = None
    if context.request.is_resumption:
        context.stream_version = await _find_stream_version(context)
    prompt = context.request.prompt
    if prompt is not None:
        context.shared.demand.record(
            context.service,
            context.shared.placement.prefill_work_ms(context.service, prompt),
            expected_tokens(prompt),
        )
        prefill_result = await prefill_prompt(context, prompt)
    if isinstance(prefill_result, Reservation):
        generation = Generation(context, None, prefill_result)
    else:
        generation = Generation(context, prefill_result)
    try:
        await generation.execute()
    finally:
        if (
            isinstance(prefill_result, RemotePrompt)
            and not generation.is_prompt_taken
        ):
            context.shared.start_task(release_prompt, context, prefill_result)


async def _find_stream_version(context: RequestContext) -> str:
    """Return the software version that began a stream.

    Raises GatewayError if it is not known and more than one version may have.
    """
    shared = context.shared
    digest = None
    origin = None
    if context.request.resumed_id is not None:
        digest = digest_request(context.team_name, context.request.resumed_id)
        origin = shared.origins.find(digest)
    is_split = len(context.route.services) > 1
    version = None
    source = 'known'
    if origin is None:
        source = 'only version'
        with anyio.move_on_after(_CONFIRMATION_TIMEOUT_S):
            await _confirm_targets(context)
        version = _find_sole_version(context)
    # Of several services, only the origin tells which one began the stream.
    if origin is None and digest is not None and (is_split or version is None):
        origin = await _ask_for_origin(context, digest)
        version = _find_sole_version(context)
        source = source if origin is None else 'asked'
    if origin is not None:
        version = _use_origin(context, origin)
    shared.log.write(
        'stream_taken_up',
        request=context.request.request_id,
        resumes=context.request.resumed_id,
        service=context.service,
        software=version,
        source=source,
        targets_age_ms=_log_ms(shared.cluster_state.targets_age_s()),
    )
    if version in {None, UNKNOWN_VERSION}:
        raise context.build_error(
            'stream_version_unknown', context.retry_after_s()
        )
    return version


def _log_ms(duration_s: float) -> int | None:
    return round(duration_s * 1000) if math.isfinite(duration_s) else None


def _use_origin(context: RequestContext, origin: StreamOrigin) -> str | None:
    """Go on at the service of a stream; return None if the route has another."""
    if origin.service not in {row.service for row in context.route.services}:
        return None
    context.service = origin.service
    return origin.version


async def _ask_for_origin(
    context: RequestContext, digest: int
) -> StreamOrigin | None:
    """Return the origin of a stream from another gateway or from the store."""
    shared = context.shared
    shared.start_task(shared.load_streams)
    interval_s = report_interval_s(shared.quotas.gateways - 1)
    timeout_s = max(_MIN_ORIGIN_TIMEOUT_S, interval_s)
    origin = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_at_sole_version, context, tasks.cancel_scope)
        origin = await shared.streams.find(digest, timedelta(seconds=timeout_s))
        tasks.cancel_scope.cancel()
    return origin


async def _stop_at_sole_version(
    context: RequestContext, scope: anyio.CancelScope
) -> None:
    """Cancel a scope once only one version can have written a stream."""
    await _confirm_targets(context)
    is_split = len(context.route.services) > 1
    if not is_split and _find_sole_version(context) is not None:
        scope.cancel()


async def _confirm_targets(context: RequestContext) -> None:
    await context.shared.confirm_targets(context.request.received_s)


def _find_sole_version(context: RequestContext) -> str | None:
    return context.shared.cluster_state.sole_version(
        context.service, context.request.received_s
    )
