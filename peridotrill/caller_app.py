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
    select_forwarded_headers,
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
# Value of the metric label ``code`` for a complete response.
_OK_CODE: Final = 'ok'

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]


class ResponseAborted(PeridotrillError):
    """Raised out of the application for a response that cannot be completed.

    The server then closes the connection, or resets the HTTP/2 stream,
    without sending the end of the body. Also raised for unsupported scope
    types.
    """


@final
class _CallerResponse:
    """The HTTP response to one caller request."""

    def __init__(self, send: Send, request_id: str, method: str) -> None:
        self.is_started = False
        self.is_ended = False
        self.is_event_stream = False
        # Label of the metrics; empty until the request is admitted.
        self.service_name = ''
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
        added_headers = [('x-request-id', self._request_id)]
        self.is_event_stream = any(
            name == 'content-type' and value.startswith(_EVENT_STREAM)
            for name, value in headers
        )
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode('latin-1'), value.encode('latin-1'))
                    for name, value in (*headers, *added_headers)
                ],
            },
        )

    async def write(self, payload: bytes, is_last: bool = False) -> None:
        """Send a chunk of the body; ``is_last`` ends the response."""
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
        """Send an error response.

        If a response has already started, an event stream gets the error as
        an event, and ResponseAborted is raised.
        """
        body = error.body(self._request_id)
        if self.is_started:
            if self.is_event_stream and not self.is_ended:
                # The blank line ends an event that was sent only in part.
                await self.write(b'\n\ndata: ' + body + b'\n\n')
            raise ResponseAborted(str(error))
        headers = list(_JSON_HEADERS)
        if error.retry_after_s:
            retry_after = format_retry_after(error.retry_after_s)
            headers.append(('retry-after', retry_after))
        await self.send_complete(error.code.status, headers, body)


@final
class CallerApp:
    """ASGI application: model routes, plain services and error responses."""

    def __init__(
        self,
        admission: Admission,
        running_requests: RunningRequests,
        dependencies: AttemptDependencies,
        metrics: EntryMetrics,
        unavailable_reason: Callable[[], str],
    ) -> None:
        """:param unavailable_reason: returns why all requests are refused.

        It returns an empty string while requests are accepted.
        """
        self.in_flight = 0
        self._admission = admission
        self._running_requests = running_requests
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
        code = _OK_CODE
        try:
            await self._respond(scope, receive, response, request_id)
        except RequestError as error:
            code = error.code.code
            await response.send_error(error)
        except anyio.EndOfStream:
            # The caller disconnected; nobody can receive a response.
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
            self._metrics.requests.labels(response.service_name, code).inc()

    async def _respond(
        self,
        scope: Scope,
        receive: Receive,
        response: _CallerResponse,
        request_id: str,
    ) -> None:
        caller_request = await self._read_request(scope, receive, request_id)
        unavailable_reason = self._unavailable_reason()
        if unavailable_reason:
            raise RequestError(
                'entry_unavailable', unavailable_reason, retry_after_s=1
            )
        if (
            caller_request.path == MODELS_PATH
            and caller_request.method == 'GET'
        ):
            models = self._admission.list_models(caller_request)
            await response.send_complete(
                200, list(_JSON_HEADERS), encode_json(models)
            )
            return
        admitted = self._admission.admit(caller_request)
        response.service_name = admitted.request.service.name
        await self._run_until_disconnect(
            caller_request, admitted, receive, response
        )

    async def _read_request(
        self,
        scope: Scope,
        receive: Receive,
        request_id: str,
    ) -> CallerRequest:
        """Read a request; raises RequestError.

        The head is checked before the body is read. Raises EndOfStream if
        the caller disconnects.
        """
        arrived_s = self._dependencies.clock.monotonic_s()
        headers = [
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in scope['headers']
        ]
        size_bytes = sum(len(name) + len(value) for name, value in headers)
        if size_bytes + len(scope['raw_path']) > MAX_HEADER_BYTES:
            raise RequestError('header_too_large')
        query = scope['query_string']
        url_parts = (
            (scope['raw_path'], query) if query else (scope['raw_path'],)
        )
        head = CallerRequest(
            request_id,
            scope['method'],
            scope['path'],
            b'?'.join(url_parts).decode('latin-1'),
            headers,
            b'',
            arrived_s,
        )
        self._admission.check_head(head)
        return head._replace(body=await _read_body(receive, headers))

    async def _run_until_disconnect(
        self,
        caller_request: CallerRequest,
        admitted: AdmittedRequest,
        receive: Receive,
        response: _CallerResponse,
    ) -> None:
        """Relay the response; cancel the request on a disconnect.

        Raises RequestError, and EndOfStream if the caller disconnected or the
        response is incomplete.
        """
        # Raised after the task group, which would wrap it in an exception group.
        error: RequestError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                with self._running_requests.track(
                    caller_request.request_id, admitted.grant
                ):
                    await self._relay(caller_request, admitted, response)
            except RequestError as caught:
                error = caught
            is_disconnected = tasks.cancel_scope.cancel_called
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        if is_disconnected or not response.is_ended:
            raise anyio.EndOfStream

    async def _relay(
        self,
        caller_request: CallerRequest,
        admitted: AdmittedRequest,
        response: _CallerResponse,
    ) -> None:
        request = admitted.request
        async with aclosing(run_request(request, self._dependencies)) as parts:
            if request.streaming:
                await self._relay_stream(caller_request, parts, response)
            else:
                await self._relay_buffered(caller_request, parts, response)

    async def _relay_stream(
        self,
        caller_request: CallerRequest,
        parts: AsyncGenerator[ResponsePart, None],
        response: _CallerResponse,
    ) -> None:
        async for part in parts:
            if isinstance(part, ResponseHead):
                await response.start(part.status, _response_headers(part))
                self._observe_first_byte(caller_request, response)
            elif isinstance(part, ResponseChunk):
                await response.write(part.payload)
            else:
                await response.write(b'', is_last=True)

    async def _relay_buffered(
        self,
        caller_request: CallerRequest,
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
                # The runner yields the body of a request without streaming
                # as a single chunk.
                body = part.payload
        self._observe_first_byte(caller_request, response)
        await response.send_complete(status, headers, body)

    def _observe_first_byte(
        self, caller_request: CallerRequest, response: _CallerResponse
    ) -> None:
        elapsed_s = (
            self._dependencies.clock.monotonic_s() - caller_request.arrived_s
        )
        self._metrics.first_byte.labels(response.service_name).observe(
            elapsed_s
        )


def _response_headers(head: ResponseHead) -> list[tuple[str, str]]:
    lowercase_headers = [(name.lower(), value) for name, value in head.headers]
    headers = [
        (name, value)
        for name, value in select_forwarded_headers(lowercase_headers)
        if name not in {'date', 'server', 'idempotency-replayed'}
    ]
    if head.replayed:
        headers.append(('idempotency-replayed', 'true'))
    return headers


async def _read_body(receive: Receive, headers: list[tuple[str, str]]) -> bytes:
    """Read the body; raises RequestError if it exceeds the limit.

    Raises EndOfStream if the caller disconnects.
    """
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
    receive: Receive, cancel_scope: anyio.CancelScope
) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    cancel_scope.cancel()


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
