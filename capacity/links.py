"""Cost of idle links and of links that carry requests."""

from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from capacity import link_fixtures, meters
from capacity.measurements import Quantities, measurement
from capacity.peers import start_peer
from peridotrill import messages
from peridotrill.agent import LOAD_INTERVAL
from peridotrill.link import AgentLink
from peridotrill.settings import parse_address

REPORTS_PER_S: Final = round(1 / LOAD_INTERVAL.total_seconds())
_WARM_UP_S: Final = 1.5
_MEASURED_S: Final = 5.0
_FIXED_LINKS: Final = 100
_STREAM_LINKS: Final = 40
_NO_REPORTS: Final = 0

_LoadFunction = Callable[[list[AgentLink]], Coroutine[Any, Any, None]]


async def _idle(_links: list[AgentLink]) -> None:
    await anyio.sleep_forever()


async def _measure_entry(
    pid: int,
    addresses: list[str],
    load: _LoadFunction,
) -> Quantities:
    counter = meters.LinkCounter()
    before_us, before_bytes = meters.cpu_now_us(), meters.resident_bytes()
    links = [
        link_fixtures.make_link(parse_address(address), 'entry-z1-0001')
        for address in addresses
    ]
    async with anyio.create_task_group() as tasks:
        for link in links:
            tasks.start_soon(link.run)
            tasks.start_soon(link_fixtures.discard_events, link.events)
        await link_fixtures.wait_until_up(links)
        connect_us = meters.cpu_now_us() - before_us
        tasks.start_soon(load, links)
        await anyio.sleep(_WARM_UP_S)
        meter = meters.Meter(counter, pid)
        await anyio.sleep(_MEASURED_S)
        quantities = meter.read()
        tasks.cancel_scope.cancel()
    quantities['resident_bytes'] -= before_bytes
    return quantities | {'connect_cpu_us': connect_us}


def _run_entry(
    role: str,
    links: int,
    load: _LoadFunction,
    reports_per_s: float = _NO_REPORTS,
) -> Quantities:
    with start_peer(role, links, reports_per_s) as (pid, addresses):
        return anyio.run(_measure_entry, pid, addresses, load)


@measurement(
    'entry_links',
    f'links of an entry, {REPORTS_PER_S} load reports/s each',
    'link, channel',
    (40, 80, 160, 240),
)
def measure_entry_links(size: int) -> Quantities:
    """Measure an entry that is linked to this many agents."""
    return _run_entry('listeners', size, _idle, REPORTS_PER_S)


@measurement(
    'load_reports',
    f'load reports/s per link, {_FIXED_LINKS} links of an entry',
    'link, channel',
    (0, 2, 4, 8),
)
def measure_load_reports(size: int) -> Quantities:
    """Measure an entry whose agents report load at this rate."""
    return _run_entry('listeners', _FIXED_LINKS, _idle, size)


async def _measure_agent(count: int) -> Quantities:
    counter = meters.LinkCounter()
    before_bytes = meters.resident_bytes()
    address = link_fixtures.free_ports(1)[0]
    listener = link_fixtures.make_listener(address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        tasks.start_soon(link_fixtures.discard_events, listener.events)
        tasks.start_soon(link_fixtures.report_load, listener, REPORTS_PER_S)
        await anyio.sleep(0.2)
        with start_peer('links', count, address) as (pid, _):
            with anyio.fail_after(30):
                while len(listener.peer_ids) < count:
                    await anyio.sleep(0.1)
            await anyio.sleep(_WARM_UP_S)
            meter = meters.Meter(counter, pid)
            await anyio.sleep(_MEASURED_S)
            quantities = meter.read()
            tasks.cancel_scope.cancel()
    quantities['resident_bytes'] -= before_bytes
    return quantities


@measurement(
    'agent_links',
    f'links of an agent, {REPORTS_PER_S} load reports/s each',
    'link_listener, channel',
    (10, 50, 100, 200),
)
def measure_agent_links(size: int) -> Quantities:
    """Measure an agent to which this many entries are linked."""
    return anyio.run(_measure_agent, size)


@measurement(
    'requests',
    f'requests/s over {_STREAM_LINKS} links',
    'link, link_listener, channel',
    (100, 200, 400, 800),
)
def measure_requests(size: int) -> Quantities:
    """Measure requests that are answered immediately with four messages."""

    async def load(links: list[AgentLink]) -> None:
        due_s = anyio.current_time()
        for number in range(10**9):
            start = link_fixtures.make_start(f'{number:032x}')
            links[number % len(links)].send(start)
            due_s += 1 / size
            await anyio.sleep(max(0, due_s - anyio.current_time()))

    return _run_entry('answering', _STREAM_LINKS, load)


async def _start_streams(
    links: list[AgentLink],
    streams: int,
    chunks_per_s: int,
) -> None:
    for number in range(streams):
        start = link_fixtures.make_start(f'{number:032x}', chunks_per_s)
        links[number % len(links)].send(start)
        # Staggers the streams, so that their chunks do not coincide.
        await anyio.sleep(1 / chunks_per_s / streams)
    await anyio.sleep_forever()


@measurement(
    'spread_chunks',
    f'answer chunks/s in batches of one, {_STREAM_LINKS} links',
    'link, link_listener, channel',
    (400, 800, 1600, 3200),
)
def measure_spread_chunks(size: int) -> Quantities:
    """Measure one stream per link, so that each batch has one chunk."""
    rate = size // _STREAM_LINKS

    async def load(links: list[AgentLink]) -> None:
        await _start_streams(links, _STREAM_LINKS, rate)

    return _run_entry('answering', _STREAM_LINKS, load)


@measurement(
    'bunched_chunks',
    'answer chunks/s in 200 batches/s of one link',
    'link, link_listener, channel',
    (2000, 4000, 8000),
)
def measure_bunched_chunks(size: int) -> Quantities:
    """Measure streams of 20 chunks/s that share one link."""

    async def load(links: list[AgentLink]) -> None:
        await _start_streams(links, size // 20, 20)

    return _run_entry('answering', 1, load)


@measurement(
    'hello_bytes',
    'registered entries listed in Hello',
    'messages',
    (5, 105, 420),
)
def measure_hello(size: int) -> Quantities:
    """Measure the size of Hello, the first message of a connection."""
    return {'bytes': _encoded_bytes(link_fixtures.make_hello('e1', size))}


@measurement(
    'hello_home_bytes',
    'home targets listed in Hello',
    'messages, placement',
    (12, 117, 820),
)
def measure_hello_homes(size: int) -> Quantities:
    """Measure the size of Hello by the placements that it lists."""
    return {'bytes': _encoded_bytes(link_fixtures.make_hello('e1', 0, size))}


@measurement(
    'load_report_bytes',
    'cached prefixes listed in a load report',
    'messages',
    (0, 64, 256),
)
def measure_load_report(size: int) -> Quantities:
    """Measure the size of a batch that holds one load report."""
    return {'bytes': _encoded_bytes(link_fixtures.make_report(size))}


def _encoded_bytes(message: messages.Hello | messages.LoadReport) -> int:
    return len(messages.encode_batch(messages.Batch(1, 1, [message])))
