"""Decoding of target registration records."""

import ipaddress
from collections.abc import Callable
from typing import Any, Final, TypeVar

from peridotrill.codec import check_integer, check_text, decode_json
from peridotrill.exceptions import CodecError
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.settings import Address, parse_address

_STATES: Final = frozenset(('ready', 'draining'))
_Value = TypeVar('_Value')
# Far above the slots of any target.
_MAX_SLOTS: Final = 1_000_000


def decode_target(target_id: str, content: bytes) -> TargetRecord:
    """Decode one record; raises CodecError if it is invalid.

    Other programs may write records too, so each field is limited to what the
    rest of the program can hold. The id is sent in a header.
    """
    document = decode_json(content)
    if not isinstance(document, dict):
        raise CodecError('record is not a JSON object')
    if not check_text(target_id).isascii():
        raise CodecError('id is not ASCII')
    sequence = _read(document, 'seq', check_integer)
    started_ms = check_integer(document.get('born', 0))
    state = _read(document, 'state', check_text)
    if state not in _STATES:
        raise CodecError(f'unknown state {state!r}')
    return TargetRecord(
        target_id=target_id,
        service=_read(document, 'service', check_text),
        address=_read(document, 'addr', _decode_address),
        zone=_read(document, 'zone', check_text),
        slots=_read(document, 'slots', _decode_slots),
        is_draining=state == 'draining',
        role=_decode_role(document.get('stage')),
        started_ms=started_ms,
        # Without a start time, a lower number may be that of a new process.
        sequence=sequence if started_ms else 0,
        software_version=_read(document, 'version', check_text),
        cold_left_ms=_read(document, 'cold-left-ms', _decode_cold_time),
    )


def _read(
    document: dict[str, Any], name: str, decode: Callable[[Any], _Value]
) -> _Value:
    """Decode a field; raises CodecError that names it."""
    try:
        return decode(document.get(name))
    except CodecError as error:
        raise CodecError(f'{name}: {error}') from error


def _decode_role(stage: Any) -> TargetRole | None:
    try:
        return None if stage is None else TargetRole(stage)
    except ValueError as error:
        raise CodecError('unknown stage') from error


def _decode_slots(slots: Any) -> int:
    return check_integer(slots, 1, _MAX_SLOTS)


def _decode_cold_time(left_ms: Any) -> int | None:
    return None if left_ms is None else check_integer(left_ms)


def _decode_address(text: Any) -> Address:
    """Decode an address to which a connection can be opened."""
    try:
        address = parse_address(check_text(text))
    except ValueError as error:
        raise CodecError(str(error)) from error
    host = ipaddress.ip_address(address.host)
    is_scoped = '%' in address.host
    if host.is_unspecified or host.is_multicast or is_scoped:
        raise CodecError('not the address of one machine')
    if not address.port:
        raise CodecError('port 0')
    return address
