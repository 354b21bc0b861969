"""Catch-up of the control state from other entries.

An entry that cannot read the log asks its peers for a newer state. A state
is a snapshot at the newest offset of the peer, so no records follow it.
"""

import math
from collections.abc import Iterable
from datetime import timedelta
from typing import Final, NamedTuple, final

import anyio
import httpx
import msgspec

from peridotrill.clock import Clock
from peridotrill.control_state import ControlState
from peridotrill.exceptions import RecordError
from peridotrill.log_client import READ_WAIT, LogFollower
from peridotrill.records import SnapshotPart
from peridotrill.settings import Address
from peridotrill.snapshots import encode_snapshot, restore_snapshot
from peridotrill.timeline import Recorder

CONTROL_STATE_PATH: Final = '/control-state'
# A read of an idle log is answered after READ_WAIT.
CATCH_UP_AFTER: Final = READ_WAIT + timedelta(seconds=1)
_PEER_TIMEOUT: Final = timedelta(seconds=1)
_TICK: Final = timedelta(milliseconds=500)
_MAX_AGE_S: Final = 1e9


class PeerState(NamedTuple):
    """Answer of a peer; ``parts`` is empty if it has nothing newer."""

    offset: int
    log_age_s: float
    parts: list[SnapshotPart]


_decoder: Final = msgspec.msgpack.Decoder(PeerState)


@final
class PeerStates:
    """Serves the state of this entry and takes over newer ones."""

    def __init__(
        self,
        peers: Iterable[Address],
        http: httpx.AsyncClient,
        state: ControlState,
        follower: LogFollower,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """:param peers: control addresses of other entries."""
        self._peers = tuple(peers)
        self._http = http
        self._state = state
        self._follower = follower
        self._clock = clock
        self._recorder = recorder

    def encode(self, from_offset: int) -> bytes:
        """Return the answer to a peer.

        :param from_offset: first offset that the peer has not applied.
        """
        newer = self._state.offset >= from_offset
        answer = PeerState(
            self._state.offset,
            min(self._follower.log_age_s(), _MAX_AGE_S),
            encode_snapshot(self._state) if newer else [],
        )
        return msgspec.msgpack.encode(answer)

    async def run(self) -> None:
        """Ask the peers while the log cannot be read, until cancelled."""
        limit_s = CATCH_UP_AFTER.total_seconds()
        while self._peers:
            if self._follower.log_age_s() > limit_s:
                await self._ask_all()
            await anyio.sleep(_TICK.total_seconds())

    def take_over(self, answer: PeerState, sent_s: float) -> None:
        """Take over the answer of a peer; never goes back.

        :param sent_s: clock of this process before it asked.
        """
        if answer.parts and answer.offset > self._state.offset:
            if not self._restore(answer.parts):
                return
            self._recorder.emit('peer_state_restored', offset=answer.offset)
        if self._state.offset == answer.offset:
            self._follower.confirm(sent_s - answer.log_age_s)

    def _restore(self, parts: list[SnapshotPart]) -> bool:
        state = self._state
        in_log = state.snapshot_offset, state.snapshot_at_s
        try:
            restore_snapshot(state, parts)
        except RecordError as error:
            self._recorder.emit('peer_state_rejected', detail=str(error))
            return False
        # The snapshot of a peer is not in the log; taking it for the newest
        # one there would delay the next.
        state.snapshot_offset, state.snapshot_at_s = in_log
        return True

    async def _ask_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for peer in self._peers:
                tasks.start_soon(self._ask, peer)

    async def _ask(self, peer: Address) -> None:
        sent_s = self._clock.monotonic_s()
        answer = None
        with anyio.move_on_after(_PEER_TIMEOUT.total_seconds()):
            answer = await self._fetch(peer)
        if answer is not None:
            self.take_over(answer, sent_s)

    async def _fetch(self, peer: Address) -> PeerState | None:
        try:
            response = await self._http.get(
                f'http://{peer}{CONTROL_STATE_PATH}',
                params={'from': self._state.offset + 1},
            )
        except httpx.TransportError:
            return None
        try:
            answer = _decoder.decode(response.content)
        except (msgspec.MsgspecError, RecursionError):
            return None
        return answer if math.isfinite(answer.log_age_s) else None
