"""Lists the parts of prompts that an engine keeps."""

from http import HTTPStatus
from typing import Any, Final, final

from peridotrill.codec import decode_json
from peridotrill.exceptions import CodecError, TargetOutcomeUnknown
from peridotrill.gateway.part_directory import MIN_PART_TOKENS, PartLocation
from peridotrill.gateway.targets import TargetRecord
from peridotrill.platform.engine_calls import EngineCalls

# What a listing of another shape raises while it is decoded.
_UNUSABLE: Final = (LookupError, TypeError, ValueError, ArithmeticError)


@final
class EngineParts:
    """Asks engines, which delays their work: once after a start."""

    def __init__(self, timeout_s: float) -> None:
        """:param timeout_s: for each call."""
        self._calls = EngineCalls(timeout_s)

    async def list_parts(self, target: TargetRecord) -> list[PartLocation]:
        """Return the parts that are large enough to matter.

        Raises TimeoutError, TargetError, CodecError.
        """
        answer = await self._calls.send(target, b'GET', b'/-/kv-list')
        if answer.head.status != HTTPStatus.OK:
            raise TargetOutcomeUnknown(f'status {answer.head.status}')
        return decode_parts(target.target_id, answer.body)


def decode_parts(target_id: str, body: bytes) -> list[PartLocation]:
    """Decode a listing; raises CodecError.

    Each row has an empty text, the part, its tokens and the model.
    """
    listing: Any = decode_json(body)
    try:
        rows = [(str(row[1]), int(row[2])) for row in listing['held']]
    except _UNUSABLE as error:
        raise CodecError(f'listing of parts: {error!r}') from error
    return [
        PartLocation(part_id, target_id, tokens)
        for part_id, tokens in rows
        if tokens >= MIN_PART_TOKENS
    ]
