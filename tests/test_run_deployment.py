"""``make run`` starts a deployment, prints valid calls and shuts down."""

import subprocess

import pytest

from standins.topology import build_command
from tests.processes import run_processes, wait_for

STOP_TIMEOUT_S = 6.0


@pytest.mark.parametrize('name', ['ledger', 'saltbush'])
def test_printed_calls_succeed_and_sigint_stops_all_processes(tmp_path, name):
    # Guards against printed calls that fail and processes that keep running
    # after SIGINT.
    command = [*build_command('standins.run_deployment'), name]
    with run_processes(tmp_path) as processes:
        running = processes.start('run', command)
        try:
            wait_for(
                lambda: running.check_running() or 'Ctrl-C' in running.output(),
                timeout_s=60,
                description='the printed calls',
            )
            calls = [
                line
                for line in running.output().splitlines()
                if line.startswith('curl ')
            ]
            assert len(calls) == 3
            results = [
                subprocess.run(
                    f'{call} --fail', shell=True, capture_output=True, text=True
                )
                for call in (*calls, *calls)
            ]
            assert [result.returncode for result in results] == [0] * 6
            streams = [
                result for result in results if 'data: [DONE]' in result.stdout
            ]
            assert len(streams) == 2
            executed = {
                result.stdout
                for result in results
                if 'record_id' in result.stdout
            }
            assert len(executed) == 1
        finally:
            # honcho stops its child processes; killing it would orphan them.
            running.interrupt()
            status = running.wait(STOP_TIMEOUT_S)
        assert status == 0
