"""Stand-in for the platform: log, VM list, targets, usage, weights."""

import sys
import time
from base64 import b64encode
from collections import Counter, deque
from collections.abc import AsyncGenerator
from datetime import timedelta
from functools import wraps
from typing import Any, Final, NamedTuple

import anyio

from peridotrill.records import MAX_RECORD_BYTES
from peridotrill.registry import Registry
from peridotrill.settings import Setting, load_settings
from standins import web

_MAX_READ_RECORDS: Final = 5000
_CHUNK_BYTES: Final = 64 * 1024
_FAULT_MODES: Final = frozenset(('up', 'down', 'slow', 'lose_answers'))

SETTINGS: Final = (
    *web.COMMON_SETTINGS,
    Setting('log_retention', 'duration', 'maximum age of a record', '1h'),
    Setting(
        'log_retention_records', 'integer', 'maximum records kept', '100000'
    ),
    Setting('log_appends_per_s', 'factor', 'append rate; 0: no limit', '400'),
    Setting('vms_lag', 'duration', 'delay of the VM list', '2s'),
    Setting('slow_delay', 'duration', 'delay in fault mode slow', '2s'),
    Setting('weights_bytes', 'integer', 'size of each download', '8388608'),
    Setting(
        'weights_bytes_per_s', 'factor', 'total rate; 0: no limit', '67108864'
    ),
)

routes: web.Routes = Registry('route')


class StoredRecord(NamedTuple):
    """A record stored in the log."""

    offset: int
    appended_at_s: float
    payload: bytes


class RateLimiter:
    """Delays callers to keep a fixed rate."""

    def __init__(self, rate_per_s: float) -> None:
        """:param rate_per_s: units per second; 0 means no limit."""
        self._unit_s = 1 / rate_per_s if rate_per_s else 0
        self._next_start_s = time.monotonic()

    async def wait(self, units: int = 1) -> None:
        """Reserve this many units and wait until they may start."""
        now_s = time.monotonic()
        start_s = max(now_s, self._next_start_s)
        self._next_start_s = start_s + units * self._unit_s
        await anyio.sleep(self._next_start_s - now_s)


