"""HTTP/1.1 server for the connections of callers.

Uses asyncio protocols instead of hypercorn because a request must be
cancelled as soon as its caller disconnects, and because a truncated response
must not look complete.
"""

import asyncio
import fcntl
import socket
import struct
import sys
import termios
from collections import deque
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, Final, NamedTuple, Protocol, final

import anyio
import httptools
from anyio.abc import TaskGroup

from peridotrill.gateway.caller_account import (
    CONNECTIONS,
    FIELD_BYTES,
    MEMORY,
    REQUEST_BYTES,
    SAMPLE_INTERVAL_S,
    STALLED,
    AccountEntry,
    AccountLimits,
    CallerAccount,
    ShedReason,
)
from peridotrill.gateway.configuration import CallerLimits
from peridotrill.gateway.event_log import EventSink
from peridotrill.gateway.http_format import (
    LAST_CHUNK,
    format_chunk,
    format_head,
    format_status_line,
)
from peridotrill.gateway.isolated_tasks import IsolatedTasks
from peridotrill.gateway.metrics import CALLERS_SHED
from peridotrill.gateway.requests import Headers

# Pipelined requests that are queued behind the one in progress before reading
# from the connection is paused.
_MAX_PIPELINED_REQUESTS: Final = 2
# Response bytes that are buffered before producers wait and the account counts
# them; less is part of the memory for a connection.
_MAX_UNSENT_BYTES: Final = 4096
# A larger body is written apart from its head, so that it is not copied.
_MAX_JOINED_BYTES: Final = 65536
# Bytes that are parsed at once.
_SLICE_BYTES: Final = 8192
# Callbacks of the parser after which a connection waits for its turn; an ordinary
# read causes less than fifty.
_TURN_WORK: Final = 500
# Time that a callback takes about.
_WORK_S: Final = 0.000001
# While several connections wait, parsing for them takes one part of the time, and
# this many parts are left for everything else.
_TURN_PAUSE: Final = 3
# Retry-After of a request that was refused before it was read whole.
_RETRY_AFTER: Final = b'0.50'
# SO_LINGER with a zero timeout: closing resets the connection.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)
# Weights of connections that may be given up. One whose caller has never sent
# anything, or does not finish what it sends or reads, goes before an idle one,
# and one that only waits to be closed goes first.
_IDLE_WEIGHT: Final = 1
_HOLDING_WEIGHT: Final = 2
_CLOSING_WEIGHT: Final = 1000
_HTTP_1_0: Final = '1.0'
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Before a due timer closes anything, the event loop gets this long to read: after
# a stall, timers may run before what has arrived meanwhile has been read.
READ_DELAY_S: Final = 0.005
# A caller that has just connected gets this long to send its first request
# before its connection is closed as idle.
_FIRST_REQUEST_DELAY_S: Final = 0.25
# After an error response, further input is discarded for this long before the
# connection is closed. Closing with unread bytes would reset the connection,
# and the caller could lose the response.
_LINGERING_CLOSE_S: Final = 1.0


class RawRequest(NamedTuple):
    """A request as received; header names are in lowercase."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_s: float


class _ReceivedRequest(NamedTuple):
    """A request and the framing options for its response."""

    request: RawRequest
    keep_alive: bool
    supports_chunked: bool
    # Memory that the account counts for the request.
    held_bytes: int


class Responder(Protocol):
    """Writes the response to one request."""

    @property
    def has_started(self) -> bool:
        """Whether any part of the response has been written."""

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a response whose length is unknown."""

    def send_chunk(self, content: bytes) -> None:
        """Write a chunk of the body."""

    async def drain(self) -> None:
        """Wait until the write buffer has room again."""

    def end_stream(self) -> None:
        """Write the terminator of the body."""

    def abort(self) -> None:
        """Reset the connection so that the response is seen as incomplete."""


Handler = Callable[[RawRequest, Responder], Coroutine[Any, Any, None]]


