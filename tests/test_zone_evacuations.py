"""Evacuated zones and allowed regions: which targets may get requests."""

import asyncio
import time
from datetime import timedelta
from unittest.mock import AsyncMock, MagicMock

import pytest

from peridotrill.clock import ManualClock
from peridotrill.exceptions import CodecError
from peridotrill.gateway.admission_queue import Reservation, ReservationRequest
from peridotrill.gateway.cluster_state import ClusterState, FreshnessBounds
from peridotrill.gateway.configuration import Team
from peridotrill.gateway.error_responses import GatewayError
from peridotrill.gateway.event_sequence import EventNumberings
from peridotrill.gateway.generation import Generation
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.placement import Placement, Pool
from peridotrill.gateway.prefill import RemotePrompt, release_prompt
from peridotrill.gateway.request_context import RequestContext
from peridotrill.gateway.store_follower import Decoders, RecordApplier
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.target_messages import RequestOptions
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform.configuration import (
    decode_configuration,
    decode_evacuated_zone,
)
from peridotrill.platform.target_records import decode_target
from tests.gateway_builders import (
    RecordingLog,
    caller_request,
    configuration_document,
    configuration_record,
    prompt,
    route_row,
    target,
)
from tests.gateway_site import CONFIG_TOPIC, call, run_site, wait_until
from tests.test_gateway_roles import RoleControllerHarness

_BOUNDS = FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1))
_REGIONS = {'a': 'south', 'b': 'north'}


class Follower:
    """Cluster state with one target in each of the zones a, b and c."""

    def __init__(self):
        self.log = RecordingLog()
        self.state = ClusterState(
            ManualClock(), _BOUNDS, self.log, zone_regions=_REGIONS
        )
        for zone in ('a', 'b', 'c'):
            self.state.update_target(target(f'i-{zone}', zone=zone))
        self.applier = RecordApplier(
            self.state,
            Decoders(
                'config',
                decode_configuration,
                decode_target,
                decode_evacuated_zone,
            ),
            self.log,
        )

    def zones(self, regions=None):
        found = self.state.usable_targets('till', regions=regions)
        return ''.join(sorted(row.zone for row in found))

    def read(self, key, content=b'{}'):
        self.applier.apply_configuration_row(key, content)

    def read_all(self, *keys):
        rows = [(key, b'{}') for key in keys]
        self.applier.apply_configuration_snapshot(
            [('config', configuration_record()), *rows]
        )


def test_evacuated_zone_is_not_used_until_it_is_taken_back():
    # Guards against requests to the engines of a zone that is being emptied.
    follower = Follower()
    taken_back = []
    follower.state.evacuations.on_taken_back = taken_back.append
    follower.read('evacuate/b')
    assert follower.zones() == 'ac'
    follower.read('evacuate/b', b'')
    assert follower.zones() == 'abc'
    assert taken_back == ['b']


def test_log_names_the_targets_of_an_evacuated_zone():
    # Guards against an operator who can't tell a zone without targets, or one
    # whose name is wrong, from one that is being emptied.
    follower = Follower()
    follower.read('evacuate/b')
    follower.read('evacuate/nowhere')
    follower.read('evacuate/b', b'')
    assert [
        (event, fields['zone'], fields['targets'])
        for event, fields in follower.log.events
        if event.startswith('zone_')
    ] == [
        ('zone_evacuated', 'b', 1),
        ('zone_evacuated', 'nowhere', 0),
        ('zone_taken_back', 'b', 1),
    ]


def test_evacuation_of_an_unknown_zone_has_no_effect():
    follower = Follower()
    follower.read('evacuate/nowhere')
    assert follower.zones() == 'abc'


@pytest.mark.parametrize('key', ['evacuate/', 'evacuate', 'evacuated/a'])
def test_malformed_key_evacuates_nothing(key):
    # Guards against one malformed record that stops the follower of the
    # configuration, or that empties every zone.
    follower = Follower()
    follower.read(key)
    follower.read_all(key)
    assert follower.zones() == 'abc'


def test_started_gateway_learns_of_evacuations_before_it_is_complete():
    # Guards against a gateway that serves between reading the configuration
    # and reading the evacuations.
    follower = Follower()
    seen = []
    follower.state.on_change = lambda: seen.append(
        (follower.state.configuration is not None, follower.zones())
    )
    follower.read_all('evacuate/a')
    assert (True, 'abc') not in seen
    assert follower.zones() == 'bc'


def test_zone_that_was_taken_back_while_records_were_missed_is_used_again():
    # Guards against a zone that stays empty because the record that took it
    # back had expired before this gateway could read it.
    follower = Follower()
    follower.read_all('evacuate/a', 'evacuate/b')
    follower.read_all('evacuate/b')
    assert follower.zones() == 'ac'


