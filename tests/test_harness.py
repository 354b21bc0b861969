"""Tests of the fault injection and the process control of other tests."""

import socket
import threading

import pytest

from tests import processes, proxy

SLEEP_COMMAND = [processes.sys.executable, '-c', 'import time; time.sleep(60)']


@pytest.fixture
def echo():
    """Yield a proxy to an echo server, and the chunks the server received."""
    received = []
    listener = socket.create_server(('127.0.0.1', 0))

    def answer(connection):
        with connection:
            while chunk := connection.recv(1024):
                received.append(chunk)
                connection.sendall(chunk)

    def serve():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=answer, args=[connection]).start()

    threading.Thread(target=serve, daemon=True).start()
    with proxy.run_proxies() as proxies:
        yield proxies.start(listener.getsockname()), received
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


def exchange(client, chunk, timeout_s=5.0):
    client.settimeout(timeout_s)
    client.sendall(chunk)
    return client.recv(1024)


def test_held_connection_stalls_while_a_new_one_works(echo):
    # Guards against fault tests that pass because no fault was injected.
    relay, received = echo
    with (
        socket.create_connection(relay.address) as old,
        socket.create_connection(relay.address) as new,
    ):
        assert exchange(old, b'1') == b'1'
        relay.hold(new=False)
        with pytest.raises(TimeoutError):
            exchange(old, b'2', 0.2)
        with socket.create_connection(relay.address) as fresh:
            assert exchange(fresh, b'3') == b'3'
        assert b'2' not in received
        relay.heal()
        old.settimeout(5)
        assert old.recv(1024) == b'2'
        relay.cut()
        assert not old.recv(1024)
        new.close()


def test_request_with_dropped_response_was_delivered(echo):
    relay, received = echo
    relay.drop_answers()
    with socket.create_connection(relay.address) as client:
        assert not exchange(client, b'charge')
    assert received == [b'charge']
    assert relay.dropped_answers == 1


def test_process_group_leaves_no_process_running(tmp_path):
    with processes.run_processes(tmp_path) as group:
        stopped = group.start('stopped', SLEEP_COMMAND)
        group.start('running', SLEEP_COMMAND)
        stopped.pause()
        runs = [run for entry in group._processes.values() for run in entry]
    assert not any(run.is_running for run in runs)
