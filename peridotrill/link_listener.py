"""Agent side of the links, with one socket for all entries."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple, Self, final

import anyio
import pynng
from anyio.streams.memory import MemoryObjectReceiveStream

from peridotrill import messages
from peridotrill.channel import (
    AGENT_END,
    HEARTBEAT_INTERVAL,
    MAX_QUEUED_EVENTS,
    Channel,
    LogPosition,
    describe_failure,
    open_socket,
)
from peridotrill.clock import Clock
from peridotrill.exceptions import LinkClosed, LinkError, MessageError
from peridotrill.settings import Address
from peridotrill.timeline import Recorder

# Messages that are read before other tasks may run.
MAX_MESSAGES_PER_READ: Final = 64


class PeerUp(NamedTuple):
    """Event: the connection of an entry was accepted with Welcome."""

    peer_id: int
    hello: messages.Hello


class PeerDown(NamedTuple):
    """Event: the connection of a peer has ended."""

    peer_id: int
    reason: str


class PeerMessage(NamedTuple):
    """Event: a connected peer has sent a message."""

    peer_id: int
    message: Any


@final
class LinkListener:
    """Accepts the connections of entries."""

    def __init__(
        self,
        address: Address,
        welcome: Callable[[], messages.Welcome],
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Initialize a listener that does not listen yet.

        :param welcome: returns the response to a Hello.
        """
        sending, receiving = anyio.create_memory_object_stream[Any](
            MAX_QUEUED_EVENTS
        )
        self.events: MemoryObjectReceiveStream[Any] = receiving
        self._event_sender = sending
        self._address = address
        self._welcome = welcome
        self._clock = clock
        self._recorder = recorder
        self._peers: dict[int, _Peer] = {}
        self._newest_log_position = (0, float('-inf'))

    @classmethod
    def from_config(
        cls,
        address: Address,
        welcome: Callable[[], messages.Welcome],
        clock: Clock,
        recorder: Recorder,
    ) -> Self:
        """Create a listener that does not listen yet.

        :param address: address to listen on.
        :param welcome: returns the response to a Hello.
        """
        return cls(address, welcome, clock, recorder)

    @property
    def peer_ids(self) -> list[int]:
        """Ids of the accepted connections that have not ended."""
        return [key for key, peer in self._peers.items() if peer.is_usable]

    def send(self, peer_id: int, message: Any) -> None:
        """Send a message to a peer.

        Raises LinkClosed if the connection has ended.

        :param peer_id: id from PeerUp, unique per connection.
        """
        peer = self._peers.get(peer_id)
        if peer is None or not peer.is_usable:
            raise LinkClosed('connection has ended')
        peer.channel.send(message)

    def log_position(self) -> LogPosition:
        """Return the newest log position that an entry has reported."""
        offset, read_s = self._newest_log_position
        return LogPosition(offset, self._clock.monotonic_s() - read_s)

    async def run(self) -> None:
        """Accept connections until the task is cancelled.

        Raises LinkError if the address cannot be listened on.
        """
        socket = open_socket(polyamorous=True)
        loop = asyncio.get_running_loop()
        # The callbacks run in threads of nng and hold a lock that is needed
        # for reading, so they must not wait for the event loop.
        socket.add_post_pipe_connect_cb(
            lambda pipe: loop.call_soon_threadsafe(self._get_or_add_peer, pipe),
        )
        socket.add_post_pipe_remove_cb(
            lambda pipe: loop.call_soon_threadsafe(self._on_removed, pipe.id),
        )
        try:
            socket.listen(f'tcp://{self._address}')
        except pynng.NNGException as error:
            socket.close()
            raise LinkError(f'listening failed: {error}') from error
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._check_peers)
                await self._read(socket)
        finally:
            socket.close()
            self._peers.clear()

    async def _read(self, socket: pynng.Socket) -> None:
        while True:
            await anyio.wait_readable(socket.recv_fd)
            for pipe, payload in _read_socket(socket):
                await self._receive(pipe, payload)

    async def _receive(self, pipe: pynng.Pipe, payload: bytes) -> None:
        peer = self._get_or_add_peer(pipe)
        if peer.channel.close_reason:
            return
        try:
            received = peer.channel.receive(payload)
        except (LinkError, MessageError) as error:
            peer.channel.close(describe_failure(error))
            await self._close_peer(peer)
            return
        for entry in received:
            await self._deliver(peer, entry)

    async def _deliver(self, peer: '_Peer', entry: Any) -> None:
        if peer.channel.close_reason:
            return
        if peer.hello is None:
            await self._handle_hello(peer, entry)
            return
        if isinstance(entry, messages.Heartbeat):
            self._observe_log(entry.log_offset, entry.log_age_s)
            return
        await self._event_sender.send(PeerMessage(peer.peer_id, entry))

    async def _handle_hello(self, peer: '_Peer', entry: Any) -> None:
        if not isinstance(entry, messages.Hello):
            peer.channel.close('unexpected message before Hello')
            await self._close_peer(peer)
            return
        if entry.protocol_version != messages.PROTOCOL_VERSION:
            peer.channel.close('unsupported protocol version')
            await self._close_peer(peer)
            return
        for older in list(self._peers.values()):
            if older.is_same_entry(entry):
                older.channel.close('replaced by a newer connection')
                await self._close_peer(older)
        try:
            peer.channel.send(self._welcome())
        except LinkClosed:
            await self._close_peer(peer)
            return
        peer.hello = entry
        self._recorder.emit(
            'peer_up',
            peer=peer.peer_id,
            entry=entry.entry_id,
            incarnation=entry.incarnation,
        )
        await self._event_sender.send(PeerUp(peer.peer_id, entry))

    def _get_or_add_peer(self, pipe: pynng.Pipe) -> '_Peer':
        known = self._peers.get(pipe.id)
        if known is not None:
            return known
        peer = _Peer(pipe, self._clock, self._recorder)
        self._peers[peer.peer_id] = peer
        return peer

    def _on_removed(self, peer_id: int) -> None:
        peer = self._peers.get(peer_id)
        if peer is not None:
            peer.channel.close('closed')

    async def _check_peers(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL.total_seconds())
            position = self.log_position()
            for peer in list(self._peers.values()):
                await self._check_peer(peer, position)

    async def _check_peer(self, peer: '_Peer', position: LogPosition) -> None:
        is_timed_out = peer.channel.is_timed_out()
        if peer.is_closed:
            # Messages may arrive after the connection was closed, so the peer
            # is removed only once nothing was received for a while.
            if is_timed_out:
                self._peers.pop(peer.peer_id, None)
            return
        if is_timed_out:
            peer.channel.close('silent')
        if peer.hello is not None:
            peer.channel.send_heartbeat(position)
        if peer.channel.close_reason:
            await self._close_peer(peer)

    async def _close_peer(self, peer: '_Peer') -> None:
        if peer.is_closed:
            return
        peer.close_pipe()
        self._recorder.emit(
            'peer_down',
            peer=peer.peer_id,
            entry=peer.hello.entry_id if peer.hello else None,
            reason=peer.channel.close_reason,
        )
        if peer.hello is not None:
            await self._event_sender.send(
                PeerDown(peer.peer_id, peer.channel.close_reason),
            )

    def _observe_log(self, offset: int, age_s: float) -> None:
        read_s = self._clock.monotonic_s() - age_s
        known_offset, known_s = self._newest_log_position
        self._newest_log_position = (
            max(known_offset, offset),
            max(known_s, read_s),
        )


