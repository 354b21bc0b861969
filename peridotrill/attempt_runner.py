"""Runs attempts at the target and records their outcome in the ledger."""

from contextlib import AbstractAsyncContextManager
from typing import Final, Protocol, final

import anyio
import httpx
from anyio.abc import TaskGroup

from peridotrill.buffered_response import BufferedResponse
from peridotrill.clock import Clock
from peridotrill.exceptions import TargetOutcomeUnknown, TargetUnreachable
from peridotrill.ledger import (
    MAX_STORED_RESPONSE_BYTES,
    Failure,
    Ledger,
    StoredResponse,
)
from peridotrill.messages import StartAttempt
from peridotrill.target_client import TargetLoad, filter_headers
from peridotrill.timeline import Recorder
from peridotrill.token_counter import TokenCount

MAX_APPEND_BYTES: Final = 64 * 1024


class ResponseTokenCounter(Protocol):
    """Counts the tokens of one response."""

    def feed(self, payload: bytes) -> None:
        """:param payload: the next bytes."""

    def count(self) -> TokenCount:
        """Return the tokens counted so far."""


class TargetClient(Protocol):
    """The interface of a target client that the agent uses."""

    def open(
        self,
        start: StartAttempt,
    ) -> AbstractAsyncContextManager[httpx.Response]:
        """Send a request; raises TargetUnreachable, TargetOutcomeUnknown."""

    def create_counter(self, content_type: str) -> ResponseTokenCounter:
        """Return a token counter for one response."""

    async def cancel(self, attempt_id: str) -> None:
        """Cancel a request at the target."""

    async def load(self) -> TargetLoad:
        """Return the load of the target."""

    async def cached_prefixes(self) -> list[int]:
        """Return the hashes of the prefixes in the target's cache."""


@final
class AttemptRunner:
    """Starts requests at the target and reads their responses."""

    def __init__(
        self,
        client: TargetClient,
        ledger: Ledger,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """:param ledger: records the outcomes of requests that have a key."""
        self.running = 0
        self._client = client
        self._ledger = ledger
        self._clock = clock
        self._recorder = recorder

    def start(self, tasks: TaskGroup, start: StartAttempt) -> BufferedResponse:
        """Run a request in a task, after the ledger has accepted it.

        :param tasks: owns the task.
        """
        answer = BufferedResponse(
            start, MAX_STORED_RESPONSE_BYTES if start.key_digest else 0
        )
        if start.key_digest:
            self._ledger.begin(start)
        self.running += 1
        tasks.start_soon(self._run, answer)
        return answer

    async def _run(self, answer: BufferedResponse) -> None:
        failure = Failure('cancelled', '', 'unknown')
        result: Failure | None = failure
        try:
            with answer.scope:
                result = await self._run_in_time(answer)
        finally:
            self.running -= 1
            self._finish(answer, result)
        if result is not None and result.outcome != 'not_run':
            await self._client.cancel(answer.start.attempt_id)

    async def _run_in_time(self, answer: BufferedResponse) -> Failure | None:
        try:
            with anyio.fail_after(answer.start.timeout_s):
                await self._read_response(answer)
        except TimeoutError:
            return Failure('timeout', 'no whole answer in time', 'unknown')
        except TargetUnreachable as error:
            return Failure('target_unreachable', str(error), 'not_run')
        except TargetOutcomeUnknown as error:
            return Failure('target_failed', str(error), 'unknown')
        return None

    async def _read_response(self, answer: BufferedResponse) -> None:
        async with self._client.open(answer.start) as response:
            counter = self._client.create_counter(
                response.headers.get('content-type', ''),
            )
            answer.set_head(
                response.status_code,
                filter_headers(response.headers.multi_items()),
            )
            try:
                await _relay_body(response, answer, counter)
            finally:
                answer.tokens = counter.count()

    def _finish(
        self, answer: BufferedResponse, failure: Failure | None
    ) -> None:
        key_digest = answer.start.key_digest
        if key_digest and failure is not None:
            self._ledger.fail(key_digest, failure)
        elif key_digest:
            self._ledger.answer(key_digest, _to_stored_answer(answer))
        answer.end(self._clock.monotonic_s(), failure)
        if failure is not None:
            self._recorder.emit(
                'attempt_failed',
                attempt=answer.start.attempt_id,
                request=answer.start.request_id,
                code=failure.code,
                outcome=failure.outcome,
                detail=failure.detail,
            )


async def _relay_body(
    response: httpx.Response,
    answer: BufferedResponse,
    counter: ResponseTokenCounter,
) -> None:
    async for payload in response.aiter_raw():
        counter.feed(payload)
        for first in range(0, len(payload), MAX_APPEND_BYTES):
            await answer.wait_for_space()
            answer.append(payload[first : first + MAX_APPEND_BYTES])


def _to_stored_answer(answer: BufferedResponse) -> StoredResponse | None:
    if (
        not answer.is_untrimmed
        or answer.total_bytes > MAX_STORED_RESPONSE_BYTES
    ):
        return None
    return StoredResponse(
        answer.status,
        answer.headers,
        answer.buffered_bytes,
        *answer.tokens,
    )
