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
from measurement.proxies import run_proxy_hosts
from measurement.resource_usage import (
    IdleCoreSampler,
    ResourceUsage,
    measure_usage,
)
from measurement.systems import (
    USAGE_GRACE_S,
    USAGE_WINDOW_S,
    NaiveDeployment,
    ProductDeployment,
    sleep_until,
)
from measurement.trace import make_faults, make_trace
from peridotrill.services import Service
from standins import topology
from standins.prepare_deployment import DEPLOYMENTS_FOLDER, load_catalog
from tests.processes import ROOT, run_processes

# Long enough that every bucket is full when the trace begins.
IDLE_S: Final = 10.0
_START_DELAY_S: Final = 1.5
# Fine enough for bounds of seconds, and little beside the traffic.
_WATCH_INTERVAL_S: Final = 0.2
_WATCH_TIMEOUT_S: Final = 20.0
_PLAY_TIMEOUT_S: Final = 120.0
# When a configuration is published and a key withdrawn, as parts of the
# trace.
_CHANGE_TIME_RATIOS: Final = (0.05, 0.35, 0.65)
# A report may wait for one more window, and for the end of an outage.
USAGE_LATE_S: Final = USAGE_GRACE_S + USAGE_WINDOW_S
_USAGE_POLL_INTERVAL_S: Final = 0.5
_USAGE_SETTLE_S: Final = USAGE_WINDOW_S + USAGE_LATE_S


class ChangeProbe:
    """Publishes and withdraws under traffic; keeps how long it took."""

    def __init__(
        self, product: ProductDeployment, service_files: dict[str, str]
    ) -> None:
        """:param texts: service files, changed by a comment each time."""
        self.config_s: list[float] = []
        self.withdrawn_s: list[float] = []
        self._product = product
        self._service_files = service_files
        self._team = next(iter(product.keys))
        self._watchers: list[threading.Thread] = []
        self._number = 0

    def grant(self) -> tuple[str, str]:
        """Grant a key that is withdrawn later; returns its name and itself."""
        self._number += 1
        name = f'withdrawn-{self._number}'
        return name, self._product.grant(self._team, name)

    def withdraw_and_publish(self, name: str, key: str) -> None:
        """Withdraw a key and publish; watches until both are in force."""
        product = self._product
        if product.platform_is_faulty:
            return
        product.withdraw(name)
        self._start_watcher(self._watch_key, key)
        service, text = next(iter(self._service_files.items()))
        product.publish({service: f'{text}# change {name}\n'})
        self._start_watcher(self._watch_version, product.version)

    def wait(self) -> None:
        """Wait for all watchers."""
        for watcher in self._watchers:
            watcher.join()

    def _start_watcher(self, watch: Any, argument: Any) -> None:
        arguments = (argument, time.monotonic())
        thread = threading.Thread(target=watch, args=arguments, daemon=True)
        self._watchers.append(thread)
        thread.start()

    def _watch_version(self, version: int, since_s: float) -> None:
        product = self._product
        left = set(product.entries)
        while left and time.monotonic() - since_s < _WATCH_TIMEOUT_S:
            for entry_id in list(left):
                observed = product.get_config_version(entry_id)
                if observed is None or observed >= version:
                    left.discard(entry_id)
            time.sleep(_WATCH_INTERVAL_S)
        self.config_s.append(time.monotonic() - since_s)

    def _watch_key(self, key: str, since_s: float) -> None:
        # The last answer with the key counts; a paused entry may give one
        # after others have refused it.
        last_s = 0.0
        while time.monotonic() - since_s < _WATCH_TIMEOUT_S / 2:
            for entry_id in self._product.entries:
                if self._product.accepts_key(entry_id, key):
                    last_s = time.monotonic() - since_s
            time.sleep(_WATCH_INTERVAL_S)
        self.withdrawn_s.append(last_s)


class UsageMonitor:
    """Notes when each report was first seen at the platform."""

    def __init__(self, product: ProductDeployment) -> None:
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
        while not self._stop.wait(_USAGE_POLL_INTERVAL_S):
            # The platform may be paused by a fault.
            with suppress(httpx.HTTPError):
                self._poll()

    def _poll(self) -> None:
        self.windows = self._product.observe_platform()['usage']
        for window in self.windows:
            pair = (window['team'], window['window_start_s'])
            if pair not in self._seen:
                self._seen.add(pair)
                end_s = window['window_start_s'] + USAGE_WINDOW_S
                if time.time() > end_s + USAGE_LATE_S:
                    self.late.add(pair)


class DeploymentResults(NamedTuple):
    """What was seen of one deployment, outside the system."""

    product: counting.Observations
    naive: counting.Observations
    alone: counting.Observations
    runs: Counter[str]
    config_s: list[float]
    withdrawn_s: list[float]
    windows: list[dict[str, Any]]
    late: int


