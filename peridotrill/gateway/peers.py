"""Exchange of reports between gateways over UDP.

Each gateway sends reports to all others several times per second, to those of
other zones through relays (``ReportRoutes``). Reports carry totals instead of
differences, so the next report makes up for a lost one. A datagram may come from
a relay, so its address says nothing about the gateway that reports.
"""

import asyncio
import math
import zlib
from collections.abc import Callable, Iterable, KeysView
from itertools import chain
from typing import Any, Final, NamedTuple, final

import msgspec

from peridotrill.clock import Clock
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.metrics import RELAYED_REPORTS, UNREADABLE
from peridotrill.gateway.part_directory import PartLocation
from peridotrill.gateway.report_routes import (
    Member,
    ReportRoutes,
    relay_name,
)
from peridotrill.gateway.stream_origins import BegunStreams
from peridotrill.gateway.waiting_work import WaitingRow
from peridotrill.settings import Address

# Gateways that send a listing to a new process: datagrams may be lost, and one
# gateway may have little data itself.
_SENDERS_PER_PROCESS: Final = 2
# Larger datagrams could be fragmented.
_MAX_DATAGRAM_BYTES: Final = 8192


class LeaseNotice(msgspec.Struct, array_like=True, frozen=True):
    """Holder of the coordinator lease and its remaining validity."""

    holder: str
    fence: int
    remaining_s: float


