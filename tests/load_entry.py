"""Load test of one entry: latency, tokens per second and CPU time.

Starts a platform, engines and one plain service with their agents, and one
entry, all without fault-injecting proxies. Sends open-loop traffic with a
fixed random seed over several connections::

    python -m tests.load_entry --rate 31 --seconds 8

Prints one JSON object per run. CPU time includes the transport threads and is
given in cores. As the baseline, every other lookup is sent directly to the
target instead of through the entry; its latency is the direct latency.
"""

import argparse
import asyncio
import json
import os
import random
import statistics
import sys
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace

import httpx

from standins import topology
from tests import cluster as clusters
from tests.processes import run_processes

CONNECTIONS = 16
OUTPUT_TOKENS = 222
PROMPT_WORDS = 120
DRAIN_TIMEOUT_S = 20.0
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class _ProfilingLauncher:
    """Starts processes; runs selected ones under cProfile."""

    def __init__(self, processes, folder, names):
        self._processes = processes
        self._folder = folder
        self._names = names
        self._running = []

    def start(self, name, command):
        if name not in self._names:
            return self._processes.start(name, command)
        output = self._folder / f'{name}.prof'
        profiler = [sys.executable, '-m', 'cProfile', '-o', str(output)]
        process = self._processes.start(name, [*profiler, *command])
        self._running.append(process)
        return process

    def stop(self):
        """Terminate the profiled processes, so that they write profiles."""
        for process in self._running:
            process.terminate()
        for process in self._running:
            process.wait()


class _DirectConnections:
    """Replaces the fault-injecting proxies with direct connections."""

    def start(self, address):
        return SimpleNamespace(address=address)


@contextmanager
def run_deployment(folder, engines, entries=1, profiles=None, profiled=()):
    """Run a deployment without proxies; yields a Cluster.

    The processes named in ``profiled`` write profiles to the folder
    ``profiles``.
    """
    targets = [
        topology.Target(
            f'{service}-{number}',
            service,
            kind,
            clusters.ZONES[0],
            clusters.MODEL,
        )
        for service, kind, count in (
            ('assistant', 'engine', engines),
            ('till', 'plain', 1),
        )
        for number in range(1, count + 1)
    ]
    with (
        httpx.Client(timeout=30.0) as client,
        run_processes(folder) as processes,
    ):
        started = _ProfilingLauncher(processes, profiles, profiled)
        deployment = clusters.Cluster(started, _DirectConnections(), client)
        deployment.start_platform(vms_lag='100ms')
        deployment.publish(clusters.SERVICES)
        deployment.start_targets(targets)
        for number in range(1, entries + 1):
            deployment.start_entry(f'entry-{number}', clusters.ZONES[0])
        deployment.wait_ready()
        yield deployment
        started.stop()


class _Connection(asyncio.Protocol):
    """Sends one request at a time over a keep-alive connection."""

    def connection_made(self, transport):
        self.transport = transport
        self.received = bytearray()
        self.waiter = None

    def data_received(self, payload):
        now_s = time.perf_counter()
        if not self.received:
            self.first_s = now_s
        self.received += payload
        if b'data: ' in payload:
            self.arrivals.append((now_s, payload.count(b'"content":')))
        if self._is_whole():
            self._finish()

    def connection_lost(self, error):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(ConnectionError('closed'))

    async def request(self, request):
        self.received.clear()
        self.arrivals = []
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        await self.waiter
        return bytes(self.received)

    def _is_whole(self):
        head, separator, body = self.received.partition(b'\r\n\r\n')
        if not separator:
            return False
        if b'chunked' in head.lower():
            return body.endswith(b'\r\n0\r\n\r\n')
        length = head.lower().split(b'content-length: ')[1].split(b'\r\n')[0]
        return len(body) >= int(length)

    def _finish(self):
        if not self.waiter.done():
            self.waiter.set_result(None)


