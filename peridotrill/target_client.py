"""HTTP client functions for the target on the same VM."""

import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple

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
# Far above any document of a control endpoint.
_MAX_DOCUMENT_BYTES: Final = 4 * 1024 * 1024
_MAX_CONNECTIONS: Final = 2048
# A head that breaks off in a line is continued by the next head that is sent.
_STATUS_LINE_PATTERN: Final = re.compile(r'HTTP/\d\.\d \d{3}')
# Headers of a single connection, and headers that the client sets itself.
# Responses are requested uncompressed, so that tokens can be counted.
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
    """Load as reported by the target; a subset of ``LoadReport``."""

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
    """Token counter for responses without tokens; counts nothing."""

    is_complete = True

    def feed(self, payload: bytes) -> None:
        """Ignore the next bytes of the response."""

    def count(self) -> TokenCount:
        """Return zero tokens."""
        return TokenCount()


def create_http_client(
    target_url: str, persistent: int = 0
) -> httpx.AsyncClient:
    """Create an HTTP client for the target.

    :param target_url: URL of the target.
    :param persistent: maximum number of idle connections to keep. It must be 0
        for requests of callers: responses name no request, so bytes that a
        target sends late on a kept connection would become the response to the
        next request.
    """
    return httpx.AsyncClient(
        base_url=target_url,
        # Loading the CA certificates takes several megabytes of memory.
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
    start: StartAttempt,
    extra_headers: dict[str, str],
) -> AsyncIterator[httpx.Response]:
    """Send a request and yield its response; the body is not read yet.

    Raises TargetUnreachable if no connection was made, so that no byte of
    the request was sent, and TargetOutcomeUnknown for any other failure.

    :param http: client that opens a connection for each request.
    :param start: request to send.
    :param extra_headers: headers to add to the request.
    """
    request = _build_request(http, start, extra_headers)
    try:
        response = await http.send(request, stream=True)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as err:
        raise TargetUnreachable(type(err).__name__) from err
    except httpx.HTTPError as error:
        raise TargetOutcomeUnknown(type(error).__name__) from error
    try:
        _require_single_head(response)
        yield response
    except (httpx.HTTPError, httpx.StreamError) as broken:
        raise TargetOutcomeUnknown(type(broken).__name__) from broken
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


def _require_single_head(response: httpx.Response) -> None:
    """Raise TargetOutcomeUnknown if another head continues a broken one."""
    texts = (response.reason_phrase, *response.headers.values())
    if any(_STATUS_LINE_PATTERN.search(text) for text in texts):
        raise TargetOutcomeUnknown('head inside another head')


def _build_request(
    http: httpx.AsyncClient,
    start: StartAttempt,
    extra_headers: dict[str, str],
) -> httpx.Request:
    headers = [*filter_headers(start.headers), *extra_headers.items()]
    try:
        # The path is forwarded unchanged, without normalization.
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
    """Return the headers that are forwarded.

    :param headers: headers of a request or a response.
    """
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _UNFORWARDED_HEADERS
    ]


async def get_load(http: httpx.AsyncClient) -> TargetLoad:
    """Return the load; not ready if the target does not respond."""
    document = await get_json(http, '/load')
    defaults = {'ready': False, **TargetLoad._field_defaults}
    fields = [document.get(name, defaults[name]) for name in TargetLoad._fields]
    try:
        return msgspec.convert(fields, TargetLoad)
    except msgspec.ValidationError:
        return TargetLoad(ready=False)


async def get_json(http: httpx.AsyncClient, path: str) -> dict[str, Any]:
    """Return the JSON object at a path; empty if the request fails.

    :param path: path of a control endpoint of the target.
    """
    try:
        with anyio.fail_after(_CONTROL_TIMEOUT_S):
            content = await _get_content(http, path)
        document = decode_json(content)
    except (httpx.HTTPError, CodecError, TimeoutError):
        return {}
    return document if isinstance(document, dict) else {}


async def _get_content(http: httpx.AsyncClient, path: str) -> bytes:
    """Return the body of a successful response.

    Raises httpx.HTTPError, and CodecError if the body is too large.
    """
    content = bytearray()
    async with http.stream('GET', path) as response:
        response.raise_for_status()
        async for part in response.aiter_bytes():
            content += part
            if len(content) > _MAX_DOCUMENT_BYTES:
                raise CodecError('control document too large')
    return bytes(content)
