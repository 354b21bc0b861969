"""Attempts of an entry to run requests at targets.

An attempt exchanges messages with the agent of its target, yields the
response and determines whether the request ran.
"""

from collections.abc import AsyncGenerator, Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any, Final, final

import anyio

from peridotrill import messages
from peridotrill.attempt_dependencies import AttemptDependencies
from peridotrill.dispatch import Assignment, Request
from peridotrill.errors import (
    NOT_RUN,
    RAN,
    UNKNOWN,
    RequestError,
    error_codes,
)
from peridotrill.exceptions import LinkClosed
from peridotrill.link import LinkDown, LinkUp
from peridotrill.registry import Registry
from peridotrill.response_parts import (
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResponseParts,
)
from peridotrill.statechart import StateMachine, load_chart

# Attempts at a target fail after this time without a connection to its agent.
TARGET_LOST_TIMEOUT: Final = timedelta(seconds=5)
# The agent refuses a StartAttempt that arrives later than this.
START_TIMEOUT: Final = timedelta(seconds=5)
CANCEL_TIMEOUT: Final = timedelta(seconds=2)
# A quarter of the flow-control window, so that the agent does not stall for
# an acknowledgement while the caller is reading.
ACKNOWLEDGE_INTERVAL_BYTES: Final = 64 * 1024
_RESUME_INTERVAL: Final = timedelta(milliseconds=500)
_RETRY_AFTER_S: Final = 1.0

_chart: Final = load_chart('attempt')
_handlers: Registry[
    type,
    Callable[['Attempt', Any], 'ResponseParts'],
] = Registry('attempt message')


_NO_PARTS: Final[ResponseParts] = ()


