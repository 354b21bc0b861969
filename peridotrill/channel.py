"""State of a link connection: sequence numbers, outbox and liveness."""

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
PEER_TIMEOUT: Final = timedelta(seconds=2)
# Longest wait of a response chunk for others; well below the 55 ms that are
# allowed between tokens.
FLUSH_INTERVAL: Final = timedelta(milliseconds=20)
SHORT_FLUSH_DELAY: Final = timedelta(milliseconds=5)
# The first bytes of a response, with the first token, are sent at once.
UNDELAYED_BYTES: Final = 512
# An outbox of this size is sent without waiting for the flush interval.
FULL_BATCH_BYTES: Final = 64 * 1024
# The connection is closed when the outbox exceeds these limits.
MAX_OUTBOX_BYTES: Final = 10 * 1024 * 1024
MAX_OUTBOX_MESSAGES: Final = 4096
SOCKET_BUFFER_MESSAGES: Final = 1024
# A peer that leaves more sent data unacknowledged is considered stalled.
MAX_UNACKNOWLEDGED_BYTES: Final = 4 * 1024 * 1024
MAX_UNACKNOWLEDGED_BATCHES: Final = 4096
ACKNOWLEDGE_INTERVAL: Final = timedelta(milliseconds=50)
ACKNOWLEDGE_INTERVAL_BATCHES: Final = 32
PROBE_DELAY: Final = timedelta(milliseconds=20)
MAX_QUEUED_EVENTS: Final = 1024

# Sent with a delay, since a message that is sent at once usually follows soon.
_DELAYED_TYPES: Final = (
    messages.AcknowledgeBytes,
    messages.AttemptHead,
    messages.AttemptStarted,
)
_MESSAGE_OVERHEAD_BYTES: Final = 256


class LogPosition(NamedTuple):
    """Newest known log offset and age of the last successful read."""

    offset: int
    age_s: float


def open_socket(polyamorous: bool) -> pynng.Pair1:
    """Open a socket with bounded buffers.

    The default buffers hold no message at all, and the default limit of the
    message size is below the largest request body.

    :param polyamorous: True for a socket with more than one peer.
    """
    return pynng.Pair1(
        polyamorous=polyamorous,
        # With a buffer, a polyamorous socket drops messages that are sent too
        # fast; without one, it raises TryAgain while it is busy.
        send_buffer_size=0 if polyamorous else SOCKET_BUFFER_MESSAGES,
        recv_buffer_size=SOCKET_BUFFER_MESSAGES,
        recv_max_size=messages.MAX_BATCH_BYTES,
    )


class ChannelRole(NamedTuple):
    """Behaviour that differs between the two ends of a connection.

    A polyamorous socket silently drops a message when two are waiting for a
    connection, for instance while the transport threads get no CPU time. Its
    end (``retransmits``) therefore buffers sent batches until the other end
    (``requests_resend``) acknowledges them. ``min_batch_interval`` makes such
    drops rare.
    """

    retransmits: bool
    requests_resend: bool
    min_batch_interval: timedelta


ENTRY_END: Final = ChannelRole(
    retransmits=False,
    requests_resend=True,
    min_batch_interval=timedelta(0),
)
AGENT_END: Final = ChannelRole(
    retransmits=True,
    requests_resend=False,
    min_batch_interval=timedelta(milliseconds=2),
)


class _SentBatch(NamedTuple):
    sequence: int
    messages: list[Any]
    size_bytes: int


