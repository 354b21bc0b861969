"""JSON encoding and decoding that raises errors of this package."""

from typing import Any, Final

import msgspec

from peridotrill.exceptions import CodecError

encode_json = msgspec.json.encode
# Integers up to here are exact as floats and fit into all encodings; sums of
# larger ones would overflow far from the record that they came with.
MAX_INTEGER: Final = 2**53
# Two names fit into a key of the store, which has at most 255 bytes.
_MAX_TEXT_CHARACTERS: Final = 100


def decode_json(payload: bytes | str) -> Any:
    """Decode JSON into the corresponding Python objects.

    Raises CodecError if the payload is not valid JSON.
    """
    try:
        return msgspec.json.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(f'invalid JSON: {error}') from error


def check_integer(
    found: Any, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Return an integer within bounds; raises CodecError for all else."""
    if isinstance(found, bool) or not isinstance(found, int):
        raise CodecError('not an integer')
    if not minimum <= found <= maximum:
        raise CodecError(f'not within {minimum} and {maximum}')
    return found


def check_text(found: Any) -> str:
    """Return a name that can be logged and sent; raises CodecError."""
    if not isinstance(found, str) or not found.isprintable():
        raise CodecError('not a printable text')
    if not 0 < len(found) <= _MAX_TEXT_CHARACTERS:
        raise CodecError(f'not within 1 and {_MAX_TEXT_CHARACTERS} characters')
    return found