def test_restored_store_does_not_end_an_evacuation():
    # Guards against requests to an evacuated zone after the store came back
    # from a copy that is older than the evacuation.
    follower = Follower()
    follower.read('evacuate/a')
    follower.state.expect_relisting()
    follower.read_all('evacuate/b')
    assert follower.zones() == 'c'
    follower.read('evacuate/a', b'')
    assert follower.zones() == 'ac'
    follower.read_all()
    assert follower.zones() == 'abc'


def test_each_listing_of_a_restored_store_keeps_an_evacuation():
    # Guards against requests to an evacuated zone when the records of a restored
    # store are listed again, as after an error or once they have expired.
    follower = Follower()
    follower.read('evacuate/a')
    follower.read('evacuate/b')
    follower.state.expect_relisting()
    follower.read_all('evacuate/b')
    follower.read_all('evacuate/b')
    assert follower.zones() == 'c'
    follower.read_all()
    assert follower.zones() == 'bc'
    follower.read('evacuate/a')
    follower.read_all()
    assert follower.zones() == 'abc'


def test_roles_of_evacuated_engines_are_not_changed():
    # Guards against orders to engines of a zone that is being emptied.
    harness = RoleControllerHarness()
    for row in harness.cluster_state.all_targets():
        if row.role is TargetRole.DECODE:
            harness.cluster_state.update_target(row._replace(zone='b'))
    harness.cluster_state.update_evacuation('b', is_evacuated=True)
    for _ in range(4):
        harness.step()
    assert not harness.client.orders


def test_order_is_not_resent_to_an_evacuated_engine():
    # Guards against requests to a zone that was evacuated between an order and
    # its response.
    harness = RoleControllerHarness('timeout', 'timeout', 'timeout')
    harness.step()
    ordered = [name for name, *_ in harness.client.orders]
    for row in harness.cluster_state.all_targets():
        if row.target_id in ordered:
            harness.cluster_state.update_target(row._replace(zone='b'))
    harness.cluster_state.update_evacuation('b', is_evacuated=True)
    for _ in range(3):
        harness.step()
    assert [name for name, *_ in harness.client.orders].count(ordered[0]) == 1


def placement_with(state):
    clock = ManualClock()
    limits = TargetLimits('n', list, clock, RecordingLog())
    return Placement(
        state, LoadTracker(clock), TargetHealth(clock), limits, clock, 'a'
    )


def test_parts_are_not_fetched_from_an_evacuated_zone():
    # Guards against copies that other engines take from engines of a zone that
    # is being emptied.
    follower = Follower()
    placement = placement_with(follower.state)
    wanted = prompt()
    placement.record_prefill(wanted, target('i-b'))
    assert placement.find_part_holder(wanted).zone == 'b'
    follower.read('evacuate/b')
    assert placement.find_part_holder(wanted) is None
    follower.read('evacuate/b', b'')
    assert placement.find_part_holder(wanted).zone == 'b'


def context_with(state, *targets):
    """Return the context of a request that each of the targets rejects."""
    context = MagicMock(priority=1)
    context.request = caller_request(prompt=prompt())
    context.is_late.return_value = False
    context.route.is_repeatable = False
    context.options.return_value = RequestOptions('', None, 9)
    context.require_target = AsyncMock()
    context.reserve_target = AsyncMock(
        side_effect=[*map(Reservation, targets), GatewayError(503, 'no_target')]
    )
    context.read_response_head = AsyncMock(return_value=MagicMock(not_run=True))
    context.shared.targets = AsyncMock()
    context.shared.targets.send.return_value = MagicMock()
    context.shared.cluster_state = state
    context.shared.placement = placement_with(state)
    context.shared.numberings = EventNumberings()
    return context


def remote_prompt_at(record):
    return RemotePrompt(record, 'handle-1')


def test_rejected_prompt_is_not_fetched_from_an_evacuated_zone():
    # Guards against a request that lost its prefilled prompt and has the next
    # engine fetch parts of it from a zone that was evacuated meanwhile.
    follower = Follower()
    context = context_with(follower.state, target('i-a'), target('i-c'))
    remote_prompt = remote_prompt_at(target('i-b', zone='b'))
    follower.read('evacuate/b')
    with pytest.raises(GatewayError):
        asyncio.run(Generation(context, remote_prompt).execute())
    sent = [
        sending.args[2]
        for sending in context.shared.targets.send.await_args_list
    ]
    assert [(row.kv_source, row.kv_fetch) for row in sent] == [
        ('127.0.0.1:9000/handle-1', None),
        (None, None),
    ]


