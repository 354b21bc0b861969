"""One connection of a link: sequence numbers, outbox and liveness."""

import asyncio
from collections import deque
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
# Bounds what an answer chunk waits for others; far within the 55 ms that are
# allowed between tokens.
FLUSH_INTERVAL: Final = timedelta(milliseconds=20)
SHORT_DELAY: Final = timedelta(milliseconds=5)
# The first events of a stream, with its first token, do not wait.
UNDELAYED_BYTES: Final = 512
# Larger answers are sent without waiting for the interval.
FULL_BATCH_BYTES: Final = 64 * 1024
# The peer's connection is closed when more than this waits for a flush.
MAX_OUTBOX_BYTES: Final = 10 * 1024 * 1024
MAX_OUTBOX_MESSAGES: Final = 4096
BUFFER_MESSAGES: Final = 1024
# Sent but not acknowledged; with more the peer is considered stalled.
MAX_UNACKNOWLEDGED_BYTES: Final = 4 * 1024 * 1024
MAX_UNACKNOWLEDGED_BATCHES: Final = 4096
ACKNOWLEDGE_INTERVAL: Final = timedelta(milliseconds=50)
ACKNOWLEDGE_BATCHES: Final = 32
PROBE_DELAY: Final = timedelta(milliseconds=20)
MAX_EVENTS: Final = 1024

# Usually followed soon by a message that is sent at once.
_DELAYED: Final = (
    messages.AcknowledgeBytes,
    messages.AttemptHead,
    messages.AttemptStarted,
)
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


class ChannelRole(NamedTuple):
    """How the ends of a connection differ.

    A polyamorous socket drops a message without notice when two wait for a
    connection, for instance while the threads of the transport get no
    processor time. Its end (``keeps_sent``) therefore keeps what it sent
    until the other end (``requests_resend``) acknowledges it. ``spacing``
    between batches makes drops rare.
    """

    keeps_sent: bool
    requests_resend: bool
    spacing: timedelta


ENTRY_END: Final = ChannelRole(
    keeps_sent=False,
    requests_resend=True,
    spacing=timedelta(0),
)
AGENT_END: Final = ChannelRole(
    keeps_sent=True,
    requests_resend=False,
    spacing=timedelta(milliseconds=2),
)


class _SentBatch(NamedTuple):
    sequence: int
    messages: list[Any]
    size_bytes: int


