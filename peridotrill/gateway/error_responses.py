"""Error responses that the gateway sends itself."""

from http import HTTPStatus
from typing import Any, Final

from peridotrill.codec import encode_json
from peridotrill.exceptions import PeridotrillError
from peridotrill.gateway.caller_server import Responder
from peridotrill.gateway.requests import Headers

# Responses with these statuses state that the request was not executed and
# will not be.
NOT_RUN_STATUSES: Final = frozenset(
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
    """Send an error as the complete response.

    :param reason: error code in snake case.
    :param retry_after_s: time after which the caller may retry.
    """
    headers: Headers = [(b'Content-Type', b'application/json')]
    if retry_after_s is not None:
        headers.append((b'Retry-After', b'%.2f' % retry_after_s))
    responder.send(status, headers, encode_json({'error': reason}))


class GatewayError(PeridotrillError):
    """The gateway ends the request with an error response."""

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **log_fields: Any,
    ) -> None:
        """:param reason: error code in snake case.

        :param log_fields: values behind the decision, for the log.
        """
        super().__init__(reason)
        self.log_fields = log_fields
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
