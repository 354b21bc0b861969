"""Lists the prompt parts that an engine caches."""

from http import HTTPStatus
from typing import Any, Final, final

from peridotrill.clock import Clock
from peridotrill.codec import check_integer, check_text, decode_json
from peridotrill.exceptions import CodecError, TargetOutcomeUnknown
from peridotrill.gateway.part_directory import MIN_PART_TOKENS, PartLocation
from peridotrill.gateway.targets import TargetRecord
from peridotrill.platform.engine_calls import EngineCalls

# Raised while decoding a malformed listing.
_DECODE_ERRORS: Final = (LookupError, TypeError, ValueError, ArithmeticError)


@final
class EngineParts:
    """Client for part listings.

    A listing delays the work of an engine, so it should only be requested
    once after a start.
    """

    def __init__(self, timeout_s: float, clock: Clock) -> None:
        """:param timeout_s: timeout of each call."""
        self._calls = EngineCalls(timeout_s, clock)

    async def list_parts(self, target: TargetRecord) -> list[PartLocation]:
        """Return the parts of at least ``MIN_PART_TOKENS`` tokens.

        Raises TimeoutError, TargetError, CodecError.
        """
        response = await self._calls.send(target, b'GET', b'/-/kv-list')
        if response.head.status != HTTPStatus.OK:
            raise TargetOutcomeUnknown(f'status {response.head.status}')
        return decode_parts(target.target_id, response.body)


def decode_parts(target_id: str, body: bytes) -> list[PartLocation]:
    """Decode a listing; raises CodecError.

    Each row has an empty string, the part id, its number of tokens and the
    model.
    """
    listing: Any = decode_json(body)
    try:
        rows = [
            (check_text(row[1]), check_integer(row[2]))
            for row in listing['held']
        ]
    except _DECODE_ERRORS as error:
        raise CodecError(f'invalid part listing: {error!r}') from error
    return [
        PartLocation(part_id, target_id, tokens)
        for part_id, tokens in rows
        if tokens >= MIN_PART_TOKENS
    ]
