"""HTTP server for the in-process stand-ins of the platform."""

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
    """Event log that prints exceptions and ignores other events."""

    def write(self, event, **fields):
        """Ignore an event."""

    def write_exception(self, event, error, **fields):
        """Print an exception with its traceback."""
        traceback.print_exception(error)


@asynccontextmanager
async def serve_http(handler, host='127.0.0.1', port=0, log=None):
    """Serve requests with a handler; yields the listening address."""
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
            _close(server, caller_server)
            tasks.cancel_scope.cancel()


def _close(server, caller_server):
    server.close()
    # Like those of a process that ends.
    for connection in list(caller_server.connections):
        connection.abort()
