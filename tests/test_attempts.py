from datetime import timedelta

import anyio
import pytest

from peridotrill import attempts, messages, services
from peridotrill.dispatch import Request
from peridotrill.errors import RequestError
from peridotrill.request_runner import run_request
from peridotrill.response_parts import ResponseChunk, ResponseEnd, ResponseHead
from peridotrill.routing import RequestCost
from tests import builders
from tests.scripted_agent import (
    COMPLETE_RESPONSE,
    DOWN,
    END,
    HEAD,
    START,
    STARTED,
    UP,
    UP_NEW,
    ScriptedAgent,
    chunk,
    failed,
    refused,
)

pytestmark = pytest.mark.anyio

SERVICE = services.parse_service(
    'receipts', builders.service_text(builders.plain_document())
).ok


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class Agent(ScriptedAgent):
    """Runs requests against a script and checks that nothing leaks."""

    async def run(self, **changes):
        """Return the body of a complete response; raise RequestError else."""
        request = make_request(self.clock, **changes)
        with anyio.fail_after(20):
            answers = [
                answer
                async for answer in run_request(request, self.dependencies)
            ]
        assert len(self.inboxes) == 0
        assert (
            self.local_attempts.running('t1')
            + self.local_attempts.running('t2')
            == 0
        )
        head, *parts, end = answers
        assert isinstance(head, ResponseHead)
        assert isinstance(end, ResponseEnd)
        body = b''.join(part.payload for part in parts)
        assert len(body) == end.total_bytes
        return body

    async def fail(self, **changes):
        with pytest.raises(RequestError) as caught:
            await self.run(**changes)
        return caught.value.code.code, caught.value.outcome


def make_request(clock, timeout_s=30.0, **changes):
    fields = {
        'request_id': 'r1',
        'service': SERVICE,
        'team': 'growers',
        'method': 'POST',
        'path': '/receipts/posts',
        'headers': [],
        'body': b'{}',
        'streaming': True,
        'idempotent': True,
        'key_digest': b'',
        'request_digest': b'r',
        'caller_key': False,
        'cost': RequestCost(1, 0),
        'deadline_s': clock.monotonic_s() + timeout_s,
    }
    return Request(**(fields | changes))


POST = {'idempotent': False, 'key_digest': b'g' * 32, 'streaming': False}
KEYED = {**POST, 'key_digest': b'k' * 32, 'caller_key': True}


@pytest.mark.parametrize(
    'script',
    [
        COMPLETE_RESPONSE,
        # duplicated and overlapping messages
        [STARTED, STARTED, HEAD, HEAD, chunk(0, b'abc'), chunk(1, b'bcdef')]
        + [chunk(0, b'abc'), END],
        # late AttemptStarted, and end before the last bytes
        [HEAD, chunk(0, b'abc'), STARTED, END, chunk(3, b'def'), END],
        # chunks out of order, then resent
        [STARTED, HEAD, chunk(3, b'def'), messages.ResumeAttempt]
        + [chunk(0, b'abc'), chunk(3, b'def'), END],
        # missing chunk
        [STARTED, HEAD, chunk(0, b'abc'), END, messages.ResumeAttempt]
        + [chunk(3, b'def'), END],
        # missing head
        [STARTED, chunk(0, b'abc'), messages.ResumeAttempt, *COMPLETE_RESPONSE],
        # lost link, before and during the response
        [DOWN, UP, messages.ResumeAttempt, *COMPLETE_RESPONSE],
        [
            *COMPLETE_RESPONSE[:3],
            DOWN,
            UP,
            messages.ResumeAttempt,
            *COMPLETE_RESPONSE[3:],
        ],
    ],
)
@pytest.mark.parametrize('streaming', [True, False])
async def test_response_is_complete_for_any_message_order(script, streaming):
    # Guards against missing, duplicated or reordered bytes, and against usage
    # that is counted twice, if messages are lost, repeated or late.
    agent = Agent(script)
    assert await agent.run(streaming=streaming) == b'abcdef'
    # The agent keeps a response until all of it is acknowledged.
    assert agent.of_type(messages.AcknowledgeBytes)[-1].position == 6
    assert agent.counted == [('growers', 1, 3, 2)]
    assert len(agent.attempt_ids()) == 1


