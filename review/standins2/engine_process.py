"""A model engine in a process of its own, whose streams have no length.

Each stream ends with its connection, as HTTP/1.1 allows. After SIGTERM the
process ends its streams, says in all answers that it leaves, and exits. A
faulty one breaks off a part of its streams and goes on running.
"""

import asyncio
import json
import random
import signal
import sys

sys.dont_write_bytecode = True
import stage  # noqa: E402


class Engine:
    def __init__(self, settings):
        self.name = settings['name']
        self.born = settings['born']
        self.events = settings['events']
        self.interval_s = settings['interval_s']
        # Part of the streams that end after half of their events.
        self.cut_share = settings.get('cut_share', 0)
        self.server = stage.Server(self.handle)
        self.server.port = settings['port']
        # Rows of the report by request: id, tokens, events made, priority.
        self.runs = {}
        self.is_leaving = False
        self.is_done = asyncio.Event()

    def leave(self):
        self.is_leaving = True
        if not self.runs:
            self.is_done.set()

    async def handle(self, request, reader, writer):
        leaving = [('Server-Leaving', '1')] if self.is_leaving else []
        if request.target.startswith('/-/report'):
            return (
                200,
                [('Content-Type', 'application/json'), *leaving],
                (
                    json.dumps(
                        {
                            'stage': 'decode',
                            'models': [],
                            'busy': False,
                            'seq': 0,
                            'waiting': 0,
                            'running': len(self.runs),
                            'kv-used': 0,
                            'kv-total': 500000,
                            'handles': 0,
                            'born': self.born,
                            'runs': list(self.runs.values()),
                        }
                    ).encode()
                ),
            )
        number = request.get('x-peridotrill-request-id')
        if request.get('x-peridotrill-expect-instance') != self.name:
            return 421, [('X-Peridotrill-Request-Id', number)], b''
        print(f'runs {number}', flush=True)
        rows = [
            'HTTP/1.1 200 OK',
            f'X-Peridotrill-Request-Id: {number}',
            f'X-Peridotrill-Engine-Stamp: stamp.{self.name}.{number}',
            'Content-Type: text/event-stream',
            'Connection: close',
            *(f'{name}: {text}' for name, text in leaving),
        ]
        writer.write('\r\n'.join(rows).encode() + b'\r\n\r\n')
        row = self.runs[number] = [number, 300, 0, 5]
        last = self.events
        if random.random() < self.cut_share:
            last = self.events // 2
            print(f'breaks off {number}', flush=True)
        try:
            for event in range(1, last + 1):
                row[2] = event
                writer.write(f'id: {event}\ndata: word-{event}\n\n'.encode())
                await writer.drain()
                await asyncio.sleep(self.interval_s)
        finally:
            self.runs.pop(number)
            if self.is_leaving and not self.runs:
                self.is_done.set()
        # The stream ends with its connection.
        raise OSError


async def main():
    engine = Engine(json.loads(sys.argv[1]))
    await engine.server.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, engine.leave)
    print('listens', flush=True)
    await engine.is_done.wait()
    await asyncio.sleep(0.05)


if __name__ == '__main__':
    asyncio.run(main())
