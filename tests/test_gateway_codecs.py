"""Decoders of external input: no input may end a process."""

import asyncio
import time
from datetime import timedelta

import anyio
import pytest
from expression import Result
from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.codec import encode_json
from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    CodecError,
    LogUnavailable,
    TargetOutcomeUnknown,
    TargetTimeout,
)
from peridotrill.gateway.caller_server import CallerServer, RawRequest
from peridotrill.gateway.configuration import DEFAULT_CALLER_LIMITS
from peridotrill.gateway.event_stream import MAX_EVENT_BYTES, EventStreamParser
from peridotrill.gateway.http_format import format_chunk, format_head
from peridotrill.gateway.part_directory import PartLocation
from peridotrill.gateway.peers import (
    PartListing,
    Report,
    decode_message,
    encode_message,
)
from peridotrill.gateway.requests import RequestKind
from peridotrill.gateway.role_controller import ACCEPTED
from peridotrill.gateway.connection_pool import ConnectionPool
from peridotrill.gateway.target_connections import (
    ResponseHead,
    TargetConnection,
    open_connection,
)
from peridotrill.gateway.target_http_client import (
    ConnectionTimeouts,
    TargetHttpClient,
)
from peridotrill.gateway.target_messages import RequestOptions, TargetLoad
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform import wire
from peridotrill.platform.configuration import decode_configuration
from peridotrill.platform.engine_orders import EngineOrders
from peridotrill.platform.engine_parts import decode_parts
from peridotrill.platform.node_settings import read_node_settings
from peridotrill.platform.store import (
    StoreClient,
    decode_keyed_record,
    encode_keyed_record,
    join_records,
    split_records,
)
from peridotrill.platform.target_records import decode_target
from standins.platform_engine import ScriptedEngine
from standins.platform_server import serve_http
from tests.gateway_builders import (
    RecordingLog,
    configuration_document,
    configuration_record,
    receive_budget,
    receive_limits,
    target,
)

_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


@given(st.lists(st.binary(max_size=40), max_size=5))
def test_record_framing_round_trip(records):
    assert split_records(join_records(records)) == records


@given(st.binary(max_size=60))
def test_arbitrary_framed_bytes_decode_or_raise(content):
    try:
        records = split_records(content)
    except CodecError:
        return
    assert join_records(records) == content


@given(st.binary(max_size=30))
def test_arbitrary_keyed_record_decodes_or_raises(content):
    try:
        key, rest = decode_keyed_record(content)
    except CodecError:
        return
    assert encode_keyed_record(key, rest) == content


@given(st.binary(max_size=80))
def test_arbitrary_datagram_does_not_raise(datagram):
    # Guards against a process that crashes on a stray datagram.
    decode_message(datagram)


def test_report_encoding_round_trip():
    report = Report(
        'n', 'i', 3, '127.0.0.1', 80, 1.5, False, {'t': 2.0}, {'x': 1.0},
        {7: {'t': 2}}, [], {'llm': (1.0, 2.0)}, ['i-1'],
    )  # fmt: skip
    assert decode_message(encode_message(report)) == report


@given(_json)
def test_arbitrary_target_record_decodes_or_raises(content):
    try:
        decode_target('i-1', encode_json(content))
    except CodecError:
        return


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'unknown'},
        {'slots': '8'},
        {'slots': True},
        {'slots': 0},
        {'addr': 'nowhere'},
        {'addr': None},
        {'seq': 'x'},
        {'stage': 'other'},
        {'born': 1.5},
        {'zone': 7},
        {'service': None},
        {'version': None},
        {'version': 1},
        {'version': 'v' * 300},
        {'slots': 2**63},
        {'slots': 10**400},
        {'seq': -1},
        {'seq': 10**30},
        {'born': 2**64},
        {'born': -1},
        {'addr': '10.0.0.1:0'},
        {'addr': '10.0.0.1:65536'},
        {'addr': '10.0.0.1:\u0668\u0660'},
        {'addr': '0.0.0.0:80'},
        {'addr': '224.0.0.1:80'},
        {'addr': 'fe80::1%eth0:80'},
        {'zone': 'a\r\nX-Peridotrill-Tenant: other'},
        {'zone': 'z' * 300},
    ],
)
def test_target_record_with_an_invalid_field_is_rejected(changes):
    # Guards against invalid records, written by other programs, that attract
    # requests.
    engine = ScriptedEngine('i-1', 'till', 'a')
    good = decode_target('i-1', engine.record('127.0.0.1:80'))
    assert good.service == 'till'
    assert good.role is None
    with pytest.raises(CodecError):
        decode_target('i-1', engine.record('127.0.0.1:80', **changes))


