"""Fault-injecting proxies, distributed over several processes.

A proxy takes several hundred microseconds per chunk: the tokens of a
deployment would saturate a single event loop and delay all answers.
"""

import itertools
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from multiprocessing.managers import BaseManager
from typing import Any, Final

from anyio.from_thread import start_blocking_portal

from tests.processes import _kill_with_parent as end_with_parent
from tests.proxy import Proxy, ProxyLoop

_HOST_COUNT: Final = 6


class CountingStream:
    """Counts the bytes that a proxy reads from one side."""

    def __init__(self, stream: Any, proxy: 'CountingProxy') -> None:
        """:param stream: handles all other calls."""
        self._stream = stream
        self._proxy = proxy

    def __getattr__(self, name: str) -> Any:
        """Delegate to the wrapped stream."""
        return getattr(self._stream, name)

    async def receive(self, size: int) -> bytes:
        """Receive and count bytes."""
        chunk = await self._stream.receive(size)
        self._proxy.byte_count += len(chunk)
        return chunk


class CountingProxy(Proxy):
    """Counts the bytes of both directions; ``heal`` keeps the usual delay."""

    def __init__(self, target: Any, portal: Any) -> None:
        """:param target: host and port."""
        super().__init__(target, portal)
        self.byte_count = 0
        self.usual_delay_s = 0.0

    def heal(self) -> None:
        """Clear all faults."""
        super().heal()
        self.delay_s = self.usual_delay_s

    def set_usual_delay(self, delay_s: float) -> None:
        """Set the delay in the absence of faults."""
        self.usual_delay_s = delay_s
        self.delay_s = delay_s

    def count_bytes(self) -> int:
        """Return the number of bytes in both directions so far."""
        return self.byte_count

    async def _relay(self, connection: Any, direction: str) -> None:
        source, sink = connection.sides[direction]
        counted = CountingStream(source, self)
        connection.sides[direction] = (counted, sink)
        await super()._relay(connection, direction)


class CountingLoop(ProxyLoop):
    """Event loop of byte-counting proxies."""

    def start(self, target: Any) -> CountingProxy:
        """Start a proxy for a target, given as host and port."""
        proxy = CountingProxy(target, self._portal)
        future, _ = self._portal.start_task(proxy.serve)
        self._futures.append(future)
        return proxy


class Host:
    """Runs proxies in its process; called from other processes."""

    def __init__(self) -> None:
        """Start the event loop, which runs until the process ends."""
        self._stack = ExitStack()
        portal = self._stack.enter_context(start_blocking_portal())
        self._loop = CountingLoop(portal)
        self._proxies: list[CountingProxy] = []

    def start(self, target: tuple[str, int]) -> tuple[int, tuple[str, int]]:
        """Start a proxy; returns its index and address."""
        proxy = self._loop.start(target)
        self._proxies.append(proxy)
        return len(self._proxies) - 1, proxy.address

    def call(self, number: int, name: str, **arguments: Any) -> Any:
        """Call a method of a proxy by name."""
        return getattr(self._proxies[number], name)(**arguments)


class HostManager(BaseManager):
    """Manager that runs a host in a separate process."""


HostManager.register('Host', Host)


class RemoteProxy:
    """Client of a proxy that runs in another process."""

    def __init__(self, host: Any, number: int, address: Any) -> None:
        """:param number: index of the proxy at its host."""
        self.address = address
        self._host = host
        self._number = number

    def heal(self) -> None:
        """Clear all faults."""
        self._host.call(self._number, 'heal')

    def hold(self, new: bool = True) -> None:
        """Block all bytes; with ``new=False`` on open connections only."""
        self._host.call(self._number, 'hold', new=new)

    def silence(self) -> None:
        """Block all bytes on the connections that are open now."""
        self.hold(new=False)

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._host.call(self._number, 'cut')

    def drop_answers(self) -> None:
        """Deliver requests, but close the connection instead of answering."""
        self._host.call(self._number, 'drop_answers')

    def set_usual_delay(self, delay_s: float) -> None:
        """Set the delay in the absence of faults."""
        self._host.call(self._number, 'set_usual_delay', delay_s=delay_s)

    def byte_count(self) -> int:
        """Return the number of bytes in both directions so far."""
        return self._host.call(self._number, 'count_bytes')


class RemoteLoop:
    """Distributes new proxies over the hosts by round robin."""

    def __init__(self, hosts: list[Any]) -> None:
        """:param hosts: one for each process."""
        self._hosts = itertools.cycle(hosts)

    def start(self, target: tuple[str, int]) -> RemoteProxy:
        """Start a proxy for a target, given as host and port."""
        host = next(self._hosts)
        number, address = host.start(tuple(target))
        return RemoteProxy(host, number, tuple(address))


@contextmanager
def run_proxy_hosts() -> Iterator[RemoteLoop]:
    """Yield a proxy loop; its host processes end with the block."""
    with ExitStack() as stack:
        hosts = []
        for _ in range(_HOST_COUNT):
            manager = HostManager()
            manager.start(initializer=end_with_parent)
            stack.callback(manager.shutdown)
            hosts.append(manager.Host())  # type: ignore[attr-defined]
        yield RemoteLoop(hosts)
