"""A real gateway whose engines break their responses."""

import itertools
import socket
from contextlib import suppress

import httpx
import pytest

from tests.broken_engines import (
    ANSWER,
    CHUNKED,
    CLOSE,
    EMPTY,
    END,
    EVENTS,
    FAILURE,
    LAST_EVENT,
    NAMED,
    OK,
    REFUSAL,
    REFUSAL_FIELD,
    RESET,
    UNSTAMPED,
    BrokenEngines,
    LateCopy,
    caller_headers,
    chunk,
    publish_routes,
    start_engines,
)
from tests.gateway_site import call, run_site

_numbers = itertools.count()


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    with run_site(tmp_path_factory.mktemp('site')) as running:
        (running.gateway,) = running.start_gateways('front-a-1')
        running.broken = BrokenEngines()
        running.portal.call(start_engines, running, running.broken)
        publish_routes(running, running.gateway)
        yield running


@pytest.fixture
def engines(site):
    yield site.broken
    site.portal.call(site.broken.reset)


def ask(site, path):
    return call(site.gateway, path, f'broken-{next(_numbers)}')


@pytest.mark.parametrize(
    'refusal',
    [REFUSAL + EMPTY, b'HTTP/1.1 421 Misdirected\r\n' + EMPTY],
)
def test_repeated_refusal_is_not_that_of_the_next_request(
    site, engines, refusal
):
    # Guards against a payment that ran but is answered as not run, because its
    # engine wrote an earlier refusal once more.
    engines.scripts = [[ANSWER], [refusal, ANSWER]]
    assert ask(site, '/one/x').status_code == 200
    assert ask(site, '/one/x').status_code == 502
    assert len(engines.received) == 2


def test_late_refusal_is_not_that_of_the_same_request_sent_again(site, engines):
    # Guards against a payment that ran but is answered as not run: its caller
    # sent it again after a refusal, which the engine then wrote once more.
    refusal = REFUSAL + UNSTAMPED + EMPTY
    engines.scripts = [[refusal], [LateCopy(refusal), ANSWER]]
    request_id = f'broken-{next(_numbers)}'
    assert call(site.gateway, '/one/x', request_id).status_code == 503
    assert call(site.gateway, '/one/x', request_id).status_code == 200
    assert len(engines.received) == 2


def test_refusal_without_id_is_believed_on_a_new_connection(site, engines):
    # Guards against refused payments that are not sent to another engine.
    engines.scripts = [[REFUSAL + EMPTY]]
    assert ask(site, '/one/x').status_code == 503


@pytest.mark.parametrize(
    'broken',
    [
        REFUSAL.removesuffix(b'\r\n') + ANSWER,
        b'HTTP/1.1 200 O' + FAILURE,
        OK + REFUSAL_FIELD + EMPTY,
        b'HTTP/1.1 421 Mis' + ANSWER,
    ],
)
def test_head_of_two_responses_is_not_believed(site, engines, broken):
    # Guards against a refusal that is read for a payment that ran, and against
    # a success that is read for a failure.
    engines.scripts = [[broken]]
    assert ask(site, '/one/x').status_code == 502


@pytest.mark.parametrize(
    'second',
    [
        [FAILURE],
        [REFUSAL + NAMED + EMPTY],
        [OK + b'Content-Type: text/plain\r\n' + CHUNKED, chunk(b'no\n\n'), END],
        [OK + CHUNKED, END],
        [OK, CLOSE],
        [OK + b'\r\n', RESET],
        [FAILURE.replace(EMPTY, b'Content-Length: 9\r\n\r\nsorry'), CLOSE],
    ],
    ids=[
        'failure',
        'refusal',
        'other type',
        'no event',
        'cut head',
        'reset',
        'cut failure',
    ],
)
def test_broken_stream_takes_nothing_from_a_failed_resumption(
    site, engines, second
):
    # Guards against the error of another engine inside a stream, and against a
    # stream that ends as if it were complete.
    first = [OK + CHUNKED, chunk(EVENTS), RESET]
    engines.scripts = [first, second]
    received = b''
    with httpx.stream(
        'POST',
        f'{site.gateway.url}/flow/x',
        headers=caller_headers(f'broken-{next(_numbers)}'),
    ) as response:
        with pytest.raises(httpx.RemoteProtocolError):
            for part in response.iter_raw():
                received += part
    assert received == EVENTS
    assert [row[1] for row in engines.received] == [None, '2']


