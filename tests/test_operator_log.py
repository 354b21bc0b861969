import json
from datetime import timedelta

import anyio
import pytest
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from peridotrill import cli
from peridotrill.operator_command import CommandDependencies
from peridotrill.operator_log import connect
from peridotrill.snapshots import encode_snapshot
from tests.builders import plain_document, service_text
from tests.processes import free_port
from tests.test_standins import run_program


@pytest.fixture
def folder(tmp_path):
    path = tmp_path / 'receipts.peridotrill.yaml'
    path.write_text(service_text(plain_document()))
    return tmp_path


def run_cli(url, *arguments):
    dependencies = CommandDependencies.from_environment(
        {'PERIDOTRILL_PLATFORM_URL': str(url), 'PERIDOTRILL_OUTPUT': 'json'}
    )
    out, err = BufferedOutput(), BufferedOutput()
    command_line = ArgvInput(['peridotrill', *map(str, arguments)])
    code = cli.create_application(dependencies).run(command_line, out, err)
    return code, json.loads(out.fetch())['outcome']


def test_commands_during_faults_of_the_platform_log(folder):
    # Guards against a second append after a lost response, and against a
    # malformed record that makes commands fail.
    grant = ('keys', 'grant', '--team', 'growers', '--name')
    with run_program('standins.platform') as platform:
        url = platform.base_url
        platform.post('/log/append', content=b'not a record')
        platform.post('/faults', json={'log': 'lose_answers'})
        assert run_cli(url, 'publish', folder) == (0, 'accepted')
        assert run_cli(url, *grant, 'cart') == (0, 'granted')
        platform.post('/faults', json={'log': 'down'})
        assert run_cli(url, 'publish', folder) == (3, 'unreachable')
        platform.post('/faults', json={'log': 'up'})
        assert run_cli(url, 'publish', folder) == (0, 'unchanged')
        assert run_cli(url, *grant, 'cart') == (1, 'name_taken')
        assert run_cli(url, 'keys', 'withdraw', 'cart') == (0, 'withdrawn')
        log = platform.get('/log/read', params={'from': 1, 'wait_ms': 0})
        assert log.json()['next_offset'] == 5


def test_publish_reports_an_unreachable_platform(folder):
    url = f'http://127.0.0.1:{free_port()}'
    assert run_cli(url, 'publish', folder) == (3, 'unreachable')


def test_state_is_restored_from_a_snapshot_after_records_expired(folder):
    # Guards against overwriting a configuration that was not read because its
    # records had expired.
    async def append_snapshot(url):
        async with connect(url) as log:
            await log.refresh(timedelta(0))
            for part in encode_snapshot(log.state):
                await log.append(part)

    with run_program(
        'standins.platform', '--log-retention-records', '4'
    ) as platform:
        url = str(platform.base_url).rstrip('/')
        assert run_cli(url, 'publish', folder) == (0, 'accepted')
        anyio.run(append_snapshot, url)
        for _ in range(3):
            platform.post('/log/append', content=b'not a record')
        assert run_cli(url, 'publish', folder) == (0, 'unchanged')
        platform.post('/log/append', content=b'not a record')
        assert run_cli(url, 'publish', folder) == (3, 'unreachable')
