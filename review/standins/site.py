"""A small deployment: gateways as processes, and stand-ins around them."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.standins.http import request
from review.standins.platform import Duties, Store

ROOT = Path(__file__).resolve().parents[2]
HOST = 'api.example'
KEY = 'key-1'
TENANT = 'tenant-1'
MEMORY_LIMIT_MB = 300
MAX_GATEWAYS = 4


class CannotRun(Exception):
    """The case could not be played."""


def free_port(host, kind=socket.SOCK_STREAM):
    with socket.socket(type=kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_peer_port():
    """Return a UDP port that is free at the address of each gateway."""
    while True:
        port = random.randrange(20000, 30000, 20)
        try:
            for number in range(1, MAX_GATEWAYS + 1):
                with socket.socket(type=socket.SOCK_DGRAM) as probe:
                    probe.bind((gateway_host(number), port))
        except OSError:
            continue
        return port


def gateway_host(number):
    return f'127.0.0.{number + 1}'


def route(name, kind, service, **changes):
    row = {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 5000,
        'goal-ms': 500,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'public': False,
        'sticky': kind == 'stream',
        'can-resume': kind == 'stream',
        'gap-aim-ms': 400,
    }
    return {**row, **changes}


def manifest(routes, version=1):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'llm',
                'max-conns': 630,
                'engine': {
                    'slots': 64,
                    'kv-tokens': 600000,
                    'kv-bytes': 18432,
                },
            },
            {'name': 'core', 'max-conns': 110},
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [
            {
                'name': TENANT,
                'api-keys': [KEY],
                'priority': 1,
                'unit': 'token_stream',
                'plain-tokens': 200,
                'rate-per-s': 0,
                'burst': 0,
            },
        ],
    }


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, site, node, host):
        self.node = node
        self.host = host
        self.port = free_port(host)
        self.ready_port = free_port(host)
        self._site = site
        peer_port = site.peer_port
        settings = {
            'node': node,
            'role': 'gateway',
            'class': 'front',
            'serves': ['front'],
            'ip': host,
            'zone': 'a',
            'region': 'r',
            'zones': {'a': 'r'},
            'listen': {
                'front': f'{host}:{self.port}',
                'ready': f'{host}:{self.ready_port}',
            },
            'port-range': [peer_port, peer_port + 15],
            'bootstrap': False,
            'limits': {'memory-limit-mb': MEMORY_LIMIT_MB, 'max-fds': 4100},
            'beat-ms': 1200,
            'bounds': {
                'contact-ms': 3000,
                'drain-ms': 2000,
                'grace-s': 8,
                'config-ms': 2000,
                'revoke-ms': 5000,
                'budget-ratio': 0.2,
                'budget-window-s': 10,
                'budget-slack': 58,
                'quota-window-s': 8,
                'quota-slack': 190000,
                'lease-ms': 3000,
                'window-s': 5,
                'usage-late-s': 10,
            },
            'platform': {'addr': site.store.server.address, 'form': 'log'},
            'cloud': {
                'addr': site.duties.server.address,
                'duties': ['usage', 'scale'],
            },
        }
        self._settings = site.folder / f'{node}.yaml'
        # JSON is YAML.
        self._settings.write_text(json.dumps(settings))
        self.log_path = site.folder / f'{node}.log'
        self.process = None

    def start(self):
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = role['roles']['gateway']['run'].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'PERIDOTRILL_METRICS_PORT': '0',
            'PERIDOTRILL_BOOT': str(self._settings),
        }
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            answer = await request(
                self.host, self.ready_port, 'GET', '/-/ready', [], timeout_s=1
            )
            if answer.status == 200:
                return
            if self.process.poll() is not None:
                raise CannotRun(f'{self.node} has ended')
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.node} is not ready')

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.005)

    def rss_mb(self):
        try:
            rows = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for row in rows.splitlines():
            if row.startswith('VmRSS'):
                return int(row.split()[1]) // 1024
        return 0

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_text(self):
        return self.log_path.read_text(errors='replace')


class Site:
    """The deployment; use it as an asynchronous context manager."""

    def __init__(self, routes):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.duties = Duties()
        self.engines = []
        self.gateways = []
        self._routes = routes
        self.peer_port = 0
        self.version = 0

    async def __aenter__(self):
        await self.store.server.start()
        await self.duties.server.start()
        self.peer_port = free_peer_port()
        await self.publish(self._routes)
        return self

    async def publish(self, routes):
        self.version += 1
        document = manifest(routes, self.version)
        value = json.dumps(document).encode()
        await self.store.put('keyed.op', 'config', value)

    async def start_gateways(self, count):
        for number in range(1, count + 1):
            gateway = Gateway(
                self, f'front-a-{number}', f'127.0.0.{number + 1}'
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            gateway.stop()
        if os.environ.get('REVIEW_KEEP'):
            print('kept', self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """Writes ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._started_s = time.monotonic()

    def __call__(self, text):
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f'{elapsed_s:8.3f} {text}\n')
        self._file.flush()


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def play(case, folder):
    """Run a case and end with its status: 1 broken, 0 held, 2 could not run.

    :param case: a coroutine function that gets the record and returns whether
        the rule held.
    """
    record = Record(folder)
    try:
        held = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:  # noqa: BLE001
        # A fault of the script itself must not look like a broken rule.
        record(f'could not run: {error!r}')
        sys.exit(2)
    record('the rule held' if held else 'the rule was broken')
    sys.exit(0 if held else 1)
