"""Plays a trace as callers do: open-loop, through a balancer's choice.

Reads a plan (JSON) from the path given as argument and writes what the
callers saw to the path ``results`` of the plan.
"""

import itertools
import json
import sys
import time
from hashlib import sha256
from pathlib import Path
from typing import Any, Final, NamedTuple

import anyio
import httpx

from measurement.trace import LOOKUP, POST, STREAM, Arrival
from peridotrill.codec import decode_json
from peridotrill.exceptions import CodecError
from standins.completions import CHARACTERS_PER_TOKEN, generate_text
from standins.plain_service import digest_lookup

ANSWERED: Final = 'answered'
BROKEN: Final = 'broken'
# Callers give up after this time, and so the run ends soon after the trace.
CALL_TIMEOUT_S: Final = 10.0
_CHECK_S: Final = 0.25
# Short enough that an answer can still be within the latency target.
_RETRY_DELAY_S: Final = 0.05
_TRIES: Final = 4
_SHARED_PROMPT: Final = 0.5


class Outcome(NamedTuple):
    """What the callers saw of one request; times from its arrival."""

    number: int
    late_s: float
    first_s: float | None
    end_s: float
    status: int
    code: str
    outcome: str
    complete: bool
    body_sha256: str
    tries: int


class _Answer(NamedTuple):
    status: int
    code: str = ''
    outcome: str = ANSWERED
    first_s: float | None = None
    text: str = ''
    ended: bool = False


