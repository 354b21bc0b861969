"""JSON and MessagePack, with the package's errors."""

from typing import Any

import msgspec

from peridotrill.exceptions import CodecError

encode_json = msgspec.json.encode


def decode_json(payload: bytes | str) -> Any:
    """Decode JSON.

    :param payload: raises CodecError if it is not valid JSON.
    :return: lists, dicts, strings, numbers, booleans, None.
    """
    try:
        return msgspec.json.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(f'invalid JSON: {error}') from error
