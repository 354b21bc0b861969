"""Planned work at a real gateway: signals, restarts and their overlap."""

import itertools
import signal
import socket
import threading
import time
from pathlib import Path

import pytest

from tests.gateway_builders import (
    HOST,
    configuration_document,
    prompt_headers,
)
from tests.gateway_site import (
    SIGCONT,
    SIGHUP,
    SIGSTOP,
    SIGTERM,
    call,
    run_site,
    wait_until,
)

SIGINT = signal.SIGINT
# When the gateway closes idle connections after SIGTERM, in seconds.
IDLE_CLOSE_S = 2.6

_numbers = itertools.count()


@pytest.fixture
def site(tmp_path):
    with run_site(tmp_path) as running:
        yield running


def handles_signal(process, number):
    """Tell whether the process has a handler of its own for a signal."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    caught = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('SigCgt')
    )
    return bool(int(caught, 16) >> (number - 1) & 1)


class KeptConnection:
    """A caller's connection on which several requests are sent."""

    def __init__(self, gateway):
        self._socket = socket.create_connection(
            ('127.0.0.1', gateway.caller_port), timeout=8
        )

    def send(self, content):
        self._socket.sendall(content)

    def read_some(self):
        return self._socket.recv(65536)

    def read(self):
        """Return all bytes until the connection is closed."""
        content = b''
        while part := self._socket.recv(65536):
            content += part
        return content


def format_request(path, body=b'', headers=(), deadline_ms=5000):
    rows = ''.join(f'{name}: {row}\r\n' for name, row in dict(headers).items())
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Peridotrill-Request-Id: planned-{next(_numbers)}\r\n'
        f'X-Peridotrill-Deadline-Ms: {deadline_ms}\r\n'
        f'{rows}Authorization: Bearer key-g\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def publish_long_timeouts(site, gateway):
    """Let requests take longer than a gateway waits to close connections."""
    document = configuration_document(2)
    document['limits']['header-timeout-ms'] = 5000
    for route in document['routes']:
        route['timeout-ms'] = 5000
    site.publish(**document)
    wait_until(lambda: 'version=2' in gateway.read_log())


def start_call(gateway, path):
    """Send a request in a thread; return the thread and its results."""
    results = []

    def run():
        try:
            response = call(gateway, path, f'planned-{next(_numbers)}')
        except Exception as error:  # noqa: BLE001
            results.append(error)
        else:
            results.append(response.status_code)

    thread = threading.Thread(target=run)
    thread.start()
    return thread, results


@pytest.mark.parametrize(
    'signals',
    [(SIGHUP,), (SIGTERM,), (SIGINT,), (SIGHUP, SIGTERM, SIGHUP)],
    ids=lambda signals: '+'.join(row.name for row in signals),
)
def test_signals_during_drain_lose_no_request(site, signals):
    # Guards against a default action that ends a draining process.
    (gateway,) = site.start_gateways('front-a-1')
    for engine in site.engines.values():
        engine.processing_s = 1.0
    thread, results = start_call(gateway, '/pay/x')
    wait_until(lambda: any(row.runs for row in site.engines.values()))
    gateway.signal(SIGTERM)
    for number in signals:
        time.sleep(0.05)
        gateway.signal(number)
    thread.join()
    assert results == [200]
    assert gateway.process.wait(timeout=6) == 0
    assert 'process_stopped' in gateway.read_log()


def test_several_signals_at_once_lose_no_request(site):
    # Guards against a signal that meets a process between two handlers.
    (gateway,) = site.start_gateways('front-a-1')
    for engine in site.engines.values():
        engine.processing_s = 0.5
    thread, results = start_call(gateway, '/pay/x')
    wait_until(lambda: any(row.runs for row in site.engines.values()))
    for number in (SIGHUP, SIGTERM, SIGHUP, SIGTERM) * 5:
        gateway.signal(number)
    thread.join()
    assert results == [200]
    assert gateway.process.wait(timeout=6) == 0


@pytest.mark.parametrize('number', [SIGHUP, SIGTERM])
def test_signals_are_handled_before_the_program_has_started(site, number):
    # Guards against a default action that ends a starting process.
    (gateway,) = site.start_gateways('front-a-1')
    gateway.stop()
    started = gateway.read_log().count('process_started')
    gateway.start()
    wait_until(lambda: handles_signal(gateway.process, number))
    assert gateway.read_log().count('process_started') == started
    gateway.signal(number)
    if number == SIGHUP:
        gateway.wait_ready()
        gateway.signal(SIGTERM)
    assert gateway.process.wait(timeout=10) == 0


