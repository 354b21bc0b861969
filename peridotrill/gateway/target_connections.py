"""HTTP/1.1 client connections to targets and to the store.

Uses asyncio protocols instead of httpx because late or unexpected responses
on a connection must be distinguished from the response to the current
request, and because a request is cancelled by resetting its connection
immediately.
"""

import asyncio
import enum
import errno
import math
import re
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import closing
from typing import Final, NamedTuple, final

import anyio
import httptools

from peridotrill.exceptions import (
    ConnectionsExhausted,
    ResponseExcessive,
    TargetOutcomeUnknown,
    TargetRefused,
    TargetUnreachable,
)
from peridotrill.gateway.http_format import format_head
from peridotrill.gateway.process_identity import (
    ConnectionIdentity,
    ProcessProof,
)
from peridotrill.gateway.receive_limits import (
    ReceiveLimits,
    ReservedBytes,
    response_work,
)
from peridotrill.gateway.requests import Headers
from peridotrill.settings import Address

# Errors of a connection attempt that say nothing about the target.
_LOCAL_ERRORS: Final = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    )
)
# Body bytes that are buffered for a slow caller before reading is paused.
_MAX_BUFFERED_BYTES: Final = 65536
# Limit for bytes in a row that belong to no body of the expected response:
# heads, interim responses, trailers, responses to other requests.
_MAX_OVERHEAD_BYTES: Final = 256 * 1024
# Memory for a header field, or a chunk of a body, besides its content.
_FIELD_BYTES: Final = 160
_CHUNK_BYTES: Final = 64
# Work for the start of a message, in units of one callback of the parser.
_MESSAGE_WORK: Final = 20
# Reads and chunks of this size are limited by their bytes, smaller ones also by
# their number.
_LARGE_PIECE_BYTES: Final = 512
# Responses to other requests that are skipped before the connection is closed.
_MAX_SKIPPED_RESPONSES: Final = 4
# Requests back to which a late copy of a response is expected; targets repeat a
# response at once, or with the next one.
_KNOWN_REQUESTS: Final = 16
# SO_LINGER with a zero timeout: closing resets the connection.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)
_NO_BODY_STATUSES: Final = frozenset((204, 304))
_MIN_FINAL_STATUS: Final = 200
# A head that breaks off in a line is continued by the next head that is sent.
_STATUS_LINE_PATTERN: Final = re.compile(rb'HTTP/\d\.\d \d{3}')


class ResponseHead(NamedTuple):
    """Head of a response; header names are in lowercase."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first header with this name, or None."""
        for found, content in self.headers:
            if found == name:
                return content
        return None


class Response(NamedTuple):
    """A complete response."""

    head: ResponseHead
    body: bytes


class Match(enum.Enum):
    """Whether a response belongs to the request in progress.

    ``UNNAMED`` is a response that names no request: it may repeat the response
    to an earlier request on the same connection.
    """

    OWN = 1
    OTHER = 2
    UNNAMED = 3


class Framing(enum.Enum):
    """How the end of a response is marked."""

    DELIMITED = 'delimited'
    # The kernel closes the connections of a killed process in the same way.
    CONNECTION = 'connection'


HeadMatcher = Callable[[ResponseHead], Match]


def _match_any(head: ResponseHead) -> Match:
    return Match.OWN


def _ignore() -> None:
    """Do nothing when a connection is lost."""


