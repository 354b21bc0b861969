"""Tells which process is at the other end of a connection to a target.

A target may start again under its id and address, before its new record is
known. A connection leads to one process for as long as it lasts. The process of
a record existed before any connection that is opened afterwards, so it is at the
other end of one if it responds to a request that was sent after the connection
was opened, on whichever connection.
"""

import math
from typing import final


@final
class ProcessProof:
    """Proof that the process of a target's record is running."""

    def __init__(self) -> None:
        """Start without proof."""
        self._responded_to_s = -math.inf

    def record_response(self, sent_s: float) -> None:
        """Record that the process has responded.

        :param sent_s: monotonic time at which the request was sent.
        """
        self._responded_to_s = max(self._responded_to_s, sent_s)

    def covers(self, opened_s: float) -> bool:
        """Tell whether the process was running after a monotonic time."""
        return self._responded_to_s >= opened_s


@final
class ConnectionIdentity:
    """Whether one connection is known to lead to the process of the record."""

    def __init__(self, proof: ProcessProof, opened_s: float) -> None:
        """:param proof: shared by the connections to the target.

        :param opened_s: monotonic time at which the connection was open.
        """
        self._proof = proof
        self.opened_s = opened_s
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Whether the process of the record is at the other end."""
        self._is_known = self._is_known or self._proof.covers(self.opened_s)
        return self._is_known

    def confirm(self, sent_s: float) -> None:
        """Record that the process has named itself in a response."""
        self._is_known = True
        self._proof.record_response(sent_s)

    def observe_response(self, sent_s: float) -> None:
        """Record a response, which proves that its process is running."""
        if self.is_known:
            self._proof.record_response(sent_s)
