"""Sends requests to targets over kept connections."""

from datetime import timedelta
from typing import Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock
from peridotrill.exceptions import TargetTimeout
from peridotrill.gateway.requests import CallerRequest
from peridotrill.gateway.target_messages import (
    RequestOptions,
    TargetReply,
    Wire,
)
from peridotrill.gateway.target_port import ConnectionPool, TargetExchange
from peridotrill.gateway.targets import TargetRecord


class ConnectionTimes(NamedTuple):
    """Times of connections to targets.

    A request that may run only once uses a kept connection only within
    ``unsafe_idle``: a target may have closed an older one, and the reset
    that follows would leave its outcome unknown.
    """

    connect_timeout: timedelta = timedelta(milliseconds=350)
    idle: timedelta = timedelta(seconds=5)
    unsafe_idle: timedelta = timedelta(seconds=1.5)
    # An engine answers the release of a prompt within milliseconds.
    release: timedelta = timedelta(seconds=1)


# All gateways together stay below the connections that a target accepts.
_MAX_IDLE_PER_TARGET: Final = 6


@final
class TargetCaller:
    """Connections to all targets."""

    def __init__(
        self, wire: Wire, clock: Clock, times: ConnectionTimes
    ) -> None:
        """:param wire: writes the requests."""
        self._wire = wire
        self._clock = clock
        self._times = times
        self._pools: dict[str, ConnectionPool] = {}

    async def send(
        self,
        request: CallerRequest,
        target: TargetRecord,
        options: RequestOptions,
        may_repeat: bool,
    ) -> TargetExchange:
        """Send a request; raises TargetUnreachable if nothing was sent."""
        pool = self._pool(target)
        idle = self._times.idle if may_repeat else self._times.unsafe_idle
        connection = await pool.acquire(idle.total_seconds())
        first_line, headers = self._wire.format_target_request(
            request,
            options,
        )
        return connection.start(
            first_line,
            headers,
            request.body,
            lambda head: self._wire.matches_request(request.request_id, head),
        )

    async def read_reply(self, exchange: TargetExchange) -> TargetReply:
        """Wait for the head of the answer; raises TargetOutcomeUnknown."""
        return self._wire.decode_reply(await exchange.read_head())

    async def release_prompt(self, target: TargetRecord, handle: str) -> None:
        """Free a prompt that is not needed; raises TargetError."""
        connection = await self._pool(target).acquire(
            self._times.idle.total_seconds(),
        )
        with anyio.move_on_after(self._times.release.total_seconds()):
            await connection.call(*self._wire.format_release(handle))
            return
        raise TargetTimeout('no answer to a release')

    def forget(self, target: TargetRecord) -> None:
        """Close the idle connections of a target that is gone."""
        pool = self._pools.pop(_pool_key(target), None)
        if pool is not None:
            pool.close()

    def _pool(self, target: TargetRecord) -> ConnectionPool:
        key = _pool_key(target)
        pool = self._pools.get(key)
        if pool is None:
            pool = ConnectionPool(
                target.address,
                self._clock.monotonic_s,
                self._times.connect_timeout.total_seconds(),
                _MAX_IDLE_PER_TARGET,
            )
            self._pools[key] = pool
        return pool


def _pool_key(target: TargetRecord) -> str:
    return f'{target.target_id}@{target.address}/{target.started_ms}'
