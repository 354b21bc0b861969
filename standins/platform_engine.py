"""In-process stand-ins for engines and for the usage API of the platform."""

import asyncio
import itertools
import json
import random
import time
from typing import NamedTuple

from peridotrill.codec import decode_json, encode_json
from peridotrill.gateway.http_format import format_head, format_status_line

_OK = 200
_ACCEPTED = 202
_NOT_FOUND = 404
_CONFLICT = 409
_MISDIRECTED = 421
_INTERNAL_SERVER_ERROR = 500
_UNAVAILABLE = 503
_SLOW_START_S = 0.3
# Time until a requester learns that a process has ended.
_LOST_DELAY_S = 0.005
# Streams that end after their second event.
_UNFRAMED_FAULTS = frozenset(
    ('unframed_cut', 'unframed_crash', 'unframed_ahead')
)
# Age of a report: it still lists a run that has ended since.
_REPORT_AGE_S = 0.3


class SentEvent(NamedTuple):
    """An event of a stream that an engine has sent."""

    sent_s: float
    request_id: str
    number: int
    # Software version and start time.
    process: str


class ScriptedEngine:
    """A plain or model engine that records its requests for assertions.

    ``plan`` lists the faults of the next requests, one per request, and
    ``default_fault`` applies if ``plan`` is empty; the empty string is no
    fault. The faults are:

    - ``shed``: responds 503 with ``X-Peridotrill-Not-Run``
    - ``reset``: runs the request, then closes the connection
    - ``error``: runs the request, then responds 500
    - ``late``: responds with the id of another request first (plain engines)
    - ``cut``: closes the connection in the middle of the third event
    - ``half``: ends the body without an error in the middle of the third event
    - ``unframed``: sends the response without length and chunks
    - ``unframed_cut``: like ``unframed``, ends a stream after the second event
    - ``unframed_ahead``: like ``unframed_cut``, but the run has made all events
    - ``unframed_crash``: like ``unframed``, and crashes after the second event
    - ``unframed_crash_early``: like that, before the first event
    - ``unframed_empty``: like ``unframed``, ends a stream before the first event
    - ``unframed_error_crash``: like that, in the body of a failure
    - ``unframed_refusal_crash``: crashes after a rejection without length
    - ``slow``: begins a stream after 0.3 s
    - ``swapped``: exchanges the third and the fourth event
    - ``gapped``: leaves out the third event
    - ``sparse``: numbers the events 2, 4, 6 and so on
    - ``silent``: runs the request and never responds
    - ``unstamped``: omits the engine stamp from the response
    - ``false_refusal``: runs the request, then responds 503 as if it
      had not run, but without ``X-Peridotrill-Not-Run``

    Independent of the plan, the engine crashes when it begins to respond to a
    prompt that contains ``deadly_part``, or to a request for ``deadly_path``.
    It ends together with its ``neighbours``, whose connections stay open until
    they are used.
    """

    def __init__(self, target_id, service, zone, role=None) -> None:
        """:param role: ``prefill`` or ``decode`` for model engines."""
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.role = role
        self.started_ms = 1700000000000
        self.software_version = 'v1'
        # Whether each event names the software version in a comment.
        self.names_version = False
        # Id and software version of the process that starts after the next crash.
        self.successor: tuple[str, str] | None = None
        self.plan: list[str] = []
        self.default_fault = ''
        self.processing_s = 0.01
        self.event_count = 5
        self.event_interval_s = 0.005
        self.runs: list[str] = []
        # What happens to calls for the report after the end of a stream:
        # ``silent`` or ``reset``.
        self.report_fault_after_stream = ''
        self._report_fault = ''
        # Rows of the report: id, tokens in memory, events made, priority.
        self.run_rows: list[list] = []
        self.sent_events: list[SentEvent] = []
        self.received: list[dict] = []
        self.cancelled: list[str] = []
        self.released_handles: list[str] = []
        # Cached prompt parts with their token counts.
        self.parts: list[tuple[str, int]] = []
        self.orders: list[dict] = []
        # Reported instead of the number of orders, unless it is 0.
        self.reported_orders: int | None = 0
        # Number of role orders to execute without a response.
        self.order_responses_to_drop = 0
        # Whether an order is in progress.
        self.is_busy = False
        # Requests per second that the responses name as a limit.
        self.limit_per_s: float | None = None
        # What the responses state of the load; empty if nothing.
        self.load = b''
        # Time for which a response that turns a request away asks for none.
        self.retry_after_s: float | None = None
        # Whether the report names the start of the process.
        self.names_start_time = True
        # Time that a report takes, in which the engine serves as usual.
        self.report_delay_s = 0.0
        # Part of the responses with which their connections end.
        self.closing_share = 0.0
        # Whether the responses say that the engine leaves.
        self.is_leaving = False
        # Monotonic times at which requests arrived.
        self.received_s: list[float] = []
        self.deadly_part = ''
        self.deadly_path = ''
        self.crashes = 0
        self.crashed = asyncio.Event()
        self.neighbours: list[ScriptedEngine] = []
        # Whether the process has ended, of which no requester knows yet.
        self.is_lost = False
        self._responders: set = set()
        self._handles = itertools.count(1)
        self._next_report = itertools.count(1).__next__

    def restart(self) -> None:
        """Start again after a crash, as the successor if there is one."""
        self.started_ms += 1
        self.is_lost = False
        if self.successor is not None:
            self.target_id, self.software_version = self.successor
            self.successor = None
        self.crashed.clear()

    def replace(self, target_id, software_version) -> None:
        """End this process; another one starts at its address."""
        self.successor = (target_id, software_version)
        self._crash()

    def _is_deadly(self, path, headers) -> bool:
        if self.deadly_path and path == self.deadly_path:
            return True
        return bool(self.deadly_part) and self.deadly_part in _part_ids(headers)

    def _crash(self) -> None:
        self.crashes += 1
        self.crashed.set()
        for neighbour in self.neighbours:
            neighbour.is_lost = True
        for responder in list(self._responders):
            responder.abort()

    def record(self, address, state='ready', **changes) -> bytes:
        """Return the registration record of the engine."""
        content = {
            'service': self.service,
            'addr': str(address),
            'zone': self.zone,
            'version': self.software_version,
            'slots': 8,
            'state': state,
            'cold-left-ms': 0,
            'seq': self._next_report(),
            'born': self.started_ms,
        }
        if self.role is not None:
            content['stage'] = self.role
        # Integers of any size, which the product's encoder refuses.
        return json.dumps({**content, **changes}).encode()

    async def handle(self, request, responder) -> None:
        """Handle one request."""
        if self.crashed.is_set():
            responder.abort()
            return
        if random.random() < self.closing_share:
            responder._keep_alive = False  # noqa: SLF001, WPS437
        if self.is_lost:
            await asyncio.sleep(_LOST_DELAY_S)
            self._crash()
            responder.abort()
            return
        self._responders.add(responder)
        try:
            await self._handle(request, responder)
        finally:
            self._responders.discard(responder)

    async def _handle(self, request, responder) -> None:
        headers = {
            name.decode(): content.decode() for name, content in request.headers
        }
        request_id = headers.get('x-peridotrill-request-id', '')
        path = request.target.decode()
        if path.startswith('/-/'):
            await self._handle_control_request(request, path, responder)
            return
        self.received_s.append(time.monotonic())
        self.received.append({**headers, 'path': path, 'body': request.body})
        expected_id = headers.get('x-peridotrill-expect-instance')
        if expected_id not in {None, self.target_id}:
            responder.send(
                _MISDIRECTED, self._request_id_headers(request_id), b''
            )
            return
        fault = self.plan.pop(0) if self.plan else self.default_fault
        if fault == 'shed':
            not_run_headers = [
                *self._request_id_headers(request_id),
                (b'X-Peridotrill-Not-Run', b'1'),
            ]
            if self.retry_after_s is not None:
                pause = str(self.retry_after_s).encode()
                not_run_headers.append((b'Retry-After', pause))
            responder.send(_UNAVAILABLE, not_run_headers, b'')
            return
        if headers.get('x-peridotrill-stage') == 'prefill':
            await asyncio.sleep(self.processing_s)
            handle = f'h{next(self._handles)}'
            response = {'handle': handle, 'tokens': 1, 'version': 1}
            responder.send(
                _OK, self._request_id_headers(request_id), encode_json(response)
            )
            return
        if self._is_deadly(path, headers):
            fault = 'crash'
        self.runs.append(request_id)
        try:
            await self._run(fault, headers, responder)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise

    async def _run(self, fault, headers, responder) -> None:
        request_id = headers.get('x-peridotrill-request-id', '')
        if fault == 'silent':
            await asyncio.Event().wait()
        await asyncio.sleep(self.processing_s)
        if fault == 'crash':
            self._crash()
            return
        response_headers = self._stamped_headers(request_id)
        fault_responses = {
            'error': (_INTERNAL_SERVER_ERROR, response_headers, b'failed'),
            'false_refusal': (_UNAVAILABLE, response_headers, b''),
            'unstamped': (
                _OK,
                self._request_id_headers(request_id),
                b'not the answer',
            ),
        }
        response = fault_responses.get(fault)
        unframed_responses = {
            'unframed_refusal_crash': (
                _UNAVAILABLE,
                [*response_headers, (b'X-Peridotrill-Not-Run', b'1')],
                b'',
            ),
            'unframed_error_crash': (
                _INTERNAL_SERVER_ERROR,
                response_headers,
                b'an error',
            ),
        }
        unframed_response = unframed_responses.get(fault)
        if unframed_response:
            await self._send_unframed(fault, *unframed_response, responder)
        elif fault == 'reset':
            responder.abort()
        elif response:
            responder.send(*response)
        elif self.role is None:
            if fault == 'late':
                responder.send(
                    _OK, self._stamped_headers('another'), b'not yours'
                )
            answer = f'answer to {request_id}'.encode()
            if fault.startswith('unframed'):
                await self._send_unframed(
                    fault, _OK, response_headers, answer, responder
                )
            else:
                responder.send(_OK, response_headers, answer)
        else:
            await self._stream(fault, headers, response_headers, responder)

    async def _send_unframed(
        self, fault, status, headers, answer, responder
    ) -> None:
        unframed = _UnframedResponse(responder)
        unframed.start_stream(status, headers)
        unframed.send_chunk(answer[:5])
        await asyncio.sleep(self.event_interval_s)
        if fault.endswith('crash'):
            self._crash()
            return
        unframed.send_chunk(answer[5:])
        unframed.end_stream()

    async def _stream(
        self, fault, headers, response_headers, responder
    ) -> None:
        row = [headers.get('x-peridotrill-request-id', ''), 0, 0, 5]
        self.run_rows.append(row)
        try:
            await self._send_stream(
                fault, headers, response_headers, responder, row
            )
        finally:
            self._end_run(fault, row)

    def _end_run(self, fault, row) -> None:
        self._report_fault = self.report_fault_after_stream
        if fault == 'unframed_ahead':
            row[2] = self.event_count
        loop = asyncio.get_running_loop()
        loop.call_later(_REPORT_AGE_S, self.run_rows.remove, row)

    async def _send_stream(
        self, fault, headers, response_headers, responder, row
    ) -> None:
        first = int(headers.get('last-event-id', '0')) + 1
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        if fault.startswith('unframed'):
            responder = _UnframedResponse(responder)
        if fault == 'slow':
            await asyncio.sleep(_SLOW_START_S)
        responder.start_stream(_OK, response_headers)
        if fault == 'unframed_crash_early':
            await asyncio.sleep(self.event_interval_s)
            self._crash()
            return
        numbers = list(range(first, self.event_count + 1))
        if fault == 'unframed_empty':
            numbers.clear()
        if fault == 'swapped':
            numbers.insert(3, numbers.pop(2))
        if fault == 'gapped':
            numbers.pop(2)
        if fault == 'sparse':
            numbers = [number * 2 for number in numbers]
        for number in numbers:
            if fault in _UNFRAMED_FAULTS and number == first + 2:
                break
            event = f'id: {number}\ndata: token {number}\n'.encode()
            if self.names_version:
                event += f': {self.software_version}\n'.encode()
            event += b'\n'
            if fault in {'cut', 'half'} and number == first + 2:
                responder.send_chunk(event[:7])
                await asyncio.sleep(self.event_interval_s)
                if fault == 'cut':
                    responder.abort()
                else:
                    responder.end_stream()
                return
            responder.send_chunk(event)
            row[2] = number
            self.sent_events.append(
                SentEvent(
                    time.monotonic(),
                    headers.get('x-peridotrill-request-id', ''),
                    number,
                    f'{self.software_version} {self.started_ms}',
                )
            )
            # Late events do not delay those that follow.
            due_s += self.event_interval_s
            await asyncio.sleep(max(0, due_s - loop.time()))
        if fault == 'unframed_crash':
            self._crash()
        else:
            responder.end_stream()

    async def _handle_control_request(self, request, path, responder) -> None:
        if path == '/-/report':
            if self._report_fault == 'silent':
                await asyncio.Event().wait()
            if self._report_fault == 'reset':
                responder.abort()
                return
            report = {
                'stage': self.role,
                'seq': (
                    len(self.orders)
                    if self.reported_orders == 0
                    else self.reported_orders
                ),
                'busy': self.is_busy,
                'runs': self.run_rows,
            }
            if self.names_start_time:
                report['born'] = self.started_ms
            await asyncio.sleep(self.report_delay_s)
            responder.send(_OK, [], json.dumps(report).encode())
        elif path == '/-/kv-list':
            held = [['', part, tokens, 'm'] for part, tokens in self.parts]
            listing = {'epoch': 1, 'next': 1, 'held': held}
            responder.send(_OK, [], encode_json(listing))
        elif path == '/-/order':
            await self._accept_order(decode_json(request.body), responder)
        elif path.startswith('/-/kv-handle/'):
            self.released_handles.append(path.rsplit('/', 1)[1])
            responder.send(_OK, [], b'')
        else:
            responder.send(_NOT_FOUND, [], b'')

    async def _accept_order(self, order, responder) -> None:
        # The precondition is ``seq`` of the report that the order is based on.
        if order.get('precondition') != len(self.orders):
            responder.send(_CONFLICT, [], b'')
            return
        self.orders.append(order)
        self.role = order['stage']
        if self.order_responses_to_drop:
            self.order_responses_to_drop -= 1
            await asyncio.Event().wait()
        responder.send(_ACCEPTED, [], b'')

    def _request_id_headers(self, request_id):
        return [(b'X-Peridotrill-Request-Id', request_id.encode())]

    def _stamped_headers(self, request_id):
        stamp = (b'X-Peridotrill-Engine-Stamp', f'{self.target_id}.1'.encode())
        headers = [*self._request_id_headers(request_id), stamp]
        if self.limit_per_s is not None:
            limit = str(self.limit_per_s).encode()
            headers.append((b'Server-Limit', limit))
        if self.load:
            headers.append((b'X-Peridotrill-Engine-Load', self.load))
        if self.is_leaving:
            headers.append((b'Server-Leaving', b'1'))
        return headers