@final
class CallerServer:
    """State shared by the connections of one listening port."""

    def __init__(
        self,
        handler: Handler,
        task_group: TaskGroup | IsolatedTasks,
        limits: Callable[[], CallerLimits],
        now_s: Callable[[], float],
        log: EventSink,
        account_limits: AccountLimits = AccountLimits(),  # noqa: B008, WPS404
    ) -> None:
        """:param limits: returns the current limits.

        :param log: receives unreadable requests and unhandled exceptions.
        :param account_limits: for what all connections hold together.
        """
        self.account = CallerAccount(account_limits)
        self.log = log
        self.handler = handler
        self.task_group = task_group
        self.limits = limits
        self.now_s = now_s
        self.is_draining = False
        # Whether connections are closed as soon as they are idle.
        self.closes_idle = False
        self.connections: set[CallerConnection] = set()
        self._sampling: asyncio.TimerHandle | None = None
        # When the next connection with many small pieces may be parsed, and how
        # many wait for that.
        self._turn_s = 0.0
        self.waiting_connections = 0

    def create_connection(self) -> 'CallerConnection':
        """Return the protocol for a new connection."""
        return CallerConnection(self)

    def take_turn(self, used_s: float) -> float:
        """Return how long a connection with many small pieces waits.

        :param used_s: time that it has just taken.
        """
        now_s = self.now_s()
        self._turn_s = max(self._turn_s, now_s) + used_s * _TURN_PAUSE
        return self._turn_s - now_s if self.waiting_connections else 0

    def start_sampling(self) -> None:
        """Sample what callers transfer while there are connections."""
        if self._sampling is None:
            loop = asyncio.get_running_loop()
            self._sampling = loop.call_later(SAMPLE_INTERVAL_S, self._sample)

    def drain(self) -> None:
        """Close each connection after its current requests from now on."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections without a request, the others once idle."""
        self.closes_idle = True
        for connection in list(self.connections):
            connection.schedule_idle_close()

    def refuse_incomplete(self) -> None:
        """Refuse the requests that are still being received."""
        for connection in list(self.connections):
            connection.refuse_incomplete()

    def log_shed(
        self, reason: ShedReason, entry: AccountEntry | None, state: str
    ) -> None:
        """Record that a connection was given up, or not accepted."""
        CALLERS_SHED.labels(reason.name, state).inc()
        self.log.write(
            'caller_shed',
            reason=reason.name,
            state=state,
            held_bytes=0 if entry is None else entry.held_bytes,
            recent_bytes=0 if entry is None else entry.recent_bytes,
            used_bytes=self.account.used_bytes,
            connections=self.account.open_connections,
        )

    def _sample(self) -> None:
        self._sampling = None
        for connection in list(self.connections):
            connection.check_progress()
        self.account.sample()
        if self.connections:
            self.start_sampling()


