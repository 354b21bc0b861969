"""A complete deployment of processes behind fault-injecting proxies."""

import threading
import uuid
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from itertools import count

import httpx

from peridotrill.keys import create_key, digest_key
from peridotrill.records import encode_record
from standins import topology
from tests.observer import Observer
from tests.processes import free_port, run_processes, wait_for
from tests.proxy import run_proxies

MODEL = 'test-model'
TEAMS = """
teams:
  alpha: {rate_per_s: 1000, burst: 1000, weight: 1}
  beta: {rate_per_s: 1000, burst: 1000, weight: 1}
  gamma: {rate_per_s: 1000, burst: 1000, weight: 1}
  delta: {rate_per_s: 2, burst: 8, weight: 1}
targets: {min_per_zone: 0, max_total: 8}
"""
SERVICES = {
    'assistant': f"""
name: assistant
kind: model
model: {MODEL}
deadline: 60s
{TEAMS}""",
    'till': f"""
name: till
kind: plain
deadline: 10s
idempotency_retention: 60s
routes:
  - {{path: /charges, methods: [POST], idempotent: false}}
  - {{path: /stock/, methods: [GET], idempotent: true}}
  - {{path: /health, methods: [GET], idempotent: true, open: true}}
{TEAMS}""",
}
ZONES = ('zone-1', 'zone-2')


def free_loopback_address():
    return f'127.0.0.1:{free_port()}'


def split(address):
    host, port = address.removeprefix('http://').split(':')
    return host, int(port)


def join(address):
    return '{0}:{1}'.format(*address)


class Balancer:
    """Spreads requests over the entries that were ready at the last check."""

    def __init__(self, is_ready, entry_ids):
        self._is_ready = is_ready
        self._entry_ids = entry_ids
        self.refresh()

    def refresh(self):
        self._ready = [it for it in self._entry_ids if self._is_ready(it)]

    def choose(self, number):
        ready = self._ready
        return ready[number % len(ready)]


class Cluster:
    """A platform, and targets, agents and entries by id.

    ``link_proxies[entry_id, target_id]`` connects an entry to an agent,
    ``target_proxies[target_id]`` an agent to its target, and
    ``log_proxies[entry_id]`` an entry to the platform.
    """

    def __init__(self, processes, proxies, client):
        self.processes = processes
        self.proxies = proxies
        self.client = client
        self.targets = {}
        self.target_urls = {}
        self.agents = {}
        self.agent_addresses = {}
        self.entries = {}
        self.entry_urls = {}
        self.control_urls = {}
        self.link_proxies = {}
        self.target_proxies = {}
        self.log_proxies = {}
        self.entry_settings = {}
        self._platform_url = ''

    def start_platform(self, **settings):
        command = topology.build_command('standins.platform', **settings)
        process = self.processes.start('platform', command)
        self._platform_url = f'http://{process.wait_address()}'

    def start_targets(self, targets):
        started = {
            target.target_id: self.processes.start(
                target.target_id, topology.build_target_command(target)
            )
            for target in targets
        }
        for target in targets:
            target_id = target.target_id
            address = started[target_id].wait_address()
            self.targets[target_id] = target
            self.target_urls[target_id] = f'http://{address}'
            self.target_proxies[target_id] = self.proxies.start(split(address))
            self.agent_addresses[target_id] = free_loopback_address()
            self.start_agent(target_id)
            self.put_vm(
                topology.build_target_vm(
                    target, self.agent_addresses[target_id]
                )
            )

    def start_agent(self, target_id):
        target_address = self.target_proxies[target_id].address
        command = topology.build_agent_command(
            self.targets[target_id],
            listen=self.agent_addresses[target_id],
            control_listen=free_loopback_address(),
            target_url=f'http://{join(target_address)}',
        )
        self.agents[target_id] = self.processes.start(
            f'agent-{target_id}', command
        )

    def start_entry(self, entry_id, zone=ZONES[0]):
        """Start an entry, or restart it at the same addresses."""
        if entry_id not in self.entry_urls:
            self._place_entry(entry_id, zone)
        overrides = ','.join(
            f'{target_id}={join(self.link_proxies[entry_id, target_id].address)}'
            for target_id in self.targets
        )
        command = topology.build_command(
            'peridotrill-entry',
            entry_id=entry_id,
            zone=zone,
            listen=join(split(self.entry_urls[entry_id])),
            control_listen=join(split(self.control_urls[entry_id])),
            platform_url=f'http://{join(self.log_proxies[entry_id].address)}',
            address_overrides=overrides,
            **self.entry_settings,
        )
        self.entries[entry_id] = self.processes.start(entry_id, command)

    def _place_entry(self, entry_id, zone):
        self.entry_urls[entry_id] = f'http://{free_loopback_address()}'
        self.control_urls[entry_id] = f'http://{free_loopback_address()}'
        platform = split(self._platform_url)
        self.log_proxies[entry_id] = self.proxies.start(platform)
        for target_id, address in self.agent_addresses.items():
            proxy = self.proxies.start(split(address))
            self.link_proxies[entry_id, target_id] = proxy
        address = join(split(self.entry_urls[entry_id]))
        self.put_vm(topology.build_entry_vm(entry_id, zone, address))

    def wait_ready(self, timeout_s=30.0):
        for entry_id in self.entries:
            wait_for(
                lambda entry=entry_id: self.check_ready(entry),
                timeout_s,
                f'{entry_id} ready',
            )

    def check_ready(self, entry_id):
        """Tell whether the entry is ready and linked to all targets.

        Raises RuntimeError if the process has ended.
        """
        self.entries[entry_id].check_running()
        return self.is_serving(entry_id) and self.is_linked(entry_id)

    def status(self, entry_id):
        return self.client.get(f'{self.control_urls[entry_id]}/status').json()

    def log_age_s(self, entry_id):
        return self.status(entry_id)['log_age_s']

    def is_linked(self, entry_id):
        targets = self.status(entry_id)['targets']
        linked = [it for it, view in targets.items() if view['linked']]
        return set(linked) == set(self.targets)

    def is_serving(self, entry_id):
        """Tell whether the load balancer of the platform finds it ready."""
        try:
            url = f'{self.control_urls[entry_id]}/readyz'
            return self.client.get(url).is_success
        except httpx.TransportError:
            return False

    @contextmanager
    def balancer(self, lag_s):
        """Poll the readiness of the entries, as the platform does."""
        balancer = Balancer(self.is_serving, self.entries)
        stop = threading.Event()

        def refresh():
            while not stop.wait(lag_s):
                balancer.refresh()

        thread = threading.Thread(target=refresh)
        thread.start()
        try:
            yield balancer
        finally:
            stop.set()
            thread.join()

    def append(self, record):
        response = self.client.post(
            f'{self._platform_url}/log/append', content=encode_record(record)
        )
        return response.raise_for_status().json()['offset']

    def publish(self, texts, base_version=0):
        return self.append(
            {
                'kind': 'config_published',
                'publish_id': uuid.uuid4().hex,
                'base_version': base_version,
                'changed': texts,
                'removed': [],
                'author': 'test',
            }
        )

    def grant(self, team, name=None):
        key = create_key()
        self.append(
            {
                'kind': 'key_granted',
                'name': name or f'{team}-key',
                'team': team,
                'digest': digest_key(key),
            }
        )
        return key

    def withdraw(self, name):
        self.append({'kind': 'key_withdrawn', 'name': name})

    def put_vm(self, vm):
        url = f'{self._platform_url}/vms/{vm["vm_id"]}'
        self.client.put(url, json=vm).raise_for_status()

    def switch_platform(self, **faults):
        self.client.post(f'{self._platform_url}/faults', json=faults)

    def observe_platform(self):
        return self.client.get(f'{self._platform_url}/observations').json()

    def observer(self):
        urls = [
            url
            for target_id, url in self.target_urls.items()
            if self.targets[target_id].kind == 'plain'
        ]
        return Observer(self.client, urls)


