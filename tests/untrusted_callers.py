"""Callers that hold the memory or the connections of a gateway."""

import asyncio
import socket
from contextlib import suppress
from pathlib import Path

from peridotrill.settings import Address
from standins.platform_engine import ScriptedEngine
from tests.gateway_builders import HOST, prompt_headers

MIB = 1024 * 1024
# Limits of the configuration of the deployment at hand, with longer timeouts: on
# a busy machine a crowd takes some seconds to build up.
CALLER_LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 4 * MIB,
    'header-timeout-ms': 30000,
    'idle-timeout-ms': 30000,
}
# Sockets take up to 4 MiB of a response that is not read.
LONG_RESPONSE_BYTES = 5 * MIB
EVENT_BYTES = 8192
EVENT_COUNT = LONG_RESPONSE_BYTES // EVENT_BYTES
BULK_SERVICE = 'bulk'
_TIMEOUT_S = 10
_RECEIVE_BUFFER_BYTES = 4096
_STAMP = b'X-Peridotrill-Engine-Stamp: s.1\r\n'
_REQUEST_ID = b'x-peridotrill-request-id: '


class LongStreamEngine(ScriptedEngine):
    """A decode engine whose streams have many large events."""

    async def _send_stream(
        self, fault, headers, response_headers, responder, row
    ):
        responder.start_stream(200, response_headers)
        for number in range(1, EVENT_COUNT + 1):
            responder.send_chunk(
                b'id: %d\ndata: %b\n\n' % (number, b'x' * EVENT_BYTES)
            )
            await responder.drain()
            row[2] = number
        responder.end_stream()


def engines():
    return (
        ScriptedEngine('i-till-1', 'till', 'a'),
        ScriptedEngine('i-pre', 'llm', 'a', 'prefill'),
        LongStreamEngine('i-dec-1', 'llm', 'a', 'decode'),
    )


class BulkTarget:
    """A target of a plain service with long responses."""

    async def start(self, site):
        self._server = await asyncio.start_server(self._answer, '127.0.0.1', 0)
        address = Address(*self._server.sockets[0].getsockname()[:2])
        record = ScriptedEngine('i-bulk', BULK_SERVICE, 'a').record(
            address, slots=64
        )
        await site.store.put('keyed.servers', 'i-bulk', record)

    async def _answer(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                rows = head.lower().split(b'\r\n')
                found = next(row for row in rows if row.startswith(_REQUEST_ID))
                writer.write(
                    b'HTTP/1.1 200 OK\r\n%b%b\r\nContent-Length: %d\r\n\r\n'
                    % (_STAMP, found, LONG_RESPONSE_BYTES)
                )
                writer.write(bytes(LONG_RESPONSE_BYTES))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Crowd:
    """Callers whose connections stay open until the crowd is closed."""

    def __init__(self, gateway):
        self._address = ('127.0.0.1', gateway.caller_port)
        self._connections = []
        self._count = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for connection in self._connections:
            connection.close()

    def send(self, *pieces, reads_slowly=False):
        """Connect one more caller; ignore that it is refused."""
        connection = socket.socket()
        self._connections.append(connection)
        if reads_slowly:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        connection.settimeout(_TIMEOUT_S)
        with suppress(OSError):
            connection.connect(self._address)
            for piece in pieces:
                connection.sendall(piece)

    def head(self, path, *rows, method='POST', version='1.1'):
        """Return the head of a request with an id of its own."""
        self._count += 1
        lines = [
            f'{method} {path} HTTP/{version}',
            f'Host: {HOST}',
            f'X-Peridotrill-Request-Id: crowd-{self._count}',
            'X-Peridotrill-Deadline-Ms: 20000',
            'Authorization: Bearer key-g',
            *rows,
        ]
        return '\r\n'.join([*lines, '', '']).encode()

    def stream_head(self, version='1.1'):
        """Return the head of a request for a long stream."""
        rows = [
            f'{name}: {content}'
            for name, content in prompt_headers(output=EVENT_COUNT).items()
        ]
        return self.head(
            '/draft/x', 'Content-Length: 0', *rows, version=version
        )


def chunks(size_bytes, chunk_bytes):
    """Return an unfinished chunked body."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    return chunk * (size_bytes // chunk_bytes)


def peak_mb(pid):
    """Return the largest resident memory that a process has had."""
    rows = Path(f'/proc/{pid}/status').read_text().splitlines()
    row = next(row for row in rows if row.startswith('VmHWM'))
    return int(row.split()[1]) / 1024


def descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))