@pytest.mark.parametrize('ending', [RESET, CLOSE])
def test_broken_stream_is_resumed(site, engines, ending):
    # Guards against a check that breaks streams which can be resumed.
    engines.scripts = [
        [OK + CHUNKED, chunk(EVENTS), ending],
        [OK + CHUNKED, chunk(LAST_EVENT), END],
    ]
    response = ask(site, '/flow/x')
    assert response.content == EVENTS + LAST_EVENT


def test_stream_without_ids_is_not_resumed(site, engines):
    # Guards against events that are sent twice, because the next engine cannot
    # be told where to go on.
    engines.scripts = [
        [OK + CHUNKED, chunk(b'data: a\n\n'), RESET],
        [OK + CHUNKED, chunk(EVENTS), END],
    ]
    with pytest.raises(httpx.RemoteProtocolError):
        ask(site, '/flow/x')
    assert len(engines.received) == 1


@pytest.mark.parametrize(
    'steps',
    [
        [b'HTTP/1.1 20', CLOSE],
        [OK[:-30], CLOSE],
        [OK, CLOSE],
        [OK + b'\r\n', RESET],
        [OK + b'\r\nshort', RESET],
        [OK + b'Content-Length: 9\r\n\r\n', CLOSE],
        [OK + b'Content-Length: 9\r\n\r\nshort', CLOSE],
        [OK + CHUNKED, CLOSE],
        [OK + CHUNKED + b'5', CLOSE],
        [OK + CHUNKED + chunk(b'short'), CLOSE],
        [OK + CHUNKED + chunk(b'short') + b'0\r\n', CLOSE],
        [b'HTTP/1.1 103 Hints\r\n' + NAMED + b'\r\n', CLOSE],
        [b'HTTP/1.1 103 Hints\r\n' + NAMED, CLOSE],
    ],
)
def test_cut_response_is_no_success(site, engines, steps):
    # Guards against an empty or short body that looks whole, because an engine
    # stopped in its head, before its length or by a reset.
    engines.scripts = [steps]
    assert ask(site, '/one/x').status_code == 502
    assert len(engines.received) == 1


@pytest.mark.parametrize(
    'steps',
    [
        [b'HTTP/1.1 103 Hints\r\n' + NAMED + b'\r\n', ANSWER],
        [OK + b'\r\nans', b'wer', CLOSE],
        [OK + CHUNKED + chunk(b'ans'), chunk(b'wer') + END],
        [OK[:50], OK[50:] + b'Content-Length: 6\r\n\r\nans', b'wer'],
    ],
)
def test_whole_response_in_pieces_is_a_success(site, engines, steps):
    # Guards against checks that break whole responses.
    engines.scripts = [steps]
    response = ask(site, '/one/x')
    assert (response.status_code, response.text) == (200, 'answer')


def test_reset_stream_without_length_does_not_end(site, engines):
    # Guards against a reset that is taken for the end of a stream.
    engines.scripts = [[OK + b'\r\n' + EVENTS, RESET], [FAILURE]]
    with pytest.raises(httpx.RemoteProtocolError):
        ask(site, '/flow/x')
    assert len(engines.received) == 2


def test_no_head_is_written_into_a_broken_stream(site, engines):
    # Guards against an error response in the middle of a stream; HTTP clients
    # report its head only as a malformed chunk.
    engines.scripts = [[OK + CHUNKED, chunk(EVENTS), RESET], [FAILURE]]
    rows = [b'POST /flow/x HTTP/1.1', b'Content-Length: 0']
    rows += [
        f'{name}: {text}'.encode()
        for name, text in caller_headers('broken-raw').items()
    ]
    address = ('127.0.0.1', site.gateway.caller_port)
    received = b''
    with socket.create_connection(address, timeout=5) as connection:
        connection.sendall(b'\r\n'.join(rows) + b'\r\n\r\n')
        with suppress(ConnectionResetError):
            while part := connection.recv(65536):
                received += part
    assert b'data: b' in received
    assert not received.endswith(END)
    assert received.count(b'HTTP/1.1') == 1
