from contextlib import asynccontextmanager

import anyio
import pytest

from peridotrill.engine_client import engine_priority
from peridotrill.exceptions import TargetOutcomeUnknown
from peridotrill.target_client import create_http_client, open_response
from tests import builders
from tests.processes import free_port

pytestmark = pytest.mark.anyio
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class Target:
    """Serves a number of requests per connection and closes on the next."""

    def __init__(self, requests_per_connection):
        self.requests_per_connection = requests_per_connection
        self.connections = 0
        self.requests = []
        self.stops_listening = False
        self.listener = None

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            for number in range(self.requests_per_connection + 1):
                try:
                    head = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if number == self.requests_per_connection:
                    if self.stops_listening:
                        await self.listener.aclose()
                    return
                self.requests.append(head.split()[1].decode())
                await stream.send(ANSWER)


async def _listen(target):
    try:
        await target.listener.serve(target.serve)
    except* anyio.ClosedResourceError:
        target.listener = None


@asynccontextmanager
async def serving(requests_per_connection):
    target = Target(requests_per_connection)
    port = free_port()
    url = f'http://127.0.0.1:{port}'
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=port
    )
    target.listener = listener
    async with (
        anyio.create_task_group() as tasks,
        create_http_client(url) as http,
    ):

        async def fetch(path, idempotent):
            start = builders.start('x', path=path, idempotent=idempotent)
            async with open_response(http, start, {}) as response:
                return await response.aread()

        tasks.start_soon(_listen, target)
        yield target, fetch
        tasks.cancel_scope.cancel()
    await listener.aclose()


@pytest.mark.parametrize('idempotent', [True, False])
async def test_each_request_has_a_connection_of_its_own(idempotent):
    # Guards against sending a request on an idle connection: if the target
    # closed it meanwhile, the outcome would be unknown, and what the target
    # writes twice on it would become the response.
    async with serving(requests_per_connection=10) as (target, fetch):
        for number in range(5):
            assert await fetch(f'/{number}', idempotent) == b'ok'
        assert target.connections == 5


async def test_connections_that_the_target_closes_do_not_break_requests():
    # Guards against an unknown outcome after the target has closed an idle
    # connection.
    async with serving(requests_per_connection=1) as (target, fetch):
        for number in range(3):
            assert await fetch(f'/{number}', idempotent=True) == b'ok'
        assert target.requests == ['/0', '/1', '/2']


async def test_failure_on_a_new_connection_is_not_retried():
    # Guards against retries that the retry budget of the entry does not count.
    async with serving(requests_per_connection=0) as (target, fetch):
        with pytest.raises(TargetOutcomeUnknown):
            await fetch('/0', idempotent=True)
        assert target.connections == 1


async def test_outcome_is_unknown_if_the_target_stops_after_a_request():
    # Guards against reporting not_run after the request was written once.
    async with serving(requests_per_connection=0) as (target, fetch):
        target.stops_listening = True
        with pytest.raises(TargetOutcomeUnknown):
            await fetch('/0', idempotent=True)
        assert target.connections == 1


def test_engine_priority_is_highest_for_the_most_urgent_service():
    # Guards against mixing up the scales of service files and engines, which
    # run in opposite directions.
    urgent, relaxed = engine_priority(0), engine_priority(9)
    assert urgent > relaxed >= 0
