import asyncio
import random

import anyio
import pytest

from peridotrill import messages
from peridotrill.channel import (
    AGENT_END,
    ENTRY_END,
    UNDELAYED_BYTES,
    Channel,
)
from peridotrill.clock import SystemClock
from peridotrill.exceptions import LinkClosed
from peridotrill.timeline import Recorder

pytestmark = pytest.mark.anyio


class _LossyPair:
    """Two connected channels; batches from the agent's end may be lost."""

    def __init__(self, seed: int, loss_ratio: float) -> None:
        self.random = random.Random(seed)
        self.loss_ratio = loss_ratio
        self.received: list[int] = []
        recorder = Recorder('test', SystemClock())
        self.agent = Channel(self._to_entry, SystemClock(), recorder, AGENT_END)
        self.entry = Channel(self._to_agent, SystemClock(), recorder, ENTRY_END)

    def _to_entry(self, payload: bytes) -> None:
        if self.random.random() >= self.loss_ratio:
            asyncio.get_running_loop().call_soon(self._receive, payload)

    def _to_agent(self, payload: bytes) -> None:
        asyncio.get_running_loop().call_soon(self.agent.receive, payload)

    def _receive(self, payload: bytes) -> None:
        for entry in self.entry.receive(payload):
            if isinstance(entry, messages.AttemptChunk):
                # Waiting chunks are joined; each byte is one sent chunk.
                end = entry.position + len(entry.payload)
                self.received.extend(range(entry.position, end))
            elif isinstance(entry, messages.AttemptStarted):
                self.received.append(int(entry.attempt_id))


@pytest.mark.parametrize('seed', range(5))
async def test_dropped_batches_arrive_once_and_in_order(seed):
    # Guards against losing batches that the transport silently drops,
    # including the last of a burst and retransmitted ones.
    pair = _LossyPair(seed, loss_ratio=0.2)
    for number in range(300):
        if number % 7:
            pair.agent.send(messages.AttemptChunk('x', number, b'y'))
        else:
            pair.agent.send(messages.AttemptStarted(str(number), False))
        if number % 5 == 0:
            await anyio.sleep(0.002)
    with anyio.fail_after(20):
        while len(pair.received) < 300:
            # Heartbeats are sent as long as a connection lasts.
            pair.agent.send(messages.Heartbeat(0, 0, 0, 0))
            await anyio.sleep(0.05)
    assert pair.received == list(range(300))
    assert not pair.agent.close_reason


async def test_stalled_peer_is_disconnected():
    # Guards against memory that grows while an entry process is paused.
    recorder = Recorder('test', SystemClock())
    channel = Channel(lambda payload: None, SystemClock(), recorder, AGENT_END)
    chunk = messages.AttemptChunk('x', 0, bytes(64 * 1024))
    with pytest.raises(LinkClosed):
        for _ in range(200):
            channel.send(chunk)
            channel.flush()
    assert channel.close_reason == 'stalled'


async def test_chunks_between_the_first_and_the_end_are_batched():
    # Guards against one batch and message per token of each stream, which
    # would take up most of the CPU time of an entry.
    batches: list[list[object]] = []
    recorder = Recorder('test', SystemClock())
    channel = Channel(
        lambda payload: batches.append(messages.decode_batch(payload).messages),
        SystemClock(),
        recorder,
        ENTRY_END,
    )
    channel.send(messages.AttemptStarted('a', False))
    channel.send(messages.AttemptHead('a', 200, []))
    assert not batches
    channel.send(messages.AttemptChunk('a', 0, bytes(UNDELAYED_BYTES)))
    assert [len(batch) for batch in batches] == [3]
    for number in range(40):
        for attempt_id in ('a', 'b'):
            position = UNDELAYED_BYTES + number
            payload = bytes([number])
            channel.send(messages.AttemptChunk(attempt_id, position, payload))
    assert len(batches) == 1
    end = messages.AttemptEnd('a', UNDELAYED_BYTES + 40, 1, 1)
    channel.send(end)
    assert batches[1:] == [
        [
            messages.AttemptChunk('a', UNDELAYED_BYTES, bytes(range(40))),
            messages.AttemptChunk('b', UNDELAYED_BYTES, bytes(range(40))),
            end,
        ]
    ]
