"""Fault-injecting proxies that are spread over several processes.

A proxy spends several hundred microseconds on each chunk, so that one event
loop would be saturated by the tokens of a deployment and delay all answers.
"""

import itertools
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from multiprocessing.managers import BaseManager
from typing import Any, Final

from anyio.from_thread import start_blocking_portal

from tests.processes import _kill_with_parent as end_with_parent
from tests.proxy import Proxy, ProxyLoop

_HOSTS: Final = 6


class CountingStream:
    """Counts the bytes that a proxy reads from one side."""

    def __init__(self, stream: Any, proxy: 'CountingProxy') -> None:
        """:param stream: all other calls go to it."""
        self._stream = stream
        self._proxy = proxy

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the stream itself."""
        return getattr(self._stream, name)

    async def receive(self, size: int) -> bytes:
        """Receive and count bytes."""
        chunk = await self._stream.receive(size)
        self._proxy.byte_count += len(chunk)
        return chunk


class CountingProxy(Proxy):
    """Counts the bytes of both directions; keeps its delay when healed."""

    def __init__(self, target: Any, portal: Any) -> None:
        """:param target: host and port."""
        super().__init__(target, portal)
        self.byte_count = 0
        self.usual_delay_s = 0.0

    def heal(self) -> None:
        """Switch all faults off."""
        super().heal()
        self.delay_s = self.usual_delay_s

    def set_usual_delay(self, delay_s: float) -> None:
        """Set the delay that holds without faults."""
        self.usual_delay_s = delay_s
        self.delay_s = delay_s

    def count_bytes(self) -> int:
        """Return the bytes of both directions so far."""
        return self.byte_count

    async def _pump(self, connection: Any, direction: str) -> None:
        source, sink = connection.sides[direction]
        counted = CountingStream(source, self)
        connection.sides[direction] = (counted, sink)
        await super()._pump(connection, direction)


class CountingLoop(ProxyLoop):
    """Starts proxies that count."""

    def start(self, target: Any) -> CountingProxy:
        """Start a proxy in front of a host and port."""
        proxy = CountingProxy(target, self._portal)
        future, _ = self._portal.start_task(proxy.serve)
        self._futures.append(future)
        return proxy


class Host:
    """The proxies of one process."""

    def __init__(self) -> None:
        """Start the event loop; it ends with the process."""
        self._stack = ExitStack()
        portal = self._stack.enter_context(start_blocking_portal())
        self._loop = CountingLoop(portal)
        self._proxies: list[CountingProxy] = []

    def start(self, target: tuple[str, int]) -> tuple[int, tuple[str, int]]:
        """Start a proxy; returns its number and its address."""
        proxy = self._loop.start(target)
        self._proxies.append(proxy)
        return len(self._proxies) - 1, proxy.address

    def call(self, number: int, name: str, **arguments: Any) -> Any:
        """Call a method of a proxy."""
        return getattr(self._proxies[number], name)(**arguments)


class HostManager(BaseManager):
    """Runs a host in a process of its own."""


HostManager.register('Host', Host)


class RemoteProxy:
    """A proxy in another process."""

    def __init__(self, host: Any, number: int, address: Any) -> None:
        """:param number: of the proxy at its host."""
        self.address = address
        self._host = host
        self._number = number

    def heal(self) -> None:
        """Switch all faults off."""
        self._host.call(self._number, 'heal')

    def hold(self, new: bool = True) -> None:
        """Let no bytes through; open connections only without ``new``."""
        self._host.call(self._number, 'hold', new=new)

    def silence(self) -> None:
        """Let no bytes through the connections that are open now."""
        self.hold(new=False)

    def cut(self) -> None:
        """Close all connections, also new ones."""
        self._host.call(self._number, 'cut')

    def drop_answers(self) -> None:
        """Deliver requests, then close in place of the answer."""
        self._host.call(self._number, 'drop_answers')

    def set_usual_delay(self, delay_s: float) -> None:
        """Set the delay that holds without faults."""
        self._host.call(self._number, 'set_usual_delay', delay_s=delay_s)

    def byte_count(self) -> int:
        """Return the bytes of both directions so far."""
        return self._host.call(self._number, 'count_bytes')


class RemoteLoop:
    """Starts proxies at each host in turn."""

    def __init__(self, hosts: list[Any]) -> None:
        """:param hosts: one in each process."""
        self._hosts = itertools.cycle(hosts)

    def start(self, target: tuple[str, int]) -> RemoteProxy:
        """Start a proxy in front of a host and port."""
        host = next(self._hosts)
        number, address = host.start(tuple(target))
        return RemoteProxy(host, number, tuple(address))


@contextmanager
def run_hosts() -> Iterator[RemoteLoop]:
    """Yield a loop of proxies whose processes end with the block."""
    with ExitStack() as stack:
        hosts = []
        for _ in range(_HOSTS):
            manager = HostManager()
            manager.start(initializer=end_with_parent)
            stack.callback(manager.shutdown)
            hosts.append(manager.Host())  # type: ignore[attr-defined]
        yield RemoteLoop(hosts)