class Report(msgspec.Struct, array_like=True, frozen=True, tag='report'):
    """Totals of one gateway process since its start.

    ``can_claim`` tells whether the sender may become the coordinator.
    ``quota_used`` is the quota usage of all gateways in the last window, by
    team and by age in whole seconds. It is only sent for a short time after
    a process has started. ``target_limits`` are the limits that targets have
    named, in requests per second and with their age in milliseconds, and
    ``target_spent`` the requests of this process to limited targets.
    ``config_version`` is the version of the configuration in force, and
    ``committed`` the final usage counts of the last windows, sent by the
    holder of the lease. ``begun_streams`` are streams that have begun at the
    sender; each is in two consecutive reports. ``slowdowns`` are the factors by
    which model engines read prompts more slowly than by their model, by service.
    ``cold_targets`` are the milliseconds for which targets are still cold, as far
    as the sender knows it itself, and those since it learned of it. ``zone`` is the
    availability zone of the sender, and ``hears_zone`` whether it gets what is
    forwarded within that zone. ``relay`` names the gateway that is asked to forward
    this copy of the report, and the zone in which it forwards it (``relay_name``);
    empty for none. ``target_speeds`` are the slowness in percent of targets that
    differ from the others of their service, by the sender's own requests, each with
    the number of the process and its weight (``EngineSpeeds``). ``waiting`` is what
    waits there for capacity, by service, pool and priority (``waiting_work``).
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
    target_limits: dict[str, tuple[float, int]] = {}
    target_spent: dict[str, float] = {}
    config_version: int = 0
    committed: dict[int, dict[str, int]] = {}
    begun_streams: list[BegunStreams] = []
    slowdowns: dict[str, float] = {}
    cold_targets: dict[str, tuple[int, int]] = {}
    zone: str = ''
    hears_zone: bool = False
    relay: str = ''
    target_speeds: dict[str, tuple[int, int, int]] = {}
    waiting: dict[str, WaitingRow] = {}


class PartListing(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    tag='parts',
):
    """Prompt parts cached by engines, sent to a newly started process."""

    node: str
    parts: list[PartLocation]


class StreamListing(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    tag='streams',
):
    """Streams that have begun.

    Sent to a newly started process, to the holders of a stream and as the answer
    to a query.
    """

    node: str
    streams: list[BegunStreams]


class StreamQuery(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    tag='stream_query',
):
    """Asks for the origin of a stream that a caller takes up at ``node``."""

    node: str
    digest: int


class CrashRow(NamedTuple):
    """A request with these prompt parts that ran at a process as it ended.

    ``process`` identifies the process; ages are at the time of sending.
    """

    process: int
    ended_age_ms: int
    alive_age_ms: int
    parts: tuple[str, ...]


class PartProof(NamedTuple):
    """A part to which an engine began to respond without a crash."""

    part_id: str
    age_ms: int


class CrashReport(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    tag='crashes',
):
    """Crashes that one gateway has seen, and proofs against suspicions."""

    node: str
    crashes: list[CrashRow]
    proofs: list[PartProof]


Message = Report | PartListing | StreamListing | StreamQuery | CrashReport

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message for one datagram."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message | None:
    """Decode a datagram; return None if it is malformed."""
    try:
        message = _decoder.decode(datagram)
    except (msgspec.DecodeError, RecursionError):
        return None
    if isinstance(message, Report) and not _is_finite(message):
        return None
    return message


def _is_finite(report: Report) -> bool:
    """Whether no sum that includes a number of the report becomes infinite."""
    numbers = chain(
        (report.unix_s, report.lease.remaining_s if report.lease else 0),
        report.spent.values(),
        report.work.values(),
        chain.from_iterable(report.demand.values()),
        chain.from_iterable(report.quota_used.values()),
        chain.from_iterable(report.target_limits.values()),
        report.target_spent.values(),
        report.slowdowns.values(),
    )
    return all(map(math.isfinite, numbers))


@final
class PeerExchange(asyncio.DatagramProtocol):
    """Tracks the other gateways, sends messages and receives theirs."""

    def __init__(
        self, node: str, clock: Clock, log: EventLog, zone: str = ''
    ) -> None:
        """:param node: name of this gateway's machine.

        :param zone: its availability zone; empty to send directly to all.
        """
        self._node = node
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self.members: dict[str, Member] = {}
        # Whether all members that the store lists have been added.
        self.are_members_read = False
        self.routes = ReportRoutes(node, zone, self.members, clock)
        # Whether the last report said that this gateway hears its zone.
        self._hears_zone = False
        self.on_report: Callable[[Report], None] = _ignore
        self.on_new_member: Callable[[str], None] = _ignore
        self.on_parts: Callable[[PartListing], None] = _ignore
        self.on_crashes: Callable[[CrashReport], None] = _ignore
        self.on_streams: Callable[[StreamListing], None] = _ignore
        self.on_stream_query: Callable[[StreamQuery], None] = _ignore

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a message; count and drop datagrams that cannot be decoded."""
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
        elif isinstance(message, Report):
            if self._accept(message):
                self._forward(message, data)
                self.on_report(message)
        else:
            self._dispatch(message)

    def _dispatch(self, message: Message) -> None:
        handlers: dict[type[Message], Callable[[Any], None]] = {
            PartListing: self.on_parts,
            StreamListing: self.on_streams,
            StreamQuery: self.on_stream_query,
            CrashReport: self.on_crashes,
        }
        handlers[type(message)](message)

    def _accept(self, report: Report) -> bool:
        """Update the member; return whether the report is newer than the last."""
        address = Address(report.host, report.port)
        if report.node not in self.members:
            self.add_member(report.node, address)
        member = self.members[report.node]
        if not member.accept(
            report.incarnation,
            report.sequence,
            self._clock.monotonic_s(),
        ):
            return False
        member.address = address
        member.zone = report.zone
        member.hears_zone = report.hears_zone
        return True

    def _forward(self, report: Report, datagram: bytes) -> None:
        """Forward a report unchanged if this gateway is its relay."""
        recipients = self.routes.recipients(
            report.node, report.zone, report.relay
        )
        if self._transport is None or not recipients:
            return
        RELAYED_REPORTS.inc()
        for member in recipients:
            self._send_to(self._transport, member, datagram)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; they are expected while a peer is down."""

    def add_member(self, node: str, address: Address) -> None:
        """Add a gateway, or update its address."""
        if node == self._node:
            return
        member = self.members.get(node)
        if member is None:
            self.members[node] = Member(node, address)
            self._log.write('peer_added', peer=node, address=str(address))
            self.on_new_member(node)
        elif member.address != address:
            member.address = address

    def send_report(self, report: Report) -> None:
        """Send a report to all members, to those of other zones by relays."""
        if report.hears_zone != self._hears_zone:
            self._hears_zone = report.hears_zone
            event = 'zone_heard' if report.hears_zone else 'zone_not_heard'
            self._log.write(event, zone=report.zone)
        route = self.routes.route(report.sequence)
        self.send_each(report, [member.node for member in route.direct])
        for relay in route.relays:
            name = relay_name(relay.zone, relay.node)
            copy = msgspec.structs.replace(report, relay=name)
            self.send_each(copy, (relay.node,))

    def send(self, message: Message, node: str | None = None) -> None:
        """Send a message to all members, or to one of them.

        :param node: the only recipient; None for all members.
        """
        self.send_each(message, self.members if node is None else (node,))

    def send_each(self, message: Message, nodes: Iterable[str]) -> None:
        """Send a message to some of the members.

        :param nodes: the recipients; those that are no members are left out.
        """
        if self._transport is None or self._transport.is_closing():
            return
        datagram = encode_message(message)
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            self._log.write('report_too_large', size=len(datagram))
            return
        for node in nodes:
            member = self.members.get(node)
            if member is not None:
                self._send_to(self._transport, member, datagram)

    def _send_to(
        self,
        transport: asyncio.DatagramTransport,
        member: Member,
        datagram: bytes,
    ) -> None:
        try:
            transport.sendto(datagram, member.address)
        except (OSError, ValueError, ArithmeticError) as error:
            # The address may come from another writer of the members' topic.
            self._log.write(
                'report_not_sent', peer=member.node, error=str(error)
            )

    def known_members(self) -> KeysView[str] | None:
        """Return all other gateways; None until the store has listed them."""
        return self.members.keys() if self.are_members_read else None

    @property
    def has_heard_all(self) -> bool:
        """Whether all known members have sent a report."""
        return all(
            member.heard_s is not None for member in self.members.values()
        )

    @property
    def active_age_s(self) -> float:
        """Age of its last report up to which a member counts as active."""
        return self.routes.active_age_s

    def active_members(self) -> list[str]:
        """Return the members that have not missed several reports."""
        return [member.node for member in self.routes.active()]


def rank_for_key(
    names: tuple[str, ...] | list[str], key: str, count: int
) -> list[str]:
    """Return the highest-ranked names for a key (rendezvous hashing)."""
    return sorted(
        names,
        key=lambda name: zlib.crc32(f'{key}/{name}'.encode()),
    )[:count]


def is_listing_sender(active: Iterable[str], own: str, node: str) -> bool:
    """Tell whether a gateway sends listings to a new process of another node.

    :param active: nodes of the gateways that are active besides the own one.
    """
    others = [name for name in (*active, own) if name != node]
    return own in rank_for_key(others, node, _SENDERS_PER_PROCESS)


def _ignore(found: Any) -> None:
    """Do nothing; used until a callback is set."""
