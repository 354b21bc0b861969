"""Delivers events of links to the tasks of their attempts."""

import math
from typing import Any, NamedTuple, final

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)


class _Inbox(NamedTuple):
    target_id: str
    sender: MemoryObjectSendStream[Any]


@final
class Inboxes:
    """One memory stream for each running attempt of this entry.

    The streams are unbounded, because the flow-control window limits the
    bytes that an agent sends for an attempt.
    """

    def __init__(self) -> None:
        """Create a collection without streams."""
        self._inboxes: dict[str, _Inbox] = {}
        self.dropped_messages = 0

    def open(
        self,
        target_id: str,
        attempt_id: str,
    ) -> MemoryObjectReceiveStream[Any]:
        """Open the stream of an attempt and return its receiving end."""
        sender, receiver = anyio.create_memory_object_stream[Any](math.inf)
        self._inboxes[attempt_id] = _Inbox(target_id, sender)
        return receiver

    def close(self, attempt_id: str) -> None:
        """Close the stream of an attempt; later messages are dropped."""
        inbox = self._inboxes.pop(attempt_id, None)
        if inbox is not None:
            inbox.sender.close()

    def deliver(self, target_id: str, message: Any) -> None:
        """Deliver a message to its attempt.

        Messages of unknown attempts are dropped and counted.

        :param target_id: sender; an attempt accepts messages only from its
            own target.
        :param message: has the field ``attempt_id``.
        """
        inbox = self._inboxes.get(message.attempt_id)
        if inbox is None or inbox.target_id != target_id:
            self.dropped_messages += 1
        else:
            self._send(inbox, message)

    def broadcast(self, target_id: str, event: Any) -> None:
        """Deliver an event of a link to all attempts at its target."""
        for inbox in list(self._inboxes.values()):
            if inbox.target_id == target_id:
                self._send(inbox, event)

    def has_attempts(self, target_id: str) -> bool:
        """Tell whether attempts run at a target."""
        return any(
            inbox.target_id == target_id for inbox in self._inboxes.values()
        )

    def __len__(self) -> int:
        """Return the number of open inboxes."""
        return len(self._inboxes)

    def _send(self, inbox: _Inbox, event: Any) -> None:
        try:
            inbox.sender.send_nowait(event)
        except anyio.BrokenResourceError:
            self.dropped_messages += 1
