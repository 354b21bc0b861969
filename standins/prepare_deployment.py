"""Sets up a started deployment and prints example calls.

Registers the VMs with the platform, publishes the service files, grants a key
to each team with the ``peridotrill`` command line, and waits for the entries.
The process then keeps running until SIGTERM or SIGINT, because honcho stops
all processes as soon as one exits.
"""

import json
import shlex
import signal
import subprocess
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any, Final

import httpx
from expression import Result

from peridotrill.catalog import Catalog, build_catalog
from peridotrill.findings import format_findings
from peridotrill.publishing import load_folder
from peridotrill.services import Service
from peridotrill.settings import Setting, load_settings, setting_parsers
from standins import topology

DEPLOYMENTS_FOLDER: Final = Path(__file__).parent.parent / 'deployments'
START_TIMEOUT_S: Final = 60.0
_POLL_INTERVAL_S: Final = 0.1
_EXAMPLE_MAX_TOKENS: Final = 24


@setting_parsers.register('pairs')
def parse_pairs(text: str) -> dict[str, str]:
    """:param text: ``name=address,…``; raises ValueError."""
    return dict(pair.split('=') for pair in text.split(','))  # type: ignore[misc]


SETTINGS: Final = (
    Setting('deployment', 'text', 'name of the deployment'),
    Setting('platform_url', 'url', 'platform'),
    Setting('entries', 'pairs', 'caller addresses by entry'),
    Setting('controls', 'pairs', 'control addresses by entry'),
    Setting('agents', 'pairs', 'agent addresses by target'),
)


class DeploymentSetup:
    """Sets up one deployment."""

    def __init__(self, settings: dict[str, Any], http: httpx.Client) -> None:
        """:param settings: values of SETTINGS."""
        self.deployment = topology.DEPLOYMENTS[settings['deployment']]
        self.folder = DEPLOYMENTS_FOLDER / self.deployment.name
        self.entries: dict[str, str] = settings['entries']
        self._controls: dict[str, str] = settings['controls']
        self._agents: dict[str, str] = settings['agents']
        self._platform_url: str = settings['platform_url']
        self._http = http

    def register_vms(self) -> None:
        """Add the VMs of targets and entries to the VM list."""
        zones = self.deployment.zones
        rows = [
            topology.build_target_vm(target, self._agents[target.target_id])
            for target in topology.list_targets(self.deployment)
        ]
        rows += [
            topology.build_entry_vm(
                entry_id, zones[number % len(zones)], address
            )
            for number, (entry_id, address) in enumerate(self.entries.items())
        ]
        for row in rows:
            url = f'{self._platform_url}/vms/{row["vm_id"]}'
            self._http.put(url, json=row).raise_for_status()

    def publish(self) -> None:
        """Publish the service files of the deployment."""
        self._run_cli('publish', str(self.folder))

    def grant_keys(self, catalog: Catalog) -> dict[str, str]:
        """Grant a key to each team.

        :return: the keys by team.
        """
        teams = {
            team
            for service in catalog.services.values()
            for team in service.teams
        }
        return {team: self._grant_key(team) for team in sorted(teams)}

    def wait_for_platform(self) -> None:
        """Wait until the platform responds."""
        self._wait_until_ready(f'{self._platform_url}/vms')

    def wait_for_entries(self) -> None:
        """Wait until all entries are ready."""
        for address in self._controls.values():
            self._wait_until_ready(f'http://{address}/readyz')

    def _grant_key(self, team: str) -> str:
        granted = self._run_cli(
            'keys',
            'grant',
            f'--team={team}',
            f'--name={team}-1',
            '--output=json',
        )
        return json.loads(granted)['key']

    def _run_cli(self, *arguments: str) -> str:
        command = topology.build_command('peridotrill') + list(arguments)
        command.append(f'--platform-url={self._platform_url}')
        completed = subprocess.run(
            command, check=False, capture_output=True, text=True
        )
        if completed.returncode:
            sys.exit(
                f'{shlex.join(command)}: {completed.stdout}{completed.stderr}'
            )
        return completed.stdout

    def _wait_until_ready(self, url: str) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not self._is_ready(url):
            if time.monotonic() > deadline_s:
                sys.exit(f'{url} was not ready after {START_TIMEOUT_S} s')
            time.sleep(_POLL_INTERVAL_S)

    def _is_ready(self, url: str) -> bool:
        try:
            return self._http.get(url).is_success
        except httpx.TransportError:
            return False


