"""Detection of target processes that end while they run requests."""

from datetime import timedelta

import anyio

from peridotrill.clock import ManualClock
from peridotrill.target_crashes import CrashDetector, Exposure
from tests.gateway_builders import RecordingLog

PROCESS = 'i-1@127.0.0.1:9000/1'
EXPOSURE = Exposure(('p1',), 0.0)


class Detector:
    def __init__(self):
        self.clock = ManualClock()
        self.log = RecordingLog()
        self.crashes = []
        self.detector = CrashDetector(self.clock, self.log)
        self.detector.on_crash = self.crashes.append

    def check(self, is_refused):
        async def answer():
            return is_refused

        anyio.run(self.detector.check, PROCESS, answer)


def test_refused_connection_after_broken_attempts_is_a_crash():
    # Guards against crashes that are taken for resets of the network.
    site = Detector()
    assert site.detector.record_broken(PROCESS, EXPOSURE)
    assert not site.detector.record_broken(PROCESS, None)
    site.check(is_refused=True)
    (crash,) = site.crashes
    assert crash.process == PROCESS
    assert crash.exposures == (EXPOSURE,)
    ((event, fields),) = site.log.events
    assert event == 'target_crashed'
    assert (fields['attempts'], fields['unproven']) == (2, 1)


def test_reset_connections_of_a_running_target_are_no_crash():
    # Guards against requests that are blamed for resets of the network.
    site = Detector()
    site.detector.record_broken(PROCESS, EXPOSURE)
    site.check(is_refused=False)
    assert not site.crashes
    site.clock.advance(timedelta(seconds=11))
    site.detector.record_end(PROCESS, 'record replaced or removed')
    assert not site.crashes


def test_target_that_stops_without_broken_attempts_is_no_crash():
    # Guards against planned stops that count as crashes.
    site = Detector()
    site.detector.record_end(PROCESS, 'connection refused')
    assert not site.crashes


def test_attempt_that_breaks_after_the_crash_is_known_belongs_to_it():
    # Guards against the loss of requests whose connections close last.
    site = Detector()
    site.detector.record_broken(PROCESS, EXPOSURE)
    site.detector.record_end(PROCESS, 'connection refused')
    late = Exposure(('p2',), 0.0)
    assert not site.detector.record_broken(PROCESS, late)
    assert [crash.exposures for crash in site.crashes] == [
        (EXPOSURE,),
        (late,),
    ]
    assert site.crashes[0].ended_s == site.crashes[1].ended_s
    assert site.detector.crashes == 1
