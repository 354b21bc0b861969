"""HTTP towards the target on the same VM."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple, final

import anyio
import httpx
import msgspec

from peridotrill.codec import decode_json
from peridotrill.exceptions import (
    CodecError,
    TargetOutcomeUnknown,
    TargetUnreachable,
)
from peridotrill.messages import StartAttempt
from peridotrill.token_counter import TokenCount

_CONNECT_TIMEOUT_S: Final = 2.0
_CONTROL_TIMEOUT_S: Final = 2.0
_MAX_CONNECTIONS: Final = 2048
_CONNECT_STARTED_EVENT: Final = 'connection.connect_tcp.started'
_CONNECTION_CLOSED_ERRORS: Final = (
    httpx.ReadError,
    httpx.WriteError,
    httpx.RemoteProtocolError,
)
# They belong to one connection or are set by the client. Answers are not
# compressed, so that tokens can be counted.
_UNFORWARDED_HEADERS: Final = frozenset(
    (
        'accept-encoding',
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class TargetLoad(NamedTuple):
    """Load as the target reports it; a subset of ``LoadReport``."""

    ready: bool
    running_requests: int = 0
    waiting_requests: int = 0
    running_tokens: int = 0
    waiting_tokens: int = 0
    free_pieces: int = 0
    total_pieces: int = 0
    piece_tokens: int = 0
    role: str = ''
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


class NullTokenCounter:
    """Counts nothing, for answers without tokens."""

    def feed(self, payload: bytes) -> None:
        """:param payload: the next bytes of the answer."""

    def count(self) -> TokenCount:
        """Return zero tokens."""
        return TokenCount()


@final
class _ConnectTrace:
    """Notes whether a request has opened a connection."""

    def __init__(self) -> None:
        self.has_connected = False

    async def __call__(self, name: str, _fields: Any) -> None:
        """Take an event of the HTTP library."""
        self.has_connected |= name == _CONNECT_STARTED_EVENT


def create_http_client(
    target_url: str, persistent: int = 0
) -> httpx.AsyncClient:
    """Create a client of the target.

    Non-idempotent requests get a connection each: a kept one may be closed
    by the target while a request is written to it, and the outcome of a
    request that never ran would then be unknown.

    :param target_url: URL of the target.
    :param kept: idle connections that are kept, for control calls and
        idempotent requests.
    """
    return httpx.AsyncClient(
        base_url=target_url,
        # Loading the certificates takes several megabytes.
        verify=target_url.startswith('https:'),
        timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_S),
        limits=httpx.Limits(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=persistent,
        ),
        trust_env=False,
        follow_redirects=False,
    )


@asynccontextmanager
async def open_response(
    http: httpx.AsyncClient,
    persistent: httpx.AsyncClient,
    start: StartAttempt,
    extra_headers: dict[str, str],
) -> AsyncIterator[httpx.Response]:
    """Send a request and yield its answer with the body still to be read.

    Raises TargetUnreachable if no connection was made, so that no byte of
    the request has left; every other failure is TargetOutcomeUnknown.

    :param kept: client that keeps connections, for idempotent requests.
    :param start: the request.
    :param extra_headers: added to the headers of the request.
    """
    request = _build_request(http, start, extra_headers)
    try:
        response = await _send(
            http, persistent if start.idempotent else None, request
        )
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as err:
        raise TargetUnreachable(type(err).__name__) from err
    except httpx.HTTPError as error:
        raise TargetOutcomeUnknown(type(error).__name__) from error
    try:
        yield response
    except (httpx.HTTPError, httpx.StreamError) as broken:
        raise TargetOutcomeUnknown(type(broken).__name__) from broken
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


async def _send(
    http: httpx.AsyncClient,
    persistent: httpx.AsyncClient | None,
    request: httpx.Request,
) -> httpx.Response:
    if persistent is None:
        return await http.send(request, stream=True)
    trace = _ConnectTrace()
    request.extensions['trace'] = trace
    try:
        return await persistent.send(request, stream=True)
    except _CONNECTION_CLOSED_ERRORS:
        # Only a connection that was kept may have been closed while idle.
        if trace.has_connected:
            raise
    try:
        return await http.send(request, stream=True)
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        # The request was written once, so this is not ``not_run``.
        raise TargetOutcomeUnknown(type(error).__name__) from error


def _build_request(
    http: httpx.AsyncClient,
    start: StartAttempt,
    extra_headers: dict[str, str],
) -> httpx.Request:
    headers = [*filter_headers(start.headers), *extra_headers.items()]
    try:
        # The path is passed on byte for byte.
        raw_path = start.path.encode('ascii')
        return http.build_request(
            start.method,
            http.base_url.copy_with(raw_path=raw_path),
            headers=[*headers, ('accept-encoding', 'identity')],
            content=start.body,
        )
    except (httpx.InvalidURL, ValueError, TypeError) as error:
        raise TargetUnreachable(f'invalid request: {error}') from error


def filter_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without those of one connection.

    :param headers: of a request or an answer.
    """
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _UNFORWARDED_HEADERS
    ]


async def get_load(http: httpx.AsyncClient) -> TargetLoad:
    """Return the load; not ready if the target does not answer."""
    document = await get_json(http, '/load')
    defaults = {'ready': False, **TargetLoad._field_defaults}
    fields = [document.get(name, defaults[name]) for name in TargetLoad._fields]
    try:
        return msgspec.convert(fields, TargetLoad)
    except msgspec.ValidationError:
        return TargetLoad(ready=False)


async def get_json(http: httpx.AsyncClient, path: str) -> dict[str, Any]:
    """Get a JSON object; empty if the target gives none.

    :param path: of a control call of the target.
    """
    try:
        response = await http.get(path, timeout=_CONTROL_TIMEOUT_S)
        document = decode_json(response.content)
    except (httpx.HTTPError, CodecError):
        return {}
    is_valid = response.is_success and isinstance(document, dict)
    return document if is_valid else {}
