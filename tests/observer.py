"""Compares what callers sent and received with what the targets ran.

The observations of the stand-ins contain every execution with the digest of
its body. Tests therefore give each request a unique body.
"""

from collections import Counter
from hashlib import sha256
from typing import NamedTuple

import httpx

from peridotrill.codec import decode_json
from standins.completions import generate_text

BROKEN = 'broken'
ANSWERED = 'answered'


class Result(NamedTuple):
    """The result of one request as the caller received it.

    ``outcome`` is ``answered``, ``broken`` if the connection failed, or the
    outcome in the error.
    """

    body: bytes
    status: int
    code: str
    outcome: str
    answer: dict


class Stream(NamedTuple):
    """A streamed response; ``ended`` is true after ``[DONE]``."""

    text: str
    ended: bool
    code: str
    broken: bool


class Counts(NamedTuple):
    """Numbers of violations, all zero in a correct run."""

    double_runs: int = 0
    lost_answers: int = 0
    false_not_run: int = 0
    crossed_answers: int = 0


def digest(body):
    return sha256(body).hexdigest()


def read_error(answer):
    error = answer.get('error') if isinstance(answer, dict) else None
    return error if isinstance(error, dict) else {}


class Observer:
    """Sends requests to plain services and compares them with what ran."""

    def __init__(self, client, target_urls):
        self.client = client
        self.target_urls = target_urls
        self.results = []

    def post(self, url, body, key, idempotency_key=None, timeout_s=30.0):
        headers = {'Authorization': f'Bearer {key}'}
        if idempotency_key:
            headers['Idempotency-Key'] = idempotency_key
        try:
            response = self.client.post(
                url, content=body, headers=headers, timeout=timeout_s
            )
        except httpx.TransportError as error:
            result = Result(body, 0, type(error).__name__, BROKEN, {})
        else:
            answer = decode_json(response.content)
            error = read_error(answer)
            result = Result(
                body,
                response.status_code,
                error.get('code', ''),
                error.get('outcome', ANSWERED),
                answer,
            )
        self.results.append(result)
        return result

    def runs(self):
        """Return the number of executions by digest of the body."""
        return Counter(
            record['body_sha256']
            for url in self.target_urls
            for record in self.client.get(f'{url}/observations').json()[
                'records'
            ]
        )

    def counts(self):
        runs = self.runs()
        answered = [it for it in self.results if it.outcome == ANSWERED]
        refused = {it.body for it in self.results if it.outcome == 'not_run'}
        served = {it.body for it in self.results} - refused
        return Counts(
            double_runs=sum(count > 1 for count in runs.values()),
            lost_answers=sum(not runs[digest(it.body)] for it in answered),
            false_not_run=sum(
                bool(runs[digest(body)]) for body in refused - served
            ),
            crossed_answers=sum(
                it.answer.get('body_sha256') != digest(it.body)
                for it in answered
            ),
        )


def read_stream(response, on_token=None):
    """Read a streamed completion until it ends or the connection fails."""
    texts, ended, code = [], False, ''
    try:
        for line in response.iter_lines():
            payload = line.removeprefix('data: ')
            if payload == '[DONE]':
                ended = True
            elif payload.startswith('{'):
                event = decode_json(payload)
                code = read_error(event).get('code', code)
                texts += [it.get('text', '') for it in event.get('choices', ())]
                if on_token:
                    on_token(len(texts))
    except httpx.TransportError:
        return Stream(''.join(texts), ended, code, broken=True)
    return Stream(''.join(texts), ended, code, broken=False)


def is_silently_truncated(stream, prompt, token_count):
    """Tell whether a stream ended cleanly without being complete.

    This includes streams that contain an error event: a caller that reads
    only the text would take the partial response for the complete one.
    """
    whole = stream.text == generate_text(prompt, token_count)
    return not stream.broken and not (stream.ended and whole)
