"""Request admission: service lookup, authentication and rate limits."""

import hashlib
import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock
from peridotrill.codec import decode_json
from peridotrill.control_state import ControlState
from peridotrill.dispatch import Request
from peridotrill.errors import RequestError
from peridotrill.exceptions import CodecError
from peridotrill.keys import KeyGrant
from peridotrill.limits import TeamLimiter
from peridotrill.routing import (
    CHARACTERS_PER_TOKEN,
    RequestCost,
    hash_prefixes,
    prompt_text,
)
from peridotrill.services import MODEL_PATHS, RESERVED_PATHS, Service

MODELS_PATH: Final = '/v1/models'
MAX_IDEMPOTENCY_KEY_CHARACTERS: Final = 255
# Assumed for requests that set no limit on their output.
DEFAULT_OUTPUT_TOKENS: Final = 256
_BEARER_PREFIX: Final = 'bearer '

# Hop-by-hop headers, and headers that only this system may set.
_UNFORWARDED_HEADERS: Final = frozenset(
    (
        'accept-encoding',
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-attempt-id',
        'x-priority',
        'x-request-id',
        'x-resume-tokens',
    ),
)
_INTERNAL_HEADER_PREFIX: Final = 'x-peridotrill-'


class CallerRequest(NamedTuple):
    """A request as received from a caller; header names are lower case."""

    request_id: str
    method: str
    path: str
    raw_path: str
    headers: list[tuple[str, str]]
    body: bytes
    arrived_s: float

    def header(self, name: str) -> str:
        """Return the first header with this name, or an empty string."""
        for found, text in self.headers:
            if found == name:
                return text
        return ''


class AdmittedRequest(NamedTuple):
    """An admitted request and the API key that authorized it."""

    request: Request
    grant: KeyGrant | None


