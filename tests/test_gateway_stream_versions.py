"""Streams at a service whose engines run several software versions."""

import itertools
import re
import time

import httpx
import pytest

from peridotrill.gateway.peers import rank_for_key
from peridotrill.gateway.stream_origins import digest_request
from peridotrill.platform.names import STREAMS_TOPIC, VERSIONS_TOPIC
from standins.platform_engine import ScriptedEngine
from tests.gateway_builders import (
    HOST,
    configuration_document,
    prompt_headers,
    route_row,
)
from tests.gateway_site import (
    DECODE,
    SIGCONT,
    SIGKILL,
    SIGSTOP,
    call,
    run_site,
    wait_until,
)

_numbers = itertools.count()
# Longer than the interval of the reports between gateways.
_REPORT_DELAY_S = 0.4
# Longer than that and the interval in which the coordinator archives streams.
_ARCHIVE_DELAY_S = 1.0
_OLD, _NEW = 'v1', 'v2'
# Attempts break after two events: the second one ends a stream of four events
# and breaks a stream of five.
_ONE_BREAK, _TWO_BREAKS = 4, 5


def mixed_engines(**versions):
    engines = [
        ScriptedEngine('i-till-1', 'till', 'a'),
        ScriptedEngine('i-pre', 'llm', 'a', 'prefill'),
    ]
    for name, version in versions.items():
        engine = ScriptedEngine(f'i-{name}', 'llm', 'a', DECODE)
        engine.software_version = version
        engines.append(engine)
    return tuple(engines)


@pytest.fixture
def mixed_site(tmp_path):
    engines = mixed_engines(d1=_OLD, d2=_NEW, d3=_OLD, d4=_NEW)
    with run_site(tmp_path, engines) as site:
        site.start_gateways('front-a-1', 'front-b-1')
        yield site


@pytest.fixture
def uniform_site(tmp_path):
    engines = mixed_engines(d1=_OLD, d2=_OLD)
    with run_site(tmp_path, engines) as site:
        site.start_gateways('front-a-1', 'front-b-1')
        yield site


def set_faults(site, events, *faults):
    for engine in site.engines.values():
        if engine.role == DECODE:
            engine.event_count = events
            engine.plan = list(faults)


def quick(gateway, request_id, **headers):
    return call(
        gateway, '/quick/x', request_id, **prompt_headers(50), **headers
    )


def break_stream(site, gateway):
    """Begin a stream that breaks after its fourth event; return its id."""
    request_id = f'broken-{next(_numbers)}'
    set_faults(site, _TWO_BREAKS, 'cut', 'cut')
    with pytest.raises(httpx.RemoteProtocolError):
        quick(gateway, request_id)
    set_faults(site, _TWO_BREAKS)
    return request_id


def take_up(gateway, begun_id, after='4'):
    request_id = f'taken-up-{next(_numbers)}'
    headers = {'Last-Event-Id': after, 'Resumes': begun_id}
    return request_id, quick(gateway, request_id, **headers)


def versions(site, *request_ids):
    return {
        site.engines[name].software_version
        for request_id in request_ids
        for name in site.runs(request_id)
    }


def is_received(site, request_id):
    return any(
        row.get('x-peridotrill-request-id') == request_id
        for engine in site.engines.values()
        for row in engine.received
    )


def read_logs(site):
    return ''.join(gateway.read_log() for gateway in site.gateways.values())


def restart_all(site):
    """Kill all gateways at the same moment and start them again."""
    gateways = list(site.gateways.values())
    for gateway in gateways:
        gateway.signal(SIGKILL)
    for gateway in gateways:
        gateway.start_after(gateway.process)
    for gateway in gateways:
        gateway.wait_ready()


def test_broken_stream_continues_at_its_version(mixed_site):
    # Guards against one response with events of two versions (ORDER).
    gateway = mixed_site.gateways['front-a-1']
    for _ in range(10):
        request_id = f'one-{next(_numbers)}'
        set_faults(mixed_site, _ONE_BREAK, 'cut')
        response = quick(gateway, request_id)
        assert response.text.count('data: token') == _ONE_BREAK
        assert len(mixed_site.runs(request_id)) == 2
        assert len(versions(mixed_site, request_id)) == 1


