"""Speed of targets, and how their work is spread; without a network."""

import math
import random
from concurrent.futures import ThreadPoolExecutor
from statistics import median

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.engine_speed import EngineSpeeds, process_number
from peridotrill.gateway.peers import Report, decode_message, encode_message
from peridotrill.gateway.reported_slowness import ReportedSlowness
from peridotrill.gateway.targets import TargetRole
from tests.gateway_builders import advance, prompt_headers, target
from tests.gateway_site import call, run_site, wait_until
from tests.speed_simulation import FleetPlay, Play

# Speeds of machines in the deployment at hand, relative to the usual one.
SPEEDS = (0.6, 1.0, 1.6)
REPORT_S = 0.45


def test_stated_slowness_applies_only_for_some_hundred_milliseconds():
    # Guards against a target that is avoided for a slowness that has ended.
    clock = ManualClock()
    reported = ReportedSlowness(clock)
    reported.observe('i-1', 2.5)
    assert reported.slowness('i-1') == pytest.approx(2.5)
    advance(clock, 0.15)
    assert reported.slowness('i-1') == pytest.approx(1.75)
    advance(clock, 0.15)
    assert reported.slowness('i-1') == pytest.approx(1)
    advance(clock, 10)
    assert reported.slowness('i-1') == 1


@pytest.mark.parametrize('slowness', [1e-5, 0.01, 99999.99, 1e300])
def test_wrong_figure_is_bounded(slowness):
    # Guards against a target that gets all requests, or none, by its own figure.
    reported = ReportedSlowness(ManualClock())
    reported.observe('i-1', slowness)
    assert 0.5 <= reported.slowness('i-1') <= 4


def test_figure_is_forgotten_with_the_target():
    # Guards against a new process that is taken for the slow one before it.
    reported = ReportedSlowness(ManualClock())
    reported.observe('i-1', 2.5)
    reported.forget('i-1')
    assert reported.slowness('i-1') == 1


def test_malformed_loads_are_logged_at_a_bounded_rate():
    # Guards against a log line for each response of a target.
    clock = ManualClock()
    reported = ReportedSlowness(clock)
    logged = []
    for _ in range(300):
        logged.append(reported.count_malformed())
        advance(clock, 0.01)
    counts = [count for count in logged if count is not None]
    assert len(counts) in {3, 4}
    assert counts[-1] > 200


def test_malformed_loads_are_counted_and_responses_forwarded(tmp_path):
    # Guards against loads that are dropped without a trace, and against a
    # response that fails for its load.
    with run_site(tmp_path) as site:
        (gateway,) = site.start_gateways('front-a-1')
        for engine in site.engines.values():
            engine.load = b'1,0,8,quick'
        assert call(gateway, '/read/x', 'a').status_code == 200
        wait_until(lambda: 'event=load_unreadable' in gateway.read_log(), 5)
        for engine in site.engines.values():
            engine.load = b'1,0,8,250'
        before = gateway.read_log().count('load_unreadable')
        assert call(gateway, '/read/x', 'b').status_code == 200
        assert gateway.read_log().count('load_unreadable') == before


class LearningFleet:
    """Gateways that learn the speed of the targets that they send to."""

    def __init__(self, gateways, slowness, seed=1, noise=0.3):
        """:param slowness: of each target, by its id.

        :param noise: standard deviation of the logarithm of a time.
        """
        self.clock = ManualClock()
        advance(self.clock, 100)
        self.random = random.Random(seed)
        self.noise = noise
        self.slowness = dict(slowness)
        self.targets = {
            name: target(name, TargetRole.DECODE) for name in slowness
        }
        self.speeds = [
            EngineSpeeds(self.clock, ReportedSlowness(self.clock))
            for _ in range(gateways)
        ]

    def sample(self, speeds, name, usual_ms=8.0):
        factor = math.exp(self.random.gauss(0, self.noise))
        speeds.record(
            self.targets[name],
            'step',
            usual_ms * self.slowness[name] * factor,
            1,
        )

    def play(self, duration_s, samples_per_s, names=None):
        """Record samples of all gateways together, and exchange reports."""
        names = sorted(names or self.slowness)
        for _ in range(round(duration_s / REPORT_S)):
            for _ in range(round(samples_per_s * REPORT_S)):
                self.sample(
                    self.random.choice(self.speeds), self.random.choice(names)
                )
            self.exchange()
            advance(self.clock, REPORT_S)

    def exchange(self):
        reports = [speeds.report() for speeds in self.speeds]
        for sender, rows in enumerate(reports):
            for receiver, speeds in enumerate(self.speeds):
                if receiver != sender:
                    speeds.observe_peer(
                        f'front-{sender}', rows, self.targets.get
                    )

    def learnt(self, name):
        return [speeds.learnt(name) for speeds in self.speeds]