@pytest.mark.parametrize(
    ('script', 'outcome'),
    [
        ([refused('deadline_exceeded')], ('deadline_exceeded', 'not_run')),
        (
            [refused('idempotency_key_reused', not_run=False)],
            ('idempotency_key_reused', 'not_run'),
        ),
        (
            [refused('answer_not_kept', not_run=False)],
            ('answer_not_kept', 'ran'),
        ),
        ([refused('x', not_run=False)], ('outcome_unknown', 'unknown')),
        ([STARTED, failed('unknown')], ('outcome_unknown', 'unknown')),
        ([STARTED, failed('ran')], ('target_failed', 'ran')),
        ([DOWN, UP_NEW], ('outcome_unknown', 'unknown')),
        ([STARTED, refused('x')], ('outcome_unknown', 'unknown')),
        (
            [*COMPLETE_RESPONSE[:3], DOWN, UP_NEW],
            ('outcome_unknown', 'unknown'),
        ),
        ([HEAD, chunk(0, b'abcdefg'), END], ('outcome_unknown', 'unknown')),
    ],
)
@pytest.mark.parametrize('fields', [POST, KEYED])
async def test_non_idempotent_requests_end_with_the_exact_outcome(
    script, outcome, fields
):
    # Guards against a second run, and against `not_run` as the outcome of a
    # request that may have run.
    agent = Agent(script, COMPLETE_RESPONSE)
    assert await agent.fail(**fields) == outcome
    assert len(agent.attempt_ids()) == 1
    records = [(key.attempt_id, key.state) for key in agent.records()]
    kept = fields is KEYED and outcome[1] != 'not_run'
    assert records == ([(agent.attempt_ids()[0], 'unknown')] if kept else [])


@pytest.mark.parametrize(
    'first', ['closed', [refused('expired')], [refused('recovering')]]
)
@pytest.mark.parametrize('fields', [{}, POST, KEYED])
async def test_attempts_that_did_not_run_are_retried(first, fields):
    # Guards against failed requests that another attempt could serve, and
    # against an attempt id that is used twice.
    agent = Agent(first, COMPLETE_RESPONSE)
    assert await agent.run(**fields) == b'abcdef'
    assert len(set(agent.attempt_ids())) == len(agent.attempt_ids())
    if fields is KEYED:
        homes = {target_id for target_id, _ in agent.sent}
        assert homes == {agent.home(b'k' * 32)}


async def test_draining_home_target_is_retried_until_the_key_moves():
    # Guards against a run at another target while the draining one may know
    # the key, or while other entries with an older placement still use it.
    agent = Agent(
        [refused('draining')], [refused('draining')], COMPLETE_RESPONSE
    )
    await agent.run(**KEYED)
    started = [name for name, sent in agent.sent if isinstance(sent, START)]
    assert started == [agent.home(b'k' * 32)] * 3


async def test_rate_limited_request_is_not_retried():
    # Guards against retries that are refused again while a team is over its
    # limit, and against an error without the time to wait.
    agent = Agent([refused('rate_limited')])
    fields = {**KEYED, 'limit_wait_s': 2.5}
    assert await agent.fail(**fields) == ('rate_limited', 'not_run')
    assert agent.of_type(START)[0].only_if_known


@pytest.mark.parametrize('code', ['recovering', 'placement_old'])
async def test_outcome_is_unknown_while_the_home_target_is_recovering(code):
    # Guards against `not_run` for a key whose first request may have run.
    agent = Agent(*[[refused(code)]] * 20)
    fields = {**KEYED, 'timeout_s': 0.3}
    assert await agent.fail(**fields) == ('outcome_unknown', 'unknown')


async def test_unreachable_home_target_gives_outcome_unknown():
    # Guards against a run at another target if the first request with the
    # key may have run at the home target.
    agent = Agent()
    agent.table.link_down(agent.home(b'k' * 32))
    fields = {**KEYED, 'timeout_s': 0.1}
    assert await agent.fail(**fields) == ('outcome_unknown', 'unknown')
    assert agent.sent == []


async def test_idempotent_requests_are_retried_within_the_budget():
    # Guards against unlimited retries while all targets fail.
    agent = Agent(*[[failed('unknown')]] * 20)
    assert await agent.fail(timeout_s=60) == ('target_failed', 'unknown')
    assert len(agent.attempt_ids()) == 11
    assert {target_id for target_id, _ in agent.sent} == {'t1', 't2'}


