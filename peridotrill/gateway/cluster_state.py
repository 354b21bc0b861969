"""Configuration and targets as known to a gateway process."""

import math
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.configuration import Configuration
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.gateway.version_history import VersionHistory
from peridotrill.gateway.zone_evacuations import ZoneEvacuations


class FreshnessBounds(NamedTuple):
    """Maximum ages of the known cluster state.

    ``config_max_age`` is the maximum age of the configuration for serving
    requests with API keys, because keys may have been withdrawn.
    ``removal_grace`` is how long a target is still used after its record
    disappeared without notice: records also expire during a store outage.
    """

    config_max_age: timedelta
    removal_grace: timedelta


# Time after a restore of the store in which targets that are alive have
# registered again.
_RELISTING_TIME: Final = timedelta(seconds=2)
# Longer than the age of a copy from which the store may be restored.
_GONE_RETENTION: Final = timedelta(minutes=5)


@final
class ClusterState:
    """The latest configuration and the targets, with their ages."""

    def __init__(
        self,
        clock: Clock,
        bounds: FreshnessBounds,
        log: EventLog,
        is_first_start: bool = False,
        zone_regions: Mapping[str, str] | None = None,
    ) -> None:
        """Start without configuration and targets.

        :param is_first_start: whether the whole system starts for the first time.

        :param zone_regions: region of each availability zone.
        """
        self.evacuations = ZoneEvacuations(log, self._count_targets)
        self._zone_regions = zone_regions or {}
        self.versions = VersionHistory(clock, is_complete=is_first_start)
        self._clock = clock
        self._log = log
        self.apply_bounds(bounds)
        self._targets: dict[str, TargetRecord] = {}
        # Times at which removed targets are dropped.
        self._drops_at_s: dict[str, float] = {}
        # Targets whose records were deleted and that have not written again.
        self._deleted: set[str] = set()
        # Processes that say in their responses that they leave.
        self._leaving: set[str] = set()
        # Last records of targets that are gone, and the times of their end.
        self._gone: dict[str, tuple[TargetRecord, float]] = {}
        self._relisted_at_s = -math.inf
        self._suspended_until_s: dict[str, float] = {}
        self._config_confirmed_at_s: float | None = None
        # Highest version that this gateway or a peer has in force.
        self._newest_version = 0
        self._settles_at_s = -math.inf
        self._are_targets_loaded = False
        self._targets_confirmed_at_s = -math.inf
        self.configuration: Configuration | None = None
        self.on_target_gone: Callable[[TargetRecord], None] = _ignore
        # Gets each record that is applied, whether it names a process that was
        # not known before, and a monotonic time after which it was written. At
        # the first listing, no process counts as new.
        self.on_record: Callable[[TargetRecord, bool, float], None] = (
            _ignore_record
        )
        self.on_change: Callable[[], None] = _ignore_change

    def apply_bounds(self, bounds: FreshnessBounds) -> None:
        """Replace the freshness bounds."""
        self._max_age_s = bounds.config_max_age.total_seconds()
        self._grace_s = bounds.removal_grace.total_seconds()

    @property
    def is_complete(self) -> bool:
        """Whether configuration and targets have been loaded."""
        return self.configuration is not None and self._are_targets_loaded

    def config_age_s(self) -> float | None:
        """Return the time since the configuration was last known current."""
        if self._config_confirmed_at_s is None:
            return None
        return self._clock.monotonic_s() - self._config_confirmed_at_s

    @property
    def is_fresh(self) -> bool:
        """Whether the configuration is recent enough for API keys."""
        if self._clock.monotonic_s() < self._settles_at_s:
            return False
        age_s = self.config_age_s()
        return age_s is not None and age_s < self._max_age_s

    def confirm_configuration(self, requested_s: float) -> None:
        """Record that the store had no newer configuration at a given time.

        That does not prove that the configuration is current while a peer has a
        newer one: the store may have been restored from an older copy.

        :param requested_s: monotonic time of the request to the store.
        """
        if self.config_version < self._newest_version:
            return
        self._config_confirmed_at_s = max(
            self._config_confirmed_at_s or requested_s, requested_s
        )

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    def settle_within(self, duration: timedelta) -> None:
        """Serve no API keys until then, as peers may have newer versions.

        :param duration: time in which the reports of all peers arrive.
        """
        self._settles_at_s = self._clock.monotonic_s() + (
            duration.total_seconds()
        )

    def observe_peer_version(self, version: int) -> None:
        """Process the version of the configuration that a peer has in force."""
        if version <= self._newest_version:
            return
        self._newest_version = version
        if version <= self.config_version:
            return
        is_settling = self._clock.monotonic_s() < self._settles_at_s
        if is_settling:
            self._config_confirmed_at_s = None
        self._log.write(
            'configuration_behind',
            version=self.config_version,
            newest=version,
            settling=is_settling,
        )

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply a version unless a newer one is in force."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self._newest_version = max(self._newest_version, configuration.version)
        self._log.write(
            'configuration_adopted',
            version=configuration.version,
            previous=current.version if current else None,
            routes=configuration.route_count,
            teams=len(configuration.teams),
        )
        if current is None:
            # What records mean may depend on the services of the configuration.
            for row in self._targets.values():
                self.on_record(row, False, self._targets_confirmed_at_s)
        self.on_change()

    def update_target(self, record: TargetRecord) -> None:
        """Apply the record of a target; older records are ignored."""
        current = self._targets.get(record.target_id)
        if self._is_outdated(record):
            self._ignore_outdated(record)
            return
        if record.process in self._leaving:
            record = record._replace(is_draining=True)
        is_new = self._are_targets_loaded and (
            current is None or current.process != record.process
        )
        self._drops_at_s.pop(record.target_id, None)
        self._deleted.discard(record.target_id)
        self._gone.pop(record.target_id, None)
        self._targets[record.target_id] = record
        self._see_versions(current, record)
        if current and not current.differs_from(record):
            self._pass_on(record, current, is_new)
            return
        self._log_change(record)
        if current is not None and current.role is not record.role:
            self._suspended_until_s.pop(record.target_id, None)
        if current is not None and (
            current.started_ms != record.started_ms
            or current.address != record.address
        ):
            self._leaving.discard(current.process)
            self._suspended_until_s.pop(record.target_id, None)
            self.on_target_gone(current)
        self._pass_on(record, current, is_new)
        self.on_change()

    def _pass_on(
        self, record: TargetRecord, known: TargetRecord | None, is_new: bool
    ) -> None:
        """Pass on a record unless it was only listed again."""
        is_repeated = (
            known is not None
            and bool(record.sequence)
            and record.process == known.process
            and record.sequence == known.sequence
        )
        if not is_repeated:
            self.on_record(record, is_new, self._targets_confirmed_at_s)

    def _ignore_outdated(self, record: TargetRecord) -> None:
        self._log.write(
            'target_record_outdated',
            target=record.target_id,
            started_ms=record.started_ms,
            sequence=record.sequence,
        )
        # Its clock may have been set back before it started again.
        self._see_version(record)

    def _see_versions(self, *records: TargetRecord | None) -> None:
        for row in filter(None, records):
            self._see_version(row)

    def _log_change(self, record: TargetRecord) -> None:
        self._log.write(
            'target_changed',
            target=record.target_id,
            service=record.service,
            address=str(record.address),
            zone=record.zone,
            leaving=record.is_draining,
            role=record.role.value if record.role else None,
            started_ms=record.started_ms,
            software=record.software_version,
        )

    def mark_leaving(self, target: TargetRecord) -> None:
        """Use a target no longer that has said that it leaves.

        Its record may say so later, or never.
        """
        current = self._targets.get(target.target_id)
        if (
            current is None
            or current.is_draining
            or current.process != target.process
        ):
            return
        self._leaving.add(current.process)
        self.update_target(current)

    def _is_outdated(self, record: TargetRecord) -> bool:
        """Whether a record was written before what is known of its target.

        A store that was restored from an older copy shows targets that have
        left, and those that are leaving as ready. A target whose record was
        deleted is only alive if it has written again.
        """
        target_id = record.target_id
        known = self._targets.get(target_id)
        is_deleted = target_id in self._deleted
        if known is None and target_id in self._gone:
            known, is_deleted = self._gone[target_id][0], True
        if known is None:
            return False
        if is_deleted and record.sequence and not known.is_older_than(record):
            return True
        return record.is_older_than(known)

    def expect_relisting(self) -> None:
        """Keep targets that the restored store does not list for a short time.

        Those that registered after the copy was made register again.
        """
        self._relisted_at_s = (
            self._clock.monotonic_s() + _RELISTING_TIME.total_seconds()
        )
        self.evacuations.expect_lost_records()

    def remove_target(self, target_id: str, reason: str) -> None:
        """Schedule the removal of a target after the grace period."""
        if target_id in self._targets:
            self._deleted.add(target_id)
        self._schedule_drop(target_id, reason, -math.inf)

    def _schedule_drop(
        self, target_id: str, reason: str, not_before_s: float
    ) -> None:
        if target_id in self._targets and target_id not in self._drops_at_s:
            drops_at_s = self._clock.monotonic_s() + self._grace_s
            self._drops_at_s[target_id] = max(drops_at_s, not_before_s)
            self._log.write(
                'target_record_removed',
                target=target_id,
                reason=reason,
            )

    def retain_targets(self, target_ids: Iterable[str]) -> None:
        """Remove the targets that are missing from a full listing."""
        if self._are_targets_loaded:
            self.versions.forget_archive()
        self._are_targets_loaded = True
        for target_id in self._targets.keys() - set(target_ids):
            self._schedule_drop(target_id, 'not listed', self._relisted_at_s)

    def confirm_targets(self, requested_s: float) -> None:
        """Record that all records written before a given time are known.

        :param requested_s: monotonic time of the request to the store.
        """
        self._targets_confirmed_at_s = max(
            self._targets_confirmed_at_s, requested_s
        )

    def targets_age_s(self) -> float:
        """Return the time since the targets were last known current."""
        return self._clock.monotonic_s() - self._targets_confirmed_at_s

    def see_versions(self) -> None:
        """Note the software versions of the model engines now."""
        for row in self._targets.values():
            self._see_version(row)

    def _see_version(self, target: TargetRecord) -> None:
        if target.role is not None:
            self.versions.see(target.service, target.software_version)

    def sole_version(self, service: str, since_s: float) -> str | None:
        """Return the only version that can have written a stream, if known.

        :param since_s: monotonic time at which its caller took it up. A target
            that registered before then may have begun it.
        """
        if self._targets_confirmed_at_s < since_s:
            return None
        self.see_versions()
        return self.versions.sole_version(service)

    def drop_removed_targets(self) -> None:
        """Drop removed targets whose grace period has ended."""
        now_s = self._clock.monotonic_s()
        for target_id, drops_at_s in list(self._drops_at_s.items()):
            if now_s >= drops_at_s:
                self._drops_at_s.pop(target_id)
                gone = self._targets.pop(target_id)
                self._leaving.discard(gone.process)
                if target_id in self._deleted or gone.is_draining:
                    self._remember_gone(gone, now_s)
                self._deleted.discard(target_id)
                self._log.write('target_gone', target=target_id)
                self.on_target_gone(gone)

    def _remember_gone(self, gone: TargetRecord, now_s: float) -> None:
        since_s = now_s - _GONE_RETENTION.total_seconds()
        self._gone = {
            target_id: entry
            for target_id, entry in self._gone.items()
            if entry[1] >= since_s
        }
        self._gone[gone.target_id] = (gone, now_s)

    def suspend_target(self, target_id: str, duration: timedelta) -> None:
        """Send no new requests to a target for the given time.

        Used for targets that are changing roles, or whose address is now used
        by another target, until their records are updated.
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
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> list[TargetRecord]:
        """Return the targets of a service that accept new requests.

        :param role: return only targets with this role; None for all.

        :param version: return only targets with this software version, and
            engines that only do prefill; None for all.

        :param regions: return only targets in these regions; None for all.
        """
        self.drop_removed_targets()
        found = [
            row
            for row in self._targets.values()
            if row.service == service
            and self._is_usable(row)
            and (role is None or row.role is role)
            and (version is None or row.can_write(version))
        ]
        if regions is None:
            return found
        return [row for row in found if self._region(row) in regions]

    def _region(self, target: TargetRecord) -> str | None:
        return self._zone_regions.get(target.zone)

    def _is_usable(self, target: TargetRecord) -> bool:
        return (
            not target.is_draining
            and target.zone not in self.evacuations
            and not self._is_suspended(target.target_id)
        )

    def update_evacuation(self, zone: str, is_evacuated: bool) -> None:
        """Apply the operator's evacuation of a zone, or its end."""
        if is_evacuated:
            self.evacuations.evacuate(zone)
        else:
            self.evacuations.take_back(zone)
        self.on_change()

    def retain_evacuations(self, zones: Iterable[str]) -> None:
        """Apply a full listing of the evacuated zones."""
        self.evacuations.apply_listing(zones)
        self.on_change()

    def _count_targets(self, zone: str) -> int:
        return sum(row.zone == zone for row in self._targets.values())

    def all_targets(self) -> list[TargetRecord]:
        """Return all targets, including draining ones."""
        return list(self._targets.values())


def _ignore(record: TargetRecord) -> None:
    """Default callback for removed targets."""


def _ignore_record(
    record: TargetRecord, is_new: bool, written_after_s: float
) -> None:
    """Default callback for records."""


def _ignore_change() -> None:
    """Default callback for changes."""