def unequal(count):
    return {f'i-{n}': 1 / SPEEDS[n % 3] for n in range(count)}


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    ('gateways', 'targets', 'samples_per_s'),
    [(1, 3, 6), (24, 22, 40), (68, 6, 200)],
)
def test_speeds_are_learnt_within_seconds(
    gateways, targets, samples_per_s, seed
):
    # Guards against slow machines that get as much work as fast ones.
    fleet = LearningFleet(gateways, unequal(targets), seed)
    fleet.play(12, samples_per_s)
    for name, slowness in fleet.slowness.items():
        learnt = median(fleet.learnt(name))
        assert learnt == pytest.approx(slowness, rel=0.3)
        assert (learnt > 1.1) == (slowness > 1.1)


@pytest.mark.parametrize('seed', range(5))
def test_equally_fast_targets_keep_the_slowness_of_one(seed):
    # Guards against choices that follow the noise of a deployment whose engines
    # are equally fast.
    fleet = LearningFleet(24, {f'i-{n}': 1.0 for n in range(22)}, seed, 0.2)
    differing = 0
    for _ in range(40):
        fleet.play(REPORT_S, 40)
        differing += sum(
            value != 1
            for name in fleet.slowness
            for value in fleet.learnt(name)
        )
    assert differing <= 0.01 * 40 * 22 * 24


def test_all_gateways_agree_though_each_has_few_samples():
    # Guards against gateways that see single samples only, and send each to
    # another engine.
    fleet = LearningFleet(24, unequal(22))
    fleet.play(20, 40)
    for name in fleet.slowness:
        learnt = fleet.learnt(name)
        assert max(learnt) / min(learnt) < 1.4


def test_speed_that_changes_is_learnt_again():
    # Guards against an engine that is taken for slow after it has recovered.
    fleet = LearningFleet(24, unequal(9))
    fleet.play(20, 40)
    fleet.slowness['i-0'] = 1 / 1.6
    fleet.play(30, 40)
    assert median(fleet.learnt('i-0')) < 0.8


def test_target_that_is_not_used_counts_as_usual_again():
    # Guards against an engine that was slow once and is never tried again.
    fleet = LearningFleet(24, unequal(9))
    fleet.play(20, 40)
    assert median(fleet.learnt('i-0')) > 1.3
    fleet.play(60, 40, [f'i-{n}' for n in range(1, 9)])
    assert fleet.learnt('i-0') == [1] * 24


def test_gateway_with_slow_targets_only_does_not_take_them_for_usual():
    # Guards against a slow engine that looks fast beside a slower one.
    fleet = LearningFleet(24, unequal(9))
    fleet.play(10, 40)
    lone = fleet.speeds[0]
    for _ in range(200):
        fleet.sample(lone, 'i-0')
        fleet.sample(lone, 'i-3')
        fleet.exchange()
        advance(fleet.clock, 0.1)
    assert lone.learnt('i-0') > 1.2
    assert lone.learnt('i-3') > 1.2


def test_what_is_learnt_ends_with_the_process():
    # Guards against a new process, perhaps on another machine, that counts as
    # slow, also by samples and reports of the one before it.
    fleet = LearningFleet(2, unequal(3), noise=0)
    fleet.play(10, 20)
    old = fleet.targets['i-0']
    rows = fleet.speeds[1].report()
    speeds = fleet.speeds[0]
    new = old._replace(started_ms=2)
    fleet.targets['i-0'] = new
    speeds.forget('i-0')
    assert speeds.learnt('i-0') == 1
    speeds.record(new, 'step', 8, 1)
    speeds.record(old, 'step', 80, 1)
    speeds.observe_peer('front-1', rows, fleet.targets.get)
    speeds.refresh()
    assert speeds.learnt('i-0') == 1
    assert speeds.learnt('i-2') != 1


