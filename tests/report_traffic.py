"""Measures what reports send across zones, and the work of a relay.

Run ``python -m tests.report_traffic``. The traffic is that of a simulation
without losses; the work is measured with real datagrams to sockets on the
loopback interface.
"""

import asyncio
import socket
import time

import uvloop

from peridotrill.clock import SystemClock
from peridotrill.gateway.peers import PeerExchange, encode_message
from peridotrill.settings import Address
from tests.gateway_builders import RecordingLog
from tests.report_network import ReportNetwork, report_of

_FLEETS = ((24, 3), (68, 6))
_SETTLING_S = 4
_SECONDS = 12
_REPORTS = 20_000


def measure_traffic(size, zones, is_earlier):
    """Return the datagrams and bytes a second that cross zones."""
    network = ReportNetwork(size, zones)
    if is_earlier:
        for gateway in network.gateways.values():
            gateway.is_earlier = True
            gateway.restart(gateway.zone)
    network.run(_SETTLING_S)
    network.reset()
    network.run(_SECONDS)
    return (
        sum(network.crossed.values()) / _SECONDS,
        network.crossed_bytes / _SECONDS,
    )


async def measure_relay_us(members, relay):
    """Return the processor time for each report that a gateway receives.

    :param members: other gateways of its zone.
    :param relay: the gateway that the reports name as their relay.
    """
    peers = PeerExchange('own', SystemClock(), RecordingLog(), 'zone-0')
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: peers, ('127.0.0.1', 0)
    )
    sockets = []
    for number in range(members):
        sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sink.bind(('127.0.0.1', 0))
        sockets.append(sink)
        node = f'front-{number:02}'
        peers.add_member(node, Address(*sink.getsockname()))
        peers.members[node].zone = 'zone-0'
    datagrams = [
        encode_message(report_of('far', '1', n, zone='zone-1', relay=relay))
        for n in range(1, _REPORTS + 1)
    ]
    began_s = time.process_time()
    for number, datagram in enumerate(datagrams):
        peers.datagram_received(datagram, ('127.0.0.1', 1))
        if number % 100 == 0:
            await asyncio.sleep(0)
    used_s = time.process_time() - began_s
    transport.close()
    for sink in sockets:
        sink.close()
    return used_s / _REPORTS * 1e6


async def _print_relay_work():
    for members in (7, 11, 69):
        plain_us = await measure_relay_us(members, '')
        relayed_us = await measure_relay_us(members, 'zone-0/own')
        print(
            f'{members} gateways in the zone: {plain_us:.1f} us to receive a '
            f'report, {relayed_us - plain_us:.1f} us more to forward it',
        )


def main():
    """Print the figures."""
    for size, zones in _FLEETS:
        for name, is_earlier in (('direct', True), ('relays', False)):
            datagrams, sent_bytes = measure_traffic(size, zones, is_earlier)
            print(
                f'{size} gateways, {zones} zones, {name}: {datagrams:.0f} '
                f'datagrams/s and {sent_bytes / 1000:.0f} kB/s across zones, '
                f'{sent_bytes / datagrams:.0f} bytes each',
            )
    uvloop.install()
    asyncio.run(_print_relay_work())


if __name__ == '__main__':
    main()
