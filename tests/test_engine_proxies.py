"""The proxies between gateways and engines of a load.

Guard against cuts that the gateways notice at once: these would hide the
faults that a silent cut is played for.
"""

import errno
import os
import socket
import threading
import time
from contextlib import suppress

import pytest

from tests.engine_proxies import EngineProxies
from tests.processes import free_port

# Time after which a connection counts as silent, and as failed.
SILENCE_S = 0.3
TIMEOUT_S = 5


class EchoServer:
    """Echoes the bytes of each connection."""

    def __init__(self, port):
        self.listener = socket.create_server(('127.0.0.1', port))
        self.accepted = []
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.accepted:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted.append(connection)
            threading.Thread(
                target=_echo, args=(connection,), daemon=True
            ).start()


def _echo(connection):
    with connection:
        while content := connection.recv(4096):
            connection.sendall(content)


def connect(port, timeout_s=TIMEOUT_S):
    return socket.create_connection(('127.0.0.1', port), timeout_s)


def echo(connection, content=b'ping'):
    connection.sendall(content)
    return connection.recv(4096)


def require_silence(connection):
    connection.settimeout(SILENCE_S)
    with pytest.raises(TimeoutError):
        connection.recv(4096)
    connection.settimeout(TIMEOUT_S)


@pytest.fixture
def proxies(tmp_path):
    with (tmp_path / 'proxies.log').open('w') as log:
        started = EngineProxies(log)
    yield started
    started.process.kill()
    started.process.wait()


@pytest.fixture
def target_port():
    return free_port()


@pytest.fixture
def engine(target_port):
    server = EchoServer(target_port)
    yield server
    server.stop()


@pytest.fixture
def port(proxies, engine, target_port):
    port = free_port()
    proxies.call('start', 'engine', port=port, target_port=target_port)
    return port


def test_bytes_pass_in_both_directions(port):
    with connect(port) as connection:
        assert echo(connection) == b'ping'


def test_cut_is_silent_on_open_connections(proxies, port):
    with connect(port) as connection:
        echo(connection)
        proxies.call('cut_off', 'engine')
        connection.sendall(b'ping')
        require_silence(connection)


def test_attempts_to_connect_time_out_during_a_cut(proxies, port):
    proxies.call('cut_off', 'engine')
    # The kernel still completes one connection, which carries nothing.
    with connect(port) as first:
        first.sendall(b'ping')
        require_silence(first)
    with pytest.raises(TimeoutError):
        connect(port, SILENCE_S)
    proxies.call('reconnect', 'engine')
    with connect(port) as connection:
        assert echo(connection) == b'ping'


def test_end_of_the_engine_is_silent_during_a_cut(proxies, port, engine):
    with connect(port) as connection:
        echo(connection)
        proxies.call('cut_off', 'engine')
        engine.accepted[0].shutdown(socket.SHUT_RDWR)
        require_silence(connection)


def test_old_connections_resume(proxies, port):
    with connect(port) as connection:
        echo(connection)
        proxies.call('cut_off', 'engine')
        connection.sendall(b'late')
        proxies.call('reconnect', 'engine', old='resume')
        assert connection.recv(4096) == b'late'


def test_old_connections_stay_silent(proxies, port, engine):
    with connect(port) as connection, connect(port) as idle:
        echo(connection)
        echo(idle)
        proxies.call('cut_off', 'engine')
        proxies.call('reconnect', 'engine', old='silent')
        connection.sendall(b'ping')
        require_silence(connection)
        require_silence(idle)
    with connect(port) as connection:
        assert echo(connection) == b'ping'


def test_old_connections_are_reset(proxies, port):
    with connect(port) as connection:
        echo(connection)
        proxies.call('cut_off', 'engine')
        proxies.call('reconnect', 'engine', old='reset')
        with pytest.raises(ConnectionResetError):
            connection.recv(1)


def test_cut_of_one_process_leaves_others_alone(proxies, port):
    with connect(port) as connection:
        echo(connection)
        proxies.call('cut_off', 'engine', pid=1)
        assert echo(connection) == b'ping'
        proxies.call('cut_off', 'engine', pid=os.getpid())
        connection.sendall(b'ping')
        require_silence(connection)
        with connect(port) as other:
            other.sendall(b'ping')
            require_silence(other)
        proxies.call('reconnect', 'engine', pid=os.getpid())
        assert connection.recv(4096) == b'ping'


def test_connections_are_refused_while_the_engine_is_down(proxies, port):
    proxies.call('go_down', 'engine')
    deadline_s = time.monotonic() + 1
    refused = False
    while not refused and time.monotonic() < deadline_s:
        with socket.socket() as connection:
            refused = (
                connection.connect_ex(('127.0.0.1', port)) == errno.ECONNREFUSED
            )
    assert refused
    proxies.call('come_up', 'engine')
    time.sleep(0.1)
    with connect(port) as connection:
        assert echo(connection) == b'ping'


def test_failed_command_is_reported(proxies):
    with pytest.raises(RuntimeError):
        proxies.call('cut_off', 'unknown')
