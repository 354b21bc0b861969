"""The measured system and the naive one, as whole deployments with faults."""

import json
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any, Final, NamedTuple

import httpx

from measurement.proxies import RemoteLoop, RemoteProxy
from measurement.trace import Fault
from peridotrill.records import encode_record
from peridotrill.services import Service
from standins import topology
from tests.cluster import Cluster, join, loopback, split
from tests.processes import wait_for

ZONE_DELAY_S: Final = 0.0015
CALLER_DELAY_S: Final = 0.003
USAGE_WINDOW_S: Final = 10
USAGE_GRACE_S: Final = 2
_USAGE_FLUSH: Final = '1s'
_STATUS_TIMEOUT_S: Final = 0.5


class Direct(NamedTuple):
    """Takes the place of a proxy; processes connect to each other."""

    address: tuple[str, int]

    def heal(self) -> None:
        """Do nothing; there are no faults."""


class DirectLoop:
    """Takes the place of the loop of proxies."""

    def start(self, target: tuple[str, int]) -> Direct:
        """Return the address of the target itself."""
        return Direct(target)


class Product(Cluster):
    """A deployment of the measured system."""

    proxies: Any

    def __init__(
        self,
        processes: Any,
        proxies: RemoteLoop,
        client: httpx.Client,
        deployment: topology.Deployment,
    ) -> None:
        """:param deployment: one of the reference deployments."""
        super().__init__(processes, proxies, client)
        self.deployment = deployment
        self.entry_settings = {
            'usage_window': f'{USAGE_WINDOW_S}s',
            'usage_grace': f'{USAGE_GRACE_S}s',
            'usage_flush': _USAGE_FLUSH,
            'drain_delay': '300ms',
        }
        self.caller_proxies: dict[str, RemoteProxy] = {}
        self.keys: dict[str, str] = {}
        self.platform_is_faulty = False
        self.version = 0
        self.entry_zones: dict[str, str] = {}

    def start(self, texts: dict[str, str]) -> None:
        """Start all processes and wait until the entries are ready."""
        self.start_platform(vms_lag='1s')
        self.publish(texts)
        self._start_all_targets()
        zones = self.deployment.zones
        for number in range(self.deployment.entry_count):
            entry_id = f'entry-{number + 1}'
            self.entry_zones[entry_id] = zones[number % len(zones)]
            self.start_entry(entry_id, self.entry_zones[entry_id])
            proxy = self.proxies.start(split(self.entry_urls[entry_id]))
            proxy.set_usual_delay(CALLER_DELAY_S)
            self.caller_proxies[entry_id] = proxy
        for (entry_id, target_id), proxy in self.link_proxies.items():
            zone = self.targets[target_id].zone
            if zone != self.entry_zones[entry_id]:
                proxy.set_usual_delay(ZONE_DELAY_S)
        self.wait_ready(60)

    def append(self, record: dict[str, Any]) -> int:
        """Append a record and return its offset."""
        response = self.client.post(
            f'{self._platform_url}/log/append',
            content=encode_record(record),  # type: ignore[arg-type]
        )
        return response.raise_for_status().json()['offset']

    def publish(self, texts: dict[str, str], base_version: int = 0) -> None:
        """Publish texts on top of the version published before."""
        self.version = self.append(
            {
                'kind': 'config_published',
                'publish_id': f'measure-{self.version}',
                'base_version': self.version,
                'changed': texts,
                'removed': [],
                'author': 'measurement',
            },
        )

    def player_entries(self) -> dict[str, dict[str, str]]:
        """Return the URLs that callers and the balancer use."""
        return {
            entry_id: {
                'url': f'http://{join(proxy.address)}',
                'ready': f'{self.control_urls[entry_id]}/readyz',
            }
            for entry_id, proxy in self.caller_proxies.items()
        }

    def version_of(self, entry_id: str) -> int | None:
        """Return the version in force; None if the VM is down."""
        url = f'{self.control_urls[entry_id]}/status'
        try:
            answer = self.client.get(url, timeout=_STATUS_TIMEOUT_S)
        except httpx.ConnectError:
            return None
        except httpx.TransportError:
            return 0
        return answer.json()['config_version']

    def accepts_key(self, entry_id: str, key: str) -> bool:
        """Tell if an entry answers a call with this key."""
        headers = {'Authorization': f'Bearer {key}'}
        url = f'{self.entry_urls[entry_id]}/v1/models'
        try:
            answer = self.client.get(
                url, headers=headers, timeout=_STATUS_TIMEOUT_S
            )
        except httpx.TransportError:
            return False
        return answer.is_success

    def begin(self, fault: Fault) -> None:
        """Inject a fault."""
        self.platform_is_faulty = fault.part == 'platform'
        getattr(self, f'_{fault.part}_{fault.kind}')(fault)

    def end(self, fault: Fault) -> None:
        """End a fault."""
        if fault.part == 'platform':
            self.platform_is_faulty = False
            self.processes_by_part(fault).resume()
            self.switch_platform(log='up', usage='up')
            heal(self.log_proxies.values())
            return
        process = self.processes_by_part(fault)
        process.resume()
        subject = self.subject(fault)
        if not process.is_running:
            if fault.part == 'entry':
                self.start_entry(subject, self.entry_zones[subject])
            else:
                self.start_agent(subject)
        heal(self._proxies_of(subject))

    def subject(self, fault: Fault) -> str:
        """Return the id of the entry or target that a fault is about."""
        names = list(self.entries)
        if fault.part == 'agent':
            # Answers are lost between an agent and a plain target only.
            names = [
                target.target_id
                for target in self.targets.values()
                if fault.kind != 'lose_answers' or target.kind == 'plain'
            ]
        return names[fault.choice % len(names)]

    def processes_by_part(self, fault: Fault) -> Any:
        """Return the process that a fault is about."""
        if fault.part == 'platform':
            return self.platform
        processes = {**self.entries, **self.agents}
        return processes[self.subject(fault)]

    def start_platform(self, **settings: str) -> None:
        """Start the platform and keep its process."""
        command = topology.build_command('standins.platform', **settings)
        self.platform = self.processes.start('platform', command)
        self._platform_url = f'http://{self.platform.wait_address()}'

    def _start_all_targets(self) -> None:
        # All proxies share one event loop. It would be saturated if each
        # token passed a proxy between engine and agent as well.
        targets = topology.list_targets(self.deployment)
        loop, self.proxies = self.proxies, DirectLoop()
        self.start_targets([it for it in targets if it.kind == 'engine'])
        self.proxies = loop
        self.start_targets([it for it in targets if it.kind == 'plain'])

    def _proxies_of(self, subject: str) -> list[Any]:
        rows = (
            {(key,): proxy for key, proxy in self.caller_proxies.items()},
            {(key,): proxy for key, proxy in self.log_proxies.items()},
            {(key,): proxy for key, proxy in self.target_proxies.items()},
            self.link_proxies,
        )
        return [
            proxy
            for row in rows
            for key, proxy in row.items()
            if subject in key
        ]

    def _links(self, subject: str) -> list[Any]:
        return [
            proxy for key, proxy in self.link_proxies.items() if subject in key
        ]

    def _entry_kill(self, fault: Fault) -> None:
        self.processes_by_part(fault).kill()

    _agent_kill = _entry_kill

    def _entry_pause(self, fault: Fault) -> None:
        self.processes_by_part(fault).pause()

    _agent_pause = _entry_pause
    _platform_pause = _entry_pause

    def _entry_partition(self, fault: Fault) -> None:
        entry_id = self.subject(fault)
        for proxy in (*self._links(entry_id), self.log_proxies[entry_id]):
            proxy.hold()

    def _agent_partition(self, fault: Fault) -> None:
        for proxy in self._links(self.subject(fault)):
            proxy.hold()

    def _platform_partition(self, fault: Fault) -> None:
        for proxy in self.log_proxies.values():
            proxy.hold()

    def _entry_silence(self, fault: Fault) -> None:
        self.caller_proxies[self.subject(fault)].hold(new=False)

    def _agent_silence(self, fault: Fault) -> None:
        for proxy in self._links(self.subject(fault)):
            proxy.hold(new=False)

    def _platform_silence(self, fault: Fault) -> None:
        for proxy in self.log_proxies.values():
            proxy.hold(new=False)

    def _platform_kill(self, fault: Fault) -> None:
        # The stand-in keeps the log in memory, so its connections are cut
        # and refused in place of a kill of the process.
        for proxy in self.log_proxies.values():
            proxy.cut()

    def _entry_lose_answers(self, fault: Fault) -> None:
        self.caller_proxies[self.subject(fault)].drop_answers()

    def _agent_lose_answers(self, fault: Fault) -> None:
        self.target_proxies[self.subject(fault)].drop_answers()

    def _platform_lose_answers(self, fault: Fault) -> None:
        self.switch_platform(log='lose_answers', usage='lose_answers')


