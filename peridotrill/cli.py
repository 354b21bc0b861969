"""Command line for operators: configuration, API keys and process status."""

import os
import sys
from pathlib import Path
from typing import Any, ClassVar

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.input import Input
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Output, Type

from peridotrill import __version__, command_results, key_changes, publishing
from peridotrill.check_command import CheckCommand
from peridotrill.log_poller import LogPoller
from peridotrill.operator_command import (
    AUTHOR,
    BASE,
    ENTRIES,
    OUTPUT,
    PLATFORM_URL,
    PROGRAM,
    CommandDependencies,
    FolderCommand,
    OperatorCommand,
)
from peridotrill.process_reports import (
    fetch_reports,
    find_differences,
    parse_events,
)
from peridotrill.settings import EXIT_USAGE
from peridotrill.timeline import Event, merge_timelines
from peridotrill.timeline_page import format_event, format_page


class ValidateCommand(FolderCommand):
    """Validates the service files of a folder without the platform."""

    name = 'validate'
    description = 'Validates all service files below a folder.'
    help = """Example:
  peridotrill validate deployments/ledger"""

    async def result_for_services(
        self,
        service_texts: dict[str, str],
        settings: dict[str, Any],
    ) -> command_results.CommandResult:
        """Return the names of the valid services."""
        names = sorted(service_texts)
        text = 'valid: {0}'.format(', '.join(names))
        return command_results.CommandResult(
            command_results.EXIT_OK, {'findings': [], 'services': names}, text
        )


class PublishCommand(FolderCommand):
    """Publishes a folder as the new configuration."""

    name = 'publish'
    description = 'Publishes the service files below a folder.'
    help = """The files replace the current configuration: services that the
folder does not contain are removed.

Examples:
  peridotrill publish deployments/ledger
  peridotrill publish deployments/ledger --base 412 --author ann"""
    settings = (OUTPUT, PLATFORM_URL, BASE, AUTHOR)
    interrupted = command_results.EXIT_UNKNOWN

    async def result_for_services(
        self,
        service_texts: dict[str, str],
        settings: dict[str, Any],
    ) -> command_results.CommandResult:
        """Publish the service files and return the outcome."""
        base = None if settings['base'] == '' else settings['base']
        url = settings['platform_url']
        async with self.dependencies.connect(url) as log:
            log_poller = LogPoller(log, self.dependencies.clock)
            publisher = publishing.Publisher(log, log_poller)
            outcome = await publisher.publish(
                service_texts, settings['author'], base
            )
        return command_results.publish_result(outcome)


class DiffCommand(FolderCommand):
    """Shows what publishing a folder would change."""

    name = 'diff'
    description = 'Shows what publishing a folder would change.'
    help = """Example:
  peridotrill diff deployments/ledger"""
    settings = (OUTPUT, PLATFORM_URL)

    async def result_for_services(
        self,
        service_texts: dict[str, str],
        settings: dict[str, Any],
    ) -> command_results.CommandResult:
        """Compare the folder with the current configuration."""
        state = await self.read_state(settings['platform_url'])
        change = publishing.compute_change(service_texts, state.service_texts)
        return command_results.diff_result(
            state.catalog.version, change, state.service_texts
        )


