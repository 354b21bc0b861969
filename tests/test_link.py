from contextlib import asynccontextmanager

import anyio
import pynng
import pytest

from peridotrill import messages
from peridotrill.clock import SystemClock
from peridotrill.exceptions import LinkClosed
from peridotrill.link import AgentLink, LinkDown, LinkUp
from peridotrill.link_listener import (
    LinkListener,
    PeerDown,
    PeerMessage,
    PeerUp,
)
from peridotrill.settings import Address
from peridotrill.timeline import Recorder
from tests import builders
from tests.processes import free_port

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class LinkHarness:
    def __init__(self):
        self.clock = SystemClock()
        self.address = Address('127.0.0.1', free_port())
        self.listener = self.make_listener()
        self.link = AgentLink.from_config(
            self.address,
            lambda: builders.hello(offset=42),
            self.clock,
            Recorder('entry', self.clock),
        )

    def make_listener(self, incarnation='a1'):
        return LinkListener.from_config(
            self.address,
            lambda: builders.welcome(incarnation, self.clock.monotonic_s()),
            self.clock,
            Recorder('agent', self.clock),
        )


async def receive(stream, kind):
    with anyio.fail_after(10):
        while True:
            found = await stream.receive()
            if isinstance(found, kind):
                return found


@asynccontextmanager
async def running(*services):
    async with anyio.create_task_group() as tasks:
        for service in services:
            tasks.start_soon(service.run)
        yield
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def raw_socket(address):
    # A blocking dial() would block the event loop.
    peer = pynng.Pair1(recv_buffer_size=64, send_buffer_size=64)
    peer.dial(f'tcp://{address}', block=False)
    try:
        yield peer
    finally:
        peer.close()


def batch(sequence, *entries):
    return messages.encode_batch(messages.Batch(sequence, 0, list(entries)))


async def test_bursts_arrive_complete_and_in_order():
    # Guards against polyamorous sockets that drop batches of a burst.
    harness = LinkHarness()
    async with running(harness.listener, harness.link):
        up = await receive(harness.listener.events, PeerUp)
        assert (await receive(harness.link.events, LinkUp)).is_new_incarnation
        for position in range(2000):
            kind = messages.AttemptChunk('x', position, b'y')
            if position % 3 == 0:
                kind = messages.AttemptStarted(str(position), False)
            harness.listener.send(up.peer_id, kind)
            if position % 50 == 0:
                await anyio.sleep(0)
        received = []
        while len(received) < 2000:
            entry = await receive(harness.link.events, tuple)
            assert not isinstance(entry, LinkDown)
            if isinstance(entry, messages.AttemptChunk):
                # Waiting chunks are joined; each byte is one sent chunk.
                end = entry.position + len(entry.payload)
                received.extend(range(entry.position, end))
            elif isinstance(entry, messages.AttemptStarted):
                received.append(int(entry.attempt_id))
        assert received == list(range(2000))
        for number in range(500):
            harness.link.send(messages.CancelAttempt(str(number), 'test'))
        for number in range(500):
            entry = await receive(harness.listener.events, PeerMessage)
            assert entry.message.attempt_id == str(number)


async def test_messages_are_not_kept_for_a_later_connection():
    # Guards against running a request after its sender was told that the
    # connection is closed.
    harness = LinkHarness()
    with pytest.raises(LinkClosed):
        harness.link.send(builders.start())
    async with running(harness.link):
        async with running(harness.listener):
            await receive(harness.link.events, LinkUp)
        sent = 0
        with anyio.fail_after(5):
            while True:
                try:
                    harness.link.send(builders.start())
                except LinkClosed:
                    break
                sent += 1
                await anyio.sleep(0)
        await receive(harness.link.events, LinkDown)
        restarted = harness.make_listener('a2')
        async with running(restarted):
            assert (
                await receive(harness.link.events, LinkUp)
            ).is_new_incarnation
            harness.link.send(messages.CancelAttempt('marker', ''))
            first = await receive(restarted.events, PeerMessage)
            assert first.message == messages.CancelAttempt('marker', '')


async def test_heartbeats_keep_an_idle_link_and_carry_the_log_offset():
    # Guards against closing idle connections.
    harness = LinkHarness()
    async with running(harness.listener, harness.link):
        await receive(harness.link.events, LinkUp)
        with anyio.move_on_after(3.2):
            await receive(harness.link.events, LinkDown)
            pytest.fail('an idle link was closed')
        assert harness.listener.log_position().offset == 42
        now_s = harness.clock.monotonic_s()
        assert now_s - 1.5 < harness.link.agent_clock_s() <= now_s


async def test_gap_and_malformed_bytes_close_only_that_connection():
    # Guards against undetected gaps, and against malformed bytes of one peer
    # that close the connections of others.
    harness = LinkHarness()
    async with running(harness.listener, harness.link):
        good = await receive(harness.listener.events, PeerUp)
        for last, reason in (
            (batch(3, messages.CancelAttempt('x', '')), 'gap'),
            (b'\xc1garbage', 'malformed'),
        ):
            async with raw_socket(harness.address) as peer:
                peer.send(batch(1, builders.hello('e2')))
                peer.send(last)
                down = await receive(harness.listener.events, PeerDown)
                assert down.peer_id != good.peer_id
                assert down.reason.startswith(reason)
        harness.link.send(messages.CancelAttempt('x', ''))
        found = await receive(harness.listener.events, PeerMessage)
        assert found.peer_id == good.peer_id


async def test_silent_entry_is_dropped_and_first_message_must_be_hello():
    # Guards against half-open connections that are never closed.
    harness = LinkHarness()
    async with running(harness.listener):
        async with raw_socket(harness.address) as peer:
            peer.send(batch(1, builders.hello('e2')))
            down = await receive(harness.listener.events, PeerDown)
            assert down.reason == 'silent'
        async with raw_socket(harness.address) as peer:
            peer.send(batch(1, builders.start()))
            peer.send(batch(2, builders.hello('e3')))
            with anyio.move_on_after(0.5):
                await receive(harness.listener.events, tuple)
                pytest.fail('a connection without Hello was accepted')


async def test_silent_agent_is_dropped_and_redialled():
    # Guards against sending on a connection whose agent does not respond.
    harness = LinkHarness()
    with pynng.Pair1(
        polyamorous=True,
        recv_buffer_size=64,
        listen=f'tcp://{harness.address}',
    ) as agent:
        async with running(harness.link):
            incoming = await anyio.to_thread.run_sync(agent.recv_msg)
            incoming.pipe.send(batch(1, builders.welcome()))
            await receive(harness.link.events, LinkUp)
            assert (await receive(harness.link.events, LinkDown)).reason == (
                'silent'
            )
            with pytest.raises(LinkClosed):
                harness.link.send(builders.start())
            while True:
                again = await anyio.to_thread.run_sync(agent.recv_msg)
                found = messages.decode_batch(again.bytes)
                if found.sequence == 1:
                    break
            again.pipe.send(batch(1, builders.welcome()))
            up = await receive(harness.link.events, LinkUp)
            assert not up.is_new_incarnation
