"""Calls that one process at a time makes to the platform."""

from contextlib import closing
from typing import Final, final

import anyio

from peridotrill.codec import encode_json
from peridotrill.exceptions import TargetOutcomeUnknown, TargetUnreachable
from peridotrill.gateway.target_port import ConnectionPool

_OK: Final = 200
_MAX_IDLE_S: Final = 2.0


@final
class DutyClient:
    """Sends duty calls with the holder's name and fencing number."""

    def __init__(
        self,
        pool: ConnectionPool,
        holder: str,
        timeout_s: float,
    ) -> None:
        """:param timeout_s: after which a call is broken off."""
        self._pool = pool
        self._holder = holder
        self._timeout_s = timeout_s

    async def report_usage(
        self,
        fence: int,
        window: int,
        counts: dict[str, int],
    ) -> str:
        """Report a window; return ``ok`` or what went wrong."""
        return await self._post(
            '/usage',
            fence,
            {'window': window, 'counts': counts},
        )

    async def _post(self, path: str, fence: int, content: object) -> str:
        body = encode_json(content)
        try:
            with anyio.fail_after(self._timeout_s):
                connection = await self._pool.acquire(_MAX_IDLE_S)
                exchange = connection.start(
                    b'POST %b HTTP/1.1' % path.encode(),
                    [
                        (b'Host', str(self._pool.address).encode()),
                        (b'Content-Type', b'application/json'),
                        (b'Content-Length', str(len(body)).encode()),
                        (
                            b'X-Peridotrill-Duty-Holder',
                            self._holder.encode(),
                        ),
                        (b'X-Peridotrill-Fence-Token', b'%d' % fence),
                    ],
                    body,
                )
                with closing(exchange):
                    head = await exchange.read_head()
                    await exchange.read_body()
        except TimeoutError:
            return 'timeout'
        except (TargetOutcomeUnknown, TargetUnreachable) as error:
            return str(error)
        return 'ok' if head.status == _OK else f'status {head.status}'
