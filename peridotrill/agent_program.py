"""The agent of one target: its components and its shutdown."""

import gc
import os
import signal
import sys
from functools import partial
from typing import Any, Final

import anyio
import httpx
from prometheus_client import Gauge

from peridotrill.agent import Agent, AgentConfig
from peridotrill.attempt_runner import TargetClient
from peridotrill.clock import SystemClock
from peridotrill.control_port import ControlSource, serve_control_port
from peridotrill.engine_client import EngineClient
from peridotrill.findings import Finding, format_findings
from peridotrill.logs import configure_logging
from peridotrill.plain_client import PlainClient
from peridotrill.process_signals import SignalReceiver
from peridotrill.registry import Registry
from peridotrill.settings import EXIT_USAGE, Setting, load_settings
from peridotrill.target_client import create_http_client
from peridotrill.timeline import Recorder

PROGRAM: Final = 'peridotrill-agent'

# About as many requests as a target serves concurrently.
_MAX_IDLE_CONNECTIONS: Final = 64

SETTINGS: Final = (
    Setting('target_id', 'text', 'stable id of the target'),
    Setting('service', 'text', 'name of the service'),
    Setting('kind', 'text', 'engine or plain'),
    Setting('zone', 'text', 'availability zone of this VM'),
    Setting('listen', 'address', 'listen address for links from entries'),
    Setting('control_listen', 'address', 'listen address of the control port'),
    Setting('target_url', 'url', 'URL of the target on the same VM'),
    # Longer than the longest deadline of a service, so that a shutdown does
    # not end an attempt before its own time.
    Setting('drain_timeout', 'duration', 'graceful shutdown timeout', '61m'),
    Setting('log_level', 'log_level', 'minimum log level', 'INFO'),
)

_client_types: Registry[str, type] = Registry('target kind')
_client_types.register('engine')(EngineClient)
_client_types.register('plain')(PlainClient)


def main() -> None:
    """Run the agent until SIGTERM or SIGINT."""
    settings = load_settings(PROGRAM, SETTINGS, sys.argv[1:], os.environ)
    if _client_types.get(settings['kind']) is None:
        finding = Finding('--kind', 0, 0, 'invalid', 'must be engine or plain')
        sys.stderr.write(f'{format_findings([finding])}\n')
        sys.exit(EXIT_USAGE)
    configure_logging(settings['target_id'], settings['log_level'])
    # Imported objects live as long as the process; the collector skips them.
    gc.freeze()
    anyio.run(_run, settings)


async def _run(settings: dict[str, Any]) -> None:
    clock = SystemClock()
    recorder = Recorder(settings['target_id'], clock)
    url = settings['target_url']
    async with (
        create_http_client(url) as http,
        create_http_client(url, persistent=_MAX_IDLE_CONNECTIONS) as control,
    ):
        client = _create_client(settings['kind'], http, control)
        config = AgentConfig(
            **{name: settings[name] for name in AgentConfig._fields},
        )
        agent = Agent.from_config(config, client, clock, recorder)
        _register_metrics(agent)
        await _serve(agent, recorder, settings)
    recorder.emit('stopped')


def _create_client(
    kind: str,
    http: httpx.AsyncClient,
    control: httpx.AsyncClient,
) -> TargetClient:
    client_type = _client_types.get(kind)
    if client_type is None:
        raise KeyError(f'target kind {kind!r} is not registered')
    client: TargetClient = client_type(http, control)
    return client


async def _serve(
    agent: Agent,
    recorder: Recorder,
    settings: dict[str, Any],
) -> None:
    source = ControlSource(recorder, lambda: agent.is_ready, agent.status)
    stopping = anyio.Event()
    stop = partial(_drain, agent, stopping, settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, recorder, stopping)
        tasks.start_soon(agent.run)
        recorder.emit('started', incarnation=agent.incarnation)
        # Returns after a signal, once all responses are delivered.
        await serve_control_port(settings['control_listen'], source, stop)
        tasks.cancel_scope.cancel()


async def _handle_signals(recorder: Recorder, stopping: anyio.Event) -> None:
    """Drain at SIGTERM or SIGINT; SIGHUP has no effect."""
    with SignalReceiver() as signals:
        while True:
            number = (await signals.wait()).number
            recorder.emit(
                'signal_received',
                signal=number.name,
                draining=stopping.is_set(),
            )
            if number != signal.SIGHUP:
                stopping.set()


async def _drain(
    agent: Agent,
    stopping: anyio.Event,
    settings: dict[str, Any],
) -> None:
    await stopping.wait()
    await agent.drain(settings['drain_timeout'])


def _register_metrics(agent: Agent) -> None:
    for name, help_text in (
        ('running', 'Attempts that run at the target.'),
        ('peers', 'Connected entries.'),
        ('ledger_keys', 'Idempotency keys in the ledger.'),
        ('ledger_bytes', 'Bytes of the ledger.'),
    ):
        gauge = Gauge(f'peridotrill_agent_{name}', help_text)
        gauge.set_function(partial(_read_status, agent, name))


def _read_status(agent: Agent, field: str) -> float:
    return float(agent.status()[field])
