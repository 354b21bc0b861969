"""Engines behind a real gateway that break their responses as scripted."""

import asyncio
from socket import SO_LINGER, SOL_SOCKET
from typing import NamedTuple

from peridotrill.settings import Address
from standins.platform_engine import ScriptedEngine
from tests.gateway_builders import HOST, configuration_document, route_row
from tests.gateway_site import SERVERS_TOPIC, wait_until

STAMP = b'X-Peridotrill-Engine-Stamp: s.1\r\n'
UNSTAMPED = b'X-Peridotrill-Request-Id: %(id)b\r\n'
NAMED = UNSTAMPED + STAMP
REFUSAL_FIELD = b'X-Peridotrill-Not-Run: 1\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\n' + REFUSAL_FIELD
EMPTY = b'Content-Length: 0\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + NAMED
ANSWER = OK + b'Content-Length: 6\r\n\r\nanswer'
FAILURE = b'HTTP/1.1 500 Failed\r\n' + NAMED + EMPTY
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
LAST_EVENT = b'id: 3\ndata: c\n\n'
END = b'0\r\n\r\n'
LINGER_RESET = b'\1\0\0\0\0\0\0\0'
CLOSE, RESET = 'close', 'reset'
_NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'


class LateCopy(NamedTuple):
    """Bytes that are written only on a connection with an earlier request."""

    content: bytes


def chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


def caller_headers(request_id):
    return {
        'Host': HOST,
        'X-Peridotrill-Request-Id': request_id,
        'Authorization': 'Bearer key-g',
    }


class BrokenEngines:
    """Engines that answer each request with the next script.

    A script lists the bytes to write, with ``%(id)b`` for the id of the
    request, and may end with CLOSE or RESET. A LateCopy is skipped on a new
    connection.
    """

    def __init__(self):
        self.scripts = []
        # Per request: its id and its Last-Event-Id.
        self.received = []
        self.servers = []
        self._writers = set()

    async def handle(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._answer(reader, writer, is_first=True)
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def reset(self):
        """Close all connections and forget the requests."""
        for writer in self._writers:
            writer.close()
        self._writers.clear()
        self.scripts = []
        self.received = []

    async def _answer(self, reader, writer, is_first=False):
        head = await reader.readuntil(b'\r\n\r\n')
        first, *rows = head.decode().split('\r\n')
        headers = {
            name.lower(): text
            for name, _, text in (row.partition(': ') for row in rows)
        }
        await reader.readexactly(int(headers.get('content-length', 0)))
        if first.split()[1].startswith('/-/'):
            writer.write(_NOT_FOUND)
            return
        request_id = headers['x-peridotrill-request-id']
        self.received.append((request_id, headers.get('last-event-id')))
        for step in self.scripts.pop(0):
            if isinstance(step, LateCopy):
                if is_first:
                    continue
                step = step.content
            if step == RESET:
                peer = writer.get_extra_info('socket')
                peer.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)
                writer.transport.abort()
            elif step == CLOSE:
                writer.close()
            else:
                writer.write(step.replace(b'%(id)b', request_id.encode()))
                await writer.drain()
                # Lets the gateway read each step by itself.
                await asyncio.sleep(0.05)


async def start_engines(site, engines):
    """Start and register one engine for ``one`` and two for the others."""
    for service, count in (('one', 1), ('two', 2), ('flow', 2)):
        for _ in range(count):
            server = await asyncio.start_server(engines.handle, '127.0.0.1', 0)
            engines.servers.append(server)
            address = Address(*server.sockets[0].getsockname()[:2])
            name = f'i-{service}-{address.port}'
            role = 'decode' if service == 'flow' else None
            record = ScriptedEngine(name, service, 'a', role).record(address)
            await site.store.put(SERVERS_TOPIC, name, record)


def publish_routes(site, gateway):
    """Add a route to each service of ``start_engines``."""
    document = configuration_document()
    routes = [
        route_row('one', 'non_idempotent', 'one'),
        route_row('two', 'idempotent', 'two'),
        route_row('flow', 'stream', 'flow', **{'can-resume': True}),
    ]
    model, plain = document['services']
    site.publish(
        2,
        routes=document['routes'] + routes,
        services=[
            model,
            plain,
            {**model, 'name': 'flow'},
            {**plain, 'name': 'one'},
            {**plain, 'name': 'two'},
        ],
    )
    wait_until(lambda: gateway.read_log().count('leaving=False') >= 10)
