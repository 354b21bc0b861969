"""One connection of a link: sequence numbers, outbox and liveness."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final, NamedTuple, final

import pynng

from peridotrill import messages
from peridotrill.clock import Clock
from peridotrill.exceptions import LinkClosed, LinkError, MessageError
from peridotrill.timeline import Recorder

HEARTBEAT_INTERVAL: Final = timedelta(milliseconds=500)
SILENCE_LIMIT: Final = timedelta(seconds=2)
FLUSH_INTERVAL: Final = timedelta(milliseconds=5)
NO_SPACING: Final = timedelta(0)
# The peer's connection is closed when more than this waits for a flush.
MAX_OUTBOX_BYTES: Final = 10 * 1024 * 1024
MAX_OUTBOX_MESSAGES: Final = 4096
BUFFER_MESSAGES: Final = 1024
MAX_EVENTS: Final = 1024

# They tolerate a short delay; every other message is sent at once.
_DELAYED: Final = (messages.AttemptChunk, messages.AcknowledgeBytes)
_FIELDS_BYTES: Final = 256


class LogPosition(NamedTuple):
    """Newest log offset known, and the age of the last successful read."""

    offset: int
    age_s: float


def open_socket(polyamorous: bool) -> pynng.Pair1:
    """Open a socket with bounded buffers.

    The buffers are set because the defaults hold no message at all, and the
    default largest message is smaller than a request body may be.

    :param polyamorous: True for a socket with more than one peer.
    """
    return pynng.Pair1(
        polyamorous=polyamorous,
        # Behind its buffer a polyamorous socket drops what comes too fast;
        # without a buffer it asks to try again while it is busy.
        send_buffer_size=0 if polyamorous else BUFFER_MESSAGES,
        recv_buffer_size=BUFFER_MESSAGES,
        recv_max_size=messages.MAX_BATCH_BYTES,
    )


@final
class Channel:
    """State of one connection; it ends with the connection.

    Control messages are sent at once, unless the previous batch left less
    than ``spacing`` ago. Answer chunks and acknowledgements wait up to
    ``FLUSH_INTERVAL``. Messages keep their order.
    """

    def __init__(
        self,
        transmit: Callable[[bytes], None],
        clock: Clock,
        recorder: Recorder,
        spacing: timedelta = NO_SPACING,
    ) -> None:
        """:param transmit: hands bytes to the transport or raises."""
        self.received_s = clock.monotonic_s()
        self.peer_clock_s = 0.0
        self.close_reason = ''
        self._transmit = transmit
        self._clock = clock
        self._recorder = recorder
        self._spacing_s = spacing.total_seconds()
        self._outbox: list[Any] = []
        self._outbox_bytes = 0
        self._sent = 0
        self._sent_s = self.received_s - self._spacing_s
        self._received = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = 0.0

    def send(self, message: Any) -> None:
        """Send a message on this connection.

        :param message: raises LinkClosed if the connection is closed, or
            fails here; then no byte of the message has left. After a normal
            return, bytes may have left.
        """
        if self.close_reason:
            raise LinkClosed(self.close_reason)
        self._outbox.append(message)
        self._outbox_bytes += _size_bytes(message)
        if self._is_overfull():
            self.close('overflow')
            raise LinkClosed('overflow')
        delay_s = self._delay_s(message)
        if delay_s > 0:
            self._schedule(delay_s)
            return
        self.flush()
        if self.close_reason:
            raise LinkClosed(self.close_reason)

    def flush(self) -> None:
        """Send what waits; closes the channel if the transport refuses."""
        self._cancel_timer()
        if self.close_reason or not self._outbox:
            return
        batch = messages.Batch(
            self._sent + 1,
            self._recorder.lamport,
            self._outbox,
        )
        try:
            self._transmit(messages.encode_batch(batch))
        except pynng.TryAgain:
            self._wait_for_transport()
            return
        except (pynng.NNGException, LinkClosed) as error:
            self.close(f'transport: {error}')
        self._outbox, self._outbox_bytes = [], 0
        self._sent += 1
        self._sent_s = self._clock.monotonic_s()

    def receive(self, payload: bytes) -> list[Any]:
        """Decode a batch.

        :param payload: raises MessageError if it is malformed, LinkError if
            batches before it are missing.
        """
        batch = messages.decode_batch(payload)
        if batch.sequence != self._received + 1:
            raise LinkError(f'gap: {batch.sequence} after {self._received}')
        self._received = batch.sequence
        self.received_s = self._clock.monotonic_s()
        self._recorder.observe(batch.lamport)
        for entry in batch.messages:
            if isinstance(entry, messages.Heartbeat):
                self.peer_clock_s = entry.clock_s
        return batch.messages

    def heartbeat(self, position: LogPosition) -> None:
        """Send a heartbeat; a failure closes the channel.

        :param position: what the peer is told about the log.
        """
        beat = messages.Heartbeat(
            self._clock.monotonic_s(),
            self.peer_clock_s,
            position.offset,
            position.age_s,
        )
        try:
            self.send(beat)
        except LinkClosed:
            return

    def is_silent(self) -> bool:
        """Tell whether nothing was received within ``SILENCE_LIMIT``."""
        elapsed_s = self._clock.monotonic_s() - self.received_s
        return elapsed_s > SILENCE_LIMIT.total_seconds()

    def close(self, reason: str) -> None:
        """Drop what waits; later sends raise LinkClosed.

        :param reason: the first one is kept.
        """
        self.close_reason = self.close_reason or reason
        self._cancel_timer()
        self._outbox, self._outbox_bytes = [], 0

    def _wait_for_transport(self) -> None:
        # Only where sends are spaced may a control message wait.
        if self._spacing_s:
            self._schedule(self._spacing_s)
        else:
            self.close('overflow')

    def _is_overfull(self) -> bool:
        return (
            self._outbox_bytes > MAX_OUTBOX_BYTES
            or len(self._outbox) > MAX_OUTBOX_MESSAGES
        )

    def _delay_s(self, message: Any) -> float:
        if isinstance(message, _DELAYED):
            return FLUSH_INTERVAL.total_seconds()
        return self._sent_s + self._spacing_s - self._clock.monotonic_s()

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self._timer is not None and self._timer_due_s <= due_s:
            return
        self._cancel_timer()
        self._timer_due_s = due_s
        self._timer = loop.call_later(delay_s, self.flush)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def describe_failure(error: LinkError | MessageError) -> str:
    """Return the reason to close a connection for.

    :param error: what ``Channel.receive`` raised.
    """
    if isinstance(error, MessageError):
        return 'malformed'
    return str(error)


def _size_bytes(message: Any) -> int:
    if isinstance(message, messages.AttemptChunk):
        return len(message.payload) + _FIELDS_BYTES
    if isinstance(message, messages.StartAttempt):
        return len(message.body) + _FIELDS_BYTES
    return _FIELDS_BYTES
