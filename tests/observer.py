"""Compares what callers sent and received with what the targets ran.

The stand-in targets record the digest of the body of each request that they
execute. Tests therefore give each request a unique body.
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

    ``outcome`` is ``answered`` for a response without an error, ``broken`` if
    the connection to the entry failed, or else the outcome that the error
    states. ``code`` is the error code, or the type of the exception if the
    connection failed. ``answer`` is the decoded JSON body of the response.
    """

    body: bytes
    status: int
    code: str
    outcome: str
    answer: dict


class StreamResult(NamedTuple):
    """A streamed response as received until it ended.

    ``ended`` is true if ``[DONE]`` was received, ``broken`` if the connection
    failed. ``code`` is the code of an error event, or empty.
    """

    text: str
    ended: bool
    code: str
    broken: bool


class Violations(NamedTuple):
    """Numbers of violations, all zero in a correct run.

    ``double_runs``: bodies that were executed more than once.
    ``lost_answers``: answered requests that no target has executed.
    ``false_not_run``: requests refused as ``not_run`` that were executed.
    ``mismatched_answers``: responses to a different request body.
    """

    double_runs: int = 0
    lost_answers: int = 0
    false_not_run: int = 0
    mismatched_answers: int = 0


def digest(body):
    return sha256(body).hexdigest()


def read_error(document):
    """Return the error in a decoded JSON body, or an empty dict."""
    error = document.get('error') if isinstance(document, dict) else None
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
            document = decode_json(response.content)
            error = read_error(document)
            result = Result(
                body,
                response.status_code,
                error.get('code', ''),
                error.get('outcome', ANSWERED),
                document,
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

    def violations(self):
        """Compare all results so far with the executions."""
        runs = self.runs()
        answered = [row for row in self.results if row.outcome == ANSWERED]
        refused = {row.body for row in self.results if row.outcome == 'not_run'}
        not_refused = {row.body for row in self.results} - refused
        return Violations(
            double_runs=sum(count > 1 for count in runs.values()),
            lost_answers=sum(not runs[digest(row.body)] for row in answered),
            false_not_run=sum(
                bool(runs[digest(body)]) for body in refused - not_refused
            ),
            mismatched_answers=sum(
                row.answer.get('body_sha256') != digest(row.body)
                for row in answered
            ),
        )


def read_stream(response, on_token=None):
    """Read a streamed completion until it ends or the connection fails.

    :param on_token: called after each event with the number of tokens so far.
    """
    texts, ended, code = [], False, ''
    try:
        for line in response.iter_lines():
            payload = line.removeprefix('data: ')
            if payload == '[DONE]':
                ended = True
            elif payload.startswith('{'):
                event = decode_json(payload)
                code = read_error(event).get('code', code)
                texts += [
                    choice.get('text', '')
                    for choice in event.get('choices', ())
                ]
                if on_token:
                    on_token(len(texts))
    except httpx.TransportError:
        return StreamResult(''.join(texts), ended, code, broken=True)
    return StreamResult(''.join(texts), ended, code, broken=False)


def is_silently_truncated(stream, prompt, token_count):
    """Tell whether a partial stream ended without a connection failure.

    This includes streams that contain an error event: a caller that reads
    only the text would take the partial response for the complete one.
    """
    is_complete = stream.text == generate_text(prompt, token_count)
    return not stream.broken and not (stream.ended and is_complete)
