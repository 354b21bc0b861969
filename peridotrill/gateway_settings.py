"""Own settings of ``peridotrill-gateway``, and bounds made of the platform's."""

from datetime import timedelta
from typing import Final, NamedTuple

from peridotrill.gateway.beliefs import FreshnessBounds
from peridotrill.gateway.repeat_budget import RepeatBounds
from peridotrill.platform.node_settings import Bounds
from peridotrill.settings import Setting

# Part of the time within which withdrawn keys must stop that an unconfirmed
# configuration may be used for.
_FRESHNESS_RATIO: Final = 0.88
# Part of the time for which a leaving target still serves that a target
# without a record is used; the rest covers reading the store.
_REMOVAL_GRACE_RATIO: Final = 0.4
# Bounds that a process keeps until its end: lease and windows must be the same
# for all gateways, which do not see a change at the same moment.
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
        'port that serves /metrics on the address of the VM; 0 for none',
        '0',
    ),
    Setting('log_level', 'log_level', 'lowest level that is logged', 'INFO'),
)


def freshness_bounds(bounds: Bounds) -> FreshnessBounds:
    """Return how old beliefs may be."""
    return FreshnessBounds(
        timedelta(milliseconds=bounds.revoke_ms * _FRESHNESS_RATIO),
        timedelta(milliseconds=bounds.drain_ms * _REMOVAL_GRACE_RATIO),
    )


def repeat_bounds(bounds: Bounds) -> RepeatBounds:
    """Return the bound on sends to further targets."""
    return RepeatBounds(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window_s,
    )


def effective_bounds(current: Bounds, new: Bounds) -> Bounds:
    """Return changed bounds, without what a process keeps until its end."""
    fixed = {name: getattr(current, name) for name in _STARTUP_BOUNDS}
    return new._replace(**fixed)


def changed_fields(current: NamedTuple, new: NamedTuple) -> str:
    """Return the names of the fields that differ, for a log line."""
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
