"""Deployments of the system and of the baseline, with fault injection."""

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
from tests.cluster import Cluster, free_loopback_address, join, split
from tests.processes import wait_for

ZONE_DELAY_S: Final = 0.0015
CALLER_DELAY_S: Final = 0.003
USAGE_WINDOW_S: Final = 10
USAGE_GRACE_S: Final = 2
_USAGE_FLUSH: Final = '1s'
_STATUS_TIMEOUT_S: Final = 0.5


class DirectConnection(NamedTuple):
    """Substitute for a proxy; processes connect to the target directly."""

    address: tuple[str, int]

    def heal(self) -> None:
        """Do nothing, since there are no faults."""


class DirectLoop:
    """Substitute for a proxy loop that starts no proxies."""

    def start(self, target: tuple[str, int]) -> DirectConnection:
        """Return the address of the target itself."""
        return DirectConnection(target)


class ProductDeployment(Cluster):
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
        """Publish service files on top of the last published version."""
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

    def list_caller_urls(self) -> dict[str, dict[str, str]]:
        """Return the call URL and readiness URL of each entry."""
        return {
            entry_id: {
                'url': f'http://{join(proxy.address)}',
                'ready': f'{self.control_urls[entry_id]}/readyz',
            }
            for entry_id, proxy in self.caller_proxies.items()
        }

    def get_config_version(self, entry_id: str) -> int | None:
        """Return the active configuration version of an entry.

        :return: None if the entry is down, 0 if it does not answer.
        """
        url = f'{self.control_urls[entry_id]}/status'
        try:
            answer = self.client.get(url, timeout=_STATUS_TIMEOUT_S)
        except httpx.ConnectError:
            return None
        except httpx.TransportError:
            return 0
        return answer.json()['config_version']

    def accepts_key(self, entry_id: str, key: str) -> bool:
        """Tell if an entry accepts a call with this key."""
        headers = {'Authorization': f'Bearer {key}'}
        url = f'{self.entry_urls[entry_id]}/v1/models'
        try:
            answer = self.client.get(
                url, headers=headers, timeout=_STATUS_TIMEOUT_S
            )
        except httpx.TransportError:
            return False
        return answer.is_success

    def inject_fault(self, fault: Fault) -> None:
        """Inject a fault."""
        self.platform_is_faulty = fault.part == 'platform'
        getattr(self, f'_{fault.part}_{fault.kind}')(fault)

    def clear_fault(self, fault: Fault) -> None:
        """Clear a fault; restarts the process if it was killed."""
        if fault.part == 'platform':
            self.platform_is_faulty = False
            self.affected_process(fault).resume()
            self.switch_platform(log='up', usage='up')
            heal(self.log_proxies.values())
            return
        process = self.affected_process(fault)
        process.resume()
        affected_id = self.affected_id(fault)
        if not process.is_running:
            if fault.part == 'entry':
                self.start_entry(affected_id, self.entry_zones[affected_id])
            else:
                self.start_agent(affected_id)
        heal(self._find_proxies(affected_id))

    def affected_id(self, fault: Fault) -> str:
        """Return the id of the entry or target that a fault affects."""
        names = list(self.entries)
        if fault.part == 'agent':
            # Answers can be lost only between an agent and a plain target.
            names = [
                target.target_id
                for target in self.targets.values()
                if fault.kind != 'lose_answers' or target.kind == 'plain'
            ]
        return names[fault.choice % len(names)]

    def affected_process(self, fault: Fault) -> Any:
        """Return the process that a fault affects."""
        if fault.part == 'platform':
            return self.platform
        processes = {**self.entries, **self.agents}
        return processes[self.affected_id(fault)]

    def start_platform(self, **settings: str) -> None:
        """Start the stand-in of the platform."""
        command = topology.build_command('standins.platform', **settings)
        self.platform = self.processes.start('platform', command)
        self._platform_url = f'http://{self.platform.wait_address()}'

    def _start_all_targets(self) -> None:
        # Engines have no proxy to their agent: each token would pass one more
        # proxy, and the event loops of the proxies would be saturated.
        targets = topology.list_targets(self.deployment)
        loop, self.proxies = self.proxies, DirectLoop()
        self.start_targets([it for it in targets if it.kind == 'engine'])
        self.proxies = loop
        self.start_targets([it for it in targets if it.kind == 'plain'])

    def _find_proxies(self, affected_id: str) -> list[Any]:
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
            if affected_id in key
        ]

    def _links(self, affected_id: str) -> list[Any]:
        return [
            proxy
            for key, proxy in self.link_proxies.items()
            if affected_id in key
        ]

    def _entry_kill(self, fault: Fault) -> None:
        self.affected_process(fault).kill()

    _agent_kill = _entry_kill

    def _entry_pause(self, fault: Fault) -> None:
        self.affected_process(fault).pause()

    _agent_pause = _entry_pause
    _platform_pause = _entry_pause

    def _entry_partition(self, fault: Fault) -> None:
        entry_id = self.affected_id(fault)
        for proxy in (*self._links(entry_id), self.log_proxies[entry_id]):
            proxy.hold()

    def _agent_partition(self, fault: Fault) -> None:
        for proxy in self._links(self.affected_id(fault)):
            proxy.hold()

    def _platform_partition(self, fault: Fault) -> None:
        for proxy in self.log_proxies.values():
            proxy.hold()

    def _entry_silence(self, fault: Fault) -> None:
        self.caller_proxies[self.affected_id(fault)].hold(new=False)

    def _agent_silence(self, fault: Fault) -> None:
        for proxy in self._links(self.affected_id(fault)):
            proxy.hold(new=False)

    def _platform_silence(self, fault: Fault) -> None:
        for proxy in self.log_proxies.values():
            proxy.hold(new=False)

    def _platform_kill(self, fault: Fault) -> None:
        # The stand-in keeps the log in memory, so that a kill would lose it.
        # Its connections are cut and refused instead.
        for proxy in self.log_proxies.values():
            proxy.cut()

    def _entry_lose_answers(self, fault: Fault) -> None:
        self.caller_proxies[self.affected_id(fault)].drop_answers()

    def _agent_lose_answers(self, fault: Fault) -> None:
        self.target_proxies[self.affected_id(fault)].drop_answers()

    def _platform_lose_answers(self, fault: Fault) -> None:
        self.switch_platform(log='lose_answers', usage='lose_answers')


