"""Gateway processes with a store and engines that run in a thread."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path
from typing import NamedTuple

import anyio
import httpx
import yaml
from anyio.from_thread import start_blocking_portal

from peridotrill.gateway.targets import TargetRole
from standins.platform_engine import ScriptedEngine, UsageReceiver
from standins.platform_server import serve_http
from standins.platform_store import PlatformStore
from tests.gateway_builders import HOST, configuration_record
from tests.processes import free_port
from tests.proxy import run_proxies

ROOT = Path(__file__).parent.parent
# Folder of the gateway's code; another one compares two versions of it.
GATEWAY_CODE = os.environ.get('PERIDOTRILL_GATEWAY_CODE', ROOT)
START_TIMEOUT_S = 20
ENGINE_RESTART_S = 0.5
CONFIG_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'


class SentSignal(NamedTuple):
    """A signal, and the CPU time that the process had used by then."""

    sent_s: float
    pid: int
    number: int
    cpu_s: float


class ProcessExit(NamedTuple):
    """The end of a process."""

    ended_s: float
    pid: int
    status: int


def cpu_s(pid):
    """Return the CPU time that a process has used."""
    try:
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    except OSError:
        return 0.0
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


class GatewayProcess:
    """A gateway process; its output goes to ``log_path``."""

    def __init__(self, site, node, folder, bounds, is_first_start=False):
        self.node = node
        # Whether the process is one of the first of the whole system.
        self._is_first_start = is_first_start
        self.caller_port = free_port()
        self.ready_port = free_port()
        self._peer_port = free_port(socket.SOCK_DGRAM)
        self._bounds = bounds
        self._site = site
        self.process = None
        self._starting = threading.Lock()
        # Times at which a process was started.
        self.starts_s = []
        self._client = httpx.Client(verify=False)  # noqa: S501
        # Signals sent, and processes that ended, with their exit status.
        self.signals = []
        self.exits = []
        self.log_path = folder / f'{node}.log'
        self.settings_path = folder / f'{node}.yaml'
        self._write_settings()

    @property
    def url(self):
        return f'http://127.0.0.1:{self.caller_port}'

    def start(self):
        if self._is_first_start and self.starts_s:
            self._is_first_start = False
            self._write_settings()
        self.starts_s.append(time.monotonic())
        environment = {
            **os.environ,
            'PERIDOTRILL_BOOT': str(self.settings_path),
            'PYTHONUNBUFFERED': '1',
        }
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'peridotrill.gateway_main'],
                cwd=GATEWAY_CODE,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start_after(self, process):
        """Wait for a process to end, then start a new one, only once.

        Returns whether this call has started it.
        """
        process.wait()
        with self._starting:
            if self.process is not process:
                return False
            self.exits.append(
                ProcessExit(time.monotonic(), process.pid, process.returncode)
            )
            self.start()
        return True

    def is_ready(self):
        try:
            response = self._client.get(
                f'http://127.0.0.1:{self.ready_port}/-/ready'
            )
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    def wait_ready(self):
        wait_until(self.is_ready, START_TIMEOUT_S, self.read_log)

    def signal(self, number, process=None):
        """Send a signal to a process that has not ended.

        :param process: the current process if omitted.
        """
        process = process or self.process
        if process.poll() is None:
            self.signals.append(
                SentSignal(
                    time.monotonic(), process.pid, number, cpu_s(process.pid)
                )
            )
            process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_log(self):
        return self.log_path.read_text()

    def _write_settings(self):
        settings = {
            'node': self.node,
            'role': 'gateway',
            'ip': '127.0.0.1',
            'zone': 'a',
            'listen': {
                'front': f'127.0.0.1:{self.caller_port}',
                'ready': f'127.0.0.1:{self.ready_port}',
            },
            'port-range': [self._peer_port, self._peer_port + 15],
            'bootstrap': self._is_first_start,
            'limits': self._site.limits,
            'bounds': {'revoke-ms': 5000, 'grace-s': 6, **self._bounds},
            'platform': {'addr': '{}:{}'.format(*self._site.store_address)},
            'cloud': {
                'addr': str(self._site.duties_address),
                'duties': ['usage'],
            },
        }
        self.settings_path.write_text(yaml.safe_dump(settings))


class Site:
    """A simulated store and engines, with gateway processes."""

    def __init__(self, portal, proxies, folder, engines):
        self.portal = portal
        self.proxies = proxies
        self.folder = folder
        self.store = PlatformStore()
        self.duties = UsageReceiver()
        self.engines = {engine.target_id: engine for engine in engines}
        self.addresses = {}
        self.gateways = {}
        # Limits of the machine in the settings of gateways that start later.
        self.limits = {'memory-limit-mb': 300, 'max-fds': 1000}
        # Event log for the exceptions of the store; None prints them.
        self.stand_in_log = None
        # Time from the restart of an engine to its record.
        self.registration_delay_s = 0

    async def open(self, stack):
        store_address = await stack.enter_async_context(
            serve_http(self.store.handle, log=self.stand_in_log),
        )
        self.duties_address = await stack.enter_async_context(
            serve_http(self.duties.handle, log=self.stand_in_log),
        )
        self._real_store_address = store_address
        tasks = await stack.enter_async_context(anyio.create_task_group())
        for name, engine in self.engines.items():
            self.addresses[name] = await tasks.start(self._run_engine, engine)
        await self.store.put(CONFIG_TOPIC, 'config', configuration_record())
        for name, engine in self.engines.items():
            record = engine.record(self.addresses[name])
            await self.store.put(SERVERS_TOPIC, name, record)

    async def _run_engine(self, engine, *, task_status):
        """Serve an engine; start it again at its address after a crash."""
        async with serve_http(engine.handle) as address:
            task_status.started(address)
            await engine.crashed.wait()
        while True:
            await anyio.sleep(ENGINE_RESTART_S)
            engine.restart()
            async with serve_http(engine.handle, port=address.port):
                await anyio.sleep(self.registration_delay_s)
                await self.store.put(
                    SERVERS_TOPIC, engine.target_id, engine.record(address)
                )
                await engine.crashed.wait()

    def start_gateways(self, *nodes, is_first_start=False, **bounds):
        for node in nodes:
            self.store_proxy = self.proxies.start(
                tuple(self._real_store_address)
            )
            wait_until(lambda: self.store_proxy.address is not None)
            self.store_address = self.store_proxy.address[:2]
            gateway = GatewayProcess(
                self, node, self.folder, bounds, is_first_start
            )
            gateway.store_proxy = self.store_proxy
            gateway.start()
            self.gateways[node] = gateway
        for node in nodes:
            self.gateways[node].wait_ready()
        return [self.gateways[node] for node in nodes]

    def publish(self, version, **changes):
        content = configuration_record(version, **changes)
        self.portal.call(self.store.put, CONFIG_TOPIC, 'config', content)

    def register(self, name, **changes):
        record = self.engines[name].record(self.addresses[name], **changes)
        target_id = self.engines[name].target_id
        self.portal.call(self.store.put, SERVERS_TOPIC, target_id, record)

    def remove(self, name):
        self.portal.call(self.store.put, SERVERS_TOPIC, name, b'')

    def plan(self, service, *faults, role=None):
        """Set the faults of the next requests at each engine of a service."""
        for engine in self.engines.values():
            if engine.service == service and engine.role == role:
                engine.plan = list(faults)

    def runs(self, request_id):
        return [
            name
            for name, engine in self.engines.items()
            for run in engine.runs
            if run == request_id
        ]


def default_engines():
    return (
        ScriptedEngine('i-till-1', 'till', 'a'),
        ScriptedEngine('i-till-2', 'till', 'b'),
        ScriptedEngine('i-pre', 'llm', 'a', 'prefill'),
        ScriptedEngine('i-dec-1', 'llm', 'a', 'decode'),
        ScriptedEngine('i-dec-2', 'llm', 'b', 'decode'),
    )


@contextmanager
def run_site(folder, engines=(), stand_in_log=None):
    """Run a store and engines; gateways are started at the site.

    :param stand_in_log: event log for exceptions of the store.
    """
    with run_proxies() as proxies, start_blocking_portal() as portal:
        site = Site(portal, proxies, folder, engines or default_engines())
        site.stand_in_log = stand_in_log

        async def serve(*, task_status):
            import asyncio  # noqa: PLC0415

            async with AsyncExitStack() as stack:
                await site.open(stack)
                task_status.started()
                await asyncio.Event().wait()

        future, _ = portal.start_task(serve)
        try:
            yield site
        finally:
            for gateway in site.gateways.values():
                gateway.stop()
            future.cancel()


def wait_until(condition, timeout_s=10, explain=lambda: ''):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(
                f'condition not met within {timeout_s} s; {explain()}'
            )
        time.sleep(0.02)


def call(
    gateway,
    path,
    request_id,
    key='key-g',
    method='POST',
    client=httpx,
    body=b'body',
    **headers,
):
    """Send one request and return the response.

    :param client: a client that is kept for several requests. Without one, each
        request creates its own, which takes a time that grows with the load.
    """
    sent = {
        'Host': HOST,
        'X-Peridotrill-Request-Id': request_id,
        'X-Peridotrill-Deadline-Ms': '3000',
        **headers,
    }
    if key is not None:
        sent['Authorization'] = f'Bearer {key}'
    return client.request(
        method,
        gateway.url + path,
        headers=sent,
        content=body,
        timeout=8,
    )


SIGHUP, SIGTERM, SIGSTOP, SIGCONT, SIGKILL = (
    signal.SIGHUP,
    signal.SIGTERM,
    signal.SIGSTOP,
    signal.SIGCONT,
    signal.SIGKILL,
)
DECODE = TargetRole.DECODE.value
