"""Answers of the gateway itself."""

from http import HTTPStatus
from typing import Any, Final

from peridotrill.codec import encode_json
from peridotrill.exceptions import PeridotrillError
from peridotrill.gateway.caller_server import Responder
from peridotrill.gateway.requests import Headers

# These say that the request has not run and will not run.
PROMISES_NOT_RUN: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


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


class Refused(PeridotrillError):
    """The request ends with an error of the gateway."""

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **inputs: Any,
    ) -> None:
        """:param reason: a code in snake case.

        :param inputs: what decided it, for the log.
        """
        super().__init__(reason)
        self.inputs = inputs
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
