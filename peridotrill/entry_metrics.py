"""Metrics of an entry; labels have a bounded set of values."""

from typing import Final, final

from prometheus_client import (
    REGISTRY,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

_DURATION_BUCKETS_S: Final = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.3,
    1.0,
    3.0,
    10.0,
    30.0,
)


@final
class EntryMetrics:
    """Prometheus metrics of one entry.

    ``service`` is a service name of the catalog or empty, ``code`` is ``ok``,
    ``caller_gone`` or a registered error code. Teams and targets are not
    labels, to bound the number of time series.
    """

    def __init__(self, registry: CollectorRegistry = REGISTRY) -> None:
        """:param registry: registers each metric name only once."""
        self.requests = Counter(
            'peridotrill_requests',
            'Requests by service and result.',
            ('service', 'code'),
            registry=registry,
        )
        self.first_byte = Histogram(
            'peridotrill_first_byte_seconds',
            'Time from arrival to the first byte of the answer.',
            ('service',),
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.running = Gauge(
            'peridotrill_running_requests',
            'Requests under way.',
            registry=registry,
        )
        self.waiting = Gauge(
            'peridotrill_waiting_requests',
            'Queued requests.',
            registry=registry,
        )
        self.dropped_messages = Gauge(
            'peridotrill_dropped_messages',
            'Messages of agents for attempts that are not running.',
            registry=registry,
        )
        self.forwarded_keys = Gauge(
            'peridotrill_forwarded_keys',
            'Forwarded-key records.',
            registry=registry,
        )