def select_forwarded_headers(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers to forward, of a request or a response."""
    dropped = _UNFORWARDED_HEADERS.union(
        part.strip().lower()
        for header, listed in headers
        if header == 'connection'
        for part in listed.split(',')
    )
    return [
        (name, text)
        for name, text in headers
        if name not in dropped and not name.startswith(_INTERNAL_HEADER_PREFIX)
    ]


def estimate_cost(document: Mapping[str, Any]) -> RequestCost:
    """Estimate the cost of a model request.

    :param document: body of a completion or chat completion request.
    """
    prompt = prompt_text(document)
    output_tokens = DEFAULT_OUTPUT_TOKENS
    for field in ('max_completion_tokens', 'max_tokens'):
        given = document.get(field)
        if isinstance(given, int) and given > 0:
            output_tokens = given
            break
    return RequestCost(
        len(prompt) // CHARACTERS_PER_TOKEN + 1,
        output_tokens,
        hash_prefixes(prompt),
    )


class _RunningRequest(NamedTuple):
    grant: KeyGrant
    scope: anyio.CancelScope


@final
class RunningRequests:
    """Requests in progress that were authorized with an API key."""

    def __init__(self, state: ControlState) -> None:
        """:param state: holds the currently valid keys."""
        self._state = state
        self._running: dict[str, _RunningRequest] = {}

    @contextmanager
    def track(self, request_id: str, grant: KeyGrant | None) -> Iterator[None]:
        """Run the body of the ``with`` statement as a tracked request.

        Raises RequestError with ``key_withdrawn`` if the request is
        cancelled because its key was withdrawn.
        """
        if grant is None:
            yield
            return
        scope = anyio.CancelScope()
        with scope:
            self._running[request_id] = _RunningRequest(grant, scope)
            try:
                yield
            finally:
                self._running.pop(request_id, None)
        if scope.cancelled_caught:
            raise RequestError('key_withdrawn')

    def cancel_withdrawn(self) -> int:
        """Cancel the requests whose key is no longer valid.

        :return: number of cancelled requests.
        """
        withdrawn = [
            running
            for running in self._running.values()
            if self._state.keys.get(running.grant.name) != running.grant
        ]
        for running in withdrawn:
            running.scope.cancel()
        return len(withdrawn)


@final
class Admission:
    """Finds the service of a request, authenticates and rate-limits it."""

    def __init__(
        self,
        state: ControlState,
        limiter: TeamLimiter,
        clock: Clock,
        unavailable_reason: Callable[[], str],
    ) -> None:
        """:param unavailable_reason: returns why keys can't be checked.

        It returns an empty string while they can.
        """
        self._state = state
        self._limiter = limiter
        self._clock = clock
        self._unavailable_reason = unavailable_reason

    def check_head(self, caller_request: CallerRequest) -> None:
        """Check the route and the key; raises RequestError.

        Called before the body is read, so that callers without a valid key
        cannot exhaust memory with large bodies.

        :param caller_request: the body is ignored.
        """
        if self._unavailable_reason():
            return  # The key cannot be checked; refused once the body is read.
        if caller_request.path not in RESERVED_PATHS:
            found = self._state.catalog.find_route(
                caller_request.path, caller_request.method
            )
            if found is None:
                raise RequestError('route_not_found')
            if found[1].open:
                return
        self.authenticate(caller_request)

    def authenticate(self, caller_request: CallerRequest) -> KeyGrant:
        """Return the grant of the request's API key; raises RequestError."""
        unavailable_reason = self._unavailable_reason()
        if unavailable_reason:
            raise RequestError(
                'entry_unavailable', unavailable_reason, retry_after_s=1
            )
        given = caller_request.header('authorization')
        if not given.lower().startswith(_BEARER_PREFIX):
            raise RequestError('key_missing')
        grant = self._state.keys.find(given[len(_BEARER_PREFIX) :].strip())
        if grant is None:
            raise RequestError('key_invalid')
        return grant

    def list_models(self, caller_request: CallerRequest) -> dict[str, Any]:
        """Return the models that the team of the key may use."""
        grant = self.authenticate(caller_request)
        models = [
            {
                'id': service.model,
                'object': 'model',
                'created': 0,
                'owned_by': service.name,
            }
            for service in self._state.catalog.services.values()
            if service.model and grant.team in service.teams
        ]
        return {'object': 'list', 'data': models}

    def admit(self, caller_request: CallerRequest) -> AdmittedRequest:
        """Admit a request for a service; raises RequestError."""
        if (
            caller_request.path in MODEL_PATHS
            and caller_request.method == 'POST'
        ):
            return self._admit_model(caller_request)
        return self._admit_plain(caller_request)

    def _admit_model(self, caller_request: CallerRequest) -> AdmittedRequest:
        grant = self.authenticate(caller_request)
        document = _parse_body(caller_request.body)
        model = document.get('model')
        if not isinstance(model, str):
            raise RequestError(
                'invalid_request', 'The field `model` is needed.'
            )
        service = self._state.catalog.find_model(model)
        if service is None:
            raise RequestError('model_not_found')
        _raise_if_limited(self._take_from_limit(service, grant.team))
        request = self._build_request(
            caller_request, service, grant.team
        )._replace(
            path=caller_request.path,
            streaming=document.get('stream') is True,
            cost=estimate_cost(document),
        )
        return AdmittedRequest(request, grant)

    def _admit_plain(self, caller_request: CallerRequest) -> AdmittedRequest:
        found = self._state.catalog.find_route(
            caller_request.path, caller_request.method
        )
        if found is None:
            raise RequestError('route_not_found')
        service, route = found
        grant, wait_s = None, 0.0
        if not route.open:
            grant = self.authenticate(caller_request)
            wait_s = self._take_from_limit(service, grant.team)
        team = grant.team if grant else ''
        request = self._build_request(caller_request, service, team)
        if not route.idempotent:
            request = _add_idempotency_key(request, caller_request)
        if request.caller_key:
            # The home target knows whether an earlier request with this
            # idempotency key ran. A refusal before it is asked could report
            # `not_run` for a key that ran.
            request = request._replace(limit_wait_s=wait_s)
        else:
            _raise_if_limited(wait_s)
        return AdmittedRequest(request, grant)

    def _take_from_limit(self, service: Service, team: str) -> float:
        """Consume one request of the team's rate limit.

        :return: 0, or the delay in seconds before a retry.
        """
        if team not in service.teams:
            raise RequestError('team_not_allowed')
        return self._limiter.admit(service.name, team).swap().default_value(0)

    def _build_request(
        self,
        caller_request: CallerRequest,
        service: Service,
        team: str,
    ) -> Request:
        deadline_s = caller_request.arrived_s + service.deadline.total_seconds()
        return Request(
            request_id=caller_request.request_id,
            service=service,
            team=team,
            method=caller_request.method,
            path=caller_request.raw_path,
            headers=select_forwarded_headers(caller_request.headers),
            body=caller_request.body,
            streaming=False,
            idempotent=True,
            key_digest=b'',
            request_digest=b'',
            caller_key=False,
            cost=RequestCost(1, 0),
            deadline_s=deadline_s,
        )


def _raise_if_limited(wait_s: float) -> None:
    if wait_s > 0:
        raise RequestError('rate_limited', retry_after_s=wait_s)


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        document = decode_json(body)
    except CodecError as error:
        raise RequestError('invalid_request', str(error)) from error
    if not isinstance(document, dict):
        raise RequestError('invalid_request', 'The body is not an object.')
    return document


def _add_idempotency_key(
    request: Request, caller_request: CallerRequest
) -> Request:
    """Add the idempotency key, scoped to the service and the team."""
    given = caller_request.header('idempotency-key')
    if len(given) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise RequestError('invalid_request', 'Idempotency-Key is too long.')
    key = given or request.request_id
    scope = ('caller' if given else 'entry', request.service.name, request.team)
    return request._replace(
        idempotent=False,
        key_digest=_digest(*scope, key),
        request_digest=_digest(
            request.method, request.path, caller_request.body
        ),
        caller_key=bool(given),
    )


def _digest(*parts: str | bytes) -> bytes:
    """Return the SHA-256 of the parts, each prefixed with its length."""
    digest = hashlib.sha256()
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(len(encoded).to_bytes(8, 'big'))
        digest.update(encoded)
    return digest.digest()


def format_retry_after(duration_s: float) -> str:
    """Format a duration for ``Retry-After``: whole seconds, at least 1."""
    return str(max(1, math.ceil(duration_s)))
