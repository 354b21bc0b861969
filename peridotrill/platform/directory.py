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
    state = _require(document, 'state', str)
    if state not in _STATES:
        raise CodecError(f'unknown state {state!r}')
    slots = _require(document, 'slots', int)
    if slots < 1:
        raise CodecError('no slots')
    try:
        address = parse_address(_require(document, 'addr', str))
    except ValueError as error:
        raise CodecError(f'addr: {error}') from error
    stage = document.get('stage')
    try:
        role = None if stage is None else TargetRole(stage)
    except ValueError as error:
        raise CodecError(f'unknown stage {stage!r}') from error
    born = document.get('born', 0)
    _require(document, 'seq', int)
    return TargetRecord(
        target_id=target_id,
        service=_require(document, 'service', str),
        address=address,
        zone=_require(document, 'zone', str),
        slots=slots,
        is_leaving=state == 'draining',
        role=role,
        started_ms=_check_whole(born),
    )


def _require(document: dict[str, Any], name: str, kind: type) -> Any:
    found = document.get(name)
    if isinstance(found, bool) or not isinstance(found, kind):
        raise CodecError(f'{name} is missing or of another type')
    return found


def _check_whole(number: Any) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise CodecError('born is not a whole number')
    return number
