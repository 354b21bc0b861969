"""Fetches reports from the control ports of processes and compares them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any, Final, NamedTuple

import anyio
import httpx
import msgspec

from peridotrill.codec import decode_json
from peridotrill.exceptions import CodecError
from peridotrill.settings import Address
from peridotrill.timeline import Event

_TIMEOUT: Final = timedelta(seconds=5)
# Fields that identify a process or depend on the time of the request; they
# differ between any two processes.
_PROCESS_SPECIFIC_FIELDS: Final = frozenset(
    (
        'process',
        'program',
        'entry_id',
        'target_id',
        'incarnation',
        'zone',
        'address',
        'now',
        'time',
        'uptime_s',
        'lamport',
        'log_age_s',
    ),
)


class ProcessReport(NamedTuple):
    """Response of one process; ``body`` is None if there is an ``error``."""

    address: str
    body: Any
    error: str


async def fetch_reports(
    addresses: Iterable[Address],
    path: str,
    transport: httpx.AsyncBaseTransport | None = None,
) -> list[ProcessReport]:
    """Request a path from all processes concurrently.

    :param addresses: control addresses.
    :param path: path of the report, such as ``/status``.
    :param transport: replaces the network in tests.
    :return: one report per distinct address, sorted by address.
    """
    unique = sorted(set(addresses))
    reports: dict[Address, ProcessReport] = {}

    async def fetch_one(address: Address) -> None:  # noqa: WPS430
        reports[address] = await _fetch(http, address, path)

    timeout_s = _TIMEOUT.total_seconds()
    async with (
        httpx.AsyncClient(
            timeout=timeout_s, transport=transport, trust_env=False
        ) as http,
        anyio.create_task_group() as group,
    ):
        for destination in unique:
            group.start_soon(fetch_one, destination)
    return [reports[address] for address in unique]


async def _fetch(
    http: httpx.AsyncClient,
    address: Address,
    path: str,
) -> ProcessReport:
    host, port = address
    url = httpx.URL(scheme='http', host=host, port=port, path=path)
    try:
        response = await http.get(url)
    except httpx.HTTPError as error:
        message = str(error) or type(error).__name__
        return ProcessReport(str(address), None, message)
    return _parse_response(str(address), response)


def _parse_response(address: str, response: httpx.Response) -> ProcessReport:
    if not response.is_success:
        message = f'HTTP status {response.status_code}'
        return ProcessReport(address, None, message)
    try:
        return ProcessReport(address, decode_json(response.content), '')
    except CodecError as error:
        return ProcessReport(address, None, str(error))


def find_differences(
    reports: Iterable[ProcessReport],
) -> dict[str, dict[str, Any]]:
    """Compare the fields that several processes report.

    :return: values by address for each field whose values differ; the names
        of nested fields are dotted.
    """
    columns: defaultdict[str, dict[str, Any]] = defaultdict(dict)
    for report in reports:
        shared = filter(_is_shared, flatten(report.body))
        for name, value in shared:
            columns[name][report.address] = value
    return dict(filter(_has_differences, sorted(columns.items())))


def flatten(body: Any, prefix: str = '') -> Iterator[tuple[str, Any]]:
    """Yield the fields of nested mappings with dotted names."""
    if not isinstance(body, dict):
        if prefix:
            yield prefix, body
        return
    for key, nested in body.items():
        yield from flatten(nested, f'{prefix}.{key}' if prefix else key)


def parse_events(report: ProcessReport) -> tuple[ProcessReport, list[Event]]:
    """Parse the response to ``/timeline``.

    :param report: its body is a list of events, or a mapping with a list
        ``events``.
    :return: the report and its events; a malformed body is replaced by an
        error.
    """
    if report.error:
        return report, []
    body = report.body
    if isinstance(body, dict):
        body = body.get('events')
    try:
        return report, msgspec.convert(body, list[Event])
    except msgspec.ValidationError as error:
        return report._replace(body=None, error=str(error)), []


def _has_differences(row: tuple[str, dict[str, Any]]) -> bool:
    values = list(row[1].values())
    return any(value != values[0] for value in values)


def _is_shared(field: tuple[str, Any]) -> bool:
    return field[0].rpartition('.')[2] not in _PROCESS_SPECIFIC_FIELDS
