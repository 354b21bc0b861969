"""Links, listeners and messages, created as the programs create them."""

import os
import random
import socket
from contextlib import ExitStack, suppress
from typing import Any, Final

import anyio

from peridotrill import messages
from peridotrill.clock import SystemClock
from peridotrill.exceptions import LinkClosed
from peridotrill.link import AgentLink
from peridotrill.link_listener import LinkListener
from peridotrill.settings import Address
from peridotrill.timeline import Recorder

_clock: Final = SystemClock()
_RECORDER_CAPACITY: Final = 256
_HOSTS: Final = 64_000
_HOSTS_PER_BYTE: Final = 250


def free_ports(count: int) -> list[Address]:
    """Return unused loopback addresses.

    Each process uses its own IP address, because connections of other
    processes may take a port of 127.0.0.1 before it is used.
    """
    high, low = divmod(os.getpid() % _HOSTS, _HOSTS_PER_BYTE)
    host = f'127.1.{high}.{low + 1}'
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bind(probe, host) for probe in probes]


def _bind(probe: socket.socket, host: str) -> Address:
    probe.bind((host, 0))
    return Address(host, probe.getsockname()[1])


def make_hello(
    entry_id: str,
    registered: int = 0,
    homes: int = 0,
) -> messages.Hello:
    """Return a Hello message.

    :param registered: number of registered entries in the message.
    :param homes: number of home targets in the message.
    """
    entries = [
        messages.EntryRef(f'entry-z1-{number:04}', f'{number:016x}')
        for number in range(registered)
    ]
    targets = [f'assistant-{number:04}' for number in range(homes)]
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        entry_id,
        f'{1:016x}',
        'z1',
        entries,
        [],
        log_offset=1000,
        placements={'assistant': [messages.PlacementRef(900, targets, 5)]},
    )


def make_link(address: Address, entry_id: str) -> AgentLink:
    """Return a link that is not connected yet."""
    recorder = Recorder(entry_id, _clock, _RECORDER_CAPACITY)
    hello = make_hello(entry_id)
    return AgentLink.from_config(address, lambda: hello, _clock, recorder)


def make_listener(address: Address) -> LinkListener:
    """Return a listener that does not listen yet."""
    recorder = Recorder('agent', _clock, _RECORDER_CAPACITY)
    return LinkListener.from_config(
        address,
        lambda: messages.Welcome(
            messages.PROTOCOL_VERSION,
            str(address),
            'assistant',
            'engine',
            'z1',
            f'{2:032x}',
            _clock.monotonic_s(),
            ready=True,
            draining=False,
            ledger='complete',
        ),
        _clock,
        recorder,
    )


def make_start(attempt_id: str, chunks_per_s: int = 0) -> messages.StartAttempt:
    """Return a StartAttempt message.

    :param chunks_per_s: rate of an endless streaming answer; 0 for an answer
        without streaming.
    """
    return messages.StartAttempt(
        attempt_id,
        f'{3:032x}',
        'assistant',
        'team-0001',
        'POST',
        '/v1/chat/completions',
        [('content-type', 'application/json')],
        body=b'{"messages": []}' * 32,
        streaming=chunks_per_s > 0,
        idempotent=True,
        key_digest=b'',
        request_digest=b'd' * 32,
        caller_key=False,
        retention_s=900,
        priority=chunks_per_s,
        start_before_s=1e12,
        timeout_s=60,
        resume_position=0,
        placement_version=0,
    )


def make_report(prefixes: int = 0) -> messages.LoadReport:
    """Return a load report.

    :param prefixes: number of cached prefixes in the report.
    """
    return messages.LoadReport(
        _clock.monotonic_s(),
        ready=True,
        draining=False,
        running_requests=190,
        waiting_requests=4,
        running_tokens=410_000,
        waiting_tokens=9000,
        free_pieces=310,
        total_pieces=1024,
        piece_tokens=2000,
        role='decode',
        models=['season-summariser'],
        adapters=['buyer-terms'],
        cached_prefixes=[2**63 + number for number in range(prefixes)],
    )


async def report_load(listener: LinkListener, reports_per_s: float) -> None:
    """Send load reports to all peers until cancelled."""
    if not reports_per_s:
        return
    await anyio.sleep(random.random() / reports_per_s)
    while True:
        for peer_id in listener.peer_ids:
            with suppress(LinkClosed):
                listener.send(peer_id, make_report())
        await anyio.sleep(1 / reports_per_s)


async def discard_events(events: Any) -> None:
    """Receive and discard events until the stream ends."""
    async for _ in events:
        await anyio.lowlevel.checkpoint()


async def wait_until_up(links: list[AgentLink]) -> None:
    """Wait until every link has received the Welcome message."""
    with anyio.fail_after(30):
        while not all(link.is_up for link in links):
            await anyio.sleep(0.1)
