"""Plays the trace of one deployment in the system and the naive one."""

import json
import subprocess
import sys
import threading
import time
from collections import Counter
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, Final, NamedTuple

import httpx

from measurement import counting
from measurement.player import Outcome
from measurement.process_cost import Cost, IdleWatch, read_cost
from measurement.proxies import run_hosts
from measurement.systems import (
    USAGE_GRACE_S,
    USAGE_WINDOW_S,
    Naive,
    Product,
    sleep_until,
)
from measurement.trace import make_faults, make_trace
from peridotrill.services import Service
from standins import topology
from standins.prepare_deployment import DEPLOYMENTS_FOLDER, load_catalog
from tests.processes import ROOT, run_processes

# Long enough that every bucket is full when the trace begins.
IDLE_S: Final = 10.0
_LEAD_S: Final = 1.5
# Fine enough for bounds of seconds, and little beside the traffic.
_WATCH_S: Final = 0.2
_WATCH_TIMEOUT_S: Final = 20.0
_PLAY_TIMEOUT_S: Final = 120.0
# When a configuration is published and a key withdrawn, as parts of the
# trace.
_CHANGES: Final = (0.05, 0.35, 0.65)
# A report may wait for one more window, and for the end of an outage.
USAGE_LATE_S: Final = USAGE_GRACE_S + USAGE_WINDOW_S
_USAGE_POLL_S: Final = 0.5
_USAGE_SETTLE_S: Final = USAGE_WINDOW_S + USAGE_LATE_S


class Changes:
    """Publishes and withdraws under traffic; keeps how long it took."""

    def __init__(self, product: Product, texts: dict[str, str]) -> None:
        """:param texts: service files, changed by a comment each time."""
        self.config_s: list[float] = []
        self.withdrawn_s: list[float] = []
        self._product = product
        self._texts = texts
        self._team = next(iter(product.keys))
        self._watchers: list[threading.Thread] = []
        self._number = 0

    def grant(self) -> tuple[str, str]:
        """Grant a key that is withdrawn later; returns its name and itself."""
        self._number += 1
        name = f'withdrawn-{self._number}'
        return name, self._product.grant(self._team, name)

    def change(self, name: str, key: str) -> None:
        """Withdraw a key and publish; watches until both are in force."""
        product = self._product
        if product.platform_is_faulty:
            return
        product.withdraw(name)
        self._watch(self._watch_key, key)
        service, text = next(iter(self._texts.items()))
        product.publish({service: f'{text}# change {name}\n'})
        self._watch(self._watch_version, product.version)

    def wait(self) -> None:
        """Wait for all watchers."""
        for watcher in self._watchers:
            watcher.join()

    def _watch(self, watch: Any, argument: Any) -> None:
        arguments = (argument, time.monotonic())
        thread = threading.Thread(target=watch, args=arguments, daemon=True)
        self._watchers.append(thread)
        thread.start()

    def _watch_version(self, version: int, since_s: float) -> None:
        product = self._product
        left = set(product.entries)
        while left and time.monotonic() - since_s < _WATCH_TIMEOUT_S:
            for entry_id in list(left):
                seen = product.version_of(entry_id)
                if seen is None or seen >= version:
                    left.discard(entry_id)
            time.sleep(_WATCH_S)
        self.config_s.append(time.monotonic() - since_s)

    def _watch_key(self, key: str, since_s: float) -> None:
        # The last answer with the key counts; a paused entry may give one
        # after others have refused it.
        last_s = 0.0
        while time.monotonic() - since_s < _WATCH_TIMEOUT_S / 2:
            for entry_id in self._product.entries:
                if self._product.accepts_key(entry_id, key):
                    last_s = time.monotonic() - since_s
            time.sleep(_WATCH_S)
        self.withdrawn_s.append(last_s)


class UsageWatch:
    """Notes when each report was first seen at the platform."""

    def __init__(self, product: Product) -> None:
        """:param product: its platform is asked again and again."""
        self.windows: list[dict[str, Any]] = []
        self.late: set[tuple[str, int]] = set()
        self._product = product
        self._seen: set[tuple[str, int]] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the observation."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(_USAGE_POLL_S):
            # The platform may be paused by a fault.
            with suppress(httpx.HTTPError):
                self._look()

    def _look(self) -> None:
        self.windows = self._product.observe_platform()['usage']
        for window in self.windows:
            pair = (window['team'], window['window_start_s'])
            if pair not in self._seen:
                self._seen.add(pair)
                end_s = window['window_start_s'] + USAGE_WINDOW_S
                if time.time() > end_s + USAGE_LATE_S:
                    self.late.add(pair)


class Played(NamedTuple):
    """What was seen of one deployment, outside the system."""

    product: counting.Seen
    naive: counting.Seen
    alone: counting.Seen
    runs: Counter[str]
    config_s: list[float]
    withdrawn_s: list[float]
    windows: list[dict[str, Any]]
    late: int


