"""HTTP client for targets, with persistent connections."""

import asyncio
import math
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from typing import Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock
from peridotrill.exceptions import (
    CodecError,
    TargetOutcomeUnknown,
    TargetRefused,
    TargetReplaced,
    TargetTimeout,
    TargetUnreachable,
)
from peridotrill.gateway.connection_pool import ConnectionPool
from peridotrill.gateway.receive_limits import ReceiveBudget
from peridotrill.gateway.requests import CallerRequest
from peridotrill.gateway.target_connections import (
    Match,
    Response,
    ResponseHead,
    TargetConnection,
    TargetExchange,
)
from peridotrill.gateway.target_messages import (
    RequestOptions,
    TargetResponse,
    WireCodec,
)
from peridotrill.gateway.targets import TargetRecord, TargetRole


class ConnectionTimeouts(NamedTuple):
    """Timeouts and idle limits of connections to targets.

    A request that must not be retried reuses a connection only if that was
    idle for less than ``non_idempotent_max_idle``: a target may have closed
    an older one, and the reset would leave the outcome of the request
    unknown.
    """

    connect_timeout: timedelta = timedelta(milliseconds=350)
    max_idle: timedelta = timedelta(seconds=5)
    non_idempotent_max_idle: timedelta = timedelta(seconds=1.5)
    # Timeout for the report of an engine, which needs no slot.
    identify: timedelta = timedelta(milliseconds=350)
    # Timeout for the release of a prompt, which usually takes milliseconds.
    release: timedelta = timedelta(seconds=1)


# Connections that are opened to identify a process before its target counts as
# unreachable: the engine may close one after its report.
_IDENTIFY_ATTEMPTS: Final = 3
# Longer than a process that was killed still accepts connections.
_RESET_PAUSE_S: Final = 0.02
# Low enough that all gateways together stay below the connection limit of a
# target.
_MAX_IDLE_PER_TARGET: Final = 6


