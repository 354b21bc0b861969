"""Plans how many model engines read prompts and how many generate output.

Answers mixes of prompts and output that shift for longer than an engine is
out of service while it changes its role.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Tokens per ms at which a decode engine's steps get long; from the published
# model of the engines, at a step of 10 ms.
_DECODE_TOKENS_PER_MS: Final = 6.0
# Part of the engines that read prompts before there is any load.
_INITIAL_PREFILL_RATIO: Final = 0.62
# A change must lower the highest utilisation by this much, since the engine
# is out of service for some seconds.
_MIN_GAIN: Final = 0.25
# A smaller gain than this must last for a while: bursts of prompts and of
# output follow each other within seconds.
_URGENT_GAIN: Final = 0.6
_PERSISTENCE_S: Final = 8.0
# Below this no role is short of engines.
_MIN_UTILISATION: Final = 0.75
# Time between two changes; demand is averaged over less.
_MIN_INTERVAL_S: Final = 10.0
# With two engines a change would leave one role without any.
_MIN_ENGINES: Final = 3


class Demand(NamedTuple):
    """Load of a service: reading in ms per ms, output in tokens per ms."""

    reading: float
    output: float


class RoleChange(NamedTuple):
    """An engine that should take another role."""

    target: TargetRecord
    role: TargetRole


class RolePlan(NamedTuple):
    """How many engines should read prompts next, and what that gains.

    ``gain`` is the part of an engine's time by which the busiest role is
    relieved.
    """

    prefill: int
    gain: float


def plan_prefill_engines(
    engines: int,
    current: int,
    demand: Demand,
) -> RolePlan:
    """Return how many engines should read prompts; one more or less at most.

    :param engines: number of engines, two or more.
    :param present: how many do so now.
    """
    stay = RolePlan(current, 0)
    now = _utilisation(engines, current, demand)
    if now < _MIN_UTILISATION:
        return stay
    best = min(
        range(1, engines),
        key=lambda prefill: _utilisation(engines, prefill, demand),
    )
    gain = now - _utilisation(engines, best, demand)
    if gain < _MIN_GAIN:
        return stay
    return RolePlan(current + 1 if best > current else current - 1, gain)


def plan_initial_prefill_engines(engines: int) -> int:
    """Return how many engines should read prompts before there is any load.

    :param engines: number of engines, two or more.
    """
    return min(engines - 1, max(1, round(engines * _INITIAL_PREFILL_RATIO)))


def _utilisation(engines: int, prefill: int, demand: Demand) -> float:
    if not 0 < prefill < engines:
        return float('inf')
    decode = engines - prefill
    return max(
        demand.reading / prefill,
        demand.output / decode / _DECODE_TOKENS_PER_MS,
    )


@final
class RolePlanner:
    """Decides on changes of roles for one service at a time."""

    def __init__(self, clock: Clock) -> None:
        """:param clock: spaces the changes out."""
        self._clock = clock
        self._changed_s: dict[str, float] = {}
        # Wished number of readers, and since when, by service.
        self._proposed: dict[str, tuple[int, float]] = {}

    def plan(
        self,
        service: str,
        engines: Sequence[TargetRecord],
        demand: Demand | None,
    ) -> RoleChange | None:
        """Return the next change, if any.

        :param engines: those in service, least loaded first.
        :param demand: None before there was any load.
        """
        prefill = [row for row in engines if row.role is TargetRole.PREFILL]
        decode = [row for row in engines if row.role is TargetRole.DECODE]
        if len(engines) < _MIN_ENGINES:
            return None
        now_s = self._clock.monotonic_s()
        since_s = now_s - self._changed_s.get(service, float('-inf'))
        if demand is None:
            planned = plan_initial_prefill_engines(len(engines))
        elif since_s < _MIN_INTERVAL_S:
            return None
        else:
            planned = self._plan_for_demand(
                service, len(engines), len(prefill), demand
            )
        if planned > len(prefill) and len(decode) > 1:
            return RoleChange(decode[0], TargetRole.PREFILL)
        if planned < len(prefill) and len(prefill) > 1:
            return RoleChange(prefill[0], TargetRole.DECODE)
        return None

    def _plan_for_demand(
        self,
        service: str,
        engines: int,
        current: int,
        demand: Demand,
    ) -> int:
        """Return how many engines should read prompts by now."""
        now_s = self._clock.monotonic_s()
        plan = plan_prefill_engines(engines, current, demand)
        proposed, since_s = self._proposed.get(service, (current, now_s))
        if proposed != plan.prefill:
            since_s = now_s
        self._proposed[service] = (plan.prefill, since_s)
        lasted = now_s - since_s >= _PERSISTENCE_S
        return plan.prefill if lasted or plan.gain >= _URGENT_GAIN else current

    def record_change(self, service: str) -> None:
        """Note that a change was ordered."""
        self._changed_s[service] = self._clock.monotonic_s()
