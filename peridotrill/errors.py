"""Errors returned to callers, with a registry of stable error codes."""

from typing import Any, Final, NamedTuple

from peridotrill.codec import encode_json
from peridotrill.exceptions import PeridotrillError
from peridotrill.registry import Registry

NOT_RUN: Final = 'not_run'
RAN: Final = 'ran'
UNKNOWN: Final = 'unknown'
OUTCOMES: Final = frozenset((NOT_RUN, RAN, UNKNOWN))


class ErrorCode(NamedTuple):
    """An error code; an error may override the default ``outcome``."""

    code: str
    status: int
    error_type: str
    outcome: str
    meaning: str
    advice: str


error_codes: Registry[str, ErrorCode] = Registry('error code')

_INVALID: Final = 'invalid_request_error'
_AUTHENTICATION: Final = 'authentication_error'
_UNAVAILABLE: Final = 'unavailable_error'
_TARGET: Final = 'target_error'

_ERROR_CODES: Final = (
    ErrorCode(
        'invalid_request',
        400,
        _INVALID,
        NOT_RUN,
        'The request is malformed.',
        'Correct the request.',
    ),
    ErrorCode(
        'key_missing',
        401,
        _AUTHENTICATION,
        NOT_RUN,
        'The request has no `Authorization: Bearer` header.',
        'Send a key.',
    ),
    ErrorCode(
        'key_invalid',
        401,
        _AUTHENTICATION,
        NOT_RUN,
        'The key is unknown or was withdrawn.',
        'Ask the operator for a key.',
    ),
    ErrorCode(
        'key_withdrawn',
        401,
        _AUTHENTICATION,
        UNKNOWN,
        'The key was withdrawn while the request ran.',
        'Ask the operator for a key, then check what the request did.',
    ),
    ErrorCode(
        'team_not_allowed',
        403,
        _AUTHENTICATION,
        NOT_RUN,
        "The service has no limit for the key's team.",
        'Ask the operator to add the team to the service file.',
    ),
    ErrorCode(
        'route_not_found',
        404,
        _INVALID,
        NOT_RUN,
        'No service has a route for this path and method.',
        'Correct the path or the method.',
    ),
    ErrorCode(
        'model_not_found',
        404,
        _INVALID,
        NOT_RUN,
        'No service has the model in the field `model`.',
        'Use a model of `GET /v1/models`.',
    ),
    ErrorCode(
        'answer_not_kept',
        409,
        _TARGET,
        RAN,
        'A request with this idempotency key ran; its answer was too large '
        'to be kept.',
        'Read the result from the service; do not send the request again.',
    ),
    ErrorCode(
        'body_too_large',
        413,
        _INVALID,
        NOT_RUN,
        'The body is larger than 8 MiB.',
        'Send a smaller body.',
    ),
    ErrorCode(
        'idempotency_key_reused',
        422,
        _INVALID,
        NOT_RUN,
        'The idempotency key was used with another method, path or body.',
        'Use a new key for a new request.',
    ),
    ErrorCode(
        'rate_limited',
        429,
        'rate_limit_error',
        NOT_RUN,
        'The team is over its rate for this service.',
        'Send the request again after `Retry-After`.',
    ),
    ErrorCode(
        'header_too_large',
        431,
        _INVALID,
        NOT_RUN,
        'The headers are larger than 16 KiB.',
        'Send smaller headers.',
    ),
    ErrorCode(
        'internal_error',
        500,
        'internal_error',
        UNKNOWN,
        'The entry failed.',
        'Report the request id; check what the request did before sending it '
        'again.',
    ),
    ErrorCode(
        'outcome_unknown',
        502,
        _TARGET,
        UNKNOWN,
        'It cannot be established whether the non-idempotent request ran.',
        'Read the state from the service, or send the request again with the '
        'same `Idempotency-Key`: it never runs twice.',
    ),
    ErrorCode(
        'target_failed',
        502,
        _TARGET,
        UNKNOWN,
        'The target failed while it ran the request.',
        'An idempotent request may be sent again.',
    ),
    ErrorCode(
        'answer_broken',
        502,
        _TARGET,
        UNKNOWN,
        'The answer ended before it was whole. In a stream this is the last '
        'event, and the connection is closed without an end.',
        'Discard the part that arrived. An idempotent request may be sent '
        'again.',
    ),
    ErrorCode(
        'answer_too_large',
        502,
        _TARGET,
        RAN,
        'The answer without streaming is larger than 8 MiB.',
        'Use a stream, or request less.',
    ),
    ErrorCode(
        'queue_full',
        503,
        _UNAVAILABLE,
        NOT_RUN,
        "The service's queue is full.",
        'Send the request again after `Retry-After`.',
    ),
    ErrorCode(
        'deadline_unreachable',
        503,
        _UNAVAILABLE,
        NOT_RUN,
        "The request cannot start within the service's deadline.",
        'Send the request again after `Retry-After`.',
    ),
    ErrorCode(
        'no_target',
        503,
        _UNAVAILABLE,
        NOT_RUN,
        'No target of the service takes work.',
        'Send the request again after `Retry-After`.',
    ),
    ErrorCode(
        'target_refused',
        503,
        _UNAVAILABLE,
        NOT_RUN,
        'The target did not start the request and never will.',
        'Send the request again after `Retry-After`.',
    ),
    ErrorCode(
        'prompt_quarantined',
        503,
        _UNAVAILABLE,
        NOT_RUN,
        'Targets crashed repeatedly while they ran such requests.',
        'Change the request, or send it again after `Retry-After`.',
    ),
    ErrorCode(
        'entry_unavailable',
        503,
        _UNAVAILABLE,
        NOT_RUN,
        'The entry is starting, is shutting down, or does not know whether '
        'its keys and limits are current.',
        'Send the request again; another entry may answer.',
    ),
    ErrorCode(
        'deadline_exceeded',
        504,
        _TARGET,
        UNKNOWN,
        "The request did not finish within the service's deadline.",
        'See `outcome`. An idempotent request may be sent again.',
    ),
)