@pytest.mark.parametrize('percent', [1, 10**9, 0, -5])
def test_wrong_report_has_a_bounded_effect(percent):
    # Guards against one gateway that takes an engine from all others, or
    # sends them all to it.
    clock = ManualClock()
    speeds = EngineSpeeds(clock, ReportedSlowness(clock))
    row = target('i-1', TargetRole.DECODE)
    rows = {'i-1': (process_number(row), percent, 10**6)}
    for number in range(30):
        speeds.observe_peer(f'front-{number}', rows, {'i-1': row}.get)
    speeds.refresh()
    assert 0.5 <= speeds.slowness('i-1') <= 2.5


def test_reports_replace_those_before_them():
    # Guards against sums that grow with each report.
    clock = ManualClock()
    speeds = EngineSpeeds(clock, ReportedSlowness(clock))
    row = target('i-1', TargetRole.DECODE)
    for _ in range(100):
        rows = {'i-1': (process_number(row), 200, 3)}
        speeds.observe_peer('front-1', rows, {'i-1': row}.get)
        advance(clock, 0.1)
    speeds.refresh()
    assert speeds.learnt('i-1') == pytest.approx(2**0.5, rel=0.02)
    rows = {'i-1': (process_number(row), 100, 3)}
    speeds.observe_peer('front-1', rows, {'i-1': row}.get)
    speeds.refresh()
    assert speeds.learnt('i-1') == 1


def test_present_slowness_is_not_learnt():
    # Guards against a machine that was slow for a moment and counts as slow
    # afterwards, or twice as slow meanwhile.
    clock = ManualClock()
    reported = ReportedSlowness(clock)
    speeds = EngineSpeeds(clock, reported)
    rows = [target(f'i-{n}', TargetRole.DECODE) for n in range(3)]
    for _ in range(50):
        reported.observe('i-0', 2.5)
        for row in rows:
            speeds.record(row, 'step', 20 if row is rows[0] else 8, 1)
        advance(clock, 0.1)
    assert speeds.learnt('i-0') == 1
    reported.observe('i-0', 2.5)
    assert speeds.slowness('i-0') == 2.5


def test_report_lists_only_targets_that_differ():
    # Guards against reports that grow with the number of targets, while all are
    # equally fast.
    fleet = LearningFleet(1, {'i-0': 1, 'i-1': 1, 'i-2': 1, 'i-3': 2}, noise=0)
    fleet.play(5, 20)
    (speeds,) = fleet.speeds
    assert list(speeds.report()) == ['i-3']
    assert speeds.differing == 1
    changes = []
    speeds.on_change = lambda name, slowness: changes.append((name, slowness))
    fleet.slowness['i-3'] = 1
    fleet.play(40, 20)
    assert speeds.report() == {}
    assert changes == [('i-3', 1)]


def test_speeds_are_carried_by_the_report():
    # Guards against a field that does not survive the datagram.
    rows = {'i-1': (65535, 167, 8)}
    sent = Report(
        'front-a-1', 'x', 1, '127.0.0.1', 1, 0.0, True, {}, {}, {}, [], {}, [],
        target_speeds=rows,
    )  # fmt: skip
    assert decode_message(encode_message(sent)).target_speeds == rows


# Plain services, decode and prefill engines as they are played.
KINDS = {
    'plain': {'slots': 6, 'parallel': 3, 'work_s': 0.06},
    'decode': {
        'role': TargetRole.DECODE,
        'slots': 16,
        'parallel': 6,
        'work_s': 0.8,
    },
    'prefill': {'role': TargetRole.PREFILL, 'slots': 64, 'work_s': 0.08},
}


def play(kind, rule, speeds, utilisation, **options):
    return Play(speeds, rule, **KINDS[kind], **options).run(utilisation, 20)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('utilisation', [0.4, 0.9])
def test_equally_fast_targets_get_the_same_work_as_without_speeds(
    kind, utilisation
):
    # Guards against a deployment of equal engines that is served otherwise.
    rows = [
        play(kind, rule, [1] * 9, utilisation) for rule in ('equal', 'learnt')
    ]
    assert rows[0] == rows[1]


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('slow_periods', [False, True])
@pytest.mark.parametrize('kind', KINDS)
def test_unequal_targets_are_loaded_alike(kind, slow_periods, seed):
    # Guards against slow engines that hold twice as much work as the others,
    # which callers wait for.
    before, after = (
        play(
            kind,
            rule,
            SPEEDS * 3,
            0.6,
            slow_periods=slow_periods,
            seed=seed,
        )
        for rule in ('equal', 'learnt')
    )
    # With this load, prefill engines hold less than one prompt each, and the
    # fastest do most: that is as it should be.
    if kind != 'prefill':
        assert after.busiest < 0.8 * before.busiest
    assert after.mean_ms < 0.95 * before.mean_ms
    assert after.p95_ms < 0.95 * before.p95_ms
    assert min(after.served.values()) > 0


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('kind', KINDS)
def test_slow_targets_are_used_near_the_limit_of_all(kind, seed):
    # Guards against a choice of fast engines that wastes the capacity of slow
    # ones when all are needed.
    before, after = (
        play(kind, rule, SPEEDS * 3, 0.9, seed=seed)
        for rule in ('equal', 'learnt')
    )
    assert after.busiest < 0.8 * before.busiest
    assert after.mean_ms < 1.15 * before.mean_ms
    assert after.p95_ms < before.p95_ms
    slowest = min(after.served.values())
    assert slowest > 0.2 * max(after.served.values())


