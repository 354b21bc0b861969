"""State of the targets, from the VM list and the links to their agents."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Final, NamedTuple, final

import msgspec

from peridotrill.clock import Clock
from peridotrill.messages import LoadReport, Welcome
from peridotrill.routing import TargetView

# An entry reports itself ready this long after the first VM list, so that its
# links to the targets are established by then.
INITIAL_LINK_DELAY: Final = timedelta(seconds=3)
# A target without a link for this long is not a home target for new keys.
HOME_LOST_TIMEOUT: Final = timedelta(seconds=10)
# How long a target is kept that is no longer listed, for the attempts that
# still run there.
UNLISTED_RETENTION: Final = timedelta(minutes=5)


class VmRow(NamedTuple):
    """Row of the VM list."""

    vm_id: str
    kind: str
    state: str
    zone: str
    service: str = ''
    target_id: str = ''
    target_kind: str = ''
    address: str = ''


def parse_vms(payload: bytes) -> list[VmRow]:
    """Parse the response to ``GET /vms``.

    Rows without the required fields are skipped. Raises msgspec.MsgspecError
    if the payload is not a JSON list of VMs.
    """
    document = msgspec.json.decode(payload, type=dict[str, list[dict]])
    rows = []
    for fields in document.get('vms', []):
        known = {name: fields.get(name) or '' for name in VmRow._fields}
        row = VmRow(**known)
        if row.vm_id and (row.kind == 'entry' or row.target_id):
            rows.append(row)
    return rows


@final
class _Target:
    """State of one target."""

    def __init__(self, row: VmRow, now_s: float) -> None:
        self.row = row
        self.unlisted_since_s: float | None = None
        self.unlinked_since_s: float | None = now_s
        self.welcome: Welcome | None = None
        self.load: LoadReport | None = None
        self.ready = False
        self.draining = False

    @property
    def is_listed(self) -> bool:
        """Whether the last VM list contained the target."""
        return self.unlisted_since_s is None

    def view(self) -> TargetView:
        """Return the state of the target that routing uses."""
        is_live = self.is_listed and self.row.state == 'live'
        return TargetView(
            self.row.target_id,
            self.row.service,
            self.row.zone,
            self.row.address,
            self.row.target_kind,
            ready=self.ready,
            draining=self.draining or not is_live,
            linked=self.welcome is not None,
            load=self.load,
        )


@final
class TargetTable:
    """State of all targets, updated by the VM list and by link events."""

    def __init__(self, clock: Clock) -> None:
        """Initialize an empty table.

        :param clock: monotonic clock for the duration of states.
        """
        self._clock = clock
        self._targets: dict[str, _Target] = {}
        self._first_list_at_s: float | None = None
        self.live_entries: frozenset[str] = frozenset()
        self.has_attempts: Callable[[str], bool] = lambda _target_id: False

    @property
    def is_initialized(self) -> bool:
        """Whether the VM list has been known for ``INITIAL_LINK_DELAY``."""
        if self._first_list_at_s is None:
            return False
        age_s = self._clock.monotonic_s() - self._first_list_at_s
        return age_s > INITIAL_LINK_DELAY.total_seconds()

    def apply_vms(self, rows: Iterable[VmRow]) -> None:
        """Update the table from a VM list."""
        now_s = self._clock.monotonic_s()
        if self._first_list_at_s is None:
            self._first_list_at_s = now_s
        listed = {row.vm_id: row for row in rows}
        self.live_entries = frozenset(
            row.vm_id for row in listed.values() if row.kind == 'entry'
        )
        present = {
            row.target_id: row
            for row in listed.values()
            if row.kind == 'target'
        }
        for target_id, row in present.items():
            self._update_listed(target_id, row, now_s)
        for target_id in self._targets.keys() - present.keys():
            self._update_unlisted(target_id, now_s)

    def link_up(self, target_id: str, welcome: Welcome) -> bool:
        """Record that the agent of a target has accepted a connection.

        :return: False if another target responds at the address.
        """
        target = self._targets.get(target_id)
        if target is None or welcome.target_id != target_id:
            return False
        target.welcome = welcome
        target.unlinked_since_s = None
        target.ready = welcome.ready
        target.draining = welcome.draining
        return True

    def link_down(self, target_id: str) -> None:
        """Record that the connection to the target's agent has ended."""
        target = self._targets.get(target_id)
        if target is not None:
            self._mark_unlinked(target)

    def mark_draining(self, target_id: str) -> None:
        """Record that the agent accepts no new attempts."""
        target = self._targets.get(target_id)
        if target is not None:
            target.draining = True

    def update_load(self, target_id: str, load: LoadReport) -> None:
        """Update a target from a load report."""
        target = self._targets.get(target_id)
        if target is not None:
            target.load = load
            target.ready = load.ready
            target.draining = load.draining

    def find(self, target_id: str) -> TargetView | None:
        """Return a target, or None if it is unknown."""
        target = self._targets.get(target_id)
        return None if target is None else target.view()

    def views(self) -> list[TargetView]:
        """Return all targets."""
        return [target.view() for target in self._targets.values()]

    def candidates(self, service: str) -> list[TargetView]:
        """Return the targets of a service that accept new requests."""
        return [
            view
            for view in self.views()
            if view.service == service and _accepts_requests(view)
        ]

    def possible_home_targets(self) -> dict[str, frozenset[str]]:
        """Return the targets that can be home targets of keys, by service.

        Targets that are leaving or draining are excluded. Those without a
        link for ``HOME_LOST_TIMEOUT`` are excluded unless at least half of
        the service's targets have none; then this entry is the isolated one.
        """
        by_service: dict[str, list[_Target]] = {}
        for target in self._targets.values():
            view = target.view()
            if target.is_listed and not view.draining:
                by_service.setdefault(view.service, []).append(target)
        return {
            service: self._exclude_unlinked(targets)
            for service, targets in by_service.items()
        }

    def _exclude_unlinked(self, targets: list[_Target]) -> frozenset[str]:
        limit_s = self._clock.monotonic_s() - HOME_LOST_TIMEOUT.total_seconds()
        linked = [
            target
            for target in targets
            if target.unlinked_since_s is None
            or target.unlinked_since_s > limit_s
        ]
        chosen = linked if 2 * len(linked) > len(targets) else targets
        return frozenset(target.row.target_id for target in chosen)

    def _mark_unlinked(self, target: _Target) -> None:
        target.welcome = None
        if target.unlinked_since_s is None:
            target.unlinked_since_s = self._clock.monotonic_s()

    def _update_listed(
        self,
        target_id: str,
        row: VmRow,
        now_s: float,
    ) -> None:
        target = self._targets.get(target_id)
        if target is None:
            self._targets[target_id] = _Target(row, now_s)
            return
        if target.row.address != row.address:
            self._mark_unlinked(target)
        target.row = row
        target.unlisted_since_s = None

    def _update_unlisted(self, target_id: str, now_s: float) -> None:
        target = self._targets[target_id]
        if target.unlisted_since_s is None:
            target.unlisted_since_s = now_s
        unlisted_s = now_s - target.unlisted_since_s
        is_old = unlisted_s >= UNLISTED_RETENTION.total_seconds()
        if is_old and not self.has_attempts(target_id):
            self._targets.pop(target_id)


def _accepts_requests(view: TargetView) -> bool:
    return view.ready and view.linked and not view.draining
