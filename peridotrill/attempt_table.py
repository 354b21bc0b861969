"""The attempts of an agent and the connections of their entries."""

from datetime import timedelta
from typing import Final, final

from peridotrill.buffered_response import BufferedResponse, Delivery
from peridotrill.clock import Clock
from peridotrill.messages import EntryRef, Hello
from peridotrill.seen_attempts import SeenAttempts

ENTRY_LOST_TIMEOUT: Final = timedelta(seconds=10)
# An entry can request the end of a response again within this time.
ENDED_RETENTION: Final = timedelta(seconds=10)


@final
class AttemptTable:
    """Finds attempts by id and cancels those whose entry is lost."""

    def __init__(self, clock: Clock) -> None:
        """:param clock: measures how long an entry has been disconnected."""
        self.seen_attempts = SeenAttempts(clock)
        self._clock = clock
        self._entries: dict[int, EntryRef] = {}
        self._deliveries: dict[str, Delivery] = {}
        self._running: dict[str, BufferedResponse] = {}

    def connect(self, peer_id: int, hello: Hello) -> None:
        """:param peer_id: connection of the entry that sent ``hello``."""
        entry_ref = EntryRef(hello.entry_id, hello.incarnation)
        self._entries[peer_id] = entry_ref

    def disconnect(self, peer_id: int) -> None:
        """:param peer_id: connection that has ended."""
        self._entries.pop(peer_id, None)
        for delivery in self._deliveries.values():
            if delivery.peer_id == peer_id:
                delivery.peer_id = None

    def is_connected(self, peer_id: int) -> bool:
        """Tell whether a connection is open.

        :param peer_id: sender of a message, which can be handled after the
            PeerDown of its connection.
        """
        return peer_id in self._entries

    def entry(self, peer_id: int) -> EntryRef:
        """Return the entry of a connection.

        :param peer_id: a connection that is open.
        """
        return self._entries[peer_id]

    def find(self, attempt_id: str) -> Delivery | None:
        """Return an attempt that is running or ended recently, or None.

        :param attempt_id: any id.
        """
        return self._deliveries.get(attempt_id)

    def find_running_response(self, attempt_id: str) -> BufferedResponse | None:
        """Return the response of a running attempt, to join it.

        :param attempt_id: id that the ledger has recorded for the key.
        """
        return self._running.get(attempt_id)

    def add(self, delivery: Delivery) -> None:
        """:param delivery: of a new attempt."""
        self.seen_attempts.add(delivery.attempt_id)
        self._deliveries[delivery.attempt_id] = delivery
        delivery.response.deliveries.append(delivery)
        if delivery.attempt_id == delivery.response.start.attempt_id:
            self._running[delivery.attempt_id] = delivery.response

    def has_undelivered(self) -> bool:
        """Tell whether a connected entry still has bytes to receive."""
        return any(
            delivery.peer_id is not None and not delivery.is_done
            for delivery in self._deliveries.values()
        )

    def sweep(self) -> None:
        """Remove attempts that have ended or whose entry is lost."""
        now_s = self._clock.monotonic_s()
        for attempt_id, response in list(self._running.items()):
            if response.ended_at_s is not None:
                self._running.pop(attempt_id)
        for delivery in list(self._deliveries.values()):
            self._sweep_delivery(delivery, now_s)

    def _sweep_delivery(self, delivery: Delivery, now_s: float) -> None:
        response = delivery.response
        ended_at_s = response.ended_at_s
        retention_s = ENDED_RETENTION.total_seconds()
        is_old = ended_at_s is not None and now_s - ended_at_s > retention_s
        if delivery.is_done and is_old:
            self._drop(delivery)
            return
        if delivery.peer_id is not None:
            delivery.disconnected_at_s = None
            return
        if delivery.disconnected_at_s is None:
            delivery.disconnected_at_s = now_s
        if (
            now_s - delivery.disconnected_at_s
            > ENTRY_LOST_TIMEOUT.total_seconds()
        ):
            self._drop(delivery)
            # Requests that are not idempotent run to their end, so that the
            # ledger records the outcome.
            if not response.deliveries and response.start.idempotent:
                response.scope.cancel()

    def _drop(self, delivery: Delivery) -> None:
        self._deliveries.pop(delivery.attempt_id)
        if delivery in delivery.response.deliveries:
            delivery.response.deliveries.remove(delivery)
        delivery.response.send_available()
