"""Real gateways whose store comes back from an older copy."""

import itertools
import time

import pytest

from peridotrill.platform.names import MEMBERS_TOPIC
from tests.gateway_builders import without_key
from tests.gateway_site import SIGKILL, call, run_site, wait_until

_numbers = itertools.count()


@pytest.fixture
def site(tmp_path):
    with run_site(tmp_path) as running:
        yield running


def status_of(gateway, key='key-g'):
    request_id = f'restored-{next(_numbers)}'
    return call(gateway, '/pay/x', request_id, key=key).status_code


def adoptions(gateway, version):
    line = f'configuration_adopted process={gateway.node} version={version} '
    return gateway.read_log().count(line)


def wait_adopted(gateway, version, times=1):
    wait_until(
        lambda: adoptions(gateway, version) == times, 5, gateway.read_log
    )


def test_change_is_adopted_when_the_restored_log_has_its_old_length(site):
    # Guards against a reader that continues at an offset of the lost history.
    (gateway,) = site.start_gateways('front-a-1', **{'revoke-ms': 2000})
    older = site.portal.call(_copy, site.store)
    site.publish(2)
    wait_adopted(gateway, 2)
    gateway.store_proxy.hold()
    site.portal.call(_restore, site.store, older)
    site.publish(**without_key(3, 'key-g'))
    gateway.store_proxy.heal()
    wait_adopted(gateway, 3)
    assert status_of(gateway) == 401
    assert status_of(gateway, 'key-h') == 200


def test_started_gateway_waits_for_the_configuration_that_its_peers_have(site):
    # Guards against a withdrawn key that works again at a gateway that starts
    # while the restored store still holds an older configuration.
    first, second = site.start_gateways('front-a-1', 'front-b-1')
    older = site.portal.call(_copy, site.store)
    site.publish(**without_key(2, 'key-g'))
    for gateway in (first, second):
        wait_adopted(gateway, 2)
    site.portal.call(_restore, site.store, older)
    second.signal(SIGKILL)
    second.process.wait()
    second.start()
    wait_adopted(second, 1, times=2)
    ends_s = time.monotonic() + 3
    while time.monotonic() < ends_s:
        assert status_of(second) in {401, 503}
        assert not second.is_ready()
    site.publish(**without_key(2, 'key-g'))
    second.wait_ready()
    assert status_of(second) == 401
    assert status_of(second, 'key-h') == 200


def test_member_is_found_after_its_record_was_lost(site):
    # Guards against gateways that do not learn of each other because the record
    # of one was written after the copy from which the store was restored.
    older = site.portal.call(_copy, site.store)
    first, second = site.start_gateways('front-a-1', 'front-b-1')
    first.stop()
    site.portal.call(_restore, site.store, older)
    wait_until(lambda: 'store_restored' in second.read_log(), 5)
    wait_until(lambda: b'front-b-1' in members(site), 3, second.read_log)


def members(site):
    return b''.join(site.store.topics[MEMBERS_TOPIC])


async def _copy(store):
    return store.copy()


async def _restore(store, copied):
    store.restore(copied)
