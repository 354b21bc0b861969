"""In-memory log with faults, and a minimal state built from its records."""

from datetime import timedelta
from typing import Any, NamedTuple

from peridotrill.catalog import Catalog, build_catalog
from peridotrill.clock import ManualClock
from peridotrill.exceptions import AppendOutcomeUnknown, LogUnavailable
from peridotrill.keys import KeyTable


class FakePublishResult(NamedTuple):
    """Same fields as ``PublishResult``."""

    offset: int
    accepted: bool
    version: int
    base_version: int
    changed: tuple[str, ...]
    author: str
    findings_count: int


class FakeState:
    """Applies the records that operators append."""

    def __init__(self) -> None:
        self.offset = 0
        self.catalog = Catalog(0, {})
        self.service_texts: dict[str, str] = {}
        self.publish_results: dict[str, FakePublishResult] = {}
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
        service_texts = {**self.service_texts, **changed}
        for name in record['removed']:
            service_texts.pop(name, None)
        outcome = build_catalog(offset, service_texts)
        accepted = base == self.catalog.version and outcome.is_ok()
        if accepted:
            self.service_texts, self.catalog = service_texts, outcome.ok
        self.publish_results[record['publish_id']] = FakePublishResult(
            offset,
            accepted,
            self.catalog.version,
            base,
            (*changed, *record['removed']),
            record['author'],
            0 if outcome.is_ok() else len(outcome.error),
        )


class FakeLog:
    """Stores records; ``fault`` applies only to the next append."""

    def __init__(self) -> None:
        self.records: list[Any] = []
        self.delayed: list[Any] = []
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
            self.delayed.append(record)
        elif fault != 'lost':
            self.records.append(record)
        if fault != 'none':
            raise AppendOutcomeUnknown('no response')
        return len(self.records)

    def deliver_delayed(self) -> None:
        """Append the delayed records."""
        self.records.extend(self.delayed)
        self.delayed.clear()


class FakeOperatorLog:
    """View of a ``FakeLog`` by one operator's process."""

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
