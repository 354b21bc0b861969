"""Calls that one process at a time makes to the platform."""

from http import HTTPStatus
from typing import Final, final

import anyio

from peridotrill.codec import encode_json
from peridotrill.exceptions import TargetOutcomeUnknown, TargetUnreachable
from peridotrill.gateway.target_connections import ConnectionPool
from peridotrill.platform import names

# Reports come every few seconds; an older connection may be closed.
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
        try:
            with anyio.fail_after(self._timeout_s):
                connection = await self._pool.acquire(_MAX_IDLE_S)
                answer = await connection.call(
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
        status = answer.head.status
        return 'ok' if status == HTTPStatus.OK else f'status {status}'
