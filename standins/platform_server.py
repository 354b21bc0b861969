"""HTTP server of the stand-ins for the users' platform."""

import asyncio
import time
from contextlib import asynccontextmanager

import anyio

from peridotrill.gateway.callers_port import CallerPort
from peridotrill.gateway.configuration import CallerLimits
from peridotrill.settings import Address

_LIMITS = CallerLimits(max_body_bytes=16 * 1024 * 1024)


@asynccontextmanager
async def serve_http(handler, host='127.0.0.1', port=0):
    """Serve a handler; yields the address that is listened on."""
    async with anyio.create_task_group() as tasks:
        callers = CallerPort(handler, tasks, lambda: _LIMITS, time.monotonic)
        server = await asyncio.get_running_loop().create_server(
            callers.create_connection,
            host,
            port,
        )
        try:
            yield Address(*server.sockets[0].getsockname()[:2])
        finally:
            server.close()
            tasks.cancel_scope.cancel()
