"""Checks of a configuration before the operator sends it.

All findings are reported together, with the row that they are about.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from peridotrill.codec import check_text, decode_json
from peridotrill.exceptions import CodecError
from peridotrill.findings import Finding
from peridotrill.gateway.configuration import Configuration, Route, Team
from peridotrill.platform.configuration import (
    DECODE_ERRORS,
    ROW_DECODERS,
    decode_configuration,
)
from peridotrill.registry import Registry

_ROW_ERRORS: Final = (*DECODE_ERRORS, CodecError)

# Problems of a configuration that can be decoded: the place and what is wrong.
Problems = Iterator[tuple[str, str]]
Check = Callable[[Mapping[str, Any], Configuration], Problems]

configuration_checks: Final = Registry[str, Check]('configuration check')


def check_configuration(
    content: bytes, file: str, current: bytes | None = None
) -> list[Finding]:
    """Return what is wrong with a configuration.

    :param file: name of the file, for the findings.

    :param current: the configuration in force, to report differences from.
    """
    try:
        document = decode_json(content)
    except CodecError as error:
        return [_finding(file, '', 'unreadable', str(error))]
    invalid = [
        _finding(file, place, 'invalid', message)
        for place, message in _find_invalid(document)
    ]
    if invalid:
        return invalid
    try:
        configuration = decode_configuration(content)
    except CodecError as invalid_error:
        return [_finding(file, '', 'invalid', str(invalid_error))]
    found = [
        _finding(file, place, code, message)
        for code in configuration_checks
        for place, message in _run_check(code, document, configuration)
    ]
    if current is not None:
        found += _compare(file, document, current)
    return found


def _run_check(
    code: str, document: Mapping[str, Any], configuration: Configuration
) -> list[tuple[str, str]]:
    check = configuration_checks.get(code)
    if check is None:
        return []
    try:
        return list(check(document, configuration))
    except DECODE_ERRORS as error:
        # The decoders do not check the types of all fields.
        return [('', f'not checked, as a field has another type: {error!r}')]


def _finding(file: str, place: str, code: str, message: str) -> Finding:
    return Finding(f'{file}: {place}' if place else file, 0, 0, code, message)


def _rows(
    document: Mapping[str, Any], section: str
) -> Iterator[tuple[str, Any]]:
    """Return the rows of a section with their places."""
    for number, row in enumerate(document.get(section) or ()):
        name = row.get('name') if isinstance(row, Mapping) else None
        yield f'{section}[{number}] {name or ""}'.rstrip(), row


def _find_invalid(document: Any) -> Problems:
    if not isinstance(document, Mapping):
        yield '', 'not an object'
        return
    for section, decode in ROW_DECODERS.items():
        if not isinstance(document.get(section) or [], list):
            yield section, 'not a list'
            continue
        for place, row in _rows(document, section):
            try:
                check_text(decode(row).name)
            except _ROW_ERRORS as error:
                yield place, repr(error)


@configuration_checks.register('given_twice')
def _find_given_twice(
    document: Mapping[str, Any], configuration: Configuration
) -> Problems:
    for section in ROW_DECODERS:
        names = Counter(row['name'] for _, row in _rows(document, section))
        for name, count in names.items():
            if count > 1:
                yield section, f'{count} rows have the name {name}'
    keys = Counter(
        key
        for _, row in _rows(document, 'tenants')
        for key in row.get('api-keys') or ()
    )
    for place, row in _rows(document, 'tenants'):
        # Keys are secret: only their number is named.
        own = row.get('api-keys') or ()
        repeated = len([key for key in own if keys[key] > 1])
        if repeated:
            yield place, f'{repeated} of its API keys are given more than once'


@configuration_checks.register('never_matches')
def _find_shadowed(
    document: Mapping[str, Any], configuration: Configuration
) -> Problems:
    first: dict[tuple[str, str], str] = {}
    for place, row in _rows(document, 'routes'):
        prefix = row['path-prefix']
        if not prefix.startswith('/'):
            yield place, 'its path prefix does not begin with /'
        earlier = first.setdefault((row['host'].lower(), prefix), place)
        if earlier != place:
            yield place, f'{earlier} has the same host and path prefix'


@configuration_checks.register('unused_service')
def _find_unused_weights(
    document: Mapping[str, Any], configuration: Configuration
) -> Problems:
    for place, row in _rows(document, 'routes'):
        for part in row.get('split') or ():
            if float(part['weight']) <= 0:
                service = part['service']
                yield place, f'the weight of service {service} is not above 0'


@configuration_checks.register('unknown_service')
def _find_unknown_services(
    document: Mapping[str, Any], configuration: Configuration
) -> Problems:
    for place, route in _routes(document):
        for part in route.services:
            if part.service not in configuration.services:
                yield place, f'there is no service {part.service}'


@configuration_checks.register('contradictory_limits')
def _find_contradictions(
    document: Mapping[str, Any], configuration: Configuration
) -> Problems:
    for place, route in _routes(document):
        if route.timeout_ms < route.goal_ms:
            yield (
                place,
                (
                    f'the timeout of {route.timeout_ms:g} ms is below the goal of '
                    f'{route.goal_ms:g} ms'
                ),
            )
    for team_place, row in _rows(document, 'tenants'):
        yield from _find_low_burst(team_place, ROW_DECODERS['tenants'](row))


def _find_low_burst(place: str, team: Team) -> Problems:
    least = team.plain_tokens if team.counts_tokens else 1
    if team.rate_per_s and team.burst < least:
        yield (
            place,
            (f'the burst of {team.burst:g} is below one request ({least:g})'),
        )


@configuration_checks.register('no_memory')
def _find_no_memory(
    document: Mapping[str, Any], configuration: Configuration
) -> Problems:
    for place, row in _rows(document, 'services'):
        service = configuration.services[row['name']]
        if service.engine is not None and service.engine.kv_tokens < 1:
            yield place, 'no request fits into the memory of its engines'


def _routes(document: Mapping[str, Any]) -> Iterator[tuple[str, Route]]:
    for place, row in _rows(document, 'routes'):
        yield place, ROW_DECODERS['routes'](row)


def _compare(
    file: str, document: Mapping[str, Any], current: bytes
) -> list[Finding]:
    """Return what differs from the configuration in force."""
    try:
        version = decode_configuration(current).version
    except CodecError as error:
        return [_finding(file, '', 'unreadable', f'in force: {error}')]
    in_force = decode_json(current)
    invalid = next(_find_invalid(in_force), None)
    if invalid is not None:
        return [_finding(file, '', 'unreadable', f'in force: {invalid}')]
    found = [
        _finding(file, f'{section} {name}', 'differs', message)
        for section in ROW_DECODERS
        for name, message in _compare_rows(
            _by_name(in_force, section), _by_name(document, section)
        )
    ]
    if document['version'] <= version:
        message = f'version {version} is in force, and not lower'
        found.insert(0, _finding(file, 'version', 'outdated', message))
    return found


def _by_name(document: Mapping[str, Any], section: str) -> dict[str, Any]:
    return {row['name']: row for _, row in _rows(document, section)}


def _compare_rows(before: dict[str, Any], after: dict[str, Any]) -> Problems:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield name, 'removed'
        elif name not in before:
            yield name, 'added'
        else:
            changed = _changed_fields(before[name], after[name])
            if changed:
                yield name, f'changed: {", ".join(changed)}'


def _changed_fields(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[str]:
    return [
        field
        for field in sorted(before.keys() | after.keys())
        if before.get(field) != after.get(field)
    ]
