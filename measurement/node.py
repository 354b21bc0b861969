"""What one entry adds and carries, against a direct connection."""

import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final

import anyio
import httpx

from measurement.counting import percentile
from measurement.process_cost import Cost, read_cost
from peridotrill.codec import encode_json
from standins import topology
from tests.cluster import MODEL, SERVICES, Cluster
from tests.processes import run_processes, wait_for

_LOOKUPS: Final = 400
_LOAD_S: Final = 15.0
_REQUESTS_PER_S: Final = 31
_TOKENS_PER_S: Final = 6900
_OUTPUT_TOKENS: Final = round(_TOKENS_PER_S / _REQUESTS_PER_S)
_ENGINES: Final = 8
_PROMPT: Final = 'Sum up the season. '
_TOKEN_MARK: Final = b'"finish_reason":null'


class DirectLoop:
    """Takes the place of the proxies; processes connect to each other."""

    def start(self, target: Any) -> SimpleNamespace:
        """Return the address itself."""
        return SimpleNamespace(address=target)


def measure_node(folder: Path, idle: Cost) -> dict[str, float]:
    """Measure one entry with engines and one plain target."""
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
                for number in range(_ENGINES)
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
        added_s = _compare(
            client, entry_url, cluster.target_urls['plain-1'], headers
        )
        with read_cost(cluster.entries['entry-1'].pid) as cost:
            load = anyio.run(_play, entry_url, headers)
    return {
        'control_cpu_ratio': idle.cpu_ratio,
        'control_rss_mb': idle.rss_mb,
        'control_kb_per_s': idle.kb_per_s,
        **added_s,
        **load,
        'cpu_ratio': cost.cpu_ratio,
    }


def _compare(
    client: httpx.Client,
    entry_url: str,
    target_url: str,
    headers: dict[str, str],
) -> dict[str, float]:
    """Send the same lookups both ways in turn."""
    times: dict[str, list[float]] = {entry_url: [], target_url: []}
    for number in range(_LOOKUPS):
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


async def _play(url: str, headers: dict[str, str]) -> dict[str, float]:
    """Offer the load, open-loop; returns what was delivered."""
    tokens: list[int] = []
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        limits=limits, timeout=30.0, trust_env=False
    ) as http:
        start_s = time.monotonic()
        async with anyio.create_task_group() as calls:
            for number in range(round(_LOAD_S * _REQUESTS_PER_S)):
                due_s = start_s + number / _REQUESTS_PER_S
                await anyio.sleep(max(0, due_s - time.monotonic()))
                calls.start_soon(_stream, http, url, headers, number, tokens)
        span_s = time.monotonic() - start_s
    whole = [count for count in tokens if count == _OUTPUT_TOKENS]
    return {
        'requests_per_s': len(whole) / span_s,
        'tokens_per_s': sum(whole) / span_s,
    }


async def _stream(
    http: httpx.AsyncClient,
    url: str,
    headers: dict[str, str],
    number: int,
    tokens: list[int],
) -> None:
    body = {
        'model': MODEL,
        'prompt': f'{_PROMPT} {number}',
        'max_tokens': _OUTPUT_TOKENS,
        'stream': True,
    }
    count, tail = 0, b''
    try:
        async with http.stream(
            'POST',
            f'{url}/v1/completions',
            content=encode_json(body),
            headers=headers,
        ) as response:
            async for chunk in response.aiter_raw():
                pieces = (tail + chunk).split(b'\n\n')
                tail = pieces.pop()
                count += sum(_TOKEN_MARK in piece for piece in pieces)
    except httpx.HTTPError:
        return
    tokens.append(count)
