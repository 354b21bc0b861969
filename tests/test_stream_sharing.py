"""Origins of streams that other gateways learn of before the next report."""

import asyncio
from datetime import timedelta

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.peers import PeerExchange, Report, encode_message
from peridotrill.gateway.stream_origins import (
    BegunStreams,
    StreamOrigin,
    StreamOrigins,
    digest_request,
)
from peridotrill.gateway.stream_sharing import StreamSharing
from peridotrill.gateway.version_history import VersionHistory
from peridotrill.settings import Address
from tests.gateway_builders import RecordingLog

_ORIGIN = StreamOrigin('llm', 'v1')
_TIMEOUT = timedelta(seconds=0.3)
# Messages for one stream, however many gateways there are.
_MAX_MESSAGES = 4
_STREAMS = 200


class Network:
    """Delivers the datagrams of gateways, unless ``is_lost`` says otherwise."""

    def __init__(self):
        self.gateways = {}
        self.down = set()
        self.sent = []
        self.is_lost = lambda datagram: False

    def add(self, clock, name, peers):
        gateway = Gateway(clock, name)
        gateway.peers.connection_made(Transport(self, name))
        self.gateways[name] = gateway
        for peer in peers:
            gateway.peers.add_member(peer, Address(peer, 1))
        return gateway

    def deliver(self, sender, datagram, address):
        self.sent.append(datagram)
        ends = {sender, address.host}
        if not ends & self.down and not self.is_lost(datagram):
            self.gateways[address.host].peers.datagram_received(
                datagram, (sender, 1)
            )


class Transport:
    """Transport of one gateway in a ``Network``."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def is_closing(self):
        return False

    def sendto(self, datagram, address):
        self._network.deliver(self._name, datagram, address)


class Gateway:
    """The part of a gateway that shares the origins of streams."""

    def __init__(self, clock, name):
        self.versions = VersionHistory(clock, is_complete=True)
        self.origins = StreamOrigins(clock)
        self.peers = PeerExchange(name, clock, RecordingLog())
        self.streams = StreamSharing(
            name, self.origins, self.versions, self.peers
        )

    def see(self, *versions):
        for version in versions:
            self.versions.see('llm', version)

    def find(self, digest):
        return asyncio.run(self.streams.find(digest, _TIMEOUT))


def build(size, *versions):
    """Return a network of gateways that have heard of each other."""
    network = Network()
    clock = ManualClock()
    names = [f'front-{number}' for number in range(size)]
    for name in names:
        network.add(clock, name, names).see(*versions)
    for name, gateway in network.gateways.items():
        gateway.peers.send(
            Report(name, '1', 1, name, 1, 0, True, {}, {}, {}, [], {}, [])
        )
    network.sent.clear()
    return network


def digests():
    return [digest_request('t', str(number)) for number in range(_STREAMS)]


@pytest.mark.parametrize('size', [2, 6, 68])
def test_stream_is_known_after_its_gateway_is_lost(size):
    # Guards against streams that are refused because the gateway that began
    # them was killed, frozen or cut off before its next report (LOST).
    network = build(size, 'v1', 'v2')
    first, *others = network.gateways.values()
    for digest in digests():
        first.streams.record(digest, _ORIGIN)
    assert len(network.sent) <= _MAX_MESSAGES * _STREAMS
    network.down.add('front-0')
    for number, digest in enumerate(digests()):
        assert others[number % len(others)].find(digest) == _ORIGIN


def test_stream_is_known_after_the_loss_of_half_of_the_gateways():
    # Guards against holders that are lost together with the gateway that sent
    # them the origin of a stream.
    network = build(68, 'v1', 'v2')
    names = list(network.gateways)
    for digest in digests():
        network.gateways['front-0'].streams.record(digest, _ORIGIN)
    network.down.update(names[:34])
    found = [network.gateways['front-67'].find(row) for row in digests()[:40]]
    # Each of four holders is lost with a chance of one half.
    assert found.count(_ORIGIN) >= len(found) / 2


def test_lost_query_is_repeated():
    # Guards against streams that are refused because one datagram was lost.
    network = build(6, 'v1', 'v2')
    network.gateways['front-0'].streams.record(1, _ORIGIN)
    network.sent.clear()
    asking = network.add(ManualClock(), 'front-6', list(network.gateways))
    for gateway in network.gateways.values():
        gateway.peers.add_member('front-6', Address('front-6', 1))
    network.is_lost = lambda datagram: len(network.sent) <= 8
    assert asking.find(1) == _ORIGIN


def test_one_version_costs_no_messages():
    # Guards against a message for each stream while there is nothing to tell.
    network = build(6, 'v1')
    network.gateways['front-0'].streams.record(1, _ORIGIN)
    assert not network.sent


def test_unknown_stream_stays_unknown():
    # Guards against an answer to a query that claims what nobody knows.
    network = build(3, 'v1', 'v2')
    assert network.gateways['front-0'].find(1) is None


def test_stream_with_two_origins_is_not_told():
    # Guards against two callers that use the same request id.
    network = build(3, 'v1', 'v2')
    for name, version in (('front-0', 'v1'), ('front-1', 'v2')):
        network.gateways[name].streams.record(1, StreamOrigin('llm', version))
    assert network.gateways['front-2'].find(1) is None


def test_query_with_a_malformed_digest_is_dropped():
    # Guards against a malformed datagram that ends the receiver.
    gateway = build(2, 'v1').gateways['front-0']
    gateway.peers.datagram_received(b'\x93\xacstream_query\xa1a\xa1b', None)
    gateway.peers.datagram_received(
        encode_message(
            Report('x', '1', 1, 'x', 1, 0, True, {}, {}, {}, [], {}, [])
        ),
        None,
    )
    gateway.origins.observe_peer([BegunStreams(*_ORIGIN, (1,))])
    assert gateway.origins.find(1) == _ORIGIN
