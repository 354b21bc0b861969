import json
from contextlib import asynccontextmanager
from html.parser import HTMLParser

import httpx
import pytest
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from peridotrill import cli
from peridotrill.clock import ManualClock
from peridotrill.exceptions import LogUnavailable
from peridotrill.operator_command import CommandDependencies
from peridotrill.timeline import Recorder
from tests.builders import plain_document, service_text
from tests.fake_log import FakeLog, FakeOperatorLog

ENTRIES = '127.0.0.1:9001,127.0.0.1:9002'


class CliHarness:
    """Runs operator commands against an in-memory log."""

    def __init__(self, responses=None):
        self.log = FakeLog()
        self.clock = ManualClock()
        self.connect_error = None
        self.responses = responses or {}
        self.environment = {'PERIDOTRILL_PLATFORM_URL': 'http://127.0.0.1:1'}

    @asynccontextmanager
    async def connect(self, url):
        if self.connect_error:
            raise self.connect_error
        yield FakeOperatorLog(self.log, self.clock)

    def respond(self, request):
        body = self.responses.get((request.url.port, request.url.path))
        if body is None:
            raise httpx.ConnectError('refused', request=request)
        if isinstance(body, httpx.Response):
            return body
        return httpx.Response(200, json=body)

    def run(self, *arguments):
        dependencies = CommandDependencies(
            self.environment,
            self.connect,
            self.clock,
            httpx.MockTransport(self.respond),
        )
        out, err = BufferedOutput(), BufferedOutput()
        command_line = ArgvInput(['peridotrill', *map(str, arguments)])
        code = cli.create_application(dependencies).run(command_line, out, err)
        return code, out.fetch(), err.fetch()

    def run_json(self, *arguments):
        code, out, _ = self.run(*arguments, '--output', 'json')
        return code, json.loads(out)


@pytest.fixture
def harness():
    return CliHarness()


@pytest.fixture
def folder(tmp_path):
    write(tmp_path, plain_document('receipts'))
    return tmp_path


def write(folder, document):
    path = folder / f'{document["name"]}.peridotrill.yaml'
    path.write_text(service_text(document))


def test_validate_reports_all_findings_in_both_formats(harness, folder):
    assert harness.run('validate', folder)[0] == 0
    write(folder, plain_document('till', speed=1, priority=99))
    code, out, _ = harness.run('validate', folder)
    assert code == 1
    assert out.count('till.peridotrill.yaml:') == 2
    code, document = harness.run_json('validate', folder)
    assert code == 1
    assert {row['code'] for row in document['findings']} == {
        'unknown_key',
        'out_of_range',
    }
    assert all(row['line'] for row in document['findings'])


def test_publish_exit_codes(harness, folder):
    # Guards against scripts that take a publish with a conflict or an unknown
    # outcome for a successful one.
    assert harness.run_json('diff', folder)[1]['services'].keys() == {
        'receipts',
    }
    assert harness.run_json('publish', folder, '--author', 'ann')[0] == 0
    assert harness.run_json('publish', folder)[1]['outcome'] == 'unchanged'
    write(folder, plain_document('till'))
    code, document = harness.run_json('publish', folder, '--base', '0')
    assert (code, document['outcome']) == (1, 'lost_race')
    assert document['authors'] == ['ann']
    code, _, err = harness.run('publish', folder, '--base', '0')
    assert code == 1 and 'by ann' in err
    harness.log.fault = 'unavailable'
    assert harness.run('publish', folder)[0] == 3
    harness.log.fault = 'lost'
    code, document = harness.run_json('publish', folder)
    assert (code, document['outcome']) == (4, 'unknown')
    harness.connect_error = LogUnavailable('down')
    assert harness.run('publish', folder)[0] == 3


def test_interrupted_publish_has_an_unknown_outcome(harness, folder):
    harness.connect_error = KeyboardInterrupt()
    assert harness.run('publish', folder)[0] == 4


@pytest.mark.parametrize(
    'arguments',
    [
        ('publish',),
        ('publish', '.', '--base', '-1'),
        ('validate', '.', '--output', 'xml'),
        ('validate', '.', '--nonsense'),
        ('keys', 'grant', '--team', 'growers'),
        ('keys', 'grant', '--name'),
        ('status', '--entries', 'localhost'),
        ('keys', 'list', '--platform-url', 'ftp://x'),
        ('unpublish',),
    ],
)
def test_usage_errors_have_their_own_exit_code(harness, arguments):
    code, out, err = harness.run(*arguments)
    assert code == 2
    assert err and not out


def test_every_command_has_examples_and_exit_codes(harness):
    names = 'validate publish diff status timeline'.split()
    for arguments in (*names, 'keys grant', 'keys withdraw', 'keys list'):
        code, out, _ = harness.run(*arguments.split(), '--help')
        assert code == 0
        assert f'  peridotrill {arguments}' in out
        assert '4  outcome unknown' in out


