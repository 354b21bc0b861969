"""Cancellations and errors of one task among others."""

import asyncio
import socket
import time
from contextlib import ExitStack, suppress

import anyio
import pytest

from peridotrill.exceptions import TargetUnreachable
from peridotrill.gateway.isolated_tasks import IsolatedTasks
from peridotrill.gateway.target_connections import open_connection
from peridotrill.settings import Address
from tests.gateway_builders import RecordingLog, receive_limits

_LIMIT_S = 0.05


@pytest.fixture
def silent_address():
    """An address at which new connections neither open nor fail."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            with suppress(BlockingIOError):
                waiting.connect(address)
        yield Address(*address)


def test_two_limits_that_end_during_a_pause_end_one_task_only(silent_address):
    # Guards against a paused gateway that ends all its requests and itself, since
    # the end of one task's time limits cancels the group of all tasks.
    ended = []

    async def connect():
        with anyio.move_on_after(_LIMIT_S):
            with suppress(TargetUnreachable):
                await open_connection(
                    silent_address, _LIMIT_S, lambda _: None, receive_limits()
                )

    async def run():
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(connect)
            await anyio.sleep(_LIMIT_S / 2)
            time.sleep(2 * _LIMIT_S)
            await anyio.sleep(_LIMIT_S)
            ended.append('regularly')

    anyio.run(run)
    assert ended == ['regularly']


@pytest.mark.parametrize('error', [asyncio.CancelledError, ValueError])
def test_task_that_ends_with_an_error_of_its_own_ends_no_other(error):
    # Guards against a gateway that drops all its requests and ends, since one task
    # ends with a cancellation that no scope has caused (load soak, seed 301).
    log = RecordingLog()
    ended = []

    async def fail():
        raise error

    async def run():
        async with anyio.create_task_group() as tasks:
            IsolatedTasks(tasks, log).start_soon(fail)
            await anyio.sleep(0.05)
            ended.append('regularly')

    anyio.run(run)
    assert ended == ['regularly']
    assert len(log.events) == 1


def test_tasks_end_with_their_group():
    # Guards against a stop that waits for tasks which ignore it.
    log = RecordingLog()

    async def run():
        async with anyio.create_task_group() as tasks:
            IsolatedTasks(tasks, log).start_soon(anyio.sleep_forever)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert not log.events
