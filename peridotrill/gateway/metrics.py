"""Counters and latency histograms of a gateway."""

from typing import Final

from prometheus_client import Counter, Gauge, Histogram

_BUCKETS_S: Final = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10,
)  # fmt: skip

REQUESTS: Final = Counter(
    'peridotrill_requests',
    'Requests by route and outcome',
    ['route', 'outcome'],
)
FIRST_BYTE_S: Final = Histogram(
    'peridotrill_first_byte_seconds',
    'Time from the request to the first byte of the answer',
    ['route'],
    buckets=_BUCKETS_S,
)
REQUEST_DURATION_S: Final = Histogram(
    'peridotrill_request_seconds',
    'Time from the request to the end of the answer',
    ['route'],
    buckets=_BUCKETS_S,
)
QUEUE_TIME_S: Final = Histogram(
    'peridotrill_queue_seconds',
    'Time in the queue for a target',
    ['pool'],
    buckets=_BUCKETS_S,
)
ATTEMPTS: Final = Counter(
    'peridotrill_attempts',
    'Requests sent to targets by outcome',
    ['service', 'outcome'],
)
DISPLACED: Final = Counter(
    'peridotrill_displaced_requests',
    'Requests that were refused while they waited, before their deadline',
    ['pool', 'reason'],
)
DELAYED: Final = Counter(
    'peridotrill_delayed_requests',
    'Requests that wait behind others of their priority with less work',
)
PROTECTED: Final = Counter(
    'peridotrill_protected_requests',
    'Requests that were served out of turn as their like is hardly served',
)
YIELDED: Final = Counter(
    'peridotrill_yielded_dispatches',
    'Times that free capacity was left to more urgent requests elsewhere',
)
AVOIDED: Final = Counter(
    'peridotrill_avoided_targets',
    'Failures of targets that are avoided for over a second although ready',
    ['service', 'failure'],
)
CONFIG_AGE_S: Final = Gauge(
    'peridotrill_configuration_age_seconds',
    'Age of the last proof that no newer configuration exists',
)
STORE_CALLS: Final = Gauge(
    'peridotrill_store_calls',
    'Calls of the store since the start',
)
STORE_GENERATION: Final = Gauge(
    'peridotrill_store_generation',
    'Generation of the store, which rises when it is restored from a copy',
)
LOST_LOG_LINES: Final = Gauge(
    'peridotrill_lost_log_lines',
    'Lines that were suppressed above a rate, or dropped for a slow reader',
)
TARGET_CRASHES: Final = Gauge(
    'peridotrill_target_crashes',
    'Target processes that ended while they ran requests, since the start',
)
QUARANTINED_PARTS: Final = Gauge(
    'peridotrill_quarantined_parts',
    'Prompt parts that are not sent because engines crash under them',
)
LIMITED_TARGETS: Final = Gauge(
    'peridotrill_limited_targets',
    'Targets that name a limit on their requests',
)
EVACUATED_ZONES: Final = Gauge(
    'peridotrill_evacuated_zones',
    'Availability zones that the operator has evacuated',
)
COLD_TARGETS: Final = Gauge(
    'peridotrill_cold_targets',
    'Targets that count as cold and get requests at a limited rate',
)
UNUSUAL_TARGETS: Final = Gauge(
    'peridotrill_unusual_targets',
    'Targets that are faster or slower than the others of their service',
)
MODEL_ENGINES: Final = Gauge(
    'peridotrill_model_engines',
    'Model engines that accept requests, by service and role',
    ['service', 'role'],
)
CALLER_BYTES: Final = Gauge(
    'peridotrill_caller_bytes',
    'Memory that is held for callers',
)
CALLER_CONNECTIONS: Final = Gauge(
    'peridotrill_caller_connections',
    'Connections of callers',
)
CALLERS_SHED: Final = Counter(
    'peridotrill_callers_shed',
    'Connections of callers that were given up, by reason and state',
    ['reason', 'state'],
)
LEASE_HELD: Final = Gauge(
    'peridotrill_coordinator',
    'Whether this process holds the lease of the coordinator',
)
UNREADABLE: Final = Counter(
    'peridotrill_unreadable',
    'Records of the store and reports of gateways that cannot be read',
    ['source'],
)
RELAYED_REPORTS: Final = Counter(
    'peridotrill_relayed_reports',
    'Reports of other zones that were forwarded within the own zone',
)
