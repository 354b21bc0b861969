"""Calls to an engine's own interface, each on a connection of its own."""

from typing import final

import anyio

from peridotrill.gateway.target_port import ResponseHead, open_connection
from peridotrill.gateway.targets import TargetRecord


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
        body: bytes,
    ) -> tuple[ResponseHead, bytes]:
        """Send a call and read the whole answer.

        Raises TimeoutError, TargetUnreachable, TargetOutcomeUnknown.
        """
        with anyio.fail_after(self._timeout_s):
            connection = await open_connection(
                target.address,
                self._timeout_s,
                lambda idle: idle.abort('done'),
            )
            exchange = connection.start(
                b'%b %b HTTP/1.1' % (method, path),
                [
                    (b'Host', str(target.address).encode()),
                    (b'Content-Type', b'application/json'),
                    (b'Content-Length', str(len(body)).encode()),
                    (
                        b'X-Peridotrill-Expect-Instance',
                        target.target_id.encode(),
                    ),
                ],
                body,
            )
            try:
                head = await exchange.read_head()
                return head, await exchange.read_body()
            finally:
                exchange.close()
