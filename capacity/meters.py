"""Meters for CPU time, memory and link traffic of a process."""

import gc
import os
import resource
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import pynng

from peridotrill import messages

_US_PER_S: Final = 1e6
_PAGE_BYTES: Final = resource.getpagesize()
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# utime and stime, fields 14 and 15 of /proc/PID/stat, as indexes into the
# fields after the command name.
_USER_TICKS: Final = 11
_SYSTEM_TICKS: Final = 12


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    gc.collect()
    pages = Path('/proc/self/statm').read_text('ascii').split()[1]
    return int(pages) * _PAGE_BYTES


def process_cpu_us(pid: int) -> float:
    """Return the CPU time of a process, with clock tick resolution."""
    stat = Path(f'/proc/{pid}/stat').read_text('ascii')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / _TICKS_PER_S * _US_PER_S


def cpu_now_us() -> float:
    """Return the CPU time that this process has used."""
    return time.process_time() * _US_PER_S


def cpu_us(work: Callable[[], Any]) -> float:
    """Return the CPU time that a call takes in this process."""
    started_s = time.process_time()
    work()
    return (time.process_time() - started_s) * _US_PER_S


def best_cpu_us(work: Callable[[], Any], runs: int = 3) -> float:
    """Return the lowest CPU time of several calls.

    The minimum is the most accurate, because other processes on the machine
    can only make a call slower.
    """
    return min(cpu_us(work) for _ in range(runs))


class LinkCounts(NamedTuple):
    """Number and size of batches, without transport headers.

    A batch that the transport does not accept immediately is encoded again,
    and counted again in ``encoded_batches``.
    """

    sent_batches: int
    sent_bytes: int
    received_batches: int
    received_bytes: int
    encoded_batches: int


@final
class LinkCounter:
    """Counts the batches that this process encodes, sends and decodes."""

    def __init__(self) -> None:
        """Wrap the codec and the transport with counters."""
        self._counts: Counter[str] = Counter()
        self._encode = messages.encode_batch
        self._decode = messages.decode_batch
        self._send = pynng.Socket.send
        self._send_message = pynng.Socket.send_msg
        _replace(messages, 'encode_batch', self._count_encoded)
        _replace(messages, 'decode_batch', self._count_received)
        _replace(pynng.Socket, 'send', self._count_sent())
        _replace(pynng.Socket, 'send_msg', self._count_sent_message())

    def read(self) -> LinkCounts:
        """Return the counts so far."""
        return LinkCounts(*map(self._counts.__getitem__, LinkCounts._fields))

    def _count_encoded(self, batch: messages.Batch) -> bytes:
        self._counts['encoded_batches'] += 1
        return self._encode(batch)

    def _count_received(self, payload: bytes) -> messages.Batch:
        self._counts['received_batches'] += 1
        self._counts['received_bytes'] += len(payload)
        return self._decode(payload)

    def _count_sent(self) -> Callable[..., None]:
        def send(socket: Any, payload: bytes, *, block: bool) -> None:
            self._send(socket, payload, block=block)
            self._note_sent(payload)

        return send

    def _count_sent_message(self) -> Callable[..., None]:
        def send(socket: Any, message: pynng.Message, *, block: bool) -> None:
            # The message cannot be read once it has been sent.
            payload = message.bytes
            self._send_message(socket, message, block=block)
            self._note_sent(payload)

        return send

    def _note_sent(self, payload: bytes) -> None:
        self._counts['sent_batches'] += 1
        self._counts['sent_bytes'] += len(payload)


def _replace(owner: Any, name: str, function: Callable[..., Any]) -> None:
    setattr(owner, name, function)


@final
class Meter:
    """Measures rates of this process over an interval."""

    def __init__(self, counter: LinkCounter, peer_pid: int) -> None:
        """:param peer_pid: the process at the other end of the links."""
        self._counter = counter
        self._peer_pid = peer_pid
        self._started_s = time.monotonic()
        self._cpu_s = time.process_time()
        self._peer_us = process_cpu_us(peer_pid)
        self._counts = counter.read()

    def read(self) -> dict[str, float]:
        """Return rates per second since the meter was created."""
        elapsed_s = time.monotonic() - self._started_s
        used_us = (time.process_time() - self._cpu_s) * _US_PER_S
        peer_us = process_cpu_us(self._peer_pid) - self._peer_us
        counts = zip(self._counter.read(), self._counts, strict=True)
        rates = [(now - before) / elapsed_s for now, before in counts]
        return {
            'cpu_us_per_s': used_us / elapsed_s,
            'peer_cpu_us_per_s': peer_us / elapsed_s,
            'resident_bytes': resident_bytes(),
            **{
                f'{name}_per_s': rate
                for name, rate in zip(LinkCounts._fields, rates, strict=True)
            },
        }
