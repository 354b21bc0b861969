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
from peridotrill.operator_command import Surroundings
from peridotrill.timeline import Recorder
from tests.builders import plain_document, service_text
from tests.fake_log import FakeLog, FakeOperatorLog

ENTRIES = '127.0.0.1:9001,127.0.0.1:9002'


class Program:
    """Runs the operator's program against a log in memory."""

    def __init__(self, answers=None):
        self.log = FakeLog()
        self.clock = ManualClock()
        self.connect_error = None
        self.answers = answers or {}
        self.environment = {'PERIDOTRILL_PLATFORM_URL': 'http://127.0.0.1:1'}

    @asynccontextmanager
    async def connect(self, url):
        if self.connect_error:
            raise self.connect_error
        yield FakeOperatorLog(self.log, self.clock)

    def answer(self, request):
        body = self.answers.get((request.url.port, request.url.path))
        if body is None:
            raise httpx.ConnectError('refused', request=request)
        if isinstance(body, httpx.Response):
            return body
        return httpx.Response(200, json=body)

    def run(self, *words):
        surroundings = Surroundings(
            self.environment,
            self.connect,
            self.clock,
            httpx.MockTransport(self.answer),
        )
        out, err = BufferedOutput(), BufferedOutput()
        source = ArgvInput(['peridotrill', *map(str, words)])
        code = cli.create_application(surroundings).run(source, out, err)
        return code, out.fetch(), err.fetch()

    def run_json(self, *words):
        code, out, _ = self.run(*words, '--output', 'json')
        return code, json.loads(out)


@pytest.fixture
def program():
    return Program()


@pytest.fixture
def folder(tmp_path):
    write(tmp_path, plain_document('receipts'))
    return tmp_path


def write(folder, document):
    path = folder / f'{document["name"]}.peridotrill.yaml'
    path.write_text(service_text(document))


def test_validate_reports_all_findings_in_both_formats(program, folder):
    assert program.run('validate', folder)[0] == 0
    write(folder, plain_document('till', speed=1, priority=99))
    code, out, _ = program.run('validate', folder)
    assert code == 1
    assert out.count('till.peridotrill.yaml:') == 2
    code, document = program.run_json('validate', folder)
    assert code == 1
    assert {row['code'] for row in document['findings']} == {
        'unknown_key',
        'out_of_range',
    }
    assert all(row['line'] for row in document['findings'])


def test_publish_exit_codes(program, folder):
    # Guards against scripts that take a lost or unknown publish for done.
    assert program.run_json('diff', folder)[1]['services'].keys() == {
        'receipts',
    }
    assert program.run_json('publish', folder, '--author', 'ann')[0] == 0
    assert program.run_json('publish', folder)[1]['outcome'] == 'unchanged'
    write(folder, plain_document('till'))
    code, document = program.run_json('publish', folder, '--base', '0')
    assert (code, document['outcome']) == (1, 'lost_race')
    assert document['authors'] == ['ann']
    code, _, err = program.run('publish', folder, '--base', '0')
    assert code == 1 and 'by ann' in err
    program.log.fault = 'unavailable'
    assert program.run('publish', folder)[0] == 3
    program.log.fault = 'lost'
    code, document = program.run_json('publish', folder)
    assert (code, document['outcome']) == (4, 'unknown')
    program.connect_error = LogUnavailable('down')
    assert program.run('publish', folder)[0] == 3


def test_an_interrupted_publish_is_not_reported_as_refused(program, folder):
    program.connect_error = KeyboardInterrupt()
    assert program.run('publish', folder)[0] == 4