def test_stream_goes_on_at_its_version_at_another_gateway(mixed_site):
    # Guards against a gateway that does not know which version began the stream
    # that a caller takes up.
    first, second = mixed_site.gateways.values()
    for gateways in ((first, second), (second, first)) * 4:
        begun_id = break_stream(mixed_site, gateways[0])
        time.sleep(_REPORT_DELAY_S)
        request_id, response = take_up(gateways[1], begun_id)
        assert response.status_code == 200
        assert len(versions(mixed_site, begun_id, request_id)) == 1


def test_restarted_gateway_learns_which_version_began_a_stream(mixed_site):
    # Guards against streams that are refused or mixed after the gateway that
    # served them was killed.
    gateway = mixed_site.gateways['front-a-1']
    begun_ids = [break_stream(mixed_site, gateway) for _ in range(6)]
    time.sleep(_REPORT_DELAY_S)
    gateway.signal(SIGKILL)
    gateway.start_after(gateway.process)
    gateway.wait_ready()
    for begun_id in begun_ids:
        request_id, response = take_up(gateway, begun_id)
        assert response.status_code == 200
        assert len(versions(mixed_site, begun_id, request_id)) == 1


def test_stream_goes_on_after_its_gateway_was_killed_at_once(mixed_site):
    # Guards against short streams that only the killed gateway knew of (LOST).
    gateways = list(mixed_site.gateways.values())
    for number in range(8):
        killed, other = gateways[number % 2], gateways[1 - number % 2]
        begun_id = break_stream(mixed_site, killed)
        killed.signal(SIGKILL)
        request_id, response = take_up(other, begun_id)
        assert response.status_code == 200
        assert len(versions(mixed_site, begun_id, request_id)) == 1
        killed.start_after(killed.process)
        killed.wait_ready()


def test_stream_goes_on_after_its_gateway_froze_at_once(mixed_site):
    # Guards against short streams that only a frozen gateway knows of (LOST).
    frozen, other = mixed_site.gateways.values()
    for _ in range(8):
        begun_id = break_stream(mixed_site, frozen)
        frozen.signal(SIGSTOP)
        request_id, response = take_up(other, begun_id)
        frozen.signal(SIGCONT)
        assert response.status_code == 200
        assert len(versions(mixed_site, begun_id, request_id)) == 1


def test_stream_goes_on_while_the_store_is_down(mixed_site):
    # Guards against take-ups that only the store can answer (LOST).
    killed, other = mixed_site.gateways.values()
    for gateway in (killed, other):
        gateway.store_proxy.cut()
    begun_id = break_stream(mixed_site, killed)
    killed.signal(SIGKILL)
    request_id, response = take_up(other, begun_id)
    assert response.status_code == 200
    assert len(versions(mixed_site, begun_id, request_id)) == 1


def test_stream_goes_on_at_its_version_after_the_loss_of_all_gateways(
    mixed_site,
):
    # Guards against sound streams that are refused because nothing but the
    # gateways knew which version began them (LOST).
    gateway = mixed_site.gateways['front-a-1']
    # A second loss follows within a lease duration of the first one, so that no
    # gateway holds the lease when the streams begin.
    wait_until(lambda: 'lease_taken' in read_logs(mixed_site))
    restart_all(mixed_site)
    begun_ids = [break_stream(mixed_site, gateway) for _ in range(6)]
    time.sleep(_ARCHIVE_DELAY_S)
    restart_all(mixed_site)
    for begun_id in begun_ids:
        request_id, response = take_up(gateway, begun_id)
        assert response.status_code == 200
        assert len(versions(mixed_site, begun_id, request_id)) == 1