@final
class CallerConnection(asyncio.Protocol):  # noqa: WPS338
    """One connection, whose requests are handled sequentially."""

    def __init__(self, server: CallerServer) -> None:
        """:param server: the server that accepted the connection."""
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: deque[_ReceivedRequest] = deque()
        self._exchange: _Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_status = 0
        # When the current idle period began.
        self._idle_since_s = 0.0
        self._has_received = False
        self._is_closing = False
        # Whether an error follows the responses that are still to come.
        self._is_rejected = False
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._entry: AccountEntry | None = None
        self._transferred_bytes = 0
        # Memory for the message that is being received, for requests that were
        # read whole, and for responses that wait for their reader.
        self._incoming_bytes = 0
        self._whole_bytes = 0
        self._unsent_bytes = 0
        # The same with what the socket has buffered, at the last sample.
        self._queued_bytes = 0
        # The transport keeps what is written until the last byte of it is sent.
        self._largest_write_bytes = 0
        self._collected_bytes = 0
        # Bytes that wait to be parsed, and whether they, or what follows, wait for
        # other connections; callbacks of the parser in the current read.
        self._rest = b''
        self._is_waiting = False
        self._work = 0
        # When the caller last read something of a response.
        self._read_s = 0.0
        self._body_bytes = 0
        self._headers: Headers = []
        self._body: bytes | bytearray = b''
        self._reset_message()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = transport  # type: ignore[assignment]
        self._entry = self._server.account.open(self)
        if self._entry is None:
            self._server.log_shed(CONNECTIONS, None, 'new')
            self.abort()
            return
        self._server.connections.add(self)
        self._server.start_sampling()
        self._transport.set_write_buffer_limits(_MAX_UNSENT_BYTES)  # type: ignore[union-attr]
        self._start_idle_period()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes."""
        if self._is_closing or self._is_rejected:
            return
        self._has_received = True
        self._transferred_bytes += len(data)
        if self._rest:
            self._rest += data
        elif len(data) <= _SLICE_BYTES:
            self._work = 0
            self._parse(data)
            if self._work > _TURN_WORK:
                self._wait_for_turn(self._work * _WORK_S)
        else:
            self._parse_slices(data)
        self._count_received()

    def _parse_slices(self, data: bytes) -> None:
        """Parse a part at a time; leave the rest if it takes much work."""
        began_s = self._server.now_s()
        self._work = 0
        for start in range(0, len(data), _SLICE_BYTES):
            if self._is_closing or self._is_rejected:
                return
            if self._work > _TURN_WORK:
                self._rest = data[start:]
                self._wait_for_turn(self._server.now_s() - began_s)
                return
            self._parse(data[start : start + _SLICE_BYTES])

    def _wait_for_turn(self, used_s: float) -> None:
        """Let other connections go first."""
        if self._transport is None or self._is_waiting:
            return
        self._transport.pause_reading()
        delay_s = self._server.take_turn(used_s)
        self._is_waiting = True
        self._server.waiting_connections += 1
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._resume_turn)

    def _resume_turn(self) -> None:
        self._is_waiting = False
        self._server.waiting_connections -= 1
        if self._is_closing or self._is_rejected:
            self._rest = b''
            return
        rest = self._rest
        self._rest = b''
        if rest:
            self._parse_slices(rest)
            self._count_received()
        self._resume_reading()

    def _resume_reading(self) -> None:
        """Read on unless requests or unparsed bytes wait."""
        is_full = len(self._pipelined) > _MAX_PIPELINED_REQUESTS
        is_held = is_full or self._is_waiting or self._is_rejected
        if self._transport is not None and not is_held:
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _count_received(self) -> None:
        """Count what was received; give it up if there is no room."""
        is_counted = self._is_in_message or self._incoming_bytes or self._rest
        if is_counted and not self._count_incoming():
            self.shed(MEMORY)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            if not self._error_status:
                # A bug in a parser callback: the event loop logs the exception
                # and closes the connection.
                raise
            self._reject(self._error_status)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(HTTPStatus.BAD_REQUEST)

    def eof_received(self) -> bool:
        """Close the connection; half-closed connections are not served."""
        self._abandon_requests()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._abandon_requests()
        self._is_closing = True
        self._server.connections.discard(self)
        self._cancel_timer()
        self._drop_incoming()
        if self._entry is not None:
            self._server.account.close(self._entry)
            self._entry = None
        self._can_write.set()

    def pause_writing(self) -> None:
        """Make ``drain`` wait: the caller reads more slowly than we write."""
        self._can_write.clear()
        self._read_s = self._server.now_s()
        if not self._count_unsent():
            # The transport is still writing.
            asyncio.get_running_loop().call_soon(self.shed, MEMORY)

    def resume_writing(self) -> None:
        """Let ``drain`` return."""
        self._can_write.set()
        self._unsent_bytes = 0
        self._queued_bytes = 0
        self._largest_write_bytes = 0
        self._recount()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Reset the parsing state and start the header timeout."""
        self._reset_message()
        self._is_in_message = True
        self._arm_header_timer()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, header: bytes) -> None:
        """Collect a header; trailers are ignored."""
        self._work += 1
        if self._is_in_body:
            return
        # Size on the wire, including the separator and the line end.
        self._count_header_bytes(len(name) + len(header) + 4)
        if b'\r' in header or b'\n' in header:
            self._abort_parsing(HTTPStatus.BAD_REQUEST)
        self._headers.append((name.lower(), header.strip()))

    def on_headers_complete(self) -> None:
        """Check the headers before the body is received."""
        self._is_in_body = True
        fields = dict(self._headers)
        length = fields.get(b'content-length', b'0')
        self._max_body_bytes = self._server.limits().max_body_bytes
        if int(length or 0) > self._max_body_bytes:
            self._abort_parsing(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if fields.get(b'expect', b'').lower() == b'100-continue':
            if self._exchange is None and self._transport is not None:
                self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body.

        Chunks are joined at once, since each would take an object of its own.
        """
        self._work += 1
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._abort_parsing(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self._body:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body
        else:
            self._body = body

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the one in progress."""
        self._is_in_message = False
        self._cancel_timer()
        request = RawRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._server.now_s(),
        )
        held_bytes = self._message_bytes(len(request.body))
        # The connection keeps nothing of a request that it has handed on.
        self._headers = []
        self._body = b''
        self._body_bytes = 0
        self._incoming_bytes = 0
        self._whole_bytes += held_bytes
        if not self._recount():
            self._whole_bytes -= held_bytes
            self._abort_parsing(HTTPStatus.SERVICE_UNAVAILABLE)
        self._pipelined.append(
            _ReceivedRequest(
                request,
                self._parser.should_keep_alive(),
                self._parser.get_http_version() != _HTTP_1_0,
                held_bytes,
            ),
        )
        if self._exchange is None:
            self._start_next()
        elif len(self._pipelined) > _MAX_PIPELINED_REQUESTS and self._transport:
            self._transport.pause_reading()

    # Called by the server and by exchanges.

    @property
    def has_next_request(self) -> bool:
        """Whether a request follows the one in progress."""
        return bool(self._pipelined) or self._is_in_message or bool(self._rest)

    @property
    def has_unsent(self) -> bool:
        """Whether a part of a response waits for its reader."""
        return self._unsent_bytes > 0

    @property
    def shed_weight(self) -> float:
        """How readily the connection is given up; 0 if it may not be.

        A request that was read whole may have been sent to a target.
        """
        if self._is_closing:
            return _CLOSING_WEIGHT
        if self._unsent_bytes or self._collected_bytes:
            return _HOLDING_WEIGHT
        is_incomplete = self._is_in_message or self._rest
        if is_incomplete and not self._is_rejected:
            return _HOLDING_WEIGHT
        if self._exchange is not None or self._pipelined:
            return 0
        return _IDLE_WEIGHT if self._has_received else _HOLDING_WEIGHT

    def measure_transfer(self) -> int:
        """Return the bytes that were received and sent so far."""
        return self._transferred_bytes - self._queued_bytes

    def shed(self, reason: ShedReason) -> None:
        """Give the connection up, and release what it holds.

        An incomplete request is refused. A response that is not read is cut
        off by a reset, so that it does not look complete.
        """
        if self._entry is None:
            return
        state = self._shed_state()
        self._server.log_shed(reason, self._entry, state)
        if state == 'incomplete':
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
            if reason.needs_descriptor and self._is_closing:
                self._close()
        elif state == 'idle':
            self._close()
        else:
            self._reset()
            self._unsent_bytes = 0
            self._collected_bytes = 0
            self._drop_incoming()

    def check_progress(self) -> None:
        """Reset the connection if its caller has stopped reading."""
        if not self._unsent_bytes:
            return
        before_bytes = self._queued_bytes
        self._count_unsent()
        self._queued_bytes = self._unsent_bytes + self._count_in_socket()
        now_s = self._server.now_s()
        if self._queued_bytes != before_bytes:
            self._read_s = now_s
        idle_s = self._server.limits().idle_timeout_ms / 1000
        if now_s - self._read_s > idle_s:
            self.shed(STALLED)

    def collect(self, content_bytes: int) -> None:
        """Count bytes of a response that is sent as a whole later.

        The connection is reset if that is too much.
        """
        self._collected_bytes += content_bytes
        max_bytes = self._server.account.max_response_bytes
        if self._collected_bytes > max_bytes or not self._recount():
            self.shed(MEMORY)

    def release(self, held_bytes: int) -> None:
        """Stop counting a request whose response is complete."""
        self._whole_bytes -= held_bytes
        self._collected_bytes = 0
        if not self._unsent_bytes:
            self._largest_write_bytes = 0
        self._recount()

    def schedule_idle_close(self) -> None:
        """Close soon, unless a request arrives or is in progress."""
        delay_s = READ_DELAY_S
        if not self._has_received:
            delay_s = _FIRST_REQUEST_DELAY_S
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._close_after_reading)

    def refuse_incomplete(self) -> None:
        """Refuse a request that is still being received."""
        if self._is_in_message and not self._is_closing:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def write(self, content: bytes) -> None:
        """Write response bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            size_bytes = len(content)
            self._transferred_bytes += size_bytes
            if size_bytes > self._largest_write_bytes:
                self._largest_write_bytes = size_bytes
            self._transport.write(content)
            if self._unsent_bytes:
                self._count_unsent()

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._can_write.wait()

    def abort(self) -> None:
        """Reset the connection."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def finish_exchange(self, keep_alive: bool) -> None:
        """Start the next request, or close the connection."""
        self._exchange = None
        if self._is_closing:
            return
        # A request that was sent before its caller read that the connection
        # ends gets its response as well.
        if keep_alive or (self._pipelined and self._server.is_draining):
            self._continue()
        else:
            self._close()

    def _abandon_requests(self) -> None:
        """Cancel the requests that were read whole and get no response."""
        requests = len(self._pipelined)
        if self._exchange is not None and not self._exchange.is_complete:
            requests += 1
        if requests:
            self._server.log.write(
                'requests_abandoned',
                requests=requests,
                closed_by='gateway' if self._is_closing else 'caller',
            )
        self._whole_bytes -= sum(row.held_bytes for row in self._pipelined)
        self._recount()
        self._pipelined.clear()
        if self._exchange is not None:
            self._exchange.on_disconnect()

    def _continue(self) -> None:
        """Go on with the next request, or wait for it."""
        if self._pipelined:
            self._start_next()
        elif self._is_in_message:
            self._arm_header_timer()
        else:
            self._start_idle_period()

    def _start_next(self) -> None:
        received = self._pipelined.popleft()
        if not self._pipelined:
            self._resume_reading()
        self._cancel_timer()
        self._exchange = _Exchange(self, self._server, received)
        self._server.task_group.start_soon(self._exchange.run)

    def _reset_message(self) -> None:
        self._body_bytes = 0
        self._target = b''
        self._headers = []
        self._header_bytes = 0
        self._body = b''
        self._max_body_bytes = 0
        self._is_in_message = False
        self._is_in_body = False
        self._error_status = 0

    def _reset(self) -> None:
        """Close without sending what the kernel has buffered."""
        if self._transport is not None and not self._transport.is_closing():
            peer = self._transport.get_extra_info('socket')
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.abort()

    def _shed_state(self) -> str:
        if self._is_closing:
            return 'closing'
        if self._unsent_bytes or self._collected_bytes:
            return 'unread'
        if self._is_in_message or self._rest:
            return 'incomplete'
        return 'idle'

    def _message_bytes(self, body_bytes: int) -> int:
        """Return the memory for a message with the current head."""
        head_bytes = self._header_bytes + FIELD_BYTES * len(self._headers)
        return REQUEST_BYTES + head_bytes + body_bytes

    def _count_incoming(self) -> bool:
        """Count the message that is being received; tell whether it fits."""
        self._incoming_bytes = len(self._rest)
        if self._is_in_message:
            body_bytes = self._body.__sizeof__()
            self._incoming_bytes += self._message_bytes(body_bytes)
        return self._recount()

    def _count_unsent(self) -> bool:
        """Count what the caller has not read; tell whether it fits."""
        if self._transport is not None:
            self._unsent_bytes = self._transport.get_write_buffer_size()
        return self._recount()

    def _count_in_socket(self) -> int:
        """Return what the socket has buffered and its reader not received.

        The socket takes more only when a third of its buffer is free, so that
        a slow reader seems to stop if only unsent bytes are compared.
        """
        if self._transport is None or self._transport.is_closing():
            return 0
        peer = self._transport.get_extra_info('socket')
        answer = fcntl.ioctl(peer.fileno(), termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(answer, sys.byteorder)

    def _drop_incoming(self) -> None:
        """Release the message that is being received."""
        self._headers = []
        self._body = b''
        self._body_bytes = 0
        self._rest = b''
        self._incoming_bytes = 0
        self._recount()

    def _recount(self) -> bool:
        """Tell the account what is held; return whether there is room."""
        if self._entry is None:
            return True
        held_bytes = (
            self._incoming_bytes + self._whole_bytes + self._collected_bytes
        )
        if self._unsent_bytes:
            held_bytes += max(self._unsent_bytes, self._largest_write_bytes)
        return self._entry.resize(held_bytes)

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._server.limits().max_header_bytes:
            self._abort_parsing(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _abort_parsing(self, status: int) -> None:
        """Abort parsing; ``data_received`` responds with ``status``."""
        self._error_status = status
        raise ValueError('request is malformed or exceeds a limit')

    def _reject(self, status: int) -> None:
        """Respond to an unreadable request with an error and close.

        Responses to earlier pipelined requests are completed first.
        """
        self._cancel_timer()
        self._is_rejected = True
        self._drop_incoming()
        if self._exchange is None:
            self._send_error_and_close(status)
        else:
            if self._transport is not None:
                self._transport.pause_reading()
            self._server.task_group.start_soon(
                self._reject_after_pending, status
            )

    async def _reject_after_pending(self, status: int) -> None:
        while self._exchange is not None:
            await self._exchange.finished.wait()
        if not self._is_closing:
            self._send_error_and_close(status)

    def _send_error_and_close(self, status: int) -> None:
        self._is_closing = True
        self._server.log.write('request_unreadable', status=status)
        headers = [(b'Content-Length', b'0'), (b'Connection', b'close')]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b'Retry-After', _RETRY_AFTER))
        self.write(format_head(format_status_line(status), headers))
        if self._transport is not None:
            if self._transport.can_write_eof():
                self._transport.write_eof()
            loop = asyncio.get_running_loop()
            loop.call_later(_LINGERING_CLOSE_S, self._transport.close)

    def _arm_header_timer(self) -> None:
        self._arm_timer(
            self._server.limits().header_timeout_ms / 1000,
            HTTPStatus.REQUEST_TIMEOUT,
        )

    def _start_idle_period(self) -> None:
        self._idle_since_s = self._server.now_s()
        self._arm_timer(self._remaining_idle_s(), 0)
        if self._server.closes_idle:
            self.schedule_idle_close()

    def _remaining_idle_s(self) -> float:
        """Return the time until the idle timeout, by the current limits."""
        idle_s = self._server.now_s() - self._idle_since_s
        return self._server.limits().idle_timeout_ms / 1000 - idle_s

    def _close_after_reading(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(READ_DELAY_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        is_busy = self._exchange is not None or self.has_next_request
        if not is_busy and not self._is_closing:
            self._close()

    def _arm_timer(self, delay_s: float, status: int) -> None:
        self._cancel_timer()
        self._timer_status = status
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(READ_DELAY_S, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        if self._exchange is not None or self._is_closing:
            return
        if self._timer_status:
            self._reject(self._timer_status)
        elif self._remaining_idle_s() > 0:
            # A newer configuration allows a longer idle time.
            self._arm_timer(self._remaining_idle_s(), 0)
        else:
            self._close()

    def _close(self) -> None:
        self._is_closing = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()


@final
class _Exchange:  # noqa: WPS214
    """One request and the response to it."""

    def __init__(
        self,
        connection: CallerConnection,
        server: CallerServer,
        received: _ReceivedRequest,
    ) -> None:
        self._connection = connection
        self._server = server
        self._request: RawRequest | None = received.request
        self._held_bytes = received.held_bytes
        self._keep_alive = received.keep_alive
        self._supports_chunked = received.supports_chunked
        # Status, headers and body chunks of a response that is collected
        # because an HTTP/1.0 caller does not support chunked encoding.
        self._buffered_response: tuple[int, Headers, bytearray] | None = None
        self._scope = anyio.CancelScope()
        self.is_complete = False
        self.has_started = False
        self.is_disconnected = False
        self.finished = asyncio.Event()

    async def run(self) -> None:
        """Call the handler; it is cancelled if the caller disconnects."""
        # The loop reads once more before the request is handled: an overloaded
        # process reads requests whose callers have closed right behind them.
        await asyncio.sleep(0)
        try:
            with self._scope:
                await self._handle_safely()
                self._release()
                # The next request of the connection is handled once this
                # response is sent, so that responses do not pile up.
                if self._connection.has_unsent:
                    await self._connection.drain()
        finally:
            self._finish()

    async def _handle_safely(self) -> None:
        try:
            await self._handle()
        except Exception as error:  # noqa: BLE001
            # A bug that affects one request must not stop the process and fail
            # all others.
            self._server.log.write_exception('request_fault', error)
            if not self.has_started:
                self._keep_alive = False
                self.send(HTTPStatus.INTERNAL_SERVER_ERROR, [], b'')

    def _release(self) -> None:
        """Keep nothing of the request while the response is sent."""
        self._request = None
        self._buffered_response = None
        self._connection.release(self._held_bytes)
        self._held_bytes = 0

    def _finish(self) -> None:
        if self._held_bytes:
            self._release()
        if not self.is_complete:
            self._connection.abort()
        self.finished.set()
        self._connection.finish_exchange(self._keep_alive)

    async def _handle(self) -> None:
        request = self._request
        if request is None:
            return
        if self.is_disconnected:
            path = request.target.split(b'?', 1)[0]
            self._server.log.write('request_left', path=path.decode('latin-1'))
        else:
            await self._server.handler(request, self)

    def on_disconnect(self) -> None:
        """Cancel the handler because the caller has disconnected."""
        self.is_disconnected = True
        self.is_complete = True
        self._scope.cancel()

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        length = str(len(body)).encode()
        head = self._format_head(status, headers, (b'Content-Length', length))
        if len(body) > _MAX_JOINED_BYTES:
            self._connection.write(head)
            self._connection.write(body)
        else:
            self._connection.write(head + body)
        self.is_complete = True

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a chunked response."""
        if not self._supports_chunked:
            self.has_started = True
            self._buffered_response = (status, headers, bytearray())
            return
        head = self._format_head(
            status,
            headers,
            (b'Transfer-Encoding', b'chunked'),
        )
        self._connection.write(head)

    def send_chunk(self, content: bytes) -> None:
        """Write a chunk of the body."""
        if self._buffered_response is not None:
            if not self.is_disconnected:
                self._buffered_response[2].extend(content)
                self._connection.collect(len(content))
        elif content:
            self._connection.write(format_chunk(content))

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._connection.drain()

    def end_stream(self) -> None:
        """Write the last chunk, or a response that was collected."""
        if self._buffered_response is not None:
            status, headers, parts = self._buffered_response
            self.send(status, headers, bytes(parts))
            return
        self._connection.write(LAST_CHUNK)
        self.is_complete = True

    def abort(self) -> None:
        """Reset the connection, or send an error if nothing was written."""
        if self._buffered_response is not None:
            self._keep_alive = False
            self.send(HTTPStatus.BAD_GATEWAY, [], b'')
            return
        self.is_complete = True
        self._connection.abort()

    def _format_head(
        self,
        status: int,
        headers: Headers,
        framing: tuple[bytes, bytes],
    ) -> bytes:
        self.has_started = True
        rows = [*headers, framing]
        if self._server.is_draining and not self._connection.has_next_request:
            self._keep_alive = False
        if not self._keep_alive:
            rows.append((b'Connection', b'close'))
        return format_head(format_status_line(status), rows)
