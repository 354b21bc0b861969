"""Minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import time


class Request:
    """One request as it came in; header names are in lowercase."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_s = time.monotonic()

    def get(self, name, default=''):
        for found, content in self.headers:
            if found == name:
                return content
        return default


async def read_head(reader):
    """Return the first line and the header rows of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *rows = head[:-4].split('\r\n')
    headers = []
    for row in rows:
        name, _, content = row.partition(':')
        headers.append((name.strip().lower(), content.strip()))
    return first, headers


def header(headers, name, default=''):
    for found, content in headers:
        if found == name:
            return content
    return default


async def read_chunk(reader):
    """Return the next chunk of a chunked body; empty at its end."""
    line = await reader.readuntil(b'\r\n')
    size = int(line.split(b';')[0], 16)
    content = await reader.readexactly(size)
    await reader.readexactly(2)
    return content


async def read_body(reader, headers):
    if 'chunked' in header(headers, 'transfer-encoding').lower():
        body = b''
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(header(headers, 'content-length', '0')))


def format_head(first, headers):
    rows = ''.join(f'{name}: {content}\r\n' for name, content in headers)
    return f'{first}\r\n{rows}\r\n'.encode('latin-1')


class Exchange:
    """Writes the answer to one request."""

    def __init__(self, writer):
        self.writer = writer
        self.is_closed = False

    def send(self, status, headers=(), body=b''):
        rows = [*headers, ('Content-Length', str(len(body)))]
        self.writer.write(format_head(f'HTTP/1.1 {status} X', rows) + body)

    def start_stream(self, status, headers=()):
        rows = [*headers, ('Transfer-Encoding', 'chunked')]
        self.writer.write(format_head(f'HTTP/1.1 {status} X', rows))

    def send_chunk(self, content):
        self.writer.write(b'%x\r\n%b\r\n' % (len(content), content))

    def end_stream(self):
        self.writer.write(b'0\r\n\r\n')

    def reset(self):
        """Break the connection off, as a process that is killed does."""
        self.is_closed = True
        self.writer.transport.abort()


class Server:
    """Serves one address; ``crash`` ends it as the end of a process does."""

    def __init__(self, handle, host='127.0.0.1', port=0):
        self._handle = handle
        self.host = host
        self.port = port
        self._server = None
        self._tasks = set()
        self._writers = set()

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self):
        """Refuse new connections and break those that are open."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ', 2)
                request = Request(method, target, headers, body)
                exchange = Exchange(writer)
                # A requester or gateway that leaves ends the work on its request.
                work = asyncio.ensure_future(self._handle(request, exchange))
                gone = asyncio.ensure_future(_wait_for_end(reader))
                self._tasks.add(work)
                await asyncio.wait(
                    {work, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
                if not work.done():
                    work.cancel()
                await asyncio.gather(work, return_exceptions=True)
                self._tasks.discard(work)
                if work.cancelled() or exchange.is_closed:
                    return
                work.result()
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()


async def _wait_for_end(reader):
    """Return when the peer has closed or reset the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


class Answer:
    """What a requester got; ``complete`` means that the whole body came."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b''
        self.complete = False
        self.error = ''

    @property
    def events(self):
        """The whole events of a stream, each as its list of lines."""
        rows = self.body.decode('latin-1').split('\n\n')[:-1]
        return [row.split('\n') for row in rows]


class Connection:
    """A requester's connection, kept for several requests."""

    def __init__(self, host, port):
        self._address = (host, port)
        self._reader = None
        self._writer = None

    async def open(self):
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(*self._address, limit=2**20), 1.0
        )

    def close(self):
        if self._writer is not None:
            self._writer.close()

    async def request(self, method, target, headers, body=b'', timeout_s=8.0):
        """Send one request and read its answer; errors are in the answer."""
        answer = Answer()
        rows = [*headers, ('Content-Length', str(len(body)))]
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    await self.open()
                head = format_head(f'{method} {target} HTTP/1.1', rows)
                self._writer.write(head + body)
                await self._writer.drain()
                await self._read(answer)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            answer.error = type(error).__name__
        return answer

    async def _read(self, answer):
        first, answer.headers = await read_head(self._reader)
        answer.status = int(first.split(' ')[1])
        coding = header(answer.headers, 'transfer-encoding').lower()
        if 'chunked' not in coding:
            answer.body = await read_body(self._reader, answer.headers)
        else:
            while chunk := await read_chunk(self._reader):
                answer.body += chunk
        answer.complete = True


async def request(host, port, method, target, headers, body=b'', timeout_s=8.0):
    """Send one request on a new connection."""
    connection = Connection(host, port)
    try:
        return await connection.request(
            method, target, headers, body, timeout_s
        )
    finally:
        connection.close()
