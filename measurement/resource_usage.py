"""Processor time and memory of a process, from the proc file system."""

import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_KIB_PER_MB: Final = 1e6 / 1024
# Places of the times in user and kernel mode after the name of the program.
_USER_TIME_FIELD, _KERNEL_TIME_FIELD = 11, 12
# Place of the idle time in the first line of the machine's counters.
_IDLE_TIME_FIELD: Final = 4


class ResourceUsage:
    """What a process used during a span of time."""

    def __init__(self) -> None:
        """All figures are set at the end of the span."""
        self.cpu_ratio = 0.0
        self.rss_mb = 0.0
        self.kb_per_s = 0.0


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = Path(f'/proc/{pid}/stat').read_text('utf-8')
    fields = stat.rpartition(')')[2].split()
    return (
        int(fields[_USER_TIME_FIELD]) + int(fields[_KERNEL_TIME_FIELD])
    ) / _TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the memory that a process occupies."""
    status = Path(f'/proc/{pid}/status').read_text('utf-8')
    kib = next(row for row in status.splitlines() if row.startswith('VmRSS'))
    return int(kib.split()[1]) / _KIB_PER_MB


def idle_core_seconds() -> float:
    """Return the time that the cores of the machine have been idle."""
    fields = Path('/proc/stat').read_text('utf-8').split('\n', 1)[0].split()
    return int(fields[_IDLE_TIME_FIELD]) / _TICKS_PER_S


class IdleCoreSampler:
    """Samples once a second how many cores of the machine are idle.

    Others may use the machine; late answers while no core is idle say more
    about the machine than about the system.
    """

    def __init__(self) -> None:
        """Start to sample."""
        self.samples: list[float] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> list[float]:
        """End and return the samples."""
        self._stop.set()
        self._thread.join()
        return self.samples

    def _run(self) -> None:
        before_s, since_s = idle_core_seconds(), time.monotonic()
        while not self._stop.wait(1):
            idle_s, now_s = idle_core_seconds(), time.monotonic()
            ratio = (idle_s - before_s) / (now_s - since_s)
            self.samples.append(round(ratio, 1))
            before_s, since_s = idle_s, now_s


@contextmanager
def measure_usage(pid: int) -> Iterator[ResourceUsage]:
    """Measure a process during the block."""
    usage, before_s, start_s = ResourceUsage(), cpu_s(pid), time.monotonic()
    yield usage
    usage.cpu_ratio = (cpu_s(pid) - before_s) / (time.monotonic() - start_s)
    usage.rss_mb = rss_mb(pid)
