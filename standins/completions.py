"""Completions and chat bodies, and the answers of the stand-in engine.

The answer to a prompt is a function of the prompt alone, so that an observer
can check that an answer is whole, correct and belongs to its prompt.
"""

from base64 import b32encode
from hashlib import sha256
from typing import Any, Final, NamedTuple

from peridotrill.codec import encode_json
from standins.web import HttpError, parse_number

TOKEN_CHARACTERS: Final = 4
DEFAULT_OUTPUT_TOKENS: Final = 32
BLOCK_CHARACTERS: Final = 1024
BLOCK_TOKENS: Final = BLOCK_CHARACTERS // TOKEN_CHARACTERS
_PREFIX_BYTES: Final = 8


class Completion(NamedTuple):
    """What a caller asked for."""

    model: str
    prompt: str
    output_tokens: int
    is_chat: bool
    is_streaming: bool
    includes_usage: bool

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the prompt."""
        return count_tokens(self.prompt)


def parse_completion(body: dict[str, Any], is_chat: bool) -> Completion:
    """:return: the call; raises HttpError if the body cannot be used."""
    prompt = chat_prompt(body) if is_chat else body.get('prompt')
    model = body.get('model')
    if not isinstance(prompt, str) or not isinstance(model, str):
        raise HttpError(400, 'invalid_request')
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    options = body.get('stream_options') or {}
    return Completion(
        model=model,
        prompt=prompt,
        output_tokens=parse_number(
            'max_tokens', limit or DEFAULT_OUTPUT_TOKENS
        ),
        is_chat=is_chat,
        is_streaming=bool(body.get('stream')),
        includes_usage=bool(options.get('include_usage')),
    )


def chat_prompt(body: dict[str, Any]) -> str | None:
    """:return: the text of the messages, None if they are malformed."""
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
    """:return: one token for each four characters, rounded up."""
    return -(-len(text) // TOKEN_CHARACTERS)


def answer_token(prompt_digest: bytes, position: int) -> str:
    """:return: token of an answer, three characters and a space."""
    digest = sha256(prompt_digest + position.to_bytes(4, 'big')).digest()
    return b32encode(digest)[: TOKEN_CHARACTERS - 1].decode().lower() + ' '


def digest_prompt(prompt: str) -> bytes:
    """:return: what ``answer_token`` needs of a prompt."""
    return sha256(prompt.encode()).digest()


def answer_text(prompt: str, output_tokens: int) -> str:
    """:return: the whole answer to a prompt."""
    digest = digest_prompt(prompt)
    return ''.join(
        answer_token(digest, position) for position in range(output_tokens)
    )


def prefix_numbers(prompt: str) -> list[int]:
    """:return: a number for each prefix of whole blocks, shortest first."""
    numbers = []
    hashed = sha256()
    whole = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, whole, BLOCK_CHARACTERS):
        hashed.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digest = hashed.digest()
        numbers.append(int.from_bytes(digest[:_PREFIX_BYTES], 'big'))
    return numbers


class TokenCounts(NamedTuple):
    """Tokens of one attempt; output counts from the resumed token on."""

    prompt: int
    cached: int
    output: int


def _usage(counts: TokenCounts) -> dict[str, Any]:
    return {
        'prompt_tokens': counts.prompt,
        'prompt_tokens_details': {'cached_tokens': counts.cached},
        'completion_tokens': counts.output,
        'total_tokens': counts.prompt + counts.output,
    }


class Formatter:
    """Formats the answer of one call."""

    def __init__(self, call: Completion, attempt_id: str, now_s: int) -> None:
        """:param now_s: seconds since 1970 for the field ``created``."""
        self._call = call
        name = 'chat.completion' if call.is_chat else 'text_completion'
        self._object = name
        self._head = {
            'id': f'cmpl-{attempt_id}',
            'created': now_s,
            'model': call.model,
        }

    def answer(self, text: str, counts: TokenCounts) -> bytes:
        """:return: the JSON body of an answer that is not streamed."""
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
        if self._call.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return encode_json(
            {
                **self._head,
                'object': self._object,
                'choices': [choice],
                'usage': _usage(counts),
            },
        )

    def role_event(self) -> bytes:
        """:return: first event of a streamed chat answer."""
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
        """:return: event with one token."""
        return self._event([self._choice(text, None)])

    def end_events(self, reason: str, counts: TokenCounts) -> bytes:
        """:return: last events of a streamed answer."""
        end = self._event([self._choice('', reason)])
        if self._call.includes_usage:
            end += self._event([], usage=_usage(counts))
        return end + b'data: [DONE]\n\n'

    def _choice(self, text: str, reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
        if self._call.is_chat:
            choice['delta'] = {'content': text} if text else {}
        else:
            choice['text'] = text
        return choice

    def _event(self, choices: list[dict[str, Any]], **fields: Any) -> bytes:
        suffix = '.chunk' if self._call.is_chat else ''
        event = {
            **self._head,
            'object': self._object + suffix,
            'choices': choices,
            **fields,
        }
        return b'data: %b\n\n' % encode_json(event)
