"""Builders of test data for the gateway and for platform messages."""

from datetime import timedelta

from peridotrill.clock import ManualClock, SystemClock
from peridotrill.codec import encode_json
from peridotrill.exceptions import LogUnavailable
from peridotrill.gateway.configuration import Team
from peridotrill.gateway.receive_limits import ReceiveBudget, ReceiveLimits
from peridotrill.gateway.requests import CallerRequest, Prompt, PromptPart
from peridotrill.gateway.targets import TargetRecord
from peridotrill.platform.topics import KeyedPage
from peridotrill.settings import Address

HOST = 'api.example'


def route_row(name, kind, service, **changes):
    row = {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 3000,
        'goal-ms': 500,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'public': False,
        'sticky': kind == 'stream',
        'can-resume': False,
        'gap-aim-ms': 400,
    }
    return {**row, **changes}


def configuration_document(version=1, **changes):
    document = {
        'version': version,
        'routes': [
            # Two targets are allowed, so that only the kind of the route prevents
            # a payment from being retried.
            route_row('pay', 'non_idempotent', 'till'),
            route_row('read', 'idempotent', 'till'),
            route_row('open', 'idempotent', 'till', public=True),
            route_row('draft', 'stream', 'llm'),
            route_row('quick', 'stream', 'llm', **{'can-resume': True}),
        ],
        'services': [
            {
                'name': 'llm',
                'max-conns': 100,
                'engine': {'slots': 8, 'kv-tokens': 100000, 'kv-bytes': 10},
            },
            {'name': 'till', 'max-conns': 50},
        ],
        'limits': {
            'max-header-bytes': 4096,
            'max-body-bytes': 100000,
            'header-timeout-ms': 500,
            'idle-timeout-ms': 5000,
        },
        'tenants': [
            {
                'name': 'growers',
                'api-keys': ['key-g', 'key-h'],
                'priority': 1,
                'unit': 'token_stream',
                'plain-tokens': 200,
                'rate-per-s': 0,
                'burst': 0,
            },
        ],
    }
    return {**document, **changes}


def without_key(version, key):
    """Return changes of a configuration that withdraw a key."""
    teams = configuration_document()['tenants']
    for row in teams:
        row['api-keys'] = [name for name in row['api-keys'] if name != key]
    return {'version': version, 'tenants': teams}


def configuration_record(version=1, **changes):
    return encode_json(configuration_document(version, **changes))


def team(name='growers', rate_per_s=1000.0, burst=1000.0):
    return Team(name, frozenset(), None, rate_per_s, burst, True, 10)


def target(target_id='i-1', role=None, **changes):
    record = TargetRecord(
        target_id=target_id,
        service='llm' if role else 'till',
        address=Address('127.0.0.1', 9000),
        zone='a',
        slots=8,
        is_draining=False,
        role=role,
        started_ms=1,
    )
    return record._replace(**changes)


def prompt(shared=2000, unshared=500, part_id='p1', output=50):
    return Prompt(
        model='m',
        prompt_tokens=shared + unshared,
        max_output_tokens=output,
        parts=(PromptPart(part_id, shared), PromptPart('own', unshared)),
        expected_output_tokens=output,
    )


def caller_request(**changes):
    request = CallerRequest(
        request_id='r',
        method=b'POST',
        target=b'/read/x',
        host=HOST,
        path='/read/x',
        headers=[],
        body=b'body',
        api_key=None,
        wait_ms=5000,
        prompt=None,
        resume_after=None,
        received_s=0,
    )
    return request._replace(**changes)


def receive_budget(memory_limit_mb=300):
    return ReceiveBudget.from_memory_limit(memory_limit_mb)


def receive_limits(budget=None):
    now_s = SystemClock().monotonic_s
    return ReceiveLimits(budget or receive_budget(), now_s)


def advance(clock: ManualClock, seconds: float) -> None:
    clock.advance(timedelta(seconds=seconds))


class RecordingLog:
    """Test double of the log that records events."""

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))

    def write_exception(self, event, error, **fields):
        self.events.append((event, {'error': error, **fields}))


class FakeTopic:
    """Keyed topic in memory."""

    def __init__(self):
        self.rows = {}
        self.generation = 1
        self.is_down = False
        self.writes = 0

    async def newest(self):
        self._require_up()
        return KeyedPage(list(self.rows.items()), 0)

    async def put(self, key, content):
        self._require_up()
        self.writes += 1
        self.rows[key] = content
        return self.generation

    def _require_up(self):
        if self.is_down:
            raise LogUnavailable('down')

    @property
    def versions(self):
        return {key for key, content in self.rows.items() if content}


def prompt_headers(shared=2000, unshared=500, output=50, part_id='a1'):
    return {
        'X-Peridotrill-Model': 'm',
        'X-Peridotrill-Token-Count': f'{shared + unshared},{output}',
        'X-Peridotrill-Prompt-Prefix': f'{part_id}:{shared},b2:{unshared}',
    }
