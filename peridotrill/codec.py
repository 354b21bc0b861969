"""JSON encoding and decoding that raises errors of this package."""

from typing import Any

import msgspec

from peridotrill.exceptions import CodecError

encode_json = msgspec.json.encode


def decode_json(payload: bytes | str) -> Any:
    """Decode JSON into the corresponding Python objects.

    Raises CodecError if the payload is not valid JSON.
    """
    try:
        return msgspec.json.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(f'invalid JSON: {error}') from error