def load_catalog(folder: Path) -> Catalog:
    """Load the service files in a folder; exit if they are invalid."""
    loaded = load_folder(folder).bind(partial(build_catalog, 1))
    match loaded:
        case Result(tag='ok', ok=catalog):
            return catalog
        case Result(error=findings):
            sys.stderr.write(f'{format_findings(findings)}\n')
    sys.exit(1)


def find_largest_team(catalog: Catalog) -> str:
    """Return the team with the highest rate limit.

    Only teams that all services share are considered; the limit of a team is
    the lowest of its limits at these services.
    """
    services = catalog.services.values()
    common = set.intersection(*(set(service.teams) for service in services))
    return max(
        sorted(common),
        key=lambda team: min(
            service.teams[team].rate_per_s for service in services
        ),
    )


def format_curl_command(
    url: str,
    key: str,
    body: dict[str, Any],
    *headers: str,
) -> str:
    """Return a curl command line that posts a JSON body."""
    headers = (
        f'Authorization: Bearer {key}',
        'Content-Type: application/json',
        *headers,
    )
    flags = [word for header in headers for word in ('-H', header)]
    return shlex.join(['curl', '-sN', url, *flags, '-d', json.dumps(body)])


def build_example_calls(
    catalog: Catalog, address: str, key: str
) -> dict[str, str]:
    """Return example command lines for each service by their title."""
    formats = {'model': _model_calls, 'plain': _plain_calls}
    return {
        title: call
        for service in catalog.services.values()
        for title, call in formats[service.kind](
            service, f'http://{address}', key
        ).items()
    }


def _model_calls(service: Service, url: str, key: str) -> dict[str, str]:
    path = f'{url}/v1/chat/completions'
    body = {
        'model': service.model,
        'messages': [{'role': 'user', 'content': 'Sum up the season.'}],
        'max_tokens': _EXAMPLE_MAX_TOKENS,
    }
    return {
        f'{service.name}, streamed': format_curl_command(
            path, key, {**body, 'stream': True}
        ),
        f'{service.name}, not streamed': format_curl_command(path, key, body),
    }


def _plain_calls(service: Service, url: str, key: str) -> dict[str, str]:
    return {
        f'{service.name}, runs once per key': format_curl_command(
            f'{url}{route.path}',
            key,
            {'amount': 12, 'for': service.name},
            f'Idempotency-Key: {service.name}-1',
        )
        for route in service.routes
        if not route.idempotent and 'POST' in route.methods
    }


def main() -> None:
    """Set up the deployment and print example calls."""
    settings = load_settings(
        'standins.prepare_deployment', SETTINGS, sys.argv[1:], {}
    )
    with httpx.Client() as http:
        setup = DeploymentSetup(settings, http)
        setup.wait_for_platform()
        setup.register_vms()
        setup.publish()
        catalog = load_catalog(setup.folder)
        keys = setup.grant_keys(catalog)
        setup.wait_for_entries()
    address = next(iter(setup.entries.values()))
    team = find_largest_team(catalog)
    calls = build_example_calls(catalog, address, keys[team]).items()
    lines = [
        '',
        *(f'{name}: http://{at}' for name, at in setup.entries.items()),
        *(f'key of team {name}: {key}' for name, key in keys.items()),
        f'\nAs {team}:',
        *(f'\n# {title}\n{call}' for title, call in calls),
        '\nCtrl-C stops all processes.\n',
    ]
    sys.stdout.write('\n'.join(lines))
    sys.stdout.flush()
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


if __name__ == '__main__':
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})
    main()
