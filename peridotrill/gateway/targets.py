"""Targets as the gateway believes them to be."""

import enum
from typing import NamedTuple

from peridotrill.settings import Address


class TargetRole(enum.Enum):
    """The part of a model engine in serving prompts."""

    PREFILL = 'prefill'
    DECODE = 'decode'


class TargetRecord(NamedTuple):
    """One target as it registered itself.

    ``started_ms`` tells incarnations with the same id apart; 0 if unknown.
    ``role`` is None for plain services.
    """

    target_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    role: TargetRole | None
    started_ms: int
