"""Cost of target selection, team limits, queues and idempotency keys."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from capacity import link_fixtures
from capacity.measurements import Quantities, measurement
from capacity.meters import best_cpu_us, resident_bytes
from peridotrill.clock import SystemClock
from peridotrill.fair_queue import FairQueue, QueueBounds
from peridotrill.forwarded_keys import ForwardedKeyTable
from peridotrill.ledger import Ledger, StoredResponse
from peridotrill.limits import TeamLimiter
from peridotrill.messages import Batch, StartAttempt, Welcome, encode_batch
from peridotrill.placement import Placement, home_target
from peridotrill.routing import RequestCost, choose_target
from peridotrill.services import TeamPolicy
from peridotrill.targets import TargetTable, VmRow

PUSHED_KEYS: Final = 1000
_REPEATS: Final = 200
_SERVICES: Final = 7
_clock: Final = SystemClock()


def _repeat_us(work: Callable[[], Any]) -> float:
    def run() -> None:
        for _ in range(_REPEATS):
            work()

    return best_cpu_us(run) / _REPEATS


def _make_vm_rows(count: int) -> list[VmRow]:
    return [
        VmRow(
            f'vm-{number:04}',
            'target',
            'live',
            f'z{number % 6}',
            f'service-{number % _SERVICES}',
            f'target-{number:04}',
            'engine',
            f'10.20.{number // 250}.{number % 250}:7201',
        )
        for number in range(count)
    ]


def _welcome(target_id: str) -> Welcome:
    return Welcome(
        1, target_id, 's', 'engine', 'z1', 'a1', 0, True, False, 'complete'
    )


def _target_table(rows: list[VmRow]) -> TargetTable:
    table = TargetTable(_clock)
    table.apply_vms(rows)
    for row in rows:
        table.link_up(row.target_id, _welcome(row.target_id))
        table.update_load(row.target_id, link_fixtures.make_report(64))
    return table


@measurement(
    'targets',
    f'targets of {_SERVICES} services, 64 prefixes reported by each',
    'targets, routing',
    (82, 410, 820),
)
def measure_targets(size: int) -> Quantities:
    """Measure the target table and the selection of one target."""
    rows = _make_vm_rows(size)
    before_bytes = resident_bytes()
    table = _target_table(rows)
    held_bytes = resident_bytes() - before_bytes
    cost = RequestCost(4000, 400, tuple(range(16)))
    views = table.candidates('service-1')
    homes = [view.target_id for view in views]
    return {
        'resident_bytes': held_bytes,
        'candidates_cpu_us': _repeat_us(lambda: table.candidates('service-1')),
        'choose_cpu_us': _repeat_us(
            lambda: choose_target(views, cost, 'z1', {}, Random(1)),
        ),
        'home_cpu_us': _repeat_us(lambda: home_target(b'k' * 32, homes)),
        'apply_list_cpu_us': _repeat_us(lambda: table.apply_vms(rows)),
    }


@measurement(
    'team_limits',
    'limits of teams for services',
    'limits',
    (1000, 4000, 7700),
)
def measure_limits(size: int) -> Quantities:
    """Measure rate limit buckets, and a change in the number of entries."""
    policies = {
        'assistant': {
            f'team-{number:04}': TeamPolicy(12, 8, 3) for number in range(size)
        },
    }
    before_bytes = resident_bytes()
    limiter = TeamLimiter(_clock)
    limiter.configure_all(policies, 420, 7)
    held_bytes = resident_bytes() - before_bytes
    return {
        'resident_bytes': held_bytes,
        'configure_cpu_us': best_cpu_us(
            lambda: limiter.configure_all(policies, 421, 7),
        ),
        'admit_cpu_us': _repeat_us(
            lambda: limiter.admit('assistant', 'team-0001'),
        ),
    }


@measurement(
    'queue_teams',
    'teams with a waiting request',
    'fair_queue',
    (100, 400, 1100),
)
def measure_queue(size: int) -> Quantities:
    """Measure a pop and a push while all teams have waiting requests."""
    queue = FairQueue(_clock, QueueBounds(10**6, 10**9))

    def push(number: int) -> None:
        queue.push(None, f'team-{number:04}', 1, 4400, 1, 1e12)

    before_bytes = resident_bytes()
    for number in range(size):
        push(number)
    held_bytes = resident_bytes() - before_bytes

    def requeue_one() -> None:
        ticket = queue.pop()
        assert ticket is not None
        push(int(ticket.team.rpartition('-')[2]))

    return {
        'resident_bytes': held_bytes,
        'cpu_us_per_request': _repeat_us(requeue_one),
    }


def _make_start(number: int) -> StartAttempt:
    return link_fixtures.make_start(f'{number:032x}')._replace(
        idempotent=False,
        key_digest=b'%032d' % number,
        caller_key=False,
    )


def _make_answer(number: int) -> StoredResponse:
    headers = [('content-type', f'application/json; number={number}')]
    return StoredResponse(200, headers, b'%013d' % number * 20, 0, 0)


@measurement(
    'ledger_keys',
    'answered keys kept, answers of 260 bytes',
    'ledger',
    (1000, 4000, 8000),
)
def measure_ledger(size: int) -> Quantities:
    """Measure filling a ledger with answered keys."""
    ledger = Ledger(_clock, 'assistant')

    def fill() -> None:
        for number in range(size):
            start = _make_start(number)
            ledger.decide(start)
            ledger.begin(start)
            ledger.answer(start.key_digest, _make_answer(number))

    before_bytes = resident_bytes()
    used_us = best_cpu_us(fill, runs=1)
    assert len(ledger) == size
    return {
        'cpu_us': used_us,
        'resident_bytes': resident_bytes() - before_bytes,
        'counted_bytes': ledger.used_bytes,
    }


def _make_key_book(size: int) -> ForwardedKeyTable:
    book = ForwardedKeyTable(_clock)
    for number in range(size):
        key_digest = b'%032d' % number
        book.record('assistant', f'{number:032x}', key_digest, b'r' * 32, 900)
    return book


def _placement(targets: int) -> Placement:
    names = tuple(f'assistant-{number:04}' for number in range(targets))
    return Placement(1, names, 0)


@measurement(
    'forwarded_keys',
    'records of forwarded keys of one service',
    'forwarded_keys',
    (1000, 4000, 16000),
)
def measure_forwarded_keys(size: int) -> Quantities:
    """Measure the records, and their push to a single home target."""
    before_bytes = resident_bytes()
    book = _make_key_book(size)
    held_bytes = resident_bytes() - before_bytes
    rows = book.messages('assistant', 'assistant-0000', _placement(1))
    return {
        'resident_bytes': held_bytes,
        'pushed_bytes': sum(
            len(encode_batch(Batch(1, 1, [row]))) for row in rows
        ),
        'expire_cpu_us': best_cpu_us(book.expire),
    }


@measurement(
    'key_push',
    f'home targets of the service, {PUSHED_KEYS} records, push to one',
    'forwarded_keys, placement',
    (10, 60, 117),
)
def measure_key_push(size: int) -> Quantities:
    """Measure selecting the records that belong to one home target."""
    book, placement = _make_key_book(PUSHED_KEYS), _placement(size)

    def push() -> None:
        book.messages('assistant', 'assistant-0000', placement)

    return {'cpu_us': best_cpu_us(push)}
