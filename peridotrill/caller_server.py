"""The HTTP server for callers: HTTP/1.1 and HTTP/2 by hypercorn."""

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

# Longest deadline of a service; requests in flight end before it.
_GRACEFUL_TIMEOUT: Final = timedelta(hours=1)
_KEEP_ALIVE: Final = timedelta(seconds=75)
_KEEP_ALIVE_REQUESTS: Final = 1_000_000
_BACKLOG: Final = 512
# How long a broken answer may wait for the caller to read its last event.
_RESET_DRAIN_TIMEOUT: Final = timedelta(seconds=1)


@final
class ResettingH2Protocol(H2Protocol):
    """HTTP/2 that resets a stream whose application ended too early.

    Hypercorn forgets such a stream and keeps the connection, so that the
    caller would wait without end.
    """

    async def stream_send(self, event: Any) -> None:
        """Send an event of a stream."""
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
    """Return the configuration of the server."""
    config = Config()
    config.bind = [str(address)]
    config.backlog = _BACKLOG
    config.graceful_timeout = _GRACEFUL_TIMEOUT.total_seconds()
    config.keep_alive_timeout = _KEEP_ALIVE.total_seconds()
    config.keep_alive_max_requests = _KEEP_ALIVE_REQUESTS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.h2_max_header_list_size = MAX_HEADER_BYTES
    config.include_server_header = False
    # The application records its own errors.
    config.errorlog = None
    return config


async def serve_callers(
    app: Any,
    address: Address,
    stop: Callable[[], Awaitable[Any]],
) -> None:
    """Serve until stopped; then finish what is in flight.

    :param app: ASGI application.
    :param stop: returns when no more connections are accepted.
    """
    # Hypercorn has no setting for the class.
    protocol.H2Protocol = ResettingH2Protocol  # type: ignore[misc]
    await serve(app, make_config(address), shutdown_trigger=stop)