@final
class TargetExchange:
    """One request on a connection, and its response while it arrives."""

    def __init__(
        self,
        connection: 'TargetConnection',
        matches: HeadMatcher,
    ) -> None:
        """:param matches: tells whether a response belongs to the request."""
        self._connection = connection
        self.matches = matches
        # Monotonic time at which the request was sent, if that matters.
        self.sent_s = -math.inf
        self._head: ResponseHead | None = None
        self._framing: Framing | None = None
        self._chunks: deque[bytes] = deque()
        # Memory for the head, for chunks that have not been read, and for what
        # the reader keeps of the others.
        self._head_bytes = 0
        self._buffered_bytes = 0
        self._kept_bytes = 0
        self._reserved = ReservedBytes(connection.limits.budget)
        self._is_complete = False
        self._error: TargetOutcomeUnknown | None = None
        self._waiter: asyncio.Future[None] | None = None

    async def read_head(self) -> ResponseHead:
        """Wait for the response head; raises TargetOutcomeUnknown."""
        while self._head is None:
            self._raise_if_broken()
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes | None:
        """Wait for a chunk of the body.

        Raises TargetOutcomeUnknown if the response is cut off.

        :return: the chunk, or None at the end of the body.
        """
        while not self._chunks:
            if self._is_complete:
                return None
            self._raise_if_broken()
            await self._wait()
        part = self._chunks.popleft()
        self._buffered_bytes -= len(part) + _CHUNK_BYTES
        if self._buffered_bytes < _MAX_BUFFERED_BYTES:
            self._connection.resume_reading()
        return part

    async def read_body(self) -> bytes:
        """Wait for the whole body; raises TargetOutcomeUnknown."""
        max_bytes = self._connection.limits.budget.max_body_bytes
        parts = []
        size_bytes = 0
        part = await self.read_chunk()
        while part is not None:
            parts.append(part)
            size_bytes += len(part)
            if size_bytes > max_bytes:
                raise ResponseExcessive('response body too large')
            self.keep(size_bytes + len(parts) * _CHUNK_BYTES)
            part = await self.read_chunk()
        return b''.join(parts)

    def keep(self, size_bytes: int) -> None:
        """Count what the reader keeps of the body, until the exchange is closed.

        Raises TargetOutcomeUnknown if that is too much.
        """
        self._kept_bytes = size_bytes
        self._resize()

    def close(self) -> None:
        """Reset the connection unless the response is complete."""
        if not self._is_complete:
            self._connection.abort('cancelled')
        self._chunks.clear()
        self._reserved.release()

    # Called by the connection.

    def count_head(self, size_bytes: int) -> None:
        """Count the memory for a head; raises TargetOutcomeUnknown."""
        self._head_bytes = size_bytes
        self._resize()

    def deliver_head(self, head: ResponseHead, framing: Framing) -> None:
        """Store the head of the response."""
        self._head = head
        self._framing = framing
        self._notify()

    def deliver_chunk(self, part: bytes) -> None:
        """Add a chunk of the body; raises TargetOutcomeUnknown."""
        self._chunks.append(part)
        self._buffered_bytes += len(part) + _CHUNK_BYTES
        self._resize()
        if self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self._connection.pause_reading()
        self._notify()

    def deliver_end(self) -> None:
        """Mark the response as complete."""
        self._is_complete = True
        self._notify()

    def deliver_error(self, error: TargetOutcomeUnknown) -> None:
        """Mark an incomplete response as broken."""
        if not self._is_complete and self._error is None:
            self._error = error
            self._notify()

    @property
    def framing(self) -> Framing | None:
        """How the end of the response is marked; None before its head."""
        return self._framing

    @property
    def identity(self) -> ConnectionIdentity:
        """Tells whether the registered process responds."""
        return self._connection.identity

    @property
    def has_head(self) -> bool:
        """Whether the head has arrived."""
        return self._head is not None

    def _raise_if_broken(self) -> None:
        if self._error is not None:
            # A new one: the traceback would keep the response until it is
            # collected.
            raise type(self._error)(*self._error.args)

    def _resize(self) -> None:
        size_bytes = self._head_bytes + self._buffered_bytes + self._kept_bytes
        self._reserved.resize(size_bytes)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@final
