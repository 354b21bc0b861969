"""The HTTP server for callers: HTTP/1.1 and HTTP/2 with Hypercorn."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Final, final

from h2.errors import ErrorCodes
from hypercorn import protocol
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.protocol.events import Event, StreamClosed
from hypercorn.protocol.h2 import H2Protocol

from peridotrill.caller_app import MAX_HEADER_BYTES
from peridotrill.settings import Address

# The longest deadline that a service may have, so that every request in
# flight can finish during shutdown.
_GRACEFUL_TIMEOUT: Final = timedelta(hours=1)
_KEEP_ALIVE: Final = timedelta(seconds=75)
_KEEP_ALIVE_REQUESTS: Final = 1_000_000
_BACKLOG: Final = 512
# How long to wait for the caller to read buffered data, which includes the
# error event, before the stream is reset.
_RESET_DRAIN_TIMEOUT: Final = timedelta(seconds=1)


@final
class ResettingH2Protocol(H2Protocol):
    """Resets an HTTP/2 stream whose application ended too early.

    Hypercorn drops such a stream without closing it and keeps the
    connection open, so the caller would wait forever.
    """

    async def stream_send(self, event: Any) -> None:
        """Send a stream event; reset the stream if it ends unfinished."""
        if isinstance(event, StreamClosed):
            await self._reset_unfinished(event)
        await super().stream_send(event)

    async def _reset_unfinished(self, event: Event) -> None:
        buffer = self.stream_buffers.get(event.stream_id)
        is_open = event.stream_id in self.streams
        if self.closed or not is_open or buffer is None or buffer.complete:
            return
        if buffer.buffer:
            try:
                await asyncio.wait_for(
                    buffer.drain(),
                    _RESET_DRAIN_TIMEOUT.total_seconds(),
                )
            except TimeoutError:
                buffer.buffer.clear()
        self.connection.reset_stream(
            event.stream_id,
            ErrorCodes.INTERNAL_ERROR,
        )
        await self._flush()


def make_config(address: Address) -> Config:
    """Return the Hypercorn configuration."""
    config = Config()
    config.bind = [str(address)]
    config.backlog = _BACKLOG
    config.graceful_timeout = _GRACEFUL_TIMEOUT.total_seconds()
    config.keep_alive_timeout = _KEEP_ALIVE.total_seconds()
    config.keep_alive_max_requests = _KEEP_ALIVE_REQUESTS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.h2_max_header_list_size = MAX_HEADER_BYTES
    config.include_server_header = False
    # The application logs its own errors.
    config.errorlog = None
    return config


async def serve_callers(
    app: Any,
    address: Address,
    stop: Callable[[], Awaitable[Any]],
) -> None:
    """Serve until stopped, then finish the requests in flight.

    :param app: ASGI application.
    :param stop: returns when the server should stop accepting connections.
    """
    # Hypercorn has no setting for the HTTP/2 protocol class.
    protocol.H2Protocol = ResettingH2Protocol  # type: ignore[misc]
    await serve(app, make_config(address), shutdown_trigger=stop)
