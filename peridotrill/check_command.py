"""Command that checks a configuration before the operator sends it."""

from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from peridotrill import command_results
from peridotrill.operator_command import OperatorCommand
from peridotrill.platform.configuration_check import check_configuration
from peridotrill.settings import EXIT_USAGE


class CheckCommand(OperatorCommand):
    """Checks the configuration of the gateways in a file."""

    name = 'check'
    description = 'Checks a configuration of the gateways before it is sent.'
    help = """All findings are written together, with their places. The exit code
is 0 without findings, 1 with findings, and 2 if a file cannot be read.

Examples:
  peridotrill check configuration.json
  peridotrill check configuration.json --current in-force.json"""
    arguments: ClassVar[list[Argument]] = [
        argument('file', 'File with the configuration.')
    ]
    options: ClassVar[list[Option]] = [
        option(
            'current',
            description='file with the configuration in force',
            flag=False,
        )
    ]

    def run_async(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Check the file."""
        file = self.argument('file')
        current = self.option('current')
        try:
            content = Path(file).read_bytes()
            in_force = Path(current).read_bytes() if current else None
        except OSError as error:
            return command_results.failure(EXIT_USAGE, 'unreadable', str(error))
        findings = check_configuration(content, file, in_force)
        if findings:
            return command_results.findings_result(findings)
        return command_results.CommandResult(
            command_results.EXIT_OK, {'findings': []}, 'no findings'
        )
