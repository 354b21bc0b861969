"""Answers on their way from the target to entries."""

from collections.abc import Callable
from typing import Any, Final, final

import anyio

from peridotrill.exceptions import LinkClosed
from peridotrill.ledger import Failure
from peridotrill.messages import (
    AttemptChunk,
    AttemptEnd,
    AttemptFailed,
    AttemptHead,
    AttemptStarted,
    CancelConfirmed,
    EntryRef,
    StartAttempt,
)
from peridotrill.token_counter import TokenCount

WINDOW_BYTES: Final = 256 * 1024
CHUNK_BYTES: Final = 64 * 1024

Send = Callable[[int, Any], None]


@final
class Answer:
    """An answer of the target, read by one attempt and those that joined."""

    def __init__(self, start: StartAttempt, keep_bytes: int) -> None:
        """:param keep_bytes: so much is kept from the start, for the ledger."""
        self.start = start
        self.scope = anyio.CancelScope()
        self.deliveries: list[Delivery] = []
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.total_bytes = 0
        self.failure: Failure | None = None
        self.ended_s: float | None = None
        self.tokens = TokenCount()
        self._keep_bytes = keep_bytes
        self._first = 0
        self._kept = bytearray()
        self._room = anyio.Event()

    @property
    def is_whole(self) -> bool:
        """Tell whether all bytes from the first are still kept."""
        return self._first == 0

    @property
    def kept_bytes(self) -> bytes:
        """The bytes that are still kept."""
        return bytes(self._kept)

    def set_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """:param status: of the answer, before its first byte."""
        self.status = status
        self.headers = headers
        self.pump()

    def append(self, payload: bytes) -> None:
        """:param payload: the next bytes."""
        self._kept += payload
        self.total_bytes += len(payload)
        self.pump()

    def end(self, now_s: float, failure: Failure | None) -> None:
        """:param failure: code, detail and outcome; None if it is complete."""
        self.ended_s = now_s
        self.failure = failure
        self._keep_bytes = 0
        self.pump()

    def slice(self, position: int, limit: int) -> bytes:
        """Return kept bytes.

        :param position: of the first byte.
        :param limit: position after the last byte.
        """
        first = position - self._first
        return bytes(self._kept[first : max(limit - self._first, first)])

    def holds(self, position: int) -> bool:
        """Tell whether the bytes from a position on are available.

        :param position: in the answer.
        """
        return self._first <= position <= self.total_bytes

    def pump(self) -> None:
        """Send what can be sent and forget what nobody needs."""
        for delivery in self.deliveries:
            delivery.pump()
        self._trim()

    async def wait_for_room(self) -> None:
        """Wait until a reader has taken more of the window."""
        while self._unread_bytes() >= WINDOW_BYTES:
            self._room = anyio.Event()
            await self._room.wait()

    def _unread_bytes(self) -> int:
        return self.total_bytes - self._lowest_position()

    def _lowest_position(self) -> int:
        return min(
            (delivery.acknowledged for delivery in self.deliveries),
            default=self.total_bytes,
        )

    def _trim(self) -> None:
        lowest = self._lowest_position()
        if lowest > self._first and self.total_bytes > self._keep_bytes:
            del self._kept[: lowest - self._first]  # noqa: WPS420
            self._first = lowest
        self._room.set()


@final
class Delivery:
    """One attempt of an entry that receives an answer."""

    def __init__(
        self,
        attempt_id: str,
        entry: EntryRef,
        peer_id: int | None,
        answer: Answer,
        send: Send,
    ) -> None:
        """:param peer_id: connection to send on; None while there is none."""
        self.attempt_id = attempt_id
        self.entry = entry
        self.peer_id = peer_id
        self.answer = answer
        self.acknowledged = 0
        self.detached_s: float | None = None
        self.is_replay = False
        # One attempt carries the tokens, so that they are counted once.
        self._counts_tokens = attempt_id == answer.start.attempt_id
        self._send = send
        self._is_cancelled = False
        self._position = 0
        self._sent_head = False
        self._sent_end = False

    @property
    def is_done(self) -> bool:
        """Tell whether the end was sent and every byte acknowledged."""
        total_bytes = self.answer.total_bytes
        if self._is_cancelled or self.answer.failure is not None:
            return self._sent_end
        return self._sent_end and self.acknowledged >= total_bytes

    @property
    def tokens(self) -> TokenCount:
        """Tokens of this attempt; zero if it joined another one."""
        return self.answer.tokens if self._counts_tokens else TokenCount()

    def acknowledge(self, position: int) -> None:
        """:param position: the entry holds every byte before it."""
        if self.acknowledged < position <= self._position:
            self.acknowledged = position
            self.answer.pump()

    def resume(self, peer_id: int, position: int) -> bool:
        """Send again from a position, on a new connection.

        :param position: of the first byte that the entry lacks.
        :return: False if those bytes are not kept.
        """
        if not self.answer.holds(position):
            return False
        self.peer_id = peer_id
        self.detached_s = None
        self._position = position
        self.acknowledged = max(self.acknowledged, position)
        self._sent_head = False
        self._sent_end = False
        self.send(AttemptStarted(self.attempt_id, self.is_replay))
        self.answer.pump()
        return True

    def send(self, message: Any) -> None:
        """:param message: dropped if the connection has ended."""
        if self.peer_id is None:
            return
        try:
            self._send(self.peer_id, message)
        except LinkClosed:
            self.peer_id = None

    def pump(self) -> None:
        """Send head, bytes within the window, and the end."""
        answer = self.answer
        if answer.status and not self._sent_head:
            self.send(
                AttemptHead(self.attempt_id, answer.status, answer.headers),
            )
            self._sent_head = True
        window_end = self.acknowledged + WINDOW_BYTES
        limit = min(answer.total_bytes, window_end)
        while self.peer_id is not None and self._position < limit:
            last = min(self._position + CHUNK_BYTES, limit)
            payload = answer.slice(self._position, last)
            self.send(AttemptChunk(self.attempt_id, self._position, payload))
            self._position = last
        self._send_end()

    def cancel(self) -> None:
        """End the attempt and confirm it; others that joined go on."""
        answer = self.answer
        self._is_cancelled = True
        self._sent_end = False
        if answer.ended_s is None and len(answer.deliveries) > 1:
            self._sent_end = True
            self.send(CancelConfirmed(self.attempt_id, True, 0, 0))
            answer.deliveries.remove(self)
            answer.pump()
            return
        answer.scope.cancel()
        self._send_end()

    def _send_end(self) -> None:
        if self._sent_end or self.peer_id is None:
            return
        last = self._last_message()
        if last is not None:
            self._sent_end = True
            self.send(last)

    def _last_message(
        self,
    ) -> CancelConfirmed | AttemptFailed | AttemptEnd | None:
        answer, failure = self.answer, self.answer.failure
        if answer.ended_s is None:
            return None
        if self._is_cancelled:
            started = failure is None or failure.outcome != 'not_run'
            return CancelConfirmed(self.attempt_id, started, *self.tokens)
        if failure is not None:
            return AttemptFailed(self.attempt_id, *failure, *self.tokens)
        if self._position < answer.total_bytes:
            return None
        return AttemptEnd(self.attempt_id, answer.total_bytes, *self.tokens)