class Log:
    """Append-only log with offsets from 1 and bounded retention."""

    def __init__(self, retention: timedelta, max_records: int) -> None:
        """:param max_records: the oldest records beyond this are dropped."""
        self.appended = 0
        self.waiting_reads = 0
        self._records: deque[StoredRecord] = deque(maxlen=max_records)
        self._retention_s = retention.total_seconds()
        self._changed = anyio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.appended + 1

    @property
    def first_offset(self) -> int:
        """Offset of the oldest retained record."""
        oldest_s = time.time() - self._retention_s
        while self._records and self._records[0].appended_at_s < oldest_s:
            self._records.popleft()
        return self.next_offset - len(self._records)

    def append(self, payload: bytes) -> int:
        """:return: the offset of the appended record."""
        self.appended += 1
        self._records.append(StoredRecord(self.appended, time.time(), payload))
        self._changed.set()
        self._changed = anyio.Event()
        return self.appended

    def read(self, from_offset: int, limit: int) -> list[StoredRecord]:
        """:return: up to ``limit`` records, starting at an offset."""
        skip = max(0, from_offset - self.first_offset)
        end = min(skip + limit, len(self._records))
        return [self._records[index] for index in range(skip, end)]

    async def wait_for(self, offset: int, timeout_s: float) -> None:
        """Wait until the offset exists or the timeout expires."""
        self.waiting_reads += 1
        try:
            await self._wait_for(offset, timeout_s)
        finally:
            self.waiting_reads -= 1

    async def _wait_for(self, offset: int, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            while offset >= self.next_offset:
                await self._changed.wait()


class Platform:
    """State of the platform."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """:param settings: values of SETTINGS."""
        scale = settings['time_scale']
        self.log = Log(
            settings['log_retention'] * scale,
            settings['log_retention_records'],
        )
        self.log_limiter = RateLimiter(settings['log_appends_per_s'])
        self.weights_limiter = RateLimiter(settings['weights_bytes_per_s'])
        self.weights_bytes: int = settings['weights_bytes']
        self.fault_modes = dict.fromkeys(
            ('log', 'vms', 'targets', 'usage'), 'up'
        )
        self.vms_lag_s = (settings['vms_lag'] * scale).total_seconds()
        self.slow_s = (settings['slow_delay'] * scale).total_seconds()
        self.vms: dict[str, dict[str, Any]] = {}
        self.vm_changes: deque[tuple[float, str, dict[str, Any] | None]]
        self.vm_changes = deque()
        self.targets: dict[str, dict[str, Any]] = {}
        self.orders: dict[str, dict[str, Any]] = {}
        self.usage: dict[tuple[str, int], dict[str, Any]] = {}
        self.usage_reports: list[dict[str, Any]] = []
        self.order_counts: Counter[str] = Counter()
        self.download_counts: Counter[str] = Counter()

    def change_vm(self, vm_id: str, vm: dict[str, Any] | None) -> None:
        """Change the VM list; the change becomes visible after the lag."""
        self.vm_changes.append((time.monotonic(), vm_id, vm))
        if vm and vm['kind'] == 'target':
            self._update_target(vm)
        for target in self.targets.values():
            if vm is None and target.get('vm_id') == vm_id:
                target['state'] = 'stopped'

    def _update_target(self, vm: dict[str, Any]) -> None:
        target_id = vm['target_id']
        known_state = self.targets.get(target_id, {}).get('state')
        # An update of the VM does not revert a stop order.
        is_stopping = vm['state'] != 'live' or known_state == 'stopping'
        self.targets[target_id] = {
            'target_id': target_id,
            'vm_id': vm['vm_id'],
            'zone': vm['zone'],
            'service': vm['service'],
            'state': 'stopping' if is_stopping else 'running',
        }

    def visible_vms(self) -> list[dict[str, Any]]:
        """:return: the VM list as of ``vms_lag_s`` ago."""
        visible_until_s = time.monotonic() - self.vms_lag_s
        while self.vm_changes and self.vm_changes[0][0] <= visible_until_s:
            _, vm_id, vm = self.vm_changes.popleft()
            self.vms.pop(vm_id, None)
            if vm is not None:
                self.vms[vm_id] = vm
        return list(self.vms.values())


def with_faults(area: str):
    """Return a decorator that applies the fault mode of an API area.

    Responses are lost only for requests that change state.
    """

    def decorate(handler: web.Handler) -> web.Handler:  # noqa: WPS430
        @wraps(handler)
        async def apply(  # noqa: WPS430
            platform: Platform,
            request: web.Request,
        ) -> web.Response:
            _refuse_if_down(platform, area)
            if platform.fault_modes[area] == 'slow':
                await anyio.sleep(platform.slow_s)
            response = await handler(platform, request)
            if request.method == 'GET':
                _refuse_if_down(platform, area)
            elif platform.fault_modes[area] == 'lose_answers':
                raise web.ConnectionDropped
            return response

        return apply

    return decorate


def _refuse_if_down(platform: Platform, area: str) -> None:
    if platform.fault_modes[area] == 'down':
        raise web.HttpError(503, 'unavailable')


@routes.register('POST /log/append')
@with_faults('log')
async def append(platform: Platform, request: web.Request) -> web.Response:
    """Append one record, limited to the append rate of the log."""
    if len(request.body) > MAX_RECORD_BYTES:
        raise web.HttpError(413, 'record_too_large')
    await platform.log_limiter.wait()
    _refuse_if_down(platform, 'log')
    return web.json_response({'offset': platform.log.append(request.body)})


@routes.register('GET /log/read')
@with_faults('log')
async def read(platform: Platform, request: web.Request) -> web.Response:
    """Read records; wait up to ``wait_ms`` if there are none."""
    log = platform.log
    from_offset = max(1, request.query_integer('from', 1))
    limit = min(request.query_integer('limit', 500), _MAX_READ_RECORDS)
    await log.wait_for(from_offset, request.query_integer('wait_ms', 0) / 1000)
    first_offset = log.first_offset
    if from_offset < first_offset:
        raise web.HttpError(410, 'records_expired', first_offset=first_offset)
    records = log.read(from_offset, limit)
    return web.json_response(
        {
            'records': [
                {
                    'offset': record.offset,
                    'appended_at_s': record.appended_at_s,
                    'payload': b64encode(record.payload).decode(),
                }
                for record in records
            ],
            'first_offset': first_offset,
            'next_offset': records[-1].offset + 1 if records else from_offset,
            'now_s': time.time(),
        },
    )


@routes.register('GET /vms')
@with_faults('vms')
async def list_vms(platform: Platform, _: web.Request) -> web.Response:
    """Return the VM list, which lags behind changes."""
    return web.json_response({'vms': platform.visible_vms()})


@routes.register('PUT /vms/{vm_id}')
async def put_vm(platform: Platform, request: web.Request) -> web.Response:
    """Add or update a VM; called by the deployment."""
    vm = request.json()
    needed = {'kind', 'state', 'zone'}
    if vm.get('kind') == 'target':
        needed |= {'service', 'target_id', 'target_kind', 'address'}
    if needed - vm.keys():
        raise web.HttpError(400, 'missing_fields')
    vm_id = request.parameters['vm_id']
    platform.change_vm(vm_id, {**vm, 'vm_id': vm_id})
    return web.json_response({})


@routes.register('DELETE /vms/{vm_id}')
async def delete_vm(platform: Platform, request: web.Request) -> web.Response:
    """Remove a VM; called by the deployment."""
    platform.change_vm(request.parameters['vm_id'], None)
    return web.json_response({})


@routes.register('GET /targets')
@with_faults('targets')
async def list_targets(platform: Platform, _: web.Request) -> web.Response:
    """Return the targets and their states."""
    return web.json_response({'targets': list(platform.targets.values())})


@routes.register('PUT /targets/{target_id}')
async def put_target(platform: Platform, request: web.Request) -> web.Response:
    """Declare a target that can be started; called by the deployment."""
    target = request.json()
    target_id = request.parameters['target_id']
    platform.targets[target_id] = {
        'target_id': target_id,
        'zone': str(target.get('zone')),
        'service': str(target.get('service')),
        'state': target.get('state', 'stopped'),
    }
    return web.json_response({})


@routes.register('POST /targets/{target_id}/start')
@with_faults('targets')
async def start(platform: Platform, request: web.Request) -> web.Response:
    """Order a target to start; the deployment executes the order."""
    return _submit_order(
        platform, request, 'starting', completed_state='running'
    )


@routes.register('POST /targets/{target_id}/stop')
@with_faults('targets')
async def stop(platform: Platform, request: web.Request) -> web.Response:
    """Order a target to stop; the deployment executes the order."""
    return _submit_order(
        platform, request, 'stopping', completed_state='stopped'
    )


def _submit_order(
    platform: Platform,
    request: web.Request,
    state: str,
    completed_state: str,
) -> web.Response:
    target = platform.targets.get(request.parameters['target_id'])
    order = request.json()
    order_id = str(order.get('order_id', ''))
    if target is None or not order_id:
        raise web.HttpError(404 if target is None else 400, 'invalid_order')
    if order.get('zone') != target['zone']:
        raise web.HttpError(409, 'zone_mismatch')
    sender = request.headers.get('x-sender', 'unknown')
    platform.order_counts[sender] += 1
    if order_id not in platform.orders:
        platform.orders[order_id] = {
            'order_id': order_id,
            'sender': sender,
            'target_id': target['target_id'],
            'state': state,
        }
        if target['state'] != completed_state:
            target['state'] = state
    return web.json_response({}, status=202)


@routes.register('POST /usage')
@with_faults('usage')
async def report_usage(
    platform: Platform, request: web.Request
) -> web.Response:
    """Accept usage; reject conflicting values for a team and window."""
    body = request.json()
    names = ('window_end_s', 'requests', 'prompt_tokens', 'output_tokens')
    if {'team', 'window_start_s', *names} - body.keys():
        raise web.HttpError(400, 'missing_fields')
    figure = [body[name] for name in names]
    window = platform.usage.setdefault(
        (body['team'], body['window_start_s']),
        {'figure': figure, 'reports': 0, 'conflicts': 0, 'senders': []},
    )
    sender = request.headers.get('x-sender', 'unknown')
    window['senders'].append(sender)
    platform.usage_reports.append(
        {
            'sender': sender,
            'epoch': body.get('epoch'),
            'team': body['team'],
            'window_start_s': body['window_start_s'],
        },
    )
    if window['figure'] != figure:
        window['conflicts'] += 1
        raise web.HttpError(409, 'figure_conflict')
    window['reports'] += 1
    return web.json_response({'accepted': True})


@routes.register('GET /weights/{name:path}')
async def get_weights(platform: Platform, request: web.Request) -> web.Response:
    """Stream weights; all downloads share one rate limit."""
    platform.download_counts[request.parameters['name']] += 1
    return web.Response(_stream_weights(platform), content_type=web.BYTES_TYPE)


async def _stream_weights(platform: Platform) -> AsyncGenerator[bytes, None]:
    remaining_bytes = platform.weights_bytes
    while remaining_bytes > 0:
        size = min(remaining_bytes, _CHUNK_BYTES)
        await platform.weights_limiter.wait(size)
        yield bytes(size)
        remaining_bytes -= size


@routes.register('POST /faults')
async def set_faults(
    platform: Platform,
    request: web.Request,
) -> web.Response:
    """Set the fault mode of each area, and the delays."""
    faults = request.json()
    fault_modes = {
        area: mode
        for area, mode in faults.items()
        if area in platform.fault_modes and mode in _FAULT_MODES
    }
    delays = {
        name: float(faults[name])
        for name in ('vms_lag_s', 'slow_s')
        if name in faults
    }
    if faults.keys() - fault_modes.keys() - delays.keys():
        raise web.HttpError(400, 'unknown_fault')
    platform.fault_modes |= fault_modes
    platform.vms_lag_s = delays.get('vms_lag_s', platform.vms_lag_s)
    platform.slow_s = delays.get('slow_s', platform.slow_s)
    return web.json_response(platform.fault_modes)


@routes.register('GET /observations')
async def observe(platform: Platform, _: web.Request) -> web.Response:
    """Return received records, orders and usage reports, for tests."""
    usage = [
        {'team': team, 'window_start_s': window_start_s, **window}
        for (team, window_start_s), window in platform.usage.items()
    ]
    return web.json_response(
        {
            'appends': platform.log.appended,
            'waiting_reads': platform.log.waiting_reads,
            'orders_by_sender': platform.order_counts,
            'orders': list(platform.orders.values()),
            'usage': usage,
            'usage_reports': platform.usage_reports,
            'weights': platform.download_counts,
        },
    )


def main() -> None:
    """Run the stand-in platform."""
    settings = load_settings('standins.platform', SETTINGS, sys.argv[1:], {})
    app = web.App(routes, Platform(settings))
    anyio.run(web.serve, app, settings['listen'])


if __name__ == '__main__':
    main()