class Shift:
    """One deployment: its trace, the systems and what was seen."""

    def __init__(self, name: str, seed: int, duration_s: float) -> None:
        """:param name: of a reference deployment."""
        self.deployment = topology.DEPLOYMENTS[name]
        folder = DEPLOYMENTS_FOLDER / name
        self.services: dict[str, Service] = load_catalog(folder).services
        self.texts = {
            service: next(folder.glob(f'{service}/*.yaml')).read_text('utf-8')
            for service in self.services
        }
        self.duration_s = duration_s
        self.trace = make_trace(self.services.values(), seed, duration_s)
        self.faults = make_faults(seed, duration_s)
        self.idle = Cost()
        self.idle_cores: dict[str, list[float]] = {}

    def run(self, folder: Path) -> Played:
        """Run the system, the worst-served team alone and the naive one."""
        with run_product(folder, self.deployment) as product:
            product.start(self.texts)
            teams = sorted(
                {it for row in self.services.values() for it in row.teams}
            )
            product.keys = {team: product.grant(team) for team in teams}
            usage = UsageWatch(product)
            self.idle = measure_idle(product)
            changes = Changes(product, self.texts)
            seen = self.play('product', product, folder, changes)
            alone = self.play(
                'alone', product, folder, team=counting.worst_team(seen)
            )
            # The last usage windows are reported during this play.
            settled_s = time.monotonic() + _USAGE_SETTLE_S
            naive = Naive(product, self.services, product.keys, folder)
            seen_naive = self.play('naive', naive, folder)
            naive.stop()
            sleep_until(settled_s)
            usage.stop()
            runs = product.observer().runs()
        return Played(
            seen,
            seen_naive,
            alone,
            runs,
            changes.config_s,
            changes.withdrawn_s,
            usage.windows,
            len(usage.late),
        )

    def play(
        self,
        run: str,
        system: Any,
        folder: Path,
        changes: Changes | None = None,
        team: str = '',
    ) -> counting.Seen:
        """Play the trace, or that of one team, with all faults."""
        arrivals = [it for it in self.trace if team in {'', it.team}]
        granted = [changes.grant() for _ in _CHANGES] if changes else []
        if granted:
            time.sleep(1)
        start_s = time.monotonic() + _LEAD_S
        results = folder / f'{run}.json'
        plan = {
            'run': run,
            'arrivals': arrivals,
            'start_s': start_s,
            'entries': system.player_entries(),
            'keys': system.keys,
            'services': {
                name: plan_paths(service)
                for name, service in self.services.items()
            },
            'results': str(results),
        }
        path = folder / f'{run}-plan.json'
        path.write_text(json.dumps(plan), 'utf-8')
        player = subprocess.Popen(
            [sys.executable, '-m', 'measurement.player', str(path)], cwd=ROOT
        )
        acts: list[tuple[float, Any, tuple[Any, ...]]] = []
        for fault in self.faults:
            acts.append((fault.at_s, system.begin, (fault,)))
            acts.append((fault.at_s + fault.span_s, system.end, (fault,)))
        if changes:
            acts += [
                (part * self.duration_s, changes.change, names)
                for part, names in zip(_CHANGES, granted)
            ]
        sleep_until(start_s)
        watch = IdleWatch()
        for at_s, act, arguments in sorted(acts, key=lambda row: row[0]):
            sleep_until(start_s + at_s)
            act(*arguments)
        player.wait(_PLAY_TIMEOUT_S)
        self.idle_cores[run] = watch.stop()
        if changes:
            changes.wait()
        rows = json.loads(results.read_text('utf-8'))
        outcomes = {row[0]: Outcome(*row) for row in rows}
        return counting.Seen(arrivals, outcomes)


def plan_paths(service: Service) -> dict[str, str]:
    """Return the paths that callers of a service use."""
    if service.kind == 'model':
        return {
            'model': str(service.model),
            'post': '/v1/completions',
            'lookup': '',
        }
    posts = [it.path for it in service.routes if not it.idempotent]
    lookups = [
        it.path
        for it in service.routes
        if it.idempotent and not it.open and it.path != f'{posts[0]}/'
    ]
    return {'model': '', 'post': posts[0], 'lookup': lookups[0]}


def measure_idle(product: Product) -> Cost:
    """Return what an entry costs without requests."""
    process = product.entries['entry-1']
    proxies = [
        proxy for key, proxy in product.link_proxies.items() if 'entry-1' in key
    ]
    proxies.append(product.log_proxies['entry-1'])
    # The first seconds still have registrations of other entries.
    time.sleep(2)
    sent = sum(proxy.byte_count() for proxy in proxies)
    with read_cost(process.pid) as cost:
        time.sleep(IDLE_S)
    sent = sum(proxy.byte_count() for proxy in proxies) - sent
    cost.kb_per_s = sent / 1000 / IDLE_S
    return cost


@contextmanager
def run_product(folder: Path, deployment: topology.Deployment):
    """Yield a deployment whose processes end with the block."""
    with (
        run_hosts() as proxies,
        httpx.Client(timeout=30.0, trust_env=False) as client,
        run_processes(folder) as processes,
    ):
        yield Product(processes, proxies, client, deployment)
