"""Runs a reference deployment on the local machine.

Writes a Procfile for the deployment to ``.run/`` and passes it to honcho, which
starts all processes and stops them together. The ``prepare`` process publishes
the service files, grants keys and prints example calls; the output of the other
processes goes to a file.
"""

import os
import signal
import socket
import sys
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Final, TextIO

from honcho.environ import parse_procfile
from honcho.manager import SIGNALS, Manager
from honcho.printer import Message, Printer

from standins import topology

RUN_FOLDER: Final = Path('.run')
FIRST_PORT: Final = 8100
LAST_PORT: Final = 8999
PREPARE_PROCESS: Final = 'prepare'
# Shorter than the time after which honcho kills remaining processes.
_DRAIN_DELAY: Final = '1s'
_DRAIN_TIMEOUT: Final = '3s'
_EXIT_FAILURE: Final = 1
_EXIT_USAGE: Final = 2
_SIGNAL_EXIT_STATUSES: Final = frozenset(
    entry['rc'] for entry in SIGNALS.values()
)


class DeploymentPrinter(Printer):
    """Prints the output of one process unchanged, the rest to a file."""

    def __init__(self, log: TextIO) -> None:
        """:param log: receives the output of all other processes."""
        super().__init__(output=log, colour=False)
        self.first_exit_message = ''

    def write(self, message: Message) -> None:
        """Print a message of a process or of honcho."""
        text = message.data
        if isinstance(text, bytes):
            text = text.decode('utf-8', 'replace')
        if message.name == PREPARE_PROCESS:
            sys.stdout.write(text)
            sys.stdout.flush()
            return
        if not self.first_exit_message and 'stopped (rc=' in text:
            self.first_exit_message = text.strip()
        super().write(message)


def find_free_addresses() -> Iterator[str]:
    """Iterate over the loopback addresses that are currently free."""
    for port in range(FIRST_PORT, LAST_PORT + 1):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                probe.bind(('127.0.0.1', port))
                yield f'127.0.0.1:{port}'


def build_process_commands(
    deployment: topology.Deployment,
    addresses: Iterator[str],
) -> dict[str, list[str]]:
    """Return the command line of each process by its name.

    :param addresses: free addresses, assigned in order, entries first.
    """
    entries = {
        f'entry-{number}': next(addresses)
        for number in range(1, deployment.entry_count + 1)
    }
    controls = {entry_id: next(addresses) for entry_id in entries}
    platform = next(addresses)
    platform_url = f'http://{platform}'
    commands = {
        'platform': topology.build_command(
            'standins.platform',
            listen=platform,
        ),
    }
    agents = {}
    for target in topology.list_targets(deployment):
        target_address, agents[target.target_id] = (
            next(addresses),
            next(addresses),
        )
        commands[target.target_id] = topology.build_target_command(
            target,
            listen=target_address,
        )
        commands[f'agent-{target.target_id}'] = topology.build_agent_command(
            target,
            listen=agents[target.target_id],
            control_listen=next(addresses),
            target_url=f'http://{target_address}',
            drain_timeout=_DRAIN_TIMEOUT,
        )
    for number, (entry_id, address) in enumerate(entries.items()):
        commands[entry_id] = topology.build_command(
            'peridotrill-entry',
            entry_id=entry_id,
            zone=deployment.zones[number % len(deployment.zones)],
            listen=address,
            control_listen=controls[entry_id],
            platform_url=platform_url,
            drain_delay=_DRAIN_DELAY,
        )
    commands[PREPARE_PROCESS] = topology.build_command(
        'standins.prepare_deployment',
        deployment=deployment.name,
        platform_url=platform_url,
        entries=format_pairs(entries),
        controls=format_pairs(controls),
        agents=format_pairs(agents),
    )
    return commands


def format_pairs(pairs: dict[str, str]) -> str:
    """Return the pairs as ``name=address,…``."""
    return ','.join(f'{name}={address}' for name, address in pairs.items())


def run(deployment: topology.Deployment) -> int:
    """Run the deployment until a signal arrives or a process exits.

    :return: exit status, 0 after a signal.
    """
    folder = RUN_FOLDER / deployment.name
    folder.mkdir(parents=True, exist_ok=True)
    commands = build_process_commands(deployment, find_free_addresses())
    procfile = folder / 'Procfile'
    procfile.write_text(topology.format_procfile(commands), 'utf-8')
    log_path = folder / 'output.log'
    sys.stdout.write(
        f'starting {len(commands)} processes of {procfile}; '
        f'their output goes to {log_path}\n',
    )
    sys.stdout.flush()
    with log_path.open('w', encoding='utf-8') as log:
        printer = DeploymentPrinter(log)
        manager = Manager(printer)
        parsed = parse_procfile(procfile.read_text('utf-8'))
        for name, command in parsed.processes.items():
            environment = {**os.environ, 'PYTHONUNBUFFERED': '1'}
            manager.add_process(name, command, env=environment)
        manager.loop()
    if manager.returncode in _SIGNAL_EXIT_STATUSES:
        sys.stdout.write('stopped\n')
        return 0
    sys.stdout.write(f'{printer.first_exit_message}; see {log_path}\n')
    return _EXIT_FAILURE


def move_to_foreground() -> None:
    """Make this process the foreground process group of the terminal, if any.

    Ctrl-C is then sent to this process only, which stops the others in order,
    and make reports its exit status instead of the signal.
    """
    with suppress(OSError):
        terminal = sys.stdin.fileno()
        if os.tcgetpgrp(terminal) != os.getpgrp():
            return
        os.setpgid(0, 0)
        signal.signal(signal.SIGTTOU, signal.SIG_IGN)
        os.tcsetpgrp(terminal, os.getpgrp())


def main() -> int:
    """Run the deployment named on the command line."""
    name = ' '.join(sys.argv[1:])
    deployment = topology.DEPLOYMENTS.get(name)
    if deployment is None:
        names = ' or '.join(topology.DEPLOYMENTS)
        sys.stderr.write(f'the deployment name must be {names}\n')
        return _EXIT_USAGE
    move_to_foreground()
    return run(deployment)


if __name__ == '__main__':
    sys.exit(main())
