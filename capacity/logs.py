"""Cost of the log, leases and VM list, against the stand-in platform."""

import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any, Final

import anyio
import httpx

from capacity.measurements import Quantities, measurement
from peridotrill.clock import SystemClock
from peridotrill.control_state import ControlState
from peridotrill.leases import Lease
from peridotrill.log_client import LogClient, LogFollower
from peridotrill.records import EntryRenewed, decode_record
from peridotrill.targets import TargetTable, parse_vms
from peridotrill.timeline import Recorder

_REPEATS: Final = 40
_MEASURED_S: Final = 5.0
_NO_WAIT: Final = timedelta(0)
_US_PER_S: Final = 1e6


@contextmanager
def _run_platform() -> Iterator[str]:
    command = [sys.executable, '-m', 'standins.platform']
    with subprocess.Popen(
        [*command, '--log-appends-per-s', '0'],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        try:
            address = process.stdout.readline().rpartition('=')[2].strip()
            yield f'http://{address}'
        finally:
            process.terminate()


def _run(
    work: Callable[[str, httpx.AsyncClient, int], Awaitable[Quantities]],
    size: int,
) -> Quantities:
    async def run(url: str) -> Quantities:
        async with httpx.AsyncClient() as http:
            return await work(url, http, size)

    with _run_platform() as url:
        return anyio.run(run, url)


def _renewal(number: int) -> EntryRenewed:
    return EntryRenewed(
        kind='entry_renewed',
        entry_id=f'entry-z1-{number % 420:04}',
        incarnation=f'{number % 420:032x}',
    )


async def _await_cpu_us(work: Awaitable[Any]) -> float:
    started_s = time.process_time()
    await work
    return (time.process_time() - started_s) * _US_PER_S


@measurement(
    'log_read',
    'records entry_renewed in a page',
    'log_client, control_state',
    (1, 100, 250, 500),
)
def measure_reads(size: int) -> Quantities:
    """Measure reading a page of the log and applying its records."""
    return _run(_measure_reads, size)


async def _measure_reads(
    url: str,
    http: httpx.AsyncClient,
    size: int,
) -> Quantities:
    client = LogClient(url, http)
    for number in range(size):
        await client.append(_renewal(number))
    answer = await http.get(f'{url}/log/read', params={'from': 1, 'limit': 500})

    async def read() -> None:
        for _ in range(_REPEATS):
            page = await client.read(1, _NO_WAIT)
            state = ControlState()
            for row in page.records:
                record = decode_record(row.payload)
                state.apply(row.offset, record, row.appended_at_s)

    await client.read(1, _NO_WAIT)
    return {
        'cpu_us': await _await_cpu_us(read()) / _REPEATS,
        'received_bytes': len(answer.content) + _header_bytes(answer),
    }


def _header_bytes(answer: httpx.Response) -> int:
    return sum(len(name) + len(text) + 4 for name, text in answer.headers.raw)


@measurement(
    'log_append',
    'appends of entry_renewed',
    'log_client',
    (100, 200, 400),
)
def measure_appends(size: int) -> Quantities:
    """Measure appending records sequentially."""
    return _run(_measure_appends, size)


async def _measure_appends(
    url: str,
    http: httpx.AsyncClient,
    size: int,
) -> Quantities:
    client = LogClient(url, http)

    async def append() -> None:
        for number in range(size):
            await client.append(_renewal(number))

    await client.append(_renewal(0))
    return {'cpu_us': await _await_cpu_us(append())}


@measurement(
    'log_follow',
    'records/s appended by another process',
    'log_client, control_state',
    (10, 40, 80),
)
def measure_follower(size: int) -> Quantities:
    """Measure an entry that follows the log while others append."""
    return _run(_measure_follower, size)


async def _measure_follower(
    url: str,
    http: httpx.AsyncClient,
    size: int,
) -> Quantities:
    clock = SystemClock()
    reads = 0

    async def count(_request: httpx.Request) -> None:
        nonlocal reads  # noqa: WPS420
        reads += 1

    http.event_hooks = {'request': [count]}
    follower = LogFollower(
        LogClient(url, http),
        ControlState(),
        clock,
        Recorder('entry', clock),
    )
    with subprocess.Popen(
        [sys.executable, '-m', 'capacity.logs', url, str(size)],
    ) as appender:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.sleep(1.5)
            reads = 0
            used_us = await _await_cpu_us(anyio.sleep(_MEASURED_S))
            tasks.cancel_scope.cancel()
        appender.terminate()
    return {
        'cpu_us_per_s': used_us / _MEASURED_S,
        'reads_per_s': reads / _MEASURED_S,
    }


async def _append_at_rate(url: str, records_per_s: int) -> None:
    async with httpx.AsyncClient() as http:
        client = LogClient(url, http)
        due_s = anyio.current_time()
        for number in range(10**9):
            await client.append(_renewal(number))
            due_s += 1 / records_per_s
            await anyio.sleep(max(0, due_s - anyio.current_time()))


@measurement(
    'leases_held',
    'leases held by one process',
    'leases, log_client',
    (4, 12, 24),
)
def measure_leases(size: int) -> Quantities:
    """Measure renewing leases, and reading the renewals from the log."""
    return _run(_measure_leases, size)


async def _measure_leases(
    url: str,
    http: httpx.AsyncClient,
    size: int,
) -> Quantities:
    clock, state = SystemClock(), ControlState()
    recorder = Recorder('entry', clock)
    client = LogClient(url, http)
    follower = LogFollower(client, state, clock, recorder)
    leases = [
        Lease(f'l{number}', 'i1', timedelta(seconds=6), state, clock, recorder)
        for number in range(size)
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        for lease in leases:
            tasks.start_soon(lease.run, client)
        await anyio.sleep(4)
        first_offset = state.offset
        used_us = await _await_cpu_us(anyio.sleep(2 * _MEASURED_S))
        appends = state.offset - first_offset
        assert all(lease.is_held() for lease in leases)
        tasks.cancel_scope.cancel()
    return {
        'cpu_us_per_s': used_us / _MEASURED_S / 2,
        'appends_per_s': appends / _MEASURED_S / 2,
    }


@measurement(
    'vm_list',
    'VMs on the list',
    'target_links, targets',
    (100, 400, 1240),
)
def measure_vm_list(size: int) -> Quantities:
    """Measure fetching, parsing and applying one VM list."""
    return _run(_measure_vm_list, size)


async def _measure_vm_list(
    url: str,
    http: httpx.AsyncClient,
    size: int,
) -> Quantities:
    await http.post(f'{url}/faults', json={'vms_lag_s': 0})
    for number in range(size):
        vm = {
            'vm_id': f'vm-{number:04}',
            'kind': 'target',
            'state': 'live',
            'zone': f'z{number % 6}',
            'service': 'assistant',
            'target_id': f'assistant-{number:04}',
            'target_kind': 'engine',
            'address': f'10.20.{number // 250}.{number % 250}:7201',
        }
        answer = await http.put(f'{url}/vms/{vm["vm_id"]}', json=vm)
        answer.raise_for_status()
    answer = await http.get(f'{url}/vms')
    table = TargetTable(SystemClock())

    async def poll() -> None:
        for _ in range(_REPEATS):
            listed = await http.get(f'{url}/vms')
            table.apply_vms(parse_vms(listed.content))

    return {
        'cpu_us': await _await_cpu_us(poll()) / _REPEATS,
        'received_bytes': len(answer.content) + _header_bytes(answer),
    }


if __name__ == '__main__':
    anyio.run(_append_at_rate, sys.argv[1], int(sys.argv[2]))
