"""Stand-in for a model engine."""

import os
import sys
import time
from collections import Counter
from collections.abc import AsyncGenerator
from contextlib import aclosing
from functools import partial
from typing import Any, Final, NamedTuple
from uuid import uuid4

import anyio
import httpx

from peridotrill.registry import Registry
from peridotrill.settings import Setting, load_settings, setting_parsers
from standins import web
from standins.batching import (
    CANCELLED,
    INTERRUPTED,
    ROLE_COST_FACTORS,
    STOPPED,
    Batcher,
    BatchLimits,
    Sequence,
)
from standins.completions import (
    TOKENS_PER_BLOCK,
    CompletionRequest,
    ResponseFormatter,
    digest_prompt,
    generate_token,
    parse_completion_request,
)
from standins.prefix_cache import CacheOptions, PrefixCache

SETTINGS: Final = (
    *web.COMMON_SETTINGS,
    Setting('models', 'text', 'loaded models, comma-separated', 'summariser'),
    Setting('role', 'engine_role', 'mixed, prefill or decode', 'mixed'),
    Setting('total_pieces', 'integer', 'size of KV memory in pieces', '32'),
    Setting('piece_tokens', 'integer', 'tokens per piece', '2000'),
    Setting('max_running', 'integer', 'maximum running sequences', '32'),
    Setting('max_waiting', 'integer', 'maximum queued sequences', '256'),
    Setting('cache_tokens', 'integer', 'prefix cache size in tokens', '65536'),
    Setting('cache_event_delay', 'duration', 'delay of cache events', '500ms'),
    Setting(
        'cache_event_drop_every',
        'integer',
        'drop every nth event; 0: none',
        '10',
    ),
    Setting('load_lag', 'duration', 'maximum age of load reports', '200ms'),
    Setting('role_change', 'duration', 'downtime of a role change', '3s'),
    Setting('load_time', 'duration', 'load time without platform', '1s'),
    Setting('checks_fencing', 'switch', 'reject stale fencing numbers', 'on'),
    Setting('platform_url', 'url', 'URL of the weight store', ''),
)
KV_BYTES_PER_TOKEN: Final = 16
_KV_HEADER_BYTES: Final = 12
_PREFIX_HASH_BYTES: Final = 8
_CRASH_EXIT_STATUS: Final = 1
_ORDER_KINDS: Final = frozenset(('role', 'load_model', 'load_adapter'))
_FAULT_NAMES: Final = frozenset(
    ('crash', 'crash_after_tokens', 'crash_in_order')
)

routes: web.Routes = Registry('route')


@setting_parsers.register('engine_role')
def parse_role(text: str) -> str:
    """:param text: name of a role; raises ValueError."""
    if text not in ROLE_COST_FACTORS:
        raise ValueError(
            'must be one of {0}'.format(', '.join(ROLE_COST_FACTORS))
        )
    return text


class Order(NamedTuple):
    """A role change, or the loading of a model or adapter."""

    order_id: str
    fencing_number: int
    kind: str
    argument: str


