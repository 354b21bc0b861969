"""Short streams are taken up after the gateway that began them was killed.

While two software versions serve, the other gateway refuses the streams that
began since the last report of the killed one.
"""

import asyncio
import itertools
import random
import time
from pathlib import Path

from review.standins.http import request
from review.standins.platform import Engine
from review.standins.site import (
    HOST,
    KEY,
    CannotRun,
    Site,
    has_trouble,
    play,
    route,
)

FOLDER = Path(__file__).parent
# Two engines of each version.
VERSIONS = ('1', '1', '2', '2')
# New streams a second at each of the two gateways, and their length.
STREAMS_PER_S = 90
EVENTS = 5
EVENT_GAP_S = 0.008
DEADLINE_S = 3.0
# The gateways are killed by turns, one at a time.
KILLS = 11
FIRST_S = 5.0
STEP_S = 7.5
DOWN_S = 2.0
# A kill comes up to so much later, at any point between two reports.
KILL_SPREAD_S = 0.5
CONTACT_S = 3.0
# LOST: of so many streams that are taken up, the share that goes on has to be
# half of the share of new streams that begin.
LEAST_TAKEN_UP = 12
LEAST_RATIO = 0.5


class Requesters:
    """Ask for streams, and take a stream up once if it breaks."""

    def __init__(self, record, site):
        self._record = record
        self._site = site
        self._numbers = itertools.count(1)
        # Gateways that are up, and since when.
        self.up_since_s = {}
        self.sent = 0
        self.begun = 0
        self.taken_up = 0
        self.gone_on = 0

    async def run(self, gateway, until_s):
        tasks = set()
        while time.monotonic() < until_s:
            if gateway.node in self.up_since_s:
                task = asyncio.ensure_future(self._play_stream(gateway))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
        if tasks:
            await asyncio.wait(tasks, timeout=6)

    async def _play_stream(self, gateway):
        self.sent += 1
        begun_id = f's{next(self._numbers)}'
        deadline_s = time.monotonic() + DEADLINE_S
        answer = await self._send(gateway, begun_id, deadline_s)
        events = answer.events
        self.begun += bool(events)
        if not answer.complete and events:
            await self._take_up(gateway, begun_id, events, deadline_s)
        elif not answer.complete or answer.status != 200:
            self._record(
                f'{begun_id} at {gateway.node}: {answer.status} {answer.error}'
            )

    async def _take_up(self, gateway, begun_id, events, deadline_s):
        last = events[-1][0].partition(': ')[2]
        other = next(row for row in self._site.gateways if row != gateway)
        up_s = time.monotonic() - self.up_since_s.get(other.node, float('inf'))
        answer = await self._send(
            other,
            f'{begun_id}.2',
            deadline_s,
            **{'Last-Event-Id': last, 'Resumes': begun_id},
        )
        is_last = int(last) == EVENTS
        has_gone_on = answer.status == 200 and bool(answer.events)
        # A stream that lacks no event can't go on.
        if up_s > CONTACT_S and not is_last:
            self.taken_up += 1
            self.gone_on += has_gone_on
        self._record(
            f'{begun_id} broke at {gateway.node} after event {last}; '
            f'{begun_id}.2 at {other.node}: {answer.status} '
            f'{"goes on" if has_gone_on else answer.body.decode()}'
        )

    async def _send(self, gateway, request_id, deadline_s, **headers):
        left_ms = int((deadline_s - time.monotonic()) * 1000)
        part = f'a{random.randrange(20)}'
        rows = [
            ('Host', HOST),
            ('Authorization', f'Bearer {KEY}'),
            ('X-Peridotrill-Request-Id', request_id),
            ('X-Peridotrill-Deadline-Ms', str(left_ms)),
            ('X-Peridotrill-Model', 'm'),
            ('X-Peridotrill-Token-Count', f'383,{EVENTS}'),
            ('X-Peridotrill-Prompt-Prefix', f'{part}:92,{request_id}:291'),
            *headers.items(),
        ]
        return await request(
            gateway.host, gateway.port, 'POST', '/lookup/x', rows, b'q' * 380
        )


async def kill(gateway, requesters, record):
    """Kill a gateway and start it again."""
    record(f'{gateway.node} is killed')
    del requesters.up_since_s[gateway.node]
    await gateway.kill()
    await asyncio.sleep(DOWN_S)
    gateway.start()
    await gateway.wait_ready()
    requesters.up_since_s[gateway.node] = time.monotonic()
    record(f'{gateway.node} is ready again')


async def case(record):
    changes = {'timeout-ms': 3000, 'goal-ms': 300, 'priority': 0}
    routes = [route('lookup', 'stream', 'llm', **changes)]
    async with Site(routes) as site:
        await Engine(site.store, 'i-prefill', 'llm', 'prefill').start()
        for number, version in enumerate(VERSIONS):
            engine = Engine(site.store, f'i-{number}', 'llm', 'decode', version)
            engine.event_count = EVENTS
            engine.event_gap_s = EVENT_GAP_S
            await engine.start()
        await site.start_gateways(2)
        requesters = Requesters(record, site)
        for gateway in site.gateways:
            requesters.up_since_s[gateway.node] = time.monotonic()
        start_s = time.monotonic() + FIRST_S
        until_s = start_s + KILLS * STEP_S
        load = [
            asyncio.ensure_future(requesters.run(gateway, until_s))
            for gateway in site.gateways
        ]
        for number in range(KILLS):
            due_s = start_s + number * STEP_S
            due_s += random.uniform(0, KILL_SPREAD_S)
            await asyncio.sleep(due_s - time.monotonic())
            if has_trouble():
                gateway = site.gateways[number % len(site.gateways)]
                await kill(gateway, requesters, record)
        await asyncio.gather(*load)
    new_share = requesters.begun / max(1, requesters.sent)
    record(
        f'of {requesters.sent} new streams {requesters.begun} began; of '
        f'{requesters.taken_up} that were taken up {requesters.gone_on} went on'
    )
    if new_share < 0.5:
        raise CannotRun('fewer than half of the new streams began')
    if requesters.taken_up < LEAST_TAKEN_UP:
        return True
    share = requesters.gone_on / requesters.taken_up
    return share >= new_share * LEAST_RATIO


if __name__ == '__main__':
    play(case, FOLDER)