def test_request_received_in_parts_during_drain_is_answered(site):
    # Guards against a drain that ends while a request is still being received.
    (gateway,) = site.start_gateways('front-a-1')
    publish_long_timeouts(site, gateway)
    connection = KeptConnection(gateway)
    content = format_request('/pay/x', b'body', deadline_ms=1000)
    connection.send(content[:-2])
    gateway.signal(SIGTERM)
    time.sleep(IDLE_CLOSE_S + 0.4)
    connection.send(content[-2:])
    assert connection.read().startswith(b'HTTP/1.1 200 ')
    assert gateway.process.wait(timeout=6) == 0


def test_pipelined_requests_are_all_answered_during_drain(site):
    # Guards against a connection that is closed behind the first of them.
    (gateway,) = site.start_gateways('front-a-1')
    for engine in site.engines.values():
        engine.processing_s = 0.5
    connection = KeptConnection(gateway)
    connection.send(format_request('/pay/x') + format_request('/pay/y'))
    wait_until(lambda: any(row.runs for row in site.engines.values()))
    gateway.signal(SIGTERM)
    responses = connection.read()
    assert responses.count(b'HTTP/1.1 200 ') == 2
    assert responses.count(b'Connection: close') == 1


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [('/pay/x', {}, b'502'), ('/draft/x', prompt_headers(), b'503')],
    ids=['sent', 'not sent'],
)
def test_request_unfinished_at_the_end_of_the_grace_period_gets_an_error(
    site, path, headers, status
):
    # Guards against connections that are reset when the process ends.
    (gateway,) = site.start_gateways('front-a-1', **{'grace-s': 2})
    site.engines['i-pre'].processing_s = 30
    site.plan('till', 'silent', 'silent')
    connection = KeptConnection(gateway)
    connection.send(format_request(path, headers=headers))
    wait_until(lambda: any(row.received for row in site.engines.values()))
    gateway.signal(SIGTERM)
    assert connection.read().startswith(b'HTTP/1.1 ' + status)
    assert gateway.process.wait(timeout=3) == 0


@pytest.mark.parametrize(
    ('path', 'deadline_ms', 'status', 'runs'),
    [
        ('/pay/x', 2000, b'200', 2),
        ('/pay/x', 5000, b'503', 1),
        ('/read/x', 5000, b'200', 2),
        ('/draft/x', 2000, b'200', 2),
        ('/draft/x', 5000, b'503', 1),
    ],
)
def test_request_on_a_kept_connection_during_drain_gets_a_response(
    site, path, deadline_ms, status, runs
):
    # Guards against requests that are sent to a target and then cut off.
    (gateway,) = site.start_gateways('front-a-1')
    publish_long_timeouts(site, gateway)
    for engine in site.engines.values():
        engine.event_count = 400
        engine.event_interval_s = 0.008
    connection = KeptConnection(gateway)
    connection.send(format_request('/draft/x'))
    # The response has begun, so it can't announce the end of the connection.
    begun = connection.read_some()
    gateway.signal(SIGTERM)
    time.sleep(IDLE_CLOSE_S + 0.1)
    for engine in site.engines.values():
        engine.event_count = 5
    connection.send(format_request(path, deadline_ms=deadline_ms))
    responses = begun + connection.read()
    assert responses.startswith(b'HTTP/1.1 200 ')
    assert b'0\r\n\r\nHTTP/1.1 ' + status in responses
    assert sum(len(row.runs) for row in site.engines.values()) == runs


@pytest.mark.parametrize('begun_after_s', [2.9, 3.5, 3.8, 4.1])
def test_payment_late_in_the_grace_period_is_served_whole_or_not_run(
    site, begun_after_s
):
    # Guards against a payment that is passed on and given up at the end of the
    # grace period (LOST): the caller cannot know whether it ran.
    (gateway,) = site.start_gateways('front-a-1')
    publish_long_timeouts(site, gateway)
    for engine in site.engines.values():
        engine.event_interval_s = 0.01
        engine.event_count = round(begun_after_s / engine.event_interval_s)
    connection = KeptConnection(gateway)
    connection.send(format_request('/draft/x'))
    begun = connection.read_some()
    gateway.signal(SIGTERM)
    for engine in site.engines.values():
        engine.processing_s = 1.2
    # The connection stays open as long as the stream; it is sent just before.
    time.sleep(begun_after_s - 0.3)
    connection.send(format_request('/pay/x', deadline_ms=3000))
    responses = begun + connection.read()
    status = responses.rpartition(b'HTTP/1.1 ')[2][:3]
    runs = sum(len(row.runs) for row in site.engines.values() if not row.role)
    assert (status, runs) in {(b'200', 1), (b'503', 0)}


