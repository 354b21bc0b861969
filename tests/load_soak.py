"""Plays the load of a site against processes, with faults from outside.

``python -m tests.load_soak SHAPE SEED...`` runs each seed: gateways, engines and
callers are processes, and the faults are a list with times, drawn from the seed.
Prints the streams that break their order, and what was exercised.
"""

import argparse
import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from standins.platform_engine import ScriptedEngine
from tests.gateway_site import (
    ROOT,
    SERVERS_TOPIC,
    SIGCONT,
    SIGHUP,
    SIGKILL,
    SIGSTOP,
    SIGTERM,
    run_site,
)
from tests.load_checks import find_disordered
from tests.processes import free_port

EVENTS = 13
START_YEAR_MS = 1_700_000_000_000


class Shape(NamedTuple):
    """Size and load of a site."""

    gateways: int
    prefill: int
    decode: int
    plain: int
    # Requests per second by kind.
    rates: dict
    interval_s: float
    # Engines that a release replaces at a time.
    release_step: int


SHAPES = {
    'tapbook': Shape(
        6, 2, 3, 4, {'draft': 15, 'quick': 90, 'pay': 20, 'read': 8}, 0.03, 1
    ),
    'saltbush': Shape(
        5, 2, 4, 4, {'draft': 20, 'quick': 100, 'pay': 25, 'read': 10}, 0.03, 2
    ),
}