@final
class TargetHttpClient:
    """Sends requests to targets; keeps one connection pool per target."""

    def __init__(
        self,
        wire: WireCodec,
        clock: Clock,
        timeouts: ConnectionTimeouts,
        budget: ReceiveBudget,
    ) -> None:
        """:param wire: encodes requests and decodes responses.

        :param budget: for the responses of all targets.
        """
        self._wire = wire
        self._clock = clock
        self._timeouts = timeouts
        self._budget = budget
        self._pools: dict[str, ConnectionPool] = {}

    async def send(
        self,
        request: CallerRequest,
        target: TargetRecord,
        options: RequestOptions,
        allow_retry: bool,
        must_identify: bool = False,
        alive_after_s: float = -math.inf,
    ) -> TargetExchange:
        """Send a request; raises TargetUnreachable if nothing was sent.

        :param allow_retry: whether the request may run more than once.
        :param must_identify: whether it matters which process responds.
            Raises TargetReplaced if it is not the one of the record.
        :param alive_after_s: the process is first asked for its report unless
            it has responded to something that was sent later.
        """
        pool = self._pool(target)
        max_idle = (
            self._timeouts.max_idle
            if allow_retry
            else self._timeouts.non_idempotent_max_idle
        )
        max_idle_s = max_idle.total_seconds()
        is_suspect = pool.is_suspect and target.role is TargetRole.DECODE
        if must_identify or is_suspect or pool.alive_s <= alive_after_s:
            connection = await self._acquire_identified(
                pool, target, max_idle_s, alive_after_s, request.request_id
            )
        else:
            connection = await pool.acquire(max_idle_s, request.request_id)
        connection.request_ids.append(request.request_id)
        first_line, headers = self._wire.format_target_request(
            request,
            options,
        )
        now_s = self._clock.monotonic_s()
        matches = partial(self._match, pool, now_s, request.request_id)
        return connection.start(
            first_line, headers, request.body, matches, options.max_events
        )

    def _match(
        self,
        pool: ConnectionPool,
        sent_s: float,
        request_id: str,
        head: ResponseHead,
    ) -> Match:
        """Tell whether a response belongs to a request sent at a time."""
        match = self._wire.matches_request(request_id, head)
        if match is Match.OWN:
            pool.alive_s = max(pool.alive_s, sent_s)
        return match

    def alive_s(self, target: TargetRecord) -> float:
        """Return when the newest message was sent that a process responded to.

        Infinite if nothing is known because the target was removed.
        """
        pool = self._pools.get(target.process)
        return math.inf if pool is None else pool.alive_s

    async def read_response_head(
        self, exchange: TargetExchange
    ) -> TargetResponse:
        """Wait for the response head; raises TargetOutcomeUnknown."""
        return self._wire.decode_response_head(await exchange.read_head())

    async def release_prompt(self, target: TargetRecord, handle: str) -> None:
        """Release an unused prefilled prompt; raises TargetError."""
        connection = await self._pool(target).acquire(
            self._timeouts.max_idle.total_seconds(),
        )
        with anyio.move_on_after(self._timeouts.release.total_seconds()):
            await connection.call(*self._wire.format_release(handle))
            return
        raise TargetTimeout('no response to the release of a prompt')

    async def is_refused(self, target: TargetRecord) -> bool:
        """Open a connection; return whether it was refused.

        A target that does not respond may still be running.
        """
        try:
            await self._pool(target).check()
        except TargetRefused:
            return True
        except TargetUnreachable:
            return False
        return False

    async def has_ended(self, target: TargetRecord) -> bool:
        """Tell whether the process that wrote the record is known to have ended.

        A connection alone proves nothing: the kernel accepts it until the process
        is gone, and then resets it. So does a target that has too many.
        """
        pool = self._pool(target)
        for _ in range(_IDENTIFY_ATTEMPTS):
            try:
                connection = await pool.open()
                await self._identify(connection, target)
            except (TargetRefused, TargetReplaced):
                return True
            except TargetOutcomeUnknown:
                await anyio.sleep(_RESET_PAUSE_S)
                continue
            except TargetUnreachable:
                return False
            pool.release(connection)
            return False
        return False

    async def _acquire_identified(
        self,
        pool: ConnectionPool,
        target: TargetRecord,
        max_idle_s: float,
        alive_after_s: float,
        request_id: str,
    ) -> TargetConnection:
        """Return a connection to the process that wrote the record."""
        for _ in range(_IDENTIFY_ATTEMPTS):
            connection = await pool.acquire(max_idle_s, request_id)
            is_known = connection.is_identified or not target.started_ms
            if is_known and pool.alive_s > alive_after_s:
                return connection
            asked_s = self._clock.monotonic_s()
            try:
                await self._identify(connection, target)
            except TargetOutcomeUnknown:
                # An idle connection may have ended before it was used.
                continue
            pool.is_suspect = False
            pool.alive_s = max(pool.alive_s, asked_s)
            return connection
        raise TargetUnreachable('process not identified')

    async def _identify(
        self, connection: TargetConnection, target: TargetRecord
    ) -> None:
        """Ask the process at the other end which one it is.

        Raises TargetReplaced, TargetUnreachable or TargetOutcomeUnknown.
        """
        call = self._wire.format_report_call(target.target_id)
        try:
            async with asyncio.timeout(self._timeouts.identify.total_seconds()):
                response = await connection.call_and_keep(*call)
            started_ms = self._decode_start_time(response)
        except (TimeoutError, CodecError) as error:
            connection.abort('process not identified')
            raise TargetUnreachable(f'not identified: {error}') from error
        if not started_ms:
            return
        if target.started_ms and started_ms != target.started_ms:
            connection.abort('another process answers')
            raise TargetReplaced(f'process of {started_ms} answers')
        connection.is_identified = True

    def _decode_start_time(self, response: Response) -> int:
        """Return the start time in a report; 0 if the engine names none."""
        if response.head.status == HTTPStatus.MISDIRECTED_REQUEST:
            raise TargetReplaced('another target answers')
        if response.head.status != HTTPStatus.OK:
            return 0
        return self._wire.decode_start_time(response.body)

    def forget(self, target: TargetRecord) -> None:
        """Close the idle connections of a target that was removed."""
        pool = self._pools.pop(target.process, None)
        if pool is not None:
            pool.close()

    def _pool(self, target: TargetRecord) -> ConnectionPool:
        key = target.process
        pool = self._pools.get(key)
        if pool is None:
            pool = ConnectionPool(
                target.address,
                self._clock.monotonic_s,
                self._timeouts.connect_timeout.total_seconds(),
                _MAX_IDLE_PER_TARGET,
                self._budget,
            )
            self._pools[key] = pool
        return pool