@pytest.mark.parametrize(
    'target_id', ['', 'i-1\r\nX-Peridotrill-Tenant: other', 'i' * 300, 'i-\xe9']
)
def test_target_id_that_cannot_be_sent_is_rejected(target_id):
    # Guards against headers that another writer of the records makes up.
    engine = ScriptedEngine('i-1', 'till', 'a')
    with pytest.raises(CodecError):
        decode_target(target_id, engine.record('127.0.0.1:80'))


@pytest.mark.parametrize(
    'load',
    [
        b'1,2',
        b'1,-2,3',
        b'1,2,%d' % 10**400,
        b'1,%d,3' % 2**64,
        b'1,2,3,',
        b'1,2,3,x',
        b'1,2,3,0',
        b'1,2,3,-100',
        b'1,2,3,nan',
        b'1,2,3,1e999',
        b'1,2,3,100,4',
    ],
)
def test_load_out_of_range_is_ignored(load):
    # Guards against a sum of loads that overflows and fails each placement.
    head = ResponseHead(200, [(b'x-peridotrill-engine-load', load)])
    response = wire.decode_response_head(head)
    assert response.load is None
    assert response.is_load_malformed


@pytest.mark.parametrize(
    ('load', 'slowness'),
    [(b'1,2,8', None), (b'1,2,8,100', 1), (b'1, 2, 8, 250', 2.5)],
)
def test_load_may_state_the_present_slowness(load, slowness):
    # Guards against the load of newer targets that is dropped as malformed.
    head = ResponseHead(200, [(b'x-peridotrill-engine-load', load)])
    response = wire.decode_response_head(head)
    assert response.load == TargetLoad(1, 2, 8, slowness)
    assert not response.is_load_malformed


@pytest.mark.parametrize('number', [float('nan'), float('inf')])
def test_report_without_finite_numbers_is_rejected(number):
    # Guards against clocks and sums that one stray datagram makes unusable.
    report = Report(
        'n', 'i', 3, '127.0.0.1', 80, number, False, {}, {},
        {}, [], {}, [],
    )  # fmt: skip
    assert decode_message(encode_message(report)) is None


@pytest.mark.parametrize('sequence', [10**30, -1, None])
def test_order_is_not_sent_on_an_unusable_report(sequence):
    # Guards against a coordinator that fails at each step because an engine
    # reports a number that cannot be encoded.
    engine = ScriptedEngine('i-1', 'llm', 'a', 'decode')
    engine.reported_orders = sequence

    async def change_role():
        async with serve_http(engine.handle) as address:
            record = target('i-1', TargetRole.DECODE, address=address)
            return await EngineOrders('n', 0.5, ManualClock()).change_role(
                record, TargetRole.PREFILL, 1
            )

    assert anyio.run(change_role) != ACCEPTED
    assert not engine.orders


@given(_json)
def test_arbitrary_configuration_decodes_or_raises(content):
    try:
        decode_configuration(encode_json(content))
    except CodecError:
        return


def test_longest_prefix_wins_and_split_weights_are_decoded():
    document = configuration_document()
    document['routes'].append(
        {
            **document['routes'][0],
            'name': 'deep',
            'path-prefix': '/pay/deep/',
            'split': [
                {'service': 'till', 'weight': 90},
                {'service': 'new', 'weight': 10},
            ],
        },
    )
    found = decode_configuration(encode_json(document))
    deep = found.find_route('api.example', '/pay/deep/x')
    assert deep.name == 'deep'
    assert [row.weight for row in deep.services] == [90, 10]
    assert found.find_route('api.example', '/pay/x').name == 'pay'
    assert found.find_route('other.example', '/pay/x') is None
    assert found.find_route('api.example', '/pay') is None


