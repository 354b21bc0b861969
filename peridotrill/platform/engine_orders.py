"""Role change orders to engines, conditional on earlier orders."""

from http import HTTPStatus
from typing import Any, Final, final

from peridotrill.clock import Clock
from peridotrill.codec import check_integer, decode_json, encode_json
from peridotrill.exceptions import (
    CodecError,
    TargetOutcomeUnknown,
    TargetUnreachable,
)
from peridotrill.gateway.role_controller import ACCEPTED
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.platform.engine_calls import EngineCalls

_ACCEPTED_STATUSES: Final = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))


@final
class EngineOrders:
    """Sends orders on behalf of one lease holder."""

    def __init__(self, holder: str, timeout_s: float, clock: Clock) -> None:
        """:param timeout_s: timeout of each of the two calls of an order."""
        self._holder = holder
        self._calls = EngineCalls(timeout_s, clock)

    async def change_role(
        self,
        target: TargetRecord,
        role: TargetRole,
        fence: int,
    ) -> str:
        """Order a role; return ``ACCEPTED`` or an error description.

        The first call reads the number of orders that the engine has
        accepted, which is sent with the order as a precondition. A delayed
        order therefore has no effect after a newer one, and an order that is
        sent again takes effect only once.
        """
        try:
            return await self._send(target, role, fence)
        except (TargetUnreachable, TargetOutcomeUnknown, CodecError) as error:
            return str(error)
        except (KeyError, TypeError, ValueError) as error:
            return f'report unreadable: {error!r}'
        except TimeoutError:
            return 'timeout'

    async def _send(
        self,
        target: TargetRecord,
        role: TargetRole,
        fence: int,
    ) -> str:
        response = await self._calls.send(target, b'GET', b'/-/report')
        if response.head.status != HTTPStatus.OK:
            return f'report {response.head.status}'
        report: Any = decode_json(response.body)
        if report['stage'] == role.value:
            return ACCEPTED
        if report.get('busy') is True:
            # The order in progress may be an earlier one, to another role.
            return 'busy'
        order = {
            'op': 'stage',
            'stage': role.value,
            'holder': self._holder,
            'fence': fence,
            'precondition': check_integer(report['seq']),
        }
        response = await self._calls.send(
            target,
            b'POST',
            b'/-/order',
            encode_json(order),
        )
        if response.head.status in _ACCEPTED_STATUSES:
            return ACCEPTED
        return f'status {response.head.status}'
