"""Entry side of a link, with one socket per connection to an agent.

A socket is used for one connection only. nng keeps the messages of a
disconnected socket and would deliver them on its next connection, so a
second connection of the same socket is rejected and the socket is closed.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final, NamedTuple, Self, final

import anyio
import pynng
from anyio.streams.memory import MemoryObjectReceiveStream

from peridotrill import messages
from peridotrill.channel import (
    ENTRY_END,
    HEARTBEAT_INTERVAL,
    MAX_QUEUED_EVENTS,
    PEER_TIMEOUT,
    Channel,
    LogPosition,
    describe_failure,
    open_socket,
)
from peridotrill.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from peridotrill.exceptions import LinkClosed, LinkError, MessageError
from peridotrill.settings import Address
from peridotrill.timeline import Recorder

MIN_BACK_OFF: Final = timedelta(milliseconds=100)
MAX_BACK_OFF: Final = timedelta(seconds=2)
# Messages that are read before other tasks may run.
MAX_MESSAGES_PER_READ: Final = 64


class LinkUp(NamedTuple):
    """Event: the agent has accepted a connection with Welcome."""

    welcome: messages.Welcome
    is_new_incarnation: bool


class LinkDown(NamedTuple):
    """Event: the accepted connection has ended."""

    reason: str


@final
class AgentLink:
    """Keeps one connection to an agent and reconnects when it fails."""

    def __init__(
        self,
        address: Address,
        hello: Callable[[], messages.Hello],
        clock: Clock,
        recorder: Recorder,
        log_position: Callable[[], LogPosition],
    ) -> None:
        """Initialize a link that is not connected yet.

        :param hello: returns the first message of each connection.
        :param log_position: returns the log position for heartbeats.
        """
        sending, receiving = anyio.create_memory_object_stream[Any](
            MAX_QUEUED_EVENTS
        )
        self.events: MemoryObjectReceiveStream[Any] = receiving
        self._event_sender = sending
        self._address = address
        self._hello = hello
        self._clock = clock
        self._recorder = recorder
        self._log_position = log_position
        self._incarnation = ''
        self._agent_clock_reading = (0.0, 0.0)
        self._back_off_s = MIN_BACK_OFF.total_seconds()
        self._connection: _Connection | None = None

    @classmethod
    def from_config(
        cls,
        address: Address,
        hello: Callable[[], messages.Hello],
        clock: Clock,
        recorder: Recorder,
        log_position: Callable[[], LogPosition] | None = None,
    ) -> Self:
        """Create a link that is not connected yet.

        :param address: address on which the agent listens.
        :param hello: returns the first message of each connection.
        :param log_position: returns the log position for heartbeats; by
            default the offset in Hello.
        """
        position = log_position or (lambda: LogPosition(hello().log_offset, 0))
        return cls(address, hello, clock, recorder, position)

    @property
    def is_up(self) -> bool:
        """Whether the agent has accepted the current connection."""
        connection = self._connection
        return connection is not None and connection.is_usable

    def send(self, message: Any) -> None:
        """Send a message on the current connection, never on a later one.

        Raises LinkClosed if there is no accepted connection or it does not
        take the message; no byte of the message was sent then. After a normal
        return, bytes may have been sent.
        """
        connection = self._connection
        if connection is None or not connection.is_usable:
            raise LinkClosed(f'not connected to {self._address}')
        connection.channel.send(message)

    def agent_clock_s(self) -> float:
        """Return the lowest value that the agent's clock can have now.

        Raises LinkClosed if no connection was accepted so far.
        """
        if not self._incarnation:
            raise LinkClosed(f'never connected to {self._address}')
        clock_s, received_s = self._agent_clock_reading
        elapsed_s = self._clock.monotonic_s() - received_s
        return clock_s + elapsed_s * (1 - MAX_CLOCK_DRIFT_RATIO)

    async def run(self) -> None:
        """Maintain a connection until the task is cancelled."""
        while True:
            reason, was_up = await self._run_connection()
            self._recorder.emit(
                'link_down' if was_up else 'link_not_established',
                address=str(self._address),
                reason=reason,
            )
            if was_up:
                await self._event_sender.send(LinkDown(reason))
            # Jitter spreads the reconnects of many entries after a failure
            # that they have in common.
            await anyio.sleep(self._back_off_s * random.uniform(0.5, 1.5))
            self._back_off_s = min(
                self._back_off_s * 2,
                MAX_BACK_OFF.total_seconds(),
            )

    async def _run_connection(self) -> tuple[str, bool]:
        connection = _Connection(self._clock, self._recorder)
        self._connection = connection
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._keep_alive, connection)
                tasks.start_soon(self._read, connection)
                connection.dial(self._address)
                await connection.ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._connection = None
            connection.close()
        return connection.channel.close_reason, connection.is_accepted

    async def _keep_alive(self, connection: '_Connection') -> None:
        await connection.connected.wait()
        channel = connection.channel
        connection.send_hello(self._hello())
        while not channel.close_reason:
            await anyio.sleep(HEARTBEAT_INTERVAL.total_seconds() / 2)
            if channel.is_timed_out() and not connection.is_delivering:
                connection.end('silent')
            elif connection.is_accepted and connection.is_heartbeat_due():
                channel.send_heartbeat(self._log_position())
        connection.ended.set()

    async def _read(self, connection: '_Connection') -> None:
        while True:
            await anyio.wait_readable(connection.socket.recv_fd)
            for payload in connection.read():
                await self._receive(connection, payload)

    async def _receive(self, connection: '_Connection', payload: bytes) -> None:
        if connection.channel.close_reason:
            return
        try:
            received = connection.channel.receive(payload)
        except (LinkError, MessageError) as error:
            connection.end(describe_failure(error))
            return
        connection.is_delivering = True
        for message in received:
            await self._deliver(connection, message)
        connection.is_delivering = False

    async def _deliver(self, connection: '_Connection', message: Any) -> None:
        if isinstance(message, messages.Welcome):
            await self._welcome(connection, message)
            return
        if not connection.is_accepted:
            connection.end('unexpected message before Welcome')
            return
        if isinstance(message, messages.Heartbeat):
            self._observe_clock(message.clock_s)
        try:
            # Much cheaper than send(), which is needed only if the buffer is
            # full.
            self._event_sender.send_nowait(message)
        except anyio.WouldBlock:
            await self._event_sender.send(message)

    async def _welcome(
        self,
        connection: '_Connection',
        welcome: messages.Welcome,
    ) -> None:
        if welcome.protocol_version != messages.PROTOCOL_VERSION:
            connection.end('unsupported protocol version')
            return
        is_new = welcome.incarnation != self._incarnation
        if is_new:
            self._incarnation = welcome.incarnation
            self._agent_clock_reading = (
                welcome.clock_s,
                self._clock.monotonic_s(),
            )
        self._observe_clock(welcome.clock_s)
        self._back_off_s = MIN_BACK_OFF.total_seconds()
        connection.channel.peer_clock_s = welcome.clock_s
        connection.is_accepted = True
        self._recorder.emit(
            'link_up',
            address=str(self._address),
            target=welcome.target_id,
            incarnation=welcome.incarnation,
        )
        await self._event_sender.send(LinkUp(welcome, is_new))

    def _observe_clock(self, clock_s: float) -> None:
        if clock_s > self.agent_clock_s():
            self._agent_clock_reading = (clock_s, self._clock.monotonic_s())


@final
class _Connection:
    """A socket and its only connection."""

    def __init__(self, clock: Clock, recorder: Recorder) -> None:
        self.is_accepted = False
        self.is_delivering = False
        self.connected = anyio.Event()
        self.ended = anyio.Event()
        self.socket = open_socket(polyamorous=False)
        self.channel = Channel(self._transmit, clock, recorder, ENTRY_END)
        self._clock = clock
        self._heartbeat_at_s = clock.monotonic_s()
        self._pipe_id: int | None = None
        self._is_pipe_closed = False
        self._loop = asyncio.get_running_loop()

    @property
    def is_usable(self) -> bool:
        """Whether messages can be sent."""
        is_closed = self._is_pipe_closed or bool(self.channel.close_reason)
        return self.is_accepted and not is_closed

    def dial(self, address: Address) -> None:
        """Connect in the background; gives up after PEER_TIMEOUT."""
        # The callbacks run in threads of nng and hold a lock that is needed
        # for reading, so they must not wait for the event loop.
        self.socket.add_pre_pipe_connect_cb(self._accept_pipe)
        self.socket.add_post_pipe_connect_cb(self._on_connected)
        self.socket.add_post_pipe_remove_cb(self._on_removed)
        self.socket.reconnect_time_min = int(
            MIN_BACK_OFF.total_seconds() * 1000,
        )
        self.socket.dial(f'tcp://{address}', block=False)
        self._loop.call_later(
            PEER_TIMEOUT.total_seconds(),
            self._check_accepted,
        )

    def send_hello(self, hello: messages.Hello) -> None:
        """Send Hello as the first message; a failure ends the connection."""
        try:
            self.channel.send(hello)
        except LinkClosed as error:
            self.end(str(error))

    def end(self, reason: str) -> None:
        """Stop using the connection.

        :param reason: close reason; ignored if the connection has one already.
        """
        self.channel.close(reason)
        self.ended.set()

    def close(self) -> None:
        """Close the connection and its socket, which must not be read now."""
        self.end('closed')
        self.socket.close()

    def read(self) -> list[bytes]:
        """Return the received messages, up to MAX_MESSAGES_PER_READ."""
        payloads: list[bytes] = []
        while len(payloads) < MAX_MESSAGES_PER_READ:
            try:
                payloads.append(self.socket.recv(block=False))
            except pynng.NNGException:
                break
        return payloads

    def is_heartbeat_due(self) -> bool:
        """Tell whether a heartbeat is due; True once per interval."""
        now_s = self._clock.monotonic_s()
        if now_s - self._heartbeat_at_s < HEARTBEAT_INTERVAL.total_seconds():
            return False
        self._heartbeat_at_s = now_s
        return True

    def _transmit(self, payload: bytes) -> None:
        if self._is_pipe_closed:
            raise LinkClosed('closed')
        self.socket.send(payload, block=False)

    def _accept_pipe(self, pipe: pynng.Pipe) -> None:
        if self._pipe_id is None:
            self._pipe_id = pipe.id
        else:
            pipe.close()

    def _on_connected(self, pipe: pynng.Pipe) -> None:
        self._loop.call_soon_threadsafe(self.connected.set)

    def _on_removed(self, pipe: pynng.Pipe) -> None:
        self._is_pipe_closed = True
        self._loop.call_soon_threadsafe(self.end, 'closed')

    def _check_accepted(self) -> None:
        if not self.is_accepted:
            self.end('timed out waiting for Welcome')
