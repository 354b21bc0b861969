"""A real gateway while a crowd of callers holds memory or connections.

The limits of the machine are lowered, so that a small crowd exceeds them. The
tests state nothing about times or about how much of the crowd is served.
"""

import time

import pytest

from tests.gateway_builders import configuration_document, route_row
from tests.gateway_site import call, run_site, wait_until
from tests.untrusted_callers import (
    BULK_SERVICE,
    CALLER_LIMITS,
    MIB,
    BulkTarget,
    Crowd,
    chunks,
    descriptors,
    engines,
    peak_mb,
)

# The process takes about 40 MB without callers.
MEMORY_MB = 100
MAX_FDS = 250
# Time in which a gateway reads what a crowd has sent, and closes what it
# refuses.
SETTLE_S = 2
# Lets the gateway read one long response before the next one.
CALLER_INTERVAL_S = 0.1
ORDINARY_BODY_BYTES = 64 * 1024


@pytest.fixture
def site(tmp_path):
    with run_site(tmp_path, engines()) as running:
        running.limits = {'memory-limit-mb': MEMORY_MB, 'max-fds': MAX_FDS}
        running.bulk = BulkTarget()
        running.portal.call(running.bulk.start, running)
        (gateway,) = running.start_gateways('front-a-1')
        document = configuration_document()
        running.publish(
            2,
            routes=[
                *document['routes'],
                route_row('bulk', 'idempotent', BULK_SERVICE),
            ],
            services=[
                *document['services'],
                {'name': BULK_SERVICE, 'max-conns': 100},
            ],
            limits=CALLER_LIMITS,
        )
        wait_until(lambda: 'version=2' in gateway.read_log())
        yield running


@pytest.fixture
def gateway(site):
    return site.gateways['front-a-1']


@pytest.fixture
def crowd(gateway):
    with Crowd(gateway) as callers:
        yield callers


def require_service(gateway):
    """Require that the gateway stayed in its limits and serves a caller."""
    time.sleep(SETTLE_S)
    open_descriptors = descriptors(gateway.process.pid)
    response = call(
        gateway, '/read/x', 'ordinary', body=b'x' * ORDINARY_BODY_BYTES
    )
    figures = (
        f'{peak_mb(gateway.process.pid):.0f} MB, {open_descriptors} descriptors'
        f', status {response.status_code}'
    )
    print(figures)
    assert response.status_code == 200, figures
    assert peak_mb(gateway.process.pid) < MEMORY_MB, figures
    assert open_descriptors < MAX_FDS, figures
    assert gateway.process.poll() is None


@pytest.mark.parametrize(
    ('callers', 'size_bytes', 'chunk_bytes'),
    [(40, 120_000, 2), (12, 4 * MIB, 65536)],
    ids=['tiny', 'large'],
)
def test_unfinished_chunked_bodies(
    gateway, crowd, callers, size_bytes, chunk_bytes
):
    # Guards against bodies that take a hundred times the memory that is counted,
    # and against a crowd that leaves no budget for others.
    body = chunks(size_bytes, chunk_bytes)
    for _ in range(callers):
        crowd.send(crowd.head('/read/x', 'Transfer-Encoding: chunked'), body)
    require_service(gateway)


@pytest.mark.parametrize('piece_bytes', [4 * MIB, 8192])
def test_unfinished_bodies_of_legal_size(gateway, crowd, piece_bytes):
    # Guards against a crowd that holds the budget for bodies, so that ordinary
    # callers are refused.
    body = bytes(4 * MIB - 1)
    pieces = [
        body[first : first + piece_bytes]
        for first in range(0, len(body), piece_bytes)
    ]
    for _ in range(12):
        crowd.send(crowd.head('/read/x', f'Content-Length: {4 * MIB}'), *pieces)
    require_service(gateway)


def test_unfinished_heads_of_many_fields(gateway, crowd):
    # Guards against heads within the limit that take fifty times their size.
    for _ in range(240):
        crowd.send(crowd.head('/read/x')[:-2], b'a:b\r\n' * 2600)
    require_service(gateway)


@pytest.mark.parametrize(
    ('callers', 'requests'),
    [(60, 1), (10, 10)],
    ids=['single', 'pipelined'],
)
def test_long_responses_that_are_read_slowly(gateway, crowd, callers, requests):
    # Guards against responses that are kept without a limit for their readers.
    for _ in range(callers):
        heads = [
            crowd.head('/bulk/x', method='GET', version='1.1')
            for _ in range(requests)
        ]
        crowd.send(b''.join(heads), reads_slowly=True)
        time.sleep(CALLER_INTERVAL_S)
    require_service(gateway)


@pytest.mark.parametrize('version', ['1.1', '1.0'])
def test_long_streams_that_are_read_slowly(gateway, crowd, version):
    # Guards against streams that are collected, or go on, without a limit while
    # their callers do not read.
    for _ in range(60):
        crowd.send(crowd.stream_head(version), reads_slowly=True)
        time.sleep(CALLER_INTERVAL_S)
    require_service(gateway)


@pytest.mark.parametrize(
    'beginning', [b'', b'POST /read/x HTTP/1.1\r\n'], ids=['silent', 'begun']
)
def test_too_many_connections(gateway, crowd, beginning):
    # Guards against a crowd that takes all descriptors of the machine.
    for _ in range(2 * MAX_FDS):
        crowd.send(beginning)
    require_service(gateway)
