"""The HTTP server for callers: HTTP/1.1 and HTTP/2 with Hypercorn.

Connections are accepted and closed here: at shutdown, Hypercorn closes its
listening socket while connections wait in its queue, and idle connections
while requests arrive on them, which then get neither answer nor refusal.
"""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any, Final, final

import anyio
from hypercorn import protocol
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config
from hypercorn.events import Closed
from hypercorn.typing import LifespanState
from hypercorn.utils import wrap_app

from peridotrill.caller_app import MAX_HEADER_BYTES
from peridotrill.caller_protocols import (
    ClosingH11Protocol,
    ResettingH2Protocol,
    ServerContext,
)
from peridotrill.settings import Address

# The longest deadline that a service may have, and some time to report its
# end, so that every request in flight can finish during shutdown.
_GRACEFUL_TIMEOUT: Final = timedelta(hours=1, minutes=1)
_KEEP_ALIVE: Final = timedelta(seconds=75)
_KEEP_ALIVE_REQUESTS: Final = 1_000_000
_BACKLOG: Final = 512
# At shutdown, a connection is idle for this time before it is closed: a caller
# that has just connected, or has just read a response, may send a request.
_IDLE_BEFORE_CLOSE: Final = timedelta(seconds=1)
# How long an idle connection stays open for the rest of a request head.
_HEAD_TIMEOUT: Final = timedelta(seconds=5)
_UNREAD_CHECK_INTERVAL: Final = timedelta(milliseconds=10)
# Pause after the process ran out of file descriptors.
_ACCEPT_PAUSE_S: Final = 0.1


@final
class _CallerReader(asyncio.StreamReader):
    """Counts the bytes that have arrived and have not been read."""

    def __init__(self) -> None:
        super().__init__()
        self.unread_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Add bytes that have arrived."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return bytes that have arrived; wait for them."""
        payload = await super().read(n)
        self.unread_bytes -= len(payload)
        return payload


@final
class _CallerConnection(TCPServer):
    """A connection that is closed only while no request arrives on it."""

    context: ServerContext
    reader: _CallerReader

    async def _idle_timeout(self) -> None:
        """Close the connection; cancelled once a request has arrived."""
        # Not asyncio.wait_for, which loses a cancellation that comes at the
        # same time as the event.
        with anyio.move_on_after(self.config.keep_alive_timeout):
            await self.context.shutdown.wait()
        if self.context.shutdown.is_set():
            await asyncio.sleep(_IDLE_BEFORE_CLOSE.total_seconds())
        with anyio.move_on_after(_HEAD_TIMEOUT.total_seconds()):
            while self._has_unread_bytes():
                await asyncio.sleep(_UNREAD_CHECK_INTERVAL.total_seconds())
        # No other task may run between the check and this.
        self._close_idle()
        await self.protocol.handle(Closed())

    def _has_unread_bytes(self) -> bool:
        if self.reader.at_eof():
            return False
        if self.reader.unread_bytes or _is_readable(
            self.writer.get_extra_info('socket')
        ):
            return True
        http = self.protocol.protocol
        if isinstance(http, ClosingH11Protocol):
            return bool(http.connection.trailing_data[0])
        return False

    def _close_idle(self) -> None:
        http = self.protocol.protocol
        if isinstance(http, ResettingH2Protocol):
            # Names the last stream that was processed, so that the caller
            # knows that a later one was not.
            http.connection.close_connection()
            self.writer.write(http.connection.data_to_send())
        # Tells the caller at once; the transport closes its socket later.
        with suppress(OSError):
            self.writer.write_eof()
        self.writer.close()


@final
class _CallerServer:
    """Accepts connections and serves them until it is shut down."""

    def __init__(self, app: Any, config: Config) -> None:
        self._app = wrap_app(app, config.wsgi_max_body_size, 'asgi')
        self._config = config
        self._context = ServerContext()
        self._loop = asyncio.get_running_loop()
        self._connections: set[asyncio.Task[None]] = set()
        self._listening = config.create_sockets().insecure_sockets[0]

    async def run(self, stop: Callable[[], Awaitable[Any]]) -> None:
        """Serve until stopped, then finish the requests in flight."""
        self._listening.setblocking(False)
        self._listening.listen(self._config.backlog)
        self._loop.add_reader(self._listening, self._accept_waiting)
        try:
            await stop()
        finally:
            self._stop_accepting()
            await self._finish()

    def _stop_accepting(self) -> None:
        self._context.shutdown.set()
        self._loop.remove_reader(self._listening)
        self._accept_waiting()
        self._listening.close()

    async def _finish(self) -> None:
        with anyio.move_on_after(self._config.graceful_timeout):
            if self._connections:
                await asyncio.wait(
                    self._connections,
                    timeout=_IDLE_BEFORE_CLOSE.total_seconds(),
                )
            self._context.refuses_streams = True
            if self._connections:
                await asyncio.wait(self._connections)
        for connection in self._connections:
            connection.cancel()

    def _accept_waiting(self) -> None:
        """Accept all connections that wait in the queue."""
        while True:
            try:
                accepted, _ = self._listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                self._loop.remove_reader(self._listening)
                self._loop.call_later(_ACCEPT_PAUSE_S, self._resume_accepting)
                return
            connection = self._loop.create_task(self._serve(accepted))
            self._connections.add(connection)
            connection.add_done_callback(self._connections.discard)

    def _resume_accepting(self) -> None:
        if not self._context.shutdown.is_set():
            self._loop.add_reader(self._listening, self._accept_waiting)

    async def _serve(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        reader = _CallerReader()
        reading = asyncio.StreamReaderProtocol(reader)
        try:
            transport, _ = await self._loop.connect_accepted_socket(
                lambda: reading, accepted
            )
        except OSError:
            accepted.close()
            return
        state: LifespanState = {}
        await _CallerConnection(
            self._app,
            self._loop,
            self._config,
            self._context,
            state,
            reader,
            asyncio.StreamWriter(transport, reading, reader, self._loop),
        )


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
    # Hypercorn has no setting for the protocol classes.
    protocol.H2Protocol = ResettingH2Protocol  # type: ignore[misc]
    protocol.H11Protocol = ClosingH11Protocol  # type: ignore[misc]
    await _CallerServer(app, make_config(address)).run(stop)


def _is_readable(connection: Any) -> bool:
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLIN)
    return bool(poller.poll(0))
