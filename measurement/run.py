"""Replays the trace of one deployment in the system and the baseline."""

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

# Long enough for every token bucket to be full when the trace begins.
IDLE_MEASUREMENT_S: Final = 10.0
_START_DELAY_S: Final = 1.5
# Precise enough for limits of seconds, at a load that is small compared with
# the traffic.
_WATCH_INTERVAL_S: Final = 0.2
_WATCH_TIMEOUT_S: Final = 20.0
_REPLAY_TIMEOUT_S: Final = 120.0
# When a configuration is published and a key withdrawn, as ratios of the
# duration of the trace.
_CHANGE_TIME_RATIOS: Final = (0.05, 0.35, 0.65)
# A report may be delayed by one more window and by an outage.
USAGE_LATE_S: Final = USAGE_GRACE_S + USAGE_WINDOW_S
_USAGE_POLL_INTERVAL_S: Final = 0.5
_USAGE_SETTLE_S: Final = USAGE_WINDOW_S + USAGE_LATE_S


class ChangeProbe:
    """Measures how long changes take to become effective under traffic.

    A change withdraws a key and publishes a configuration that differs in a
    comment only.
    """

    def __init__(
        self, product: ProductDeployment, service_files: dict[str, str]
    ) -> None:
        """:param service_files: file text by service name."""
        self.config_s: list[float] = []
        self.withdrawn_s: list[float] = []
        self._product = product
        self._service_files = service_files
        self._team = next(iter(product.keys))
        self._watchers: list[threading.Thread] = []
        self._number = 0

    def grant(self) -> tuple[str, str]:
        """Grant a key to withdraw later; returns its name and the key."""
        self._number += 1
        name = f'withdrawn-{self._number}'
        return name, self._product.grant(self._team, name)

    def withdraw_and_publish(self, name: str, key: str) -> None:
        """Withdraw a key and publish; watch until both take effect.

        Does nothing while the platform is faulty.
        """
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
        # The last accepted call counts: a paused entry may still accept the
        # key after the others have refused it.
        last_s = 0.0
        while time.monotonic() - since_s < _WATCH_TIMEOUT_S / 2:
            for entry_id in self._product.entries:
                if self._product.accepts_key(entry_id, key):
                    last_s = time.monotonic() - since_s
            time.sleep(_WATCH_INTERVAL_S)
        self.withdrawn_s.append(last_s)


class UsageMonitor:
    """Polls the usage reports at the platform and records late ones."""

    def __init__(self, product: ProductDeployment) -> None:
        """:param product: deployment whose platform is polled."""
        self.windows: list[dict[str, Any]] = []
        self.late: set[tuple[str, int]] = set()
        self._product = product
        self._seen: set[tuple[str, int]] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
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
    """Results of one deployment, as observed from outside the system.

    ``alone`` is the replay of the worst-served team without the others,
    ``runs`` counts executions by digest of the request body and ``late``
    counts late usage reports.
    """

    product: counting.Observations
    naive: counting.Observations
    alone: counting.Observations
    runs: Counter[str]
    config_s: list[float]
    withdrawn_s: list[float]
    windows: list[dict[str, Any]]
    late: int


class DeploymentRun:
    """Runs the trace and faults of one deployment in each system."""

    def __init__(self, name: str, seed: int, duration_s: float) -> None:
        """:param name: name of a reference deployment."""
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
        """Replay the trace in the system and in the naive deployment.

        The trace of the worst-served team is also replayed alone.
        """
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
            # The last usage windows are reported during the naive replay.
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
        """Replay the trace, or one team's part of it, with all faults."""
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
                (fault.at_s + fault.duration_s, system.clear_fault, (fault,))
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
        player.wait(_REPLAY_TIMEOUT_S)
        self.idle_cores[run] = watch.stop()
        if change_probe:
            change_probe.wait()
        rows = json.loads(results.read_text('utf-8'))
        outcomes = {row[0]: Outcome(*row) for row in rows}
        return counting.Observations(arrivals, outcomes)


def find_caller_paths(service: Service) -> dict[str, str]:
    """Return the model and the paths that callers of a service use."""
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
    """Return the resource usage of an entry without requests."""
    process = product.entries['entry-1']
    proxies = [
        proxy for key, proxy in product.link_proxies.items() if 'entry-1' in key
    ]
    proxies.append(product.log_proxies['entry-1'])
    # Other entries are still registering during the first seconds.
    time.sleep(2)
    sent = sum(proxy.byte_count() for proxy in proxies)
    with measure_usage(process.pid) as usage:
        time.sleep(IDLE_MEASUREMENT_S)
    sent = sum(proxy.byte_count() for proxy in proxies) - sent
    usage.kb_per_s = sent / 1000 / IDLE_MEASUREMENT_S
    return usage


@contextmanager
def run_product(folder: Path, deployment: topology.Deployment):
    """Yield a deployment; its processes end with the block."""
    with (
        run_proxy_hosts() as proxies,
        httpx.Client(timeout=30.0, trust_env=False) as client,
        run_processes(folder) as processes,
    ):
        yield ProductDeployment(processes, proxies, client, deployment)