@pytest.mark.parametrize(
    'words',
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
def test_wrong_usage_has_its_own_exit_code(program, words):
    code, out, err = program.run(*words)
    assert code == 2
    assert err and not out


def test_every_command_has_examples_and_exit_codes(program):
    names = 'validate publish diff status timeline'.split()
    for words in (*names, 'keys grant', 'keys withdraw', 'keys list'):
        code, out, _ = program.run(*words.split(), '--help')
        assert code == 0
        assert f'  peridotrill {words}' in out
        assert '4  outcome unknown' in out


def test_key_is_shown_once_and_kept_nowhere(program, folder, caplog):
    caplog.set_level('DEBUG')
    program.run('publish', folder)
    grant = ('keys', 'grant', '--team', 'growers', '--name', 'cart')
    code, out, err = program.run(*grant)
    key = out.split()[-1]
    assert code == 0 and key.startswith('ptk_') and out.count(key) == 1
    rest = [err, caplog.text, repr(program.log.records)]
    rest.extend(program.run(*grant))
    rest.extend(program.run('keys', 'list'))
    rest.extend(program.run('diff', folder))
    assert not any(key in str(text) for text in rest)
    assert program.run_json('keys', 'list')[1] == {
        'keys': [{'name': 'cart', 'team': 'growers'}],
    }
    assert program.run('keys', 'withdraw', 'cart')[0] == 0
    assert program.run('keys', 'withdraw', 'cart')[0] == 1


@pytest.mark.parametrize(
    ('fault', 'expected'),
    [('answer_lost', 0), ('lost', 4), ('unavailable', 3)],
)
def test_key_is_shown_only_if_the_log_has_it(program, folder, fault, expected):
    # Guards against handing out a key that is not valid.
    program.run('publish', folder)
    program.log.fault = fault
    code, out, _ = program.run(
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
def test_grants_without_effect_are_refused(program, folder, team, name, code):
    program.run('publish', folder)
    program.run('keys', 'grant', '--team', 'growers', '--name', 'cart')
    appended = len(program.log.records)
    found = program.run_json('keys', 'grant', '--team', team, '--name', name)
    assert found[0] == 1 and found[1]['outcome'] == code
    assert len(program.log.records) == appended


def test_status_shows_differences_and_processes_that_do_not_answer():
    program = Program(
        {
            (9001, '/status'): {'entry_id': 'a', 'config': {'version': 3}},
            (9002, '/status'): {'entry_id': 'b', 'config': {'version': 4}},
        }
    )
    code, document = program.run_json('status', '--entries', ENTRIES)
    assert code == 0
    assert document['differences'] == {
        'config.version': {'127.0.0.1:9001': 3, '127.0.0.1:9002': 4},
    }
    entries = f'{ENTRIES},[::1]:9003'.replace('[::1]', '::1')
    code, out, _ = program.run('status', '--entries', entries)
    assert code == 3
    assert '::1:9003: not reachable: refused' in out
    assert 'config.version: 127.0.0.1:9001=3 127.0.0.1:9002=4' in out


def test_timeline_is_merged_and_the_page_is_escaped_and_closed(tmp_path):
    # Guards against a page that runs or loads what an event contains.
    clock = ManualClock()
    first, second = Recorder('a', clock), Recorder('b', clock)
    first.emit('sent', detail='<script src="http://x">\n\x1b[2J')
    second.observe(first.lamport)
    second.emit('received')
    program = Program(
        {
            (9001, '/timeline'): second.events(),
            (9002, '/timeline'): {'events': first.events()},
        }
    )
    code, document = program.run_json('timeline', '--entries', ENTRIES)
    assert code == 0
    kinds = [event['kind'] for event in document['events']]
    assert kinds == ['sent', 'received']
    _, out, _ = program.run('timeline', '--entries', ENTRIES)
    assert out.count('\n') == 2 and '\x1b' not in out
    page = tmp_path / 'timeline.html'
    flags = ('--entries', ENTRIES, '--html')
    assert program.run('timeline', *flags, page)[0] == 0
    tags = []
    parser = HTMLParser()
    parser.handle_starttag = lambda tag, attrs: tags.append(tag)
    parser.feed(page.read_text('utf-8'))
    assert tags.count('th') == 3 and tags.count('tr') == 3
    assert not {'script', 'link', 'img'} & set(tags)
    assert program.run('timeline', *flags, tmp_path / 'no' / 'x')[0] == 2


@pytest.mark.parametrize(
    'body',
    [[{'kind': 1}], httpx.Response(404), httpx.Response(200, content=b'{')],
)
def test_malformed_answers_count_as_not_reachable(body):
    program = Program({(9001, '/timeline'): body, (9002, '/timeline'): []})
    code, document = program.run_json('timeline', '--entries', ENTRIES)
    assert code == 3
    assert document['errors'].keys() == {'127.0.0.1:9001'}
    assert len(document['errors']['127.0.0.1:9001'].splitlines()) == 1
