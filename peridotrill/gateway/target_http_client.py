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
    TargetUnidentified,
    TargetUnreachable,
)
from peridotrill.gateway.connection_pool import ConnectionPool, ProcessQuestion
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
    # Timeout for the report of an engine, which needs no slot: before a request
    # is sent, and beside one that is in progress.
    identify: timedelta = timedelta(milliseconds=350)
    identify_beside: timedelta = timedelta(milliseconds=900)
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
        sent_s = self._clock.monotonic_s()
        exchange = connection.start(
            first_line,
            headers,
            request.body,
            partial(self._match, pool, sent_s, request.request_id),
            options.max_events,
        )
        exchange.sent_s = sent_s
        return exchange

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
        head = await exchange.read_head()
        exchange.identity.observe_response(exchange.sent_s)
        return self._wire.decode_response_head(head)

    async def identify_process(
        self, target: TargetRecord, exchange: TargetExchange
    ) -> bool:
        """Ask on another connection whether the process of a record responds.

        Raises TargetUnreachable or TargetOutcomeUnknown if it may be another.

        :return: whether the process can be told from others of its target.
        """
        pool = self._pool(target)
        pending = pool.question
        if pending and pending.asked_s >= exchange.identity.opened_s:
            await pending.ended.wait()
        if exchange.identity.is_known:
            return True
        question = ProcessQuestion(self._clock.monotonic_s(), anyio.Event())
        pool.question = question
        try:
            return await self._identify_on_another(
                pool, target, self._timeouts.identify_beside
            )
        except TargetReplaced:
            pool.suspect()
            raise
        finally:
            question.ended.set()

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

    async def read_report(self, target: TargetRecord) -> bytes | None:
        """Ask the process that wrote a record for its report.

        Returns None if the process is known to have ended, and nothing if its
        report is none. Raises TargetUnreachable if its state is not known. A
        connection alone proves nothing: the kernel accepts it until the process
        is gone, and then resets it. So does a target that has too many.
        """
        pool = self._pool(target)
        for _ in range(_IDENTIFY_ATTEMPTS):
            try:
                connection = await pool.open()
                report = await self._identify(
                    pool, connection, target, self._timeouts.identify
                )
            except (TargetRefused, TargetReplaced):
                return None
            except TargetOutcomeUnknown:
                await anyio.sleep(_RESET_PAUSE_S)
                continue
            except TargetUnidentified:
                return b''
            _keep(pool, connection)
            return report
        raise TargetUnreachable('connections reset')

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
            is_known = connection.identity.is_known or not target.started_ms
            if is_known and pool.alive_s > alive_after_s:
                return connection
            is_usable = await self._is_usable(pool, connection, target)
            if is_usable and connection.is_open:
                pool.is_suspect = False
                return connection
            connection.abort('process not identified')
        raise TargetUnreachable('process not identified')

    async def _is_usable(
        self,
        pool: ConnectionPool,
        connection: TargetConnection,
        target: TargetRecord,
    ) -> bool:
        """Tell whether the right process, or one without a name, is at the end.

        A target that ends its connections with its responses is asked on
        another one, so that this one remains for a request.
        """
        try:
            if pool.is_closed_early:
                await self._identify_on_another(
                    pool, target, self._timeouts.identify
                )
            else:
                await self._identify(
                    pool, connection, target, self._timeouts.identify
                )
        except TargetOutcomeUnknown:
            # An idle connection may have ended before it was used.
            return False
        except BaseException:
            connection.abort('process not identified')
            raise
        return True

    async def _identify_on_another(
        self, pool: ConnectionPool, target: TargetRecord, timeout: timedelta
    ) -> bool:
        for _ in range(_IDENTIFY_ATTEMPTS):
            other = await pool.acquire(self._timeouts.max_idle.total_seconds())
            try:
                await self._identify(pool, other, target, timeout)
            except TargetOutcomeUnknown:
                # An idle connection may have ended before it was used.
                continue
            except BaseException:
                other.abort('process not identified')
                raise
            _keep(pool, other)
            return other.identity.is_known
        raise TargetUnreachable('process not identified')

    async def _identify(
        self,
        pool: ConnectionPool,
        connection: TargetConnection,
        target: TargetRecord,
        timeout: timedelta,
    ) -> bytes:
        """Ask the process at the other end which one it is; return its report.

        Raises TargetReplaced, TargetUnreachable or TargetOutcomeUnknown.
        """
        call = self._wire.format_report_call(target.target_id)
        sent_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                response = await connection.call_and_keep(*call)
            started_ms = self._decode_start_time(response)
        except TimeoutError as error:
            connection.abort('process not identified')
            raise TargetUnreachable('no report in time') from error
        except CodecError as error:
            connection.abort('process not identified')
            raise TargetUnidentified(f'not identified: {error}') from error
        pool.is_closed_early = not connection.is_open
        if started_ms and started_ms != (target.started_ms or started_ms):
            connection.abort('another process answers')
            raise TargetReplaced(f'process of {started_ms} answers')
        pool.alive_s = max(pool.alive_s, sent_s)
        if started_ms:
            connection.identity.confirm(sent_s)
        return response.body

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


def _keep(pool: ConnectionPool, connection: TargetConnection) -> None:
    """Return a connection to its pool unless it has ended."""
    if connection.is_open:
        pool.release(connection)
