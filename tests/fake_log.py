"""A log in memory with faults, and a small fold of its records."""

from datetime import timedelta
from typing import Any, NamedTuple

from peridotrill.catalog import Catalog, build_catalog
from peridotrill.clock import ManualClock
from peridotrill.exceptions import AppendOutcomeUnknown, LogUnavailable
from peridotrill.keys import KeyTable


class Result(NamedTuple):
    """Fields of ``PublishResult`` as the design names them."""

    offset: int
    accepted: bool
    version: int
    base_version: int
    changed: tuple[str, ...]
    author: str
    findings_count: int


class FakeState:
    """Folds the records that operators write."""

    def __init__(self) -> None:
        self.offset = 0
        self.catalog = Catalog(0, {})
        self.texts: dict[str, str] = {}
        self.publish_results: dict[str, Result] = {}
        self.keys = KeyTable()

    def apply(self, offset: int, record: Any, appended_at_s: float) -> None:
        self.offset = offset
        if record['kind'] == 'key_granted':
            self.keys.grant(record['name'], record['team'], record['digest'])
        elif record['kind'] == 'key_withdrawn':
            self.keys.withdraw(record['name'])
        else:
            self._publish(offset, record)

    def _publish(self, offset: int, record: Any) -> None:
        base, changed = record['base_version'], record['changed']
        texts = {**self.texts, **changed}
        for name in record['removed']:
            texts.pop(name, None)
        outcome = build_catalog(offset, texts)
        accepted = base == self.catalog.version and outcome.is_ok()
        if accepted:
            self.texts, self.catalog = texts, outcome.ok
        self.publish_results[record['publish_id']] = Result(
            offset,
            accepted,
            self.catalog.version,
            base,
            (*changed, *record['removed']),
            record['author'],
            0 if outcome.is_ok() else len(outcome.error),
        )


class FakeLog:
    """Records in memory; ``fault`` applies to the next append only."""

    def __init__(self) -> None:
        self.records: list[Any] = []
        self.late: list[Any] = []
        self.fault = 'none'
        self.before_append: Any = None

    async def append(self, record: Any) -> int:
        hook, self.before_append = self.before_append, None
        fault, self.fault = self.fault, 'none'
        if hook is not None:
            await hook()
        if fault == 'unavailable':
            raise LogUnavailable('down')
        if fault == 'late':
            self.late.append(record)
        elif fault != 'lost':
            self.records.append(record)
        if fault != 'none':
            raise AppendOutcomeUnknown('no answer')
        return len(self.records)

    def deliver_late(self) -> None:
        """Append the records whose delivery was delayed."""
        self.records.extend(self.late)
        self.late.clear()


class FakeOperatorLog:
    """What one operator's program sees of a ``FakeLog``."""

    def __init__(self, log: FakeLog, clock: ManualClock) -> None:
        self.state = FakeState()
        self.append = log.append
        self._log = log
        self._clock = clock

    async def refresh(self, wait: timedelta) -> None:
        if self.state.offset == len(self._log.records):
            self._clock.advance(wait)
        for offset in range(self.state.offset + 1, len(self._log.records) + 1):
            self.state.apply(offset, self._log.records[offset - 1], 0)
