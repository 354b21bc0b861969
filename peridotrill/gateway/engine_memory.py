"""Account of what the requests of all gateways hold in the memory of engines.

An engine crashes if the requests that it holds exceed its memory, and all its
streams are lost with it. Cached parts of prompts give way to requests, so only
requests are counted: the tokens of the prompt, and at the engine that
generates the output also the expected tokens of it with a margin. Prompts that
several requests share are counted for each, as engines may do.
"""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.sender_rotation import SenderRotation
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Added to the expected output, which callers only estimate.
_OUTPUT_MARGIN: Final = 0.25
_MIN_OUTPUT_MARGIN_TOKENS: Final = 32
# Part of the memory that is given to requests. The rest is for those that all
# gateways start at an engine between two reports.
_USED_RATIO: Final = 0.9
# Other gateways that begin a request at the same engine between two reports, while
# none waits and there are few requests. With many, each counts as beginning as much
# as this one, all at the same engine, since all choose alike.
_CONCURRENT_SENDERS: Final = 5
# Weight of the latest interval in the average of what this gateway begins.
_AVERAGE_WEIGHT: Final = 0.1
# Time for which a gateway that is not heard is charged, until the configuration
# says how long requests may last.
DEFAULT_LIFETIME: Final = timedelta(seconds=30)
_KEY_SUFFIX: Final = '/kv'


class MemoryNeed(NamedTuple):
    """Memory that a request needs at an engine, in tokens.

    ``capacity`` is the whole memory of an engine of its service, and
    ``expected_tokens`` what the request needs to be finished, without margin.
    """

    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    capacity: int

    def tokens_at(self, target: TargetRecord) -> int:
        """Return what is reserved at an engine, all of its memory at most."""
        tokens = self.prompt_tokens
        if target.role is not TargetRole.PREFILL:
            tokens += self.output_tokens
        return max(1, min(tokens, self.capacity))


@final
class EngineMemory:
    """Tokens reserved at each engine by this gateway and its peers."""

    def __init__(
        self, clock: Clock, find_capacity: Callable[[str], int]
    ) -> None:
        """:param find_capacity: returns the memory of the engines of a service
        in tokens; 0 if it is not limited.
        """
        self._find_capacity = find_capacity
        # Average of what this gateway begins at all engines between two reports.
        self._begun_per_interval = 0.0
        # None while there is no other gateway.
        self.rotation: SenderRotation | None = None
        self._reserved = LoadTracker(clock, DEFAULT_LIFETIME)

    def set_request_lifetime(self, lifetime: timedelta) -> None:
        """:param lifetime: time after which the requests of a gateway that is
        not heard have ended.
        """
        self._reserved.set_report_lifetime(lifetime)

    def need(self, service: str, prompt: Prompt | None) -> MemoryNeed | None:
        """Return what a request needs; None if that is not limited."""
        capacity = self._find_capacity(service)
        if not capacity or prompt is None:
            return None
        limit = prompt.max_output_tokens
        expected = prompt.expected_output_tokens
        if expected is None or expected > limit:
            expected = limit
        margin = max(_MIN_OUTPUT_MARGIN_TOKENS, expected * _OUTPUT_MARGIN)
        return MemoryNeed(
            prompt.prompt_tokens,
            min(limit, math.ceil(expected + margin)),
            prompt.prompt_tokens + expected,
            capacity,
        )

    def fits(self, service: str, prompt: Prompt) -> bool:
        """Return whether an engine can hold a request at all."""
        need = self.need(service, prompt)
        return need is None or need.expected_tokens <= need.capacity

    def has_room(
        self,
        target: TargetRecord,
        need: MemoryNeed | None,
        is_waiting: bool = False,
    ) -> bool:
        """Return whether an engine can take a request of this gateway now.

        :param is_waiting: see ``with_room``.
        """
        return bool(self.with_room([target], need, is_waiting))

    def with_room(
        self,
        targets: list[TargetRecord],
        need: MemoryNeed | None,
        is_waiting: bool,
    ) -> list[TargetRecord]:
        """Return the engines that can take a request of this gateway now.

        :param is_waiting: whether requests of the service wait here. Then others
            probably wait as well, and would all begin at once.
        """
        if need is None:
            return targets
        free_tokens = math.inf
        if not is_waiting:
            free_tokens = self._expected_elsewhere(need)
        return [
            row for row in targets if self._has_room(row, need, free_tokens)
        ]

    def _expected_elsewhere(self, need: MemoryNeed) -> float:
        """Return what others may begin at the same engine until they report."""
        if self.rotation is None:
            return 0
        others = self.rotation.gateways - 1
        return max(
            (need.prompt_tokens + need.output_tokens)
            * min(others, _CONCURRENT_SENDERS),
            others * self._begun_per_interval,
        )

    def _has_room(
        self, target: TargetRecord, need: MemoryNeed, elsewhere_tokens: float
    ) -> bool:
        target_id = target.target_id
        held = self._reserved.total(target_id)
        tokens = need.tokens_at(target)
        left = need.capacity * _USED_RATIO - held
        if tokens > left:
            return held <= 0 and self._may_fill(target_id, need)
        if self.rotation is None or tokens + elsewhere_tokens <= left:
            return True
        begun = self._reserved.unreported(target_id)
        share = self.rotation.share(target_id)
        return begun + tokens <= (left + begun) * share

    def _may_fill(self, target_id: str, need: MemoryNeed) -> bool:
        """Return whether a request may be sent to an empty engine.

        It may be larger than what is given to requests otherwise.
        """
        if need.expected_tokens > need.capacity:
            return False
        return self.rotation is None or self.rotation.is_first(target_id)

    def held_tokens(self, target_id: str) -> float:
        """Return what the requests of all gateways hold at an engine."""
        return self._reserved.total(target_id)

    def begin(self, reservation: Reservation) -> None:
        """Add what a reservation holds."""
        self._reserved.add(
            reservation.target.target_id, reservation.memory_tokens
        )

    def end(self, reservation: Reservation) -> None:
        """Remove what a reservation holds."""
        if reservation.memory_tokens:
            self._reserved.remove(
                reservation.target.target_id, reservation.memory_tokens
            )

    def local_totals(self) -> dict[str, float]:
        """Return what this gateway holds, for its reports to peers."""
        return {
            f'{target_id}{_KEY_SUFFIX}': tokens
            for target_id, tokens in self._reserved.local_totals().items()
        }

    def observe_peer(
        self, peer: str, work: Mapping[str, float]
    ) -> Mapping[str, float]:
        """Apply the memory in a report; return the other work in it."""
        held = {
            key.removesuffix(_KEY_SUFFIX): tokens
            for key, tokens in work.items()
            if key.endswith(_KEY_SUFFIX)
        }
        self._reserved.observe_peer(peer, held)
        if not held:
            return work
        return {
            key: amount
            for key, amount in work.items()
            if not key.endswith(_KEY_SUFFIX)
        }

    def drop_stale_peers(self) -> None:
        """Drop gateways whose requests must have ended."""
        self._reserved.drop_stale_peers()

    def end_report_interval(self) -> None:
        """Start a new interval after a report."""
        begun = self._reserved.all_unreported()
        self._begun_per_interval += (
            begun - self._begun_per_interval
        ) * _AVERAGE_WEIGHT
        self._reserved.end_report_interval()
