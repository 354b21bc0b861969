"""Exchange of the control state between entries.

An entry that cannot read the log requests a newer state from its peers. The
state is a snapshot at the newest offset that the peer has applied, so no
records have to be sent with it.
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
from peridotrill.log_client import LONG_POLL_WAIT, LogFollower
from peridotrill.records import SnapshotPart
from peridotrill.settings import Address
from peridotrill.snapshots import encode_snapshot, restore_snapshot
from peridotrill.timeline import Recorder

CONTROL_STATE_PATH: Final = '/control-state'
# A read of an idle log returns after LONG_POLL_WAIT.
CATCH_UP_LOG_AGE: Final = LONG_POLL_WAIT + timedelta(seconds=1)
_PEER_TIMEOUT: Final = timedelta(seconds=1)
_TICK_INTERVAL: Final = timedelta(milliseconds=500)
_MAX_AGE_S: Final = 1e9


class PeerStateResponse(NamedTuple):
    """Response of a peer; ``parts`` is empty if its state is not newer."""

    offset: int
    log_age_s: float
    parts: list[SnapshotPart]


_decoder: Final = msgspec.msgpack.Decoder(PeerStateResponse)


@final
class PeerStateExchange:
    """Serves the state of this entry and applies newer states of peers."""

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
        """Return the response to a peer.

        :param from_offset: first offset that the peer has not applied.
        """
        newer = self._state.offset >= from_offset
        peer_response = PeerStateResponse(
            self._state.offset,
            min(self._follower.log_age_s(), _MAX_AGE_S),
            encode_snapshot(self._state) if newer else [],
        )
        return msgspec.msgpack.encode(peer_response)

    async def run(self) -> None:
        """Query the peers while the log cannot be read, until cancelled."""
        max_log_age_s = CATCH_UP_LOG_AGE.total_seconds()
        while self._peers:
            if self._follower.log_age_s() > max_log_age_s:
                await self._query_peers()
            await anyio.sleep(_TICK_INTERVAL.total_seconds())

    def apply_response(
        self, peer_response: PeerStateResponse, sent_at_s: float
    ) -> None:
        """Apply the response of a peer unless its state is older.

        :param sent_at_s: monotonic time at which the request was sent.
        """
        if peer_response.parts and peer_response.offset > self._state.offset:
            if not self._restore(peer_response.parts):
                return
            self._recorder.emit(
                'peer_state_restored', offset=peer_response.offset
            )
        if self._state.offset == peer_response.offset:
            self._follower.mark_current(sent_at_s - peer_response.log_age_s)

    def _restore(self, parts: list[SnapshotPart]) -> bool:
        state = self._state
        logged_snapshot = state.snapshot_offset, state.snapshot_at_s
        try:
            restore_snapshot(state, parts)
        except RecordError as error:
            self._recorder.emit('peer_state_rejected', detail=str(error))
            return False
        # The snapshot of a peer is not in the log. Counting it as the newest
        # one in the log would delay the next.
        state.snapshot_offset, state.snapshot_at_s = logged_snapshot
        return True

    async def _query_peers(self) -> None:
        async with anyio.create_task_group() as tasks:
            for peer in self._peers:
                tasks.start_soon(self._query_peer, peer)

    async def _query_peer(self, peer: Address) -> None:
        sent_at_s = self._clock.monotonic_s()
        peer_response = None
        with anyio.move_on_after(_PEER_TIMEOUT.total_seconds()):
            peer_response = await self._fetch(peer)
        if peer_response is not None:
            self.apply_response(peer_response, sent_at_s)

    async def _fetch(self, peer: Address) -> PeerStateResponse | None:
        try:
            response = await self._http.get(
                f'http://{peer}{CONTROL_STATE_PATH}',
                params={'from': self._state.offset + 1},
            )
        except httpx.TransportError:
            return None
        try:
            peer_response = _decoder.decode(response.content)
        except (msgspec.MsgspecError, RecursionError):
            return None
        return peer_response if math.isfinite(peer_response.log_age_s) else None