class DeploymentRun:
    """One deployment: its trace, the systems and what was seen."""

    def __init__(self, name: str, seed: int, duration_s: float) -> None:
        """:param name: of a reference deployment."""
        self.deployment = topology.DEPLOYMENTS[name]
        folder = DEPLOYMENTS_FOLDER / name
        self.services: dict[str, Service] = load_catalog(folder).services
        self.service_files = {
            service: next(folder.glob(f'{service}/*.yaml')).read_text('utf-8')
            for service in self.services
        }
        self.duration_s = duration_s
        self.trace = make_trace(self.services.values(), seed, duration_s)
        self.faults = make_faults(seed, duration_s)
        self.idle = ResourceUsage()
        self.idle_cores: dict[str, list[float]] = {}

    def run(self, folder: Path) -> DeploymentResults:
        """Run the system, the worst-served team alone and the naive one."""
        with run_product(folder, self.deployment) as product:
            product.start(self.service_files)
            teams = sorted(
                {it for row in self.services.values() for it in row.teams}
            )
            product.keys = {team: product.grant(team) for team in teams}
            usage_monitor = UsageMonitor(product)
            self.idle = measure_idle_usage(product)
            change_probe = ChangeProbe(product, self.service_files)
            observed = self.replay('product', product, folder, change_probe)
            alone = self.replay(
                'alone', product, folder, team=counting.worst_team(observed)
            )
            # The last usage windows are reported during this play.
            settled_s = time.monotonic() + _USAGE_SETTLE_S
            naive = NaiveDeployment(
                product, self.services, product.keys, folder
            )
            observed_naive = self.replay('naive', naive, folder)
            naive.stop()
            sleep_until(settled_s)
            usage_monitor.stop()
            runs = product.observer().runs()
        return DeploymentResults(
            observed,
            observed_naive,
            alone,
            runs,
            change_probe.config_s,
            change_probe.withdrawn_s,
            usage_monitor.windows,
            len(usage_monitor.late),
        )

    def replay(
        self,
        run: str,
        system: Any,
        folder: Path,
        change_probe: ChangeProbe | None = None,
        team: str = '',
    ) -> counting.Observations:
        """Play the trace, or that of one team, with all faults."""
        arrivals = [it for it in self.trace if team in {'', it.team}]
        granted = (
            [change_probe.grant() for _ in _CHANGE_TIME_RATIOS]
            if change_probe
            else []
        )
        if granted:
            time.sleep(1)
        start_s = time.monotonic() + _START_DELAY_S
        results = folder / f'{run}.json'
        plan = {
            'run': run,
            'arrivals': arrivals,
            'start_s': start_s,
            'entries': system.list_caller_urls(),
            'keys': system.keys,
            'services': {
                name: find_caller_paths(service)
                for name, service in self.services.items()
            },
            'results': str(results),
        }
        path = folder / f'{run}-plan.json'
        path.write_text(json.dumps(plan), 'utf-8')
        player = subprocess.Popen(
            [sys.executable, '-m', 'measurement.player', str(path)], cwd=ROOT
        )
        actions: list[tuple[float, Any, tuple[Any, ...]]] = []
        for fault in self.faults:
            actions.append((fault.at_s, system.inject_fault, (fault,)))
            actions.append(
                (fault.at_s + fault.span_s, system.clear_fault, (fault,))
            )
        if change_probe:
            actions += [
                (
                    part * self.duration_s,
                    change_probe.withdraw_and_publish,
                    names,
                )
                for part, names in zip(_CHANGE_TIME_RATIOS, granted)
            ]
        sleep_until(start_s)
        watch = IdleCoreSampler()
        for at_s, action, arguments in sorted(actions, key=lambda row: row[0]):
            sleep_until(start_s + at_s)
            action(*arguments)
        player.wait(_PLAY_TIMEOUT_S)
        self.idle_cores[run] = watch.stop()
        if change_probe:
            change_probe.wait()
        rows = json.loads(results.read_text('utf-8'))
        outcomes = {row[0]: Outcome(*row) for row in rows}
        return counting.Observations(arrivals, outcomes)


def find_caller_paths(service: Service) -> dict[str, str]:
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


def measure_idle_usage(product: ProductDeployment) -> ResourceUsage:
    """Return what an entry costs without requests."""
    process = product.entries['entry-1']
    proxies = [
        proxy for key, proxy in product.link_proxies.items() if 'entry-1' in key
    ]
    proxies.append(product.log_proxies['entry-1'])
    # The first seconds still have registrations of other entries.
    time.sleep(2)
    sent = sum(proxy.byte_count() for proxy in proxies)
    with measure_usage(process.pid) as usage:
        time.sleep(IDLE_S)
    sent = sum(proxy.byte_count() for proxy in proxies) - sent
    usage.kb_per_s = sent / 1000 / IDLE_S
    return usage


@contextmanager
def run_product(folder: Path, deployment: topology.Deployment):
    """Yield a deployment whose processes end with the block."""
    with (
        run_proxy_hosts() as proxies,
        httpx.Client(timeout=30.0, trust_env=False) as client,
        run_processes(folder) as processes,
    ):
        yield ProductDeployment(processes, proxies, client, deployment)
