"""Settings that change while a gateway is running."""

import time

import pytest
import yaml
from expression import Error, Ok

from peridotrill.findings import Finding
from peridotrill.gateway.settings_watcher import SettingsWatcher
from tests.gateway_builders import RecordingLog
from tests.gateway_site import SIGHUP, call, run_site, wait_until


@pytest.fixture
def site(tmp_path):
    with run_site(tmp_path) as running:
        yield running


def change_bounds(gateway, **bounds):
    settings = yaml.safe_load(gateway.settings_path.read_text())
    settings['bounds'].update(bounds)
    gateway.settings_path.write_text(yaml.safe_dump(settings))


def test_changed_file_is_in_force_without_a_signal(site):
    # Guards against a gateway that accepts withdrawn keys for the time allowed
    # by its initial setting after that setting was lowered.
    (gateway,) = site.start_gateways('front-a-1', **{'revoke-ms': 30000})
    change_bounds(gateway, **{'revoke-ms': 1500, 'lease-ms': 9000})
    wait_until(lambda: 'settings_reloaded' in gateway.read_log(), 4)
    assert 'applied=revoke_ms at_next_start=bounds' in gateway.read_log()
    gateway.store_proxy.hold()
    held_s = time.monotonic()
    wait_until(lambda: call(gateway, '/pay/x', 's').status_code == 503, 4)
    assert time.monotonic() - held_s < 3


def test_signal_for_an_invalid_file_leaves_the_settings_in_force(site):
    # Guards against a process that ends, or that serves without limits, because
    # of an invalid settings file.
    (gateway,) = site.start_gateways('front-a-1')
    gateway.settings_path.write_text('node: [')
    gateway.signal(SIGHUP)
    wait_until(lambda: 'settings_invalid' in gateway.read_log(), 3)
    assert call(gateway, '/pay/x', 'after').status_code == 200


def make_watcher(tmp_path, answers):
    path = tmp_path / 'settings.yaml'
    path.write_text('first')
    applied = []
    log = RecordingLog()
    watcher = SettingsWatcher(
        path, lambda _: answers.pop(0), 'old', applied.append, log
    )
    return path, watcher, applied, log


def test_unchanged_bytes_are_not_read_again(tmp_path):
    # Guards against decoding the unchanged file at every poll.
    _, watcher, applied, log = make_watcher(tmp_path, [Ok('old')])
    watcher.check()
    watcher.check()
    watcher.check(is_requested=True)
    assert applied == []
    assert [event for event, _ in log.events] == ['settings_unchanged']


def test_change_before_the_first_check_is_applied(tmp_path):
    # Guards against missing a change between the start of the process, which
    # reads the file, and the first check of the watcher.
    _, watcher, applied, _ = make_watcher(tmp_path, [Ok('changed')])
    watcher.check()
    assert applied == ['changed']


def test_findings_are_logged_and_the_next_change_is_applied(tmp_path):
    # Guards against a watcher that stops at the first invalid file.
    finding = Finding('settings.yaml', 1, 1, 'invalid', 'not a table')
    answers = [Error([finding]), Ok('new')]
    path, watcher, applied, log = make_watcher(tmp_path, answers)
    path.write_text('second')
    watcher.check()
    path.write_text('third')
    watcher.check()
    assert applied == ['new']
    assert 'not a table' in log.events[0][1]['findings']


def test_temporarily_missing_file_changes_nothing(tmp_path):
    # Guards against a task that ends while the file is being replaced.
    path, watcher, applied, log = make_watcher(tmp_path, [Ok('old')])
    path.unlink()
    watcher.check()
    path.write_text('first')
    watcher.check()
    assert applied == []
    assert [event for event, _ in log.events] == ['settings_unreadable']