def make_prompt(run: str, arrival: Arrival) -> str:
    """Return a prompt of its own that begins with the log of the team."""
    size = max(1, arrival.prompt_tokens) * CHARACTERS_PER_TOKEN
    log = f'Season log of {arrival.team}. ' * (size // 20 + 1)
    shared = log[: int(size * _SHARED_PROMPT)]
    own = f'{shared} Note {run}-{arrival.number}. '
    return (own + log)[: max(size, len(own))]


def make_body(run: str, arrival: Arrival, model: str) -> bytes:
    """Return the body of a request, different for each request."""
    if arrival.operation == STREAM:
        return json.dumps(
            {
                'model': model,
                'prompt': make_prompt(run, arrival),
                'max_tokens': arrival.output_tokens,
                'stream': True,
            },
        ).encode()
    return f'{{"run": "{run}", "number": {arrival.number}}}'.encode()


class Balancer:
    """Takes the entries in turn that were ready when last checked."""

    def __init__(self, entries: dict[str, dict[str, str]]) -> None:
        """:param entries: ``url`` and ``ready`` URL by entry."""
        self._entries = entries
        self._ready = set(entries)
        self._turn = itertools.cycle(entries)

    def choose(self, avoided: str = '') -> str:
        """Return an entry other than ``avoided`` if another is ready."""
        for _ in self._entries:
            entry_id = next(self._turn)
            if entry_id in self._ready and entry_id != avoided:
                return entry_id
        return next(self._turn)

    def url(self, entry_id: str) -> str:
        """Return where callers reach an entry."""
        return self._entries[entry_id]['url']

    async def check(self, http: httpx.AsyncClient, entry_id: str) -> None:
        """Check one entry again and again."""
        while True:
            try:
                answer = await http.get(
                    self._entries[entry_id]['ready'], timeout=_CHECK_S * 2
                )
            except httpx.HTTPError:
                self._ready.discard(entry_id)
            else:
                change = self._ready.add
                if not answer.is_success:
                    change = self._ready.discard
                change(entry_id)
            await anyio.sleep(_CHECK_S)


class Player:
    """Sends the requests of one trace and keeps what came back."""

    def __init__(self, plan: dict[str, Any], http: httpx.AsyncClient) -> None:
        """:param plan: written by ``measurement.run``."""
        self._plan = plan
        self._http = http
        self._run: str = plan['run']
        self.balancer = Balancer(plan['entries'])
        self.seen: list[tuple[Arrival, _Answer, float, float, int]] = []

    async def play(self) -> None:
        """Send all requests, each at its time."""
        arrivals = [Arrival(*row) for row in self._plan['arrivals']]
        start_s: float = self._plan['start_s']
        async with anyio.create_task_group() as checks:
            for entry_id in self._plan['entries']:
                checks.start_soon(self.balancer.check, self._http, entry_id)
            async with anyio.create_task_group() as calls:
                for arrival in arrivals:
                    wait_s = start_s + arrival.at_s - time.monotonic()
                    await anyio.sleep(max(0, wait_s))
                    calls.start_soon(self._call, arrival, start_s)
            checks.cancel_scope.cancel()

    def outcomes(self) -> list[Outcome]:
        """Check the answers; done after the trace, since it takes time."""
        return [self._judge(*row) for row in self.seen]

    async def _call(self, arrival: Arrival, start_s: float) -> None:
        due_s = start_s + arrival.at_s
        late_s = time.monotonic() - due_s
        answer, entry_id, tries = _Answer(0, outcome=BROKEN), '', 0
        for tries in range(1, _TRIES + 1):
            entry_id = self.balancer.choose(entry_id)
            answer = await self._send(arrival, entry_id, due_s)
            is_late = time.monotonic() > due_s + CALL_TIMEOUT_S
            if is_late or answer.outcome not in {BROKEN, 'unknown'}:
                break
            await anyio.sleep(_RETRY_DELAY_S)
        end_s = time.monotonic() - due_s
        self.seen.append((arrival, answer, late_s, end_s, tries))

    async def _send(
        self, arrival: Arrival, entry_id: str, due_s: float
    ) -> _Answer:
        answer = _Answer(0, 'timeout', BROKEN)
        left_s = due_s + CALL_TIMEOUT_S - time.monotonic()
        with anyio.move_on_after(left_s):
            try:
                async with self._open(arrival, entry_id) as response:
                    answer = await _read(arrival, response, due_s)
            except (httpx.HTTPError, CodecError) as error:
                answer = _Answer(0, type(error).__name__, BROKEN)
        return answer

    def _open(self, arrival: Arrival, entry_id: str) -> Any:
        service = self._plan['services'][arrival.service]
        url = self.balancer.url(entry_id)
        key = self._plan['keys'][arrival.team]
        headers = {'Authorization': f'Bearer {key}'}
        if arrival.operation == LOOKUP:
            path = f'{service["lookup"]}{arrival.number}'
            return self._http.stream('GET', url + path, headers=headers)
        if arrival.operation == POST:
            headers['Idempotency-Key'] = f'{self._run}-{arrival.number}'
        headers['Content-Type'] = 'application/json'
        body = make_body(self._run, arrival, service['model'])
        return self._http.stream(
            'POST', url + service['post'], headers=headers, content=body
        )

    def _judge(
        self,
        arrival: Arrival,
        answer: _Answer,
        late_s: float,
        end_s: float,
        tries: int,
    ) -> Outcome:
        service = self._plan['services'][arrival.service]
        digest = sha256(
            make_body(self._run, arrival, service['model'])
        ).hexdigest()
        expected = digest
        if arrival.operation == STREAM:
            prompt = make_prompt(self._run, arrival)
            expected = generate_text(prompt, arrival.output_tokens)
        elif arrival.operation == LOOKUP:
            path = f'{service["lookup"]}{arrival.number}'
            expected = digest_lookup(path, {})
        return Outcome(
            arrival.number,
            late_s,
            answer.first_s,
            end_s,
            answer.status,
            answer.code,
            answer.outcome,
            answer.ended and answer.text == expected,
            digest,
            tries,
        )


async def _read(
    arrival: Arrival,
    response: httpx.Response,
    due_s: float,
) -> _Answer:
    if response.status_code >= 300:
        error = decode_json(await response.aread()).get('error', {})
        return _Answer(
            response.status_code,
            error.get('code', ''),
            error.get('outcome', 'unknown'),
        )
    if arrival.operation == STREAM:
        return await _read_stream(response, due_s)
    document = decode_json(await response.aread())
    return _Answer(
        response.status_code,
        first_s=time.monotonic() - due_s,
        text=document.get('answer') or document.get('body_sha256', ''),
        ended=True,
    )


async def _read_stream(response: httpx.Response, due_s: float) -> _Answer:
    answer, texts = _Answer(response.status_code), []
    try:
        async for line in response.aiter_lines():
            payload = line.removeprefix('data: ')
            if payload == '[DONE]':
                answer = answer._replace(ended=True)
            elif payload.startswith('{'):
                event = decode_json(payload.encode())
                texts += [
                    row.get('text', '') for row in event.get('choices', ())
                ]
                error = event.get('error')
                if error:
                    answer = answer._replace(
                        code=error['code'], outcome=error['outcome']
                    )
                if answer.first_s is None and texts:
                    answer = answer._replace(first_s=time.monotonic() - due_s)
    except httpx.HTTPError as failure:
        if answer.outcome == ANSWERED:
            answer = answer._replace(
                code=type(failure).__name__, outcome=BROKEN
            )
    return answer._replace(text=''.join(texts))


async def run(plan: dict[str, Any]) -> list[Outcome]:
    """Play a plan."""
    # A connection for each request: a kept one may be closed while a request
    # is written to it, which would count as a fault of the system.
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    async with httpx.AsyncClient(
        limits=limits, timeout=CALL_TIMEOUT_S, trust_env=False, verify=False
    ) as http:
        player = Player(plan, http)
        await player.play()
        return player.outcomes()


def main() -> None:
    """Run the program."""
    plan = json.loads(Path(sys.argv[1]).read_text('utf-8'))
    outcomes = anyio.run(run, plan)
    Path(plan['results']).write_text(json.dumps(outcomes), 'utf-8')


if __name__ == '__main__':
    main()
