"""Orders to engines, conditional on the number of orders before."""

from http import HTTPStatus
from typing import Any, Final, final

from peridotrill.codec import decode_json, encode_json
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
    """Sends orders as one holder."""

    def __init__(self, holder: str, timeout_s: float) -> None:
        """:param timeout_s: for each of the two calls of an order."""
        self._holder = holder
        self._calls = EngineCalls(timeout_s)

    async def change_role(
        self,
        target: TargetRecord,
        role: TargetRole,
        fence: int,
    ) -> str:
        """Order a role; return ``ACCEPTED`` or what went wrong.

        The number of orders that the engine has accepted is asked for first
        and sent along, so that an order that is carried out late has no
        effect after a newer one, and one that is sent again takes effect
        once.
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
        answer = await self._calls.send(target, b'GET', b'/-/report')
        if answer.head.status != HTTPStatus.OK:
            return f'report {answer.head.status}'
        report: Any = decode_json(answer.body)
        if report['stage'] == role.value or report.get('busy') is True:
            return ACCEPTED
        order = {
            'op': 'stage',
            'stage': role.value,
            'holder': self._holder,
            'fence': fence,
            'precondition': int(report['seq']),
        }
        answer = await self._calls.send(
            target,
            b'POST',
            b'/-/order',
            encode_json(order),
        )
        if answer.head.status in _ACCEPTED_STATUSES:
            return ACCEPTED
        return f'status {answer.head.status}'
