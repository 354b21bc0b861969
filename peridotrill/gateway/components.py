"""Components of the gateway that all requests share."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from peridotrill.clock import Clock
from peridotrill.gateway.beliefs import Beliefs
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.loads import LoadBook
from peridotrill.gateway.pools import Placement
from peridotrill.gateway.repeat_budget import RepeatBudget
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_http_client import TargetHttpClient
from peridotrill.gateway.target_messages import WireCodec
from peridotrill.gateway.team_quotas import TeamQuotas
from peridotrill.gateway.usage_counts import UsageCounts


class GatewayComponents(NamedTuple):
    """Components of the gateway that all requests share."""

    clock: Clock
    beliefs: Beliefs
    wire: WireCodec
    targets: TargetHttpClient
    placement: Placement
    health: TargetHealth
    loads: LoadBook
    demand: DemandMeter
    quotas: TeamQuotas
    budget: RepeatBudget
    usage: UsageCounts
    log: EventLog
    start_task: Callable[..., Any]
    # Reads the target records from the store ahead of schedule.
    refresh_targets: Callable[[], Awaitable[None]]
