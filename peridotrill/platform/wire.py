"""Encoding and decoding of request and response headers."""

import math
import re
from http import HTTPStatus
from typing import Any, Final

from peridotrill.codec import check_integer, decode_json
from peridotrill.exceptions import CodecError
from peridotrill.gateway.caller_server import RawRequest
from peridotrill.gateway.error_responses import NOT_RUN_STATUSES
from peridotrill.gateway.requests import (
    CallerRequest,
    Headers,
    Prompt,
    PromptPart,
)
from peridotrill.gateway.target_connections import Match, ResponseHead
from peridotrill.gateway.target_messages import (
    PrefilledPrompt,
    RequestOptions,
    TargetLoad,
    TargetResponse,
)
from peridotrill.platform import names

_BEARER_PREFIX: Final = b'bearer '
# Raised while decoding a malformed document.
_DECODE_ERRORS: Final = (KeyError, TypeError, ValueError, ArithmeticError)
_REPORT_ERRORS: Final = (AttributeError, TypeError, ValueError)
# Far above any prompt or queue; small enough that sums of counts are exact.
_MAX_COUNT: Final = 10**9
_PERCENT: Final = 100
# Handles are inserted into request lines and headers, so other characters
# would allow injection.
_HANDLE_PATTERN: Final = re.compile(r'[\w.~-]+', re.ASCII)
# Visible characters; gateways keep the ids, so their length is limited.
_ID_PATTERN: Final = re.compile(rb'[!-~]{1,128}')


def decode_request(raw: RawRequest) -> CallerRequest | None:
    """Decode a request; return None if its head is invalid."""
    fields: dict[bytes, bytes] = {}
    dropped = {
        token.strip().lower()
        for name, value in raw.headers
        if name == b'connection'
        for token in value.split(b',')
    }
    dropped |= names.SYSTEM_HEADERS | names.CONNECTION_HEADERS
    forwarded: Headers = []
    for name, value in raw.headers:
        fields.setdefault(name, value)
        if name not in dropped:
            forwarded.append((name, value))
    host = fields.get(b'host')
    if host is None or not raw.target.startswith(b'/'):
        return None
    try:
        prompt = _decode_prompt(fields)
        wait_ms = _decode_wait(fields.get(names.DEADLINE_MS))
        resume_after = _decode_id(fields.get(names.LAST_EVENT_ID))
        resumed_id = _decode_id(fields.get(names.RESUMES))
    except ValueError:
        return None
    return CallerRequest(
        request_id=fields.get(names.REQUEST_ID, b'').decode('latin-1'),
        method=raw.method,
        target=raw.target,
        host=host.decode('latin-1').rsplit(':', 1)[0].lower(),
        path=raw.target.split(b'?', 1)[0].decode('latin-1'),
        headers=forwarded,
        body=raw.body,
        api_key=_decode_key(fields.get(names.AUTHORIZATION)),
        wait_ms=wait_ms,
        prompt=prompt,
        resume_after=resume_after,
        received_s=raw.received_s,
        resumed_id=None if resumed_id is None else resumed_id.decode(),
    )


def format_target_request(
    request: CallerRequest,
    options: RequestOptions,
) -> tuple[bytes, Headers]:
    """Return the request line and the headers for a target."""
    headers = [
        *request.headers,
        (names.EXPECT_INSTANCE, options.target_id.encode()),
        (names.DEADLINE_MS, b'%d' % max(1, int(options.wait_ms))),
    ]
    optional: tuple[tuple[bytes, str | None], ...] = (
        (names.TENANT, options.team),
        (names.STAGE, options.role.value if options.role else None),
        (names.KV_SOURCE, options.kv_source),
        (names.KV_FETCH, options.kv_fetch),
    )
    headers.extend((name, value.encode()) for name, value in optional if value)
    if options.priority is not None:
        headers.append((names.REQ_PRIORITY, b'%d' % options.priority))
    if options.resume_after is not None:
        headers.append((names.LAST_EVENT_ID, options.resume_after))
    if request.body or request.method not in {b'GET', b'HEAD'}:
        length = str(len(request.body)).encode()
        headers.append((b'content-length', length))
    return b'%b %b HTTP/1.1' % (request.method, request.target), headers


def matches_request(request_id: str, head: ResponseHead) -> Match:
    """Tell whether a response belongs to a request.

    A target that rejects a request may omit the id.
    """
    found = head.get(names.REQUEST_ID)
    if not found:
        return Match.UNNAMED
    is_own = found.decode('latin-1') == request_id
    return Match.OWN if is_own else Match.OTHER


def decode_response_head(head: ResponseHead) -> TargetResponse:
    """Decode the head of a target's response."""
    is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
    is_error = head.status >= HTTPStatus.BAD_REQUEST
    has_not_run = head.get(names.NOT_RUN) is not None
    not_run = is_misdirected or (is_error and has_not_run)
    has_stamp = head.get(names.ENGINE_STAMP) is not None
    load_field = head.get(names.ENGINE_LOAD)
    load = _decode_load(load_field)
    return TargetResponse(
        status=head.status,
        headers=[
            row
            for row in head.headers
            if row[0] not in _DROPPED_RESPONSE_HEADERS
        ],
        is_verified=has_stamp
        and (not_run or head.status not in NOT_RUN_STATUSES)
        and (is_error or not has_not_run),
        not_run=not_run,
        is_wrong_target=is_misdirected,
        load=load,
        is_load_malformed=load is None and load_field is not None,
        limit_per_s=_decode_nonnegative(head.get(names.SERVER_LIMIT)),
        is_leaving=head.get(names.SERVER_LEAVING) == b'1',
        cold_left_ms=_decode_nonnegative(head.get(names.COLD_MS)),
        pause_s=(
            _decode_nonnegative(head.get(names.RETRY_AFTER))
            if head.status == HTTPStatus.SERVICE_UNAVAILABLE
            else None
        ),
    )


