"""Calls to the control interface of an engine, each on a new connection."""

from typing import final

import anyio

from peridotrill.gateway.target_connections import Response, open_connection
from peridotrill.gateway.targets import TargetRecord
from peridotrill.platform import names


@final
class EngineCalls:
    """Sends calls that only the addressed engine instance may execute."""

    def __init__(self, timeout_s: float) -> None:
        """:param timeout_s: timeout of each call."""
        self._timeout_s = timeout_s

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
            )
            return await connection.call(
                method,
                path,
                body,
                [(names.EXPECT_INSTANCE, target.target_id.encode())],
            )
