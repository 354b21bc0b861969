"""Faults of the control plane: usage reports, configuration and keys."""

import re
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from functools import partial
from threading import Event

import httpx
import pytest

from tests.callers import StreamCall, auth_headers, completion_request
from tests.cluster import SERVICES, join, run_cluster, split
from tests.observer import read_error
from tests.processes import wait_for

APPLY_TIMEOUT_S = 5.0
# An entry that has not read the log for 5 s refuses requests with an API key.
# A read can last 2 s longer, and the test needs some time to observe it.
STALE_TIMEOUT_S = 9.0
LEASE_TTL_S = 6.0
KEPT_RECORDS = 150
TEAM_NAMES = ('alpha', 'beta', 'gamma')
SHORT_WINDOWS = {
    'usage_window': '2s',
    'usage_grace': '500ms',
    'usage_flush': '200ms',
}


@pytest.fixture(scope='module')
def pool():
    with ThreadPoolExecutor(16) as threads:
        yield threads


@pytest.fixture(scope='module')
def clusters(tmp_path_factory, pool):
    with ExitStack() as stack:

        def start(name, **settings):
            folder = tmp_path_factory.mktemp(name)
            running = run_cluster(folder, entries=3, **settings)
            cluster = stack.enter_context(running)
            cluster.keys = {team: cluster.grant(team) for team in TEAM_NAMES}
            cluster.sent = Counter()
            for entry_id in cluster.entries:
                wait_for(partial(accepts, cluster, entry_id))
            return cluster

        yield {
            'usage': pool.submit(
                start, 'usage', engines=1, plain=0, **SHORT_WINDOWS
            ),
            'control': pool.submit(
                start,
                'control',
                engines=1,
                plain=1,
                platform={'log_retention_records': KEPT_RECORDS},
                snapshot_interval='1s',
                **SHORT_WINDOWS,
            ),
        }


@pytest.fixture(scope='module', autouse=True)
def usage_faults(clusters, pool):
    """Run the faults of reports in sequence, parallel to the other tests."""
    done = [clusters['usage']]

    def run(fault, before):
        cluster = before.result()
        fault(cluster)
        return cluster

    for fault in USAGE_FAULTS.values():
        done.append(pool.submit(run, fault, done[-1]))
    return dict(zip(USAGE_FAULTS, done[1:]))


@pytest.fixture(scope='module')
def control(clusters):
    cluster = clusters['control'].result()
    cluster.version = version(cluster, 'entry-1')
    return cluster


def ask(cluster, entry_id, path='v1/models', key=None):
    return cluster.client.get(
        f'{cluster.entry_urls[entry_id]}/{path}',
        headers=auth_headers(key or cluster.keys['alpha']),
    )


def accepts(cluster, entry_id, key=None):
    return ask(cluster, entry_id, key=key).is_success


def refusal(response):
    return response.status_code, read_error(response.json()).get('code')


# Configuration.


def with_open_route(name):
    return {'till': SERVICES['till'].replace('/health', f'/{name}')}


def version(cluster, entry_id):
    """Return the version that an entry applies, None if it refuses."""
    try:
        seen = cluster.status(entry_id)
    except httpx.TransportError:
        return None
    return None if seen['refusal'] else seen['config_version']


def wait_version(cluster, expected, entry_ids, timeout_s=APPLY_TIMEOUT_S):
    for entry_id in entry_ids:
        wait_for(
            lambda entry=entry_id: version(cluster, entry) == expected,
            timeout_s,
            f'version {expected} at {entry_id}',
        )


def publish(cluster, name):
    return cluster.publish(with_open_route(name), cluster.version)


def test_one_of_two_concurrent_publishes_wins_at_all_entries(control, pool):
    # Guards against two concurrent changes that both win or both fail, or of
    # which different ones apply at different entries.
    for number in range(3):
        names = (f'left-{number}', f'right-{number}')
        offsets = list(pool.map(partial(publish, control), names))
        control.version = min(offsets)
        winner = names[offsets.index(control.version)]
        wait_version(control, control.version, control.entries)
        wait_for(lambda: has_applied(control, max(offsets)))
        for entry_id in control.entries:
            answered = [ask(control, entry_id, it).is_success for it in names]
            assert answered == [it == winner for it in names]


def has_applied(cluster, offset):
    return all(
        cluster.status(it)['log_offset'] >= offset for it in cluster.entries
    )


