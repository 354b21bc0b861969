"""Pools of persistent connections to targets and to the store."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, final

import anyio

from peridotrill.exceptions import TargetRefused
from peridotrill.gateway.process_identity import (
    ConnectionIdentity,
    ProcessProof,
)
from peridotrill.gateway.receive_limits import ReceiveBudget, ReceiveLimits
from peridotrill.gateway.target_connections import (
    TargetConnection,
    open_connection,
)
from peridotrill.settings import Address


class ProcessQuestion(NamedTuple):
    """A call that asks which process responds, and the event of its end.

    It is sent at ``asked_s``, a monotonic time, or later.
    """

    asked_s: float
    ended: anyio.Event


@final
class ConnectionPool:
    """Pool of connections to one address."""

    def __init__(
        self,
        address: Address,
        now_s: Callable[[], float],
        connect_timeout_s: float,
        max_idle: int,
        budget: ReceiveBudget,
    ) -> None:
        """:param max_idle: maximum number of idle connections.

        :param budget: for the responses, also of other targets.
        """
        self._limits = ReceiveLimits(budget, now_s)
        self.address = address
        self._now_s = now_s
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: deque[TargetConnection] = deque()
        self._is_closed = False
        self._proof = ProcessProof()
        # Whether the process at the address may have ended since a connection
        # was last identified. The record may be that of an earlier process.
        self.is_suspect = True
        # The latest question who responds; streams on several connections share
        # the answer.
        self.question: ProcessQuestion | None = None
        # Whether the target ended the last connection with its report.
        self.is_closed_early = False
        # When the newest message was sent that the process has responded to.
        # No process is known to run from the connection alone: the kernel
        # accepts it, and requests, until the process is gone.
        self.alive_s = 0.0

    async def acquire(
        self, max_idle_s: float, request_id: str | None = None
    ) -> TargetConnection:
        """Return an idle or new connection for one request.

        :param max_idle_s: connections idle for longer are not reused.
        :param request_id: connections that carried this request are not reused.
        """
        used = [row for row in self._idle if request_id in row.request_ids]
        for row in used:
            self._idle.remove(row)
        connection = self._pop_idle(max_idle_s)
        self._idle.extendleft(used)
        if connection is not None:
            return connection
        return await self.open()

    async def check(self) -> None:
        """Open another connection; raises TargetUnreachable."""
        self.release(await self.open())

    def close(self) -> None:
        """Close idle connections; those in use are closed after use."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().abort('pool closed')

    async def open(self) -> TargetConnection:
        """Open a connection; raises TargetUnreachable or TargetRefused."""
        try:
            connection = await open_connection(
                self.address,
                self._connect_timeout_s,
                self.release,
                self._limits,
                self.suspect,
            )
        except TargetRefused:
            self.suspect()
            raise
        connection.identity = ConnectionIdentity(self._proof, self._now_s())
        return connection

    def release(self, connection: TargetConnection) -> None:
        """Keep an idle connection for the next request."""
        connection.idle_since_s = self._now_s()
        if self._is_closed or len(self._idle) >= self._max_idle:
            connection.abort('too many idle connections')
        else:
            self._idle.append(connection)

    def suspect(self) -> None:
        """Record that the process at the address may have ended."""
        self.is_suspect = True

    def _pop_idle(self, max_idle_s: float) -> TargetConnection | None:
        now_s = self._now_s()
        while self._idle:
            connection = self._idle.pop()
            limit_s = max_idle_s
            if connection.keep_alive_s is not None:
                # Half of the declared timeout, so that a request is not sent
                # while the target closes the connection.
                limit_s = min(limit_s, connection.keep_alive_s / 2)
            if not connection.is_open:
                continue
            if connection.has_unread_input():
                connection.abort('data received without a request in progress')
                continue
            if now_s - connection.idle_since_s <= limit_s:
                return connection
            connection.abort('idle for too long')
        return None
