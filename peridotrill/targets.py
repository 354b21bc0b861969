"""The targets: what the VM list and the links say about them.

Home targets. A target that leaves the VM list stays the home of its keys
until the list has shown it gone for the retention of the service, because
until then a key may have run there. Its keys then move to the target that
comes next for them among those known at that time. A target that joins
takes over keys of targets that left later, and never a key whose home is
still there: such a key may have run at its old home.
"""

import hashlib
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Final, NamedTuple, final

import msgspec

from peridotrill.clock import Clock
from peridotrill.messages import LoadReport, Welcome
from peridotrill.routing import TargetView

# Targets that appear within this time after the first list are part of the
# first set of homes, so that entries which start while the targets do agree.
FIRST_SET_DELAY: Final = timedelta(seconds=3)
_DEFAULT_RETENTION_S: Final = 900.0


class VmRow(NamedTuple):
    """A row of the VM list."""

    vm_id: str
    kind: str
    state: str
    zone: str
    service: str = ''
    target_id: str = ''
    target_kind: str = ''
    address: str = ''


def parse_vms(payload: bytes) -> list[VmRow]:
    """Parse the answer of ``GET /vms``.

    :param payload: JSON; raises msgspec.MsgspecError if it is not a list of
        VMs. Rows without the needed fields are left out.
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
    """What is known about one target."""

    def __init__(self, row: VmRow, joined_s: float) -> None:
        self.row = row
        self.joined_s = joined_s
        self.absent_since_s: float | None = None
        self.gone_s: float | None = None
        self.welcome: Welcome | None = None
        self.load: LoadReport | None = None
        self.ready = False
        self.draining = False
        self.draining_since_s: float | None = None

    @property
    def is_listed(self) -> bool:
        """Tell whether the last list had the target."""
        return self.absent_since_s is None

    def view(self) -> TargetView:
        """Return the target as routing sees it."""
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


def _no_retention(_service: str) -> float:
    return _DEFAULT_RETENTION_S


@final
class TargetTable:
    """State of all targets, fed by the VM list and by link events."""

    def __init__(
        self,
        clock: Clock,
        retention_s: Callable[[str], float] = _no_retention,
    ) -> None:
        """:param retention_s: idempotency retention of a service."""
        self._clock = clock
        self._retention_s = retention_s
        self._targets: dict[str, _Target] = {}
        # Earlier stays of targets that left for good and came back; keys
        # that moved away meanwhile do not move back.
        self._left: list[_Target] = []
        self._first_list_s: float | None = None
        self.live_entries: frozenset[str] = frozenset()

    @property
    def is_settled(self) -> bool:
        """Tell whether the first set of homes is complete."""
        if self._first_list_s is None:
            return False
        age_s = self._clock.monotonic_s() - self._first_list_s
        return age_s > FIRST_SET_DELAY.total_seconds()

    def apply_vms(self, rows: Iterable[VmRow]) -> None:
        """Take over a VM list."""
        now_s = self._clock.monotonic_s()
        if self._first_list_s is None:
            self._first_list_s = now_s
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
            self._note_present(target_id, row, now_s)
        for target_id in self._targets.keys() - present.keys():
            self._note_absent(self._targets[target_id], now_s)

    def link_up(self, target_id: str, welcome: Welcome) -> bool:
        """Note a welcomed connection.

        :return: False if another target answers at the address.
        """
        target = self._targets.get(target_id)
        if target is None or welcome.target_id != target_id:
            return False
        target.welcome = welcome
        target.ready = welcome.ready
        self._set_draining(target, welcome.draining)
        return True

    def link_down(self, target_id: str) -> None:
        """Note that there is no connection to the target's agent."""
        target = self._targets.get(target_id)
        if target is not None:
            target.welcome = None

    def drain(self, target_id: str) -> None:
        """Note that the agent takes no new work."""
        target = self._targets.get(target_id)
        if target is not None:
            self._set_draining(target, draining=True)

    def report(self, target_id: str, load: LoadReport) -> None:
        """Take over a load report."""
        target = self._targets.get(target_id)
        if target is not None:
            target.load = load
            target.ready = load.ready
            self._set_draining(target, load.draining)

    def find(self, target_id: str) -> TargetView | None:
        """Return a target, or None if it is not known."""
        target = self._targets.get(target_id)
        return None if target is None else target.view()

    def views(self) -> list[TargetView]:
        """Return all targets that have not left for good."""
        return [
            target.view()
            for target in self._targets.values()
            if target.gone_s is None
        ]

    def candidates(self, service: str) -> list[TargetView]:
        """Return the targets of a service that take new work."""
        return [
            view
            for view in self.views()
            if view.service == service and _takes_work(view)
        ]

    def home(self, service: str, key_digest: bytes) -> TargetView | None:
        """Return the home target of a key.

        :return: possibly a target that cannot be reached or drains; None if
            the service has no target.
        """
        homes = self.homes(service, key_digest)
        return homes[0] if homes else None

    def homes(self, service: str, key_digest: bytes) -> list[TargetView]:
        """Return the home target of a key and those that come after it.

        A later one may run the key only if all before it refused the key
        as not run. A target that joined after the home began to drain is
        not among them: the key may have run at one that came before it.
        """
        pool = [
            target
            for target in (*self._left, *self._targets.values())
            if target.row.service == service
        ]
        home = _find_home(pool, key_digest)
        if home is None:
            return []
        since_s = home.draining_since_s or self._clock.monotonic_s()
        others = [
            rest
            for rest in pool
            if rest is not home and rest.is_listed and rest.joined_s <= since_s
        ]
        others.sort(
            key=lambda rest: rank_target(key_digest, rest.row.target_id),
            reverse=True,
        )
        return [target.view() for target in (home, *others)]

    def _note_present(
        self,
        target_id: str,
        row: VmRow,
        now_s: float,
    ) -> None:
        target = self._targets.get(target_id)
        if target is None or target.gone_s is not None:
            joined_s = now_s if self.is_settled else float('-inf')
            if target is not None:
                self._left.append(target)
            self._targets[target_id] = _Target(row, joined_s)
            return
        if target.row.address != row.address:
            target.welcome = None
        target.row = row
        target.absent_since_s = None

    def _set_draining(self, target: _Target, draining: bool) -> None:
        target.draining = draining
        if not draining:
            target.draining_since_s = None
        elif target.draining_since_s is None:
            target.draining_since_s = self._clock.monotonic_s()

    def _note_absent(self, target: _Target, now_s: float) -> None:
        if target.absent_since_s is None:
            target.absent_since_s = now_s
        retention_s = self._retention_s(target.row.service)
        is_gone = now_s - target.absent_since_s >= retention_s
        if is_gone and target.gone_s is None:
            target.gone_s = now_s


def _takes_work(view: TargetView) -> bool:
    return view.ready and view.linked and not view.draining


def rank_target(key_digest: bytes, target_id: str) -> bytes:
    """Return the rank of a target for a key; the highest one is the home."""
    return hashlib.sha256(key_digest + target_id.encode()).digest()


def _find_home(pool: list[_Target], key_digest: bytes) -> _Target | None:
    """Follow the key from its first home over the targets that left."""
    known_by_s = float('-inf')
    ranked = sorted(
        pool,
        key=lambda target: rank_target(key_digest, target.row.target_id),
        reverse=True,
    )
    while ranked:
        best = next(
            (target for target in ranked if target.joined_s <= known_by_s),
            None,
        )
        if best is None:
            # All targets known by then have left; the next one to join
            # became the home.
            known_by_s = min(target.joined_s for target in ranked)
        elif best.gone_s is None:
            return best
        else:
            ranked.remove(best)
            known_by_s = max(known_by_s, best.gone_s)
    return None