class KeysGrantCommand(OperatorCommand):
    """Creates an API key and shows it once."""

    name = 'keys grant'
    description = 'Creates an API key for a team and shows it once.'
    help = """The key is not stored and cannot be shown again.

Example:
  peridotrill keys grant --team growers-union --name weigh-station-3"""
    options: ClassVar[list[Option]] = [
        option('team', description='team of the key', flag=False),
        option('name', description='name of the key', flag=False),
    ]
    settings = (OUTPUT, PLATFORM_URL)
    interrupted = command_results.EXIT_UNKNOWN

    def run_async(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Check that both options are given."""
        if self.option('team') and self.option('name'):
            return super().run_async(settings)
        message = '--team and --name are required'
        return command_results.failure(EXIT_USAGE, 'usage', message)

    async def result(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Grant the key."""
        async with self.dependencies.connect(settings['platform_url']) as log:
            log_poller = LogPoller(log, self.dependencies.clock)
            changes = key_changes.KeyManager(log, log_poller)
            outcome = await changes.grant(
                self.option('name'),
                self.option('team'),
            )
        if isinstance(outcome, key_changes.Granted):
            name, team, _ = outcome.grant
            text = f'key {name} of team {team}; it is not shown again:\n'
            document = {'outcome': 'granted', 'name': name, 'team': team}
            return command_results.CommandResult(
                command_results.EXIT_OK,
                {**document, 'key': outcome.key},
                text + outcome.key,
            )
        return command_results.key_failure(outcome)


class KeysWithdrawCommand(OperatorCommand):
    """Withdraws an API key."""

    name = 'keys withdraw'
    description = 'Withdraws an API key, also for running streams.'
    help = """Example:
  peridotrill keys withdraw weigh-station-3"""
    arguments: ClassVar[list[Argument]] = [
        argument('name', 'Name of the key.'),
    ]
    settings = (OUTPUT, PLATFORM_URL)
    interrupted = command_results.EXIT_UNKNOWN

    async def result(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Withdraw the key."""
        async with self.dependencies.connect(settings['platform_url']) as log:
            log_poller = LogPoller(log, self.dependencies.clock)
            changes = key_changes.KeyManager(log, log_poller)
            outcome = await changes.withdraw(self.argument('name'))
        if isinstance(outcome, key_changes.Withdrawn):
            document = {'outcome': 'withdrawn', 'name': outcome.name}
            return command_results.CommandResult(
                command_results.EXIT_OK, document, f'withdrawn: {outcome.name}'
            )
        return command_results.key_failure(outcome)


class KeysListCommand(OperatorCommand):
    """Lists the names and teams of the valid API keys, not the keys."""

    name = 'keys list'
    description = 'Lists the names and teams of the valid API keys.'
    help = """Example:
  peridotrill keys list --output json"""
    settings = (OUTPUT, PLATFORM_URL)

    async def result(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Read the log and list the keys."""
        state = await self.read_state(settings['platform_url'])
        rows = [
            {'name': grant.name, 'team': grant.team} for grant in state.keys
        ]
        lines = ['{name}  {team}'.format_map(row) for row in rows]
        return command_results.CommandResult(
            command_results.EXIT_OK,
            {'keys': rows},
            '\n'.join(lines) or 'no keys',
        )


class StatusCommand(OperatorCommand):
    """Shows the status of processes."""

    name = 'status'
    description = 'Shows the status of each process and their differences.'
    help = """Example:
  peridotrill status --entries 10.0.0.4:9100,10.0.1.4:9100"""
    settings = (OUTPUT, ENTRIES)

    async def result(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Request the status of all processes and compare it."""
        reports = await fetch_reports(
            settings['entries'],
            '/status',
            self.dependencies.transport,
        )
        return command_results.status_result(reports, find_differences(reports))


class TimelineCommand(OperatorCommand):
    """Merges the event timelines of several processes."""

    name = 'timeline'
    description = 'Merges the events of processes into causal order.'
    help = """Examples:
  peridotrill timeline --entries 10.0.0.4:9100,10.0.1.4:9100
  peridotrill timeline --html timeline.html"""
    options: ClassVar[list[Option]] = [
        option('html', description='file for an HTML page', flag=False),
    ]
    settings = (OUTPUT, ENTRIES)

    async def result(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Request the events of all processes, merge and format them."""
        reports = await fetch_reports(
            settings['entries'],
            '/timeline',
            self.dependencies.transport,
        )
        parsed = [parse_events(report) for report in reports]
        events = merge_timelines([rows for _, rows in parsed])
        try:
            text = self._write(events)
        except OSError as error:
            return command_results.failure(EXIT_USAGE, 'usage', str(error))
        return command_results.timeline_result(
            [report for report, _ in parsed],
            events,
            text,
        )

    def _write(self, events: list[Event]) -> str:
        page = self.option('html')
        if not page:
            return '\n'.join(format_event(event) for event in events)
        Path(page).write_text(format_page(events), 'utf-8')
        return f'{len(events)} events written to {page}'


class OperatorApplication(Application):
    """Application that exits with EXIT_USAGE for usage errors."""

    def run(
        self,
        input: Input | None = None,  # noqa: WPS125
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run a command.

        :return: the exit code.
        """
        try:
            return super().run(input, output, error_output)
        except CleoError as error:
            stream = self.create_io(input, output, error_output).error_output
            stream.write_line(f'{PROGRAM}: {error}', type=Type.RAW)
            return EXIT_USAGE


def create_application(
    dependencies: CommandDependencies,
) -> OperatorApplication:
    """Create the application with all commands.

    :param dependencies: external dependencies of the commands.
    """
    application = OperatorApplication(PROGRAM, __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in (
        CheckCommand,
        ValidateCommand,
        PublishCommand,
        DiffCommand,
        KeysGrantCommand,
        KeysWithdrawCommand,
        KeysListCommand,
        StatusCommand,
        TimelineCommand,
    ):
        application.add(command(dependencies))
    return application


def main() -> None:
    """Run the command line and exit."""
    for stream in (sys.stdout, sys.stderr):
        # File names may contain characters that the stream cannot encode.
        stream.reconfigure(errors='backslashreplace')  # type: ignore[union-attr]
    dependencies = CommandDependencies.from_environment(os.environ)
    sys.exit(create_application(dependencies).run())