def test_prompt_at_an_evacuated_engine_is_not_released():
    # Guards against requests to an evacuated zone at the end of streams, which
    # may come long after the zone should be empty.
    follower = Follower()
    context = context_with(follower.state)
    remote_prompt = remote_prompt_at(target('i-b', zone='b'))
    asyncio.run(release_prompt(context, remote_prompt))
    follower.read('evacuate/b')
    asyncio.run(release_prompt(context, remote_prompt))
    assert context.shared.targets.release_prompt.await_count == 1


def test_allowed_regions_restrict_the_targets():
    # Guards against a prompt that leaves the regions that its team allows, and
    # against a zone without a known region that counts as allowed.
    follower = Follower()
    assert follower.zones(frozenset({'south'})) == 'a'
    assert follower.zones(frozenset({'south', 'north'})) == 'ab'
    assert not follower.zones(frozenset())


def test_full_region_does_not_hold_up_requests_for_others():
    # Guards against engines that are idle while requests wait for them behind
    # one that is restricted to the full engines of another region.
    follower = Follower()
    placement = placement_with(follower.state)
    queue = placement.queue('till', Pool.PLAIN)

    def ask(regions):
        regions = regions and frozenset({regions})
        find = placement.plain_finder('till', set(), regions)
        request = ReservationRequest(
            find, 'team', 0, 1, 900, 900, regions=regions
        )
        return asyncio.create_task(queue.acquire(request))

    async def run():
        taken = [await ask('south') for _ in range(8)]
        waiting = [ask('south'), ask('north'), ask('south'), ask(None)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [row.done() for row in waiting] == [False, True, False, True]
        placement.release(taken[0], 'till')
        assert (await waiting[0]).target.zone == 'a'
        assert not waiting[2].done()
        waiting[2].cancel()

    asyncio.run(run())


def route_and_team(route_regions, team_regions):
    document = configuration_document()
    document['routes'] = [
        route_row(
            'read', 'idempotent', 'till', **{'allowed-regions': route_regions}
        )
    ]
    document['tenants'][0]['allowed-regions'] = team_regions
    record = configuration_record(
        routes=document['routes'], tenants=document['tenants']
    )
    found = decode_configuration(record)
    return found.find_route('api.example', '/read/x'), found.teams['growers']


@pytest.mark.parametrize(
    ('of_route', 'of_team', 'allowed'),
    [
        (None, None, None),
        (['north'], None, {'north'}),
        (None, ['south'], {'south'}),
        (['north', 'south'], ['south', 'east'], {'south'}),
        (['north'], ['south'], set()),
        ([], [], None),
    ],
)
def test_request_is_bound_by_the_regions_of_its_route_and_its_team(
    of_route, of_team, allowed
):
    # Guards against one list that lifts the restriction of the other.
    route, team = route_and_team(of_route, of_team)
    assert isinstance(team, Team)
    context = RequestContext(caller_request(), route, team, 'till', None, None)
    assert context.allowed_regions == allowed


@pytest.mark.parametrize('regions', ['north', [1], {'north': 1}])
def test_malformed_regions_are_refused(regions):
    # Guards against a restriction that is silently dropped.
    with pytest.raises(CodecError):
        route_and_team(regions, None)


def put(site, key, content):
    site.portal.call(site.store.put, CONFIG_TOPIC, key, content)


def test_gateways_empty_a_zone_and_use_it_again(tmp_path):
    # Guards against a gateway that sends to an evacuated zone, also after its
    # restart while the zone is evacuated.
    with run_site(tmp_path) as site:
        first, second = site.start_gateways('front-a-1', 'front-b-1')

        def serving(gateway, number):
            names = [f'{gateway.node}-{number}-{step}' for step in range(6)]
            for name in names:
                call(gateway, '/read/x', name)
            return {run for name in names for run in site.runs(name)}

        put(site, 'evacuate/a', b'{}')
        for gateway in (first, second):
            wait_until(lambda: 'zone_evacuated' in gateway.read_log(), 5)  # noqa: B023
            assert serving(gateway, 1) == {'i-till-2'}
        second.stop()
        second.start()
        second.wait_ready()
        assert serving(second, 2) == {'i-till-2'}
        put(site, 'evacuate/b', b'{}')
        wait_until(
            lambda: 'zone=b' in first.read_log().split('zone_evacuated')[-1], 5
        )
        started_s = time.monotonic()
        assert call(first, '/read/x', 'nowhere').status_code == 503
        assert time.monotonic() - started_s < 1
        put(site, 'evacuate/a', b'')
        wait_until(lambda: 'zone_taken_back' in first.read_log(), 5)
        assert serving(first, 3) == {'i-till-1'}
