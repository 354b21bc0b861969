"""Stand-in for a target of a plain HTTP service."""

import os
import sys
from collections import Counter
from hashlib import sha256
from typing import Any, Final

import anyio

from peridotrill.registry import Registry
from peridotrill.settings import Setting, load_settings
from standins import web

SETTINGS: Final = (
    *web.COMMON_SETTINGS,
    Setting('delay', 'duration', 'processing time of a request', '5ms'),
    Setting('max_running', 'integer', 'maximum running requests', '16'),
)
# Filler consists of blocks of this length; each holds its index.
_FILLER_BLOCK: Final = 'position'
_CRASH_EXIT_STATUS: Final = 1

routes: web.Routes = Registry('route')


class PlainService:
    """State of one target."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """:param settings: values of SETTINGS."""
        scaled = settings['delay'] * settings['time_scale']
        self.delay_s = scaled.total_seconds()
        self.ready = True
        self.responses_to_drop = 0
        self.slots = anyio.Semaphore(settings['max_running'])
        self.running = 0
        self.waiting = 0
        self.received: Counter[str] = Counter()
        self.executions: Counter[str] = Counter()
        self.records: list[dict[str, Any]] = []

    async def run(self) -> None:
        """Wait for a free slot, then simulate the work of one request."""
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                await anyio.sleep(self.delay_s)
            finally:
                self.running -= 1


def digest_lookup(path: str, query: dict[str, str]) -> str:
    """:return: the result of a lookup, derived from its arguments."""
    text = '\n'.join([path, *map('='.join, sorted(query.items()))])
    return sha256(text.encode()).hexdigest()


def generate_filler(size: int) -> str:
    """:return: text of ``size`` characters, with the index of each block."""
    width = len(_FILLER_BLOCK)
    blocks = (f'{index:0{width}x}' for index in range(size // width + 1))
    return ''.join(blocks)[:size]


@routes.register('GET /load')
async def load(service: PlainService, _: web.Request) -> web.Response:
    """Return the load report."""
    return web.json_response(
        {
            'ready': service.ready,
            'running_requests': service.running,
            'waiting_requests': service.waiting,
        },
    )


@routes.register('GET /observations')
async def observe(service: PlainService, _: web.Request) -> web.Response:
    """Return received and executed requests, for tests."""
    return web.json_response(
        {
            'received': service.received,
            'executions': service.executions,
            'records': service.records,
        },
    )


@routes.register('POST /faults')
async def set_faults(
    service: PlainService,
    request: web.Request,
) -> web.Response:
    """Set faults: dropped responses, delay, readiness, crash."""
    faults = request.json()
    if faults.keys() - {'drop_answers', 'delay_s', 'ready', 'crash'}:
        raise web.HttpError(400, 'unknown_fault')
    if faults.get('crash'):
        os._exit(_CRASH_EXIT_STATUS)
    service.responses_to_drop = faults.get(
        'drop_answers', service.responses_to_drop
    )
    service.delay_s = faults.get('delay_s', service.delay_s)
    service.ready = faults.get('ready', service.ready)
    return web.json_response({})


@routes.register('GET /{path:path}')
async def look_up(service: PlainService, request: web.Request) -> web.Response:
    """Answer a lookup; the query ``answer_bytes`` adds filler."""
    service.received[request.headers.get('x-attempt-id', '')] += 1
    await service.run()
    query = dict(request.query)
    size = web.parse_number('answer_bytes', query.pop('answer_bytes', 0))
    response: dict[str, Any] = {
        'path': request.path,
        'answer': digest_lookup(request.path, query),
    }
    if size:
        response['filler'] = generate_filler(size)
    _drop_response(service)
    return web.json_response(response)


@routes.register('POST /{path:path}')
@routes.register('PUT /{path:path}')
@routes.register('PATCH /{path:path}')
@routes.register('DELETE /{path:path}')
async def execute(service: PlainService, request: web.Request) -> web.Response:
    """Execute and record a request that changes state."""
    attempt_id = request.headers.get('x-attempt-id', '')
    service.received[attempt_id] += 1
    await service.run()
    service.executions[attempt_id] += 1
    record = {
        'record_id': len(service.records) + 1,
        'attempt_id': attempt_id,
        'method': request.method,
        'path': request.path,
        'body_sha256': sha256(request.body).hexdigest(),
    }
    service.records.append(record)
    _drop_response(service)
    return web.json_response(record, status=201)


def _drop_response(service: PlainService) -> None:
    if service.responses_to_drop:
        service.responses_to_drop -= 1
        raise web.ConnectionDropped


def main() -> None:
    """Run the stand-in plain service."""
    settings = load_settings(
        'standins.plain_service', SETTINGS, sys.argv[1:], {}
    )
    app = web.App(routes, PlainService(settings))
    anyio.run(web.serve, app, settings['listen'])


if __name__ == '__main__':
    main()