def test_longer_idle_timeout_applies_to_open_connections(site):
    # Guards against a connection that is closed while its caller, by the newest
    # configuration, may still use it.
    (gateway,) = site.start_gateways('front-a-1')
    limits = configuration_document()['limits']
    site.publish(2, limits={**limits, 'idle-timeout-ms': 800})
    wait_until(lambda: 'version=2' in gateway.read_log())
    connection = KeptConnection(gateway)
    site.publish(3, limits={**limits, 'idle-timeout-ms': 1500})
    wait_until(lambda: 'version=3' in gateway.read_log())
    time.sleep(1)
    connection.send(format_request('/pay/x'))
    assert connection.read().startswith(b'HTTP/1.1 200 ')


def test_incomplete_request_behind_another_one_times_out(site):
    # Guards against a partial request that keeps its connection open for ever.
    (gateway,) = site.start_gateways('front-a-1')
    for engine in site.engines.values():
        engine.processing_s = 0.8
    connection = KeptConnection(gateway)
    connection.send(format_request('/pay/x') + b'POST /pay/y HTTP/1.1\r\n')
    responses = connection.read()
    assert responses.startswith(b'HTTP/1.1 200 ')
    assert b'HTTP/1.1 408 ' in responses


def test_grace_period_begins_with_a_signal_during_the_start(site):
    # Guards against a process that is killed because it drains for too long.
    (gateway,) = site.start_gateways('front-a-1', **{'grace-s': 4})
    gateway.stop()
    gateway.start()
    wait_until(lambda: handles_signal(gateway.process, SIGTERM))
    signalled_s = time.monotonic()
    gateway.signal(SIGTERM)
    time.sleep(0.05)
    # The start takes longer than usual.
    gateway.signal(SIGSTOP)
    time.sleep(2)
    gateway.signal(SIGCONT)
    assert gateway.process.wait(timeout=8) == 0
    assert time.monotonic() - signalled_s < 4


def test_request_behind_an_announced_close_is_answered(site):
    # Guards against a request that is read and dropped when the response before
    # it ends the connection.
    (gateway,) = site.start_gateways('front-a-1')
    for engine in site.engines.values():
        engine.event_count = 200
    gateway.signal(SIGTERM)
    wait_until(lambda: not gateway.is_ready())
    connection = KeptConnection(gateway)
    connection.send(format_request('/draft/x'))
    begun = connection.read_some()
    assert b'Connection: close' in begun
    connection.send(format_request('/pay/x'))
    assert (begun + connection.read()).count(b'HTTP/1.1 200 ') == 2


def test_http_1_0_stream_that_is_cut_off_gets_an_error(site):
    # Guards against a connection that is closed without any response.
    (gateway,) = site.start_gateways('front-a-1', **{'grace-s': 2})
    for engine in site.engines.values():
        engine.event_count = 4000
    connection = KeptConnection(gateway)
    request = format_request('/draft/x').replace(b'HTTP/1.1', b'HTTP/1.0')
    connection.send(request)
    wait_until(lambda: any(row.runs for row in site.engines.values()))
    gateway.signal(SIGTERM)
    assert connection.read().startswith(b'HTTP/1.1 502 ')


def test_stream_survives_all_signals_until_the_process_is_gone(site):
    # Guards against a state of the process in which a signal ends it.
    (gateway,) = site.start_gateways('front-a-1')
    for engine in site.engines.values():
        engine.event_count = 300
        engine.event_interval_s = 0.005
    connection = KeptConnection(gateway)
    connection.send(format_request('/draft/x'))
    begun = connection.read_some()
    gateway.signal(SIGTERM)
    while gateway.process.poll() is None:
        for number in (SIGHUP, SIGTERM, SIGINT):
            gateway.process.send_signal(number)
        time.sleep(0.0005)
    assert gateway.process.returncode == 0
    assert (begun + connection.read()).endswith(b'0\r\n\r\n')
