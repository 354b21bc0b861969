"""HTTP server for the stand-ins: ASGI routing served by hypercorn."""

import re
import signal
import socket
import sys
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Coroutine,
    Sequence,
)
from contextlib import aclosing, suppress
from functools import partial
from typing import Any, Final, NamedTuple, TypeAlias
from urllib.parse import parse_qsl

import anyio
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.config import Config
from hypercorn.utils import UnexpectedMessageError

from peridotrill.codec import decode_json, encode_json
from peridotrill.exceptions import CodecError
from peridotrill.registry import Registry
from peridotrill.settings import Address, Setting, setting_parsers

JSON_TYPE: Final = 'application/json'
BYTES_TYPE: Final = 'application/octet-stream'
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
# Busy connections are closed after this time, so that the program exits
# within a second of the signal.
_GRACEFUL_TIMEOUT_S: Final = 0.3
_KEEP_ALIVE_TIMEOUT_S: Final = 3600
_KEEP_ALIVE_REQUESTS: Final = 10**9
_BACKLOG: Final = 512
_PARAMETER: Final = re.compile(r'\{(\w+)(:path)?\}')

_Message: TypeAlias = dict[str, Any]
_Receive: TypeAlias = Callable[[], Awaitable[_Message]]
_Send: TypeAlias = Callable[[_Message], Awaitable[None]]

# Hypercorn closes the connection without a final response if the application
# returns after an informational response.
_DROP_CONNECTION: Final = {
    'type': 'http.response.start',
    'status': 103,
    'headers': [],
}


class ConnectionDropped(Exception):
    """Raised by a handler to close the connection without a response."""


class HttpError(Exception):
    """Raised by a handler to send an error response."""

    def __init__(self, status: int, code: str, **fields: Any) -> None:
        """:param fields: further fields of the JSON body beside ``error``."""
        super().__init__(code)
        self.status = status
        self.body = {'error': {'code': code, 'message': code}, **fields}


