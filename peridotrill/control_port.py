"""HTTP control port of a process: health, metrics, status, timeline."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs

from hypercorn.asyncio import serve
from hypercorn.config import Config
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from peridotrill.codec import encode_json
from peridotrill.registry import Registry
from peridotrill.settings import Address
from peridotrill.timeline import Recorder

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_JSON: Final = 'application/json'
_MSGPACK: Final = 'application/vnd.msgpack'
_TEXT: Final = 'text/plain; charset=utf-8'


class ControlSource(NamedTuple):
    """Data that a process serves on its control port."""

    recorder: Recorder
    is_ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    control_state: Callable[[int], bytes] | None = None


class _Reply(NamedTuple):
    status: int
    content_type: str
    body: bytes


_View = Callable[[ControlSource, dict[str, list[str]]], _Reply]
_views: Registry[str, _View] = Registry('control path')


@_views.register('/livez')
def _show_live(source: ControlSource, query: dict[str, list[str]]) -> _Reply:
    return _Reply(_OK, _TEXT, b'live\n')


@_views.register('/readyz')
def _show_ready(source: ControlSource, query: dict[str, list[str]]) -> _Reply:
    if source.is_ready():
        return _Reply(_OK, _TEXT, b'ready\n')
    return _Reply(_UNAVAILABLE, _TEXT, b'not ready\n')


@_views.register('/metrics')
def _show_metrics(source: ControlSource, query: dict[str, list[str]]) -> _Reply:
    return _Reply(_OK, CONTENT_TYPE_LATEST, generate_latest(REGISTRY))


@_views.register('/status')
def _show_status(source: ControlSource, query: dict[str, list[str]]) -> _Reply:
    return _Reply(_OK, _JSON, encode_json(source.status()))


@_views.register('/timeline')
def _show_timeline(
    source: ControlSource,
    query: dict[str, list[str]],
) -> _Reply:
    start_text = query.get('after', ['0'])[0]
    start = int(start_text) if start_text.isdecimal() else 0
    events = source.recorder.events(start)
    return _Reply(_OK, _JSON, encode_json({'events': events}))


@_views.register('/control-state')
def _show_control_state(
    source: ControlSource,
    query: dict[str, list[str]],
) -> _Reply:
    if source.control_state is None:
        return _Reply(_NOT_FOUND, _TEXT, b'not an entry\n')
    start_text = query.get('from', ['1'])[0]
    start = int(start_text) if start_text.isdecimal() else 1
    return _Reply(_OK, _MSGPACK, source.control_state(start))


def create_control_app(source: ControlSource) -> Callable[..., Awaitable[None]]:
    """Return the ASGI application of a control port.

    :param source: the data to serve.
    """

    async def app(scope, receive, send) -> None:  # noqa: WPS430
        if scope['type'] != 'http':
            return
        view = _views.get(scope['path'])
        query = parse_qs(scope['query_string'].decode('latin-1'))
        reply = _Reply(_NOT_FOUND, _TEXT, b'no such path\n')
        if view is not None and scope['method'] == 'GET':
            reply = view(source, query)
        length = str(len(reply.body)).encode()
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': [
                    (b'content-type', reply.content_type.encode()),
                    (b'content-length', length),
                ],
            },
        )
        await send({'type': 'http.response.body', 'body': reply.body})

    return app


async def serve_control_port(
    address: Address,
    source: ControlSource,
    shutdown: Callable[[], Awaitable[None]],
) -> None:
    """Serve until ``shutdown`` returns.

    :param address: address to listen on.
    :param shutdown: returns when the process shuts down.
    """
    config = Config()
    config.bind = [str(address)]
    config.graceful_timeout = 1
    config.errorlog = None
    await serve(
        create_control_app(source),  # type: ignore[arg-type]
        config,
        shutdown_trigger=shutdown,
    )