class Engine:
    """State of one engine."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """:param settings: values of SETTINGS."""
        scale = settings['time_scale']
        self.cache = PrefixCache(
            CacheOptions(
                settings['cache_tokens'] // TOKENS_PER_BLOCK,
                (settings['cache_event_delay'] * scale).total_seconds(),
                settings['cache_event_drop_every'],
            ),
        )
        limits = BatchLimits(
            settings['total_pieces'],
            settings['piece_tokens'],
            settings['max_running'],
            settings['max_waiting'],
        )
        self.batcher = Batcher(limits, self.cache, scale)
        self.batcher.role = settings['role']
        self.ready = True
        self.loaded: dict[str, list[str]] = {
            'models': settings['models'].split(','),
            'adapters': [],
        }
        self.attempts: dict[str, dict[str, Any]] = {}
        self.orders = OrderQueue(self, settings)
        self.tokens_until_crash = -1
        self._load_lag_s = (settings['load_lag'] * scale).total_seconds()
        self._sampled = self.load()
        self._reported = self._sampled

    def load(self) -> dict[str, Any]:
        """:return: the current load."""
        return {
            'ready': self.ready,
            **self.batcher.load(),
            'role': self.batcher.role,
            **{kind: list(names) for kind, names in self.loaded.items()},
        }

    def reported_load(self) -> dict[str, Any]:
        """:return: the load as reported, at most ``load_lag`` old."""
        return self._reported if self._load_lag_s else self.load()

    async def sample_load(self) -> None:
        """Sample the load; report each sample when the next is taken."""
        while self._load_lag_s:
            self._reported, self._sampled = self._sampled, self.load()
            await anyio.sleep(self._load_lag_s / 2)

    def end(self, sequence: Sequence) -> None:
        """Release a sequence and record its outcome."""
        self.batcher.remove(sequence, CANCELLED)
        self.attempts[sequence.attempt_id] |= {
            'end': sequence.end,
            'output_tokens': sequence.output_tokens,
        }

    def count_token(self) -> None:
        """Count an output token; crash if ``crash_after_tokens`` is due."""
        self.tokens_until_crash -= 1
        if self.tokens_until_crash == 0:
            crash()


class OrderQueue:
    """Queues orders and executes them one at a time."""

    def __init__(self, engine: Engine, settings: dict[str, Any]) -> None:
        """:param settings: values of SETTINGS."""
        self.fencing_number = 0
        self.received: list[dict[str, Any]] = []
        self.crash_on_next_order = False
        self._engine = engine
        scale = settings['time_scale']
        self._role_change_s = (settings['role_change'] * scale).total_seconds()
        self._load_time_s = (settings['load_time'] * scale).total_seconds()
        self._checks_fencing: bool = settings['checks_fencing']
        self._platform_url: str = settings['platform_url']
        self._accepted_ids: set[str] = set()
        send, receive = anyio.create_memory_object_stream[Order](1000)
        self._send, self._receive = send, receive

    def submit(self, order: Order) -> None:
        """Queue an order; raises HttpError for a stale fencing number."""
        is_old = order.fencing_number < self.fencing_number
        accepted = not (is_old and self._checks_fencing)
        self.received.append({**order._asdict(), 'accepted': accepted})
        if not accepted:
            raise web.HttpError(
                409, 'old_fencing_number', fencing_number=self.fencing_number
            )
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        if order.order_id not in self._accepted_ids:
            self._accepted_ids.add(order.order_id)
            self._send.send_nowait(order)

    async def run(self) -> None:
        """Execute orders in the order of arrival."""
        async for order in self._receive:
            if self.crash_on_next_order:
                crash()
            if order.kind == 'role':
                await self._change_role(order.argument)
            else:
                await self._load(order)

    async def _change_role(self, role: str) -> None:
        self._engine.ready = False
        self._engine.batcher.interrupt_all()
        await anyio.sleep(self._role_change_s)
        self._engine.batcher.role = role
        self._engine.ready = True

    async def _load(self, order: Order) -> None:
        names = self._engine.loaded[f'{order.kind.removeprefix("load_")}s']
        if order.argument in names:
            return
        if self._platform_url:
            loaded = await self._download_weights(order.argument)
        else:
            await anyio.sleep(self._load_time_s)
            loaded = True
        if loaded:
            names.append(order.argument)

    async def _download_weights(self, name: str) -> bool:
        url = f'{self._platform_url}/weights/{name}'
        try:
            async with (
                httpx.AsyncClient(timeout=None) as client,
                client.stream('GET', url) as response,
            ):
                sizes = [len(piece) async for piece in response.aiter_raw()]
                return response.is_success and sum(sizes) > 0
        except httpx.HTTPError as error:
            sys.stderr.write(f'{name}: weight download failed: {error!r}\n')
        return False


def crash() -> None:
    """Exit immediately without cleanup, to simulate a crash."""
    os._exit(_CRASH_EXIT_STATUS)


@routes.register('POST /v1/chat/completions')
async def chat(engine: Engine, request: web.Request) -> web.Response:
    """Handle a chat completion request."""
    completion = parse_completion_request(request.json(), is_chat=True)
    return await _complete(engine, request, completion)


@routes.register('POST /v1/completions')
async def complete(engine: Engine, request: web.Request) -> web.Response:
    """Handle a completion request."""
    completion = parse_completion_request(request.json(), is_chat=False)
    return await _complete(engine, request, completion)


async def _complete(
    engine: Engine,
    request: web.Request,
    completion: CompletionRequest,
) -> web.Response:
    headers = request.headers
    attempt_id = headers.get('x-attempt-id') or uuid4().hex
    attempt = engine.attempts.setdefault(
        attempt_id, {'received': 0, 'run': 0, 'end': ''}
    )
    attempt['received'] += 1
    sequence = Sequence(
        attempt_id,
        completion,
        web.parse_number('priority', headers.get('x-priority', 0)),
        web.parse_number('resume', headers.get('x-resume-tokens', 0)),
    )
    _check_admission(engine, completion, sequence)
    attempt['run'] += 1
    engine.batcher.submit(sequence)
    formatter = ResponseFormatter(completion, attempt_id, int(time.time()))
    texts = _generate_tokens(engine, completion, sequence)
    if completion.is_streaming:
        return web.Response(
            _stream(texts, completion, sequence, formatter),
            content_type='text/event-stream',
        )
    text = ''.join([token async for token in texts])
    if sequence.end != STOPPED:
        raise web.HttpError(409, sequence.end)
    return web.Response(formatter.response(text, sequence.counts))


def _check_admission(
    engine: Engine, completion: CompletionRequest, sequence: Sequence
) -> None:
    names = engine.loaded['models'] + engine.loaded['adapters']
    batcher = engine.batcher
    checks = (
        (completion.model in names, 404, 'model_not_found'),
        (engine.ready, 503, 'not_ready'),
        (batcher.can_hold(sequence), 400, 'context_length_exceeded'),
        (not batcher.is_full, 503, 'overloaded'),
    )
    for passed, status, code in checks:
        if not passed:
            raise web.HttpError(status, code)


async def _generate_tokens(
    engine: Engine,
    completion: CompletionRequest,
    sequence: Sequence,
) -> AsyncGenerator[str, None]:
    digest = digest_prompt(completion.prompt)
    try:
        async for position in sequence.positions:
            yield generate_token(digest, position)
            engine.count_token()
    finally:
        # Also reached when the caller disconnects.
        engine.end(sequence)
    if sequence.end == INTERRUPTED:
        raise web.ConnectionDropped


async def _stream(
    texts: AsyncGenerator[str, None],
    completion: CompletionRequest,
    sequence: Sequence,
    formatter: ResponseFormatter,
) -> AsyncGenerator[bytes, None]:
    if completion.is_chat and not sequence.resume_position:
        yield formatter.role_event()
    async with aclosing(texts):
        async for text in texts:
            yield formatter.token_event(text)
    yield formatter.end_events(sequence.end, sequence.counts)


@routes.register('GET /v1/models')
async def list_models(engine: Engine, _: web.Request) -> web.Response:
    """List the loaded models and adapters."""
    names = engine.loaded['models'] + engine.loaded['adapters']
    models = [{'id': name, 'object': 'model'} for name in names]
    return web.json_response({'object': 'list', 'data': models})


@routes.register('POST /attempts/{attempt_id}/cancel')
async def cancel(engine: Engine, request: web.Request) -> web.Response:
    """Cancel an attempt and return its token counts."""
    cancelled = engine.batcher.cancel(request.parameters['attempt_id'])
    prompt_tokens = sum(sequence.prompt_tokens for sequence in cancelled)
    output_tokens = sum(sequence.output_tokens for sequence in cancelled)
    return web.json_response(
        {
            'cancelled': bool(cancelled),
            'prompt_tokens': prompt_tokens,
            'output_tokens': output_tokens,
        },
    )


@routes.register('GET /load')
async def load(engine: Engine, _: web.Request) -> web.Response:
    """Return the load report, which lags behind the current load."""
    return web.json_response(engine.reported_load())


@routes.register('GET /cache-events')
async def cache_events(engine: Engine, request: web.Request) -> web.Response:
    """Return cache events, which are delayed and may have gaps."""
    return web.json_response(
        engine.cache.events(request.query_integer('from', 1))
    )


@routes.register('POST /orders')
async def accept_order(engine: Engine, request: web.Request) -> web.Response:
    """Accept an order for asynchronous execution."""
    body = request.json()
    kind, argument = body.get('kind'), str(body.get('argument', ''))
    is_known = (
        argument in ROLE_COST_FACTORS if kind == 'role' else bool(argument)
    )
    if kind not in _ORDER_KINDS or not is_known or not body.get('order_id'):
        raise web.HttpError(400, 'invalid_order')
    number = web.parse_number('fencing_number', body.get('fencing_number'))
    engine.orders.submit(Order(str(body['order_id']), number, kind, argument))
    return web.json_response({}, status=202)


@routes.register('POST /kv/export')
async def export_kv(engine: Engine, request: web.Request) -> web.Response:
    """Export the KV cache of a prefix."""
    prefix = web.parse_number('prefix', request.json().get('prefix'))
    tokens = engine.cache.get(prefix)
    if tokens is None:
        raise web.HttpError(404, 'not_cached')
    head = prefix.to_bytes(_PREFIX_HASH_BYTES, 'big')
    head += tokens.to_bytes(_KV_HEADER_BYTES - _PREFIX_HASH_BYTES, 'big')
    body = head + bytes(tokens * KV_BYTES_PER_TOKEN)
    return web.Response(body, content_type=web.BYTES_TYPE)


@routes.register('POST /kv/import')
async def import_kv(engine: Engine, request: web.Request) -> web.Response:
    """Import the KV cache of a prefix; reject it if truncated."""
    body = request.body
    prefix = int.from_bytes(body[:_PREFIX_HASH_BYTES], 'big')
    tokens = int.from_bytes(body[_PREFIX_HASH_BYTES:_KV_HEADER_BYTES], 'big')
    if len(body) != _KV_HEADER_BYTES + tokens * KV_BYTES_PER_TOKEN:
        raise web.HttpError(400, 'invalid_kv')
    engine.cache.store_prefix(prefix, tokens)
    return web.json_response({'prefix': prefix, 'tokens': tokens})


@routes.register('POST /faults')
async def set_faults(engine: Engine, request: web.Request) -> web.Response:
    """Crash immediately, after some tokens, or on the next order."""
    faults = request.json()
    if faults.keys() - _FAULT_NAMES:
        raise web.HttpError(400, 'unknown_fault')
    if faults.get('crash'):
        crash()
    engine.tokens_until_crash = faults.get('crash_after_tokens', -1)
    engine.orders.crash_on_next_order = bool(faults.get('crash_in_order'))
    return web.json_response({})


@routes.register('GET /observations')
async def observe(engine: Engine, _: web.Request) -> web.Response:
    """Return received attempts and orders, for tests."""
    numbers = Counter(
        str(order['fencing_number']) for order in engine.orders.received
    )
    return web.json_response(
        {
            'attempts': engine.attempts,
            'orders': engine.orders.received,
            'orders_by_fencing_number': numbers,
            'load': engine.load(),
        },
    )


async def run(settings: dict[str, Any]) -> None:
    """Serve until SIGTERM or SIGINT."""
    engine = Engine(settings)
    app = web.App(routes, engine, cancels_on_disconnect=True)
    await web.serve(
        app,
        settings['listen'],
        (engine.batcher.run, engine.orders.run, engine.sample_load),
    )


def main() -> None:
    """Run the stand-in engine."""
    settings = load_settings('standins.engine', SETTINGS, sys.argv[1:], {})
    anyio.run(partial(run, settings))


if __name__ == '__main__':
    main()