class NaiveDeployment:
    """Naive entries in front of the targets of a deployment.

    There are no agents: a fault of an agent becomes a fault of the
    connections to its target. Faults of the platform have no effect, since
    naive entries do not call it.
    """

    def __init__(
        self,
        product: ProductDeployment,
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
            self._add_entry(entry_id, zone, services, keys)

    def list_caller_urls(self) -> dict[str, dict[str, str]]:
        """Return the call URL and readiness URL of each entry."""
        return {
            entry_id: {
                'url': f'http://{join(proxy.address)}',
                'ready': f'{self.urls[entry_id]}/readyz',
            }
            for entry_id, proxy in self.caller_proxies.items()
        }

    def inject_fault(self, fault: Fault) -> None:
        """Inject the equivalent of a fault of the system."""
        if fault.part == 'platform':
            return
        affected_id = self._product.affected_id(fault)
        links = [
            proxy for key, proxy in self._links.items() if affected_id in key
        ]
        if fault.part == 'entry' and fault.kind in {'kill', 'pause'}:
            getattr(self._processes[affected_id], fault.kind)()
        elif fault.part == 'entry' and fault.kind == 'silence':
            self.caller_proxies[affected_id].hold(new=False)
        elif fault.part == 'entry' and fault.kind == 'lose_answers':
            self.caller_proxies[affected_id].drop_answers()
        else:
            for proxy in links:
                getattr(proxy, _PROXY_FAULTS[fault.kind])()

    def clear_fault(self, fault: Fault) -> None:
        """Clear a fault; restarts the process if it was killed."""
        if fault.part == 'platform':
            return
        affected_id = self._product.affected_id(fault)
        if fault.part == 'entry':
            self._processes[affected_id].resume()
            if not self._processes[affected_id].is_running:
                self._start_process(affected_id)
            self.caller_proxies[affected_id].heal()
        heal(proxy for key, proxy in self._links.items() if affected_id in key)

    def stop(self) -> None:
        """Kill all naive entries."""
        for process in self._processes.values():
            process.kill()

    def _add_entry(
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
        address = free_loopback_address()
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
        self._start_process(entry_id)
        proxy = product.proxies.start(split(address))
        proxy.set_usual_delay(CALLER_DELAY_S)
        self.caller_proxies[entry_id] = proxy
        wait_for(
            lambda: self._is_ready(entry_id), description=f'naive {entry_id}'
        )

    def _start_process(self, entry_id: str) -> None:
        command = topology.build_command('standins.x')[:2]
        command += ['measurement.naive']
        command.append(str(self._folder / f'naive-{entry_id}.json'))
        self._processes[entry_id] = self._product.processes.start(
            f'naive-{entry_id}', command
        )

    def _is_ready(self, entry_id: str) -> bool:
        with suppress(httpx.TransportError):
            url = f'{self.urls[entry_id]}/readyz'
            return self._product.client.get(url).is_success
        return False


_PROXY_FAULTS: Final = {
    'kill': 'cut',
    'pause': 'hold',
    'partition': 'hold',
    'silence': 'silence',
    'lose_answers': 'drop_answers',
}


def heal(proxies: Any) -> None:
    """Clear all faults of the proxies."""
    for proxy in proxies:
        proxy.heal()


def sleep_until(at_s: float) -> None:
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0, at_s - time.monotonic()))
