"""Runs requests: one attempt after another, until one has an answer."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from datetime import timedelta
from typing import Final, final

import anyio

from peridotrill.answers import Answer, AnswerBytes, AnswerEnd, AnswerHead
from peridotrill.attempt_dependencies import AttemptDependencies
from peridotrill.attempts import Attempt
from peridotrill.dispatch import Placement, Request
from peridotrill.errors import NOT_RUN, RAN, UNKNOWN, RequestError

MAX_BUFFERED_BYTES: Final = 8 * 1024 * 1024
_MIN_BACK_OFF: Final = timedelta(milliseconds=50)
_MAX_BACK_OFF: Final = timedelta(seconds=1)

# Refusals after which the same request cannot be started by another attempt.
_FINAL_REASONS: Final = frozenset(
    (
        'idempotency_key_reused',
        'deadline_exceeded',
        'invalid_request',
        'rate_limited',
    ),
)

# Refusals while the agent cannot tell whether the key is new.
_UNDECIDED_REASONS: Final = frozenset(('recovering', 'placement_old'))


@final
class _Run:
    """The attempts of one request; decides whether there is another."""

    def __init__(
        self, request: Request, dependencies: AttemptDependencies
    ) -> None:
        self.is_wanted = True
        self._request = request
        self._dependencies = dependencies
        self._avoided: set[str] = set()
        self._back_off_s = _MIN_BACK_OFF.total_seconds()

    async def attempt(self) -> AsyncGenerator[Answer, None]:
        """Make one attempt and yield its answer; wait if it is repeated."""
        placement = await self._place()
        attempt = Attempt(self._request, placement, self._dependencies)
        self.is_wanted = False
        is_yielded = False
        try:
            async with aclosing(_shape(self._request, attempt)) as answers:
                async for answer in answers:
                    is_yielded = True
                    yield answer
        except RequestError as error:
            if is_yielded or not self._allows(error, placement.target_id):
                raise _final_error(error, self._request) from error
            self.is_wanted = True
            await self._pause()

    async def _place(self) -> Placement:
        dispatcher = self._dependencies.dispatcher
        if self._request.caller_key:
            return await dispatcher.place_at_home_target(self._request)
        return await dispatcher.place(self._request, self._avoided)

    def _allows(self, error: RequestError, target_id: str) -> bool:
        request = self._request
        now_s = self._dependencies.clock.monotonic_s()
        is_late = now_s + self._back_off_s >= request.deadline_s
        if is_late or error.reason in _FINAL_REASONS:
            return False
        self._avoided.add(target_id)
        if error.outcome == NOT_RUN:
            return True
        if not request.idempotent or error.outcome == RAN:
            return False
        return self._dependencies.budget.try_retry(request.service.name)

    async def _pause(self) -> None:
        await anyio.sleep(self._back_off_s)
        self._back_off_s = min(
            self._back_off_s * 2,
            _MAX_BACK_OFF.total_seconds(),
        )


def _final_error(error: RequestError, request: Request) -> RequestError:
    """Return what the caller is told when there is no other attempt."""
    if error.reason == 'rate_limited':
        wait_s = request.limit_wait_s
        return RequestError('rate_limited', retry_after_s=wait_s)
    if error.reason not in _UNDECIDED_REASONS:
        return error
    # This attempt was refused because an earlier one may have run.
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
) -> AsyncGenerator[Answer, None]:
    """Run a request and yield its answer.

    Attempts are repeated only before any part of the answer was yielded.
    Answers without streaming are yielded when they are whole.

    :param request: admitted; raises RequestError with code and outcome.
    """
    dependencies.budget.record_request(request.service.name)
    run = _Run(request, dependencies)
    while run.is_wanted:
        async with aclosing(run.attempt()) as answers:
            async for answer in answers:
                yield answer


async def _shape(
    request: Request,
    attempt: Attempt,
) -> AsyncGenerator[Answer, None]:
    async with aclosing(attempt.answers()) as answers:
        if request.streaming:
            async for answer in answers:
                yield answer
            return
        collected = await _collect(answers)
    for part in collected:
        yield part


async def _collect(answers: AsyncGenerator[Answer, None]) -> list[Answer]:
    """Return head, all bytes as one part, and end of an answer."""
    heads: list[Answer] = []
    chunks: list[bytes] = []
    size_bytes = 0
    async for answer in answers:
        if isinstance(answer, AnswerBytes):
            chunks.append(answer.payload)
            size_bytes += len(answer.payload)
            if size_bytes > MAX_BUFFERED_BYTES:
                raise RequestError('answer_too_large', reason='too_large')
        elif isinstance(answer, AnswerHead):
            heads.append(answer)
    return [*heads, AnswerBytes(b''.join(chunks)), AnswerEnd(size_bytes)]