class TargetConnection(asyncio.Protocol):  # noqa: WPS338
    """One connection to a target, for one request at a time."""

    def __init__(
        self,
        on_idle: Callable[['TargetConnection'], None],
        limits: ReceiveLimits,
        on_lost: Callable[[], None] = _ignore,
    ) -> None:
        """:param on_idle: called when the connection can be reused.

        :param limits: for the responses of the target.
        :param on_lost: called when the target ends the connection unannounced.
        """
        self._on_idle = on_idle
        self._on_lost = on_lost
        self.identity = ConnectionIdentity(ProcessProof(), math.inf)
        # Ids of the last requests. A late copy of a response bears the right id
        # if the same request is sent again, so that needs another connection.
        self.request_ids: deque[str] = deque(maxlen=_KNOWN_REQUESTS)
        self.limits = limits
        self._meter = limits.open_meter()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: TargetExchange | None = None
        self._is_paused = False
        self._is_kept = False
        self.is_open = False
        self.idle_since_s = 0.0
        # Idle timeout that the target declared in Keep-Alive, if any.
        self.keep_alive_s: float | None = None
        self._is_reused = False
        self._skipped = 0
        self._overhead_bytes = 0
        self._parse_error: TargetOutcomeUnknown | None = None
        self._ends_at_eof = False
        self._reset_message()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as open."""
        self._transport = transport  # type: ignore[assignment]
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort if there is no request in progress."""
        if self._exchange is None:
            self.abort('data received without a request in progress')
            return
        try:
            self._meter.charge(_work_of(data))
            self._overhead_bytes += len(data)
            self._parser.feed_data(data)
            self._check_overhead()
        except httptools.HttpParserCallbackError:
            if self._parse_error is None:
                # A bug in a parser callback: the event loop logs the exception
                # and closes the connection.
                raise
            error = self._parse_error
            self._parse_error = None
            self._break(error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort('malformed response')
        except TargetOutcomeUnknown as error:
            self._break(error)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the stream."""
        was_open = self.is_open
        self.is_open = False
        ends_response = self._is_in_message and self._ends_at_eof
        if ends_response and self._headers_done:
            self._must_close = True
            self._complete_message()
        elif was_open:
            self._on_lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if any."""
        if self.is_open:
            self._on_lost()
        self.is_open = False
        reason = 'connection closed' if exc is None else 'connection reset'
        if self._exchange is not None:
            exchange = self._exchange
            self._exchange = None
            exchange.deliver_error(TargetOutcomeUnknown(reason))

    def start(
        self,
        first_line: bytes,
        headers: Headers,
        body: bytes,
        matches: HeadMatcher = _match_any,
        max_events: int = 0,
    ) -> TargetExchange:
        """Send a request; raises TargetUnreachable if not connected.

        :param matches: tells whether a response belongs to the request.
        :param max_events: largest number of events of the response.
        """
        if self._transport is None or not self.is_open:
            raise TargetUnreachable('not connected')
        self._exchange = TargetExchange(self, matches)
        self._skipped = 0
        self._overhead_bytes = 0
        self._meter.grant(response_work(max_events))
        self._transport.write(format_head(first_line, headers) + body)
        return self._exchange

    async def call(
        self,
        method: bytes,
        path: bytes,
        body: bytes = b'',
        headers: Headers | None = None,
    ) -> Response:
        """Send a request and read the whole response.

        :param headers: in addition to Host, Content-Type and Content-Length.
        """
        exchange = self.start(
            b'%b %b HTTP/1.1' % (method, path),
            [
                (b'Host', self._peer_name()),
                (b'Content-Type', b'application/json'),
                (b'Content-Length', b'%d' % len(body)),
                *(headers or []),
            ],
            body,
        )
        with closing(exchange):
            head = await exchange.read_head()
            return Response(head, await exchange.read_body())

    async def call_and_keep(
        self, method: bytes, path: bytes, headers: Headers
    ) -> Response:
        """Send a request; its sender keeps the connection for the next one.

        The connection may end with the response all the same.
        """
        self._is_kept = True
        try:
            response = await self.call(method, path, headers=headers)
            # What follows the response in the same read ends the connection.
            await anyio.lowlevel.checkpoint()
        except BaseException:
            self.abort('cancelled')
            raise
        finally:
            self._is_kept = False
        return response

    def _peer_name(self) -> bytes:
        if self._transport is None:
            raise TargetUnreachable('not connected')
        peer = self._transport.get_extra_info('peername')
        if peer is None:
            # Reset right after it was opened.
            raise TargetOutcomeUnknown('connection reset')
        host, port = peer[:2]
        return f'{host}:{port}'.encode()

    def abort(self, reason: str) -> None:
        """Reset the connection; a request in progress fails.

        A reset discards request bytes that are still buffered, which must
        not reach the target after the request was abandoned.
        """
        self._break(TargetOutcomeUnknown(reason))

    def _break(self, error: TargetOutcomeUnknown) -> None:
        # The traceback would keep the pieces of the response that its frames refer
        # to until the next full garbage collection.
        error.__traceback__ = None
        self.is_open = False
        if self._transport is not None:
            peer = self._transport.get_extra_info('socket')
            if peer is not None and not self._transport.is_closing():
                peer.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
            self._transport.abort()
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.deliver_error(error)

    def has_unread_input(self) -> bool:
        """Tell whether received bytes, or the end, have not been read yet."""
        if self._transport is None:
            return False
        poller = select.poll()
        peer = self._transport.get_extra_info('socket')
        poller.register(peer.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def pause_reading(self) -> None:
        """Pause reading until the buffered body has been consumed."""
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading after a pause."""
        if self._transport is not None and self._is_paused:
            self._is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Reset the parsing state."""
        self._charge(_MESSAGE_WORK)
        self._reset_message()
        self._is_in_message = True

    def on_status(self, phrase: bytes) -> None:
        """Collect the reason phrase, which may come in several pieces."""
        self._reason += phrase

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; trailers are ignored."""
        self._charge(1)
        self._field_bytes += len(name) + len(content) + _FIELD_BYTES
        if self._field_bytes > _MAX_OVERHEAD_BYTES:
            self._fail_parsing(ResponseExcessive('response head too large'))
        if not self._headers_done:
            self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Deliver the head if it belongs to the request in progress."""
        texts = (self._reason, *(content for _, content in self._headers))
        if any(_STATUS_LINE_PATTERN.search(text) for text in texts):
            self._abort_parsing('head inside another head')
        head = ResponseHead(self._parser.get_status_code(), self._headers)
        if head.status < _MIN_FINAL_STATUS:
            self._is_interim = True
            return
        self._headers_done = True
        self._must_close = not self._parser.should_keep_alive()
        self._ends_at_eof = (
            head.get(b'content-length') is None
            and head.get(b'transfer-encoding') is None
            and head.status not in _NO_BODY_STATUSES
        )
        exchange = self._exchange
        if exchange is None or exchange.has_head:
            self._abort_parsing('response without a request in progress')
            return
        self._count_head(self._field_bytes)
        match = exchange.matches(head)
        if match is Match.UNNAMED and (self._is_reused or self._skipped):
            self._abort_parsing('response names no request')
            return
        if match is not Match.OTHER:
            self._parse_keep_alive(head)
            exchange.deliver_head(
                head,
                Framing.CONNECTION if self._ends_at_eof else Framing.DELIMITED,
            )
            return
        self._is_skipped = True
        self._skipped += 1
        if self._skipped > _MAX_SKIPPED_RESPONSES:
            self._abort_parsing('too many responses to other requests')

    def on_body(self, body: bytes) -> None:
        """Deliver a chunk of the body."""
        self._charge(_work_of(body))
        if self._exchange is None or self._is_skipped:
            return
        self._overhead_bytes = 0
        try:
            self._exchange.deliver_chunk(body)
        except TargetOutcomeUnknown as error:
            self._fail_parsing(error)

    def on_message_complete(self) -> None:
        """Handle the end of a response, as its framing defines it."""
        self._complete_message()

    def _complete_message(self) -> None:
        self._is_in_message = False
        if self._is_interim or self._is_skipped:
            return
        exchange = self._exchange
        self._exchange = None
        if exchange is None:
            return
        if self._must_close and self._transport is not None:
            self.is_open = False
            self._transport.close()
        exchange.deliver_end()
        if self.is_open:
            # Deferred, so that extra bytes after the response in the same read
            # close the connection before it is reused.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._become_idle)

    def _become_idle(self) -> None:
        if self.is_open and self._exchange is None:
            if self._is_in_message:
                self.abort('data received without a request in progress')
                return
            self.resume_reading()
            self._is_reused = True
            if not self._is_kept:
                self._on_idle(self)

    def _abort_parsing(self, reason: str) -> None:
        """Abort parsing; ``data_received`` resets the connection."""
        self._fail_parsing(TargetOutcomeUnknown(reason))

    def _fail_parsing(self, error: TargetOutcomeUnknown) -> None:
        self._parse_error = error
        raise error

    def _charge(self, units: float) -> None:
        """Count work in a callback of the parser."""
        try:
            self._meter.charge(units)
        except ResponseExcessive as error:
            self._fail_parsing(error)

    def _check_overhead(self) -> None:
        """Raise ResponseExcessive if too much belongs to no expected body."""
        if self._overhead_bytes > _MAX_OVERHEAD_BYTES:
            raise ResponseExcessive('response head too large')
        if not self._headers_done:
            self._count_head(self._overhead_bytes + self._field_bytes)

    def _count_head(self, size_bytes: int) -> None:
        if self._exchange is None:
            return
        try:
            self._exchange.count_head(size_bytes)
        except TargetOutcomeUnknown as error:
            self._fail_parsing(error)

    def _parse_keep_alive(self, head: ResponseHead) -> None:
        row = head.get(b'keep-alive')
        if row is None:
            return
        for part in row.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                self.keep_alive_s = float(seconds)

    def _reset_message(self) -> None:
        self._reason = b''
        self._field_bytes = 0
        self._headers: Headers = []
        self._headers_done = False
        self._is_in_message = False
        self._is_interim = False
        self._is_skipped = False
        self._must_close = False
        self._ends_at_eof = False


def _work_of(piece: bytes) -> float:
    """Return the work for a read or a chunk, in callbacks of the parser."""
    return max(0.0, 1 - len(piece) / _LARGE_PIECE_BYTES)


async def open_connection(
    address: Address,
    timeout_s: float,
    on_idle: Callable[[TargetConnection], None],
    limits: ReceiveLimits,
    on_lost: Callable[[], None] = _ignore,
) -> TargetConnection:
    """Connect to a target; raises TargetUnreachable or TargetRefused.

    :param timeout_s: timeout for the connection attempt.
    :param on_idle: called when the connection can be reused.
    :param limits: for the responses of the target on all connections.
    :param on_lost: called when the target ends the connection unannounced.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(on_idle, limits, on_lost),
                address.host,
                address.port,
            )
    except TimeoutError as error:
        raise TargetUnreachable('connect timeout') from error
    except OSError as error:
        raise _describe_failure(error) from error
    return connection


def _describe_failure(error: OSError) -> TargetUnreachable:
    """Return what a failed connection attempt says about the target."""
    detail = f'connect failed: {error}'
    if isinstance(error, ConnectionRefusedError):
        return TargetRefused(detail)
    if error.errno in _LOCAL_ERRORS:
        return ConnectionsExhausted(detail)
    return TargetUnreachable(detail)