def watch_versions(cluster, entry_id, stop):
    """Return the versions that an entry applied, polled until ``stop``."""
    seen = []
    while not stop.wait(0.02):
        seen.append(version(cluster, entry_id))
    return [it for it in seen if it is not None]


def snapshot_offset(cluster):
    pattern = r'event=snapshot_written .*through_offset=(\d+)'
    outputs = [entry.output() for entry in cluster.entries.values()]
    return max(map(int, re.findall(pattern, '\n'.join(outputs))), default=0)


def expire_early_records(cluster):
    for _ in range(2 * KEPT_RECORDS):
        offset = cluster.append(
            {'kind': 'entry_renewed', 'entry_id': 'none', 'incarnation': ''}
        )
    return offset


def test_isolated_entry_refuses_and_no_version_goes_back(control, pool):
    # Guards against an entry that accepts a withdrawn key or applies an old
    # version after a pause, a partition, or a start without the early records.
    stop = Event()
    watched = [
        pool.submit(watch_versions, control, it, stop) for it in control.entries
    ]
    key = control.grant('beta', 'late')
    for entry_id in control.entries:
        wait_for(partial(accepts, control, entry_id, key))
    stream = StreamCall(control.entry_urls['entry-3'], key, 'long', 4000)
    stream.wait_tokens(5)
    control.entries['entry-1'].pause()
    control.log_proxies['entry-2'].cut()
    # Long polls in flight end without records before the key is withdrawn.
    stop.wait(2.5)
    control.withdraw('late')
    control.version = publish(control, 'after-partition')
    dropped_offset = expire_early_records(control)
    waiting = [
        pool.submit(ask, control, 'entry-1', 'v1/models', key) for _ in range(3)
    ]
    assert stream.wait_end(APPLY_TIMEOUT_S).code == 'key_withdrawn'
    assert refusal(ask(control, 'entry-3', key=key))[0] == 401
    wait_version(control, control.version, ['entry-3'])
    wait_for(
        lambda: not accepts(control, 'entry-2'), STALE_TIMEOUT_S, 'refusal'
    )
    assert refusal(ask(control, 'entry-2', key=key)) == (
        503,
        'entry_unavailable',
    )
    # Only entry-3 has read the expired records. As the new holder of the
    # lease `snapshot`, it must write a snapshot of them before it is killed.
    wait_for(lambda: snapshot_offset(control) >= dropped_offset, 20)
    control.entries['entry-1'].resume()
    control.log_proxies['entry-2'].heal()
    assert 200 not in [it.result().status_code for it in waiting]
    control.entries['entry-3'].kill()
    control.start_entry('entry-3')
    wait_version(control, control.version, control.entries, timeout_s=20)
    for entry_id in control.entries:
        assert refusal(ask(control, entry_id, key=key))[0] == 401
        assert 'snapshot_restored' in control.entries[entry_id].output()
    stop.set()
    for future in watched:
        seen = future.result()
        assert seen == sorted(seen)
        assert seen[-1] == control.version


def restart_with_peers(cluster):
    cluster.entries['entry-3'].kill()
    cluster.entry_settings['peers'] = ','.join(
        join(split(cluster.control_urls[it])) for it in ('entry-1', 'entry-2')
    )
    cluster.start_entry('entry-3')


def test_log_outage_longer_than_all_leases(control):
    # Guards against requests that fail during a log outage, against an entry
    # that serves requests without knowing the keys, and against entries that
    # do not recover once the log is available again.
    control.switch_platform(log='down', vms='down', usage='down')
    restart_with_peers(control)
    old = [it for it in control.entries if it != 'entry-3']
    wait_for(
        lambda: (
            all(
                accepts(control, it) or pytest.fail(f'{it} refuses')
                for it in old
            )
            and all(control.log_age_s(it) > LEASE_TTL_S + 1 for it in old)
        ),
        timeout_s=30,
        description='a long outage',
    )
    # entry-3 has the state of its peers, but no share without the log.
    assert control.status('entry-3')['config_version'] == control.version
    assert not control.is_serving('entry-3')
    for path in ('v1/models', 'after-partition'):
        assert refusal(ask(control, 'entry-3', path)) == (
            503,
            'entry_unavailable',
        )
    count = len(reports(control))
    control.switch_platform(log='up', vms='up', usage='up')
    key = control.grant('gamma', 'after-outage')
    for entry_id in old:
        wait_for(partial(accepts, control, entry_id, key), APPLY_TIMEOUT_S)
    control.wait_ready()
    assert accepts(control, 'entry-3', key)
    send(control, control.entries)
    wait_for(lambda: len(reports(control)) > count, 20, 'usage reports')