@final
class Channel:
    """State of one connection; it ends with the connection.

    Messages are sent at once, unless the previous batch left less than the
    spacing of the role ago. Answer chunks after the first bytes wait up to
    ``FLUSH_INTERVAL``, and those of one attempt that wait are joined. The
    start of an answer, before its first chunk, and acknowledgements wait up to
    ``SHORT_DELAY``. Messages of an attempt keep their order.
    """

    def __init__(
        self,
        transmit: Callable[[bytes], None],
        clock: Clock,
        recorder: Recorder,
        role: ChannelRole,
    ) -> None:
        """:param transmit: hands bytes to the transport or raises."""
        self.received_s = clock.monotonic_s()
        self.peer_clock_s = 0.0
        self.close_reason = ''
        self._transmit = transmit
        self._clock = clock
        self._recorder = recorder
        self._role = role
        self._unacknowledged: deque[_SentBatch] = deque()
        self._unacknowledged_bytes = 0
        self._acknowledged = 0
        self._acknowledged_s = self.received_s
        self._resend_s = float('-inf')
        self._probe: asyncio.TimerHandle | None = None
        self._outbox: list[Any] = []
        # Place in the outbox of the last chunk of each attempt.
        self._last_chunks: dict[str, int] = {}
        self._outbox_bytes = 0
        self._sent = 0
        self._sent_s = self.received_s - role.spacing.total_seconds()
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
        self._add(message)
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
        pending, size_bytes = self._outbox, self._outbox_bytes
        self._clear_outbox()
        self._send_batch(pending, size_bytes)

    def receive(self, payload: bytes) -> list[Any]:
        """Decode a batch.

        :param payload: raises MessageError if it is malformed, LinkError if
            batches before it are missing and cannot be sent again.
        :return: its messages; none of a batch after a gap, which will be
            sent again.
        """
        batch = messages.decode_batch(payload)
        self.received_s = self._clock.monotonic_s()
        if batch.sequence != self._received + 1:
            self._request_resend(batch.sequence)
            return []
        self._received = batch.sequence
        self._recorder.update_lamport(batch.lamport)
        self._acknowledge_batches()
        return [entry for entry in batch.messages if not self._handle(entry)]

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
        if self._probe is not None:
            self._probe.cancel()
        self._clear_outbox()

    def _add(self, message: Any) -> None:
        """Add to the outbox; a chunk is joined with those before it."""
        self._outbox_bytes += _size_bytes(message)
        if isinstance(message, messages.AttemptChunk):
            if self._join_chunk(message):
                return
            self._last_chunks[message.attempt_id] = len(self._outbox)
        self._outbox.append(message)

    def _join_chunk(self, chunk: messages.AttemptChunk) -> bool:
        place = self._last_chunks.get(chunk.attempt_id)
        if place is None or not _can_join(self._outbox[place], chunk):
            return False
        last = self._outbox[place]
        joined = last.payload + chunk.payload
        self._outbox[place] = last._replace(payload=joined)
        return True

    def _clear_outbox(self) -> None:
        self._outbox, self._outbox_bytes = [], 0
        self._last_chunks.clear()

    def _send_batch(self, pending: list[Any], size_bytes: int) -> None:
        batch = messages.Batch(self._sent + 1, self._recorder.lamport, pending)
        try:
            self._transmit(messages.encode_batch(batch))
        except pynng.TryAgain:
            self._wait_for_transport(pending, size_bytes)
            return
        except (pynng.NNGException, LinkClosed) as error:
            self.close(f'transport: {error}')
            return
        self._sent += 1
        self._sent_s = self._clock.monotonic_s()
        if self._role.keeps_sent:
            self._keep(_SentBatch(self._sent, pending, size_bytes))

    def _wait_for_transport(self, pending: list[Any], size_bytes: int) -> None:
        # Only where sends are spaced may a control message wait.
        if not self._role.keeps_sent:
            self.close('overflow')
            return
        self._outbox = [*pending, *self._outbox]
        self._last_chunks.clear()
        self._outbox_bytes += size_bytes
        if self._outbox:
            self._schedule(self._role.spacing.total_seconds())
        else:
            self._schedule_probe()

    def _keep(self, sent: _SentBatch) -> None:
        self._unacknowledged.append(sent)
        self._unacknowledged_bytes += sent.size_bytes
        if self._unacknowledged_bytes > MAX_UNACKNOWLEDGED_BYTES:
            self.close('stalled')
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED_BATCHES:
            self.close('stalled')
        if sent.messages:
            self._schedule_probe()

    def _schedule_probe(self) -> None:
        if self._probe is not None:
            self._probe.cancel()
        loop = asyncio.get_running_loop()
        self._probe = loop.call_later(
            PROBE_DELAY.total_seconds(),
            self._send_probe,
        )

    def _send_probe(self) -> None:
        if self._unacknowledged and not self.close_reason:
            self._send_batch([], 0)

    def _handle(self, entry: Any) -> bool:
        if isinstance(entry, messages.AcknowledgeBatches):
            self._forget_sent(entry)
            return True
        if isinstance(entry, messages.Heartbeat):
            self.peer_clock_s = entry.clock_s
        return False

    def _forget_sent(self, entry: messages.AcknowledgeBatches) -> None:
        kept = self._unacknowledged
        while kept and kept[0].sequence <= entry.received:
            self._unacknowledged_bytes -= kept.popleft().size_bytes
        if entry.resend and kept and kept[0].sequence == entry.received + 1:
            self._resend()

    def _resend(self) -> None:
        # The peer takes nothing but the next sequence number, and the
        # connection keeps the order, so all that is missing fits into one
        # batch with that number.
        kept = self._unacknowledged
        missing = [entry for sent in kept for entry in sent.messages]
        self._sent = kept[0].sequence - 1
        size_bytes = self._unacknowledged_bytes
        kept.clear()
        self._unacknowledged_bytes = 0
        self._recorder.emit('batches_sent_again', messages=len(missing))
        self._send_batch(missing, size_bytes)

    def _request_resend(self, sequence: int) -> None:
        if not self._role.requests_resend:
            raise LinkError(f'gap: {sequence} after {self._received}')
        now_s = self._clock.monotonic_s()
        recent = now_s - self._resend_s < ACKNOWLEDGE_INTERVAL.total_seconds()
        if sequence <= self._received or recent:
            return
        self._resend_s = now_s
        self._send_acknowledgement(resend=True)

    def _acknowledge_batches(self) -> None:
        if not self._role.requests_resend:
            return
        elapsed_s = self._clock.monotonic_s() - self._acknowledged_s
        due = elapsed_s >= ACKNOWLEDGE_INTERVAL.total_seconds()
        if due or self._received - self._acknowledged >= ACKNOWLEDGE_BATCHES:
            self._send_acknowledgement(resend=False)

    def _send_acknowledgement(self, resend: bool) -> None:
        self._acknowledged = self._received
        self._acknowledged_s = self._clock.monotonic_s()
        try:
            self.send(messages.AcknowledgeBatches(self._received, resend))
        except LinkClosed:
            return

    def _is_overfull(self) -> bool:
        return (
            self._outbox_bytes > MAX_OUTBOX_BYTES
            or len(self._outbox) > MAX_OUTBOX_MESSAGES
        )

    def _delay_s(self, message: Any) -> float:
        if isinstance(message, _DELAYED):
            return SHORT_DELAY.total_seconds()
        if isinstance(message, messages.AttemptChunk):
            is_first = message.position < UNDELAYED_BYTES
            if not is_first and self._outbox_bytes < FULL_BATCH_BYTES:
                return FLUSH_INTERVAL.total_seconds()
        return (
            self._sent_s
            + self._role.spacing.total_seconds()
            - self._clock.monotonic_s()
        )

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


def _can_join(
    last: messages.AttemptChunk,
    following: messages.AttemptChunk,
) -> bool:
    end = last.position + len(last.payload)
    size_bytes = len(last.payload) + len(following.payload)
    return end == following.position and size_bytes <= FULL_BATCH_BYTES


def _size_bytes(message: Any) -> int:
    if isinstance(message, messages.AttemptChunk):
        return len(message.payload) + _FIELDS_BYTES
    if isinstance(message, messages.StartAttempt):
        return len(message.body) + _FIELDS_BYTES
    return _FIELDS_BYTES