def test_route_kind_decides_whether_a_request_is_repeatable():
    # Guards against a streamed request that is retried, and so runs twice,
    # because the name of its kind sounds idempotent.
    found = decode_configuration(configuration_record())
    repeatable = {
        name: found.find_route('api.example', f'/{name}/x').is_repeatable
        for name in ('pay', 'read', 'draft', 'quick')
    }
    assert repeatable == {
        'pay': False,
        'read': True,
        'draft': False,
        'quick': True,
    }
    assert found.find_route('api.example', '/pay/').kind is (
        RequestKind.NON_IDEMPOTENT
    )


_header = st.tuples(
    st.sampled_from(
        [
            b'host',
            b'connection',
            b'authorization',
            b'x-peridotrill-token-count',
            b'x-peridotrill-prompt-prefix',
            b'x-peridotrill-deadline-ms',
            b'x-peridotrill-length-hint',
            b'x-custom',
        ],
    ),
    st.binary(max_size=12).filter(lambda row: not set(row) & set(b'\r\n')),
)


@given(st.lists(_header, max_size=6), st.binary(min_size=1, max_size=10))
def test_arbitrary_request_head_decodes_or_is_refused(headers, path):
    raw = RawRequest(b'POST', b'/' + path, headers, b'', 0)
    request = wire.decode_request(raw)
    if request is not None:
        passed = {name for name, _ in request.headers}
        assert not passed & {b'authorization', b'x-peridotrill-deadline-ms'}


def test_headers_named_by_connection_are_not_passed_on():
    raw = RawRequest(
        b'GET',
        b'/x',
        [(b'host', b'h'), (b'connection', b'x-hop'), (b'x-hop', b'1')],
        b'',
        0,
    )
    request = wire.decode_request(raw)
    assert [name for name, _ in request.headers] == [b'host']


def test_target_request_has_the_headers_added_by_the_gateway():
    raw = RawRequest(b'POST', b'/x', [(b'host', b'h')], b'body', 0)
    line, headers = wire.format_target_request(
        wire.decode_request(raw),
        RequestOptions(
            'i-1', 'growers', 250.9, 4, TargetRole.PREFILL, None, '1.2.3.4:5'
        ),
    )
    assert line == b'POST /x HTTP/1.1'
    assert dict(headers) == {
        b'host': b'h',
        b'x-peridotrill-expect-instance': b'i-1',
        b'x-peridotrill-deadline-ms': b'250',
        b'x-peridotrill-tenant': b'growers',
        b'x-peridotrill-stage': b'prefill',
        b'kv-fetch': b'1.2.3.4:5',
        b'x-peridotrill-req-priority': b'4',
        b'content-length': b'4',
    }


@pytest.mark.parametrize(
    ('status', 'headers', 'not_run', 'genuine'),
    [
        (503, [(b'x-peridotrill-not-run', b'1')], True, False),
        (421, [], True, False),
        (503, [], False, False),
        (500, [(b'x-peridotrill-engine-stamp', b's')], False, True),
        (200, [(b'x-peridotrill-engine-load', b'1,x')], False, False),
    ],
)
def test_only_explicit_not_run_replies_prove_no_execution(
    status, headers, not_run, genuine
):
    # Guards against a 503 without a not-run header that is taken as proof that
    # the target did not run the request.
    reply = wire.decode_response_head(ResponseHead(status, headers))
    assert reply.not_run is not_run
    assert reply.is_verified is genuine
    assert reply.load is None


@given(st.lists(st.integers(1, 30), min_size=1, max_size=20))
def test_event_stream_parser_handles_any_chunk_sizes(sizes):
    # Guards against events that are forwarded partially or lost.
    stream = b''.join(b'id: %d\ndata: x%d\n\n' % (n, n) for n in range(5))
    parser = EventStreamParser()
    events = []
    position = 0
    for size in [*sizes, len(stream)]:
        events += parser.feed(stream[position : position + size])
        position += size
    assert b''.join(event.content for event in events) == stream
    assert [event.event_id for event in events] == [
        str(n).encode() for n in range(5)
    ]
    assert not parser.partial_bytes
    parser.feed(b'id: 9\ndata')
    assert parser.partial_bytes