class Naive:
    """The naive version in front of the targets of a deployment.

    It has no agents: a fault of an agent is a fault of the connections to
    its target. It calls no platform, so such faults do not touch it.
    """

    def __init__(
        self,
        product: Product,
        services: Mapping[str, Service],
        keys: dict[str, str],
        folder: Path,
    ) -> None:
        """:param keys: key by team."""
        self._product = product
        self._folder = folder
        self.keys = keys
        self.urls: dict[str, str] = {}
        self._processes: dict[str, Any] = {}
        self.caller_proxies: dict[str, RemoteProxy] = {}
        self._links: dict[tuple[str, str], RemoteProxy] = {}
        for entry_id, zone in product.entry_zones.items():
            self._place(entry_id, zone, services, keys)

    def player_entries(self) -> dict[str, dict[str, str]]:
        """Return the URLs that callers and the balancer use."""
        return {
            entry_id: {
                'url': f'http://{join(proxy.address)}',
                'ready': f'{self.urls[entry_id]}/readyz',
            }
            for entry_id, proxy in self.caller_proxies.items()
        }

    def begin(self, fault: Fault) -> None:
        """Inject the equivalent of a fault."""
        if fault.part == 'platform':
            return
        subject = self._product.subject(fault)
        links = [proxy for key, proxy in self._links.items() if subject in key]
        if fault.part == 'entry' and fault.kind in {'kill', 'pause'}:
            getattr(self._processes[subject], fault.kind)()
        elif fault.part == 'entry' and fault.kind == 'silence':
            self.caller_proxies[subject].hold(new=False)
        elif fault.part == 'entry' and fault.kind == 'lose_answers':
            self.caller_proxies[subject].drop_answers()
        else:
            for proxy in links:
                getattr(proxy, _FAULTS[fault.kind])()

    def end(self, fault: Fault) -> None:
        """End a fault."""
        if fault.part == 'platform':
            return
        subject = self._product.subject(fault)
        if fault.part == 'entry':
            self._processes[subject].resume()
            if not self._processes[subject].is_running:
                self._start(subject)
            self.caller_proxies[subject].heal()
        heal(proxy for key, proxy in self._links.items() if subject in key)

    def stop(self) -> None:
        """End the processes."""
        for process in self._processes.values():
            process.kill()

    def _place(
        self,
        entry_id: str,
        zone: str,
        services: Mapping[str, Service],
        keys: dict[str, str],
    ) -> None:
        product = self._product
        for target_id, url in product.target_urls.items():
            proxy = product.proxies.start(split(url))
            if product.targets[target_id].zone != zone:
                proxy.set_usual_delay(ZONE_DELAY_S)
            self._links[entry_id, target_id] = proxy
        address = loopback()
        self.urls[entry_id] = f'http://{address}'
        kinds = {service.kind: name for name, service in services.items()}
        plan = {
            'listen': address,
            'entries': len(product.entry_zones),
            'keys': {key: team for team, key in keys.items()},
            'model_service': kinds['model'],
            'plain_service': kinds['plain'],
            'services': {
                name: {
                    'teams': {
                        team: (policy.rate_per_s, policy.burst)
                        for team, policy in service.teams.items()
                    },
                    'targets': [
                        f'http://{join(proxy.address)}'
                        for (entry, target_id), proxy in self._links.items()
                        if entry == entry_id
                        and product.targets[target_id].service == name
                    ],
                }
                for name, service in services.items()
            },
        }
        path = self._folder / f'naive-{entry_id}.json'
        path.write_text(json.dumps(plan), 'utf-8')
        self._start(entry_id)
        proxy = product.proxies.start(split(address))
        proxy.set_usual_delay(CALLER_DELAY_S)
        self.caller_proxies[entry_id] = proxy
        wait_for(lambda: self._is_up(entry_id), description=f'naive {entry_id}')

    def _start(self, entry_id: str) -> None:
        command = topology.build_command('standins.x')[:2]
        command += ['measurement.naive']
        command.append(str(self._folder / f'naive-{entry_id}.json'))
        self._processes[entry_id] = self._product.processes.start(
            f'naive-{entry_id}', command
        )

    def _is_up(self, entry_id: str) -> bool:
        with suppress(httpx.TransportError):
            url = f'{self.urls[entry_id]}/readyz'
            return self._product.client.get(url).is_success
        return False


_FAULTS: Final = {
    'kill': 'cut',
    'pause': 'hold',
    'partition': 'hold',
    'silence': 'silence',
    'lose_answers': 'drop_answers',
}


def heal(proxies: Any) -> None:
    """End all faults of proxies."""
    for proxy in proxies:
        proxy.heal()


def sleep_until(at_s: float) -> None:
    """Sleep until a monotonic time."""
    time.sleep(max(0, at_s - time.monotonic()))
