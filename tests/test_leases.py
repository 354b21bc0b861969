from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotrill.clock import MAX_CLOCK_DRIFT_RATIO, ManualClock
from peridotrill.control_state import ControlState
from peridotrill.leases import Lease
from peridotrill.timeline import Recorder
from tests.memory_log import MemoryLog

TTL = timedelta(seconds=6)
PROCESSES = st.integers(0, 1)
CLOCK_RATES = (1 - MAX_CLOCK_DRIFT_RATIO / 2, 1 + MAX_CLOCK_DRIFT_RATIO / 2)


class _Process:
    def __init__(self, name: str, rate: float) -> None:
        self.rate = rate
        self.clock = ManualClock()
        self.state = ControlState()
        self.in_flight: list = []
        self.start(name)

    def start(self, name: str) -> None:
        recorder = Recorder(name, self.clock)
        self.lease = Lease('usage', name, TTL, self.state, self.clock, recorder)


class LeaseStateMachine(RuleBasedStateMachine):
    """Guards against two concurrent holders, caused by pauses, clock drift,
    lost responses, delayed appends, slow readers or restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.log = MemoryLog()
        self.restarts = 0
        self.processes = [
            _Process(f'p{index}', rate)
            for index, rate in enumerate(CLOCK_RATES)
        ]

    # Durations near the lease TTL and its fractions, to cover the moments just
    # before and after expiry.
    @rule(duration_ms=st.sampled_from([100, 2100, 3900, 5900, 5994, 6007]))
    def advance(self, duration_ms):
        for process in self.processes:
            process.clock.advance(
                timedelta(milliseconds=duration_ms * process.rate)
            )

    @rule(index=PROCESSES)
    def read(self, index):
        process = self.processes[index]
        self.log.read_into(process.state)
        process.lease.update_from_state()

    @rule(index=PROCESSES, mode=st.sampled_from(['in_time', 'late', 'read']))
    def append(self, index, mode):
        process = self.processes[index]
        process.lease.update_from_state()
        record = process.lease.next_record()
        if record is None:
            return
        if mode == 'late':
            process.in_flight.append(record)
            return
        self.log.store(record)
        if mode == 'read':
            self.read(index)

    @rule(index=PROCESSES)
    def deliver_delayed(self, index):
        process = self.processes[index]
        if process.in_flight:
            self.log.store(process.in_flight.pop())

    @rule(index=PROCESSES)
    def restart(self, index):
        self.restarts += 1
        self.processes[index].state = ControlState()
        self.processes[index].start(f'p{index}-{self.restarts}')

    @invariant()
    def at_most_one_holder(self):
        holders = [
            process for process in self.processes if process.lease.is_held()
        ]
        assert len(holders) <= 1


TestLeases = LeaseStateMachine.TestCase
TestLeases.settings = settings(
    max_examples=600, stateful_step_count=20, deadline=None, derandomize=True
)


def test_lease_is_acquired_by_another_process_after_its_holder_stops():
    # Guards against a lease that no other process can claim.
    log = MemoryLog()
    one, two = _Process('one', 1), _Process('two', 1)

    def step(process):
        process.lease.update_from_state()
        record = process.lease.next_record()
        if record:
            log.store(record)
        log.read_into(process.state)
        process.lease.update_from_state()

    step(one)
    assert one.lease.is_held()
    for _ in range(20):
        for process in (one, two):
            process.clock.advance(timedelta(seconds=1))
        step(one)
        step(two)
        assert one.lease.is_held()
        assert not two.lease.is_held()
    epoch = one.lease.epoch
    for _ in range(8):
        for process in (one, two):
            process.clock.advance(timedelta(seconds=1))
        step(two)
    assert two.lease.is_held()
    assert not one.lease.is_held()
    assert two.lease.epoch > epoch


def _acquire(process, log):
    log.store(process.lease.next_record())
    log.read_into(process.state)
    process.lease.update_from_state()
    assert process.lease.is_held()


def test_unread_renewal_invalidates_a_claim():
    # Guards against two holders if a delayed renewal reaches the log just
    # before the claim of another process.
    log = MemoryLog()
    one, two = _Process('one', 1), _Process('two', 1)
    _acquire(one, log)
    log.read_into(two.state)
    two.lease.update_from_state()
    for process in (one, two):
        process.clock.advance(TTL * 0.9)
    renewal = one.lease.next_record()
    for process in (one, two):
        process.clock.advance(TTL * 0.2)
    claim = two.lease.next_record()
    log.store(renewal)
    log.store(claim)
    for process in (one, two):
        log.read_into(process.state)
        process.lease.update_from_state()
    assert one.lease.is_held()
    assert not two.lease.is_held()


def test_no_claim_before_the_lease_expires_on_a_slow_clock():
    # Guards against lease expiry that ignores clock drift.
    log = MemoryLog()
    slow, fast = (_Process(f'rate {rate}', rate) for rate in CLOCK_RATES)
    _acquire(slow, log)
    log.read_into(fast.state)
    fast.lease.update_from_state()
    step = timedelta(milliseconds=2)
    for _ in range(int(TTL / step) + 10):
        for process in (slow, fast):
            process.clock.advance(step * process.rate)
            process.lease.update_from_state()
        if slow.lease.is_held():
            assert fast.lease.next_record() is None
    assert fast.lease.next_record() is not None
