import hashlib
from collections import Counter
from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from peridotrill import routing
from peridotrill.clock import ManualClock
from peridotrill.routing import LoadCorrection, RequestCost, TargetView
from tests import builders


def view(name, tokens=0, free=100, zone='z1', prefixes=(), **changes):
    load = builders.load_report(
        running_tokens=tokens,
        free_pieces=free,
        total_pieces=100,
        piece_tokens=2000,
        cached_prefixes=list(prefixes),
    )
    return TargetView(
        name, 's', zone, '', 'engine', True, False, True, load
    )._replace(**changes)


views = st.builds(
    lambda name, tokens, free, ready, draining, linked: view(
        name, tokens, free, ready=ready, draining=draining, linked=linked
    ),
    st.text('abcdef', min_size=1, max_size=3),
    st.integers(0, 100_000),
    st.integers(0, 10),
    *[st.booleans()] * 3,
)


@given(
    st.lists(views, max_size=6, unique_by=lambda row: row.target_id),
    st.integers(1, 20_000),
    st.integers(0, 5),
)
def test_choice_takes_only_targets_that_can_run_the_request(
    rows, prompt, own_pieces
):
    # Guards against selecting a draining, unready or full target, and against
    # a refusal while some target could accept the request.
    own = {row.target_id: LoadCorrection(1, 1, own_pieces) for row in rows}
    needed = -(-(prompt + 100) // 2000)
    usable = [
        row
        for row in rows
        if row.ready and row.linked and not row.draining
        if row.load.free_pieces - own_pieces >= needed
    ]
    chosen = routing.choose_target(
        rows, RequestCost(prompt, 100), 'z1', own, Random(1)
    )
    assert (chosen in usable) if usable else (chosen is None)


def test_choice_prefers_less_work_own_zone_and_cached_prefixes():
    # Guards against a wrong sign of a term in the score.
    cost = RequestCost(1024, 100, (5, 6))
    busy, far = view('a', tokens=5000), view('b', zone='z2')
    cached = view('c', tokens=300, prefixes=[5, 6])
    near = view('d')

    def best(*rows):
        return routing.choose_target(rows, cost, 'z1', {}, Random(1))

    assert best(busy, far) == far
    assert best(far, near) == near
    assert best(cached, near) == cached
    loaded = {'d': LoadCorrection(1, 6000, 1)}
    assert (
        routing.choose_target((busy, near), cost, 'z1', loaded, Random(1))
        == busy
    )


def test_requests_spread_over_equal_targets():
    # Guards against a herd effect: all entries select the same target.
    random = Random(7)
    rows = [view(name) for name in 'abcde']
    counts = Counter(
        routing.choose_target(
            rows, RequestCost(10, 10), 'z1', {}, random
        ).target_id
        for _ in range(1000)
    )
    assert min(counts.values()) > 100


@given(st.text(max_size=3000))
def test_prefix_hashes_match_the_protocol(prompt):
    expected = [
        int.from_bytes(
            hashlib.sha256(prompt[:end].encode()).digest()[:8], 'big'
        )
        for end in range(1024, len(prompt) + 1, 1024)
    ]
    assert list(routing.hash_prefixes(prompt)) == expected


def test_local_attempts_correct_a_late_report():
    # Guards against counting an attempt twice or not at all while load reports
    # are late.
    clock = ManualClock()
    own = routing.LocalAttempts(clock)
    own.started('a', '1', RequestCost(2500, 100))
    assert own.load_correction('a', 2000) == (1, 2600, 2)
    own.reported('a')  # too early to include the attempt
    assert own.load_correction('a', 2000) == (1, 2600, 2)
    clock.advance(timedelta(seconds=1))
    own.reported('a')
    assert own.load_correction('a', 2000) == (0, 0, 0)
    own.ended('a', '1')
    assert own.load_correction('a', 2000) == (-1, -2600, -2)
    clock.advance(timedelta(seconds=1))
    own.reported('a')
    assert own.load_correction('a', 2000) == (0, 0, 0)
    assert own.running('a') == 0