class EngineProcess:
    """Address of an engine, with the process that serves there."""

    def __init__(self, soak, name, service, role):
        self.soak = soak
        self.name = name
        self.service = service
        self.role = role
        self.port = free_port()
        self.target_id = name
        self.version = 'v1'
        self.process = None
        self.sequence = 0
        self.started_ms = 0
        self.is_registering = True

    def start(self):
        self.started_ms = int(time.time() * 1000)
        settings = {
            'id': self.target_id,
            'service': self.service,
            'zone': 'a',
            'role': self.role,
            'port': self.port,
            'started_ms': self.started_ms,
            'version': self.version,
            'events': EVENTS,
            'interval_s': self.soak.shape.interval_s,
            'journal': str(self.soak.folder / 'engine-events'),
            'faults': self.soak.engine_faults if self.role != 'prefill' else {},
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

    def kill(self):
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def register(self, **changes):
        self.sequence += 1
        stand_in = ScriptedEngine(self.target_id, self.service, 'a', self.role)
        stand_in.software_version = self.version
        stand_in.started_ms = self.started_ms
        record = stand_in.record(
            f'127.0.0.1:{self.port}',
            seq=self.sequence,
            slots=64,
            **changes,
        )
        self.soak.put(SERVERS_TOPIC, self.target_id, record)


class LoadSoak:
    """One seed."""

    def __init__(self, shape, seed, folder, options):
        self.shape = shape
        self.folder = folder
        self.options = options
        self.seed = seed
        self.random = random.Random(seed)
        self.engine_faults = options.engine_faults
        self.site = None
        self.engines = []
        self.actions = Counter()
        self.rows = []
        self.threads = []
        # All that this run has started, besides gateways.
        self.processes = []
        self.stopping = threading.Event()
        # Whether all engines run one software version.
        self.is_uniform = False

    def put(self, topic, key, content):
        self.site.portal.call(self.site.store.put, topic, key, content)

    def run(self):
        with ExitStack() as stack:
            self.site = stack.enter_context(run_site(self.folder, ()))
            for stand_in in list(self.site.engines.values()):
                self.site.remove(stand_in.target_id)
            self._start_engines()
            nodes = [f'front-{n}' for n in range(self.shape.gateways)]
            self.site.start_gateways(
                *nodes,
                is_first_start=True,
                **{'window-s': 2, 'grace-s': 4, 'drain-ms': 2000},
            )
            callers = self._start_callers()
            beats = threading.Thread(target=self._beat)
            beats.start()
            self.processes += [
                callers,
                *(
                    subprocess.Popen([sys.executable, '-c', 'while True: pass'])
                    for _ in range(self.options.busy)
                ),
            ]
            try:
                self._play_faults()
                callers.wait(60)
            finally:
                self.stopping.set()
                for thread in (*self.threads, beats):
                    thread.join()
                for process in self.processes:
                    process.kill()
                    process.wait()
        if callers.returncode:
            raise RuntimeError(f'callers ended with {callers.returncode}')
        return self._check()

    def _start_engines(self):
        roles = [
            *(('llm', 'prefill'),) * self.shape.prefill,
            *(('llm', 'decode'),) * self.shape.decode,
            *(('till', None),) * self.shape.plain,
        ]
        for number, (service, role) in enumerate(roles):
            engine = EngineProcess(
                self, f'i-{role or service}-{number}', service, role
            )
            engine.start()
            self.engines.append(engine)
        time.sleep(1.5)
        for engine in self.engines:
            engine.register()

    def _start_callers(self):
        settings = {
            'seed': self.seed,
            'gateways': {
                name: gateway.caller_port
                for name, gateway in self.site.gateways.items()
            },
            'rates': {
                kind: rate * self.options.rate
                for kind, rate in self.shape.rates.items()
            },
            'duration_s': self.options.duration_s,
            'journal': str(self.folder / 'attempts'),
            'tries': 4,
            'leaving': 0.03,
        }
        return subprocess.Popen(
            [sys.executable, '-m', 'tests.load_callers', json.dumps(settings)],
            cwd=ROOT,
        )

    def _beat(self):
        while not self.stopping.wait(1.2):
            for engine in self.engines:
                if engine.is_registering and engine.process.poll() is None:
                    engine.register()

    def _play_faults(self):
        start_s = time.monotonic()
        end_s = start_s + self.options.duration_s - 1
        time.sleep(1)
        while time.monotonic() < end_s:
            action = self.random.choices(
                [*ACTIONS], [weight for weight, _ in ACTIONS.values()]
            )[0]
            self.is_uniform = (
                time.monotonic() < start_s + self.options.uniform_s
            )
            if action in self.options.without:
                continue
            self.actions[action] += 1
            self._note(action)
            ACTIONS[action][1](self)
            time.sleep(self.random.uniform(0.05, 0.6))

    def _note(self, text):
        self.rows.append(f'{time.monotonic():.3f} {text}')

    def _later(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments)
        self.threads.append(thread)
        thread.start()

    def _gateway(self):
        return self.random.choice(list(self.site.gateways.values()))

    def _decoder(self):
        return self.random.choice(
            [row for row in self.engines if row.role == 'decode']
        )

    def kill_gateways(self):
        gateways = list(self.site.gateways.values())
        count = self.random.choice((1, 1, 1, 2, len(gateways)))
        for gateway in self.random.sample(gateways, count):
            gateway.signal(SIGKILL)
            self._later(gateway.start_after, gateway.process)

    def stop_gateway(self):
        gateway = self._gateway()
        gateway.signal(SIGTERM)
        self._later(gateway.start_after, gateway.process)

    def reload_gateway(self):
        self._gateway().signal(SIGHUP)

    def freeze_gateway(self):
        self._later(self._freeze, self._gateway().process, self._pause_s())

    def freeze_engine(self):
        self._later(self._freeze, self._decoder().process, self._pause_s())

    def _pause_s(self):
        return self.random.choice((0.05, 0.3, 1.0, 2.0, 4.0))

    def _freeze(self, process, duration_s):
        if process.poll() is not None:
            return
        process.send_signal(SIGSTOP)
        time.sleep(duration_s)
        if process.poll() is None:
            process.send_signal(SIGCONT)

    def _version(self, *choices):
        found = self.random.choice(choices)
        return 'v1' if self.is_uniform else found

    def restart_engine(self):
        """Let an engine start again under its id and address."""
        engine = self._decoder()
        version = self._version(engine.version, 'v1', 'v2')
        delay_s = self.random.choice((0, 0, 0.3, 1.5))
        late_s = self.random.choice((0, 0, 0.5, 3))
        self._replace(engine, engine.target_id, version, delay_s, late_s)

    def replace_engine(self):
        """Let an engine with another id take over an address."""
        engine = self._decoder()
        former_id = engine.target_id
        name = f'{engine.name}-{self.random.randrange(10**6)}'
        version = self._version('v1', 'v2')
        self._replace(engine, name, version, self.random.choice((0, 1)), 0)
        self.site.remove(former_id)

    def _replace(self, engine, target_id, version, delay_s, late_s):
        engine.is_registering = False
        engine.kill()
        time.sleep(delay_s)
        engine.target_id = target_id
        engine.version = version
        engine.start()

        def register():
            time.sleep(late_s)
            engine.register()
            engine.is_registering = True

        self._later(register)

    def release(self):
        """Replace some engines; the new one starts first, the old one drains."""
        engines = [row for row in self.engines if row.role == 'decode']
        version = self._version('v1', 'v2', 'v3')
        for engine in self.random.sample(engines, self.shape.release_step):
            name = f'{engine.name}-r{self.random.randrange(10**6)}'
            new = EngineProcess(self, name, 'llm', 'decode')
            new.version = version
            new.start()
            self.engines.append(new)
            self.engines.remove(engine)
            self._later(self._finish_release, engine, new)

    def _finish_release(self, engine, new):
        time.sleep(0.6)
        new.register()
        time.sleep(0.4)
        engine.is_registering = False
        engine.register(state='draining')
        time.sleep(2.5)
        self.site.remove(engine.target_id)
        engine.kill()

    def cut_store(self):
        proxy = self._gateway().store_proxy
        proxy.hold()
        self._later(self._heal_store, proxy, self.random.choice((0.3, 2, 5)))

    def slow_store(self):
        for gateway in self.site.gateways.values():
            proxy = gateway.store_proxy
            proxy.delay_s = self.random.choice((0.05, 0.2))
            self._later(self._heal_store, proxy, 3)

    def _heal_store(self, proxy, after_s):
        time.sleep(after_s)
        proxy.heal()

    def fault_store(self):
        self.site.store.fault = self.random.choice(
            ('down', 'silent', 'lose_appends')
        )

        def heal():
            time.sleep(self.random.choice((0.5, 2, 5)))
            self.site.store.fault = ''

        self._later(heal)

    # Checks.

    def _check(self):
        attempts = [
            json.loads(row)
            for row in (self.folder / 'attempts').read_text().splitlines()
        ]
        broken = find_disordered(attempts, EVENTS)
        summary = Counter(
            f'{row["name"].partition("-")[0]} '
            f'{row["status"] if row["is_complete"] else "cut"}'
            for row in attempts
        )
        (self.folder / 'faults').write_text('\n'.join(self.rows))
        taken_up = [row for row in attempts if row['after']]
        return broken, {
            'streams': len({row['began'] for row in attempts if row['events']}),
            'taken up': len(taken_up),
            'went on': sum(bool(row['events']) for row in taken_up),
            **dict(sorted(summary.items())),
            **dict(sorted(self.actions.items())),
        }


ACTIONS = {
    'kill gateways': (3, LoadSoak.kill_gateways),
    'stop gateway': (1, LoadSoak.stop_gateway),
    'reload gateway': (1, LoadSoak.reload_gateway),
    'freeze gateway': (2, LoadSoak.freeze_gateway),
    'freeze engine': (2, LoadSoak.freeze_engine),
    'restart engine': (4, LoadSoak.restart_engine),
    'replace engine': (2, LoadSoak.replace_engine),
    'release': (1, LoadSoak.release),
    'cut store': (2, LoadSoak.cut_store),
    'slow store': (1, LoadSoak.slow_store),
    'fault store': (1, LoadSoak.fault_store),
}


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument('shape', choices=SHAPES)
    parser.add_argument('seeds', type=int, nargs='+')
    parser.add_argument('--duration-s', type=float, default=60)
    parser.add_argument(
        '--uniform-s',
        type=float,
        default=0,
        help='time for which all engines run one software version',
    )
    parser.add_argument('--rate', type=float, default=1.0)
    parser.add_argument('--busy', type=int, default=0)
    parser.add_argument('--without', nargs='*', default=[])
    parser.add_argument(
        '--engine-faults',
        type=json.loads,
        default={'cut': 0.03, 'reset': 0.01, 'shed': 0.01, 'half': 0.01},
    )
    return parser.parse_args()


def main():
    options = parse_arguments()
    failed = 0
    for seed in options.seeds:
        folder = Path(tempfile.mkdtemp(prefix=f'load-{seed}-'))
        soak = LoadSoak(SHAPES[options.shape], seed, folder, options)
        broken, summary = soak.run()
        failed += bool(broken)
        print(f'{options.shape} {seed}: {summary}', *broken, sep='\n  ')
        print(f'  logs: {folder}', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