class FakeTransport:
    def __init__(self):
        self.written = b''
        self.closed = False

    def write(self, content):
        self.written += content

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.closed

    def abort(self):
        self.closed = True

    close = abort

    def can_write_eof(self):
        return False

    def pause_reading(self):
        """Ignore the call; the fake transport does not read."""

    resume_reading = pause_reading

    def set_write_buffer_limits(self, high):
        """Ignore the limit; the fake transport sends at once."""


def exchange_with(chunks, request_id='r1', eof=False):
    """Feed response bytes to a connection.

    Returns the status and body, or the error, and whether the connection is
    reusable.
    """

    async def run():
        idle = []
        connection = TargetConnection(idle.append, receive_limits())
        transport = FakeTransport()
        connection.connection_made(transport)
        exchange = connection.start(
            b'GET / HTTP/1.1',
            [],
            b'',
            lambda head: wire.matches_request(request_id, head),
        )
        for chunk in chunks:
            connection.data_received(chunk)
        if eof:
            connection.eof_received()
            connection.connection_lost(None)
        try:
            async with asyncio.timeout(0.05):
                head = await exchange.read_head()
                body = await exchange.read_body()
        except (TargetOutcomeUnknown, TimeoutError) as error:
            return error, bool(idle)
        await asyncio.sleep(0)
        return (head.status, body), bool(idle)

    return asyncio.run(run())


_OWN = format_head(
    b'HTTP/1.1 200 OK',
    [(b'X-Peridotrill-Request-Id', b'r1'), (b'Content-Length', b'4')],
)
_OTHER = format_head(
    b'HTTP/1.1 200 OK',
    [(b'X-Peridotrill-Request-Id', b'r0'), (b'Content-Length', b'3')],
)
_CHUNKED = format_head(
    b'HTTP/1.1 200 OK',
    [(b'Transfer-Encoding', b'chunked')],
)


@pytest.mark.parametrize(
    ('chunks', 'eof', 'expected', 'reusable'),
    [
        ([_OWN + b'body'], False, (200, b'body'), True),
        ([_OTHER + b'old' + _OWN + b'body'], False, (200, b'body'), True),
        ([_OWN + b'body' + b'more'], False, (200, b'body'), False),
        ([_OWN + b'body' + _OTHER + b'old'], False, (200, b'body'), False),
        ([_OWN + b'body' + _OTHER[:20]], False, (200, b'body'), False),
        ([_OWN + b'bo'], True, None, False),
        ([_CHUNKED + format_chunk(b'part')], True, None, False),
        ([b'HTTP/1.1 200 OK\r\n\r\nuntil'], True, (200, b'until'), False),
        ([b'\x00\x01 no answer'], False, None, False),
        ([b'HTTP/1.1 100 Continue\r\n\r\n' + _OWN + b'body'], False,
         (200, b'body'), True),
    ],
    ids=[
        'whole', 'after another', 'extra bytes', 'extra answer', 'extra part', 'cut',
        'cut chunks', 'until close', 'garbage', 'interim',
    ],
)  # fmt: skip
def test_responses_are_complete_and_match_their_request(
    chunks, eof, expected, reusable
):
    # Guards against bytes of one response that are delivered for another
    # request.
    outcome, is_idle = exchange_with(chunks, eof=eof)
    if expected is None:
        assert isinstance(outcome, TargetOutcomeUnknown)
    else:
        assert outcome == expected
    assert is_idle is reusable


@given(st.lists(st.binary(min_size=1, max_size=30), max_size=4))
def test_arbitrary_target_bytes_give_a_response_or_an_error(chunks):
    exchange_with(chunks, eof=True)


