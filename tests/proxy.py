"""TCP proxy that injects faults into connections.

All proxies of a test run in one event loop in a separate thread, so that
tests can switch faults from blocking code.
"""

import math
from contextlib import contextmanager

import anyio
from anyio.from_thread import start_blocking_portal

TO_TARGET = 'to_target'
TO_CLIENT = 'to_client'
BOTH = frozenset((TO_TARGET, TO_CLIENT))
# Longest delay until a released direction is noticed; well below all timeouts.
POLL_INTERVAL_S = 0.005
CHUNK_BYTES = 65536
_CLOSED = (
    anyio.EndOfStream,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


class Connection:
    """Both sides of one proxied connection."""

    def __init__(self, client, target, held):
        self.sides = {TO_TARGET: (client, target), TO_CLIENT: (target, client)}
        self.held = set(held)
        self.scope = anyio.CancelScope()

    async def close(self):
        for stream in self.sides[TO_TARGET]:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


class Proxy:
    """Forwards connections to ``target``, a ``(host, port)`` pair.

    While ``recording`` is set, bytes from clients are appended to
    ``recorded``. Held bytes are neither lost nor reordered: they arrive when
    the direction is released, as retransmitted segments do after a partition.
    """

    def __init__(self, target, portal):
        self.target = target
        self.address = None
        self.delay_s = 0.0
        self.refusing = False
        self.dropping_answers = False
        self.dropped_answers = 0
        self.recording = False
        self.recorded = bytearray()
        self._held_for_new = set()
        self._connections = set()
        self._portal = portal

    def cut(self, refuse=True):
        """Close all connections and, with ``refuse``, every new one."""
        self.refusing = refuse
        self._portal.call(self._close_connections)

    def hold(self, directions=BOTH, existing=True, new=True):
        """Keep connections open but hold all bytes back.

        A single direction simulates a one-way partition. With ``new=False``,
        only the open connections are held.
        """
        if new:
            self._held_for_new |= set(directions)
        if existing:
            for connection in list(self._connections):
                connection.held |= set(directions)

    def drop_answers(self):
        """Forward requests, but close instead of forwarding a response."""
        self.dropping_answers = True

    def heal(self):
        """Switch off all faults and release the held bytes."""
        self.refusing = self.dropping_answers = False
        self.delay_s = 0.0
        self._held_for_new.clear()
        for connection in list(self._connections):
            connection.held.clear()

    @property
    def connection_count(self):
        return len(self._connections)

    async def serve(self, *, task_status):
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', backlog=256
        )
        self.address = listener.extra(anyio.abc.SocketAttribute.local_address)
        task_status.started()
        await listener.serve(self._handle)

    async def _handle(self, client):
        if self.refusing:
            await anyio.aclose_forcefully(client)
            return
        try:
            target = await anyio.connect_tcp(*self.target)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        connection = Connection(client, target, self._held_for_new)
        self._connections.add(connection)
        try:
            with connection.scope:
                async with anyio.create_task_group() as tasks:
                    for direction in BOTH:
                        tasks.start_soon(self._relay, connection, direction)
        finally:
            self._connections.discard(connection)
            await connection.close()

    async def _relay(self, connection, direction):
        send, receive = anyio.create_memory_object_stream(math.inf)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward, connection, direction, receive)
            source = connection.sides[direction][0]
            try:
                while True:
                    chunk = await source.receive(CHUNK_BYTES)
                    if self.recording and direction == TO_TARGET:
                        self.recorded += chunk
                    due_s = anyio.current_time() + self.delay_s
                    send.send_nowait((due_s, chunk))
            except _CLOSED:
                send.close()

    async def _forward(self, connection, direction, chunks):
        sink = connection.sides[direction][1]
        try:
            async for due_s, chunk in chunks:
                await anyio.sleep_until(due_s)
                await self._wait_released(connection, direction)
                if self.dropping_answers and direction == TO_CLIENT:
                    self.dropped_answers += 1
                    connection.scope.cancel()
                    return
                await sink.send(chunk)
            await self._wait_released(connection, direction)
            await sink.send_eof()
        except _CLOSED:
            connection.scope.cancel()

    async def _wait_released(self, connection, direction):
        while direction in connection.held:
            await anyio.sleep(POLL_INTERVAL_S)

    async def _close_connections(self):
        for connection in list(self._connections):
            connection.scope.cancel()


class ProxyLoop:
    """Starts and stops proxies in the shared event loop."""

    def __init__(self, portal):
        self._portal = portal
        self._futures = []

    def start(self, target):
        proxy = Proxy(target, self._portal)
        future, _ = self._portal.start_task(proxy.serve)
        self._futures.append(future)
        return proxy

    def stop(self):
        for future in self._futures:
            future.cancel()


@contextmanager
def run_proxies():
    with start_blocking_portal() as portal:
        loop = ProxyLoop(portal)
        try:
            yield loop
        finally:
            loop.stop()
