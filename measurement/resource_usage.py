"""CPU time and memory of a process and idle cores, read from ``/proc``."""

import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_KIB_PER_MB: Final = 1e6 / 1024
# Fields of /proc/PID/stat, counted after the name of the program.
_USER_TIME_FIELD, _KERNEL_TIME_FIELD = 11, 12
# Field in the first line of /proc/stat, which sums up all cores.
_IDLE_TIME_FIELD: Final = 4


class ResourceUsage:
    """CPU, memory and network usage of a process during a period."""

    def __init__(self) -> None:
        """The values are set at the end of the period."""
        self.cpu_ratio = 0.0
        self.rss_mb = 0.0
        self.kb_per_s = 0.0


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process in user and kernel mode."""
    stat = Path(f'/proc/{pid}/stat').read_text('utf-8')
    fields = stat.rpartition(')')[2].split()
    return (
        int(fields[_USER_TIME_FIELD]) + int(fields[_KERNEL_TIME_FIELD])
    ) / _TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    status = Path(f'/proc/{pid}/status').read_text('utf-8')
    kib = next(row for row in status.splitlines() if row.startswith('VmRSS'))
    return int(kib.split()[1]) / _KIB_PER_MB


def idle_core_seconds() -> float:
    """Return the idle time since boot, summed over all cores."""
    fields = Path('/proc/stat').read_text('utf-8').split('\n', 1)[0].split()
    return int(fields[_IDLE_TIME_FIELD]) / _TICKS_PER_S


class IdleCoreSampler:
    """Samples the number of idle cores of the machine once a second.

    Other programs may use the machine. Late answers while no core is idle
    are caused by the machine rather than by the system.
    """

    def __init__(self) -> None:
        """Start the sampling thread."""
        self.samples: list[float] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> list[float]:
        """Stop sampling and return the samples."""
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
    """Measure the resource usage of a process during the block."""
    usage, before_s, start_s = ResourceUsage(), cpu_s(pid), time.monotonic()
    yield usage
    usage.cpu_ratio = (cpu_s(pid) - before_s) / (time.monotonic() - start_s)
    usage.rss_mb = rss_mb(pid)
