"""Decoding of target registration records."""

from typing import Any

from peridotrill.codec import decode_json
from peridotrill.exceptions import CodecError
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.settings import parse_address

_STATES = frozenset(('ready', 'draining'))


def decode_target(target_id: str, content: bytes) -> TargetRecord:
    """Decode one record; raises CodecError if it is invalid.

    Other programs may write records too, so every field is validated.
    """
    document = decode_json(content)
    if not isinstance(document, dict):
        raise CodecError('record is not a JSON object')
    sequence = _require(document, 'seq', int)
    started_ms = _require_integer(document.get('born', 0))
    state = _require(document, 'state', str)
    if state not in _STATES:
        raise CodecError(f'unknown state {state!r}')
    stage = document.get('stage')
    try:
        return TargetRecord(
            target_id=target_id,
            service=_require(document, 'service', str),
            address=parse_address(_require(document, 'addr', str)),
            zone=_require(document, 'zone', str),
            slots=_check_slots(_require(document, 'slots', int)),
            is_draining=state == 'draining',
            role=None if stage is None else TargetRole(stage),
            started_ms=started_ms,
            # Without a start time, a lower number may be that of a new process.
            sequence=sequence if started_ms else 0,
            software_version=_require(document, 'version', str),
        )
    except ValueError as error:
        raise CodecError(str(error)) from error


def _check_slots(slots: int) -> int:
    if slots < 1:
        raise CodecError('slots must be at least 1')
    return slots


def _require(document: dict[str, Any], name: str, kind: type) -> Any:
    found = document.get(name)
    if isinstance(found, bool) or not isinstance(found, kind):
        raise CodecError(f'{name} is missing or has the wrong type')
    return found


def _require_integer(number: Any) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise CodecError('born is not an integer')
    return number
