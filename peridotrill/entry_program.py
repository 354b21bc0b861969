"""An entry: its components and its shutdown."""

import os
import signal
import sys
from typing import Any, Final

import anyio
import httpx

from peridotrill.caller_server import serve_callers
from peridotrill.clock import SystemClock
from peridotrill.control_port import ControlSource, serve_control_port
from peridotrill.entry import Entry, EntrySettings
from peridotrill.logs import configure_logging
from peridotrill.process_signals import SignalReceiver
from peridotrill.settings import (
    Address,
    Setting,
    load_settings,
    parse_address,
    setting_parsers,
)
from peridotrill.snapshots import SnapshotSettings
from peridotrill.timeline import Recorder
from peridotrill.usage import UsageSettings

PROGRAM: Final = 'peridotrill-entry'
_REGISTRATION_CHECK_INTERVAL_S: Final = 1.0

SETTINGS: Final = (
    Setting('entry_id', 'text', 'id of this entry, as in the VM list'),
    Setting('zone', 'text', 'availability zone of this VM'),
    Setting('listen', 'address', 'address for callers'),
    Setting('control_listen', 'address', 'address of the control port'),
    Setting('platform_url', 'url', 'base URL of the platform'),
    Setting(
        'drain_delay',
        'duration',
        'how long new requests are accepted after SIGTERM',
        '5s',
    ),
    Setting('log_level', 'log_level', 'lowest level that is logged', 'INFO'),
    Setting('usage_flush', 'duration', 'interval of usage records', '5s'),
    Setting('usage_window', 'duration', 'length of a usage window', '60s'),
    Setting('usage_grace', 'duration', 'wait before a window closes', '10s'),
    Setting(
        'snapshot_interval',
        'duration',
        'maximum age of the newest snapshot; well below the log retention',
        '10m',
    ),
    Setting(
        'peers',
        'addresses',
        'control addresses of other entries, used during log outages',
        '',
    ),
    Setting(
        'target_subset',
        'integer',
        'number of engines of a service to connect to, 0 for all',
        '8',
    ),
    Setting(
        'address_overrides',
        'address_overrides',
        'agent addresses, override the VM list: target_id=IP:port,…',
        '',
    ),
)


@setting_parsers.register('address_overrides')
def parse_address_overrides(text: str) -> dict[str, str]:
    """Parse agent addresses by target id; raises ValueError.

    :param text: ``target_id=IP:port,…``.
    """
    overrides = {}
    for row in text.split(','):
        target_id, separator, address = row.strip().partition('=')
        if not (target_id and separator):
            raise ValueError('must be target_id=IP:port, separated by commas')
        overrides[target_id] = str(parse_address(address))
    return overrides


async def run_entry(parsed: dict[str, Any], recorder: Recorder) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it.

    :param parsed: parsed settings by name.
    """
    settings = EntrySettings(
        parsed['entry_id'],
        parsed['zone'],
        parsed['platform_url'],
        UsageSettings(
            parsed['usage_flush'],
            parsed['usage_window'],
            parsed['usage_grace'],
        ),
        parsed['address_overrides'] or {},
        parsed['target_subset'],
        SnapshotSettings(parsed['snapshot_interval']),
        parsed['peers'] or (),
    )
    has_left = anyio.Event()
    async with (
        httpx.AsyncClient(trust_env=False) as http,
        anyio.create_task_group() as control,
    ):
        entry = Entry.from_config(settings, http, SystemClock(), recorder)
        control.start_soon(
            serve_control_port,
            parsed['control_listen'],
            ControlSource(
                recorder,
                entry.is_ready,
                entry.status,
                entry.control_state,
            ),
            has_left.wait,
        )
        await _run_until_left(entry, recorder, parsed)
        has_left.set()


async def _run_until_left(
    entry: Entry,
    recorder: Recorder,
    parsed: dict[str, Any],
) -> None:
    begin_drain, stopping, finished = (anyio.Event() for _ in range(3))
    async with anyio.create_task_group() as tasks:
        drain_delay_s = parsed['drain_delay'].total_seconds()
        tasks.start_soon(_handle_signals, entry, recorder, begin_drain)
        tasks.start_soon(_drain, entry, drain_delay_s, begin_drain, stopping)
        tasks.start_soon(_watch_registration, entry, stopping)
        tasks.start_soon(_serve, entry, parsed['listen'], stopping, finished)
        tasks.start_soon(entry.run, tasks)
        await finished.wait()
        await entry.leave()
        tasks.cancel_scope.cancel()


async def _serve(
    entry: Entry,
    address: Address,
    stopping: anyio.Event,
    finished: anyio.Event,
) -> None:
    """Serve callers until the drain is over."""
    await serve_callers(entry.app, address, stopping.wait)
    finished.set()


async def _handle_signals(
    entry: Entry,
    recorder: Recorder,
    begin_drain: anyio.Event,
) -> None:
    """Drain at SIGTERM or SIGINT; SIGHUP has no effect."""
    with SignalReceiver() as signals:
        while True:
            number = (await signals.wait()).number
            recorder.emit(
                'signal_received',
                signal=number.name,
                draining=entry.is_draining,
            )
            if number != signal.SIGHUP:
                begin_drain.set()


async def _drain(
    entry: Entry,
    drain_delay_s: float,
    begin: anyio.Event,
    stopping: anyio.Event,
) -> None:
    await begin.wait()
    entry.begin_drain()
    await anyio.sleep(drain_delay_s)
    stopping.set()


async def _watch_registration(entry: Entry, stopping: anyio.Event) -> None:
    """Stop once another process has registered with the id of this entry."""
    while not entry.registration.is_replaced:
        await anyio.sleep(_REGISTRATION_CHECK_INTERVAL_S)
    entry.begin_drain()
    stopping.set()


def main() -> None:
    """Run the program."""
    parsed = load_settings(PROGRAM, SETTINGS, sys.argv[1:], os.environ)
    configure_logging(parsed['entry_id'], parsed['log_level'])
    recorder = Recorder(parsed['entry_id'], SystemClock())
    anyio.run(run_entry, parsed, recorder)