_DROPPED_RESPONSE_HEADERS: Final = names.CONNECTION_HEADERS | frozenset(
    (
        names.COLD_MS,
        names.ENGINE_LOAD,
        names.NOT_RUN,
        names.SERVER_LEAVING,
        names.SERVER_LIMIT,
    ),
)


def decode_prefilled(body: bytes) -> PrefilledPrompt:
    """Decode the response to a prefill; raises CodecError."""
    document: Any = decode_json(body)
    try:
        prompt = PrefilledPrompt(
            str(document['handle']),
            check_integer(document['tokens']),
        )
    except _DECODE_ERRORS as error:
        raise CodecError(f'invalid prefill response: {error!r}') from error
    if not _HANDLE_PATTERN.fullmatch(prompt.handle):
        raise CodecError('invalid handle')
    return prompt


def format_release(handle: str) -> tuple[bytes, bytes]:
    """Return method and path of the call that releases a prompt."""
    return b'DELETE', b'/-/kv-handle/%b' % handle.encode()


def format_report_call(target_id: str) -> tuple[bytes, bytes, Headers]:
    """Return method, path and headers of the call for an engine's report."""
    return b'GET', b'/-/report', [(names.EXPECT_INSTANCE, target_id.encode())]


def decode_start_time(body: bytes) -> int:
    """Return when the process of an engine started; raises CodecError.

    The time is in Unix milliseconds, and 0 if the report names none.
    """
    report: Any = decode_json(body)
    if not isinstance(report, dict):
        raise CodecError('report is not a JSON object')
    return check_integer(report.get('born', 0))


def decode_events_made(body: bytes, request_id: str) -> int:
    """Return how many events an engine's report says that a run has made.

    That is 0 if no such run is listed; raises CodecError. Another attempt of
    the request may run at the engine as well: the greatest number counts.
    """
    report: Any = decode_json(body)
    try:
        made = [
            check_integer(events)
            for run_id, _, events, *_ in report.get('runs', ())
            if run_id == request_id
        ]
    except _REPORT_ERRORS as error:
        raise CodecError(f'invalid list of runs: {error!r}') from error
    return max(made, default=0)


def _decode_key(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(_BEARER_PREFIX):
        return None
    return value[len(_BEARER_PREFIX) :].strip().decode('latin-1')


def _decode_id(value: bytes | None) -> bytes | None:
    """Return the id of an event or a request; None if there is none."""
    if not value:
        return None
    if not _ID_PATTERN.fullmatch(value):
        raise ValueError('invalid id')
    return value


def _decode_wait(value: bytes | None) -> float | None:
    if value is None:
        return None
    return _parse_finite_float(value) if value.strip() else None


def _parse_finite_float(value: bytes) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError('not a finite number')
    return number


def _decode_count(value: bytes) -> int:
    count = int(value)
    if not 0 <= count <= _MAX_COUNT:
        raise ValueError('count is out of range')
    return count


def _decode_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    counts = fields.get(names.TOKEN_COUNT)
    if counts is None:
        return None
    prompt_tokens, output_tokens = counts.split(b',')
    parts: list[PromptPart] = []
    for row in fields.get(names.PROMPT_PREFIX, b'').split(b','):
        part_id, _, tokens = row.strip().partition(b':')
        if part_id:
            parts.append(PromptPart(part_id.decode(), _decode_count(tokens)))
    hint = fields.get(names.LENGTH_HINT)
    return Prompt(
        model=fields.get(names.MODEL, b'').decode('latin-1'),
        prompt_tokens=_decode_count(prompt_tokens),
        max_output_tokens=_decode_count(output_tokens),
        parts=tuple(parts),
        expected_output_tokens=None if hint is None else _decode_hint(hint),
    )


def _decode_hint(value: bytes) -> int:
    """Decode the expected number of output tokens; drop any fraction."""
    tokens = int(_parse_finite_float(value))
    if tokens < 0:
        raise ValueError('length hint is negative')
    return tokens


def _decode_load(value: bytes | None) -> TargetLoad | None:
    """Decode a load; return None if it is missing or malformed."""
    if value is None:
        return None
    try:
        running, waiting, slots, *further = value.split(b',')
        return TargetLoad(
            _decode_count(running),
            _decode_count(waiting),
            _decode_count(slots),
            _decode_slowness(*further),
        )
    except (TypeError, ValueError):
        return None


def _decode_slowness(percent: bytes | None = None) -> float | None:
    """Decode how long work takes, in percent of the usual time."""
    if percent is None:
        return None
    slowness = _parse_finite_float(percent) / _PERCENT
    if slowness <= 0:
        raise ValueError('work takes no time')
    return slowness


def _decode_nonnegative(value: bytes | None) -> float | None:
    """Decode a number; return None if it is missing or malformed."""
    if value is None:
        return None
    try:
        number = _parse_finite_float(value)
    except ValueError:
        return None
    return number if number >= 0 else None
