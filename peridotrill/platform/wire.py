"""Headers of requests and responses, decoded and written."""

import math
import re
from http import HTTPStatus
from typing import Any, Final

from peridotrill.codec import decode_json
from peridotrill.exceptions import CodecError
from peridotrill.gateway.caller_server import RawRequest
from peridotrill.gateway.refusals import PROMISES_NOT_RUN
from peridotrill.gateway.requests import (
    CallerRequest,
    Headers,
    Prompt,
    PromptPart,
)
from peridotrill.gateway.target_connections import ResponseHead
from peridotrill.gateway.target_messages import (
    PrefilledPrompt,
    RequestOptions,
    TargetLoad,
    TargetResponse,
)
from peridotrill.platform import names

_BEARER: Final = b'bearer '
# What a document of another shape raises while it is decoded.
_UNUSABLE: Final = (KeyError, TypeError, ValueError, ArithmeticError)
# Far above any prompt; keeps sums of counts exact.
_MAX_TOKENS: Final = 10**9
# A handle becomes a part of request lines and headers.
_HANDLE: Final = re.compile(r'[\w.~-]+', re.ASCII)


def decode_request(raw: RawRequest) -> CallerRequest | None:
    """Decode a request; None if its head is not usable."""
    fields: dict[bytes, bytes] = {}
    dropped = {
        token.strip().lower()
        for name, content in raw.headers
        if name == b'connection'
        for token in content.split(b',')
    }
    dropped |= names.SYSTEM_HEADERS | names.CONNECTION_HEADERS
    passed: Headers = []
    for name, content in raw.headers:
        fields.setdefault(name, content)
        if name not in dropped:
            passed.append((name, content))
    host = fields.get(b'host')
    if host is None or not raw.target.startswith(b'/'):
        return None
    try:
        prompt = _decode_prompt(fields)
        wait_ms = _decode_wait(fields.get(names.DEADLINE_MS))
    except ValueError:
        return None
    return CallerRequest(
        request_id=fields.get(names.REQUEST_ID, b'').decode('latin-1'),
        method=raw.method,
        target=raw.target,
        host=host.decode('latin-1').rsplit(':', 1)[0].lower(),
        path=raw.target.split(b'?', 1)[0].decode('latin-1'),
        headers=passed,
        body=raw.body,
        api_key=_decode_key(fields.get(names.AUTHORIZATION)),
        wait_ms=wait_ms,
        prompt=prompt,
        resume_after=fields.get(names.LAST_EVENT_ID),
        received_s=raw.received_s,
    )


def format_target_request(
    request: CallerRequest,
    added: RequestOptions,
) -> tuple[bytes, Headers]:
    """Return the request line and the headers for a target."""
    headers = [
        *request.headers,
        (names.EXPECT_INSTANCE, added.target_id.encode()),
        (names.DEADLINE_MS, b'%d' % max(1, int(added.wait_ms))),
    ]
    optional: tuple[tuple[bytes, str | None], ...] = (
        (names.TENANT, added.team),
        (names.STAGE, added.role.value if added.role else None),
        (names.KV_SOURCE, added.kv_source),
        (names.KV_FETCH, added.kv_fetch),
    )
    headers.extend(
        (name, content.encode()) for name, content in optional if content
    )
    if added.priority is not None:
        headers.append((names.REQ_PRIORITY, b'%d' % added.priority))
    if added.resume_after is not None:
        headers.append((names.LAST_EVENT_ID, added.resume_after))
    if request.body or request.method not in {b'GET', b'HEAD'}:
        length = str(len(request.body)).encode()
        headers.append((b'content-length', length))
    return b'%b %b HTTP/1.1' % (request.method, request.target), headers


def matches_request(request_id: str, head: ResponseHead) -> bool:
    """Tell whether a response belongs to a request.

    A response without an id is taken for the request, because a target that
    rejects it may leave the id out.
    """
    found = head.get(names.REQUEST_ID)
    return found is None or found.decode('latin-1') == request_id


def decode_response_head(head: ResponseHead) -> TargetResponse:
    """Decode the head of a target's response."""
    other = head.status == HTTPStatus.MISDIRECTED_REQUEST
    not_run = head.get(names.NOT_RUN) is not None or other
    has_stamp = head.get(names.ENGINE_STAMP) is not None
    return TargetResponse(
        status=head.status,
        headers=[row for row in head.headers if row[0] not in _NOT_RETURNED],
        is_verified=has_stamp
        and (not_run or head.status not in PROMISES_NOT_RUN),
        not_run=not_run,
        is_wrong_target=other,
        load=_decode_load(head.get(names.ENGINE_LOAD)),
    )


_NOT_RETURNED: Final = names.CONNECTION_HEADERS | frozenset(
    (names.ENGINE_LOAD, names.NOT_RUN),
)


def decode_prefilled(body: bytes) -> PrefilledPrompt:
    """Decode the answer to a prefill; raises CodecError."""
    document: Any = decode_json(body)
    try:
        prompt = PrefilledPrompt(
            str(document['handle']),
            int(document['tokens']),
        )
    except _UNUSABLE as error:
        raise CodecError(f'invalid prefill answer: {error!r}') from error
    if not _HANDLE.fullmatch(prompt.handle):
        raise CodecError('invalid handle')
    return prompt


def format_release(handle: str) -> tuple[bytes, bytes]:
    """Return method and path of the call that frees a prompt."""
    return b'DELETE', b'/-/kv-handle/%b' % handle.encode()


def _decode_key(content: bytes | None) -> str | None:
    if content is None or not content.lower().startswith(_BEARER):
        return None
    return content[len(_BEARER) :].strip().decode('latin-1')


def _decode_wait(content: bytes | None) -> float | None:
    if content is None:
        return None
    return _decode_finite(content) if content.strip() else None


def _decode_finite(content: bytes) -> float:
    number = float(content)
    if not math.isfinite(number):
        raise ValueError('not a finite number')
    return number


def _decode_tokens(content: bytes) -> int:
    tokens = int(content)
    if not 0 <= tokens <= _MAX_TOKENS:
        raise ValueError('tokens out of range')
    return tokens


def _decode_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    counts = fields.get(names.TOKEN_COUNT)
    if counts is None:
        return None
    prompt_tokens, output_tokens = counts.split(b',')
    parts: list[PromptPart] = []
    for row in fields.get(names.PROMPT_PREFIX, b'').split(b','):
        part_id, _, tokens = row.strip().partition(b':')
        if part_id:
            parts.append(PromptPart(part_id.decode(), _decode_tokens(tokens)))
    hint = fields.get(names.LENGTH_HINT)
    return Prompt(
        model=fields.get(names.MODEL, b'').decode('latin-1'),
        prompt_tokens=_decode_tokens(prompt_tokens),
        max_output_tokens=_decode_tokens(output_tokens),
        parts=tuple(parts),
        expected_output_tokens=None if hint is None else _decode_hint(hint),
    )


def _decode_hint(content: bytes) -> int:
    """Decode the expected number of output tokens, which may be a fraction."""
    tokens = int(_decode_finite(content))
    if tokens < 0:
        raise ValueError('a negative hint')
    return tokens


def _decode_load(content: bytes | None) -> TargetLoad | None:
    """Decode a load; one that cannot be read is as good as none."""
    if content is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in content.split(b','))
    except ValueError:
        return None
    return TargetLoad(running, waiting, slots)
