"""Attempts at targets: their messages, answers and exact outcomes."""

from collections.abc import AsyncGenerator, Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any, Final, final

import anyio

from peridotrill import messages
from peridotrill.answers import (
    Answer,
    AnswerBytes,
    AnswerEnd,
    AnswerHead,
    Answers,
)
from peridotrill.attempt_ports import Ports
from peridotrill.dispatch import Placement, Request
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
from peridotrill.statechart import StateMachine, load_chart

# Without a connection for this long, the attempts at a target are lost.
TARGET_LOST_AFTER: Final = timedelta(seconds=5)
# A start that arrives later than this is refused by the agent.
START_WITHIN: Final = timedelta(seconds=5)
CANCEL_WAIT: Final = timedelta(seconds=2)
# A quarter of the flow-control window, so that the agent never waits for an
# acknowledgement while the caller reads.
ACKNOWLEDGE_BYTES: Final = 64 * 1024
_REQUEST_AGAIN_AFTER: Final = timedelta(milliseconds=500)
_RETRY_AFTER_S: Final = 1.0

_chart: Final = load_chart('attempt')
_handlers: Registry[
    type,
    Callable[['Attempt', Any], 'Answers'],
] = Registry('attempt message')


_NOTHING: Final[Answers] = ()


@final
class Attempt:
    """One attempt; a single task runs it and handles its messages."""

    def __init__(
        self,
        request: Request,
        placement: Placement,
        ports: Ports,
    ) -> None:
        """:param placement: target and id of the attempt."""
        self.machine = StateMachine(_chart)
        self.error: RequestError | None = None
        self.replayed = False
        self.position = 0
        self.end: messages.AttemptEnd | None = None
        self._request = request
        self._target_id, self.attempt_id, self._version = placement
        self._ports = ports
        self._inbox = ports.links.inboxes.open(
            self._target_id,
            self.attempt_id,
        )
        self._acknowledged = 0
        # The caller has taken the bytes before this position.
        self._taken = 0
        self._down_since_s: float | None = None
        self._requested_at_s = float('-inf')

    async def answers(self) -> AsyncGenerator[Answer, None]:
        """Send the attempt and yield its answer.

        Raises RequestError. An attempt that is not over when the generator
        is closed is cancelled at the agent.
        """
        try:
            self._start()
            while not self.machine.is_final:
                for answer in await self._next_answers():
                    yield answer
                    self._note_taken(answer)
            if self.error is not None:
                raise self.error
            # The agent keeps the answer until all of it is acknowledged.
            self._acknowledge(1)
        finally:
            with anyio.CancelScope(shield=True):
                await self._cancel()
            self._close()

    def fail(self, event: str, error: RequestError) -> None:
        """End the attempt with an error.

        :param event: event of the chart.
        """
        self.machine.fire(event)
        if self.error is None:
            self.error = error

    def lose(self, detail: str) -> None:
        """End the attempt because its outcome can no longer be learnt."""
        self.fail('lost', self.unknown('target_failed', detail))

    def unknown(
        self,
        code: str,
        detail: str,
        outcome: str = UNKNOWN,
        reason: str = '',
    ) -> RequestError:
        """Return the error of an attempt that may have run.

        :param code: for idempotent requests.
        """
        if not self._request.idempotent and outcome == UNKNOWN:
            code = 'outcome_unknown'
        return RequestError(code, detail, outcome, reason=reason)

    def request_again(self) -> None:
        """Ask for the answer from the first missing byte on."""
        now_s = self._ports.clock.monotonic_s()
        if now_s - self._requested_at_s < _REQUEST_AGAIN_AFTER.total_seconds():
            return
        self._requested_at_s = now_s
        self._send(messages.ResumeAttempt(self.attempt_id, self.position))

    def reconnect(self, is_new_incarnation: bool) -> None:
        """Go on over a new connection."""
        self._down_since_s = None
        self._requested_at_s = float('-inf')
        if is_new_incarnation:
            self.lose('The agent restarted.')
        elif self.machine.state == 'cancelling':
            self._send(messages.CancelAttempt(self.attempt_id, 'cancelled'))
        else:
            self.request_again()

    def disconnect(self) -> None:
        """Note that the connection has ended."""
        if self._down_since_s is None:
            self._down_since_s = self._ports.clock.monotonic_s()

    def count(
        self,
        requests: int,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Count usage; a stored answer was counted when it ran."""
        if not self.replayed:
            self._ports.usage.count(
                self._request.team,
                requests,
                prompt_tokens,
                output_tokens,
            )

    def finish(self) -> Answers:
        """End the attempt if all bytes of the answer are there."""
        if self.end is None or self.machine.state != 'answering':
            return _NOTHING
        if self.position > self.end.total_bytes:
            error = self.unknown('answer_broken', 'It is longer than its end.')
            self.fail('failed', error)
            return _NOTHING
        if self.position < self.end.total_bytes:
            self.request_again()
            return _NOTHING
        self.machine.fire('end')
        self.count(1, self.end.prompt_tokens, self.end.output_tokens)
        return (AnswerEnd(self.position),)

    def _start(self) -> None:
        links, request = self._ports.links, self._request
        if request.caller_key:
            links.book.record(
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
        remaining_s = request.deadline_s - self._ports.clock.monotonic_s()
        clock_s = self._ports.links.agent_clock_s(self._target_id)
        within_s = min(remaining_s, START_WITHIN.total_seconds())
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

    async def _next_answers(self) -> Answers:
        """Handle what has arrived, or the end of the time for it."""
        deadline_s = self._request.deadline_s
        limit_s = deadline_s
        if self._down_since_s is not None:
            lost_s = self._down_since_s + TARGET_LOST_AFTER.total_seconds()
            limit_s = min(limit_s, lost_s)
        remaining_s = max(0, limit_s - self._ports.clock.monotonic_s())
        if remaining_s:
            with suppress(anyio.WouldBlock):
                return self._handle_waiting(self._inbox.receive_nowait())
        with anyio.move_on_after(remaining_s):
            return self._handle_waiting(await self._inbox.receive())
        if limit_s < deadline_s:
            self.lose('The connection to the agent was lost.')
        else:
            await self._cancel()
        return _NOTHING

    def _handle_waiting(self, event: Any) -> Answers:
        """Handle an event and those that wait; join the bytes they bring.

        No more than a step of acknowledgement is joined, so that bytes are
        acknowledged only as the caller takes them.
        """
        limit = self.position + ACKNOWLEDGE_BYTES
        answers = list(self._handle(event))
        with suppress(anyio.WouldBlock):
            while self.position < limit and not self.machine.is_final:
                answers.extend(self._handle(self._inbox.receive_nowait()))
        return _join_bytes(answers)

    def _handle(self, event: Any) -> Answers:
        handler = _handlers.get(type(event))
        if handler is None or self.machine.is_final:
            return _NOTHING
        return handler(self, event)

    async def _cancel(self) -> None:
        """Cancel the attempt at the agent if it is not over."""
        if self.machine.allows('cancel'):
            self.machine.fire('cancel')
            self._send(messages.CancelAttempt(self.attempt_id, 'cancelled'))
            with anyio.move_on_after(CANCEL_WAIT.total_seconds()):
                while not self.machine.is_final:
                    self._handle(await self._inbox.receive())
            self._name_deadline()
        elif self.machine.allows('lost'):
            self.lose('The agent did not confirm the end.')

    def _name_deadline(self) -> None:
        outcome = UNKNOWN if self.error is None else self.error.outcome
        if self.machine.state == 'complete':
            outcome = RAN
        self.error = self.unknown(
            'deadline_exceeded',
            '',
            outcome,
            'deadline_exceeded',
        )
        if not self.machine.is_final:
            self.machine.fire('lost')

    def _note_taken(self, answer: Answer) -> None:
        if isinstance(answer, AnswerBytes):
            self._taken += len(answer.payload)
            self._acknowledge(ACKNOWLEDGE_BYTES)

    def _acknowledge(self, step_bytes: int) -> None:
        if self._taken - self._acknowledged >= step_bytes:
            self._acknowledged = self._taken
            self._send(
                messages.AcknowledgeBytes(self.attempt_id, self._taken),
            )

    def _send(self, message: Any) -> None:
        # A lost connection is followed by LinkUp or by the time limit.
        try:
            self._ports.links.send(self._target_id, message)
        except LinkClosed:
            self.disconnect()

    def _close(self) -> None:
        links = self._ports.links
        links.inboxes.close(self.attempt_id)
        self._inbox.close()
        self._ports.dispatcher.own.ended(self._target_id, self.attempt_id)
        self._ports.dispatcher.dispatch_all()
        outcome = RAN if self.error is None else self.error.outcome
        if outcome == NOT_RUN:
            links.book.forget(self.attempt_id)
        else:
            links.book.mark(
                self.attempt_id,
                'answered' if self.error is None else 'unknown',
            )
        self._ports.recorder.emit(
            'attempt_ended',
            attempt=self.attempt_id,
            request=self._request.request_id,
            target=self._target_id,
            state=self.machine.state,
            outcome=outcome,
            code=self.error.code.code if self.error else None,
            reason=self.error.reason if self.error else None,
        )


def _join_bytes(answers: list[Answer]) -> Answers:
    parts = [row.payload for row in answers if isinstance(row, AnswerBytes)]
    if len(parts) < 2:
        return tuple(answers)
    # Bytes come after the head and before the end.
    before = [row for row in answers if isinstance(row, AnswerHead)]
    after = [row for row in answers if isinstance(row, AnswerEnd)]
    return (*before, AnswerBytes(b''.join(parts)), *after)


@_handlers.register(messages.AttemptStarted)
def _handle_started(
    attempt: Attempt,
    message: messages.AttemptStarted,
) -> Answers:
    attempt.replayed |= message.replayed
    if attempt.machine.allows('started'):
        attempt.machine.fire('started')
    return _NOTHING


@_handlers.register(messages.AttemptHead)
def _handle_head(
    attempt: Attempt,
    message: messages.AttemptHead,
) -> Answers:
    if attempt.machine.allows('head'):
        attempt.machine.fire('head')
        head = AnswerHead(message.status, message.headers, attempt.replayed)
        return (head, *attempt.finish())
    return _NOTHING


@_handlers.register(messages.AttemptChunk)
def _handle_chunk(
    attempt: Attempt,
    message: messages.AttemptChunk,
) -> Answers:
    if attempt.machine.state == 'cancelling':
        return _NOTHING
    is_ahead = message.position > attempt.position
    if is_ahead or attempt.machine.state != 'answering':
        attempt.request_again()
        return _NOTHING
    payload = message.payload[attempt.position - message.position :]
    if not payload:
        return _NOTHING
    attempt.position += len(payload)
    return (AnswerBytes(payload), *attempt.finish())


@_handlers.register(messages.AttemptEnd)
def _handle_end(
    attempt: Attempt,
    message: messages.AttemptEnd,
) -> Answers:
    attempt.end = message
    if attempt.machine.state == 'answering':
        return attempt.finish()
    if attempt.machine.state == 'cancelling':
        attempt.machine.fire('end')
        attempt.count(1, message.prompt_tokens, message.output_tokens)
    else:
        attempt.request_again()
    return _NOTHING


@_handlers.register(messages.AttemptRefused)
def _handle_refused(
    attempt: Attempt,
    message: messages.AttemptRefused,
) -> Answers:
    if attempt.machine.allows('refused'):
        attempt.fail('refused', _read_refusal(message))
    else:
        # The agent no longer knows an attempt that it had started.
        attempt.lose('The agent lost the attempt.')
    return _NOTHING


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
) -> Answers:
    if not attempt.machine.allows('failed'):
        return _NOTHING
    code = 'target_failed'
    if message.outcome == NOT_RUN:
        code = 'target_refused'
    elif message.code == 'timeout':
        code = 'deadline_exceeded'
    attempt.fail(
        'failed',
        attempt.unknown(code, message.detail, message.outcome, message.code),
    )
    return _NOTHING


@_handlers.register(messages.CancelConfirmed)
def _handle_cancelled(
    attempt: Attempt,
    message: messages.CancelConfirmed,
) -> Answers:
    if attempt.machine.state != 'cancelling':
        # Not asked for by this attempt.
        return _NOTHING
    if message.started:
        attempt.count(1, message.prompt_tokens, message.output_tokens)
    outcome = UNKNOWN if message.started else NOT_RUN
    attempt.fail(
        'cancel_confirmed',
        attempt.unknown('deadline_exceeded', '', outcome),
    )
    return _NOTHING


@_handlers.register(LinkDown)
def _handle_link_down(attempt: Attempt, _event: LinkDown) -> Answers:
    attempt.disconnect()
    return _NOTHING


@_handlers.register(LinkUp)
def _handle_link_up(attempt: Attempt, event: LinkUp) -> Answers:
    attempt.reconnect(event.is_new_incarnation)
    return _NOTHING
