"""Plays the load of a site against processes, with faults from outside.

``python -m tests.load_soak SHAPE SEED...`` runs each seed: gateways, engines and
callers are processes, and the faults are a list with times, drawn from the seed.
``--replay FILE`` plays the list that an earlier run has written, or one of
``tests/load_plans``. Prints the streams that break their order, what was
exercised, and what was not.

The exit status is 1 if a stream is broken or a gateway ends by itself, and 2 if
a run was not played: a stand-in, the callers or this program failed.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from tests.engine_proxies import EngineProxies
from tests.gateway_site import (
    ROOT,
    SIGCONT,
    SIGHUP,
    SIGKILL,
    SIGSTOP,
    SIGTERM,
    run_site,
)
from tests.load_checks import find_disordered
from tests.load_faults import (
    ACTIONS,
    PlanOptions,
    plan_faults,
    read_faults,
    write_faults,
)
from tests.load_site import EngineProcess
from tests.load_summary import (
    SOURCES,
    EngineEvents,
    count_cut_by_gateway,
    count_sources,
    find_unexercised,
    summarize_callers,
)

EVENTS = 13
# Time that the callers may take beyond their duration.
CALLERS_TIMEOUT_S = 40
FAULT_SHARES = {'cut': 0.03, 'reset': 0.01, 'shed': 0.01, 'half': 0.01}
PASSED, BROKEN, NOT_PLAYED = range(3)


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


class Run(NamedTuple):
    """Settings of one run, which its list of faults is kept with."""

    shape: str
    seed: int
    duration_s: float
    rate: float = 1.0
    busy: int = 0
    has_proxies: bool = False
    engine_faults: dict = FAULT_SHARES


class GatewayKill(NamedTuple):
    """A kill of a gateway process."""

    sent_s: float
    gateway: str


class ExceptionList(list):
    """Event log of a stand-in that keeps the exceptions only."""

    def write(self, event, **fields):
        """Ignore an event."""

    def write_exception(self, event, error, **fields):
        self.append(''.join(traceback.format_exception(error)))


class LoadSoak:
    """Plays one list of faults."""

    event_count = EVENTS

    def __init__(self, run, faults, folder):
        self.run = run
        self.shape = SHAPES[run.shape]
        self.faults = faults
        self.folder = folder
        self.site = None
        self.proxies = None
        self.engines = []
        # Decode engines by their places in the list of faults.
        self.decoders = []
        self.actions = Counter()
        self.rows = []
        self.threads = []
        # Errors of the stand-ins, the callers and this program.
        self.errors = ExceptionList()
        # All that this run has started, besides gateways, and what it has killed.
        self.processes = []
        self.killed = []
        self.engine_kills = []
        self.gateway_kills = []
        # Time of the first record of each engine process.
        self.registered_s = {}
        self.gateways_ended = []
        self.stopping = threading.Event()

    def put(self, topic, key, content):
        self.site.portal.call(self.site.store.put, topic, key, content)

    def play(self):
        """Play the faults; errors are collected."""
        with ExitStack() as stack:
            self.site = stack.enter_context(
                run_site(self.folder, stand_in_log=self.errors)
            )
            stack.callback(self._stop_processes)
            for stand_in in list(self.site.engines.values()):
                self.site.remove(stand_in.target_id)
            if self.run.has_proxies:
                log = stack.enter_context(
                    (self.folder / 'proxies.log').open('w')
                )
                self.proxies = EngineProxies(log)
                self.processes.append(self.proxies.process)
            self._start_engines()
            nodes = [f'front-{n}' for n in range(self.shape.gateways)]
            self.site.start_gateways(
                *nodes,
                is_first_start=True,
                **{'window-s': 2, 'grace-s': 4, 'drain-ms': 2000},
            )
            callers = self._start_callers()
            self._start_busy()
            self._start_thread(self._beat)
            try:
                self._play_faults()
                status = callers.wait(self.run.duration_s + CALLERS_TIMEOUT_S)
            finally:
                self.stopping.set()
                for thread in self.threads:
                    thread.join()
            if status:
                self.errors.append(f'callers ended with {status}')
            self._check_processes(callers)

    def _stop_processes(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def _check_processes(self, callers):
        """Note what has ended by itself."""
        for process in self.processes:
            is_expected = process in self.killed or process is callers
            if process.poll() is not None and not is_expected:
                self.errors.append(
                    f'{process.args[2:]} ended with {process.returncode}'
                )
        for log in self.folder.glob('*.log'):
            is_gateway = log.stem in self.site.gateways
            if not is_gateway and 'Traceback' in log.read_text():
                self.errors.append(f'exception in {log}')
        for gateway in self.site.gateways.values():
            ended = {row.pid: row.status for row in gateway.exits}
            if gateway.process.poll() is not None:
                ended[gateway.process.pid] = gateway.process.returncode
            signalled = {
                row.pid
                for row in gateway.signals
                if row.number in {SIGKILL, SIGTERM}
            }
            self.gateways_ended += [
                f'{gateway.node}: process {pid} ended by itself with {status}'
                for pid, status in ended.items()
                if pid not in signalled
            ]

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
            if role == 'decode':
                self.decoders.append(engine)
        for engine in self.engines:
            engine.wait_listening()
            engine.register()

    def _start_callers(self):
        settings = {
            'seed': self.run.seed,
            'gateways': {
                name: gateway.caller_port
                for name, gateway in self.site.gateways.items()
            },
            'rates': {
                kind: rate * self.run.rate
                for kind, rate in self.shape.rates.items()
            },
            'duration_s': self.run.duration_s,
            'journal': str(self.folder / 'attempts'),
            'tries': 4,
            'leaving': 0.03,
        }
        process = subprocess.Popen(
            [sys.executable, '-m', 'tests.load_callers', json.dumps(settings)],
            cwd=ROOT,
        )
        self.processes.append(process)
        return process

    def _start_busy(self):
        self.processes += (
            subprocess.Popen([sys.executable, '-c', 'while True: pass'])
            for _ in range(self.run.busy)
        )

    def _beat(self):
        while not self.stopping.wait(1.2):
            for engine in list(self.engines):
                if engine.is_registering and engine.process.poll() is None:
                    engine.register()

    def _play_faults(self):
        start_s = time.monotonic()
        for fault in self.faults:
            time.sleep(max(0, start_s + fault.at_s - time.monotonic()))
            self.actions[fault.action] += 1
            self._note(f'{fault.action} {fault.settings}')
            method = getattr(self, fault.action)
            self._start_thread(method, fault.settings)

    def _note(self, text):
        self.rows.append(f'{time.monotonic():.3f} {text}')

    def _start_thread(self, function, settings=None):
        def run():
            try:
                function(**(settings or {}))
            except Exception:
                self.errors.append(traceback.format_exc())

        thread = threading.Thread(target=run)
        self.threads.append(thread)
        thread.start()

    def _gateway(self, place):
        return list(self.site.gateways.values())[place]

    # Faults; their arguments are drawn by tests.load_faults.

    def kill_gateways(self, gateways):
        killed = []
        for place in gateways:
            gateway = self._gateway(place)
            killed.append((gateway, gateway.process))
            self.gateway_kills.append(
                GatewayKill(time.monotonic(), gateway.node)
            )
            gateway.signal(SIGKILL)
        for gateway, process in killed:
            gateway.start_after(process)

    def stop_gateway(self, gateway):
        stopped = self._gateway(gateway)
        process = stopped.process
        stopped.signal(SIGTERM)
        stopped.start_after(process)

    def reload_gateway(self, gateway):
        self._gateway(gateway).signal(SIGHUP)

    def freeze_gateway(self, gateway, duration_s):
        _freeze(self._gateway(gateway).process, duration_s)

    def freeze_engine(self, engine, duration_s):
        _freeze(self.decoders[engine].process, duration_s)

    def restart_engine(self, engine, version, delay_s, late_s):
        """Let an engine start again under its id and address."""
        row = self.decoders[engine]
        row.is_registering = False
        row.kill()
        time.sleep(delay_s)
        row.version = version
        row.start()
        row.wait_listening()
        time.sleep(late_s)
        row.register()
        row.is_registering = True

    def replace_engine(self, engine, suffix, version, delay_s):
        """Let an engine with another id take over an address."""
        row = self.decoders[engine]
        former_id = row.target_id
        row.is_registering = False
        row.kill()
        time.sleep(delay_s)
        row.target_id = f'{row.name}-{suffix}'
        row.version = version
        row.start()
        row.register()
        row.is_registering = True
        self.site.remove(former_id)
        row.wait_listening()

    def release(self, engines, version):
        """Replace some engines; the new one starts first, the old one drains."""
        pairs = []
        for place, suffix in engines:
            old = self.decoders[place]
            name = f'i-decode-{place}-r{suffix}'
            new = EngineProcess(self, name, 'llm', 'decode')
            new.version = version
            new.is_registering = False
            new.start()
            pairs.append((place, old, new))
        for place, old, new in pairs:
            new.wait_listening()
            new.register()
            new.is_registering = True
            self.engines.append(new)
            self.decoders[place] = new
            old.is_registering = False
        time.sleep(0.4)
        for _, old, _ in pairs:
            old.register(state='draining')
        time.sleep(2.5)
        for _, old, _ in pairs:
            self.site.remove(old.target_id)
            old.kill()
            self.engines.remove(old)

    def cut_engine(self, engine, duration_s, old):
        """Let an engine and all gateways hear nothing of each other."""
        row = self.decoders[engine]
        row.call_proxy('cut_off')
        time.sleep(duration_s)
        row.call_proxy('reconnect', old=old)

    def restart_cut_off_engine(self, engine, version, duration_s, late_s, old):
        """Let an engine start again behind a cut, and register late.

        The cut ends once the new process listens: a refused connection would
        tell the gateways of the restart.
        """
        row = self.decoders[engine]
        end_s = time.monotonic() + duration_s
        row.is_registering = False
        row.call_proxy('cut_off')
        row.kill(is_seen=False)
        row.version = version
        row.start()
        row.wait_listening()
        time.sleep(max(0, end_s - time.monotonic()))
        row.call_proxy('reconnect', old=old)
        self._note(f'end of the cut of {row.target_id}')
        time.sleep(late_s)
        row.register()
        row.is_registering = True

    def cut_gateway(self, gateway, duration_s, old):
        """Let one gateway and all engines hear nothing of each other."""
        pid = self._gateway(gateway).process.pid
        decoders = list(self.decoders)
        for row in decoders:
            row.call_proxy('cut_off', pid=pid)
        time.sleep(duration_s)
        for row in decoders:
            row.call_proxy('reconnect', pid=pid, old=old)

    def cut_store(self, gateway, duration_s):
        proxy = self._gateway(gateway).store_proxy
        proxy.hold()
        time.sleep(duration_s)
        proxy.heal()

    def slow_store(self, delays_s, duration_s):
        proxies = [row.store_proxy for row in self.site.gateways.values()]
        for proxy, delay_s in zip(proxies, delays_s, strict=True):
            proxy.delay_s = delay_s
        time.sleep(duration_s)
        for proxy in proxies:
            proxy.heal()

    def fault_store(self, fault, duration_s):
        self.site.store.fault = fault
        time.sleep(duration_s)
        self.site.store.fault = ''

    # Results.

    def check(self):
        """Return what is broken, a summary, and what was not exercised."""
        (self.folder / 'faults.log').write_text('\n'.join(self.rows))
        attempts = [
            json.loads(row) for row in _read_lines(self.folder / 'attempts')
        ]
        broken = find_disordered(attempts, EVENTS) + self.gateways_ended
        callers = summarize_callers(attempts)
        if not callers['streams']:
            self.errors.append('no stream was played')
        counts = self._count_exercised(attempts)
        missing = find_unexercised(
            {**callers, **counts}, self.actions, self.run.has_proxies
        )
        summary = {**callers, **dict(sorted(self.actions.items())), **counts}
        return broken, summary, missing

    def _count_exercised(self, attempts):
        events = EngineEvents(
            _read_lines(self.folder / 'engine-events'), EVENTS
        )
        logs = [row.read_text() for row in self.folder.glob('front-*.log')]
        sources = count_sources(logs)
        unregistered = events.begun_unregistered(self.registered_s)
        return {
            **{f'take-ups by {name}': sources[name] for name in SOURCES},
            'streams cut by a kill of a gateway': sum(
                count_cut_by_gateway(attempts, row.gateway, row.sent_s)
                for row in self.gateway_kills
            ),
            'streams cut by a kill of an engine': sum(
                map(events.count_cut_by, self.engine_kills)
            ),
            'runs begun before the record': len(unregistered),
            'second versions': len(events.versions()) - 1,
        }


def _freeze(process, duration_s):
    if process.poll() is not None:
        return
    process.send_signal(SIGSTOP)
    time.sleep(duration_s)
    if process.poll() is None:
        process.send_signal(SIGCONT)


def _read_lines(path):
    return path.read_text().splitlines() if path.exists() else []


def play_run(run, faults):
    """Play one list of faults and print the results; returns the status."""
    folder = Path(tempfile.mkdtemp(prefix=f'load-{run.seed}-'))
    write_faults(folder / 'faults', run._asdict(), faults)
    soak = LoadSoak(run, faults, folder)
    try:
        soak.play()
    except Exception:
        soak.errors.append(traceback.format_exc())
    broken, summary, missing = soak.check()
    name = f'{run.shape} {run.seed}'
    print(f'{name}: {summary}', *broken, sep='\n  ')
    print(f'  not exercised: {", ".join(missing) or "nothing"}')
    print(f'  logs: {folder}', flush=True)
    if soak.errors:
        # The first error usually causes the others.
        print(f'{name}: not played, {len(soak.errors)} errors')
        print(soak.errors[0], flush=True)
        return NOT_PLAYED
    return BROKEN if broken else PASSED


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument('shape', choices=SHAPES, nargs='?')
    parser.add_argument('seeds', type=int, nargs='*')
    parser.add_argument(
        '--replay',
        type=Path,
        help='file named faults in the folder of an earlier run',
    )
    parser.add_argument('--duration-s', type=float, default=60)
    parser.add_argument(
        '--uniform-s',
        type=float,
        default=0,
        help='time for which all engines run one software version',
    )
    parser.add_argument('--rate', type=float, default=1.0)
    parser.add_argument('--busy', type=int, default=0)
    parser.add_argument('--without', nargs='*', default=[], choices=ACTIONS)
    parser.add_argument(
        '--proxies',
        action='store_true',
        help='put proxies between gateways and engines, and cut connections',
    )
    parser.add_argument(
        '--engine-faults', type=json.loads, default=FAULT_SHARES
    )
    options = parser.parse_args()
    if bool(options.replay) == bool(options.seeds):
        parser.error('either a shape and seeds or --replay')
    return options


def list_runs(options):
    """Return each run with its faults."""
    if options.replay:
        run, faults = read_faults(options.replay)
        return [(Run(**run), faults)]
    plan_options = PlanOptions(
        options.duration_s,
        options.uniform_s,
        options.proxies,
        tuple(options.without),
    )
    found = []
    for seed in options.seeds:
        run = Run(
            options.shape,
            seed,
            options.duration_s,
            options.rate,
            options.busy,
            options.proxies,
            options.engine_faults,
        )
        faults = plan_faults(SHAPES[run.shape], seed, plan_options)
        found.append((run, faults))
    return found


def main():
    runs = list_runs(parse_arguments())
    return max(play_run(run, faults) for run, faults in runs)


if __name__ == '__main__':
    sys.exit(main())
