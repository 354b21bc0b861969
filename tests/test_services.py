from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from peridotrill import services
from peridotrill.catalog import build_catalog
from peridotrill.keys import KeyTable, create_key, digest_key
from peridotrill.services import parse_service
from peridotrill.yaml_nodes import MAX_FILE_CHARACTERS
from tests.builders import model_document, plain_document, service_text

MODEL_TEXT = service_text(model_document())
PLAIN_TEXT = service_text(plain_document())
# Fragments with a special meaning in YAML or Python.
FRAGMENTS = (
    '? [a]\n: 1\n',
    '&a [*a]',
    '*a',
    '<<: {}\n',
    '!!python/object:os.system x',
    '!!int "x"',
    '"\\UFFFFFFFF"',
    '"\\ud800"',
    '\x00',
    '---\n',
    '...\n',
    '%YAML 1.1\n',
    '[' * 40,
    '{' * 40,
    '.nan',
    '1.0e+999',
    '-1',
    '0',
    '9' * 30,
    '1:30',
    'yes',
    'null',
    '~',
    '""',
    '\t',
    '\ufeff',
    '/',
    '../',
)


def codes(text):
    outcome = parse_service('x.yaml', text)
    return [] if outcome.is_ok() else [found.code for found in outcome.error]


def plain_codes(**changes):
    return codes(service_text(plain_document(**changes)))


def model_codes(**changes):
    return codes(service_text(model_document(**changes)))


def check_outcome(text):
    outcome = parse_service('x.yaml', text)
    if outcome.is_error():
        assert outcome.error
        for finding in outcome.error:
            assert finding.place == 'x.yaml'
            assert finding.line >= 1 and finding.column >= 1
            assert str(finding).encode()
        return
    service = outcome.ok
    assert services.PRIORITY_RANGE.low <= service.priority <= 9
    assert service.latency_target <= service.deadline
    assert service.deadline <= service.idempotency_retention
    assert service.routes
    for route in service.routes:
        assert route.methods and route.methods <= services.METHODS
        assert route.path.startswith('/')
        assert route.idempotent or not route.open
    for policy in service.teams.values():
        assert 0 < policy.rate_per_s <= services.RATE_RANGE_PER_S.high
        assert policy.burst >= 1 and policy.weight > 0
    assert (service.model is None) == (service.kind == 'plain')
    assert service.model is None or service.model in service.targets.models


def any_text(max_size):
    # On its first use st.text() builds a table of all characters, which takes
    # seconds in a fresh checkout and fails Hypothesis' health check for slow
    # data generation.
    points = st.integers(0, 127) | st.integers(0, 0x10FFFF)
    return st.lists(points.map(chr), max_size=max_size).map(''.join)


@st.composite
def mutated_texts(draw):
    text = draw(st.sampled_from((MODEL_TEXT, PLAIN_TEXT)))
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(text)))
        end = min(len(text), start + draw(st.integers(0, 12)))
        lines = text.splitlines(keepends=True) or ['']
        added = draw(
            st.sampled_from((*FRAGMENTS, *lines)) | any_text(6),
        )
        text = text[:start] + added + text[end:]
    return text


@settings(max_examples=300)
@given(any_text(200) | mutated_texts())
def test_any_text_gives_a_service_in_range_or_located_findings(text):
    # Guards against a file that crashes the parser in every entry, and against
    # accepting values outside their range.
    check_outcome(text)


@pytest.mark.parametrize('fragment', FRAGMENTS)
@pytest.mark.parametrize('field', sorted(model_document()))
def test_any_fragment_as_value_of_any_field_is_a_finding(field, fragment):
    document = model_document()
    document.pop(field)
    text = f'{service_text(document)}{field}: {fragment}'
    assert field in {'priority'} or codes(text)
    check_outcome(text)


