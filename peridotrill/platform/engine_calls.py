"""Calls to the control interface of an engine, each on a new connection."""

from typing import Final, final

import anyio

from peridotrill.clock import Clock
from peridotrill.gateway.receive_limits import ReceiveBudget, ReceiveLimits
from peridotrill.gateway.target_connections import Response, open_connection
from peridotrill.gateway.targets import TargetRecord
from peridotrill.platform import names

# Limit for the response to a call; the longest lists some thousand prompt parts.
_MAX_RESPONSE_BYTES: Final = 1024 * 1024
# Calls to all engines at once have this much memory.
_MAX_TOTAL_BYTES: Final = 4 * _MAX_RESPONSE_BYTES


@final
class EngineCalls:
    """Sends calls that only the addressed engine instance may execute."""

    def __init__(self, timeout_s: float, clock: Clock) -> None:
        """:param timeout_s: timeout of each call."""
        self._timeout_s = timeout_s
        self._clock = clock
        self._budget = ReceiveBudget(_MAX_TOTAL_BYTES, _MAX_RESPONSE_BYTES)

    async def send(
        self,
        target: TargetRecord,
        method: bytes,
        path: bytes,
        body: bytes = b'',
    ) -> Response:
        """Send a call and read the complete response.

        Raises TimeoutError, TargetUnreachable, TargetOutcomeUnknown.
        """
        with anyio.fail_after(self._timeout_s):
            connection = await open_connection(
                target.address,
                self._timeout_s,
                lambda idle: idle.abort('done'),
                ReceiveLimits(self._budget, self._clock.monotonic_s),
            )
            return await connection.call(
                method,
                path,
                body,
                [(names.EXPECT_INSTANCE, target.target_id.encode())],
            )
