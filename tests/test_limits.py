from datetime import timedelta
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.limits import TeamLimiter
from peridotrill.retry_budget import RetryBudget


class Policy(NamedTuple):
    rate_per_s: float
    burst: int


steps = st.lists(
    st.tuples(
        st.integers(0, 3000),  # delay before the step in milliseconds
        st.integers(0, 4),  # index of the entry that receives requests
        st.integers(1, 8),  # number of requests
    ),
    max_size=60,
)


def admit(limiter):
    return limiter.admit('s', 't').is_ok()


@given(
    steps,
    st.floats(0.1, 20),
    st.integers(1, 12),
    st.integers(1, 5),
    st.sets(st.integers(0, 4)),
)
def test_entries_together_stay_within_rate_and_burst(
    script, rate, burst, entry_count, paused
):
    # Guards against an entry that accrues more than its share, for example
    # while it is paused, and against shares that exceed the limit in total.
    clock = ManualClock()
    limiters = [TeamLimiter(clock) for _ in range(entry_count)]
    for entry_index, limiter in enumerate(limiters):
        limiter.configure(
            's', 't', Policy(rate, burst), entry_count, entry_index
        )
    admitted = []
    for number, (pause_ms, index, requests) in enumerate(script):
        clock.advance(timedelta(milliseconds=pause_ms))
        # A paused entry handles nothing in the first half of the script.
        if index in paused and number < len(script) // 2:
            continue
        limiter = limiters[index % entry_count]
        admitted += [
            clock.monotonic_s() for _ in range(requests) if admit(limiter)
        ]
    for first, start_s in enumerate(admitted):
        for last in range(first, len(admitted)):
            window_s = admitted[last] - start_s
            assert last - first + 1 <= rate * window_s + burst + 1e-6


@given(steps, st.floats(0.1, 20), st.integers(1, 12))
def test_single_entry_matches_a_reference_token_bucket(script, rate, burst):
    # Guards against wrongful refusals: a reference bucket, recomputed from all
    # admitted requests, must admit the same requests.
    clock = ManualClock()
    limiter = TeamLimiter(clock)
    limiter.configure('s', 't', Policy(rate, burst), 1)
    history: list[float] = []
    for pause_ms, _, requests in script:
        clock.advance(timedelta(milliseconds=pause_ms))
        for _ in range(requests):
            tokens, before_s = 0.0, 0.0
            for taken_s in [*history, clock.monotonic_s()]:
                tokens = min(burst, tokens + (taken_s - before_s) * rate)
                before_s = taken_s
                tokens -= 1
            tokens += 1
            if abs(tokens - 1) < 1e-6:
                return  # Too close to one token; rounding decides.
            assert admit(limiter) == (tokens >= 1)
            if tokens >= 1:
                history.append(clock.monotonic_s())


def test_lowered_rate_and_more_entries_take_effect_at_once():
    # Guards against spending tokens that accrued under an earlier limit.
    clock = ManualClock()
    limiter = TeamLimiter(clock)
    limiter.configure('s', 't', Policy(10, 10), 1)
    assert not admit(limiter)
    clock.advance(timedelta(seconds=5))
    limiter.configure('s', 't', Policy(2, 4), 2)
    assert [admit(limiter) for _ in range(3)] == [True, True, False]
    assert limiter.admit('s', 't').error == 1
    limiter.retain(set())
    assert not admit(limiter)


@given(st.lists(st.booleans(), max_size=200))
def test_retries_stay_a_part_of_the_requests(script):
    # Guards against retries that amplify the load on failing targets.
    budget = RetryBudget()
    requests = retries = 0
    for is_request in script:
        if is_request:
            budget.record_request('s')
            requests += 1
        else:
            retries += budget.try_take_retry('s')
        assert retries <= 10 + 0.1 * requests + 1e-6