class _UnframedResponse:
    """Writes a response whose end is the end of its connection."""

    def __init__(self, responder) -> None:
        self._responder = responder
        self._connection = responder._connection  # noqa: SLF001, WPS437

    def start_stream(self, status, headers) -> None:
        """Write the head."""
        self._responder.has_started = True
        first_line = format_status_line(status)
        self._connection.write(format_head(first_line, headers))

    def send_chunk(self, content) -> None:
        """Write a part of the body."""
        self._connection.write(content)

    def end_stream(self) -> None:
        """Close the connection once all is written."""
        self._responder._keep_alive = False  # noqa: SLF001, WPS437
        self._responder.is_complete = True

    def abort(self) -> None:
        """Close the connection."""
        self._responder.abort()


def _part_ids(headers) -> set[str]:
    rows = headers.get('x-peridotrill-prompt-prefix', '').split(',')
    return {row.partition(':')[0] for row in rows}


class UsageReceiver:
    """Stand-in for the platform endpoint that receives usage reports."""

    def __init__(self) -> None:
        """Create a receiver without reports."""
        # Per report: lease holder, fencing number, window and counts.
        self.usage: list[tuple[str, int, int, dict]] = []

    async def handle(self, request, responder) -> None:
        """Record a usage report."""
        headers = dict(request.headers)
        content = decode_json(request.body)
        if request.target == b'/usage':
            self.usage.append(
                (
                    headers[b'x-peridotrill-duty-holder'].decode(),
                    int(headers[b'x-peridotrill-fence-token']),
                    content['window'],
                    content['counts'],
                ),
            )
        responder.send(_OK, [], b'')
