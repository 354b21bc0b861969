"""Responses of a target, buffered for the entries that receive them."""

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
class BufferedResponse:
    """A response of the target, sent to one or several attempts.

    Further attempts join if they have the same idempotency key. The buffer
    holds what at least one attempt has not acknowledged.
    """

    def __init__(self, start: StartAttempt, retained_bytes: int) -> None:
        """:param retained_bytes: responses up to this size are not trimmed.

        The ledger stores them once they are complete.
        """
        self.start = start
        self.scope = anyio.CancelScope()
        self.deliveries: list[Delivery] = []
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.total_bytes = 0
        self.failure: Failure | None = None
        self.ended_at_s: float | None = None
        self.tokens = TokenCount()
        self._retained_bytes = retained_bytes
        self._start_position = 0
        self._buffer = bytearray()
        self._space_available = anyio.Event()

    @property
    def is_untrimmed(self) -> bool:
        """Tell whether the buffer still starts with the first byte."""
        return self._start_position == 0

    @property
    def buffered_bytes(self) -> bytes:
        """The bytes in the buffer."""
        return bytes(self._buffer)

    def set_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """:param status: HTTP status of the response."""
        self.status = status
        self.headers = headers
        self.send_available()

    def append(self, payload: bytes) -> None:
        """:param payload: the next bytes."""
        self._buffer += payload
        self.total_bytes += len(payload)
        self.send_available()

    def end(self, now_s: float, failure: Failure | None) -> None:
        """:param failure: None if the response is complete."""
        self.ended_at_s = now_s
        self.failure = failure
        self._retained_bytes = 0
        self.send_available()

    def slice(self, position: int, limit: int) -> bytes:
        """Return bytes of the buffer.

        :param position: of the first byte.
        :param limit: position after the last byte.
        """
        first = position - self._start_position
        return bytes(
            self._buffer[first : max(limit - self._start_position, first)]
        )

    def has_position(self, position: int) -> bool:
        """Tell whether the bytes from a position on are in the buffer.

        :param position: offset in the body; the end is included.
        """
        return self._start_position <= position <= self.total_bytes

    def send_available(self) -> None:
        """Send the available bytes to all attempts and trim the buffer."""
        for delivery in self.deliveries:
            delivery.send_available()
        self._trim()

    async def wait_for_space(self) -> None:
        """Wait until fewer than WINDOW_BYTES are unacknowledged."""
        while self._unread_bytes() >= WINDOW_BYTES:
            self._space_available = anyio.Event()
            await self._space_available.wait()

    def _unread_bytes(self) -> int:
        return self.total_bytes - self._min_acknowledged()

    def _min_acknowledged(self) -> int:
        return min(
            (delivery.acknowledged for delivery in self.deliveries),
            default=self.total_bytes,
        )

    def _trim(self) -> None:
        lowest = self._min_acknowledged()
        if (
            lowest > self._start_position
            and self.total_bytes > self._retained_bytes
        ):
            del self._buffer[: lowest - self._start_position]  # noqa: WPS420
            self._start_position = lowest
        self._space_available.set()


@final
class Delivery:
    """An attempt of an entry that receives a response."""

    def __init__(
        self,
        attempt_id: str,
        entry: EntryRef,
        peer_id: int | None,
        response: BufferedResponse,
        send: Send,
    ) -> None:
        """:param peer_id: connection to send on; None while there is none."""
        self.attempt_id = attempt_id
        self.entry = entry
        self.peer_id = peer_id
        self.response = response
        self.acknowledged = 0
        self.disconnected_at_s: float | None = None
        self.is_replay = False
        # Only the first attempt reports the tokens, so that they are counted
        # once.
        self._reports_tokens = attempt_id == response.start.attempt_id
        self._send = send
        self._is_cancelled = False
        self._position = 0
        self._sent_head = False
        self._sent_end = False

    @property
    def is_done(self) -> bool:
        """Tell whether the end was sent and every byte acknowledged.

        After a failure or a cancellation, the end alone is sufficient.
        """
        total_bytes = self.response.total_bytes
        if self._is_cancelled or self.response.failure is not None:
            return self._sent_end
        return self._sent_end and self.acknowledged >= total_bytes

    @property
    def tokens(self) -> TokenCount:
        """Tokens of this attempt; zero if it joined another one."""
        return self.response.tokens if self._reports_tokens else TokenCount()

    def acknowledge(self, position: int) -> None:
        """:param position: the entry has received all bytes before it."""
        if self.acknowledged < position <= self._position:
            self.acknowledged = position
            self.response.send_available()

    def resume(self, peer_id: int, position: int) -> bool:
        """Send again from a position, on a new connection.

        :param position: of the first byte that the entry has not received.
        :return: False if those bytes are no longer in the buffer.
        """
        if not self.response.has_position(position):
            return False
        self.peer_id = peer_id
        self.disconnected_at_s = None
        self._position = position
        self.acknowledged = max(self.acknowledged, position)
        self._sent_head = False
        self._sent_end = False
        self.send(AttemptStarted(self.attempt_id, self.is_replay))
        self.response.send_available()
        return True

    def send(self, message: Any) -> None:
        """:param message: dropped if the connection has ended."""
        if self.peer_id is None:
            return
        try:
            self._send(self.peer_id, message)
        except LinkClosed:
            self.peer_id = None

    def send_available(self) -> None:
        """Send the head, the bytes within the window, and the end."""
        response = self.response
        if response.status and not self._sent_head:
            self.send(
                AttemptHead(self.attempt_id, response.status, response.headers),
            )
            self._sent_head = True
        window_end = self.acknowledged + WINDOW_BYTES
        limit = min(response.total_bytes, window_end)
        while self.peer_id is not None and self._position < limit:
            last = min(self._position + CHUNK_BYTES, limit)
            payload = response.slice(self._position, last)
            self.send(AttemptChunk(self.attempt_id, self._position, payload))
            self._position = last
        self._send_end()

    def cancel(self) -> None:
        """Cancel the attempt and confirm it.

        The request goes on if other attempts receive its response.
        """
        response = self.response
        self._is_cancelled = True
        self._sent_end = False
        if response.ended_at_s is None and len(response.deliveries) > 1:
            self._sent_end = True
            self.send(CancelConfirmed(self.attempt_id, True, 0, 0))
            response.deliveries.remove(self)
            response.send_available()
            return
        response.scope.cancel()
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
        response, failure = self.response, self.response.failure
        if response.ended_at_s is None:
            return None
        if self._is_cancelled:
            started = failure is None or failure.outcome != 'not_run'
            return CancelConfirmed(self.attempt_id, started, *self.tokens)
        if failure is not None:
            return AttemptFailed(self.attempt_id, *failure, *self.tokens)
        if self._position < response.total_bytes:
            return None
        return AttemptEnd(self.attempt_id, response.total_bytes, *self.tokens)