@pytest.mark.parametrize('stated', [0.01, 2.5, 1000])
def test_wrong_figure_costs_little(stated):
    # Guards against a target that attracts all requests, or is left out, by
    # what it states.
    right = Play([1] * 6, 'learnt', **KINDS['plain'])
    wrong = Play([1] * 6, 'learnt', **KINDS['plain'])
    wrong.wrong = {'i-0': stated}
    expected, found = right.run(0.7, 20), wrong.run(0.7, 20)
    assert found.mean_ms < 1.25 * expected.mean_ms
    assert found.served['i-0'] > 0


def test_new_process_of_another_speed_is_learnt():
    # Guards against a restarted engine on another machine that keeps the name
    # of a slow one.
    played = Play(SPEEDS * 3, 'learnt', **KINDS['plain'])
    slow = played.run(0.7, 10).served['i-0']
    played.restart('i-0', 1.6)
    fast = played.run(0.7, 10).served['i-0']
    assert fast - slow > 2 * slow


def play_fleet(kind, rule, speeds, utilisation, seed):
    played = FleetPlay(24, speeds, rule, seed=seed, **KINDS[kind])
    return played.run(utilisation, 15), played.shed / played.sent


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('utilisation', [0.2, 0.5, 0.8])
@pytest.mark.parametrize('kind', ['plain', 'decode'])
def test_gateways_do_not_all_send_to_the_fastest_target(
    kind, utilisation, seed
):
    # Guards against gateways that hear of each other's requests only with the
    # reports, and overfill the target that looks best to all of them.
    before, shed_before = play_fleet(
        kind, 'equal', SPEEDS * 2, utilisation, seed
    )
    after, shed_after = play_fleet(
        kind, 'learnt', SPEEDS * 2, utilisation, seed
    )
    assert after.mean_ms < before.mean_ms
    assert after.p95_ms < 1.05 * before.p95_ms
    assert shed_after < shed_before + 0.05


@pytest.mark.parametrize('utilisation', [0.2, 0.5, 0.8])
@pytest.mark.parametrize('kind', ['plain', 'decode'])
def test_equal_targets_of_several_gateways_serve_as_without_speeds(
    kind, utilisation
):
    # Guards against queues at single targets that are taken for slowness.
    before, shed_before = play_fleet(kind, 'equal', [1] * 6, utilisation, 1)
    after, shed_after = play_fleet(kind, 'learnt', [1] * 6, utilisation, 1)
    assert after.mean_ms < 1.05 * before.mean_ms
    assert shed_after < shed_before + 0.05


def test_gateway_learns_from_its_responses_and_streams(tmp_path):
    # Guards against times that are not recorded, so that slow machines are
    # never found.
    with run_site(tmp_path) as site:
        (gateway,) = site.start_gateways('front-a-1')
        for name, engine in site.engines.items():
            engine.event_count = 20
            is_slow = name in {'i-till-1', 'i-dec-1'}
            engine.processing_s = 0.12 if is_slow else 0.03
            engine.event_interval_s = 0.02 if is_slow else 0.005

        def send(number):
            call(gateway, '/read/x', f'plain-{number}')
            headers = prompt_headers(shared=50, output=40)
            call(gateway, '/quick/x', f'stream-{number}', **headers)

        with ThreadPoolExecutor(6) as pool:
            list(pool.map(send, range(48)))
        log = gateway.read_log()
        for name in ('i-till-1', 'i-dec-1'):
            rows = [
                line
                for line in log.splitlines()
                if 'event=target_speed' in line and f'target={name}' in line
            ]
            assert rows, name
            assert float(rows[0].split('slowness=')[1].split()[0]) > 1
