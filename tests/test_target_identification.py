"""Connections that are open while a target is asked which process it is."""

from contextlib import suppress
from pathlib import Path

import anyio
import pytest

from peridotrill.clock import SystemClock
from peridotrill.codec import encode_json
from peridotrill.exceptions import TargetOutcomeUnknown, TargetUnreachable
from peridotrill.gateway.target_connections import TargetConnection
from peridotrill.gateway.target_http_client import (
    ConnectionTimeouts,
    TargetHttpClient,
)
from peridotrill.gateway.target_messages import RequestOptions
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform import wire
from standins.platform_server import serve_http
from tests.gateway_builders import (
    caller_request,
    receive_budget,
    receive_limits,
    target,
)

_OPTIONS = RequestOptions('i-1', None, 1000)


class ClosingTarget:
    """Ends each connection with its response; hangs or resets on demand."""

    def __init__(self):
        self.reports = 0
        self.fault = ''

    async def handle(self, raw, responder):
        responder._keep_alive = False  # noqa: SLF001, WPS437
        self.reports += 1
        if self.fault == 'hang':
            await anyio.sleep_forever()
        if self.fault == 'reset':
            responder.abort()
            return
        responder.send(200, [], encode_json({'born': 1}))


def _open_connections(port):
    """Return the number of established connections to a local port."""
    suffix = f':{port:04X}'
    table = Path('/proc/net/tcp').read_text()
    rows = [line.split() for line in table.splitlines()[1:]]
    return sum(
        remote.endswith(suffix) and state == '01'
        for _, _, remote, state, *_ in rows
    )


async def _send(client, record):
    return await client.send(
        caller_request(), record, _OPTIONS, allow_retry=True, must_identify=True
    )


@pytest.mark.parametrize('fault', ['hang', 'reset'])
def test_connection_is_closed_if_its_target_is_not_identified(fault):
    # Guards against connections that stay open after callers have left, or
    # after resets, while targets that close connections are asked on another.
    running = ClosingTarget()

    async def run():
        async with serve_http(running.handle) as address:
            client = TargetHttpClient(
                wire, SystemClock(), ConnectionTimeouts(), receive_budget()
            )
            record = target(address=address, role=TargetRole.DECODE)
            exchange = await _send(client, record)
            exchange.close()
            running.fault = fault
            for _ in range(10):
                with anyio.move_on_after(0.05):
                    with suppress(TargetUnreachable):
                        await _send(client, record)
            await anyio.sleep(0.1)
            return _open_connections(address.port)

    assert anyio.run(run) <= 1


def test_connection_that_was_reset_at_once_is_a_broken_attempt():
    # Guards against an internal error of the request (load soak, seed 301).
    class ResetTransport:
        def get_extra_info(self, name):
            return None

        def abort(self):
            """Nothing is left to reset."""

    async def run():
        connection = TargetConnection(lambda _: None, receive_limits())
        connection.connection_made(ResetTransport())
        await connection.call_and_keep(b'GET', b'/', [])

    with pytest.raises(TargetOutcomeUnknown):
        anyio.run(run)