@final
class Channel:
    """State of one connection, created and discarded with it.

    Messages are sent at once, unless the previous batch was sent less than
    ``min_batch_interval`` of the role ago. Response chunks after the first
    bytes wait up to ``FLUSH_INTERVAL``, and waiting chunks of one attempt are
    joined. The messages before the first chunk of a response and
    acknowledgements of bytes wait up to ``SHORT_FLUSH_DELAY``. Messages of an
    attempt keep their order.
    """

    def __init__(
        self,
        transmit: Callable[[bytes], None],
        clock: Clock,
        recorder: Recorder,
        role: ChannelRole,
    ) -> None:
        """Initialize the state of a new connection.

        :param transmit: passes bytes to the transport; raises
            pynng.NNGException or LinkClosed on failure.
        """
        self.last_received_at_s = clock.monotonic_s()
        self.peer_clock_s = 0.0
        self.close_reason = ''
        self._transmit = transmit
        self._clock = clock
        self._recorder = recorder
        self._role = role
        self._unacknowledged: deque[_SentBatch] = deque()
        self._unacknowledged_bytes = 0
        self._acknowledged_sequence = 0
        self._acknowledged_at_s = self.last_received_at_s
        self._resend_requested_at_s = float('-inf')
        self._probe_timer: asyncio.TimerHandle | None = None
        self._outbox: list[Any] = []
        # Outbox index of the last chunk of each attempt.
        self._last_chunk_indexes: dict[str, int] = {}
        self._outbox_bytes = 0
        self._sent_sequence = 0
        self._sent_at_s = (
            self.last_received_at_s - role.min_batch_interval.total_seconds()
        )
        self._received_sequence = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        self._flush_due_s = 0.0

    def send(self, message: Any) -> None:
        """Send a message on this connection.

        Raises LinkClosed if the connection is closed or fails during the
        call; no byte of the message was sent then. After a normal return,
        bytes may have been sent.
        """
        if self.close_reason:
            raise LinkClosed(self.close_reason)
        self._enqueue(message)
        if self._is_outbox_full():
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
        """Send the outbox; closes the channel if the transport fails."""
        self._cancel_timer()
        if self.close_reason or not self._outbox:
            return
        pending, size_bytes = self._outbox, self._outbox_bytes
        self._clear_outbox()
        self._send_batch(pending, size_bytes)

    def receive(self, payload: bytes) -> list[Any]:
        """Decode a received batch.

        Raises MessageError if it is malformed, and LinkError if earlier
        batches are missing and the peer cannot send them again.

        :return: messages of the batch; an empty list after a gap, since the
            peer sends the batch again.
        """
        batch = messages.decode_batch(payload)
        self.last_received_at_s = self._clock.monotonic_s()
        if batch.sequence != self._received_sequence + 1:
            self._request_resend(batch.sequence)
            return []
        self._received_sequence = batch.sequence
        self._recorder.update_lamport(batch.lamport)
        self._acknowledge_batches()
        return [
            message
            for message in batch.messages
            if not self._handle_internal(message)
        ]

    def send_heartbeat(self, position: LogPosition) -> None:
        """Send a heartbeat; a failure closes the channel.

        :param position: log position to report to the peer.
        """
        heartbeat = messages.Heartbeat(
            self._clock.monotonic_s(),
            self.peer_clock_s,
            position.offset,
            position.age_s,
        )
        try:
            self.send(heartbeat)
        except LinkClosed:
            return

    def is_timed_out(self) -> bool:
        """Tell whether nothing was received within ``PEER_TIMEOUT``."""
        elapsed_s = self._clock.monotonic_s() - self.last_received_at_s
        return elapsed_s > PEER_TIMEOUT.total_seconds()

    def close(self, reason: str) -> None:
        """Drop the outbox; later sends raise LinkClosed.

        :param reason: close reason; ignored if the channel has one already.
        """
        self.close_reason = self.close_reason or reason
        self._cancel_timer()
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        self._clear_outbox()

    def _enqueue(self, message: Any) -> None:
        """Add a message to the outbox, or join it with the previous chunk."""
        self._outbox_bytes += _size_bytes(message)
        if isinstance(message, messages.AttemptChunk):
            if self._join_chunk(message):
                return
            self._last_chunk_indexes[message.attempt_id] = len(self._outbox)
        self._outbox.append(message)

    def _join_chunk(self, chunk: messages.AttemptChunk) -> bool:
        index = self._last_chunk_indexes.get(chunk.attempt_id)
        if index is None or not _can_join(self._outbox[index], chunk):
            return False
        last = self._outbox[index]
        joined = last.payload + chunk.payload
        self._outbox[index] = last._replace(payload=joined)
        return True

    def _clear_outbox(self) -> None:
        self._outbox, self._outbox_bytes = [], 0
        self._last_chunk_indexes.clear()

    def _send_batch(self, pending: list[Any], size_bytes: int) -> None:
        batch = messages.Batch(
            self._sent_sequence + 1, self._recorder.lamport, pending
        )
        try:
            self._transmit(messages.encode_batch(batch))
        except pynng.TryAgain:
            self._retry_later(pending, size_bytes)
            return
        except (pynng.NNGException, LinkClosed) as error:
            self.close(f'transport: {error}')
            return
        self._sent_sequence += 1
        self._sent_at_s = self._clock.monotonic_s()
        if self._role.retransmits:
            self._buffer_sent(
                _SentBatch(self._sent_sequence, pending, size_bytes)
            )

    def _retry_later(self, pending: list[Any], size_bytes: int) -> None:
        # Only the end that spaces its batches may delay a control message.
        if not self._role.retransmits:
            self.close('overflow')
            return
        self._outbox = [*pending, *self._outbox]
        self._last_chunk_indexes.clear()
        self._outbox_bytes += size_bytes
        if self._outbox:
            self._schedule(self._role.min_batch_interval.total_seconds())
        else:
            self._schedule_probe()

    def _buffer_sent(self, sent: _SentBatch) -> None:
        self._unacknowledged.append(sent)
        self._unacknowledged_bytes += sent.size_bytes
        if self._unacknowledged_bytes > MAX_UNACKNOWLEDGED_BYTES:
            self.close('stalled')
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED_BATCHES:
            self.close('stalled')
        if sent.messages:
            self._schedule_probe()

    def _schedule_probe(self) -> None:
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        loop = asyncio.get_running_loop()
        self._probe_timer = loop.call_later(
            PROBE_DELAY.total_seconds(),
            self._send_probe,
        )

    def _send_probe(self) -> None:
        if self._unacknowledged and not self.close_reason:
            self._send_batch([], 0)

    def _handle_internal(self, message: Any) -> bool:
        if isinstance(message, messages.AcknowledgeBatches):
            self._drop_acknowledged(message)
            return True
        if isinstance(message, messages.Heartbeat):
            self.peer_clock_s = message.clock_s
        return False

    def _drop_acknowledged(self, message: messages.AcknowledgeBatches) -> None:
        unacknowledged = self._unacknowledged
        while unacknowledged and unacknowledged[0].sequence <= message.received:
            self._unacknowledged_bytes -= unacknowledged.popleft().size_bytes
        if (
            message.resend
            and unacknowledged
            and unacknowledged[0].sequence == message.received + 1
        ):
            self._resend()

    def _resend(self) -> None:
        # The peer accepts only the next sequence number and the connection
        # keeps the order, so all missing messages are sent as one batch with
        # that number.
        unacknowledged = self._unacknowledged
        missing = [
            message for sent in unacknowledged for message in sent.messages
        ]
        self._sent_sequence = unacknowledged[0].sequence - 1
        size_bytes = self._unacknowledged_bytes
        unacknowledged.clear()
        self._unacknowledged_bytes = 0
        self._recorder.emit('batches_sent_again', messages=len(missing))
        self._send_batch(missing, size_bytes)

    def _request_resend(self, sequence: int) -> None:
        if not self._role.requests_resend:
            raise LinkError(
                f'gap: received batch {sequence} after {self._received_sequence}'
            )
        now_s = self._clock.monotonic_s()
        recent = (
            now_s - self._resend_requested_at_s
            < ACKNOWLEDGE_INTERVAL.total_seconds()
        )
        if sequence <= self._received_sequence or recent:
            return
        self._resend_requested_at_s = now_s
        self._send_acknowledgement(resend=True)

    def _acknowledge_batches(self) -> None:
        if not self._role.requests_resend:
            return
        elapsed_s = self._clock.monotonic_s() - self._acknowledged_at_s
        due = elapsed_s >= ACKNOWLEDGE_INTERVAL.total_seconds()
        if (
            due
            or self._received_sequence - self._acknowledged_sequence
            >= ACKNOWLEDGE_INTERVAL_BATCHES
        ):
            self._send_acknowledgement(resend=False)

    def _send_acknowledgement(self, resend: bool) -> None:
        self._acknowledged_sequence = self._received_sequence
        self._acknowledged_at_s = self._clock.monotonic_s()
        try:
            self.send(
                messages.AcknowledgeBatches(self._received_sequence, resend)
            )
        except LinkClosed:
            return

    def _is_outbox_full(self) -> bool:
        return (
            self._outbox_bytes > MAX_OUTBOX_BYTES
            or len(self._outbox) > MAX_OUTBOX_MESSAGES
        )

    def _delay_s(self, message: Any) -> float:
        if isinstance(message, _DELAYED_TYPES):
            return SHORT_FLUSH_DELAY.total_seconds()
        if isinstance(message, messages.AttemptChunk):
            is_first = message.position < UNDELAYED_BYTES
            if not is_first and self._outbox_bytes < FULL_BATCH_BYTES:
                return FLUSH_INTERVAL.total_seconds()
        return (
            self._sent_at_s
            + self._role.min_batch_interval.total_seconds()
            - self._clock.monotonic_s()
        )

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self._flush_timer is not None and self._flush_due_s <= due_s:
            return
        self._cancel_timer()
        self._flush_due_s = due_s
        self._flush_timer = loop.call_later(delay_s, self.flush)

    def _cancel_timer(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None


def describe_failure(error: LinkError | MessageError) -> str:
    """Return the reason for closing a connection.

    :param error: error raised by ``Channel.receive``.
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
        return len(message.payload) + _MESSAGE_OVERHEAD_BYTES
    if isinstance(message, messages.StartAttempt):
        return len(message.body) + _MESSAGE_OVERHEAD_BYTES
    return _MESSAGE_OVERHEAD_BYTES
