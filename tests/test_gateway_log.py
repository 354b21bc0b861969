"""The gateway log writes whole lines, is bounded and never blocks."""

import os

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.event_log import (
    MAX_BUFFER_BYTES,
    EventLog,
    NonBlockingLineWriter,
)
from peridotrill.logs import configure_logging
from tests.gateway_builders import advance


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    parts = []
    while True:
        try:
            parts.append(os.read(reader, 1 << 20))
        except BlockingIOError:
            return b''.join(parts)


def test_slow_reader_drops_lines_without_blocking(pipe):
    # Guards against a gateway that blocks because its log is not read.
    reader, writer = pipe
    output = NonBlockingLineWriter(writer)
    line = 'x' * 999 + '\n'
    for _ in range(1000):
        output.write(line)
        output.flush()
    assert output.dropped_lines > 0
    kept = read_all(reader)
    output.flush()
    kept += read_all(reader)
    # All lines that were not dropped, and each of them whole.
    assert kept == line.encode() * (1000 - output.dropped_lines)
    assert len(kept) >= MAX_BUFFER_BYTES
    output.write('again\n')
    output.flush()
    assert read_all(reader) == b'again\n'


def test_closed_reader_drops_lines_without_error():
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    os.close(reader)
    output.write('line\n')
    output.flush()
    assert output.dropped_lines == 1
    os.close(writer)


def test_repeated_lines_are_counted_instead_of_written(pipe):
    reader, writer = pipe
    clock = ManualClock()
    output = NonBlockingLineWriter(writer)
    log = EventLog(configure_logging('n', 'INFO', output), clock, output)
    for number in range(400):
        log.write('attempt_failed', number=number)
    advance(clock, 1)
    log.write('attempt_failed')
    lines = read_all(reader).decode().splitlines()
    assert len(lines) == 302
    assert 'event=lines_suppressed' in lines[300]
    assert 'count=100' in lines[300]
    assert log.lost_lines == 100
