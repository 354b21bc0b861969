"""Results of operator commands: exit code, JSON document and text."""

import difflib
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from peridotrill import key_changes, publishing
from peridotrill.codec import encode_json
from peridotrill.findings import Finding, format_findings
from peridotrill.process_reports import ProcessReport, flatten
from peridotrill.timeline import Event

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_UNREACHABLE: Final = 3
EXIT_UNKNOWN: Final = 4


class CommandResult(NamedTuple):
    """Result of a command, for both output formats."""

    exit_code: int
    document: Any
    text: str
    is_error: bool = False


def failure(exit_code: int, outcome: str, message: str) -> CommandResult:
    """Return the result of a failed command."""
    document = {'outcome': outcome, 'message': message}
    return CommandResult(exit_code, document, message, is_error=True)


def findings_result(findings: list[Finding]) -> CommandResult:
    """Return the findings of a folder of service files."""
    rows = [finding._asdict() for finding in sorted(findings)]
    document = {'outcome': 'findings', 'findings': rows}
    return CommandResult(EXIT_REFUSED, document, format_findings(findings))


def publish_result(outcome: publishing.PublishOutcome) -> CommandResult:
    """Return the result of a publish."""
    match outcome:
        case publishing.Accepted(version, change):
            document = {
                'outcome': 'accepted',
                'version': version,
                'changed': sorted(change.changed),
                'removed': list(change.removed),
            }
            names = ', '.join((*change.changed, *change.removed))
            text = f'accepted as version {version}: {names}'
            return CommandResult(EXIT_OK, document, text)
        case publishing.Unchanged(version):
            document = {'outcome': 'unchanged', 'version': version}
            text = f'unchanged: the folder is equal to version {version}'
            return CommandResult(EXIT_OK, document, text)
        case publishing.LostRace():
            return _lost_race_result(outcome)
        case publishing.Rejected(count):
            message = f'the readers of the log reported {count} findings'
            return failure(EXIT_REFUSED, 'rejected', message)
    message = (
        'outcome unknown: the change was not read back from the log in time; '
        'it is safe to publish the folder again'
    )
    return failure(EXIT_UNKNOWN, 'unknown', message)


def key_failure(
    outcome: key_changes.KeyRefused | key_changes.KeyOutcomeUnknown,
) -> CommandResult:
    """Return the result of a key change that was refused or is unknown."""
    if isinstance(outcome, key_changes.KeyRefused):
        return failure(EXIT_REFUSED, outcome.code, outcome.message)
    message = (
        'outcome unknown: the change was not read back from the log in time; '
        f'withdraw {outcome.name!r} and use another name'
    )
    return failure(EXIT_UNKNOWN, 'unknown', message)


def diff_result(
    version: int,
    change: publishing.Change,
    current: dict[str, str],
) -> CommandResult:
    """Return a unified diff of each service that a change affects."""
    diffs = {
        name: _diff(name, current.get(name, ''), change.changed.get(name, ''))
        for name in sorted((*change.changed, *change.removed))
    }
    document = {
        'version': version,
        'removed': list(change.removed),
        'services': diffs,
    }
    text = '\n'.join((f'current version {version}', *diffs.values()))
    return CommandResult(EXIT_OK, document, text.rstrip('\n'))


def status_result(
    reports: list[ProcessReport],
    differences: dict[str, dict[str, Any]],
) -> CommandResult:
    """Return the reports of processes and their differences."""
    document = {
        'processes': [report._asdict() for report in reports],
        'differences': differences,
    }
    lines: list[str] = []
    for report in reports:
        lines.extend(_status_lines(report))
    lines.append('differences:' if differences else 'no differences')
    for name, column in differences.items():
        shown = ' '.join(
            f'{at}={_format_value(value)}' for at, value in column.items()
        )
        lines.append(f'  {_format_value(name)}: {shown}')
    return CommandResult(
        _reports_exit_code(reports), document, '\n'.join(lines)
    )


def timeline_result(
    reports: list[ProcessReport],
    events: list[Event],
    shown: str,
) -> CommandResult:
    """Return merged events and the processes without a valid response.

    :param shown: the events as text, or where they were written.
    """
    errors = {
        report.address: report.error for report in reports if report.error
    }
    lines = [f'{at}: not reachable: {text}' for at, text in errors.items()]
    document = {'events': events, 'errors': errors}
    return CommandResult(
        _reports_exit_code(reports), document, '\n'.join((*lines, shown))
    )


def _reports_exit_code(reports: Iterable[ProcessReport]) -> int:
    is_failed = any(report.error for report in reports)
    return EXIT_UNREACHABLE if is_failed else EXIT_OK


def _lost_race_result(outcome: publishing.LostRace) -> CommandResult:
    base, version, services, authors = outcome
    document = {'outcome': 'lost_race', **outcome._asdict()}
    if version <= base:
        message = f'version {base} does not exist; the current one is {version}'
        return CommandResult(EXIT_REFUSED, document, message, is_error=True)
    message = (
        f'conflict: version {version} by {", ".join(authors)} was published '
        f'after {base} and changed {", ".join(services)}; run diff'
    )
    return CommandResult(EXIT_REFUSED, document, message, is_error=True)


def _status_lines(report: ProcessReport) -> list[str]:
    if report.error:
        return [f'{report.address}: not reachable: {report.error}']
    fields = flatten(report.body)
    rows = [
        f'  {_format_value(name)}: {_format_value(value)}'
        for name, value in fields
    ]
    return [report.address, *rows]


def _format_value(value: Any) -> str:
    # JSON quoting escapes control characters.
    if isinstance(value, str) and value.isprintable():
        return value
    return encode_json(value).decode()


def _diff(name: str, before: str, after: str) -> str:
    lines = difflib.unified_diff(
        before.splitlines(),
        after.splitlines(),
        f'current/{name}',
        f'folder/{name}',
        lineterm='',
    )
    return '\n'.join(lines)
