"""Calls to an engine's own interface, each on a connection of its own."""

from typing import final

import anyio

from peridotrill.gateway.target_connections import Response, open_connection
from peridotrill.gateway.targets import TargetRecord
from peridotrill.platform import names


@final
class EngineCalls:
    """Sends calls that only the named engine may carry out."""

    def __init__(self, timeout_s: float) -> None:
        """:param timeout_s: for each call."""
        self._timeout_s = timeout_s

    async def send(
        self,
        target: TargetRecord,
        method: bytes,
        path: bytes,
        body: bytes = b'',
    ) -> Response:
        """Send a call and read the whole answer.

        Raises TimeoutError, TargetUnreachable, TargetOutcomeUnknown.
        """
        with anyio.fail_after(self._timeout_s):
            connection = await open_connection(
                target.address,
                self._timeout_s,
                lambda idle: idle.abort('done'),
            )
            return await connection.call(
                method,
                path,
                body,
                [(names.EXPECT_INSTANCE, target.target_id.encode())],
            )
