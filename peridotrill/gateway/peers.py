"""Reports between gateways, as datagrams.

Each gateway sends its totals to all others several times per second. A lost
report is made up for by the next one, because reports carry totals.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, final

import msgspec

from peridotrill.clock import Clock
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.metrics import UNREADABLE
from peridotrill.gateway.part_directory import PartLocation
from peridotrill.settings import Address

# Interval of the reports of a small system; larger ones report less often,
# so that the traffic of a node stays bounded.
_MIN_INTERVAL_S: Final = 0.1
# Bounds the reports that a gateway receives to 83 a second.
_INTERVAL_PER_PEER_S: Final = 0.012
# Datagrams beyond this size could be fragmented.
_MAX_DATAGRAM_BYTES: Final = 8192


class LeaseNotice(msgspec.Struct, array_like=True, frozen=True):
    """Who holds the coordinator's lease, and for how much longer."""

    holder: str
    fence: int
    left_s: float


class Report(msgspec.Struct, array_like=True, frozen=True, tag='report'):
    """Totals of one gateway process since its start.

    ``can_claim`` tells whether it may become the coordinator. ``quota_used``
    is what all gateways used of the quotas in the last window, by team and
    by age in whole seconds; it is told when a process has just started.
    """

    node: str
    incarnation: str
    sequence: int
    host: str
    port: int
    unix_s: float
    can_claim: bool
    spent: dict[str, float]
    work: dict[str, float]
    usage: dict[int, dict[str, int]]
    parts: list[PartLocation]
    demand: dict[str, tuple[float, float]]
    switching: list[str]
    lease: LeaseNotice | None = None
    quota_used: dict[str, list[float]] = {}


class PartListing(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    tag='parts',
):
    """Parts that engines keep, told to a process that has just started."""

    node: str
    parts: list[PartLocation]


Message = Report | PartListing

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message for one datagram."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message | None:
    """Decode a datagram; None if it cannot be read."""
    try:
        return _decoder.decode(datagram)
    except (msgspec.DecodeError, RecursionError):
        return None


def report_interval_s(peers: int) -> float:
    """Return the interval between reports for a number of peers."""
    return max(_MIN_INTERVAL_S, _INTERVAL_PER_PEER_S * peers)


class Member:
    """Another gateway and the newest report of it."""

    def __init__(self, node: str, address: Address) -> None:
        """:param address: for datagrams."""
        self.node = node
        self.address = address
        self.heard_s: float | None = None
        self.incarnation = ''
        self.sequence = 0


@final
class PeerExchange(asyncio.DatagramProtocol):
    """Knows the other gateways, sends reports and takes theirs in."""

    def __init__(self, node: str, clock: Clock, log: EventLog) -> None:
        """:param node: name of this gateway's machine."""
        self._node = node
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self.members: dict[str, Member] = {}
        self.on_report: Callable[[Report], None] = _ignore
        self.on_member: Callable[[str], None] = _ignore
        self.on_parts: Callable[[PartListing], None] = _ignore

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a message in; anything else is counted and dropped."""
        message = decode_message(data)
        if message is None:
            UNREADABLE.labels('report').inc()
            self._log.write(
                'report_unreadable',
                sender=str(addr),
                size=len(data),
            )
        elif message.node == self._node:
            return
        elif isinstance(message, PartListing):
            self.on_parts(message)
        else:
            self._take_report(message)

    def _take_report(self, report: Report) -> None:
        self.add_member(report.node, Address(report.host, report.port))
        member = self.members[report.node]
        if member.incarnation == report.incarnation:
            if report.sequence <= member.sequence:
                return
        member.incarnation = report.incarnation
        member.sequence = report.sequence
        member.heard_s = self._clock.monotonic_s()
        self.on_report(report)

    def error_received(self, exc: Exception) -> None:
        """A peer without a process answers with an error; it is expected."""

    def add_member(self, node: str, address: Address) -> None:
        """Add a gateway, or note its new address."""
        if node == self._node:
            return
        known = self.members.get(node)
        if known is None:
            self.members[node] = Member(node, address)
            self._log.write('peer_added', peer=node, address=str(address))
            self.on_member(node)
        elif known.address != address:
            known.address = address

    def send(self, message: Message, node: str | None = None) -> None:
        """Send a message to all members, or to one.

        :param node: name of the one.
        """
        if self._transport is None or self._transport.is_closing():
            return
        datagram = encode_message(message)
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            self._log.write('report_too_large', size=len(datagram))
            return
        for member in self.members.values():
            if node is None or member.node == node:
                self._transport.sendto(datagram, member.address)

    def heard_within(self, age_s: float) -> list[str]:
        """Return the members heard of within a time."""
        since_s = self._clock.monotonic_s() - age_s
        return [
            member.node
            for member in self.members.values()
            if member.heard_s is not None and member.heard_s >= since_s
        ]


def _ignore(found: Any) -> None:
    """Nobody is interested."""