def test_granted_key_is_shown_once_and_not_stored(harness, folder, caplog):
    caplog.set_level('DEBUG')
    harness.run('publish', folder)
    grant = ('keys', 'grant', '--team', 'growers', '--name', 'cart')
    code, out, err = harness.run(*grant)
    key = out.split()[-1]
    assert code == 0 and key.startswith('ptk_') and out.count(key) == 1
    other_texts = [err, caplog.text, repr(harness.log.records)]
    other_texts.extend(harness.run(*grant))
    other_texts.extend(harness.run('keys', 'list'))
    other_texts.extend(harness.run('diff', folder))
    assert not any(key in str(text) for text in other_texts)
    assert harness.run_json('keys', 'list')[1] == {
        'keys': [{'name': 'cart', 'team': 'growers'}],
    }
    assert harness.run('keys', 'withdraw', 'cart')[0] == 0
    assert harness.run('keys', 'withdraw', 'cart')[0] == 1


@pytest.mark.parametrize(
    ('fault', 'expected'),
    [('answer_lost', 0), ('lost', 4), ('unavailable', 3)],
)
def test_key_is_shown_only_if_the_grant_is_in_the_log(
    harness, folder, fault, expected
):
    # Guards against showing a key whose grant was not appended and which is
    # therefore invalid.
    harness.run('publish', folder)
    harness.log.fault = fault
    code, out, _ = harness.run(
        'keys', 'grant', '--team', 'growers', '--name', 'cart'
    )
    assert code == expected
    assert ('ptk_' in out) == (expected == 0)


@pytest.mark.parametrize(
    ('team', 'name', 'code'),
    [
        ('nobody', 'a', 'unknown_team'),
        ('growers', 'a b', 'invalid_name'),
        ('growers', 'cart', 'name_taken'),
    ],
)
def test_invalid_key_grants_are_refused(harness, folder, team, name, code):
    harness.run('publish', folder)
    harness.run('keys', 'grant', '--team', 'growers', '--name', 'cart')
    records_before = len(harness.log.records)
    found = harness.run_json('keys', 'grant', '--team', team, '--name', name)
    assert found[0] == 1 and found[1]['outcome'] == code
    assert len(harness.log.records) == records_before


def test_status_shows_differences_and_unreachable_processes():
    harness = CliHarness(
        {
            (9001, '/status'): {'entry_id': 'a', 'config': {'version': 3}},
            (9002, '/status'): {'entry_id': 'b', 'config': {'version': 4}},
        }
    )
    code, document = harness.run_json('status', '--entries', ENTRIES)
    assert code == 0
    assert document['differences'] == {
        'config.version': {'127.0.0.1:9001': 3, '127.0.0.1:9002': 4},
    }
    entries = f'{ENTRIES},[::1]:9003'.replace('[::1]', '::1')
    code, out, _ = harness.run('status', '--entries', entries)
    assert code == 3
    assert '::1:9003: not reachable: refused' in out
    assert 'config.version: 127.0.0.1:9001=3 127.0.0.1:9002=4' in out


def test_timeline_is_merged_and_its_page_is_escaped_and_self_contained(
    tmp_path,
):
    # Guards against a page that executes scripts or loads resources contained
    # in an event.
    clock = ManualClock()
    first, second = Recorder('a', clock), Recorder('b', clock)
    first.emit('sent', detail='<script src="http://x">\n\x1b[2J')
    second.update_lamport(first.lamport)
    second.emit('received')
    harness = CliHarness(
        {
            (9001, '/timeline'): second.events(),
            (9002, '/timeline'): {'events': first.events()},
        }
    )
    code, document = harness.run_json('timeline', '--entries', ENTRIES)
    assert code == 0
    kinds = [event['kind'] for event in document['events']]
    assert kinds == ['sent', 'received']
    _, out, _ = harness.run('timeline', '--entries', ENTRIES)
    assert out.count('\n') == 2 and '\x1b' not in out
    page = tmp_path / 'timeline.html'
    flags = ('--entries', ENTRIES, '--html')
    assert harness.run('timeline', *flags, page)[0] == 0
    tags = []
    parser = HTMLParser()
    parser.handle_starttag = lambda tag, attrs: tags.append(tag)
    parser.feed(page.read_text('utf-8'))
    assert tags.count('th') == 3 and tags.count('tr') == 3
    assert not {'script', 'link', 'img'} & set(tags)
    assert harness.run('timeline', *flags, tmp_path / 'no' / 'x')[0] == 2


@pytest.mark.parametrize(
    'body',
    [[{'kind': 1}], httpx.Response(404), httpx.Response(200, content=b'{')],
)
def test_processes_with_malformed_responses_are_not_reachable(body):
    harness = CliHarness({(9001, '/timeline'): body, (9002, '/timeline'): []})
    code, document = harness.run_json('timeline', '--entries', ENTRIES)
    assert code == 3
    assert document['errors'].keys() == {'127.0.0.1:9001'}
    assert len(document['errors']['127.0.0.1:9001'].splitlines()) == 1
