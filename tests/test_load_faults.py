"""The list of faults of a load.

Guards against faults that differ between two plays of the same seed or file.
"""

import inspect

import pytest

from tests.gateway_site import ROOT
from tests.load_faults import (
    ACTIONS,
    PlanOptions,
    plan_faults,
    read_faults,
    write_faults,
)
from tests.load_soak import SHAPES, LoadSoak, Run

OPTIONS = PlanOptions(duration_s=60, has_proxies=True)
TAPBOOK = SHAPES['tapbook']
PLANS = sorted((ROOT / 'tests/load_plans').iterdir())


def test_seed_draws_the_same_faults_again():
    faults = plan_faults(TAPBOOK, 1, OPTIONS)
    assert faults == plan_faults(TAPBOOK, 1, OPTIONS)
    assert faults != plan_faults(TAPBOOK, 2, OPTIONS)


def test_written_faults_are_read_unchanged(tmp_path):
    faults = plan_faults(TAPBOOK, 1, OPTIONS)
    write_faults(tmp_path / 'faults', {'shape': 'tapbook'}, faults)
    assert read_faults(tmp_path / 'faults') == ({'shape': 'tapbook'}, faults)


@pytest.mark.parametrize('shape', SHAPES)
def test_each_action_is_drawn(shape):
    found = {
        fault.action
        for seed in range(10)
        for fault in plan_faults(SHAPES[shape], seed, OPTIONS)
    }
    assert found == set(ACTIONS)


def test_no_cut_is_drawn_without_proxies():
    options = OPTIONS._replace(has_proxies=False)
    for seed in range(10):
        for fault in plan_faults(TAPBOOK, seed, options):
            assert not ACTIONS[fault.action].needs_proxies


def test_excluded_action_is_not_drawn():
    options = OPTIONS._replace(without=('release',))
    for seed in range(10):
        for fault in plan_faults(TAPBOOK, seed, options):
            assert fault.action != 'release'


def test_first_other_version_starts_behind_a_cut():
    # Only while one version is known do gateways not ask which one responds.
    options = OPTIONS._replace(uniform_s=20)
    for seed in range(10):
        faults = plan_faults(TAPBOOK, seed, options)
        changes = [
            fault
            for fault in faults
            if fault.settings.get('version', 'v1') != 'v1'
        ]
        assert changes[0].action == 'restart_cut_off_engine'
        assert changes[0].at_s >= 20


def test_engine_has_one_fault_at_a_time():
    # A second restart would end a process that the first one still awaits.
    free_s = {}
    for fault in plan_faults(TAPBOOK, 3, OPTIONS):
        place = fault.settings.get('engine')
        if place is None:
            continue
        assert fault.at_s >= free_s.get(place, 0)
        lasting = (
            fault.settings.get(name, 0) for name in ('duration_s', 'late_s')
        )
        free_s[place] = fault.at_s + sum(lasting)


def _require_playable(faults):
    for fault in faults:
        method = getattr(LoadSoak, fault.action)
        inspect.signature(method).bind(None, **fault.settings)


def test_drawn_faults_can_be_played():
    for seed in range(10):
        _require_playable(plan_faults(TAPBOOK, seed, OPTIONS))


@pytest.mark.parametrize('path', PLANS, ids=lambda path: path.name)
def test_kept_list_can_be_played(path):
    # A list that no longer fits would end each of its runs as not played.
    run, faults = read_faults(path)
    settings = Run(**run)
    assert settings.shape in SHAPES
    assert faults[-1].at_s < settings.duration_s
    _require_playable(faults)
