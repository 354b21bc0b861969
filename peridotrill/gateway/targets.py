"""Targets as known to the gateway."""

import enum
from typing import NamedTuple

from peridotrill.settings import Address


class TargetRole(enum.Enum):
    """Role of a model engine: prefill of prompts or decode of output."""

    PREFILL = 'prefill'
    DECODE = 'decode'


class TargetRecord(NamedTuple):
    """Registration record of a target.

    ``started_ms`` distinguishes incarnations with the same id; 0 if unknown.
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
