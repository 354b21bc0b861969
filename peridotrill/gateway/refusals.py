"""Answers of the gateway itself."""

from typing import Final

from peridotrill.codec import encode_json
from peridotrill.gateway.callers_port import Responder
from peridotrill.gateway.requests import Headers

BAD_REQUEST: Final = 400
UNAUTHORIZED: Final = 401
NOT_FOUND: Final = 404
TOO_MANY_REQUESTS: Final = 429
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
# These say that the request has not run and will not run.
PROMISES_NOT_RUN: Final = frozenset((TOO_MANY_REQUESTS, UNAVAILABLE))


def send_error(
    responder: Responder,
    status: int,
    reason: str,
    retry_after_s: float | None = None,
) -> None:
    """Send an error as the final answer.

    :param reason: a code in snake case.
    :param retry_after_s: when the caller should come back.
    """
    headers: Headers = [(b'Content-Type', b'application/json')]
    if retry_after_s is not None:
        headers.append((b'Retry-After', b'%.2f' % retry_after_s))
    responder.send(status, headers, encode_json({'error': reason}))
