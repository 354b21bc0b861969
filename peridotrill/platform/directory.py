"""Decoding of the records with which targets register themselves."""

from typing import Any

from peridotrill.codec import decode_json
from peridotrill.exceptions import CodecError
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.settings import parse_address

_STATES = frozenset(('ready', 'draining'))


def decode_target(target_id: str, content: bytes) -> TargetRecord:
    """Decode one record; raises CodecError if it names no usable target.

    Records may come from other writers, so that each field is checked.
    """
    document = decode_json(content)
    if not isinstance(document, dict):
        raise CodecError('not a table')
    _require(document, 'seq', int)
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
            started_ms=_check_whole(document.get('born', 0)),
        )
    except ValueError as error:
        raise CodecError(str(error)) from error


def _check_slots(slots: int) -> int:
    if slots < 1:
        raise CodecError('no slots')
    return slots


def _require(document: dict[str, Any], name: str, kind: type) -> Any:
    found = document.get(name)
    if isinstance(found, bool) or not isinstance(found, kind):
        raise CodecError(f'{name} is missing or of another type')
    return found


def _check_whole(number: Any) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise CodecError('born is not a whole number')
    return number