async def test_no_retry_after_a_partial_response():
    # Guards against a response that is composed of two.
    agent = Agent(
        [*COMPLETE_RESPONSE[:3], failed('unknown')], COMPLETE_RESPONSE
    )
    assert await agent.fail() == ('target_failed', 'unknown')
    assert len(agent.attempt_ids()) == 1


@pytest.mark.parametrize(
    ('confirmation', 'outcome', 'usage'),
    [
        (messages.CancelConfirmed('', False, 0, 0), 'not_run', []),
        (
            messages.CancelConfirmed('', True, 3, 1),
            'unknown',
            [('growers', 1, 3, 1)],
        ),
        (END, 'ran', [('growers', 1, 3, 2)]),
    ],
)
async def test_the_deadline_cancels_with_the_confirmed_outcome(
    confirmation, outcome, usage
):
    # Guards against a request that keeps running after its deadline, and
    # against its usage being lost or counted twice.
    agent = Agent([messages.CancelAttempt, confirmation, confirmation])
    # Long enough that the attempt starts before the deadline on a busy machine.
    error = await agent.fail(timeout_s=1)
    assert error == ('deadline_exceeded', outcome)
    assert agent.counted == usage


async def test_unresponsive_agent_gives_outcome_unknown_at_the_deadline(
    monkeypatch,
):
    # Guards against `not_run` that the agent has not confirmed.
    monkeypatch.setattr(attempts, 'CANCEL_TIMEOUT', timedelta(milliseconds=50))
    agent = Agent([STARTED])
    fields = {**POST, 'timeout_s': 0.1}
    assert await agent.fail(**fields) == ('outcome_unknown', 'unknown')


async def test_a_lost_connection_ends_the_attempt(monkeypatch):
    # Guards against an attempt that waits for an unreachable target forever.
    limit = timedelta(milliseconds=50)
    monkeypatch.setattr(attempts, 'TARGET_LOST_TIMEOUT', limit)
    agent = Agent([DOWN], COMPLETE_RESPONSE)
    assert await agent.run() == b'abcdef'
    agent = Agent([DOWN], COMPLETE_RESPONSE)
    assert await agent.fail(**POST) == ('outcome_unknown', 'unknown')


async def test_closing_the_response_cancels_the_attempt():
    # Guards against targets that work for callers that have disconnected.
    confirmation = messages.CancelConfirmed('', True, 3, 1)
    agent = Agent(
        [*COMPLETE_RESPONSE[:3], messages.CancelAttempt, confirmation, END]
    )
    answers = run_request(make_request(agent.clock), agent.dependencies)
    await anext(answers)
    await answers.aclose()
    assert len(agent.of_type(messages.CancelAttempt)) == 1
    assert agent.counted == [('growers', 1, 3, 1)]
    assert len(agent.inboxes) == 0


async def test_bytes_are_acknowledged_only_as_the_caller_reads_them():
    # Guards against unbounded buffers for a caller that does not read.
    block = bytes(attempts.ACKNOWLEDGE_INTERVAL_BYTES)
    total = 3 * len(block)
    agent = Agent(
        [HEAD, *[chunk(pos, block) for pos in range(0, total, len(block))]]
        + [END._replace(total_bytes=total)]
    )
    answers = run_request(make_request(agent.clock), agent.dependencies)
    for taken in range(3):
        await anext(answers)
        acknowledged = agent.of_type(messages.AcknowledgeBytes)
        positions = [entry.position for entry in acknowledged]
        assert positions == [len(block) * num for num in range(1, taken)]
    await answers.aclose()


async def test_queued_chunks_are_written_to_the_caller_as_one():
    # Guards against one write to the caller's socket per token.
    pieces = [b'%03d' % number for number in range(100)]
    chunks = [chunk(3 * number, piece) for number, piece in enumerate(pieces)]
    agent = Agent([HEAD, *chunks, END._replace(total_bytes=300)])
    request = make_request(agent.clock)
    answers = [row async for row in run_request(request, agent.dependencies)]
    written = [row for row in answers if isinstance(row, ResponseChunk)]
    assert [row.payload for row in written] == [b''.join(pieces)]
