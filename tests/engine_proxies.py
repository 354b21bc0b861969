"""Proxies between gateways and engines, in a process of their own.

``python -m tests.engine_proxies`` reads commands from its standard input, one
object of JSON a line, and answers each with a line. The proxies share no event
loop with the store and the faults of a load, which would slow the streams down.
"""

import json
import os
import socket
import struct
import subprocess
import sys
import threading
from contextlib import suppress
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute, SocketStream

from tests.processes import ROOT
from tests.proxy import BOTH, CHUNK_BYTES, Connection, Proxy

BACKLOG = 256
# Closing resets the connection.
LINGER_RESET = struct.pack('ii', 1, 0)


def find_ports(pid):
    """Return the local TCP ports of the sockets of a process."""
    inodes = set()
    with suppress(OSError):
        for link in Path(f'/proc/{pid}/fd').iterdir():
            with suppress(OSError):
                inodes.add(str(link.readlink()))
    ports = set()
    for row in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = row.split()
        if f'socket:[{fields[9]}]' in inodes:
            ports.add(int(fields[1].rpartition(':')[2], 16))
    return ports


class EngineProxy(Proxy):
    """Proxy to one engine, which can be cut off without a sign to either side.

    While the engine is cut off, connections stay open and carry nothing, and
    attempts to connect are not answered. While it is down, they are refused.
    """

    def __init__(self, target, port):
        super().__init__(target, portal=None)
        self._port = port
        self._is_down = False
        self._is_cut_off = False
        # Processes that are cut off while others are not.
        self._pids = set()
        # Connections that carry nothing until the gateway closes them.
        self._dead = set()
        self._changed = anyio.Event()
        self._listener = None

    async def serve(self, *, task_status):
        async with anyio.create_task_group() as tasks:
            while True:
                listener = socket.create_server(
                    ('127.0.0.1', self._port), backlog=BACKLOG
                )
                listener.setblocking(False)
                self._listener = listener
                if self.address is None:
                    self.address = listener.getsockname()
                    task_status.started()
                with listener:
                    await self._accept_until_down(listener, tasks)
                self._listener = None
                while self._is_down:
                    await self._changed.wait()

    async def go_down(self):
        """Refuse connections, as the kernel does once a process is gone."""
        self._is_down = True
        self._notify()

    async def come_up(self):
        self._is_down = False
        self._notify()

    async def cut_off(self, pid=None):
        """Hold back all bytes.

        :param pid: process of the connections; None for those of all processes.
        """
        if pid is None:
            self._is_cut_off = True
            # The kernel drops attempts to connect beyond the backlog.
            self._set_backlog(0)
            self._notify()
        else:
            self._pids.add(pid)
        for connection in self._connections_of(pid):
            connection.held |= BOTH

    async def reconnect(self, pid=None, old='resume'):
        """End a cut.

        :param old: what happens to connections from before: they ``resume``, are
            ``reset``, or stay ``silent`` until the gateway closes them.
        """
        if pid is None:
            self._is_cut_off = False
            self._set_backlog(BACKLOG)
            self._notify()
        else:
            self._pids.discard(pid)
        for connection in self._connections_of(pid):
            if old == 'resume':
                connection.held.clear()
            elif connection.held:
                if old == 'silent':
                    self._dead.add(connection)
                connection.scope.cancel()

    def _connections_of(self, pid):
        ports = None if pid is None else find_ports(pid)
        return [
            connection
            for connection in self._connections
            if ports is None or connection.port in ports
        ]

    async def _accept_until_down(self, listener, tasks):
        while not self._is_down:
            changed = self._changed
            if self._is_cut_off:
                await changed.wait()
                continue
            async with anyio.create_task_group() as accepting:
                accepting.start_soon(self._accept, listener, tasks)
                await changed.wait()
                accepting.cancel_scope.cancel()

    async def _accept(self, listener, tasks):
        """Accept connections; asyncio loses one if its accept is cancelled."""
        while True:
            await anyio.wait_readable(listener)
            with suppress(BlockingIOError):
                accepted, address = listener.accept()
                tasks.start_soon(self._serve_client, accepted, address[1])

    async def _serve_client(self, accepted, port):
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            client = await SocketStream.from_socket(accepted)
        except ValueError:
            # The client reset the connection before it was accepted.
            accepted.close()
            return
        await self._handle(client, port)

    def _set_backlog(self, size):
        if self._listener is not None:
            self._listener.listen(size)

    def _notify(self):
        self._changed.set()
        self._changed = anyio.Event()

    async def _handle(self, client, port):
        async with client:
            is_cut_off = any(port in find_ports(pid) for pid in self._pids)
            if is_cut_off or await self._relay_client(client, port):
                with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    while True:
                        await client.receive(CHUNK_BYTES)
            _reset_on_close(client)

    async def _relay_client(self, client, port):
        """Return whether the connection is dead, and not closed."""
        try:
            target = await anyio.connect_tcp(*self.target)
        except OSError:
            return False
        held = BOTH if self._is_cut_off else ()
        connection = Connection(client, target, held)
        connection.port = port
        self._connections.add(connection)
        try:
            with connection.scope:
                async with anyio.create_task_group() as tasks:
                    for direction in BOTH:
                        tasks.start_soon(self._relay, connection, direction)
        finally:
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(target)
        is_dead = connection in self._dead
        self._dead.discard(connection)
        return is_dead


def _reset_on_close(client):
    with suppress(OSError):
        client.extra(SocketAttribute.raw_socket).setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )


class _Server:
    """Executes commands; the proxies have names."""

    def __init__(self, tasks):
        self._tasks = tasks
        self._proxies = {}

    async def start(self, name, port, target_port):
        proxy = EngineProxy(('127.0.0.1', target_port), port)
        await self._tasks.start(proxy.serve)
        self._proxies[name] = proxy

    async def call(self, command):
        action = command.pop('do')
        name = command['name']
        if action == 'start':
            await self.start(**command)
            return
        proxy = self._proxies[command.pop('name')]
        await getattr(proxy, action)(**command)
        print(f'{name} {action} {command}', file=sys.stderr)


async def _serve():
    async with anyio.create_task_group() as tasks:
        server = _Server(tasks)
        async for row in anyio.wrap_file(sys.stdin):
            await server.call(json.loads(row))
            print('done', flush=True)
        tasks.cancel_scope.cancel()


class EngineProxies:
    """Starts the process of the proxies and sends it commands."""

    def __init__(self, log):
        """:param log: file for what the process writes besides its answers."""
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'tests.engine_proxies'],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            bufsize=1,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        self._calling = threading.Lock()

    def call(self, action, name, **settings):
        with self._calling:
            command = {'do': action, 'name': name, **settings}
            self.process.stdin.write(f'{json.dumps(command)}\n')
            if self.process.stdout.readline() != 'done\n':
                raise RuntimeError(f'proxies failed at {command}')


if __name__ == '__main__':
    anyio.run(_serve)
