"""Settings of a program, from flags and environment variables.

A flag overrides the environment variable of the same setting. All findings
are reported together.
"""

import argparse
import ipaddress
import re
import sys
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from peridotrill.findings import Finding, format_findings
from peridotrill.registry import Registry

ENVIRONMENT_PREFIX: Final = 'PERIDOTRILL_'
EXIT_USAGE: Final = 2
_MAX_PORT: Final = 65535
_PORT: Final = re.compile('[0-9]{1,5}')
_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h)')
_UNITS: Final = {
    'ms': 'milliseconds',
    's': 'seconds',
    'm': 'minutes',
    'h': 'hours',
}

setting_parsers: Registry[str, Callable[[str], Any]] = Registry('setting kind')


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class Setting(NamedTuple):
    """One setting; flag and variable are derived from its snake case name."""

    name: str
    kind: str
    help_text: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """Name of the flag."""
        return '--{0}'.format(self.name.replace('_', '-'))

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


@setting_parsers.register('text')
def parse_text(text: str) -> str:
    """:param text: any text that is not blank; raises ValueError."""
    if not text.strip():
        raise ValueError('must not be empty')
    return text


@setting_parsers.register('integer')
def parse_integer(text: str) -> int:
    """:param text: non-negative integer; raises ValueError."""
    if not text.isdecimal():
        raise ValueError('must be a non-negative integer')
    return int(text)


@setting_parsers.register('address')
def parse_address(text: str) -> Address:
    """:param text: ``IP:port``; raises ValueError."""
    host, separator, port = text.rpartition(':')
    if not separator or not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError('must be an IP address and a port, IP:port')
    ipaddress.ip_address(host)
    return Address(host, int(port))


@setting_parsers.register('addresses')
def parse_addresses(text: str) -> tuple[Address, ...]:
    """:param text: ``IP:port`` separated by commas; raises ValueError."""
    return tuple(parse_address(part.strip()) for part in text.split(','))


@setting_parsers.register('url')
def parse_url(text: str) -> str:
    """:param text: ``http`` or ``https`` URL; raises ValueError."""
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'} or not parts.netloc:
        raise ValueError('must be an http or https URL')
    return text.rstrip('/')


@setting_parsers.register('duration')
def parse_duration(text: str) -> timedelta:
    """:param text: such as ``250ms``, ``5s``, ``2m``; raises ValueError."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError('must be a duration such as 250ms, 5s or 2m')
    return timedelta(**{_UNITS[match[2]]: float(match[1])})


@setting_parsers.register('log_level')
def parse_log_level(text: str) -> str:
    """:param text: name of a log level in any case; raises ValueError."""
    level = text.upper()
    if level not in {'DEBUG', 'INFO', 'WARNING', 'ERROR'}:
        raise ValueError('must be DEBUG, INFO, WARNING or ERROR')
    return level


def parse_settings(
    program: str,
    settings: Sequence[Setting],
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> Result[dict[str, Any], list[Finding]]:
    """Read the settings of a program.

    :param program: program name for the help text.
    :param arguments: command line without the program name.
    :param environment: environment variables.
    :return: parsed values by name, or all findings.
    """
    parser = argparse.ArgumentParser(
        prog=program,
        allow_abbrev=False,
        exit_on_error=False,
    )
    for setting in settings:
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            help=_help_text(setting),
        )
    flags, unknown = parser.parse_known_args(list(arguments))
    findings = [
        Finding(flag, 0, 0, 'unknown_flag', 'unknown flag') for flag in unknown
    ]
    parsed: dict[str, Any] = {}
    for setting in settings:
        flag_value = getattr(flags, setting.name)
        match _read_setting(setting, flag_value, environment):
            case Result(tag='ok', ok=value):
                parsed[setting.name] = value
            case Result(error=finding):
                findings.append(finding)
    return Error(findings) if findings else Ok(parsed)


def _help_text(setting: Setting) -> str:
    default = '' if setting.default is None else f' [{setting.default}]'
    text = f'{setting.help_text} ({setting.variable}){default}'
    return text.replace('%', '%%')


def _read_setting(
    setting: Setting,
    flag: str | None,
    environment: Mapping[str, str],
) -> Result[Any, Finding]:
    source, text = setting.flag, flag
    if text is None:
        source, text = setting.variable, environment.get(setting.variable)
    if text is None:
        source, text = setting.flag, setting.default
    if text is None:
        return Error(
            Finding(source, 0, 0, 'missing', 'this setting is required')
        )
    parse = setting_parsers.get(setting.kind)
    if parse is None:
        raise KeyError(f'setting kind {setting.kind!r} is not registered')
    if not text and setting.default == '':
        return Ok('')
    try:
        return Ok(parse(text))
    except ValueError as error:
        return Error(Finding(source, 0, 0, 'invalid', str(error)))


def load_settings(
    program: str,
    settings: Sequence[Setting],
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> dict[str, Any]:
    """Read the settings, or print all findings and exit with status 2.

    :param program: program name for the help text and error messages.
    """
    try:
        outcome = parse_settings(program, settings, arguments, environment)
    except argparse.ArgumentError as error:
        sys.stderr.write(f'{program}: {error}\n')
        sys.exit(EXIT_USAGE)
    match outcome:
        case Result(tag='ok', ok=parsed):
            return parsed
        case Result(error=findings):
            sys.stderr.write(f'{format_findings(findings)}\n')
    sys.exit(EXIT_USAGE)
