"""Processes at the other end of measured links.

They use the real protocol. Each prints one line of JSON when it is ready and
exits when its standard input is closed.
"""

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable, Coroutine, Iterator, Sequence
from contextlib import contextmanager
from typing import Any, Final, TypeAlias

import anyio

from capacity.link_fixtures import (
    discard_events,
    free_ports,
    make_link,
    make_listener,
    report_load,
)
from peridotrill import messages
from peridotrill.exceptions import LinkClosed
from peridotrill.link_listener import LinkListener, PeerMessage
from peridotrill.registry import Registry
from peridotrill.settings import parse_address

_Role: TypeAlias = Callable[[list[str]], Coroutine[Any, Any, None]]

roles: Final[Registry[str, _Role]] = Registry('role')


@contextmanager
def start_peer(role: str, *arguments: object) -> Iterator[tuple[int, Any]]:
    """Run a peer process while the context is open.

    :return: its process id and the decoded first line of its output.
    """
    command = [sys.executable, '-m', 'capacity.peers', role]
    with subprocess.Popen(
        command + [str(argument) for argument in arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdout is not None
        try:
            yield process.pid, json.loads(process.stdout.readline())
        finally:
            process.communicate()


@roles.register('listeners')
async def run_listeners(arguments: list[str]) -> None:
    """Run COUNT agents that each report load REPORTS times a second."""
    count, reports_per_s = int(arguments[0]), float(arguments[1])
    addresses = free_ports(count)
    listeners = [make_listener(address) for address in addresses]
    async with anyio.create_task_group() as tasks:
        for listener in listeners:
            tasks.start_soon(listener.run)
            tasks.start_soon(discard_events, listener.events)
            tasks.start_soon(report_load, listener, reports_per_s)
        await _wait_for_end([str(address) for address in addresses])
        tasks.cancel_scope.cancel()


@roles.register('links')
async def run_links(arguments: list[str]) -> None:
    """Connect COUNT links to ADDRESS, each with its own entry id."""
    count, text = int(arguments[0]), arguments[1]
    address = parse_address(text)
    links = [make_link(address, f'e{number}') for number in range(count)]
    async with anyio.create_task_group() as tasks:
        for link in links:
            tasks.start_soon(link.run)
            tasks.start_soon(discard_events, link.events)
        await _wait_for_end([])
        tasks.cancel_scope.cancel()


@roles.register('answering')
async def run_answering(arguments: list[str]) -> None:
    """Run COUNT agents that answer attempts.

    A streaming attempt receives chunks until the link is closed; its
    ``priority`` field gives the number of chunks per second.
    """
    addresses = free_ports(int(arguments[0]))
    listeners = [make_listener(address) for address in addresses]
    async with anyio.create_task_group() as tasks:
        for listener in listeners:
            tasks.start_soon(listener.run)
            tasks.start_soon(_answer, listener, tasks)
        await _wait_for_end([str(address) for address in addresses])
        tasks.cancel_scope.cancel()


async def _answer(listener: LinkListener, tasks: Any) -> None:
    async for event in listener.events:
        if not isinstance(event, PeerMessage):
            continue
        if isinstance(event.message, messages.StartAttempt):
            if event.message.streaming:
                tasks.start_soon(_stream, listener, event)
            else:
                _answer_at_once(listener, event)


def _answer_at_once(listener: LinkListener, event: PeerMessage) -> None:
    attempt_id = event.message.attempt_id
    answers: Sequence[Any] = (
        messages.AttemptStarted(attempt_id, False),
        messages.AttemptHead(attempt_id, 200, []),
        messages.AttemptChunk(attempt_id, 0, b'{}'),
        messages.AttemptEnd(attempt_id, 2, 0, 0),
    )
    for answer in answers:
        listener.send(event.peer_id, answer)


async def _stream(listener: LinkListener, event: PeerMessage) -> None:
    attempt_id = event.message.attempt_id
    pause_s = 1 / event.message.priority
    chunk = b'data: {"choices": [{"delta": {"content": "word"}}]}\n\n'
    position, due_s = 0, anyio.current_time()
    try:
        while True:
            listener.send(
                event.peer_id,
                messages.AttemptChunk(attempt_id, position, chunk),
            )
            position += len(chunk)
            due_s += pause_s
            await anyio.sleep(max(0, due_s - anyio.current_time()))
    except LinkClosed:
        return


async def _wait_for_end(ready: Any) -> None:
    sys.stdout.write(json.dumps(ready) + '\n')
    sys.stdout.flush()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    await reader.read()


def main() -> None:
    """Run the role named by the first argument."""
    role = roles.get(sys.argv[1])
    assert role is not None
    anyio.run(role, sys.argv[2:])


if __name__ == '__main__':
    main()
