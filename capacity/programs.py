"""Startup cost of each program: CPU time and memory of its imports."""

import time
from importlib import import_module
from typing import Final

from capacity.measurements import Quantities, measurement
from capacity.meters import resident_bytes

_US_PER_S: Final = 1e6
_RUNS: Final = (1, 2, 3)


def _measure_imports(program: str) -> Quantities:
    started_s = time.process_time()
    import_module(program)
    used_s = time.process_time() - started_s
    return {
        'cpu_us': used_s * _US_PER_S,
        'resident_bytes': resident_bytes(),
    }


@measurement('start_entry', 'run', 'entry_main', _RUNS)
def measure_entry(_size: int) -> Quantities:
    """Measure the imports of ``peridotrill-entry``."""
    return _measure_imports('peridotrill.entry_program')


@measurement('start_agent', 'run', 'agent_main', _RUNS)
def measure_agent(_size: int) -> Quantities:
    """Measure the imports of ``peridotrill-agent``."""
    return _measure_imports('peridotrill.agent_program')


@measurement('start_operator', 'run', 'cli', _RUNS)
def measure_operator(_size: int) -> Quantities:
    """Measure the imports of ``peridotrill``."""
    return _measure_imports('peridotrill.cli')