def test_isolated_entry_catches_up_from_its_peers(control):
    # Guards against an entry that refuses requests or accepts withdrawn keys
    # although it could get the newer state from its peers.
    if 'peers' not in control.entry_settings:
        restart_with_peers(control)
        control.wait_ready()
    control.log_proxies['entry-3'].cut()
    wait_for(lambda: control.log_age_s('entry-3') > 1)
    key = control.grant('beta', 'by-peers')
    for _ in range(2):
        wait_for(partial(accepts, control, 'entry-3', key), APPLY_TIMEOUT_S)
        control.withdraw('by-peers')
        wait_for(lambda: not accepts(control, 'entry-3', key), APPLY_TIMEOUT_S)
        assert refusal(ask(control, 'entry-3', key=key))[0] == 401
        assert accepts(control, 'entry-3')
        key = control.grant('beta', 'by-peers')
    control.log_proxies['entry-3'].heal()
    assert 'peer_state_restored' in control.entries['entry-3'].output()


# Usage reports.


def send(cluster, entry_ids, count=2):
    """Send requests of all teams and count the successful ones."""
    for entry_id in entry_ids:
        for team, key in list(cluster.keys.items()) * count:
            response = cluster.client.post(
                f'{cluster.entry_urls[entry_id]}/v1/completions',
                json=completion_request('x' * 40, max_tokens=7),
                headers=auth_headers(key),
            )
            cluster.sent[team] += response.is_success


def reports(cluster):
    return cluster.observe_platform()['usage_reports']


def reported(cluster):
    """Return the sums of requests and tokens by team."""
    sums = {}
    for window in cluster.observe_platform()['usage']:
        known = sums.get(window['team'], (0, 0, 0))
        numbers = zip(known, window['figure'][1:])
        sums[window['team']] = tuple(sum(pair) for pair in numbers)
    return sums


def check_reports(cluster):
    expected = {
        team: (count, count * 10, count * 7)
        for team, count in cluster.sent.items()
    }
    try:
        wait_for(lambda: reported(cluster) == expected, timeout_s=20)
    except TimeoutError:
        assert reported(cluster) == expected
    windows = cluster.observe_platform()['usage']
    assert not any(window['conflicts'] for window in windows)
    arrived = [(row['epoch'], row['sender']) for row in reports(cluster)]
    assert arrived == sorted(arrived), 'two processes reported in turns'
    assert len(set(arrived)) == len(dict(arrived)), 'two senders in one epoch'
    assert all(sender.startswith('entry-') for _, sender in arrived)


def lose_answers(usage):
    usage.switch_platform(log='lose_answers', usage='lose_answers')
    for _ in range(3):
        send(usage, usage.entries, count=1)
    count = len(reports(usage))
    wait_for(lambda: len(reports(usage)) > count, description='a report')
    usage.switch_platform(log='up', usage='up')
    send(usage, usage.entries)
    check_reports(usage)


def fail_lease_holder(fault, usage):
    usage.switch_platform(usage='slow', slow_s=0.5)
    send(usage, usage.entries)
    count = len(reports(usage))
    wait_for(lambda: len(reports(usage)) > count, description='a report')
    sender = reports(usage)[-1]['sender']
    holder = sender.split('/')[0]
    if fault == 'pause':
        usage.entries[holder].pause()
    elif fault == 'cut':
        usage.log_proxies[holder].cut()
        send(usage, [holder], count=1)
    else:
        usage.entries.pop(holder).kill()
    others = [it for it in usage.entries if it != holder]
    send(usage, others)
    wait_for(lambda: reports(usage)[-1]['sender'] != sender, 20, 'take-over')
    if fault == 'pause':
        usage.entries[holder].resume()
    usage.log_proxies[holder].heal()
    usage.switch_platform(usage='up')
    send(usage, others)
    check_reports(usage)


USAGE_FAULTS = {
    'lose_answers': lose_answers,
    'pause': partial(fail_lease_holder, 'pause'),
    'cut': partial(fail_lease_holder, 'cut'),
    'kill': partial(fail_lease_holder, 'kill'),
}


@pytest.mark.parametrize('fault', USAGE_FAULTS)
def test_each_window_is_reported_once_with_one_figure(usage_faults, fault):
    # Guards against concurrent reports of two processes, against a window
    # with two figures, and against counts that are lost or doubled if a
    # response is lost or the lease holder fails while it reports.
    usage_faults[fault].result()
