"""The entry's end of a link: one socket per connection to an agent.

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
    MAX_EVENTS,
    SILENCE_LIMIT,
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
# Messages read in a row before other tasks run.
MAX_READ: Final = 64


class LinkUp(NamedTuple):
    """A connection was welcomed by the agent."""

    welcome: messages.Welcome
    is_new_incarnation: bool


class LinkDown(NamedTuple):
    """The welcomed connection has ended."""

    reason: str


@final
class AgentLink:
    """Keeps one connection to an agent and dials again when it fails."""

    def __init__(
        self,
        address: Address,
        hello: Callable[[], messages.Hello],
        clock: Clock,
        recorder: Recorder,
        log_position: Callable[[], LogPosition],
    ) -> None:
        """:param hello: called for each connection."""
        sending, receiving = anyio.create_memory_object_stream[Any](MAX_EVENTS)
        self.events: MemoryObjectReceiveStream[Any] = receiving
        self._sending = sending
        self._address = address
        self._hello = hello
        self._clock = clock
        self._recorder = recorder
        self._log_position = log_position
        self._incarnation = ''
        self._agent_clock = (0.0, 0.0)
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

        :param address: where the agent listens.
        :param log_position: for heartbeats; the offset of Hello when None.
        """
        position = log_position or (lambda: LogPosition(hello().log_offset, 0))
        return cls(address, hello, clock, recorder, position)

    @property
    def is_up(self) -> bool:
        """Tell whether there is a welcomed connection."""
        connection = self._connection
        return connection is not None and connection.is_usable

    def send(self, message: Any) -> None:
        """Send on the current connection, never on a later one.

        :param message: raises LinkClosed if there is no welcomed connection
            or it does not take the message; then no byte of it has left.
            After a normal return, bytes may have left.
        """
        connection = self._connection
        if connection is None or not connection.is_usable:
            raise LinkClosed(f'no connection to {self._address}')
        connection.channel.send(message)

    def agent_clock_s(self) -> float:
        """Return the lowest value that the agent's clock can have now.

        Raises LinkClosed if the agent has not been reached yet.
        """
        if not self._incarnation:
            raise LinkClosed(f'no connection to {self._address}')
        clock_s, received_s = self._agent_clock
        elapsed_s = self._clock.monotonic_s() - received_s
        return clock_s + elapsed_s * (1 - MAX_CLOCK_DRIFT_RATIO)

    async def run(self) -> None:
        """Keep a connection until cancelled."""
        while True:
            reason, was_up = await self._run_connection()
            self._recorder.emit(
                'link_down' if was_up else 'link_not_established',
                address=str(self._address),
                reason=reason,
            )
            if was_up:
                await self._sending.send(LinkDown(reason))
            # Spreads the dials of many entries after a shared failure.
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
        return connection.channel.close_reason, connection.welcomed

    async def _keep_alive(self, connection: '_Connection') -> None:
        await connection.connected.wait()
        channel = connection.channel
        connection.send_first(self._hello())
        while not channel.close_reason:
            await anyio.sleep(HEARTBEAT_INTERVAL.total_seconds() / 2)
            if channel.is_silent() and not connection.delivering:
                connection.end('silent')
            elif connection.welcomed and connection.beat_is_due():
                channel.heartbeat(self._log_position())
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
        connection.delivering = True
        for entry in received:
            await self._deliver(connection, entry)
        connection.delivering = False

    async def _deliver(self, connection: '_Connection', entry: Any) -> None:
        if isinstance(entry, messages.Welcome):
            await self._welcome(connection, entry)
            return
        if not connection.welcomed:
            connection.end('unexpected message before Welcome')
            return
        if isinstance(entry, messages.Heartbeat):
            self._observe_clock(entry.clock_s)
        try:
            # Costs a fraction of a send that may wait.
            self._sending.send_nowait(entry)
        except anyio.WouldBlock:
            await self._sending.send(entry)

    async def _welcome(
        self,
        connection: '_Connection',
        welcome: messages.Welcome,
    ) -> None:
        if welcome.protocol_version != messages.PROTOCOL_VERSION:
            connection.end('protocol version')
            return
        is_new = welcome.incarnation != self._incarnation
        if is_new:
            self._incarnation = welcome.incarnation
            self._agent_clock = (welcome.clock_s, self._clock.monotonic_s())
        self._observe_clock(welcome.clock_s)
        self._back_off_s = MIN_BACK_OFF.total_seconds()
        connection.channel.peer_clock_s = welcome.clock_s
        connection.welcomed = True
        self._recorder.emit(
            'link_up',
            address=str(self._address),
            target=welcome.target_id,
            incarnation=welcome.incarnation,
        )
        await self._sending.send(LinkUp(welcome, is_new))

    def _observe_clock(self, clock_s: float) -> None:
        if clock_s > self.agent_clock_s():
            self._agent_clock = (clock_s, self._clock.monotonic_s())


