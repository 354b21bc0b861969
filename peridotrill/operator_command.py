"""Base classes of operator commands: settings, output and exit codes."""

from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from pathlib import Path
from typing import Any, ClassVar, Final, NamedTuple

import anyio
import httpx
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from expression import Result

from peridotrill import command_results, publishing
from peridotrill.clock import Clock, SystemClock
from peridotrill.codec import encode_json
from peridotrill.exceptions import (
    LogError,
    LogUnavailable,
    RecordError,
    RecordsExpired,
)
from peridotrill.findings import Finding, format_findings
from peridotrill.settings import (
    EXIT_USAGE,
    Setting,
    parse_settings,
    setting_parsers,
)

PROGRAM: Final = 'peridotrill'
_EXIT_CODES: Final = """

Exit codes:
  0  done
  1  invalid service files, or the change was refused
  2  usage error
  3  the platform or a process is not reachable; nothing was changed
  4  outcome unknown: the change may still take effect"""

OUTPUT: Final = Setting(
    'output', 'output_format', 'output format, json or text', 'text'
)
PLATFORM_URL: Final = Setting('platform_url', 'url', 'URL of the platform')
AUTHOR: Final = Setting('author', 'text', 'name of the publishing operator')
BASE: Final = Setting(
    'base',
    'integer',
    'configuration version that the change is based on; default: the current',
    '',
)
ENTRIES: Final = Setting(
    'entries',
    'addresses',
    'control addresses of processes, IP:port,IP:port',
)
_NO_WAIT: Final = timedelta(0)
_FOLDER: Final = argument('dir', 'Folder with service files.')


@setting_parsers.register('output_format')
def parse_output_format(text: str) -> str:
    """:param text: ``json`` or ``text``; raises ValueError otherwise."""
    if text not in {'json', 'text'}:
        raise ValueError('must be json or text')
    return text


class CommandDependencies(NamedTuple):
    """Environment, log, clock and HTTP transport; tests replace them.

    ``connect`` opens the log at a platform URL.
    """

    environment: Mapping[str, str]
    connect: Callable[[str], AbstractAsyncContextManager[Any]]
    clock: Clock
    transport: httpx.AsyncBaseTransport | None = None

    @classmethod
    def from_environment(
        cls, environment: Mapping[str, str]
    ) -> 'CommandDependencies':
        """:param environment: environment variables."""
        return cls(environment, _connect, SystemClock())


def _connect(platform_url: str) -> AbstractAsyncContextManager[Any]:
    # Imported lazily: validate needs neither the log nor the network.
    from peridotrill.operator_log import connect  # noqa: WPS433

    return connect(platform_url)


def _create_options(settings: Sequence[Setting]) -> list[Option]:
    return [
        option(
            setting.flag.removeprefix('--'),
            description=_describe(setting),
            flag=False,
        )
        for setting in settings
    ]


def _describe(setting: Setting) -> str:
    # BASE is not read from the environment; see ``_environment``.
    if setting is BASE:
        return setting.help_text
    return f'{setting.help_text} ({setting.variable})'


class OperatorCommand(Command):
    """Base class of all commands: settings, output formats, exit codes."""

    settings: ClassVar[tuple[Setting, ...]] = (OUTPUT,)
    # Exit code after KeyboardInterrupt. Commands that append to the log use
    # EXIT_UNKNOWN, since the change may still take effect.
    interrupted: ClassVar[int] = command_results.EXIT_UNREACHABLE

    def __init__(self, dependencies: CommandDependencies) -> None:
        """:param dependencies: external dependencies."""
        super().__init__()
        self.dependencies = dependencies
        for cli_option in _create_options(self.settings):
            self._definition.add_option(cli_option)
        self.help += _EXIT_CODES

    def handle(self) -> int:
        """Run the command, write its result and return the exit code."""
        parsed = self._read_settings()
        if parsed.is_error():
            text = format_findings(parsed.error)
            self.io.write_error_line(text, type=Type.RAW)
            return EXIT_USAGE
        settings = parsed.ok
        result = self._run_handling_errors(settings)
        # RAW: Cleo must not interpret text from files and processes as markup.
        if settings['output'] == 'json':
            text = encode_json(result.document).decode()
            self.io.write_line(text, type=Type.RAW)
        elif result.is_error:
            self.io.write_error_line(result.text, type=Type.RAW)
        else:
            self.io.write_line(result.text, type=Type.RAW)
        return result.exit_code

    def run_async(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Run the command on a new event loop."""
        return anyio.run(self.result, settings)

    async def result(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Run the command and return its result; implemented by commands."""
        raise NotImplementedError

    async def read_state(self, platform_url: str) -> Any:
        """Read the log to its end and return the ``ControlState``."""
        async with self.dependencies.connect(platform_url) as log:
            await log.refresh(_NO_WAIT)
            return log.state

    def _run_handling_errors(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        try:
            return self.run_async(settings)
        except (LogUnavailable, RecordsExpired) as error:
            message = str(error)
            exit_code = command_results.EXIT_UNREACHABLE
            return command_results.failure(exit_code, 'unreachable', message)
        except (LogError, RecordError) as error:
            # The record is too large or was rejected; nothing was appended.
            return command_results.failure(
                command_results.EXIT_REFUSED, 'refused', str(error)
            )
        except KeyboardInterrupt:
            return command_results.failure(
                self.interrupted, 'interrupted', 'interrupted'
            )

    def _read_settings(self) -> Result[dict[str, Any], list[Finding]]:
        flags = [
            f'{setting.flag}={self.option(setting.flag.removeprefix("--"))}'
            for setting in self.settings
            if self.option(setting.flag.removeprefix('--')) is not None
        ]
        return parse_settings(
            PROGRAM,
            self.settings,
            flags,
            self._environment(),
        )

    def _environment(self) -> dict[str, str]:
        environment = dict(self.dependencies.environment)
        # The base version applies to one publish only; an environment
        # variable would stay set for later ones.
        environment.pop(BASE.variable, None)
        environment.setdefault(
            AUTHOR.variable,
            environment.get('USER') or 'unknown',
        )
        return environment


class FolderCommand(OperatorCommand):
    """Base class of commands that read a folder of service files."""

    arguments: ClassVar[list[Argument]] = [_FOLDER]

    async def result(
        self, settings: dict[str, Any]
    ) -> command_results.CommandResult:
        """Load the folder; return its findings or the command's result."""
        match publishing.load_folder(Path(self.argument('dir'))):
            case Result(tag='ok', ok=service_texts):
                return await self.result_for_services(service_texts, settings)
            case Result(error=findings):
                return command_results.findings_result(findings)

    async def result_for_services(
        self,
        service_texts: dict[str, str],
        settings: dict[str, Any],
    ) -> command_results.CommandResult:
        """Run the command with valid service files.

        :param service_texts: texts of the service files by service name.
        """
        raise NotImplementedError
