"""A real gateway while one target of a service sends bytes without end."""

import asyncio
import itertools
import time
from pathlib import Path

import httpx
import pytest

from peridotrill.settings import Address
from standins.platform_engine import ScriptedEngine
from tests.gateway_builders import HOST, configuration_document, route_row
from tests.gateway_site import SERVERS_TOPIC, run_site, wait_until

_CALLERS = 20
_LOAD_S = 5.0
_PAUSE_S = 0.2
# Latency goal of the routes.
_GOAL_S = 0.5
# Memory of the smallest VM.
_MEMORY_MB = 200
_HEAD = b'HTTP/1.1 200 OK\r\nX-Peridotrill-Engine-Stamp: s.1\r\n'
_FORMS = {
    'one-byte chunks': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n',
    ),
    'chunks': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'200\r\n' + b'x' * 512 + b'\r\n',
    ),
    'short fields': (_HEAD, b'X: 1\r\n'),
    'long field': (_HEAD + b'X: ', b'x'),
    'body': (_HEAD + b'\r\n', b'x'),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
}
_ANSWER = b'%bX-Peridotrill-Request-Id: %b\r\nContent-Length: 2\r\n\r\nok'
_numbers = itertools.count()


class Targets:
    """Three sound targets of a service, and one that never stops sending."""

    def __init__(self):
        self.form = None
        self.servers = []

    async def start(self, site):
        for number in range(4):
            handler = self._answer if number else self._pour
            server = await asyncio.start_server(handler, '127.0.0.1', 0)
            self.servers.append(server)
            address = Address(*server.sockets[0].getsockname()[:2])
            name = f'i-one-{number}'
            record = ScriptedEngine(name, 'one', 'a').record(address)
            await site.store.put(SERVERS_TOPIC, name, record)

    async def _pour(self, reader, writer):
        beginning, repeated = _FORMS[self.form]
        content = repeated * (65536 // len(repeated))
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(beginning)
            while True:
                writer.write(content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                rows = head.lower().split(b'\r\n')
                name = b'x-peridotrill-request-id: '
                found = next(row for row in rows if row.startswith(name))
                await asyncio.sleep(0.01)
                writer.write(_ANSWER % (_HEAD, found.removeprefix(name)))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    with run_site(tmp_path_factory.mktemp('endless')) as running:
        running.targets = Targets()
        running.portal.call(running.targets.start, running)
        (gateway,) = running.start_gateways('front-a-1')
        document = configuration_document()
        running.publish(
            2,
            routes=[
                *document['routes'],
                route_row('one', 'idempotent', 'one'),
            ],
            services=[
                *document['services'],
                {'name': 'one', 'max-conns': 110},
            ],
        )
        wait_until(lambda: 'version=2' in gateway.read_log())
        yield running


async def _call(client, url, path):
    headers = {
        'Host': HOST,
        'X-Peridotrill-Request-Id': f'endless-{next(_numbers)}',
        'X-Peridotrill-Deadline-Ms': '3000',
        'Authorization': 'Bearer key-g',
    }
    started_s = time.monotonic()
    response = await client.get(url + path, headers=headers)
    return response.status_code, time.monotonic() - started_s


async def _load(url):
    """Return the results of callers of both services, by path."""
    results = {'/one/x': [], '/read/x': []}
    until_s = time.monotonic() + _LOAD_S

    async def run_caller(path):
        async with httpx.AsyncClient(timeout=8, verify=False) as client:  # noqa: S501
            while time.monotonic() < until_s:
                results[path].append(await _call(client, url, path))
                await asyncio.sleep(_PAUSE_S)

    await asyncio.gather(
        *(run_caller(path) for path in results for _ in range(_CALLERS))
    )
    return results


def _peak_mb(pid):
    rows = Path(f'/proc/{pid}/status').read_text().splitlines()
    row = next(row for row in rows if row.startswith('VmHWM'))
    return int(row.split()[1]) / 1024


@pytest.mark.parametrize('form', _FORMS)
def test_endless_responses_of_one_target_do_not_touch_other_requests(
    site, form
):
    # Guards against a target that takes the memory or the processor time of a
    # gateway, so that the requests of all callers end with it (LOST).
    site.targets.form = form
    (gateway,) = site.gateways.values()
    results = asyncio.run(_load(gateway.url))
    others = results['/read/x']
    assert {status for status, _ in others} == {200}
    latencies_s = sorted(latency_s for _, latency_s in others)
    assert latencies_s[int(len(latencies_s) * 0.99)] < _GOAL_S
    same = [status for status, _ in results['/one/x']]
    assert same.count(200) >= 0.9 * len(same)
    assert _peak_mb(gateway.process.pid) < _MEMORY_MB
    assert gateway.process.poll() is None
    log = gateway.read_log()
    assert 'target=i-one-0 failure=excessive' in log