@final
class _Peer:
    """Connection of an entry."""

    def __init__(
        self,
        pipe: pynng.Pipe,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        self.peer_id: int = pipe.id
        self.hello: messages.Hello | None = None
        self.is_closed = False
        self._pipe = pipe
        self.channel = Channel(self._transmit, clock, recorder, AGENT_END)

    @property
    def is_usable(self) -> bool:
        """Whether messages can be sent."""
        return self.hello is not None and not self.channel.close_reason

    def is_same_entry(self, hello: messages.Hello) -> bool:
        """Tell whether a Hello comes from the same entry process."""
        own = self.hello
        return (
            own is not None
            and own.entry_id == hello.entry_id
            and own.incarnation == hello.incarnation
        )

    def close_pipe(self) -> None:
        """Close the pipe, which the transport may have closed already."""
        self.is_closed = True
        try:
            self._pipe.close()
        except pynng.NNGException:
            return

    def _transmit(self, payload: bytes) -> None:
        outgoing = pynng.Message(payload, self._pipe)
        self._pipe.socket.send_msg(outgoing, block=False)


def _read_socket(socket: pynng.Socket) -> list[tuple[pynng.Pipe, bytes]]:
    received: list[tuple[pynng.Pipe, bytes]] = []
    while len(received) < MAX_MESSAGES_PER_READ:
        try:
            incoming = socket.recv_msg(block=False)
        except pynng.NNGException:
            break
        if incoming.pipe is not None:
            received.append((incoming.pipe, incoming.bytes))
    return received
