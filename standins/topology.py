"""Reference deployments and the command lines of their processes."""

import shlex
import sys
from pathlib import Path
from typing import Final, NamedTuple

_BIN_FOLDER: Final = Path(sys.executable).parent


class ServiceGroup(NamedTuple):
    """The targets of one service."""

    service: str
    kind: str
    target_count: int
    model: str = ''


class Deployment(NamedTuple):
    """Size of a reference deployment; see section 1.1 of the design."""

    name: str
    groups: tuple[ServiceGroup, ...]
    zones: tuple[str, ...]
    entry_count: int


class Target(NamedTuple):
    """A target and its agent."""

    target_id: str
    service: str
    kind: str
    zone: str
    model: str = ''


DEPLOYMENTS: Final = {
    'ledger': Deployment(
        name='ledger',
        groups=(
            ServiceGroup('summariser', 'engine', 5, 'season-summariser'),
            ServiceGroup('receipts', 'plain', 4),
        ),
        zones=('nz-1', 'nz-2', 'nz-3', 'nz-4'),
        entry_count=3,
    ),
    'saltbush': Deployment(
        name='saltbush',
        groups=(
            ServiceGroup('assistant', 'engine', 6, 'counter-assistant'),
            ServiceGroup('till', 'plain', 4),
        ),
        zones=('perth-1', 'perth-2', 'perth-3', 'perth-4'),
        entry_count=3,
    ),
}


def list_targets(deployment: Deployment) -> list[Target]:
    """Return the targets of a deployment, distributed over its zones."""
    return [
        Target(
            f'{group.service}-{number}',
            group.service,
            group.kind,
            deployment.zones[(number - 1) % len(deployment.zones)],
            group.model,
        )
        for group in deployment.groups
        for number in range(1, group.target_count + 1)
    ]


def build_command(program: str, **settings: object) -> list[str]:
    """Return the command line of a program.

    :param program: module of a stand-in (``standins.…``) or an installed
        program of the package.
    :param settings: values of flags, by their names in snake case.
    """
    command = [str(_BIN_FOLDER / program)]
    if program.startswith('standins.'):
        command = [sys.executable, '-m', program]
    flags = [
        '--{0}={1}'.format(name.replace('_', '-'), setting)
        for name, setting in settings.items()
    ]
    return command + flags


def build_target_command(target: Target, **settings: object) -> list[str]:
    """Return the command line of a target."""
    if target.kind == 'engine':
        settings['models'] = target.model
        return build_command('standins.engine', **settings)
    return build_command('standins.plain_service', **settings)


def build_agent_command(target: Target, **settings: object) -> list[str]:
    """Return the command line of the agent of a target."""
    return build_command(
        'peridotrill-agent',
        target_id=target.target_id,
        service=target.service,
        kind=target.kind,
        zone=target.zone,
        **settings,
    )


def build_target_vm(target: Target, agent_address: str) -> dict[str, str]:
    """Return the VM list item of a target and its agent."""
    return {
        'vm_id': f'vm-{target.target_id}',
        'kind': 'target',
        'state': 'live',
        'zone': target.zone,
        'service': target.service,
        'target_id': target.target_id,
        'target_kind': target.kind,
        'address': agent_address,
    }


def build_entry_vm(entry_id: str, zone: str, address: str) -> dict[str, str]:
    """Return the VM list item of an entry."""
    return {
        'vm_id': entry_id,
        'kind': 'entry',
        'state': 'live',
        'zone': zone,
        'service': '',
        'target_id': '',
        'target_kind': '',
        'address': address,
    }


def format_procfile(commands: dict[str, list[str]]) -> str:
    """Return a Procfile for command lines given by process name."""
    return ''.join(
        f'{name}: exec {shlex.join(command)}\n'
        for name, command in commands.items()
    )