@final
class Attempt:
    """One attempt; a single task runs it and handles its messages."""

    def __init__(
        self,
        request: Request,
        assignment: Assignment,
        dependencies: AttemptDependencies,
    ) -> None:
        """:param assignment: target and id of the attempt."""
        self.machine = StateMachine(_chart)
        self.error: RequestError | None = None
        self.replayed = False
        self.position = 0
        self.end: messages.AttemptEnd | None = None
        self._request = request
        self._target_id, self.attempt_id, self._version = assignment
        self._dependencies = dependencies
        self._inbox = dependencies.links.inboxes.open(
            self._target_id,
            self.attempt_id,
        )
        self._acknowledged_bytes = 0
        # Bytes that the caller has read.
        self._consumed_bytes = 0
        self._down_since_s: float | None = None
        self._resume_sent_at_s = float('-inf')

    async def response_parts(self) -> AsyncGenerator[ResponsePart, None]:
        """Send the attempt and yield the parts of its response.

        Raises RequestError. If the generator is closed before the attempt
        has ended, the attempt is cancelled at the agent.
        """
        try:
            self._start()
            while not self.machine.is_final:
                for part in await self._next_parts():
                    yield part
                    self._acknowledge_consumed(part)
            if self.error is not None:
                raise self.error
            # The agent keeps the response until all of it is acknowledged.
            self._acknowledge(1)
        finally:
            with anyio.CancelScope(shield=True):
                await self._cancel()
            self._close()

    def fail(self, event: str, error: RequestError) -> None:
        """End the attempt with an error.

        :param event: event of the statechart.
        """
        self.machine.fire(event)
        if self.error is None:
            self.error = error

    def fail_unknown(self, detail: str) -> None:
        """End the attempt with an unknown outcome."""
        self.fail('lost', self.build_error('target_failed', detail))

    def build_error(
        self,
        code: str,
        detail: str,
        outcome: str = UNKNOWN,
        reason: str = '',
    ) -> RequestError:
        """Return the error of an attempt that may have run.

        :param code: error code; ``outcome_unknown`` replaces it if the
            outcome is unknown and the request is not idempotent.
        """
        if not self._request.idempotent and outcome == UNKNOWN:
            code = 'outcome_unknown'
        return RequestError(code, detail, outcome, reason=reason)

    def request_resume(self) -> None:
        """Request the response from the first missing byte on."""
        now_s = self._dependencies.clock.monotonic_s()
        if now_s - self._resume_sent_at_s < _RESUME_INTERVAL.total_seconds():
            return
        self._resume_sent_at_s = now_s
        self._send(messages.ResumeAttempt(self.attempt_id, self.position))

    def reconnect(self, is_new_incarnation: bool) -> None:
        """Continue the attempt on a new connection."""
        self._down_since_s = None
        self._resume_sent_at_s = float('-inf')
        if is_new_incarnation:
            self.fail_unknown('The agent restarted.')
        elif self.machine.state == 'cancelling':
            self._send(messages.CancelAttempt(self.attempt_id, 'cancelled'))
        else:
            self.request_resume()

    def disconnect(self) -> None:
        """Record that the connection has ended."""
        if self._down_since_s is None:
            self._down_since_s = self._dependencies.clock.monotonic_s()

    def count(
        self,
        requests: int,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Count usage, except for a replayed response.

        Its usage was counted when the request ran.
        """
        if not self.replayed:
            self._dependencies.usage.count(
                self._request.team,
                requests,
                prompt_tokens,
                output_tokens,
            )

    def finish(self) -> ResponseParts:
        """End the attempt if all bytes of the response have arrived."""
        if self.end is None or self.machine.state != 'answering':
            return _NO_PARTS
        if self.position > self.end.total_bytes:
            error = self.build_error(
                'answer_broken',
                'It is longer than its end.',
            )
            self.fail('failed', error)
            return _NO_PARTS
        if self.position < self.end.total_bytes:
            self.request_resume()
            return _NO_PARTS
        self.machine.fire('end')
        self.count(1, self.end.prompt_tokens, self.end.output_tokens)
        return (ResponseEnd(self.position),)

    def _start(self) -> None:
        links, request = self._dependencies.links, self._request
        if request.caller_key:
            links.forwarded_keys.record(
                request.service.name,
                self.attempt_id,
                request.key_digest,
                request.request_digest,
                request.service.idempotency_retention.total_seconds(),
            )
        try:
            links.send(self._target_id, self._start_message())
        except LinkClosed as error:
            refusal = RequestError(
                'target_refused',
                'There is no connection to its agent.',
                retry_after_s=_RETRY_AFTER_S,
                reason='unreachable',
            )
            self.fail('unreachable', refusal)
            raise refusal from error
        self.machine.fire('send')

    def _start_message(self) -> messages.StartAttempt:
        request = self._request
        remaining_s = (
            request.deadline_s - self._dependencies.clock.monotonic_s()
        )
        clock_s = self._dependencies.links.agent_clock_s(self._target_id)
        within_s = min(remaining_s, START_TIMEOUT.total_seconds())
        return messages.StartAttempt(
            attempt_id=self.attempt_id,
            request_id=request.request_id,
            service=request.service.name,
            team=request.team,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            streaming=request.streaming,
            idempotent=request.idempotent,
            key_digest=request.key_digest,
            request_digest=request.request_digest,
            caller_key=request.caller_key,
            retention_s=request.service.idempotency_retention.total_seconds(),
            priority=request.service.priority,
            start_before_s=clock_s + within_s,
            timeout_s=remaining_s,
            resume_position=0,
            placement_version=self._version,
            only_if_known=request.limit_wait_s > 0,
        )

    async def _next_parts(self) -> ResponseParts:
        """Handle the events that have arrived, or a timeout."""
        deadline_s = self._request.deadline_s
        limit_s = deadline_s
        if self._down_since_s is not None:
            lost_s = self._down_since_s + TARGET_LOST_TIMEOUT.total_seconds()
            limit_s = min(limit_s, lost_s)
        remaining_s = max(0, limit_s - self._dependencies.clock.monotonic_s())
        if remaining_s:
            with suppress(anyio.WouldBlock):
                return self._handle_queued(self._inbox.receive_nowait())
        with anyio.move_on_after(remaining_s):
            return self._handle_queued(await self._inbox.receive())
        if limit_s < deadline_s:
            self.fail_unknown('The connection to the agent was lost.')
        else:
            await self._cancel()
        return _NO_PARTS

    def _handle_queued(self, event: Any) -> ResponseParts:
        """Handle an event and the queued ones; join their chunks.

        At most ACKNOWLEDGE_INTERVAL_BYTES are joined, so that bytes are
        acknowledged only as the caller reads them.
        """
        limit = self.position + ACKNOWLEDGE_INTERVAL_BYTES
        response_parts = list(self._handle(event))
        with suppress(anyio.WouldBlock):
            while self.position < limit and not self.machine.is_final:
                response_parts.extend(
                    self._handle(self._inbox.receive_nowait())
                )
        return _join_bytes(response_parts)

    def _handle(self, event: Any) -> ResponseParts:
        handler = _handlers.get(type(event))
        if handler is None or self.machine.is_final:
            return _NO_PARTS
        return handler(self, event)

    async def _cancel(self) -> None:
        """Cancel the attempt at the agent if it has not ended."""
        if self.machine.allows('cancel'):
            self.machine.fire('cancel')
            self._send(messages.CancelAttempt(self.attempt_id, 'cancelled'))
            with anyio.move_on_after(CANCEL_TIMEOUT.total_seconds()):
                while not self.machine.is_final:
                    self._handle(await self._inbox.receive())
            self._set_deadline_error()
        elif self.machine.allows('lost'):
            self.fail_unknown('The agent did not confirm the end.')

    def _set_deadline_error(self) -> None:
        outcome = UNKNOWN if self.error is None else self.error.outcome
        if self.machine.state == 'complete':
            outcome = RAN
        self.error = self.build_error(
            'deadline_exceeded',
            '',
            outcome,
            'deadline_exceeded',
        )
        if not self.machine.is_final:
            self.machine.fire('lost')

    def _acknowledge_consumed(self, part: ResponsePart) -> None:
        if isinstance(part, ResponseChunk):
            self._consumed_bytes += len(part.payload)
            self._acknowledge(ACKNOWLEDGE_INTERVAL_BYTES)

    def _acknowledge(self, min_bytes: int) -> None:
        if self._consumed_bytes - self._acknowledged_bytes >= min_bytes:
            self._acknowledged_bytes = self._consumed_bytes
            self._send(
                messages.AcknowledgeBytes(
                    self.attempt_id, self._consumed_bytes
                ),
            )

    def _send(self, message: Any) -> None:
        # After a lost connection, LinkUp or the timeout continues the attempt.
        try:
            self._dependencies.links.send(self._target_id, message)
        except LinkClosed:
            self.disconnect()

    def _close(self) -> None:
        links = self._dependencies.links
        links.inboxes.close(self.attempt_id)
        self._inbox.close()
        self._dependencies.dispatcher.local_attempts.ended(
            self._target_id, self.attempt_id
        )
        self._dependencies.dispatcher.dispatch_all()
        outcome = RAN if self.error is None else self.error.outcome
        if outcome == NOT_RUN:
            links.forwarded_keys.remove(self.attempt_id)
        else:
            links.forwarded_keys.set_state(
                self.attempt_id,
                'answered' if self.error is None else 'unknown',
            )
        self._dependencies.recorder.emit(
            'attempt_ended',
            attempt=self.attempt_id,
            request=self._request.request_id,
            target=self._target_id,
            state=self.machine.state,
            outcome=outcome,
            code=self.error.code.code if self.error else None,
            reason=self.error.reason if self.error else None,
        )


def _join_bytes(response_parts: list[ResponsePart]) -> ResponseParts:
    payloads = [
        row.payload for row in response_parts if isinstance(row, ResponseChunk)
    ]
    if len(payloads) < 2:
        return tuple(response_parts)
    # Chunks come after the head and before the end.
    heads = [row for row in response_parts if isinstance(row, ResponseHead)]
    ends = [row for row in response_parts if isinstance(row, ResponseEnd)]
    return (*heads, ResponseChunk(b''.join(payloads)), *ends)


@_handlers.register(messages.AttemptStarted)
def _handle_started(
    attempt: Attempt,
    message: messages.AttemptStarted,
) -> ResponseParts:
    attempt.replayed |= message.replayed
    if attempt.machine.allows('started'):
        attempt.machine.fire('started')
    return _NO_PARTS


@_handlers.register(messages.AttemptHead)
def _handle_head(
    attempt: Attempt,
    message: messages.AttemptHead,
) -> ResponseParts:
    if attempt.machine.allows('head'):
        attempt.machine.fire('head')
        head = ResponseHead(message.status, message.headers, attempt.replayed)
        return (head, *attempt.finish())
    return _NO_PARTS


@_handlers.register(messages.AttemptChunk)
def _handle_chunk(
    attempt: Attempt,
    message: messages.AttemptChunk,
) -> ResponseParts:
    if attempt.machine.state == 'cancelling':
        return _NO_PARTS
    is_ahead = message.position > attempt.position
    if is_ahead or attempt.machine.state != 'answering':
        attempt.request_resume()
        return _NO_PARTS
    payload = message.payload[attempt.position - message.position :]
    if not payload:
        return _NO_PARTS
    attempt.position += len(payload)
    return (ResponseChunk(payload), *attempt.finish())


@_handlers.register(messages.AttemptEnd)
def _handle_end(
    attempt: Attempt,
    message: messages.AttemptEnd,
) -> ResponseParts:
    attempt.end = message
    if attempt.machine.state == 'answering':
        return attempt.finish()
    if attempt.machine.state == 'cancelling':
        attempt.machine.fire('end')
        attempt.count(1, message.prompt_tokens, message.output_tokens)
    else:
        attempt.request_resume()
    return _NO_PARTS


@_handlers.register(messages.AttemptRefused)
def _handle_refused(
    attempt: Attempt,
    message: messages.AttemptRefused,
) -> ResponseParts:
    if attempt.machine.allows('refused'):
        attempt.fail('refused', _read_refusal(message))
    else:
        # The agent has forgotten an attempt that it had started.
        attempt.fail_unknown('The agent lost the attempt.')
    return _NO_PARTS


def _read_refusal(message: messages.AttemptRefused) -> RequestError:
    known = error_codes.get(message.code)
    code = message.code if known else 'target_refused'
    outcome = NOT_RUN
    if not message.not_run and message.code != 'idempotency_key_reused':
        # An earlier request with the same key may have run.
        outcome = known.outcome if known else UNKNOWN
        if outcome in {NOT_RUN, UNKNOWN}:
            code, outcome = 'outcome_unknown', UNKNOWN
    retry_after_s = message.retry_after_s
    if code == 'target_refused':
        retry_after_s = max(_RETRY_AFTER_S, retry_after_s)
    return RequestError(
        code,
        message.detail,
        outcome,
        retry_after_s,
        message.code,
    )


@_handlers.register(messages.AttemptFailed)
def _handle_failed(
    attempt: Attempt,
    message: messages.AttemptFailed,
) -> ResponseParts:
    if not attempt.machine.allows('failed'):
        return _NO_PARTS
    code = 'target_failed'
    if message.outcome == NOT_RUN:
        code = 'target_refused'
    elif message.code == 'timeout':
        code = 'deadline_exceeded'
    attempt.fail(
        'failed',
        attempt.build_error(
            code, message.detail, message.outcome, message.code
        ),
    )
    return _NO_PARTS


@_handlers.register(messages.CancelConfirmed)
def _handle_cancelled(
    attempt: Attempt,
    message: messages.CancelConfirmed,
) -> ResponseParts:
    if attempt.machine.state != 'cancelling':
        # This attempt has not requested a cancellation.
        return _NO_PARTS
    if message.started:
        attempt.count(1, message.prompt_tokens, message.output_tokens)
    outcome = UNKNOWN if message.started else NOT_RUN
    attempt.fail(
        'cancel_confirmed',
        attempt.build_error('deadline_exceeded', '', outcome),
    )
    return _NO_PARTS


@_handlers.register(LinkDown)
def _handle_link_down(attempt: Attempt, _event: LinkDown) -> ResponseParts:
    attempt.disconnect()
    return _NO_PARTS


@_handlers.register(LinkUp)
def _handle_link_up(attempt: Attempt, event: LinkUp) -> ResponseParts:
    attempt.reconnect(event.is_new_incarnation)
    return _NO_PARTS
