"""Registration records of targets: model engines and plain HTTP services."""

import enum
from typing import NamedTuple

from peridotrill.settings import Address


class TargetRole(enum.Enum):
    """Role of a model engine: prefill (prompts) or decode (output tokens)."""

    PREFILL = 'prefill'
    DECODE = 'decode'


class TargetRecord(NamedTuple):
    """Registration record of a target.

    ``slots`` is the number of requests that the target can run concurrently.
    ``role`` is None for plain services. ``started_ms`` is the start time of the
    target as Unix time, 0 if unknown: of two incarnations with the same id,
    the one with the higher value is the newer. ``sequence`` counts the reports
    of a process: of two records of one process, the one with the higher value
    is the newer. ``software_version`` is that of the target's program, not of
    the model's weights. ``cold_left_ms`` is how much longer the target was to
    be cold when it wrote the record, None if it did not say.
    """

    target_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    role: TargetRole | None
    started_ms: int
    sequence: int = 0
    software_version: str = ''
    cold_left_ms: float | None = None

    def is_older_than(self, other: 'TargetRecord') -> bool:
        """Whether the same process, or a later one, wrote the other later."""
        return (self.started_ms, self.sequence) < (
            other.started_ms,
            other.sequence,
        )

    def differs_from(self, other: 'TargetRecord') -> bool:
        """Whether more than the counters of the reports differ."""
        return self != other._replace(
            sequence=self.sequence, cold_left_ms=self.cold_left_ms
        )

    def can_write(self, version: str) -> bool:
        """Whether no event of another software version can come from here."""
        return (
            self.role is TargetRole.PREFILL or self.software_version == version
        )

    @property
    def process(self) -> str:
        """Identifier of this incarnation of the target at its address."""
        return f'{self.target_id}@{self.address}/{self.started_ms}'