class Caller:
    """Sends requests over a pool of keep-alive connections."""

    def __init__(self, url, key=None):
        self._address = clusters.split(url)
        self._key = key
        self._idle = []

    async def send(self, method, path, body=b''):
        """Return the response, its latencies and the arrivals of its tokens."""
        connection = await self._take()
        head = [f'{method} {path} HTTP/1.1', 'Host: target']
        if self._key:
            head.append(f'Authorization: Bearer {self._key}')
        head.extend(
            ('Content-Type: application/json', f'Content-Length: {len(body)}')
        )
        start_s = time.perf_counter()
        response = await connection.request(
            '\r\n'.join((*head, '', '')).encode() + body
        )
        end_s = time.perf_counter()
        if not response.startswith((b'HTTP/1.1 200', b'HTTP/1.1 201')):
            raise RuntimeError(response[:600].decode(errors='replace'))
        self._idle.append(connection)
        return SimpleNamespace(
            body=response,
            first_s=connection.first_s - start_s,
            total_s=end_s - start_s,
            arrivals=connection.arrivals,
        )

    async def open(self, connections):
        self._idle += [await self._connect() for _ in range(connections)]

    def close(self):
        for connection in self._idle:
            connection.transport.close()

    async def _take(self):
        return self._idle.pop(0) if self._idle else await self._connect()

    async def _connect(self):
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection, *self._address
        )
        return connection


def cpu_time_s(process):
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f'/proc/{process.pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


class _CpuUsage:
    """CPU usage of groups of processes, in cores."""

    def __init__(self, deployment):
        self._groups = {
            'entry': list(deployment.entries.values()),
            'engine_agents': [
                agent
                for name, agent in deployment.agents.items()
                if name.startswith('assistant')
            ],
            'plain_agent': [deployment.agents['till-1']],
        }
        self._started_s = time.perf_counter()
        self._before = self._read()

    def cores(self):
        elapsed_s = time.perf_counter() - self._started_s
        return {
            f'{name}_cores': round((used - self._before[name]) / elapsed_s, 3)
            for name, used in self._read().items()
        }

    def _read(self):
        return {
            name: sum(map(cpu_time_s, group))
            for name, group in self._groups.items()
        }


def percentiles(name, seconds):
    """Return the 50th, 95th and 99th percentiles in milliseconds."""
    cuts = statistics.quantiles(seconds, n=100, method='inclusive')
    return {
        f'{name}_p{share}_ms': round(cuts[share - 1] * 1000, 2)
        for share in (50, 95, 99)
    }


async def measure_idle(deployment, seconds):
    usage = _CpuUsage(deployment)
    await asyncio.sleep(seconds)
    return usage.cores()


async def measure_lookups(deployment, key, rate, seconds, rng):
    """Send lookups alternately through the entry and to the target."""
    callers = {
        'entry': Caller(deployment.entry_urls['entry-1'], key),
        'direct': Caller(deployment.target_urls['till-1']),
    }
    for caller in callers.values():
        await caller.open(CONNECTIONS)
        # Warm up: the first requests load code and fill caches.
        for number in range(20):
            await caller.send('GET', f'/stock/warm-{number}')
    usage = _CpuUsage(deployment)
    times = {name: [] for name in callers}

    async def look_up(name, number):
        response = await callers[name].send('GET', f'/stock/item-{number}')
        times[name].append(response.total_s)

    await _open_loop(
        rate,
        seconds,
        rng,
        lambda number: look_up(('entry', 'direct')[number % 2], number),
    )
    cores = usage.cores()
    for caller in callers.values():
        caller.close()
    median_s = {name: statistics.median(row) for name, row in times.items()}
    return {
        **percentiles('entry', times['entry']),
        **percentiles('direct', times['direct']),
        'added_p50_ms': round(
            (median_s['entry'] - median_s['direct']) * 1e3, 2
        ),
        **cores,
    }


