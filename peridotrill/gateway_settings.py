"""Settings of ``peridotrill-gateway`` and limits derived from the platform."""

from datetime import timedelta
from typing import Final, NamedTuple

from peridotrill.gateway.cluster_state import FreshnessBounds
from peridotrill.gateway.retry_budget import RetryBounds
from peridotrill.platform.node_settings import Bounds
from peridotrill.settings import Setting

# An unconfirmed configuration may be used for this ratio of the time within
# which a withdrawn key must stop working.
_FRESHNESS_RATIO: Final = 0.88
# A target whose record is gone is used for this ratio of the time for which a
# draining target still serves; the rest is for reading the store.
_REMOVAL_GRACE_RATIO: Final = 0.4
# Bounds that only apply at the start of a process: lease and windows must be
# equal at all gateways, which do not see a change at the same time.
_STARTUP_BOUNDS: Final = (
    'lease_ms',
    'quota_window_s',
    'usage_window_s',
    'usage_late_s',
)

SETTINGS: Final = (
    Setting(
        'metrics_port',
        'integer',
        'port of /metrics on the address of the VM; 0 disables it',
        '0',
    ),
    Setting('log_level', 'log_level', 'lowest level that is logged', 'INFO'),
    Setting(
        'caller_memory_mb',
        'integer',
        'memory for what callers send and have not read; 0: a quarter of the limit',
        '0',
    ),
    Setting(
        'caller_connections',
        'integer',
        'connections of callers; 0: three fifths of the descriptors',
        '0',
    ),
)


def freshness_bounds(bounds: Bounds) -> FreshnessBounds:
    """Return how long unconfirmed data may be used."""
    return FreshnessBounds(
        timedelta(milliseconds=bounds.revoke_ms * _FRESHNESS_RATIO),
        timedelta(milliseconds=bounds.drain_ms * _REMOVAL_GRACE_RATIO),
    )


def retry_bounds(bounds: Bounds) -> RetryBounds:
    """Return the limits on retries at other targets."""
    return RetryBounds(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window_s,
    )


def effective_bounds(current: Bounds, new: Bounds) -> Bounds:
    """Return the new bounds, except those that only apply at the start."""
    fixed = {name: getattr(current, name) for name in _STARTUP_BOUNDS}
    return new._replace(**fixed)


def changed_fields(current: NamedTuple, new: NamedTuple) -> str:
    """Return the names of the fields that differ, separated by commas."""
    return ','.join(
        name
        for name, before, after in zip(
            current._fields,
            current,
            new,
            strict=True,
        )
        if before != after
    )
