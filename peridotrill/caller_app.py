"""The ASGI application that serves requests of callers."""

import secrets
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from typing import Any, Final, TypeAlias, final

import anyio

from peridotrill.admission import (
    MODELS_PATH,
    Admission,
    AdmittedRequest,
    CallerRequest,
    RunningRequests,
    format_retry_after,
    forwarded_headers,
)
from peridotrill.attempt_dependencies import AttemptDependencies
from peridotrill.codec import encode_json
from peridotrill.entry_metrics import EntryMetrics
from peridotrill.errors import RequestError
from peridotrill.exceptions import PeridotrillError
from peridotrill.request_runner import run_request
from peridotrill.response_parts import ResponseChunk, ResponseHead, ResponsePart

MAX_HEADER_BYTES: Final = 16 * 1024
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
_EVENT_STREAM: Final = 'text/event-stream'
_JSON_HEADERS: Final = [('content-type', 'application/json')]
_NO_BODY_STATUSES: Final = frozenset((204, 304))
_OK: Final = 'ok'

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]


class ResponseAborted(PeridotrillError):
    """Aborts a response that has started and cannot be completed.

    Raised out of the application, so that the server closes the connection
    without sending the end of the body.
    """


@final
class _CallerResponse:
    """The HTTP response to one caller request."""

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
        """Send the status line and the headers."""
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
        """Send a chunk of the body."""
        self.is_ended = is_last
        await self._send(
            {
                'type': 'http.response.body',
                'body': payload,
                'more_body': not is_last,
            },
        )

    async def send_complete(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a complete response with its content length."""
        if status not in _NO_BODY_STATUSES and self._method != 'HEAD':
            headers = [*headers, ('content-length', str(len(body)))]
        await self.start(status, headers)
        await self.write(body, is_last=True)

    async def send_error(self, error: RequestError) -> None:
        """Send an error; raises ResponseAborted after a started response."""
        body = error.body(self._request_id)
        if self.is_started:
            if self.is_event_stream and not self.is_ended:
                # The stream may have stopped in the middle of an event.
                await self.write(b'\n\ndata: ' + body + b'\n\n')
            raise ResponseAborted(str(error))
        headers = list(_JSON_HEADERS)
        if error.retry_after_s:
            wait = format_retry_after(error.retry_after_s)
            headers.append(('retry-after', wait))
        await self.send_complete(error.code.status, headers, body)


@final
class CallerApp:
    """ASGI application: model routes, plain services and error responses."""

    def __init__(
        self,
        admission: Admission,
        running: RunningRequests,
        dependencies: AttemptDependencies,
        metrics: EntryMetrics,
        unavailable_reason: Callable[[], str],
    ) -> None:
        """:param unavailable_reason: why requests are refused, or empty."""
        self.in_flight = 0
        self._admission = admission
        self._running = running
        self._dependencies = dependencies
        self._metrics = metrics
        self._unavailable_reason = unavailable_reason

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one HTTP request or the ASGI lifespan protocol."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            raise ResponseAborted(
                f'{scope["type"]} is not a supported scope type'
            )
        self.in_flight += 1
        self._metrics.running.inc()
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_flight -= 1
            self._metrics.running.dec()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        request_id = secrets.token_hex(16)
        response = _CallerResponse(send, request_id, scope['method'])
        code = _OK
        try:
            await self._respond(scope, receive, response, request_id)
        except RequestError as error:
            code = error.code.code
            await response.send_error(error)
        except anyio.EndOfStream:
            code = 'caller_gone'
        except Exception as error:
            code = 'internal_error'
            self._dependencies.recorder.emit(
                'request_failed',
                request=request_id,
                detail=repr(error),
            )
            await response.send_error(RequestError(code))
        finally:
            self._metrics.requests.labels(response.service, code).inc()

    async def _respond(
        self,
        scope: Scope,
        receive: Receive,
        response: _CallerResponse,
        request_id: str,
    ) -> None:
        caller = await self._read(scope, receive, request_id)
        unavailable_reason = self._unavailable_reason()
        if unavailable_reason:
            raise RequestError(
                'entry_unavailable', unavailable_reason, retry_after_s=1
            )
        if caller.path == MODELS_PATH and caller.method == 'GET':
            models = self._admission.list_models(caller)
            await response.send_complete(
                200, list(_JSON_HEADERS), encode_json(models)
            )
            return
        admitted = self._admission.admit(caller)
        response.service = admitted.request.service.name
        await self._run(caller, admitted, receive, response)

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
        admitted: AdmittedRequest,
        receive: Receive,
        response: _CallerResponse,
    ) -> None:
        """Relay the response; cancel the request on a disconnect."""
        error: RequestError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                with self._running.track(caller.request_id, admitted.grant):
                    await self._relay(caller, admitted, response)
            except RequestError as caught:
                error = caught
            is_gone = tasks.cancel_scope.cancel_called
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        if is_gone or not response.is_ended:
            raise anyio.EndOfStream

    async def _relay(
        self,
        caller: CallerRequest,
        admitted: AdmittedRequest,
        response: _CallerResponse,
    ) -> None:
        request = admitted.request
        async with aclosing(run_request(request, self._dependencies)) as parts:
            if request.streaming:
                await self._relay_stream(caller, parts, response)
            else:
                await self._relay_buffered(caller, parts, response)

    async def _relay_stream(
        self,
        caller: CallerRequest,
        parts: AsyncGenerator[ResponsePart, None],
        response: _CallerResponse,
    ) -> None:
        async for part in parts:
            if isinstance(part, ResponseHead):
                await response.start(part.status, _response_headers(part))
                self._observe_first_byte(caller, response)
            elif isinstance(part, ResponseChunk):
                await response.write(part.payload)
            else:
                await response.write(b'', is_last=True)

    async def _relay_buffered(
        self,
        caller: CallerRequest,
        parts: AsyncGenerator[ResponsePart, None],
        response: _CallerResponse,
    ) -> None:
        status = 0
        headers: list[tuple[str, str]] = []
        body = b''
        async for part in parts:
            if isinstance(part, ResponseHead):
                status, headers = part.status, _response_headers(part)
            elif isinstance(part, ResponseChunk):
                body = part.payload
        self._observe_first_byte(caller, response)
        await response.send_complete(status, headers, body)

    def _observe_first_byte(
        self, caller: CallerRequest, response: _CallerResponse
    ) -> None:
        elapsed_s = self._dependencies.clock.monotonic_s() - caller.arrived_s
        self._metrics.first_byte.labels(response.service).observe(elapsed_s)


def _response_headers(head: ResponseHead) -> list[tuple[str, str]]:
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
    """Read the body; raises RequestError if it exceeds the limit."""
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


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
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
