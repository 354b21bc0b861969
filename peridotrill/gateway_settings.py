"""Own settings of ``peridotrill-gateway``, and bounds made of the platform's."""

from datetime import timedelta
from typing import Final, NamedTuple

from peridotrill.gateway.cluster_state import FreshnessBounds
from peridotrill.gateway.retry_budget import RetryBounds
from peridotrill.platform.node_settings import Bounds
from peridotrill.settings import Setting

# Part of the time within which withdrawn keys must stop that an unconfirmed
# configuration may be used for.
_FRESH_PART: Final = 0.88
# Part of the time for which a leaving target still serves that a target
# without a record is used; the rest covers reading the store.
_GRACE_PART: Final = 0.4
# Bounds that a process keeps until its end: lease and windows must be the same
# for all gateways, which do not see a change at the same moment.
_FIXED_BOUNDS: Final = (
    'lease_ms',
    'quota_window_s',
    'usage_window_s',
    'usage_late_s',
)

SETTINGS: Final = (
    Setting(
        'metrics_port',
        'integer',
        'port that serves /metrics on the address of the VM; 0 for none',
        '0',
    ),
    Setting('log_level', 'log_level', 'lowest level that is logged', 'INFO'),
)


def freshness_bounds(bounds: Bounds) -> FreshnessBounds:
    """Return how old the cluster state may be."""
    return FreshnessBounds(
        timedelta(milliseconds=bounds.revoke_ms * _FRESH_PART),
        timedelta(milliseconds=bounds.drain_ms * _GRACE_PART),
    )


def retry_bounds(bounds: Bounds) -> RetryBounds:
    """Return the bound on sends to further targets."""
    return RetryBounds(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window_s,
    )


def bounds_in_force(known: Bounds, found: Bounds) -> Bounds:
    """Return changed bounds, without what a process keeps until its end."""
    fixed = {name: getattr(known, name) for name in _FIXED_BOUNDS}
    return found._replace(**fixed)


def changed_fields(known: NamedTuple, found: NamedTuple) -> str:
    """Return the names of the fields that differ, for a log line."""
    return ','.join(
        name
        for name, before, after in zip(
            known._fields,
            known,
            found,
            strict=True,
        )
        if before != after
    )
