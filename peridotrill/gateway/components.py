"""Components of the gateway that all requests share."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from peridotrill.clock import Clock
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.early_ends import EarlyEnds
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.event_sequence import EventNumberings
from peridotrill.gateway.framing_history import FramingHistory
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.placement import Placement
from peridotrill.gateway.quarantine_sharing import QuarantineSharing
from peridotrill.gateway.retry_budget import RetryBudget
from peridotrill.gateway.shared_quotas import SharedQuotas
from peridotrill.gateway.stream_origins import StreamOrigins
from peridotrill.gateway.stream_sharing import StreamSharing
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_http_client import TargetHttpClient
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.target_messages import WireCodec
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.target_crashes import CrashDetector


class GatewayComponents(NamedTuple):
    """Components of the gateway that all requests share."""

    clock: Clock
    cluster_state: ClusterState
    wire: WireCodec
    targets: TargetHttpClient
    placement: Placement
    health: TargetHealth
    crashes: CrashDetector
    quarantine: QuarantineSharing
    origins: StreamOrigins
    numberings: EventNumberings
    early_ends: EarlyEnds
    framing: FramingHistory
    streams: StreamSharing
    loads: LoadTracker
    demand: DemandMeter
    quotas: SharedQuotas
    limits: TargetLimits
    budget: RetryBudget
    usage: UsageCounts
    log: EventLog
    start_task: Callable[..., Any]
    # Reads the target records from the store ahead of schedule.
    refresh_targets: Callable[[], Awaitable[None]]
    # Waits until the target records are as new as a monotonic time.
    confirm_targets: Callable[[float], Awaitable[None]]
    # Reads the origins of streams from the store.
    load_streams: Callable[[], Awaitable[None]]
