"""Prompts that crash engines, at an entry of the product's own deployment."""

import anyio
import pytest

from peridotrill import messages
from peridotrill.errors import NOT_RUN, UNKNOWN, RequestError
from peridotrill.prompt_quarantine import MIN_CRASHES
from peridotrill.request_runner import run_request
from peridotrill.routing import RequestCost
from tests.scripted_agent import (
    COMPLETE_RESPONSE,
    START,
    STARTED,
    ScriptedAgent,
)
from tests.test_attempts import make_request

pytestmark = pytest.mark.anyio

CRASH = (
    START,
    STARTED,
    messages.AttemptFailed('', 'target_failed', 'ReadError', UNKNOWN, 0, 0),
)
COMMON, DEADLY = 0xA, 0xD


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class Entry(ScriptedAgent):
    async def run(self, *prefixes, **changes):
        """Return the code of the error, or None after a whole response."""
        request = make_request(
            self.clock,
            cost=RequestCost(100, 10, prefix_hashes=prefixes),
            idempotent=False,
            **changes,
        )
        with anyio.fail_after(20):
            try:
                async for _ in run_request(request, self.dependencies):
                    pass
            except RequestError as error:
                return error
        return None

    def starts(self):
        return sum(isinstance(row, START) for _, row in self.sent)

    async def crash(self, *prefixes, **changes):
        """Send a request to a target, which then does not respond any more."""
        before = len(self.sent)
        await self.run(*prefixes, **changes)
        target_id, _ = self.sent[before]
        self.dependencies.crash_guard.record_end(target_id)


def create_entry(crashes, responses):
    return Entry(*[CRASH] * crashes, *[[START, *COMPLETE_RESPONSE]] * responses)


async def test_prefix_that_crashes_targets_is_no_longer_sent():
    # Guards against an entry that crashes target after target with one prefix.
    entry = create_entry(MIN_CRASHES, 2)
    for _ in range(MIN_CRASHES):
        await entry.crash(COMMON, DEADLY)
    starts = entry.starts()
    error = await entry.run(COMMON, DEADLY, 0xE)
    assert (error.code.code, error.outcome) == ('prompt_quarantined', NOT_RUN)
    assert error.retry_after_s > 20
    assert entry.starts() == starts
    assert await entry.run(COMMON, 0xB) is None
    assert (await entry.run(COMMON, DEADLY)).outcome == NOT_RUN


async def test_request_without_prompt_that_crashes_targets_is_no_longer_sent():
    # Guards against an entry that crashes target after target with a request
    # that comes again.
    entry = create_entry(MIN_CRASHES, 2)
    for _ in range(MIN_CRASHES):
        await entry.crash(body=b'deadly')
    starts = entry.starts()
    error = await entry.run(body=b'deadly')
    assert (error.code.code, error.outcome) == ('prompt_quarantined', NOT_RUN)
    assert entry.starts() == starts
    assert await entry.run(body=b'sound') is None
    assert await entry.run(body=b'deadly', team='other') is None


async def test_request_with_a_key_is_not_refused_as_not_run():
    # Guards against a refusal as not run although an earlier request with the
    # key may have run.
    entry = create_entry(MIN_CRASHES, 0)
    for _ in range(MIN_CRASHES):
        await entry.crash(DEADLY)
    error = await entry.run(DEADLY, caller_key=True)
    assert (error.code.code, error.outcome) == ('outcome_unknown', UNKNOWN)


async def test_broken_responses_of_running_targets_are_not_held_against_prompts():
    # Guards against a quarantine for resets between agent and target.
    entry = create_entry(2 * MIN_CRASHES, 1)
    for _ in range(2 * MIN_CRASHES):
        await entry.run(DEADLY)
    assert await entry.run(DEADLY) is None