class Request(NamedTuple):
    """A request with its complete body; header names are lower case."""

    method: str
    path: str
    parameters: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body; raises HttpError if it is not a JSON object."""
        try:
            decoded = decode_json(self.body or b'{}')
        except CodecError as error:
            raise HttpError(400, 'invalid_json') from error
        if not isinstance(decoded, dict):
            raise HttpError(400, 'invalid_json')
        return decoded

    def query_integer(self, name: str, default: int) -> int:
        """Return a query parameter; raises HttpError if it is invalid."""
        return parse_number(name, self.query.get(name, default))


def parse_number(name: str, given: Any) -> int:
    """Return a non-negative integer; raises HttpError if it is invalid."""
    if not str(given).isdecimal():
        raise HttpError(400, f'invalid_{name}')
    return int(given)


class Response(NamedTuple):
    """A response; a body given as a generator is streamed in chunks."""

    body: bytes | AsyncGenerator[bytes, None]
    status: int = 200
    content_type: str = JSON_TYPE


Handler: TypeAlias = Callable[[Any, Request], Awaitable[Response]]
Routes: TypeAlias = Registry[str, Handler]


def json_response(body: Any, status: int = 200) -> Response:
    """:return: a response with a JSON body."""
    return Response(encode_json(body), status)


class App:
    """ASGI application with routes such as ``GET /weights/{name}``.

    A parameter matches one path segment; ``{name:path}`` matches one or more
    segments. The first matching route is used.
    """

    def __init__(
        self,
        routes: Routes,
        state: Any,
        cancels_on_disconnect: bool = False,
    ) -> None:
        """:param cancels_on_disconnect: cancel handlers on disconnect."""
        self._state = state
        self._cancels_on_disconnect = cancels_on_disconnect
        self._is_closing = False
        self._cancel_scopes: set[anyio.CancelScope] = set()
        self._routes = [
            (_compile_route(route), routes.get(route)) for route in routes
        ]

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: _Receive,
        send: _Send,
    ) -> None:
        """Handle one request or the lifespan events of the server."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        cancel_scope = anyio.CancelScope()
        self._cancel_scopes.add(cancel_scope)
        with cancel_scope:
            if self._is_closing:
                cancel_scope.cancel()
            body = await _read_body(receive)
            if body is not None:
                await self._serve_request(scope, body, receive, send)
        self._cancel_scopes.remove(cancel_scope)
        if cancel_scope.cancelled_caught:
            with suppress(UnexpectedMessageError):
                await send(_DROP_CONNECTION)

    def close_connections(self) -> None:
        """Close the connections of all current and future requests."""
        self._is_closing = True
        for cancel_scope in self._cancel_scopes:
            cancel_scope.cancel()

    async def _serve_request(
        self,
        scope: dict[str, Any],
        body: bytes,
        receive: _Receive,
        send: _Send,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            if self._cancels_on_disconnect:
                tasks.start_soon(
                    _cancel_on_disconnect, receive, tasks.cancel_scope
                )
            await self._respond(scope, body, send)
            tasks.cancel_scope.cancel()

    async def _respond(
        self,
        scope: dict[str, Any],
        body: bytes,
        send: _Send,
    ) -> None:
        try:
            response = await self._handle(scope, body)
        except HttpError as error:
            response = json_response(error.body, error.status)
        except ConnectionDropped:
            await send(_DROP_CONNECTION)
            return
        try:
            await _send_response(response, send)
        except ConnectionDropped:
            return

    async def _handle(self, scope: dict[str, Any], body: bytes) -> Response:
        line = '{method} {path}'.format_map(scope)
        for pattern, handler in self._routes:
            match = pattern.fullmatch(line)
            if match and handler:
                request = Request(
                    method=scope['method'],
                    path=scope['path'],
                    parameters=match.groupdict(),
                    query=dict(parse_qsl(scope['query_string'].decode())),
                    headers={
                        name.decode().lower(): text.decode('latin-1')
                        for name, text in scope['headers']
                    },
                    body=body,
                )
                return await handler(self._state, request)
        raise HttpError(404, 'not_found')


def _compile_route(route: str) -> re.Pattern[str]:
    parts = []
    position = 0
    for match in _PARAMETER.finditer(route):
        parts.append(re.escape(route[position : match.start()]))
        pattern = '.+' if match[2] else '[^/]+'
        parts.append(f'(?P<{match[1]}>{pattern})')
        position = match.end()
    parts.append(re.escape(route[position:]))
    return re.compile(''.join(parts))


async def _read_body(receive: _Receive) -> bytes | None:
    # Returns None if the caller disconnects early, so that a request with a
    # truncated body is not executed.
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        body += message.get('body', b'')
        if len(body) > MAX_BODY_BYTES:
            raise ValueError('the body of the request is too large')
        if not message.get('more_body', False):
            return bytes(body)


async def _cancel_on_disconnect(
    receive: _Receive,
    scope: anyio.CancelScope,
) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    scope.cancel()


async def _serve_lifespan(receive: _Receive, send: _Send) -> None:
    while True:
        event = (await receive())['type']
        await send({'type': f'{event}.complete'})
        if event == 'lifespan.shutdown':
            return


def _response_start(
    status: int, headers: list[tuple[bytes, bytes]]
) -> _Message:
    return {
        'type': 'http.response.start',
        'status': status,
        'headers': headers,
    }


async def _send_response(response: Response, send: _Send) -> None:
    headers = [(b'content-type', response.content_type.encode())]
    body = response.body
    if isinstance(body, bytes):
        headers.append((b'content-length', str(len(body)).encode()))
        await send(_response_start(response.status, headers))
        await send({'type': 'http.response.body', 'body': body})
        return
    await send(_response_start(response.status, headers))
    async with aclosing(body) as pieces:
        async for piece in pieces:
            await send(
                {
                    'type': 'http.response.body',
                    'body': piece,
                    'more_body': True,
                },
            )
    await send({'type': 'http.response.body', 'body': b''})


@setting_parsers.register('factor')
def parse_factor(text: str) -> float:
    """:param text: a finite, non-negative number; raises ValueError."""
    factor = float(text)
    if not 0 <= factor < float('inf'):
        raise ValueError('must be a finite, non-negative number')
    return factor


@setting_parsers.register('switch')
def parse_switch(text: str) -> bool:
    """:param text: ``on`` or ``off``; raises ValueError."""
    if text not in {'on', 'off'}:
        raise ValueError('must be on or off')
    return text == 'on'


COMMON_SETTINGS: Final = (
    Setting(
        'listen', 'address', 'address; port 0: any free port', '127.0.0.1:0'
    ),
    Setting('time_scale', 'factor', 'multiplier for all durations', '1'),
)


async def serve(
    app: App,
    address: Address,
    background_tasks: Sequence[Callable[[], Coroutine[Any, Any, None]]] = (),
) -> None:
    """Serve until SIGTERM or SIGINT; prints a line once it is listening.

    :param background_tasks: functions to run concurrently with the server.
    """
    listener = socket.create_server(address, backlog=_BACKLOG)
    host, port = listener.getsockname()[:2]
    config = Config()
    config.bind = [f'fd://{listener.detach()}']
    config.loglevel = 'ERROR'
    config.graceful_timeout = _GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = _KEEP_ALIVE_REQUESTS
    async with anyio.create_task_group() as tasks:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            for background_task in background_tasks:
                tasks.start_soon(background_task)
            sys.stdout.write(f'ready address={host}:{port}\n')
            sys.stdout.flush()
            trigger = partial(_wait_for_signal, app, signals)
            # Hypercorn runs in a separate task, because its asyncio task
            # group leaves the task marked as cancelled.
            async with anyio.create_task_group() as server:
                server.start_soon(_run_server, app, config, trigger)
        tasks.cancel_scope.cancel()


async def _run_server(
    app: App,
    config: Config,
    trigger: Callable[[], Awaitable[None]],
) -> None:
    await serve_asgi(
        app,  # type: ignore[arg-type]
        config,
        shutdown_trigger=trigger,
    )


async def _wait_for_signal(
    app: App,
    signals: AsyncIterator[signal.Signals],
) -> None:
    await anext(signals)
    app.close_connections()