def test_stream_of_unknown_version_is_refused_after_the_loss_of_all_gateways(
    mixed_site,
):
    # Guards against streams that are joined from two versions by gateways that
    # know nothing of them, because the store has lost what they wrote.
    gateway = mixed_site.gateways['front-a-1']
    begun_id = break_stream(mixed_site, gateway)
    for running in mixed_site.gateways.values():
        running.stop()
    mixed_site.store.topics.pop(STREAMS_TOPIC, None)
    restart_all(mixed_site)
    request_id, response = take_up(gateway, begun_id)
    assert response.status_code == 503
    assert response.json() == {'error': 'stream_version_unknown'}
    assert not is_received(mixed_site, request_id)


def test_version_that_has_just_left_is_remembered_by_the_store(mixed_site):
    # Guards against gateways that start after a version has left, and take the
    # remaining one for the only one.
    gateway = mixed_site.gateways['front-a-1']
    begun_id = break_stream(mixed_site, gateway)
    began_at = versions(mixed_site, begun_id).pop()
    for name, engine in mixed_site.engines.items():
        if engine.role == DECODE and engine.software_version == began_at:
            mixed_site.remove(name)
    restart_all(mixed_site)
    request_id, response = take_up(gateway, begun_id)
    assert response.status_code == 503
    assert not is_received(mixed_site, request_id)


def test_stream_of_the_only_version_goes_on_after_the_loss_of_all_gateways(
    uniform_site,
):
    # Guards against refusals where no second version can have written.
    gateway = uniform_site.gateways['front-a-1']
    wait_until(lambda: uniform_site.store.topics[VERSIONS_TOPIC])
    begun_id = break_stream(uniform_site, gateway)
    restart_all(uniform_site)
    assert take_up(gateway, begun_id)[1].status_code == 200


def test_stream_is_refused_at_once_without_engines_of_its_version(mixed_site):
    # Guards against streams that wait until their deadline for a version that
    # has left, or go on at another one.
    gateway = mixed_site.gateways['front-a-1']
    begun_id = break_stream(mixed_site, gateway)
    began_at = versions(mixed_site, begun_id).pop()
    for name, engine in mixed_site.engines.items():
        if engine.role == DECODE and engine.software_version == began_at:
            mixed_site.register(name, state='draining')
    wait_until(lambda: gateway.read_log().count('leaving=True') == 2, 3)
    started_s = time.monotonic()
    request_id, response = take_up(gateway, begun_id)
    assert time.monotonic() - started_s < 1
    assert response.status_code == 503
    assert response.json() == {'error': 'no_target'}
    assert not mixed_site.runs(request_id)


def collect_versions(site, gateway, until_s):
    """Send streams until then; return the versions of the events of each."""
    found = []
    while time.monotonic() < until_s:
        request_id = f'restarted-{next(_numbers)}'
        try:
            response = quick(gateway, request_id)
        except httpx.RemoteProtocolError:
            continue
        found.append(set(re.findall('^: (.+)$', response.text, re.MULTILINE)))
    return found


@pytest.mark.parametrize('before', [(_OLD, _NEW, _OLD, _NEW), (_OLD,) * 4])
def test_engine_that_starts_again_is_not_taken_for_its_old_version(
    tmp_path, before
):
    # Guards against a stream of a new process that counts as begun by the version
    # in the record of the process before it (ORDER).
    named = dict(zip(('d1', 'd2', 'd3', 'd4'), before, strict=True))
    with run_site(tmp_path, mixed_engines(**named)) as site:
        (gateway,) = site.start_gateways('front-a-1')
        for engine in site.engines.values():
            engine.names_version = True
        collect_versions(site, gateway, time.monotonic() + 1)
        set_faults(site, _ONE_BREAK)
        restarted = site.engines['i-d1']
        # Each stream that begins at the new process breaks and goes on elsewhere.
        restarted.default_fault = 'cut'
        site.registration_delay_s = 3
        restarted.replace('i-d1', _NEW)
        found = collect_versions(site, gateway, time.monotonic() + 5)
        assert len(found) > 20
        assert all(len(row) == 1 for row in found)
        # It serves again once its record is known.
        assert any(
            row.get('x-peridotrill-request-id') for row in restarted.received
        )
        log = gateway.read_log()
        assert 'target=i-d1 failure=unreachable detail="process of' in log


