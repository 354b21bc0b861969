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

    @property
    def is_complete(self) -> bool:
        """Whether the response holds what marks its end."""

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
        buffered_response = BufferedResponse(
            start, MAX_STORED_RESPONSE_BYTES if start.key_digest else 0
        )
        if start.key_digest:
            self._ledger.begin(start)
        self.running += 1
        tasks.start_soon(self._run, buffered_response)
        return buffered_response

    async def _run(self, buffered_response: BufferedResponse) -> None:
        failure = Failure('cancelled', '', 'unknown')
        result: Failure | None = failure
        try:
            with buffered_response.scope:
                result = await self._run_in_time(buffered_response)
        finally:
            self.running -= 1
            self._finish(buffered_response, result)
        if result is not None and result.outcome != 'not_run':
            await self._client.cancel(buffered_response.start.attempt_id)

    async def _run_in_time(
        self, buffered_response: BufferedResponse
    ) -> Failure | None:
        try:
            with anyio.fail_after(buffered_response.start.timeout_s):
                await self._read_response(buffered_response)
        except TimeoutError:
            return Failure('timeout', 'no whole answer in time', 'unknown')
        except TargetUnreachable as error:
            return Failure('target_unreachable', str(error), 'not_run')
        except TargetOutcomeUnknown as error:
            return Failure('target_failed', str(error), 'unknown')
        return None

    async def _read_response(self, buffered_response: BufferedResponse) -> None:
        async with self._client.open(buffered_response.start) as response:
            counter = self._client.create_counter(
                response.headers.get('content-type', ''),
            )
            buffered_response.set_head(
                response.status_code,
                filter_headers(response.headers.multi_items()),
            )
            try:
                await _relay_body(response, buffered_response, counter)
            finally:
                buffered_response.tokens = counter.count()
            if not counter.is_complete:
                raise TargetOutcomeUnknown('stream without its last event')

    def _finish(
        self, buffered_response: BufferedResponse, failure: Failure | None
    ) -> None:
        key_digest = buffered_response.start.key_digest
        if key_digest and failure is not None:
            self._ledger.fail(key_digest, failure)
        elif key_digest:
            self._ledger.answer(
                key_digest, _to_stored_response(buffered_response)
            )
        buffered_response.end(self._clock.monotonic_s(), failure)
        if failure is not None:
            self._recorder.emit(
                'attempt_failed',
                attempt=buffered_response.start.attempt_id,
                request=buffered_response.start.request_id,
                code=failure.code,
                outcome=failure.outcome,
                detail=failure.detail,
            )


async def _relay_body(
    response: httpx.Response,
    buffered_response: BufferedResponse,
    counter: ResponseTokenCounter,
) -> None:
    async for payload in response.aiter_raw():
        counter.feed(payload)
        for first in range(0, len(payload), MAX_APPEND_BYTES):
            await buffered_response.wait_for_space()
            buffered_response.append(payload[first : first + MAX_APPEND_BYTES])


def _to_stored_response(
    buffered_response: BufferedResponse,
) -> StoredResponse | None:
    if (
        not buffered_response.is_untrimmed
        or buffered_response.total_bytes > MAX_STORED_RESPONSE_BYTES
    ):
        return None
    return StoredResponse(
        buffered_response.status,
        buffered_response.headers,
        buffered_response.buffered_bytes,
        *buffered_response.tokens,
    )