@contextmanager
def run_cluster(
    folder, engines=2, plain=2, entries=2, platform=None, **entry_settings
):
    """Run a deployment; yield its Cluster once it is ready to serve."""
    targets = [
        topology.Target(
            f'{service}-{number}',
            service,
            kind,
            ZONES[number % len(ZONES)],
            MODEL,
        )
        for service, kind, number_of in (
            ('assistant', 'engine', engines),
            ('till', 'plain', plain),
        )
        for number in range(1, number_of + 1)
    ]
    with (
        httpx.Client(timeout=30.0) as client,
        run_proxies() as proxies,
        run_processes(folder) as processes,
    ):
        cluster = Cluster(processes, proxies, client)
        cluster.entry_settings = {'drain_delay': '300ms', **entry_settings}
        cluster.start_platform(vms_lag='100ms', **(platform or {}))
        cluster.publish(SERVICES)
        cluster.start_targets(targets)
        for number in range(1, entries + 1):
            cluster.start_entry(f'entry-{number}', ZONES[number % len(ZONES)])
        cluster.wait_ready()
        yield cluster


class ClusterSource:
    """Starts clusters in advance, since entries take seconds to be ready.

    A cluster is used by one test. Processes end with the thread that started
    them, so the threads must live as long as the source.
    """

    def __init__(self, folder, ahead=4, **settings):
        self._folder = folder
        self._numbers = count(1)
        self._settings = settings
        self._pool = ThreadPoolExecutor(ahead)
        self._stacks = []
        self._next = [self._pool.submit(self._start) for _ in range(ahead)]

    def _start(self):
        stack = ExitStack()
        self._stacks.append(stack)
        folder = self._folder / str(next(self._numbers))
        folder.mkdir()
        running = run_cluster(folder, **self._settings)
        return stack.enter_context(running), stack

    @contextmanager
    def take(self):
        cluster, stack = self._next.pop(0).result()
        self._next.append(self._pool.submit(self._start))
        with stack:
            yield cluster

    def close(self):
        for future in self._next:
            future.cancel()
        self._pool.shutdown()
        for stack in self._stacks:
            stack.close()