def test_gateway_that_starts_with_an_old_record_does_not_mix_versions(
    tmp_path,
):
    # Guards against a gateway that knows one version only, because it has started
    # before the record of a restarted engine (ORDER; soak seed 512).
    with run_site(tmp_path, mixed_engines(d1=_OLD, d2=_OLD)) as site:
        begun_at, other = site.start_gateways('front-a-1', 'front-b-1')
        for engine in site.engines.values():
            engine.names_version = True
        begun_ids = [break_stream(site, begun_at) for _ in range(4)]
        time.sleep(_REPORT_DELAY_S)
        site.registration_delay_s = 4
        site.engines['i-d2'].replace('i-d2', _NEW)
        other.signal(SIGKILL)
        other.start_after(other.process)
        other.wait_ready()
        # The engine of the old version refuses, so that the new one is tried.
        site.engines['i-d1'].default_fault = 'shed'
        for begun_id in begun_ids:
            _, response = take_up(other, begun_id)
            assert f': {_NEW}' not in response.text
        site.engines['i-d1'].default_fault = 'cut'
        set_faults(site, _ONE_BREAK)
        found = collect_versions(site, other, time.monotonic() + 1.5)
        assert all(len(row) == 1 for row in found)


def test_stream_of_a_split_route_goes_on_at_its_service(tmp_path):
    # Guards against a stream that goes on at another service of its route.
    engines = mixed_engines(d1=_OLD, d2=_OLD)
    others = [
        ScriptedEngine(f'i-other-{number}', 'other', 'a', DECODE)
        for number in range(2)
    ]
    with run_site(tmp_path, (*engines, *others)) as site:
        gateways = site.start_gateways('front-a-1', 'front-b-1')
        document = configuration_document()
        split = [{'service': name, 'weight': 50} for name in ('llm', 'other')]
        row = route_row('quick', 'stream', 'llm', **{'can-resume': True})
        row.pop('service')
        model, plain = document['services']
        site.publish(
            2,
            routes=[{**row, 'split': split}],
            services=[model, {**model, 'name': 'other'}, plain],
        )
        wait_until(lambda: read_logs(site).count('version=2') >= 2)
        for number in range(8):
            killed, other = gateways[number % 2], gateways[1 - number % 2]
            begun_id = break_stream(site, killed)
            killed.signal(SIGKILL)
            request_id, response = take_up(other, begun_id)
            assert response.status_code == 200
            services = {
                site.engines[name].service
                for name in (*site.runs(begun_id), *site.runs(request_id))
            }
            assert len(services) == 1
            killed.start_after(killed.process)
            killed.wait_ready()


@pytest.mark.parametrize(
    'headers',
    [
        {'Last-Event-Id': '4', 'Resumes': 'never-seen'},
        {'Last-Event-Id': '4'},
        {'Resumes': 'never-seen'},
    ],
)
def test_unknown_stream_is_refused_while_two_versions_serve(
    mixed_site, headers
):
    # Guards against a guess where the version cannot be known.
    request_id = f'unknown-{next(_numbers)}'
    response = quick(mixed_site.gateways['front-a-1'], request_id, **headers)
    assert response.status_code == 503
    assert response.json() == {'error': 'stream_version_unknown'}
    assert not is_received(mixed_site, request_id)


@pytest.mark.parametrize(
    'headers',
    [
        {'Last-Event-Id': '4', 'Resumes': 'x' * 300},
        {'Last-Event-Id': '4', 'Resumes': 'a b'},
        {'Last-Event-Id': '9' * 300, 'Resumes': 'known'},
    ],
)
def test_malformed_resumption_is_rejected(mixed_site, headers):
    # Guards against ids that are not bounded in the memory of all gateways.
    request_id = f'malformed-{next(_numbers)}'
    response = quick(mixed_site.gateways['front-a-1'], request_id, **headers)
    assert response.status_code == 400
    assert not is_received(mixed_site, request_id)


