"""Completion requests and responses of the stand-in engine.

The generated text depends only on the prompt, so that a test can check that a
response is complete, correct and belongs to its prompt.
"""

from base64 import b32encode
from hashlib import sha256
from typing import Any, Final, NamedTuple

from peridotrill.codec import encode_json
from standins.web import HttpError, parse_number

CHARACTERS_PER_TOKEN: Final = 4
DEFAULT_OUTPUT_TOKENS: Final = 32
CHARACTERS_PER_BLOCK: Final = 1024
TOKENS_PER_BLOCK: Final = CHARACTERS_PER_BLOCK // CHARACTERS_PER_TOKEN
_PREFIX_HASH_BYTES: Final = 8


class CompletionRequest(NamedTuple):
    """A parsed completion or chat completion request."""

    model: str
    prompt: str
    output_tokens: int
    is_chat: bool
    is_streaming: bool
    includes_usage: bool

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens in the prompt."""
        return count_tokens(self.prompt)


def parse_completion_request(
    body: dict[str, Any], is_chat: bool
) -> CompletionRequest:
    """:return: the parsed request; raises HttpError if it is invalid."""
    prompt = build_chat_prompt(body) if is_chat else body.get('prompt')
    model = body.get('model')
    if not isinstance(prompt, str) or not isinstance(model, str):
        raise HttpError(400, 'invalid_request')
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    options = body.get('stream_options') or {}
    return CompletionRequest(
        model=model,
        prompt=prompt,
        output_tokens=parse_number(
            'max_tokens', limit or DEFAULT_OUTPUT_TOKENS
        ),
        is_chat=is_chat,
        is_streaming=bool(body.get('stream')),
        includes_usage=bool(options.get('include_usage')),
    )


def build_chat_prompt(body: dict[str, Any]) -> str | None:
    """:return: the prompt text of the messages, None if malformed."""
    try:
        lines = [
            message[field]
            for message in body['messages']
            for field in ('role', 'content')
        ]
        return '\n'.join([*lines, ''])
    except (KeyError, TypeError):
        return None


def count_tokens(text: str) -> int:
    """:return: the number of tokens, one per four characters, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def generate_token(prompt_digest: bytes, position: int) -> str:
    """:return: the output token at a position, three letters and a space."""
    digest = sha256(prompt_digest + position.to_bytes(4, 'big')).digest()
    return b32encode(digest)[: CHARACTERS_PER_TOKEN - 1].decode().lower() + ' '


def digest_prompt(prompt: str) -> bytes:
    """:return: the prompt digest that ``generate_token`` needs."""
    return sha256(prompt.encode()).digest()


def generate_text(prompt: str, output_tokens: int) -> str:
    """:return: the complete output for a prompt."""
    digest = digest_prompt(prompt)
    return ''.join(
        generate_token(digest, position) for position in range(output_tokens)
    )


def hash_prefixes(prompt: str) -> list[int]:
    """:return: a hash for each prefix of whole blocks, shortest first."""
    hashes = []
    hasher = sha256()
    hashed_length = len(prompt) - len(prompt) % CHARACTERS_PER_BLOCK
    for start in range(0, hashed_length, CHARACTERS_PER_BLOCK):
        hasher.update(prompt[start : start + CHARACTERS_PER_BLOCK].encode())
        digest = hasher.digest()
        hashes.append(int.from_bytes(digest[:_PREFIX_HASH_BYTES], 'big'))
    return hashes


class TokenCounts(NamedTuple):
    """Token counts of an attempt; output excludes tokens skipped on resume."""

    prompt: int
    cached: int
    output: int


def _format_usage(counts: TokenCounts) -> dict[str, Any]:
    return {
        'prompt_tokens': counts.prompt,
        'prompt_tokens_details': {'cached_tokens': counts.cached},
        'completion_tokens': counts.output,
        'total_tokens': counts.prompt + counts.output,
    }


class ResponseFormatter:
    """Formats the response to one request."""

    def __init__(
        self, completion: CompletionRequest, attempt_id: str, now_s: int
    ) -> None:
        """:param now_s: Unix time for the field ``created``."""
        self._completion = completion
        name = 'chat.completion' if completion.is_chat else 'text_completion'
        self._object_type = name
        self._common_fields = {
            'id': f'cmpl-{attempt_id}',
            'created': now_s,
            'model': completion.model,
        }

    def response(self, text: str, counts: TokenCounts) -> bytes:
        """:return: the JSON body of a response that is not streamed."""
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
        if self._completion.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return encode_json(
            {
                **self._common_fields,
                'object': self._object_type,
                'choices': [choice],
                'usage': _format_usage(counts),
            },
        )

    def role_event(self) -> bytes:
        """:return: the first event of a streamed chat response."""
        return self._event(
            [
                {
                    'index': 0,
                    'delta': {'role': 'assistant', 'content': ''},
                    'finish_reason': None,
                },
            ],
        )

    def token_event(self, text: str) -> bytes:
        """:return: an event with one token."""
        return self._event([self._choice(text, None)])

    def end_events(self, reason: str, counts: TokenCounts) -> bytes:
        """:return: the final events of a streamed response."""
        end = self._event([self._choice('', reason)])
        if self._completion.includes_usage:
            end += self._event([], usage=_format_usage(counts))
        return end + b'data: [DONE]\n\n'

    def _choice(self, text: str, reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
        if self._completion.is_chat:
            choice['delta'] = {'content': text} if text else {}
        else:
            choice['text'] = text
        return choice

    def _event(self, choices: list[dict[str, Any]], **fields: Any) -> bytes:
        suffix = '.chunk' if self._completion.is_chat else ''
        event = {
            **self._common_fields,
            'object': self._object_type + suffix,
            'choices': choices,
            **fields,
        }
        return b'data: %b\n\n' % encode_json(event)
