"""Chooses which gateways get a report directly and which through a relay.

A report crosses to another zone once: to the relay of that zone, which forwards
it to the other gateways there. The relay rotates, so that a relay that fails
costs one of several reports. See ``docs/design/report-relays.md``.
"""

import math
import zlib
from collections import deque
from collections.abc import Mapping
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.report_timing import silence_s
from peridotrill.settings import Address

# Only every third report carries all totals. These must not go to the same few
# relays each time.
FULL_REPORT_INTERVAL: Final = 3
# Members with a report within this time are active, however often they report.
_ACTIVE_AGE_S: Final = 1.0
# With fewer gateways, all reports go directly: little crosses zones.
_MIN_GATEWAYS: Final = 16
# Relays that a zone needs. Three reports in a row that are lost make a gateway
# silent; with four relays at most one of four in a row goes to the same one.
_MIN_RELAYS: Final = 4
# Gateways of its zone that a gateway may miss while it relies on relays there.
_MAX_MISSED_RELAYS: Final = 1
# A gateway of the own zone that is silent for longer is taken for removed, not
# for cut off from this one only.
_REMOVED_AGE_S: Final = 30.0
# Replaced processes of a node whose late reports are recognised.
_REMEMBERED_PROCESSES: Final = 4


class Member:
    """Another gateway and what its latest report says of itself."""

    def __init__(self, node: str, address: Address) -> None:
        """:param address: destination of datagrams."""
        self.node = node
        self.address = address
        self.heard_s: float | None = None
        self.incarnation = ''
        self.sequence = 0
        # Zone of the gateway; empty if it has not reported one.
        self.zone = ''
        self.hears_zone = False
        # When the first report of its current process came.
        self.process_heard_s = math.inf
        self._replaced: deque[str] = deque(maxlen=_REMEMBERED_PROCESSES)

    def accept(self, incarnation: str, sequence: int, now_s: float) -> bool:
        """Record a report, unless it is a copy or older than the last one.

        A relay that was frozen may forward reports of a process long after
        that has been replaced.
        """
        if incarnation in self._replaced:
            return False
        if self.incarnation == incarnation:
            if sequence <= self.sequence:
                return False
        else:
            self._replaced.append(self.incarnation)
            self.incarnation = incarnation
            self.process_heard_s = now_s
        self.sequence = sequence
        self.heard_s = now_s
        return True


class Route(NamedTuple):
    """Recipients of one report.

    ``direct`` are sent the report, ``relays`` are asked to forward it as well.
    """

    direct: list[Member]
    relays: list[Member]


@final
class ReportRoutes:
    """Recipients of the reports of one gateway, and of those that it relays."""

    def __init__(
        self, node: str, zone: str, members: Mapping[str, Member], clock: Clock
    ) -> None:
        """:param zone: zone of this gateway; empty to send directly to all.

        :param members: the other gateways, as they are known at any time.
        """
        self.zone = zone
        self._node = node
        self._members = members
        self._clock = clock
        # Different gateways begin with different relays.
        self._offset = zlib.crc32(node.encode())

    @property
    def active_age_s(self) -> float:
        """Age of its last report up to which a member counts as active."""
        return silence_s(len(self._members), _ACTIVE_AGE_S)

    def active(self) -> list[Member]:
        """Return the members that have not missed several reports."""
        return self._heard_within(self.active_age_s)

    @property
    def hears_zone(self) -> bool:
        """Whether this gateway gets what the relays of its zone forward.

        A gateway that is cut off from others of its zone may still hear other
        zones; these then send their reports to it directly.
        """
        if not self.zone:
            return False
        heard = self._count_zone(self.active_age_s)
        known = self._count_zone(max(_REMOVED_AGE_S, self.active_age_s))
        return heard + 1 >= _MIN_RELAYS and known - heard <= _MAX_MISSED_RELAYS

    def route(self, sequence: int) -> Route:
        """Return the recipients of a report of this gateway.

        :param sequence: number of the report; the relays rotate with it.
        """
        if not self.zone or len(self._members) + 1 < _MIN_GATEWAYS:
            return Route(list(self._members.values()), [])
        route = Route([], [])
        since_s = self._clock.monotonic_s() - self.active_age_s
        for rows in self._group(route.direct, since_s).values():
            relays = [row for row in rows if _is_heard(row, since_s)]
            if len(relays) < _MIN_RELAYS:
                route.direct.extend(rows)
            else:
                route.relays.append(relays[self._index(sequence, len(relays))])
        return route

    def recipients(self, node: str, zone: str, relay: str) -> list[Member]:
        """Return the members to forward a report to.

        It is asked once for each report: ``Member.accept`` takes one copy.

        :param node: the gateway that has sent the report, and its zone.
        :param relay: the relay that the sender has asked to forward it.
        """
        if not self.zone or zone in {'', self.zone}:
            return []
        if relay != relay_name(self.zone, self._node):
            return []
        return [
            member
            for member in self._members.values()
            if member.zone == self.zone and member.node != node
        ]

    def _group(
        self, direct: list[Member], since_s: float
    ) -> dict[str, list[Member]]:
        """Return the members that relays may serve, by zone.

        :param direct: the other members are added to it.
        :param since_s: members whose process was first heard later are new: not
            all relays may know them, and they need the next reports of all.
        """
        by_zone: dict[str, list[Member]] = {}
        for member in self._members.values():
            is_new = member.process_heard_s > since_s
            if is_new or not member.hears_zone or member.zone == self.zone:
                direct.append(member)
            else:
                by_zone.setdefault(member.zone, []).append(member)
        return by_zone

    def _index(self, sequence: int, relays: int) -> int:
        """Return which relay a report goes to.

        Each round of reports takes each relay once. The rounds are shifted where
        full reports would otherwise go to some of the relays only.
        """
        shift = 0
        if math.gcd(relays, FULL_REPORT_INTERVAL) > 1:
            shift = sequence // relays
        return (self._offset + sequence + shift) % relays

    def _count_zone(self, age_s: float) -> int:
        return sum(
            member.zone == self.zone for member in self._heard_within(age_s)
        )

    def _heard_within(self, age_s: float) -> list[Member]:
        since_s = self._clock.monotonic_s() - age_s
        return [
            member
            for member in self._members.values()
            if _is_heard(member, since_s)
        ]


def _is_heard(member: Member, since_s: float) -> bool:
    return member.heard_s is not None and member.heard_s >= since_s


def relay_name(zone: str, node: str) -> str:
    """Return what asks a gateway to forward a report within a zone.

    With the zone, a gateway that has moved does not forward what was meant for
    its former zone.
    """
    return f'{zone}/{node}'
