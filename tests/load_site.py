"""Engines of a load as processes, each behind an optional proxy."""

import json
import signal
import subprocess
import sys
import time
from typing import NamedTuple

from standins.platform_engine import ScriptedEngine
from tests.gateway_site import ROOT, SERVERS_TOPIC, wait_until
from tests.processes import free_port, is_listening

START_TIMEOUT_S = 10


class EngineKill(NamedTuple):
    """A kill of an engine process, named as in the events that it sent."""

    sent_s: float
    process: str


class EngineProcess:
    """Address of an engine, with the process that serves there."""

    def __init__(self, soak, name, service, role):
        self.soak = soak
        self.name = name
        self.service = service
        self.role = role
        self.port = free_port()
        self.address_port = self.port
        self.target_id = name
        self.version = 'v1'
        self.process = None
        self.sequence = 0
        self.started_ms = 0
        self.is_registering = True
        # Gateways are to meet a decode engine only through its proxy.
        self.has_proxy = role == 'decode' and soak.proxies is not None
        if self.has_proxy:
            self.address_port = free_port()
            self.call_proxy(
                'start', port=self.address_port, target_port=self.port
            )

    @property
    def process_name(self):
        return f'{self.version} {self.started_ms}'

    def call_proxy(self, action, **settings):
        if self.has_proxy:
            self.soak.proxies.call(action, self.name, **settings)

    def start(self):
        """Start a process, without waiting for it."""
        self.started_ms = int(time.time() * 1000)
        settings = {
            'id': self.target_id,
            'service': self.service,
            'zone': 'a',
            'role': self.role,
            'port': self.port,
            'started_ms': self.started_ms,
            'version': self.version,
            'events': self.soak.event_count,
            'interval_s': self.soak.shape.interval_s,
            'journal': str(self.soak.folder / 'engine-events'),
            'faults': (
                {} if self.role == 'prefill' else self.soak.run.engine_faults
            ),
        }
        with (self.soak.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'standins.engine_process',
                    json.dumps(settings),
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self.soak.processes.append(self.process)

    def wait_listening(self):
        """Wait until the process accepts connections, and its proxy too."""
        wait_until(
            lambda: is_listening(self.port),
            START_TIMEOUT_S,
            lambda: f'{self.name} does not listen',
        )
        self.call_proxy('come_up')

    def kill(self, is_seen=True):
        """Kill the process.

        :param is_seen: whether connections to its address are refused then.
        """
        self.soak.killed.append(self.process)
        self.soak.engine_kills.append(
            EngineKill(time.monotonic(), self.process_name)
        )
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()
        if is_seen:
            self.call_proxy('go_down')

    def register(self, **changes):
        self.sequence += 1
        stand_in = ScriptedEngine(self.target_id, self.service, 'a', self.role)
        stand_in.software_version = self.version
        stand_in.started_ms = self.started_ms
        record = stand_in.record(
            f'127.0.0.1:{self.address_port}',
            seq=self.sequence,
            slots=64,
            **changes,
        )
        self.soak.put(SERVERS_TOPIC, self.target_id, record)
        self.soak.registered_s.setdefault(self.process_name, time.monotonic())
