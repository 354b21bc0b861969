"""Interfaces of the entry that attempts depend on."""

from typing import Any, NamedTuple, Protocol, Self

from peridotrill.clock import Clock
from peridotrill.crash_guard import CrashGuard
from peridotrill.dispatch import Dispatcher
from peridotrill.forwarded_keys import ForwardedKeyTable
from peridotrill.inboxes import Inboxes
from peridotrill.retry_budget import RetryBudget
from peridotrill.timeline import Recorder


class AgentLinks(Protocol):
    """The methods of TargetLinks that attempts use."""

    inboxes: Inboxes
    forwarded_keys: ForwardedKeyTable

    def send(self, target_id: str, message: Any) -> None:
        """Send a message.

        Raises LinkClosed if there is no usable connection; then no byte of
        the message has been sent.
        """

    def agent_clock_s(self, target_id: str) -> float:
        """Return the lowest value that the agent's clock can have now."""


class UsageSink(Protocol):
    """The method of UsageCounter that attempts use."""

    def count(
        self,
        team: str,
        requests: int,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Count usage of a team."""


class AttemptDependencies(NamedTuple):
    """Components of the entry that attempts use."""

    links: AgentLinks
    dispatcher: Dispatcher
    budget: RetryBudget
    usage: UsageSink
    clock: Clock
    recorder: Recorder
    crash_guard: CrashGuard

    @classmethod
    def from_config(
        cls,
        links: AgentLinks,
        dispatcher: Dispatcher,
        usage: UsageSink,
        clock: Clock,
        recorder: Recorder,
    ) -> Self:
        """Return the dependencies, with a new budget and crash guard."""
        return cls(
            links,
            dispatcher,
            RetryBudget(),
            usage,
            clock,
            recorder,
            CrashGuard.from_config(clock, recorder.emit),
        )