@given(st.lists(st.binary(min_size=1, max_size=40), max_size=4))
def test_arbitrary_caller_bytes_do_not_end_the_process(chunks):
    # Guards against a process that crashes on a malformed request.
    async def run():
        async with asyncio.TaskGroup() as group:
            port = CallerServer(
                _send_empty_response,
                _Tasks(group),
                lambda: DEFAULT_CALLER_LIMITS,
                lambda: 0.0,
                RecordingLog(),
            )
            connection = port.create_connection()
            connection.connection_made(FakeTransport())
            for chunk in chunks:
                connection.data_received(chunk)
            await asyncio.sleep(0)
            connection.connection_lost(None)
        assert port.account.used_bytes == 0

    asyncio.run(run())


def test_fault_in_one_request_ends_only_that_request():
    # Guards against a process that crashes because of one request, and against
    # a request that ends without a response.
    log = RecordingLog()

    async def fail(raw, responder):
        raise OverflowError(raw.target)

    async def ask(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        try:
            return await reader.read()
        except ConnectionResetError:
            return b''
        finally:
            writer.close()

    async def run():
        async with serve_http(fail, log=log) as address:
            return [await ask(address), await ask(address)]

    response = (
        b'HTTP/1.1 500 Internal Server Error\r\n'
        b'Content-Length: 0\r\nConnection: close\r\n\r\n'
    )
    assert anyio.run(run) == [response, response]
    assert [event for event, _ in log.events] == ['request_fault'] * 2


_numbers = st.sampled_from(
    [b'inf', b'nan', b'-1', b'0', b'12', b'1e9', b'9' * 500, b'', b'x'],
)


@given(st.lists(_numbers, min_size=6, max_size=6))
def test_numeric_request_headers_are_valid_or_refused(rows):
    # Guards against a header that crashes the process, and against negative
    # counts, which would reduce the recorded usage of a team.
    headers = [
        (b'host', b'h'),
        (b'x-peridotrill-token-count', rows[0] + b',' + rows[1]),
        (b'x-peridotrill-prompt-prefix', b'a:' + rows[2] + b',b:' + rows[3]),
        (b'x-peridotrill-length-hint', rows[4]),
        (b'x-peridotrill-deadline-ms', rows[5]),
    ]
    raw = RawRequest(b'POST', b'/x', headers, b'', 0)
    request = wire.decode_request(raw)
    if request is not None:
        assert 0 <= request.prompt.total_tokens < 1e10
        assert request.prompt.shared_tokens >= 0
        assert request.wait_ms is None or request.wait_ms < 1e12


@pytest.mark.parametrize(
    ('decode', 'content'),
    [
        (decode_configuration, b'{"version":1e999,"routes":[],"services":[]}'),
        (wire.decode_prefilled, b'{"handle":"h","tokens":1e999}'),
        (
            lambda content: decode_parts('i', content),
            b'{"held":[["","a",1e999,"m"]]}',
        ),
        # Handles are inserted into a request line and a header.
        (wire.decode_prefilled, b'{"handle":"h\\r\\nX: y","tokens":1}'),
        (wire.decode_prefilled, b'{"handle":"","tokens":1}'),
    ],
)
def test_out_of_range_values_raise_codec_error(decode, content):
    with pytest.raises(CodecError):
        decode(content)


def make_store_handler(status, body):
    """Return a request handler that always sends the same response."""

    async def answer(raw, responder):
        responder.send(status, [], body)

    return answer


@pytest.mark.parametrize('body', [b'[]', b'{}', b'{"offset":null}', b'x'])
def test_append_with_an_invalid_response_has_an_unknown_outcome(body):
    # Guards against an append that is considered failed although it took
    # effect.
    async def run():
        async with serve_http(make_store_handler(200, body)) as address:
            pool = ConnectionPool(
                address, time.monotonic, 1, 1, receive_budget()
            )
            with pytest.raises(AppendOutcomeUnknown):
                await StoreClient(pool, 1).append('t', [b'x'])

    anyio.run(run)


@pytest.mark.parametrize(
    'body',
    [b'[]', b'{}', b'{"end":1,"items":[{}]}', b'{"end":1,"items":[1]}', b'x'],
)
def test_invalid_page_raises_log_unavailable(body):
    # Guards against a follower that stops because of one invalid response.
    async def run():
        async with serve_http(make_store_handler(200, body)) as address:
            pool = ConnectionPool(
                address, time.monotonic, 1, 1, receive_budget()
            )
            with pytest.raises(LogUnavailable):
                await StoreClient(pool, 1).newest('t')

    anyio.run(run)


def test_endless_body_is_aborted():
    # Guards against a target that exhausts the memory of the gateway.
    async def pour(raw, responder):
        responder.start_stream(200, [])
        while True:
            responder.send_chunk(bytes(65536))
            await responder.drain()

    async def run():
        async with serve_http(pour) as address:
            connection = await open_connection(
                address, 1, lambda idle: None, receive_limits()
            )
            with pytest.raises(TargetOutcomeUnknown, match='too large'):
                await connection.call(b'GET', b'/x')

    anyio.run(run)


def test_endless_event_is_aborted():
    parser = EventStreamParser()
    with pytest.raises(TargetOutcomeUnknown):
        for _ in range(2 * MAX_EVENT_BYTES // 65536):
            parser.feed(bytes(65536))


def test_prompt_release_times_out():
    # Guards against tasks and connections that pile up when an engine stops
    # responding.
    async def hang(raw, responder):
        await anyio.sleep_forever()

    async def run():
        async with serve_http(hang) as address:
            times = ConnectionTimeouts(release=timedelta(milliseconds=50))
            caller = TargetHttpClient(
                wire, ManualClock(), times, receive_budget()
            )
            with anyio.fail_after(5), pytest.raises(TargetTimeout):
                await caller.release_prompt(target(address=address), 'h1')

    anyio.run(run)


class _Tasks:
    def __init__(self, group):
        self._group = group

    def start_soon(self, task, *arguments):
        self._group.create_task(task(*arguments))


async def _send_empty_response(raw, responder):
    responder.send(200, [], b'')


def test_part_listing_encoding_round_trip():
    listing = PartListing('n1', [PartLocation('a1', 'i-1', 13000)])
    assert decode_message(encode_message(listing)) == listing


@given(st.binary(max_size=80))
def test_arbitrary_part_listing_decodes_or_raises(body):
    try:
        decode_parts('i-1', body)
    except CodecError:
        return


@pytest.mark.parametrize(
    'listing',
    [[], {}, {'held': None}, {'held': [[]]}, {'held': [['', 'a', 'x', 'm']]}],
)
def test_malformed_part_listing_is_rejected(listing):
    with pytest.raises(CodecError):
        decode_parts('i-1', encode_json(listing))


@given(_json, st.booleans())
def test_arbitrary_list_of_runs_decodes_or_raises(content, is_list):
    # Guards against a report of an engine that ends a request of the gateway.
    report = {'runs': content} if is_list else content
    try:
        made = wire.decode_events_made(encode_json(report), 'r-1')
    except CodecError:
        return
    assert made >= 0


def test_events_of_the_longest_run_of_a_request_count():
    # Guards against a comparison with the run of another request.
    runs = [['r-1', 70, 2, 5], ['r-2', 70, 9, 5], ['r-1', 70, 4, 5, 'more']]
    report = encode_json({'runs': runs})
    assert wire.decode_events_made(report, 'r-1') == 4
    assert wire.decode_events_made(report, 'r-3') == 0


def test_settings_are_read_and_defaults_used(tmp_path):
    path = tmp_path / 'local.yaml'
    path.write_text(
        'node: n\nzone: a\nip: 127.0.0.1\nnew-field: 1\n'
        'listen: {front: "127.0.0.1:80", ready: "127.0.0.1:81"}\n'
        'port-range: [7500, 7515]\nplatform: {addr: "127.0.0.1:82"}\n'
        'bounds: {drain-ms: 900}\n',
    )
    match read_node_settings(path):
        case Result(tag='ok', ok=node):
            assert node.bounds.drain_ms == 900
            assert node.bounds.revoke_ms == 5000
            assert node.peer_port == 7500
            assert node.duties_address is None
            assert not node.is_first_start
        case _:
            pytest.fail('the settings are valid')
