"""Client for the platform calls that only the lease holder may make."""

from http import HTTPStatus
from typing import Final, final

import anyio

from peridotrill.codec import encode_json
from peridotrill.exceptions import TargetOutcomeUnknown, TargetUnreachable
from peridotrill.gateway.connection_pool import ConnectionPool
from peridotrill.platform import names

# Calls are seconds apart; a connection that was idle longer may be closed.
_MAX_IDLE_S: Final = 2.0


@final
class DutyClient:
    """Sends calls with the holder's name and fencing number."""

    def __init__(
        self,
        pool: ConnectionPool,
        holder: str,
        timeout_s: float,
    ) -> None:
        """:param timeout_s: timeout of a call, including its connection."""
        self._pool = pool
        self._holder = holder
        self._timeout_s = timeout_s

    async def report_usage(
        self,
        fence: int,
        window: int,
        counts: dict[str, int],
    ) -> str:
        """Report a window; return ``ok`` or an error description."""
        return await self._post(
            '/usage',
            fence,
            {'window': window, 'counts': counts},
        )

    async def _post(self, path: str, fence: int, content: object) -> str:
        try:
            with anyio.fail_after(self._timeout_s):
                connection = await self._pool.acquire(_MAX_IDLE_S)
                response = await connection.call(
                    b'POST',
                    path.encode(),
                    encode_json(content),
                    [
                        (names.DUTY_HOLDER, self._holder.encode()),
                        (names.FENCE_TOKEN, b'%d' % fence),
                    ],
                )
        except TimeoutError:
            return 'timeout'
        except (TargetOutcomeUnknown, TargetUnreachable) as error:
            return str(error)
        status = response.head.status
        return 'ok' if status == HTTPStatus.OK else f'status {status}'
