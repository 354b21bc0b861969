"""HTTP server of the stand-ins for the users' platform."""

import asyncio
import time
import traceback
from contextlib import asynccontextmanager

import anyio

from peridotrill.gateway.caller_server import CallerServer
from peridotrill.gateway.configuration import CallerLimits
from peridotrill.settings import Address

_LIMITS = CallerLimits(max_body_bytes=16 * 1024 * 1024)


class _ExceptionPrinter:
    """Prints faults of a stand-in; what its callers do is no news."""

    def write(self, event, **fields):
        """Drop an event."""

    def write_exception(self, event, error, **fields):
        """Print a fault with its traceback."""
        traceback.print_exception(error)


@asynccontextmanager
async def serve_http(handler, host='127.0.0.1', port=0, log=None):
    """Serve a handler; yields the address that is listened on."""
    async with anyio.create_task_group() as tasks:
        caller_server = CallerServer(
            handler,
            tasks,
            lambda: _LIMITS,
            time.monotonic,
            log or _ExceptionPrinter(),
        )
        server = await asyncio.get_running_loop().create_server(
            caller_server.create_connection,
            host,
            port,
        )
        try:
            yield Address(*server.sockets[0].getsockname()[:2])
        finally:
            server.close()
            tasks.cancel_scope.cancel()
