"""Open-loop load generator that replays a trace through a load balancer.

The path of its plan (JSON) is the argument of the program. The outcomes that
callers see are written to the path ``results`` of the plan.
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
# Callers give up after this time. Bounds the time from the end of the trace
# to the end of the run.
CALL_TIMEOUT_S: Final = 10.0
_CHECK_INTERVAL_S: Final = 0.25
# Short enough for a retried request to meet the latency target.
_RETRY_DELAY_S: Final = 0.05
_MAX_ATTEMPTS: Final = 4
_SHARED_PROMPT_RATIO: Final = 0.5


class Outcome(NamedTuple):
    """What a caller observed of one request; times count from its arrival.

    ``latency_s`` is the time to the first token of a stream, or to the whole
    answer of a plain service. ``send_delay_s`` is how late the load generator
    sent the request.
    """

    number: int
    send_delay_s: float
    latency_s: float | None
    end_s: float
    status: int
    code: str
    outcome: str
    complete: bool
    body_sha256: str
    attempt_count: int


class _CallResult(NamedTuple):
    status: int
    code: str = ''
    outcome: str = ANSWERED
    latency_s: float | None = None
    text: str = ''
    ended: bool = False


def make_prompt(run: str, arrival: Arrival) -> str:
    """Return a unique prompt whose beginning is shared within the team."""
    size = max(1, arrival.prompt_tokens) * CHARACTERS_PER_TOKEN
    log = f'Season log of {arrival.team}. ' * (size // 20 + 1)
    shared = log[: int(size * _SHARED_PROMPT_RATIO)]
    own = f'{shared} Note {run}-{arrival.number}. '
    return (own + log)[: max(size, len(own))]


def make_body(run: str, arrival: Arrival, model: str) -> bytes:
    """Return the body of a request, unique to its run and number."""
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
    """Round robin over the entries whose last readiness check succeeded."""

    def __init__(self, entries: dict[str, dict[str, str]]) -> None:
        """:param entries: ``url`` and ``ready`` (check URL) by entry."""
        self._entries = entries
        self._ready = set(entries)
        self._round_robin = itertools.cycle(entries)

    def choose(self, previous_id: str = '') -> str:
        """Return a ready entry other than ``previous_id``, else any entry."""
        for _ in self._entries:
            entry_id = next(self._round_robin)
            if entry_id in self._ready and entry_id != previous_id:
                return entry_id
        return next(self._round_robin)

    def url(self, entry_id: str) -> str:
        """Return the URL of an entry for callers."""
        return self._entries[entry_id]['url']

    async def check(self, http: httpx.AsyncClient, entry_id: str) -> None:
        """Poll the readiness of one entry until cancelled."""
        while True:
            try:
                result = await http.get(
                    self._entries[entry_id]['ready'],
                    timeout=_CHECK_INTERVAL_S * 2,
                )
            except httpx.HTTPError:
                self._ready.discard(entry_id)
            else:
                change = self._ready.add
                if not result.is_success:
                    change = self._ready.discard
                change(entry_id)
            await anyio.sleep(_CHECK_INTERVAL_S)


class Player:
    """Sends the requests of one trace and records their results."""

    def __init__(self, plan: dict[str, Any], http: httpx.AsyncClient) -> None:
        """:param plan: written by ``DeploymentRun.replay``."""
        self._plan = plan
        self._http = http
        self._run: str = plan['run']
        self.balancer = Balancer(plan['entries'])
        self.finished_calls: list[
            tuple[Arrival, _CallResult, float, float, int]
        ] = []

    async def replay(self) -> None:
        """Send each request at its arrival time; wait for all of them."""
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
        """Verify the answers; after the trace, since it would delay sending."""
        return [self._make_outcome(*row) for row in self.finished_calls]

    async def _call(self, arrival: Arrival, start_s: float) -> None:
        due_s = start_s + arrival.at_s
        send_delay_s = time.monotonic() - due_s
        result, entry_id, attempt_count = _CallResult(0, outcome=BROKEN), '', 0
        for attempt_count in range(1, _MAX_ATTEMPTS + 1):
            entry_id = self.balancer.choose(entry_id)
            result = await self._send(arrival, entry_id, due_s)
            is_late = time.monotonic() > due_s + CALL_TIMEOUT_S
            if is_late or result.outcome not in {BROKEN, 'unknown'}:
                break
            await anyio.sleep(_RETRY_DELAY_S)
        end_s = time.monotonic() - due_s
        self.finished_calls.append(
            (arrival, result, send_delay_s, end_s, attempt_count)
        )

    async def _send(
        self, arrival: Arrival, entry_id: str, due_s: float
    ) -> _CallResult:
        result = _CallResult(0, 'timeout', BROKEN)
        left_s = due_s + CALL_TIMEOUT_S - time.monotonic()
        with anyio.move_on_after(left_s):
            try:
                async with self._open_stream(arrival, entry_id) as response:
                    result = await _read_response(arrival, response, due_s)
            except (httpx.HTTPError, CodecError) as error:
                result = _CallResult(0, type(error).__name__, BROKEN)
        return result

    def _open_stream(self, arrival: Arrival, entry_id: str) -> Any:
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

    def _make_outcome(
        self,
        arrival: Arrival,
        result: _CallResult,
        send_delay_s: float,
        end_s: float,
        attempt_count: int,
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
            send_delay_s,
            result.latency_s,
            end_s,
            result.status,
            result.code,
            result.outcome,
            result.ended and result.text == expected,
            digest,
            attempt_count,
        )


async def _read_response(
    arrival: Arrival,
    response: httpx.Response,
    due_s: float,
) -> _CallResult:
    if response.status_code >= 300:
        error = decode_json(await response.aread()).get('error', {})
        return _CallResult(
            response.status_code,
            error.get('code', ''),
            error.get('outcome', 'unknown'),
        )
    if arrival.operation == STREAM:
        return await _read_stream(response, due_s)
    document = decode_json(await response.aread())
    return _CallResult(
        response.status_code,
        latency_s=time.monotonic() - due_s,
        text=document.get('answer') or document.get('body_sha256', ''),
        ended=True,
    )


async def _read_stream(response: httpx.Response, due_s: float) -> _CallResult:
    result, texts = _CallResult(response.status_code), []
    try:
        async for line in response.aiter_lines():
            payload = line.removeprefix('data: ')
            if payload == '[DONE]':
                result = result._replace(ended=True)
            elif payload.startswith('{'):
                event = decode_json(payload.encode())
                texts += [
                    row.get('text', '') for row in event.get('choices', ())
                ]
                error = event.get('error')
                if error:
                    result = result._replace(
                        code=error['code'], outcome=error['outcome']
                    )
                if result.latency_s is None and texts:
                    result = result._replace(latency_s=time.monotonic() - due_s)
    except httpx.HTTPError as failure:
        if result.outcome == ANSWERED:
            result = result._replace(
                code=type(failure).__name__, outcome=BROKEN
            )
    return result._replace(text=''.join(texts))


async def run(plan: dict[str, Any]) -> list[Outcome]:
    """Replay the trace of a plan."""
    # Uses a new connection for each request: a kept-alive one may be closed
    # while a request is written to it, which would count against the system.
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    async with httpx.AsyncClient(
        limits=limits, timeout=CALL_TIMEOUT_S, trust_env=False, verify=False
    ) as http:
        player = Player(plan, http)
        await player.replay()
        return player.outcomes()


def main() -> None:
    """Run the load generator."""
    plan = json.loads(Path(sys.argv[1]).read_text('utf-8'))
    outcomes = anyio.run(run, plan)
    Path(plan['results']).write_text(json.dumps(outcomes), 'utf-8')


if __name__ == '__main__':
    main()
