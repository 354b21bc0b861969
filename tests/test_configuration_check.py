"""Checks of a configuration before it is sent."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotrill.codec import encode_json
from peridotrill.platform.configuration_check import check_configuration
from tests.gateway_builders import (
    configuration_document,
    configuration_record,
    route_row,
)
from tests.test_cli import CliHarness

_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def findings_of(current=None, **changes):
    found = check_configuration(configuration_record(**changes), 'f', current)
    return [(row.code, row.place.removeprefix('f: ')) for row in found]


def rows(section, **changes):
    document = configuration_document()
    document[section][0].update(changes)
    return {section: document[section]}


def test_sound_configuration_has_no_findings():
    assert not findings_of()


@pytest.mark.parametrize(
    ('section', 'changes', 'expected'),
    [
        ('routes', {'kind': 'other'}, ('invalid', 'routes[0] pay')),
        ('routes', {'service': 'no'}, ('unknown_service', 'routes[0] pay')),
        (
            'routes',
            {'path-prefix': '/read/'},
            ('never_matches', 'routes[1] read'),
        ),
        ('routes', {'path-prefix': 'pay'}, ('never_matches', 'routes[0] pay')),
        (
            'routes',
            {'split': [{'service': 'till', 'weight': 0}]},
            ('unused_service', 'routes[0] pay'),
        ),
        ('routes', {'name': 'read'}, ('given_twice', 'routes')),
        (
            'routes',
            {'timeout-ms': 400},
            ('contradictory_limits', 'routes[0] pay'),
        ),
        (
            'tenants',
            {'rate-per-s': 100, 'burst': 199},
            ('contradictory_limits', 'tenants[0] growers'),
        ),
        (
            'tenants',
            {'api-keys': ['k', 'k']},
            ('given_twice', 'tenants[0] growers'),
        ),
        (
            'services',
            {'engine': {'slots': 8}},
            ('no_memory', 'services[0] llm'),
        ),
    ],
)
def test_fault_is_found_with_its_place(section, changes, expected):
    # Guards against a fault that shows only once the configuration is in force.
    assert expected in findings_of(**rows(section, **changes))


def test_invalid_rows_are_reported_together_and_without_keys():
    # Guards against faults that are found one by one, and keys in an output.
    routes = [route_row('a', 'x', 'till'), {}, route_row('b', 'y', 'till')]
    found = findings_of(routes=routes)
    assert [place for _, place in found] == [
        'routes[0] a',
        'routes[1]',
        'routes[2] b',
    ]
    text = check_configuration(
        configuration_record(**rows('tenants', **{'api-keys': ['k9', 'k9']})),
        '',
    )
    assert 'k9' not in str(text)


def test_differences_from_the_version_in_force():
    # Guards against a version that gateways ignore, and unintended changes.
    current = configuration_record(version=4)
    found = findings_of(current, version=4, **rows('routes', name='paid'))
    assert found == [
        ('outdated', 'version'),
        ('differs', 'routes paid'),
        ('differs', 'routes pay'),
    ]
    assert not findings_of(current, version=5)


@given(_json | st.fixed_dictionaries(
    {'version': st.integers(0, 9), 'routes': _json, 'services': _json},
    optional={'tenants': _json},
))  # fmt: skip
def test_any_document_is_checked(document):
    # Guards against a traceback instead of findings.
    content = encode_json(document)
    check_configuration(content, 'f')
    check_configuration(configuration_record(), 'f', content)


def test_exit_codes(tmp_path):
    # Guards against scripts that send what was not checked.
    path = tmp_path / 'c.json'
    path.write_bytes(configuration_record())
    assert CliHarness().run('check', path)[0] == 0
    code, _, _ = CliHarness().run('check', path, '--current', path)
    assert code == 1
    assert CliHarness().run('check', tmp_path / 'missing')[0] == 2
    path.write_bytes(b'{')
    code, document = CliHarness().run_json('check', path)
    assert (code, document['findings'][0]['code']) == (1, 'unreadable')
