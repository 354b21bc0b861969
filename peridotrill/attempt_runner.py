"""Runs attempts at the target and records their outcome in the ledger."""

from contextlib import AbstractAsyncContextManager
from typing import Final, Protocol, final

import anyio
import httpx
from anyio.abc import TaskGroup

from peridotrill.clock import Clock
from peridotrill.exceptions import TargetOutcomeUnknown, TargetUnreachable
from peridotrill.ledger import (
    MAX_STORED_RESPONSE_BYTES,
    Failure,
    Ledger,
    StoredResponse,
)
from peridotrill.messages import StartAttempt
from peridotrill.running_attempts import Answer
from peridotrill.target_client import TargetLoad, filter_headers
from peridotrill.timeline import Recorder
from peridotrill.token_counter import TokenCount

READ_BYTES: Final = 64 * 1024


class Counter(Protocol):
    """Counts the tokens of one answer."""

    def feed(self, payload: bytes) -> None:
        """:param payload: the next bytes."""

    def count(self) -> TokenCount:
        """Return the tokens so far."""


class TargetClient(Protocol):
    """What the agent needs from the client of a target."""

    def open(
        self,
        start: StartAttempt,
    ) -> AbstractAsyncContextManager[httpx.Response]:
        """Send a request; raises TargetUnreachable, TargetOutcomeUnknown."""

    def create_counter(self, content_type: str) -> Counter:
        """Return a counter for one answer."""

    async def cancel(self, attempt_id: str) -> None:
        """Cancel a call at the target."""

    async def load(self) -> TargetLoad:
        """Return the load of the target."""

    async def cached_prefixes(self) -> list[int]:
        """Return prefix numbers in the target's cache."""


@final
class AttemptRunner:
    """Starts requests at the target and reads their answers."""

    def __init__(
        self,
        client: TargetClient,
        ledger: Ledger,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """:param ledger: is told how keyed requests end."""
        self.running = 0
        self._client = client
        self._ledger = ledger
        self._clock = clock
        self._recorder = recorder

    def start(self, tasks: TaskGroup, start: StartAttempt) -> Answer:
        """Run a request in a task; the ledger has allowed it.

        :param tasks: owns the task.
        """
        answer = Answer(
            start, MAX_STORED_RESPONSE_BYTES if start.key_digest else 0
        )
        if start.key_digest:
            self._ledger.begin(start)
        self.running += 1
        tasks.start_soon(self._run, answer)
        return answer

    async def _run(self, answer: Answer) -> None:
        failure = Failure('cancelled', '', 'unknown')
        found: Failure | None = failure
        try:
            with answer.scope:
                found = await self._run_in_time(answer)
        finally:
            self.running -= 1
            self._finish(answer, found)
        if found is not None and found.outcome != 'not_run':
            await self._client.cancel(answer.start.attempt_id)

    async def _run_in_time(self, answer: Answer) -> Failure | None:
        try:
            with anyio.fail_after(answer.start.timeout_s):
                await self._read_answer(answer)
        except TimeoutError:
            return Failure('timeout', 'no whole answer in time', 'unknown')
        except TargetUnreachable as error:
            return Failure('target_unreachable', str(error), 'not_run')
        except TargetOutcomeUnknown as error:
            return Failure('target_failed', str(error), 'unknown')
        return None

    async def _read_answer(self, answer: Answer) -> None:
        async with self._client.open(answer.start) as response:
            counter = self._client.create_counter(
                response.headers.get('content-type', ''),
            )
            answer.set_head(
                response.status_code,
                filter_headers(response.headers.multi_items()),
            )
            try:
                await _pass_on(response, answer, counter)
            finally:
                answer.tokens = counter.count()

    def _finish(self, answer: Answer, failure: Failure | None) -> None:
        key_digest = answer.start.key_digest
        if key_digest and failure is not None:
            self._ledger.fail(key_digest, failure)
        elif key_digest:
            self._ledger.answer(key_digest, _to_store(answer))
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


async def _pass_on(
    response: httpx.Response,
    answer: Answer,
    counter: Counter,
) -> None:
    async for payload in response.aiter_raw():
        counter.feed(payload)
        for first in range(0, len(payload), READ_BYTES):
            await answer.wait_for_room()
            answer.append(payload[first : first + READ_BYTES])


def _to_store(answer: Answer) -> StoredResponse | None:
    if not answer.is_whole or answer.total_bytes > MAX_STORED_RESPONSE_BYTES:
        return None
    return StoredResponse(
        answer.status,
        answer.headers,
        answer.kept_bytes,
        *answer.tokens,
    )
