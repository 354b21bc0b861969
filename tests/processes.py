"""Starts programs as processes for tests, and signals them by process id."""

import atexit
import ctypes
import os
import re
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from itertools import count
from pathlib import Path

ROOT = Path(__file__).parent.parent
BIN_DIRECTORY = Path(sys.executable).parent
PR_SET_PDEATHSIG = 1
# Below the ephemeral port range of Linux: an outgoing connection could take a
# port of that range between its choice and its use.
FIRST_PORT, LAST_PORT = 12000, 32000
# Each run of the tests uses a block of ports of its own, so that another run on
# the machine cannot take a port between its choice and its use.
PORTS_PER_RUN = 500
_LIBC = ctypes.CDLL(None)


def _claim_block():
    """Return the first port of a block, and what keeps it for this process."""
    blocks = (LAST_PORT - FIRST_PORT) // PORTS_PER_RUN
    for number in range(blocks):
        block = (os.getpid() + number) % blocks
        claim = socket.socket(socket.AF_UNIX)
        try:
            claim.bind(f'\0peridotrill-test-ports-{block}')
        except OSError:
            claim.close()
            continue
        return FIRST_PORT + block * PORTS_PER_RUN, claim
    raise RuntimeError('all blocks of ports are in use')


_first_port, _claim = _claim_block()
_offsets = count()


def free_port(kind=socket.SOCK_STREAM):
    while True:
        port = _first_port + next(_offsets) % PORTS_PER_RUN
        with socket.socket(type=kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


def is_listening(port):
    """Tell whether a process accepts connections at a port."""
    with socket.socket() as probe:
        return probe.connect_ex(('127.0.0.1', port)) == 0


def wait_for(
    condition, timeout_s=15.0, description='condition', interval_s=0.02
):
    """Return the first true value of ``condition()``."""
    deadline_s = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f'{description} did not hold within {timeout_s} s'
            )
        time.sleep(interval_s)


def program(name):
    """Return the command of a stand-in module or an installed program."""
    if name.startswith('standins.'):
        return [sys.executable, '-m', name]
    return [str(BIN_DIRECTORY / name)]


def flags(**settings):
    return [
        f'--{name.replace("_", "-")}={setting}'
        for name, setting in settings.items()
    ]


class Process:
    """A program in its own process; its output goes to ``NAME.log``."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = folder / f'{name}.log'
        self._popen = None

    def start(self):
        environment = os.environ | {
            'PYTHONPATH': str(ROOT),
            'PYTHONUNBUFFERED': '1',
        }
        with self.log_path.open('ab') as output:
            self._popen = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=_kill_with_parent,
            )
        return self

    @property
    def is_running(self):
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self):
        return self._popen.pid

    def output(self):
        return self.log_path.read_text('utf-8', errors='replace')

    def check_running(self):
        if not self.is_running:
            raise RuntimeError(
                f'{self.name} exited with {self._popen.returncode}; '
                f'{self.log_path}:\n{self.output()[-4000:]}'
            )

    def wait_address(self):
        """Wait for the line ``ready address=IP:port``; return the address."""

        def find():
            self.check_running()
            return re.search(r'ready address=(\S+)', self.output())

        return wait_for(find, description=f'{self.name} ready')[1]

    def kill(self):
        self._signal(signal.SIGKILL)
        self._popen.wait()

    def pause(self):
        self._signal(signal.SIGSTOP)

    def resume(self):
        self._signal(signal.SIGCONT)

    def terminate(self):
        self._signal(signal.SIGTERM)

    def interrupt(self):
        self._signal(signal.SIGINT)

    def wait(self, timeout_s=15.0):
        return self._popen.wait(timeout_s)

    def _signal(self, signal_number):
        if self.is_running:
            os.kill(self._popen.pid, signal_number)


class ProcessGroup:
    """All processes of one test."""

    def __init__(self, folder):
        self.folder = folder
        self._processes = {}

    def start(self, name, command):
        """Start a program, or restart it under the same name."""
        process = Process(name, command, self.folder).start()
        self._processes.setdefault(name, []).append(process)
        return process

    def kill_all(self):
        for runs in self._processes.values():
            for process in runs:
                process.kill()


@contextmanager
def run_processes(folder):
    group = ProcessGroup(folder)
    atexit.register(group.kill_all)
    try:
        yield group
    finally:
        group.kill_all()
        atexit.unregister(group.kill_all)


def _kill_with_parent():
    # The kernel kills the process if the test run itself is killed.
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