@pytest.mark.parametrize(
    'text',
    [
        'x' * (MAX_FILE_CHARACTERS + 1),
        '[' * MAX_FILE_CHARACTERS,
        '- ' * (MAX_FILE_CHARACTERS // 2),
        '? ' * (MAX_FILE_CHARACTERS // 2),
        'a: ' + '9' * 50_000,
        'routes: [{0}]'.format('{},' * 30_000),
        '{0}roles: [{1}]'.format(PLAIN_TEXT, 'a,' * 40_000),
    ],
)
def test_huge_input_is_a_finding(text):
    # Guards against recursion errors and quadratic run time; the latter
    # exceeds the time limit of the test.
    assert codes(text)


@pytest.mark.parametrize(
    'text',
    [
        PLAIN_TEXT.replace('teams:', 'teams: &x').replace(': 4', ': *x'),
        'name: {0}{1}'.format('[' * 9000, ']' * 9000),
    ],
)
def test_aliases_and_deep_nesting_are_findings_at_their_place(text):
    # Guards against run time that grows faster than the file size.
    finding = parse_service('x', text).error[0]
    assert finding.code == 'syntax'
    assert (finding.line, finding.column) > (1, 1)


def test_all_findings_are_reported_with_line_and_column():
    text = (
        'name: Receipts\nkind: plain\nkind: plain\nspeed: 1\n'
        'deadline: soon\nroutes:\n  - path: /a/../b\n    methods: [GET, FETCH]\n'
        'teams:\n  growers: {rate_per_s: 0, burst: "5"}\n'
        'targets: {max_total: 4}\n'
    )
    outcome = parse_service('r.yaml', text)
    found = {(item.line, item.column, item.code) for item in outcome.error}
    assert found == {
        (1, 7, 'invalid'),
        (3, 1, 'duplicate_key'),
        (4, 1, 'unknown_key'),
        (5, 11, 'wrong_type'),
        (7, 5, 'missing'),
        (7, 11, 'invalid'),
        (8, 20, 'invalid'),
        (10, 25, 'out_of_range'),
        (10, 35, 'wrong_type'),
        (11, 10, 'missing'),
    }


def test_valid_files_are_read_with_their_defaults():
    service = parse_service('x', MODEL_TEXT).ok
    assert service.targets.models == ('summariser-7b',)
    assert [route.path for route in service.routes] == [
        '/v1/chat/completions',
        '/v1/completions',
    ]
    assert service.teams['growers'].weight == 1
    service = parse_service('x', PLAIN_TEXT).ok
    assert service.deadline == timedelta(seconds=10)
    assert service.idempotency_retention == timedelta(seconds=900)
    assert not service.routes[0].idempotent


@pytest.mark.parametrize(
    ('found', 'code'),
    [
        (plain_codes(model='m'), 'not_allowed'),
        (plain_codes(routes=[]), 'empty'),
        (plain_codes(deadline='2h'), 'out_of_range'),
        (plain_codes(deadline='20m'), 'inconsistent'),
        (plain_codes(latency_target='11s'), 'inconsistent'),
        (
            plain_codes(targets={'min_per_zone': 5, 'max_total': 4}),
            'inconsistent',
        ),
        (
            plain_codes(
                targets={
                    'min_per_zone': 1,
                    'max_total': 4,
                    'roles': {'decode': 1},
                },
            ),
            'not_allowed',
        ),
        (model_codes(model=7), 'wrong_type'),
        (model_codes(teams=[]), 'wrong_type'),
        (
            model_codes(
                targets={'min_per_zone': 1, 'max_total': 4, 'models': ['b']},
            ),
            'model_not_held',
        ),
    ],
)
def test_fields_that_contradict_each_other_are_findings(found, code):
    assert found == [code]


@pytest.mark.parametrize(
    ('route', 'code'),
    [
        (('/a', ['POST'], False, True), 'open_not_idempotent'),
        (('/v1/models', ['GET'], True, False), 'reserved_path'),
        (('/a', [], True, False), 'empty'),
        (('/a', ['GET', 'GET'], True, False), 'duplicate'),
        (('a', ['GET'], True, False), 'invalid'),
        (('/a//b', ['GET'], True, False), 'invalid'),
    ],
)
def test_routes_that_would_be_unsafe_are_findings(route, code):
    fields = dict(
        zip(('path', 'methods', 'idempotent', 'open'), route, strict=True)
    )
    assert plain_codes(routes=[fields]) == [code]


def test_catalog_reports_names_defined_by_two_files():
    # Guards against ambiguous routing between two services.
    other = plain_document('till', routes=plain_document()['routes'])
    outcome = build_catalog(
        1,
        {
            'receipts': PLAIN_TEXT,
            'till': service_text(other),
            'summariser': MODEL_TEXT,
            'assistant': service_text(
                model_document('assistant', model='summariser-7b'),
            ),
            'stock': service_text(plain_document('stocks')),
        },
    )
    found = [(item.place, item.code) for item in outcome.error]
    assert found == [
        ('assistant.peridotrill.yaml', 'duplicate'),
        ('stock.peridotrill.yaml', 'other_name'),
        ('till.peridotrill.yaml', 'duplicate'),
        ('till.peridotrill.yaml', 'duplicate'),
        ('till.peridotrill.yaml', 'duplicate'),
    ]
    assert all(item.line for item in outcome.error)


def test_lookup_takes_the_longest_route_that_has_the_method():
    catalog = build_catalog(
        3, {'receipts': PLAIN_TEXT, 'summariser': MODEL_TEXT}
    ).ok
    assert catalog.find_route('/receipts/posts', 'POST')[1].idempotent is False
    assert catalog.find_route('/receipts/posts', 'GET')[1].open
    assert catalog.find_route('/receipts/' + 'a/' * 4000, 'GET')[1].open
    assert catalog.find_route('/receipts', 'GET') is None
    assert catalog.find_route('/receipts/posts/1', 'POST') is None
    assert catalog.find_route('/v1/completions', 'POST') is None
    assert catalog.find_model('summariser-7b').name == 'summariser'
    assert catalog.find_model('summariser') is None


PATHS = st.lists(st.sampled_from('ab'), max_size=4).map(
    lambda parts: '/' + '/'.join(parts),
)
ROUTE_PATHS = st.tuples(PATHS, st.sampled_from(('', '/'))).map(
    lambda pair: '/' if pair[0] == '/' else ''.join(pair),
)
METHOD = st.sampled_from(('GET', 'POST'))


@given(
    st.sets(st.tuples(ROUTE_PATHS, METHOD), min_size=1, max_size=12),
    ROUTE_PATHS,
    METHOD,
)
def test_lookup_agrees_with_a_scan_of_all_routes(known, path, method):
    routes = [
        {'path': at, 'methods': [verb], 'idempotent': True}
        for at, verb in sorted(known)
    ]
    text = service_text(plain_document(routes=routes))
    found = build_catalog(1, {'receipts': text}).ok.find_route(path, method)
    matching = [
        at
        for at, verb in known
        if verb == method
        and (path == at or (at.endswith('/') and path.startswith(at)))
    ]
    expected = max(matching, key=len, default=None)
    assert (found[1].path if found else None) == expected


@pytest.mark.parametrize('path', ['..', '%2e%2e', '%2E.', 'a/..%2fposts', '.'])
def test_path_with_dot_segments_matches_no_route(path):
    # Guards against path traversal from an open prefix to a keyed route.
    catalog = build_catalog(1, {'receipts': PLAIN_TEXT}).ok
    assert catalog.find_route(f'/receipts/{path}', 'GET') is None


def test_key_table_finds_valid_keys_only():
    table, key = KeyTable(), create_key()
    assert len(key) == 47 and key.startswith('ptk_')
    assert table.grant('cart', 'growers', digest_key(key))
    assert not table.grant('cart', 'buyers', digest_key('other'))
    assert not table.grant('cart-2', 'buyers', digest_key(key))
    assert not table.grant('cart-3', 'buyers', 'not a digest')
    assert table.find(key).team == 'growers'
    assert table.find(key[:-1]) is None
    assert table.find('\ud800') is None
    assert table.withdraw('cart') and not table.withdraw('cart')
    assert table.find(key) is None and len(table) == 0


@pytest.mark.parametrize('name', ['ledger', 'saltbush'])
def test_example_deployments_are_valid(name):
    # Guards against examples that the parser no longer accepts.
    folder = Path(__file__).parent.parent / 'deployments' / name
    texts = {
        path.name.removesuffix(services.FILE_SUFFIX): path.read_text('utf-8')
        for path in folder.rglob(f'*{services.FILE_SUFFIX}')
    }
    found = build_catalog(1, texts).ok.services.values()
    assert sorted(service.kind for service in found) == ['model', 'plain']
    for service in found:
        assert len(service.teams) == 5
        is_open = [route.open for route in service.routes]
        assert any(is_open) == (service.kind == 'plain')
        kept = [route.idempotent for route in service.routes]
        assert all(kept) == (service.kind == 'model')


def test_examples_of_the_manual_are_valid():
    manual = Path(__file__).parent.parent / 'docs' / 'service-files.md'
    examples = manual.read_text('utf-8').split('```yaml\n')[1:]
    assert len(examples) == 2
    for example in examples:
        assert codes(example.partition('```')[0]) == []
