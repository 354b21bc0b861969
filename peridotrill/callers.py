"""The ASGI application that callers talk to."""

import secrets
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from typing import Any, Final, TypeAlias, final

import anyio

from peridotrill.admission import (
    MODELS_PATH,
    Admission,
    Admitted,
    CallerRequest,
    RunningRequests,
    forwarded_headers,
    seconds_for_header,
)
from peridotrill.answers import Answer, AnswerBytes, AnswerHead
from peridotrill.attempt_dependencies import AttemptDependencies
from peridotrill.codec import encode_json
from peridotrill.entry_metrics import EntryMetrics
from peridotrill.errors import RequestError
from peridotrill.exceptions import PeridotrillError
from peridotrill.request_runs import run_request

MAX_HEADER_BYTES: Final = 16 * 1024
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
_EVENT_STREAM: Final = 'text/event-stream'
_JSON: Final = [('content-type', 'application/json')]
_NO_BODY_STATUSES: Final = frozenset((204, 304))
_OK: Final = 'ok'

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]


class BrokenAnswer(PeridotrillError):
    """Ends the connection of an answer that cannot be completed.

    It leaves the application, so that the server closes the connection
    without the end of the body.
    """


@final
class _Reply:
    """The response to one request."""

    def __init__(self, send: Send, request_id: str, method: str) -> None:
        self.is_started = False
        self.is_ended = False
        self.is_event_stream = False
        self.service = ''
        self._send = send
        self._request_id = request_id
        self._method = method

    async def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
    ) -> None:
        """Send status and headers."""
        self.is_started = True
        own = [('x-request-id', self._request_id)]
        self.is_event_stream = any(
            name == 'content-type' and text.startswith(_EVENT_STREAM)
            for name, text in headers
        )
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode('latin-1'), text.encode('latin-1'))
                    for name, text in (*headers, *own)
                ],
            },
        )

    async def write(self, payload: bytes, is_last: bool = False) -> None:
        """Send a part of the body."""
        self.is_ended = is_last
        await self._send(
            {
                'type': 'http.response.body',
                'body': payload,
                'more_body': not is_last,
            },
        )

    async def send_whole(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a whole response."""
        if status not in _NO_BODY_STATUSES and self._method != 'HEAD':
            headers = [*headers, ('content-length', str(len(body)))]
        await self.start(status, headers)
        await self.write(body, is_last=True)

    async def send_error(self, error: RequestError) -> None:
        """Send an error; raises BrokenAnswer if the answer has begun."""
        body = error.body(self._request_id)
        if self.is_started:
            if self.is_event_stream and not self.is_ended:
                # The answer may have ended within an event.
                await self.write(b'\n\ndata: ' + body + b'\n\n')
            raise BrokenAnswer(str(error))
        headers = list(_JSON)
        if error.retry_after_s:
            wait = seconds_for_header(error.retry_after_s)
            headers.append(('retry-after', wait))
        await self.send_whole(error.code.status, headers, body)


@final
class CallerApp:
    """Serves callers: model routes, plain services, errors."""

    def __init__(
        self,
        admission: Admission,
        running: RunningRequests,
        dependencies: AttemptDependencies,
        metrics: EntryMetrics,
        refusal: Callable[[], str],
    ) -> None:
        """:param refusal: why no request is taken now, or empty."""
        self.in_flight = 0
        self._admission = admission
        self._running = running
        self._dependencies = dependencies
        self._metrics = metrics
        self._refusal = refusal

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request, or the life span of the server."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            raise BrokenAnswer(f'{scope["type"]} is not supported')
        self.in_flight += 1
        self._metrics.running.inc()
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_flight -= 1
            self._metrics.running.dec()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        request_id = secrets.token_hex(16)
        reply = _Reply(send, request_id, scope['method'])
        code = _OK
        try:
            await self._answer(scope, receive, reply, request_id)
        except RequestError as error:
            code = error.code.code
            await reply.send_error(error)
        except anyio.EndOfStream:
            code = 'caller_gone'
        except Exception as error:
            code = 'internal_error'
            self._dependencies.recorder.emit(
                'request_failed',
                request=request_id,
                detail=repr(error),
            )
            await reply.send_error(RequestError(code))
        finally:
            self._metrics.requests.labels(reply.service, code).inc()

    async def _answer(
        self,
        scope: Scope,
        receive: Receive,
        reply: _Reply,
        request_id: str,
    ) -> None:
        caller = await self._read(scope, receive, request_id)
        refusal = self._refusal()
        if refusal:
            raise RequestError('entry_unavailable', refusal, retry_after_s=1)
        if caller.path == MODELS_PATH and caller.method == 'GET':
            models = self._admission.list_models(caller)
            await reply.send_whole(200, list(_JSON), encode_json(models))
            return
        admitted = self._admission.admit(caller)
        reply.service = admitted.request.service.name
        await self._run(caller, admitted, receive, reply)

    async def _read(
        self,
        scope: Scope,
        receive: Receive,
        request_id: str,
    ) -> CallerRequest:
        arrived_s = self._dependencies.clock.monotonic_s()
        headers = [
            (name.decode('latin-1').lower(), text.decode('latin-1'))
            for name, text in scope['headers']
        ]
        size_bytes = sum(len(name) + len(text) for name, text in headers)
        if size_bytes + len(scope['raw_path']) > MAX_HEADER_BYTES:
            raise RequestError('header_too_large')
        query = scope['query_string']
        parts = (scope['raw_path'], query) if query else (scope['raw_path'],)
        head = CallerRequest(
            request_id,
            scope['method'],
            scope['path'],
            b'?'.join(parts).decode('latin-1'),
            headers,
            b'',
            arrived_s,
        )
        self._admission.check_head(head)
        return head._replace(body=await _read_body(receive, headers))

    async def _run(
        self,
        caller: CallerRequest,
        admitted: Admitted,
        receive: Receive,
        reply: _Reply,
    ) -> None:
        """Answer the request; cancel it when the caller hangs up."""
        error: RequestError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_caller, receive, tasks.cancel_scope)
            try:
                with self._running.track(caller.request_id, admitted.grant):
                    await self._relay(caller, admitted, reply)
            except RequestError as caught:
                error = caught
            is_gone = tasks.cancel_scope.cancel_called
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        if is_gone or not reply.is_ended:
            raise anyio.EndOfStream

    async def _relay(
        self,
        caller: CallerRequest,
        admitted: Admitted,
        reply: _Reply,
    ) -> None:
        request = admitted.request
        async with aclosing(
            run_request(request, self._dependencies)
        ) as answers:
            if request.streaming:
                await self._relay_stream(caller, answers, reply)
            else:
                await self._relay_whole(caller, answers, reply)

    async def _relay_stream(
        self,
        caller: CallerRequest,
        answers: AsyncGenerator[Answer, None],
        reply: _Reply,
    ) -> None:
        async for answer in answers:
            if isinstance(answer, AnswerHead):
                await reply.start(answer.status, _answer_headers(answer))
                self._observe(caller, reply)
            elif isinstance(answer, AnswerBytes):
                await reply.write(answer.payload)
            else:
                await reply.write(b'', is_last=True)

    async def _relay_whole(
        self,
        caller: CallerRequest,
        answers: AsyncGenerator[Answer, None],
        reply: _Reply,
    ) -> None:
        status = 0
        headers: list[tuple[str, str]] = []
        body = b''
        async for answer in answers:
            if isinstance(answer, AnswerHead):
                status, headers = answer.status, _answer_headers(answer)
            elif isinstance(answer, AnswerBytes):
                body = answer.payload
        self._observe(caller, reply)
        await reply.send_whole(status, headers, body)

    def _observe(self, caller: CallerRequest, reply: _Reply) -> None:
        elapsed_s = self._dependencies.clock.monotonic_s() - caller.arrived_s
        self._metrics.first_byte.labels(reply.service).observe(elapsed_s)


def _answer_headers(head: AnswerHead) -> list[tuple[str, str]]:
    lower = [(name.lower(), text) for name, text in head.headers]
    headers = [
        (name, text)
        for name, text in forwarded_headers(lower)
        if name not in {'date', 'server', 'idempotency-replayed'}
    ]
    if head.replayed:
        headers.append(('idempotency-replayed', 'true'))
    return headers


async def _read_body(receive: Receive, headers: list[tuple[str, str]]) -> bytes:
    """Read the body; raises RequestError above the limit."""
    length = dict(headers).get('content-length', '')
    if length.isdecimal() and int(length) > MAX_BODY_BYTES:
        raise RequestError('body_too_large')
    parts: list[bytes] = []
    size_bytes = 0
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise anyio.EndOfStream
        parts.append(message.get('body', b''))
        size_bytes += len(parts[-1])
        if size_bytes > MAX_BODY_BYTES:
            raise RequestError('body_too_large')
        more = message.get('more_body', False)
    return b''.join(parts)


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    scope.cancel()


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
