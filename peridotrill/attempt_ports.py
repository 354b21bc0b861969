"""What attempts need from the rest of an entry."""

from typing import Any, NamedTuple, Protocol, Self

from peridotrill.clock import Clock
from peridotrill.dispatch import Dispatcher
from peridotrill.forwarded_keys import ForwardedKeyTable
from peridotrill.inboxes import Inboxes
from peridotrill.retry_budget import RetryBudget
from peridotrill.timeline import Recorder


class Links(Protocol):
    """The part of the target links that attempts use."""

    inboxes: Inboxes
    book: ForwardedKeyTable

    def send(self, target_id: str, message: Any) -> None:
        """Send, or raise LinkClosed if no byte has left."""

    def agent_clock_s(self, target_id: str) -> float:
        """Return the lowest value of the agent's clock."""


class Counter(Protocol):
    """The part of the usage counter that attempts use."""

    def count(
        self,
        team: str,
        requests: int,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Count usage of a team."""


class Ports(NamedTuple):
    """What attempts need from the rest of the entry."""

    links: Links
    dispatcher: Dispatcher
    budget: RetryBudget
    usage: Counter
    clock: Clock
    recorder: Recorder

    @classmethod
    def from_config(
        cls,
        links: Links,
        dispatcher: Dispatcher,
        usage: Counter,
        clock: Clock,
        recorder: Recorder,
    ) -> Self:
        """Return the ports with a new retry budget."""
        return cls(links, dispatcher, RetryBudget(), usage, clock, recorder)
