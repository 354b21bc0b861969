import subprocess
import sys
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta

import anyio
import httpx
import pytest
from prometheus_client import CollectorRegistry

from peridotrill import messages, records, registration
from peridotrill.caller_server import serve_callers
from peridotrill.clock import ManualClock, SystemClock
from peridotrill.control_state import ControlState
from peridotrill.entry import Entry, EntrySettings
from peridotrill.entry_background_tasks import UsageSettings
from peridotrill.entry_program import parse_address_overrides
from peridotrill.exceptions import LogUnavailable
from peridotrill.keys import create_key, digest_key
from peridotrill.link_listener import LinkListener, PeerMessage, PeerUp
from peridotrill.settings import Address
from peridotrill.timeline import Recorder
from tests import builders
from tests.processes import free_port

pytestmark = pytest.mark.anyio
SECOND = timedelta(seconds=1)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@contextmanager
def run_platform():
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.platform', '--vms-lag', '0s'],
        stdout=subprocess.PIPE,
    )
    try:
        ready = process.stdout.readline().decode()
        yield 'http://' + ready.strip().removeprefix('ready address=')
    finally:
        process.terminate()
        process.wait(timeout=10)
        process.stdout.close()


async def run_agent(address, received_messages):
    """Send a complete response of three bytes to each StartAttempt."""
    clock = SystemClock()
    listener = LinkListener.from_config(
        address,
        lambda: builders.welcome(clock_s=clock.monotonic_s()),
        clock,
        Recorder('agent', clock),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        async for event in listener.events:
            if isinstance(event, PeerUp):
                listener.send(event.peer_id, builders.load_report())
            elif isinstance(event, PeerMessage):
                received_messages.append(event.message)
                if isinstance(event.message, messages.StartAttempt):
                    attempt_id = event.message.attempt_id
                    for message in (
                        messages.AttemptStarted(attempt_id, replayed=False),
                        messages.AttemptHead(attempt_id, 201, []),
                        messages.AttemptChunk(attempt_id, 0, b'abc'),
                        messages.AttemptEnd(attempt_id, 3, 0, 0),
                    ):
                        listener.send(event.peer_id, message)


@asynccontextmanager
async def run_entry(url, http):
    settings = EntrySettings(
        'e1',
        'z1',
        url,
        UsageSettings(SECOND, 60 * SECOND, 10 * SECOND),
        {},
    )
    clock = SystemClock()
    entry = Entry.from_config(
        settings, http, clock, Recorder('e1', clock), CollectorRegistry()
    )
    address = Address('127.0.0.1', free_port())
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.run, tasks)
        tasks.start_soon(
            lambda: serve_callers(entry.app, address, stopping.wait)
        )
        with anyio.fail_after(20):
            while not entry.is_ready():
                await anyio.sleep(0.05)
        yield entry, address
        stopping.set()
        await entry.leave()
        with anyio.fail_after(5):
            while entry.registration.is_current:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_request_passes_through_the_entry():
    # Guards against components that work only in isolation.
    key = create_key()
    agent_address = Address('127.0.0.1', free_port())
    text = builders.service_text(builders.plain_document())
    log = [
        {
            'kind': 'config_published',
            'publish_id': 'p',
            'base_version': 0,
            'changed': {'receipts': text},
            'removed': [],
            'author': 'a',
        },
        {
            'kind': 'key_granted',
            'name': 'k1',
            'team': 'growers',
            'digest': digest_key(key),
        },
    ]
    vm = {
        'vm_id': 'v1',
        'kind': 'target',
        'state': 'live',
        'zone': 'z1',
        'service': 'receipts',
        'target_id': 't1',
        'target_kind': 'plain',
        'address': str(agent_address),
    }
    received = []
    with run_platform() as url:
        async with (
            httpx.AsyncClient(trust_env=False) as http,
            anyio.create_task_group() as tasks,
        ):
            for record in log:
                await http.post(
                    f'{url}/log/append', content=records.encode_record(record)
                )
            await http.put(f'{url}/vms/v1', json=vm)
            tasks.start_soon(run_agent, agent_address, received)
            async with run_entry(url, http) as (entry, address):
                response = await http.post(
                    f'http://{address}/receipts/posts',
                    content=b'{}',
                    headers={
                        'Authorization': f'Bearer {key}',
                        'Idempotency-Key': 'k',
                    },
                )
                assert (response.status_code, response.content) == (201, b'abc')
                assert entry.status()['targets']['t1']['linked']
            tasks.cancel_scope.cancel()
    # The agent receives the placement and its forwarded keys before the
    # first attempt.
    kinds = [type(message) for message in received]
    before = received[: kinds.index(messages.StartAttempt)]
    version = received[len(before)].placement_version
    assert version
    assert any(
        isinstance(message, messages.ForwardedKeys)
        and message.placement_version == version
        for message in before
    )
    figures = [window.figures for window in entry.state.usage.windows.values()]
    assert figures == [{'growers': (1, 0, 0)}]


class FakeLog:
    """Applies each record immediately, unless ``is_down`` is set."""

    def __init__(self):
        self.state = ControlState()
        self.now_s = 0.0
        self.is_down = False

    async def append(self, record):
        if self.is_down:
            raise LogUnavailable('down')
        self.state.apply(self.state.offset + 1, record, self.now_s)
        return self.state.offset


def register(log, clock, name, incarnation):
    return registration.Registration(
        (name, incarnation, 'z1'), log.state, log, clock, Recorder(name, clock)
    )


async def test_joining_entry_has_no_share_before_the_share_delay():
    # Guards against shares of the entries that add up to more than the limit.
    log, clock = FakeLog(), ManualClock()
    first = register(log, clock, 'e1', 'a')
    await first.register()
    first.update_from_state()
    assert first.has_share
    assert first.share() == (1, 0)
    second = register(log, clock, 'e2', 'b')
    await second.register()
    for one in (first, second):
        one.update_from_state()
    assert (first.share(), second.share()) == ((2, 0), (2, 1))
    assert not second.has_share
    clock.advance(registration.SHARE_DELAY)
    assert second.has_share
    # A replaced process no longer has a share.
    replacement = register(log, clock, 'e1', 'c')
    await replacement.register()
    replacement.update_from_state()
    assert first.is_replaced
    assert not first.has_share
    assert not replacement.has_share


async def test_only_entries_with_a_long_absence_are_expired():
    # Guards against an entry that loses its share while it is paused.
    log, clock = FakeLog(), ManualClock()
    first = register(log, clock, 'e1', 'a')
    second = register(log, clock, 'e2', 'b')
    for one in (first, second):
        await one.register()
        one.update_from_state()
    await first.expire_others(frozenset(), 20)
    await first.expire_others(frozenset({'e2'}), 100)
    assert second.is_current
    log.is_down = True
    await first.expire_others(frozenset(), 100)
    log.is_down = False
    await first.expire_others(frozenset(), 100)
    assert second.is_replaced
    assert [lost.entry_id for lost in log.state.lost] == ['e2']


def test_overrides_are_checked():
    assert parse_address_overrides('t1=127.0.0.1:1,t2=127.0.0.1:2') == {
        't1': '127.0.0.1:1',
        't2': '127.0.0.1:2',
    }
    with pytest.raises(ValueError, match='target_id'):
        parse_address_overrides('127.0.0.1:1')
