"""What a gateway process believes of configuration and targets."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.configuration import Configuration
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.targets import TargetRecord, TargetRole


class FreshnessBounds(NamedTuple):
    """How old the known cluster state may be.

    ``config_max_age`` bounds the age of the configuration with which
    requests with keys are served, because keys may have been withdrawn.
    ``removal_grace`` is how long a target is still used after its record
    disappeared without notice: records also lapse while the store is away.
    """

    config_max_age: timedelta
    removal_grace: timedelta


@final
class ClusterState:
    """The newest configuration and the targets, with their ages."""

    def __init__(
        self,
        clock: Clock,
        bounds: FreshnessBounds,
        log: EventLog,
    ) -> None:
        """Nothing is known at the start."""
        self._clock = clock
        self._log = log
        self.apply_bounds(bounds)
        self._targets: dict[str, TargetRecord] = {}
        self._removed_at_s: dict[str, float] = {}
        self._suspended_until_s: dict[str, float] = {}
        self._config_confirmed_at_s: float | None = None
        self._are_targets_loaded = False
        self.configuration: Configuration | None = None
        self.on_target_gone: Callable[[TargetRecord], None] = _ignore
        self.on_change: Callable[[], None] = _ignore_change

    def apply_bounds(self, bounds: FreshnessBounds) -> None:
        """Use other bounds from now on."""
        self._max_age_s = bounds.config_max_age.total_seconds()
        self._grace_s = bounds.removal_grace.total_seconds()

    @property
    def is_complete(self) -> bool:
        """Tell whether configuration and targets have been read once."""
        return self.configuration is not None and self._are_targets_loaded

    def config_age_s(self) -> float | None:
        """Return the age of the last proof that no newer version exists."""
        if self._config_confirmed_at_s is None:
            return None
        return self._clock.monotonic_s() - self._config_confirmed_at_s

    @property
    def is_fresh(self) -> bool:
        """Tell whether requests with keys may be served."""
        age_s = self.config_age_s()
        return age_s is not None and age_s < self._max_age_s

    def confirm_configuration(self, requested_s: float) -> None:
        """Note that all versions up to a moment have been seen.

        :param asked_s: monotonic time at which the store was asked.
        """
        self._config_confirmed_at_s = max(
            self._config_confirmed_at_s or requested_s, requested_s
        )

    def update_configuration(self, found: Configuration) -> None:
        """Use a version unless a newer one is in force."""
        current = self.configuration
        if current is not None and found.version <= current.version:
            return
        self.configuration = found
        self._log.write(
            'configuration_adopted',
            version=found.version,
            previous=current.version if current else None,
            routes=found.route_count,
            teams=len(found.teams),
        )
        self.on_change()

    def update_target(self, record: TargetRecord) -> None:
        """Use what a target says of itself."""
        current = self._targets.get(record.target_id)
        self._removed_at_s.pop(record.target_id, None)
        if current is not None and record.started_ms < current.started_ms:
            return
        self._targets[record.target_id] = record
        if current == record:
            return
        self._log.write(
            'target_changed',
            target=record.target_id,
            service=record.service,
            address=str(record.address),
            zone=record.zone,
            leaving=record.is_draining,
            role=record.role.value if record.role else None,
            started_ms=record.started_ms,
        )
        if current is not None and current.role is not record.role:
            self._suspended_until_s.pop(record.target_id, None)
        if current is not None and (
            current.started_ms != record.started_ms
            or current.address != record.address
        ):
            self.on_target_gone(current)
        self.on_change()

    def remove_target(self, target_id: str, reason: str) -> None:
        """Stop using a target after the grace time."""
        if target_id in self._targets and target_id not in self._removed_at_s:
            self._removed_at_s[target_id] = self._clock.monotonic_s()
            self._log.write(
                'target_record_removed',
                target=target_id,
                reason=reason,
            )

    def retain_targets(self, target_ids: Iterable[str]) -> None:
        """Remove the targets that a full listing does not name."""
        self._are_targets_loaded = True
        for target_id in self._targets.keys() - set(target_ids):
            self.remove_target(target_id, 'not listed')

    def drop_removed_targets(self) -> None:
        """Drop the targets whose grace time is over."""
        now_s = self._clock.monotonic_s()
        for target_id, removed_s in list(self._removed_at_s.items()):
            if now_s - removed_s >= self._grace_s:
                self._removed_at_s.pop(target_id)
                gone = self._targets.pop(target_id)
                self._log.write('target_gone', target=target_id)
                self.on_target_gone(gone)

    def suspend_target(self, target_id: str, duration: timedelta) -> None:
        """Give a target no new requests for a while.

        For targets that change their role, or whose address now belongs to
        another one, until their records say so.
        """
        until_s = self._clock.monotonic_s() + duration.total_seconds()
        known_s = self._suspended_until_s.get(target_id, 0)
        self._suspended_until_s[target_id] = max(known_s, until_s)

    def _is_suspended(self, target_id: str) -> bool:
        until_s = self._suspended_until_s.get(target_id)
        if until_s is None:
            return False
        if self._clock.monotonic_s() < until_s:
            return True
        self._suspended_until_s.pop(target_id)
        return False

    def find_target(self, target_id: str) -> TargetRecord | None:
        """Return a target by its id."""
        return self._targets.get(target_id)

    def usable_targets(
        self,
        service: str,
        role: TargetRole | None = None,
    ) -> list[TargetRecord]:
        """Return the targets of a service that take new requests.

        :param role: only targets with this role, or all if None.
        """
        self.drop_removed_targets()
        return [
            row
            for row in self._targets.values()
            if row.service == service
            and not row.is_draining
            and not self._is_suspended(row.target_id)
            and (role is None or row.role is role)
        ]

    def all_targets(self) -> list[TargetRecord]:
        """Return all targets, leaving ones included."""
        return list(self._targets.values())


def _ignore(record: TargetRecord) -> None:
    """Nothing depends on the target."""


def _ignore_change() -> None:
    """Nothing depends on the change."""
