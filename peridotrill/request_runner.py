"""Runs requests and retries failed attempts."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from datetime import timedelta
from typing import Final, final

import anyio

from peridotrill.attempt_dependencies import AttemptDependencies
from peridotrill.attempts import Attempt
from peridotrill.dispatch import Assignment, Request
from peridotrill.errors import NOT_RUN, RAN, UNKNOWN, RequestError
from peridotrill.response_parts import (
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
)

MAX_BUFFERED_BYTES: Final = 8 * 1024 * 1024
_MIN_BACK_OFF: Final = timedelta(milliseconds=50)
_MAX_BACK_OFF: Final = timedelta(seconds=1)
# A prompt is harmless to an engine that goes on after its first output.
_HARMLESS_CHUNKS: Final = 2

# Refusals that another attempt at the same request would also get.
_NON_RETRYABLE_REASONS: Final = frozenset(
    (
        'idempotency_key_reused',
        'deadline_exceeded',
        'invalid_request',
        'rate_limited',
    ),
)

# Refusals while the agent cannot tell whether it has seen the key before.
_UNDETERMINED_REASONS: Final = frozenset(('recovering', 'placement_old'))


@final
class _Progress:
    """Tells the crash guard how far an attempt has come."""

    def __init__(
        self, request: Request, dependencies: AttemptDependencies
    ) -> None:
        self._request = request
        self._guard = dependencies.crash_guard
        self._clock = dependencies.clock
        self._sent_s = self._clock.monotonic_s()
        self._started_s = self._sent_s
        self._chunks = 0
        self._is_harmless = False

    def observe(self, part: ResponsePart) -> None:
        """Record a part of the response."""
        if isinstance(part, ResponseChunk):
            self._chunks += 1
            if self._chunks == 1:
                self._started_s = self._clock.monotonic_s()
        is_end = isinstance(part, ResponseEnd)
        if not self._is_harmless and (
            is_end or self._chunks >= _HARMLESS_CHUNKS
        ):
            self._is_harmless = True
            self._guard.record_harmless(self._request, self._started_s)

    def fail(self, target_id: str, error: RequestError) -> None:
        """Record the error that ended the attempt."""
        sent_s = None if self._is_harmless else self._sent_s
        self._guard.record_failure(self._request, target_id, error, sent_s)


@final
class _RequestRun:
    """The attempts of one request; decides whether to retry."""

    def __init__(
        self, request: Request, dependencies: AttemptDependencies
    ) -> None:
        self.needs_attempt = True
        self._request = request
        self._dependencies = dependencies
        self._tried_targets: set[str] = set()
        self._back_off_s = _MIN_BACK_OFF.total_seconds()

    async def attempt(self) -> AsyncGenerator[ResponsePart, None]:
        """Make one attempt and yield its response; back off before a retry."""
        assignment = await self._choose_target()
        attempt = Attempt(self._request, assignment, self._dependencies)
        self.needs_attempt = False
        is_yielded = False
        progress = _Progress(self._request, self._dependencies)
        try:
            async with aclosing(
                _buffer_unless_streaming(self._request, attempt)
            ) as response_parts:
                async for part in response_parts:
                    is_yielded = True
                    progress.observe(part)
                    yield part
        except RequestError as error:
            progress.fail(assignment.target_id, error)
            if is_yielded or not self._may_retry(error, assignment.target_id):
                raise _final_error(error, self._request) from error
            self.needs_attempt = True
            await self._back_off()

    async def _choose_target(self) -> Assignment:
        guard = self._dependencies.crash_guard
        is_trial = guard.check(self._request)
        dispatcher = self._dependencies.dispatcher
        if self._request.caller_key:
            return await dispatcher.place_at_home_target(self._request)
        assignment = await dispatcher.place(self._request, self._tried_targets)
        try:
            # The prompt may have been quarantined while the request waited.
            if not is_trial:
                guard.check(self._request)
        except RequestError:
            dispatcher.local_attempts.ended(
                assignment.target_id, assignment.attempt_id
            )
            raise
        return assignment

    def _may_retry(self, error: RequestError, target_id: str) -> bool:
        request = self._request
        now_s = self._dependencies.clock.monotonic_s()
        is_late = now_s + self._back_off_s >= request.deadline_s
        if is_late or error.reason in _NON_RETRYABLE_REASONS:
            return False
        self._tried_targets.add(target_id)
        if error.outcome == NOT_RUN:
            return True
        if not request.idempotent or error.outcome == RAN:
            return False
        return self._dependencies.budget.try_take_retry(request.service.name)

    async def _back_off(self) -> None:
        await anyio.sleep(self._back_off_s)
        self._back_off_s = min(
            self._back_off_s * 2,
            _MAX_BACK_OFF.total_seconds(),
        )


def _final_error(error: RequestError, request: Request) -> RequestError:
    """Return the error for the caller when there is no retry."""
    if error.reason == 'rate_limited':
        wait_s = request.limit_wait_s
        return RequestError('rate_limited', retry_after_s=wait_s)
    if error.reason not in _UNDETERMINED_REASONS:
        return error
    # The attempt was refused because an earlier one may have run.
    return RequestError(
        'outcome_unknown',
        'It is not yet known whether the key was used before.',
        UNKNOWN,
        error.retry_after_s,
        error.reason,
    )


async def run_request(
    request: Request,
    dependencies: AttemptDependencies,
) -> AsyncGenerator[ResponsePart, None]:
    """Run a request and yield its response; raises RequestError.

    Attempts are retried only before any part of the response was yielded.
    Without streaming, the response is yielded once it is complete.

    :param request: an admitted request.
    """
    dependencies.budget.record_request(request.service.name)
    run = _RequestRun(request, dependencies)
    while run.needs_attempt:
        async with aclosing(run.attempt()) as response_parts:
            async for part in response_parts:
                yield part


async def _buffer_unless_streaming(
    request: Request,
    attempt: Attempt,
) -> AsyncGenerator[ResponsePart, None]:
    async with aclosing(attempt.response_parts()) as response_parts:
        if request.streaming:
            async for part in response_parts:
                yield part
            return
        collected = await _collect(response_parts)
    for part in collected:
        yield part


async def _collect(
    response_parts: AsyncGenerator[ResponsePart, None],
) -> list[ResponsePart]:
    """Return the head, the body as one chunk, and the end of a response."""
    heads: list[ResponsePart] = []
    chunks: list[bytes] = []
    size_bytes = 0
    async for part in response_parts:
        if isinstance(part, ResponseChunk):
            chunks.append(part.payload)
            size_bytes += len(part.payload)
            if size_bytes > MAX_BUFFERED_BYTES:
                raise RequestError('answer_too_large', reason='too_large')
        elif isinstance(part, ResponseHead):
            heads.append(part)
    return [*heads, ResponseChunk(b''.join(chunks)), ResponseEnd(size_bytes)]