async def measure_streams(deployment, key, rate, seconds, rng):
    """Send streams; CPU time is measured after the warm-up only."""
    caller = Caller(deployment.entry_urls['entry-1'], key)
    await caller.open(CONNECTIONS)
    warm_up_s = 3.0
    first, gaps, arrivals = [], [], []

    async def stream(number):
        words = ' '.join(rng.choices(_WORDS, k=PROMPT_WORDS))
        body = {
            'model': clusters.MODEL,
            'messages': [{'role': 'user', 'content': f'{number} {words}'}],
            'max_tokens': OUTPUT_TOKENS,
            'stream': True,
        }
        response = await caller.send(
            'POST', '/v1/chat/completions', json.dumps(body).encode()
        )
        assert b'data: [DONE]' in response.body
        times = [at_s for at_s, _ in response.arrivals]
        first.append(times[0] - times[-1] + response.total_s)
        gaps.extend(
            after - before
            for before, after in zip(times, times[1:], strict=False)
        )
        arrivals.append(response.arrivals)

    async def measure_steady_state():
        await asyncio.sleep(warm_up_s)
        usage, started_s = _CpuUsage(deployment), time.perf_counter()
        await asyncio.sleep(seconds)
        return usage.cores(), started_s, time.perf_counter()

    measurement = asyncio.create_task(measure_steady_state())
    await _open_loop(rate, seconds + warm_up_s, rng, stream)
    cores, started_s, ended_s = await measurement
    caller.close()
    tokens = sum(number for row in arrivals for _, number in row)
    steady = sum(
        number
        for row in arrivals
        for at_s, number in row
        if started_s <= at_s < ended_s
    )
    ended = sum(started_s <= row[-1][0] < ended_s for row in arrivals)
    rate = steady / (ended_s - started_s)
    return {
        'requests': len(arrivals),
        'requests_per_s': round(ended / (ended_s - started_s), 1),
        'tokens_per_s': round(rate),
        'tokens_per_stream': round(tokens / len(arrivals), 1),
        'reads_per_stream': round(len(gaps) / len(arrivals) + 1, 1),
        **percentiles('first_token', first),
        **percentiles('gap', gaps),
        **cores,
        'entry_us_per_token': round(cores['entry_cores'] / rate * 1e6),
        'agents_us_per_token': round(cores['engine_agents_cores'] / rate * 1e6),
    }


_WORDS = tuple('cart water coconut roster restock float volunteer'.split())


async def _open_loop(rate, seconds, rng, send):
    """Start requests at exponential intervals, independent of responses."""
    tasks = []
    start_s = time.perf_counter()
    due_s = 0.0
    while due_s < seconds:
        await asyncio.sleep(start_s + due_s - time.perf_counter())
        tasks.append(asyncio.create_task(send(len(tasks))))
        due_s += rng.expovariate(rate)
    async with asyncio.timeout(DRAIN_TIMEOUT_S + seconds):
        await asyncio.gather(*tasks)


async def measure(deployment, key, options):
    """Return the measurements of one run."""
    rng = random.Random(options.seed)
    return {
        'machine_load': os.getloadavg()[0],
        'idle': await measure_idle(deployment, options.idle_seconds),
        'lookups': await measure_lookups(
            deployment, key, options.lookup_rate, options.seconds, rng
        ),
        'streams': await measure_streams(
            deployment, key, options.rate, options.seconds, rng
        ),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--rate', type=float, default=31.0)
    parser.add_argument('--lookup-rate', type=float, default=40.0)
    parser.add_argument('--seconds', type=float, default=6.0)
    parser.add_argument('--idle-seconds', type=float, default=3.0)
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--profiles', type=Path, help='folder for profiles')
    parser.add_argument('--profile', action='append', default=[])
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        run_deployment(
            Path(folder),
            options.engines,
            profiles=options.profiles,
            profiled=options.profile,
        ) as deployment,
    ):
        key = deployment.grant('alpha')
        time.sleep(1)
        for _ in range(options.runs):
            results = asyncio.run(measure(deployment, key, options))
            print(json.dumps(results), flush=True)


if __name__ == '__main__':
    main()
