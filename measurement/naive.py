"""Naive entry that serves as a baseline.

It chooses targets by round robin, divides each limit evenly between the
entry VMs, queues requests in one FIFO for each service, never changes roles
and retries only if no connection was established. The path of its plan (JSON)
is the argument of the program.
"""

import itertools
import json
import sys
import time
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Final

import anyio
import httpx

from measurement.ideal import TokenBucket
from peridotrill.registry import Registry
from peridotrill.settings import parse_address
from standins import web

# Concurrent requests for each target.
_TARGET_SLOTS: Final = 16
_TIMEOUT_S: Final = 30.0

routes: web.Routes = Registry('route')


class NaiveService:
    """Targets, queue and limits of one service."""

    def __init__(self, plan: dict[str, Any], entry_count: int) -> None:
        """:param plan: ``targets`` (URLs), ``teams`` (rate and burst).
        :param entry_count: number of entries that share the limits.
        """
        self.targets: list[str] = plan['targets']
        self._round_robin = itertools.cycle(self.targets)
        slots = len(self.targets) * _TARGET_SLOTS // entry_count
        # anyio serves the waiters of a semaphore in FIFO order.
        self.slots = anyio.Semaphore(slots)
        self._buckets = {
            team: TokenBucket(rate / entry_count, burst / entry_count)
            for team, (rate, burst) in plan['teams'].items()
        }
        self._started_s = time.monotonic()

    def next_target(self) -> str:
        """Return the next target by round robin."""
        return next(self._round_robin)

    def try_admit(self, team: str) -> bool:
        """Take a token of this entry's share of the team's limit."""
        return self._buckets[team].take(time.monotonic() - self._started_s)


class NaiveEntry:
    """Services and keys of the naive entry."""

    def __init__(self, plan: dict[str, Any], http: httpx.AsyncClient) -> None:
        """:param plan: ``services``, ``keys`` (team by key), ``entries``."""
        self.http = http
        self.teams: dict[str, str] = plan['keys']
        self.services = {
            name: NaiveService(service, plan['entries'])
            for name, service in plan['services'].items()
        }
        self._model_service: str = plan['model_service']
        self._plain_service: str = plan['plain_service']

    def find_service(self, path: str) -> NaiveService:
        """Return the service that a path belongs to."""
        is_model = path.startswith('/v1/')
        return self.services[
            self._model_service if is_model else self._plain_service
        ]


@routes.register('GET /readyz')
async def show_ready(_: NaiveEntry, request: web.Request) -> web.Response:
    """Answer the readiness check of the load balancer."""
    return web.json_response({})


@routes.register('GET /{path:path}')
@routes.register('POST /{path:path}')
async def forward(entry: NaiveEntry, request: web.Request) -> web.Response:
    """Forward a request to the next target that accepts a connection."""
    key = request.headers.get('authorization', '').removeprefix('Bearer ')
    service = entry.find_service(request.path)
    if key not in entry.teams:
        raise web.HttpError(401, 'key_invalid')
    if not service.try_admit(entry.teams[key]):
        return _refuse(429, 'rate_limited')
    stack = AsyncExitStack()
    await stack.enter_async_context(service.slots)
    for _ in service.targets:
        try:
            response = await stack.enter_async_context(
                entry.http.stream(
                    request.method,
                    service.next_target() + request.path,
                    content=request.body,
                    headers={'Content-Type': 'application/json'},
                ),
            )
        except httpx.ConnectError:
            continue
        except httpx.HTTPError:
            await stack.aclose()
            return _refuse(502, 'target_failed', 'unknown')
        return web.Response(
            _stream_body(stack, response),
            response.status_code,
            response.headers.get('content-type', web.JSON_TYPE),
        )
    await stack.aclose()
    return _refuse(503, 'no_target')


def _refuse(status: int, code: str, outcome: str = 'not_run') -> web.Response:
    error = {'code': code, 'outcome': outcome}
    return web.json_response({'error': error}, status)


async def _stream_body(
    stack: AsyncExitStack,
    response: httpx.Response,
) -> AsyncGenerator[bytes, None]:
    async with stack:
        try:
            async for chunk in response.aiter_raw():
                yield chunk
        except httpx.HTTPError as error:
            raise web.ConnectionDropped from error


async def run(plan: dict[str, Any]) -> None:
    """Serve until the process receives a signal."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    async with httpx.AsyncClient(
        limits=limits, timeout=_TIMEOUT_S, trust_env=False, verify=False
    ) as http:
        app = web.App(routes, NaiveEntry(plan, http))
        await web.serve(app, parse_address(plan['listen']))


def main() -> None:
    """Run the naive entry."""
    anyio.run(run, json.loads(Path(sys.argv[1]).read_text('utf-8')))


if __name__ == '__main__':
    main()