def test_stream_that_lacks_only_its_end_can_be_taken_up(uniform_site):
    # Guards against a caller that has all events and gets an error, and against
    # sound engines that count as broken for it.
    gateway = uniform_site.gateways['front-b-1']
    set_faults(uniform_site, _TWO_BREAKS)
    assert quick(gateway, 'begun').text.count('data: token') == _TWO_BREAKS
    _, response = take_up(gateway, 'begun', after=str(_TWO_BREAKS))
    assert (response.status_code, response.text) == (200, '')
    assert 'event=attempt_failed' not in gateway.read_log()


def test_version_that_has_just_registered_may_have_begun_a_stream(tmp_path):
    # Guards against a gateway whose records are a second old, and that continues
    # a stream of the version it has not read of at the one it knows (ORDER).
    nodes = [f'front-{name}-1' for name in 'abcdef']
    with run_site(tmp_path, mixed_engines(d1=_OLD, d2=_OLD, d3=_NEW)) as site:
        for engine in site.engines.values():
            engine.names_version = True
        site.remove('i-d3')
        bounds = {'drain-ms': 1000}
        begun_at, *_, other = site.start_gateways(*nodes, **bounds)
        wait_until(lambda: site.store.topics[VERSIONS_TOPIC])
        restart_all(site)
        other.store_proxy.hold()
        site.register('i-d3')
        wait_until(lambda: f'software={_NEW}' in begun_at.read_log())
        set_faults(site, _TWO_BREAKS, 'shed')
        site.engines['i-d3'].plan = ['cut']
        begun_id = next(
            name
            for name in map('unheld-{}'.format, itertools.count())
            if other.node not in _holders(name, [*nodes[1:]])
        )
        with pytest.raises(httpx.RemoteProtocolError):
            quick(begun_at, begun_id)
        assert versions(site, begun_id) == {_NEW}
        begun_at.signal(SIGKILL)
        set_faults(site, _TWO_BREAKS)
        request_id, response = take_up(other, begun_id, after='2')
        assert versions(site, request_id) <= {_NEW}

        assert response.status_code in {200, 503}


def _holders(request_id, nodes):
    digest = digest_request('growers', request_id)
    return rank_for_key(nodes, str(digest), 4)


def leave_after_first_event(gateway, request_id, act=lambda: None):
    """Send a stream whose caller closes its connection; the gateway resets its."""
    headers = {
        'Host': HOST,
        'X-Peridotrill-Request-Id': request_id,
        'X-Peridotrill-Deadline-Ms': '3000',
        'Authorization': 'Bearer key-g',
        **prompt_headers(50),
    }
    url = f'{gateway.url}/quick/x'
    with httpx.stream('POST', url, headers=headers, content=b'body') as found:
        next(found.iter_bytes())
        act()


def test_process_that_starts_without_connections_is_not_taken_for_its_former(
    tmp_path,
):
    # Guards against a restart that ends no connection of this gateway, as it had
    # reset its own, and streams that count as begun by the old version (ORDER).
    with run_site(tmp_path, mixed_engines(d1=_OLD, d2=_OLD)) as site:
        (gateway,) = site.start_gateways('front-a-1', is_first_start=True)
        restarted, other = site.engines['i-d1'], site.engines['i-d2']
        for engine in site.engines.values():
            engine.names_version = True
        restarted.event_interval_s = 0.2
        other.default_fault = 'shed'
        leave_after_first_event(gateway, 'left')
        wait_until(lambda: restarted.cancelled)
        restarted.event_interval_s = 0.005
        site.registration_delay_s = 4
        restarted.replace('i-d1', _NEW)
        time.sleep(1)
        other.default_fault = ''
        restarted.default_fault = 'cut'
        set_faults(site, _ONE_BREAK)
        found = collect_versions(site, gateway, time.monotonic() + 2)
        assert {_OLD} in found
        assert all(len(row) == 1 for row in found)