def _register(rows: tuple[ErrorCode, ...]) -> None:
    for row in rows:
        error_codes.register(row.code)(row)


_register(_ERROR_CODES)


class RequestError(PeridotrillError):
    """Ends a request with an error response."""

    def __init__(
        self,
        code: str,
        detail: str = '',
        outcome: str = '',
        retry_after_s: float = 0,
        reason: str = '',
    ) -> None:
        """:param code: registered error code; raises KeyError otherwise.

        :param detail: appended to the meaning of the code.
        :param outcome: overrides the outcome of the code.
        :param reason: refusal code of the agent; determines retries.
        """
        found = error_codes.get(code)
        if found is None:
            raise KeyError(f'error code {code!r} is not registered')
        super().__init__(f'{found.meaning} {detail}'.rstrip())
        self.code = found
        self.outcome = outcome or found.outcome
        self.retry_after_s = retry_after_s
        self.reason = reason

    def document(self, request_id: str) -> dict[str, Any]:
        """Return the content of the error response."""
        return {
            'error': {
                'code': self.code.code,
                'message': str(self),
                'type': self.code.error_type,
                'request_id': request_id,
                'outcome': self.outcome,
            },
        }

    def body(self, request_id: str) -> bytes:
        """Return the body of the error response as JSON."""
        return encode_json(self.document(request_id))


def describe_errors() -> str:
    """Return the Markdown table of error codes in ``docs/errors.md``."""
    lines = [
        '| code | HTTP status | outcome | meaning | what a caller should do |',
        '| --- | --- | --- | --- | --- |',
    ]
    lines.extend(
        f'| `{row.code}` | {row.status} | `{row.outcome}` '
        f'| {row.meaning} | {row.advice} |'
        for row in _ERROR_CODES
    )
    return '\n'.join(lines)