@final
class _Connection:
    """One socket and its only connection."""

    def __init__(self, clock: Clock, recorder: Recorder) -> None:
        self.welcomed = False
        self.delivering = False
        self.connected = anyio.Event()
        self.ended = anyio.Event()
        self.socket = open_socket(polyamorous=False)
        self.channel = Channel(self._transmit, clock, recorder, ENTRY_END)
        self._clock = clock
        self._beat_s = clock.monotonic_s()
        self._pipe_id: int | None = None
        self._pipe_gone = False
        self._loop = asyncio.get_running_loop()

    @property
    def is_usable(self) -> bool:
        """Tell whether a message can be sent."""
        is_closed = self._pipe_gone or bool(self.channel.close_reason)
        return self.welcomed and not is_closed

    def dial(self, address: Address) -> None:
        """Dial in the background, for SILENCE_LIMIT at most."""
        # The callbacks run in threads of nng, hold a lock that reading needs,
        # and must therefore not wait for the event loop.
        self.socket.add_pre_pipe_connect_cb(self._accept_pipe)
        self.socket.add_post_pipe_connect_cb(self._on_connected)
        self.socket.add_post_pipe_remove_cb(self._on_removed)
        self.socket.reconnect_time_min = int(
            MIN_BACK_OFF.total_seconds() * 1000,
        )
        self.socket.dial(f'tcp://{address}', block=False)
        self._loop.call_later(
            SILENCE_LIMIT.total_seconds(),
            self._check_welcomed,
        )

    def send_first(self, hello: messages.Hello) -> None:
        """Send Hello; a failure ends the connection.

        :param hello: must be the first message.
        """
        try:
            self.channel.send(hello)
        except LinkClosed as error:
            self.end(str(error))

    def end(self, reason: str) -> None:
        """Stop using the connection.

        :param reason: the first one is kept.
        """
        self.channel.close(reason)
        self.ended.set()

    def close(self) -> None:
        """End the connection and free the socket; nothing may read it."""
        self.end('closed')
        self.socket.close()

    def read(self) -> list[bytes]:
        """Return what was received, up to MAX_READ messages."""
        payloads: list[bytes] = []
        while len(payloads) < MAX_READ:
            try:
                payloads.append(self.socket.recv(block=False))
            except pynng.NNGException:
                break
        return payloads

    def beat_is_due(self) -> bool:
        """Tell, once per interval, that a heartbeat is due."""
        now_s = self._clock.monotonic_s()
        if now_s - self._beat_s < HEARTBEAT_INTERVAL.total_seconds():
            return False
        self._beat_s = now_s
        return True

    def _transmit(self, payload: bytes) -> None:
        if self._pipe_gone:
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
        self._pipe_gone = True
        self._loop.call_soon_threadsafe(self.end, 'closed')

    def _check_welcomed(self) -> None:
        if not self.welcomed:
            self.end('not welcomed')
