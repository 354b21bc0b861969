"""Measures added latency, throughput and resource usage of one entry.

Latency is compared with direct connections to the target.
"""

import os
import time
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

import anyio
import httpx

from measurement.counting import percentile
from measurement.resource_usage import ResourceUsage, cpu_s
from measurement.systems import DirectLoop
from peridotrill.codec import encode_json
from standins import topology
from tests.cluster import MODEL, SERVICES, Cluster
from tests.processes import run_processes, wait_for

_LOOKUP_COUNT: Final = 400
_WARM_UP_S: Final = 5.0
_MEASUREMENT_S: Final = 10.0
# Slightly above the required 31 requests/s and 6,900 tokens/s, since requests
# that are open at the edges of the measured period make the figures vary.
_OFFERED_PER_S: Final = 32
_OUTPUT_TOKENS: Final = 220
_ENGINE_COUNT: Final = 8
_PROMPT: Final = 'Sum up the season. '
_TOKEN_PATTERN: Final = b'"finish_reason":null'


def measure_node(
    folder: Path,
    idle: ResourceUsage,
) -> tuple[dict[str, float], dict[str, float]]:
    """Measure one entry with several engines and one plain target.

    :param idle: resource usage of an entry without requests.
    :return: the figures, and the CPU ratio of each process under load.
    """
    folder.mkdir()
    with (
        httpx.Client(timeout=30.0, trust_env=False) as client,
        run_processes(folder) as processes,
    ):
        cluster = Cluster(processes, DirectLoop(), client)
        cluster.start_platform()
        cluster.publish(SERVICES)
        cluster.start_targets(
            [
                topology.Target(
                    f'engine-{number}', 'assistant', 'engine', 'z', MODEL
                )
                for number in range(_ENGINE_COUNT)
            ]
            + [topology.Target('plain-1', 'till', 'plain', 'z')],
        )
        cluster.start_entry('entry-1', 'z')
        cluster.wait_ready()
        key = cluster.grant('alpha')
        headers = {'Authorization': f'Bearer {key}'}
        entry_url = cluster.entry_urls['entry-1']
        wait_for(
            lambda: (
                client.get(f'{entry_url}/stock/1', headers=headers).is_success
            )
        )
        added_s = _measure_added_latency(
            client, entry_url, cluster.target_urls['plain-1'], headers
        )
        load = anyio.run(
            _run_load,
            entry_url,
            headers,
            {
                'entry': cluster.entries['entry-1'].pid,
                'callers': os.getpid(),
                'agent': cluster.agents['engine-0'].pid,
            },
        )
    details = load.pop('details')
    figures = {
        'control_cpu_ratio': idle.cpu_ratio,
        'control_rss_mb': idle.rss_mb,
        'control_kb_per_s': idle.kb_per_s,
        **added_s,
        **load,
    }
    return figures, details


def _measure_added_latency(
    client: httpx.Client,
    entry_url: str,
    target_url: str,
    headers: dict[str, str],
) -> dict[str, float]:
    """Send each lookup through the entry and directly to the target."""
    times: dict[str, list[float]] = {entry_url: [], target_url: []}
    for number in range(_LOOKUP_COUNT):
        for url, row in times.items():
            start_s = time.monotonic()
            client.get(
                f'{url}/stock/{number}', headers=headers
            ).raise_for_status()
            row.append(time.monotonic() - start_s)
    return {
        f'added_latency_p{part}_ms': 1000
        * (
            percentile(times[entry_url], part / 100)
            - percentile(times[target_url], part / 100)
        )
        for part in (50, 99)
    }


class _StreamLoad:
    """Sends streaming requests and counts during the measured period."""

    def __init__(self, url: str, headers: dict[str, str]) -> None:
        self.is_counting = False
        self.tokens = 0
        self.complete_streams = 0
        self._url = url
        self._headers = headers

    async def stream(self, http: httpx.AsyncClient, number: int) -> None:
        """Send one streaming request and count its tokens as they arrive."""
        body = {
            'model': MODEL,
            'prompt': f'{_PROMPT} {number}',
            'max_tokens': _OUTPUT_TOKENS,
            'stream': True,
        }
        count, tail = 0, b''
        with suppress(httpx.HTTPError):
            async with http.stream(
                'POST',
                f'{self._url}/v1/completions',
                content=encode_json(body),
                headers=self._headers,
            ) as response:
                async for chunk in response.aiter_raw():
                    pieces = (tail + chunk).split(b'\n\n')
                    tail = pieces.pop()
                    new = sum(_TOKEN_PATTERN in piece for piece in pieces)
                    count += new
                    self.tokens += new * self.is_counting
        self.complete_streams += self.is_counting and count == _OUTPUT_TOKENS

    async def count(self, pids: dict[str, int]) -> dict[str, float]:
        """Count during the measured period, after a warm-up.

        :return: CPU time of each process, as a ratio of one core.
        """
        await anyio.sleep(_WARM_UP_S)
        self.is_counting = True
        before_s = {name: cpu_s(pid) for name, pid in pids.items()}
        await anyio.sleep(_MEASUREMENT_S)
        self.is_counting = False
        return {
            name: (cpu_s(pid) - before_s[name]) / _MEASUREMENT_S
            for name, pid in pids.items()
        }


async def _run_load(
    url: str,
    headers: dict[str, str],
    pids: dict[str, int],
) -> dict[str, Any]:
    """Generate open-loop load; returns throughput and CPU ratios."""
    load = _StreamLoad(url, headers)
    cpu_ratios: dict[str, float] = {}
    limits = httpx.Limits(max_connections=None)

    async def count() -> None:  # noqa: WPS430
        cpu_ratios.update(await load.count(pids))

    async with httpx.AsyncClient(
        limits=limits, timeout=30.0, trust_env=False
    ) as http:
        start_s = time.monotonic()
        async with anyio.create_task_group() as calls:
            calls.start_soon(count)
            span_s = _WARM_UP_S + _MEASUREMENT_S + 1
            for number in range(round(span_s * _OFFERED_PER_S)):
                due_s = start_s + number / _OFFERED_PER_S
                await anyio.sleep(max(0, due_s - time.monotonic()))
                calls.start_soon(load.stream, http, number)
    return {
        'requests_per_s': load.complete_streams / _MEASUREMENT_S,
        'tokens_per_s': load.tokens / _MEASUREMENT_S,
        'cpu_ratio': cpu_ratios['entry'],
        'details': {f'{name}_cpu_ratio': it for name, it in cpu_ratios.items()},
    }
