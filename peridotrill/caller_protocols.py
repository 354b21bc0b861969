"""HTTP/1.1 and HTTP/2 for callers, with changes to those of Hypercorn."""

import asyncio
from datetime import timedelta
from typing import Any, Final, final

from h2.errors import ErrorCodes
from h2.events import RequestReceived
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.protocol.events import Event, Response, StreamClosed
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.typing import WorkerContext as AnyContext

# How long to wait for the caller to read buffered data, which includes the
# error event, before the stream is reset.
_RESET_DRAIN_TIMEOUT: Final = timedelta(seconds=1)


@final
class ServerContext(WorkerContext):
    """Tells the connections that the server shuts down.

    Hypercorn's own event for this stays unset: its connections close
    themselves then, whether or not a request has arrived.
    """

    def __init__(self) -> None:
        """Initialize the context of a server that serves."""
        super().__init__(None)
        self.shutdown = asyncio.Event()
        # Set when only streams that are open are still served.
        self.refuses_streams = False


@final
class ClosingH11Protocol(H11Protocol):
    """Announces in the responses that the connection closes at shutdown."""

    async def stream_send(self, event: Any) -> None:
        """Send an event of the response."""
        # A request that was pipelined behind this one is answered as well.
        is_last = not self.connection.trailing_data[0]
        if isinstance(event, Response) and is_last:
            if _is_shut_down(self.context):
                event.headers.append((b'connection', b'close'))
        await super().stream_send(event)


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

    async def _handle_events(self, events: list[Any]) -> None:
        """Handle events; refuse new streams late in the shutdown."""
        refused: set[int] = set()
        if _refuses_streams(self.context):
            refused = {
                event.stream_id
                for event in events
                if isinstance(event, RequestReceived)
            }
        for stream_id in refused:
            # Tells the caller that the request was not processed.
            self.connection.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
        await super()._handle_events(
            [
                event
                for event in events
                if getattr(event, 'stream_id', None) not in refused
            ]
        )

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


# Connections of the control port have a context of Hypercorn.
def _is_shut_down(context: AnyContext) -> bool:
    return isinstance(context, ServerContext) and context.shutdown.is_set()


def _refuses_streams(context: AnyContext) -> bool:
    return isinstance(context, ServerContext) and context.refuses_streams
