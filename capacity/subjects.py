"""Imports the modules that define measurements."""

from importlib import import_module
from typing import Final

MEASUREMENT_MODULES: Final = (
    'links',
    'states',
    'decisions',
    'logs',
    'programs',
)


def import_measurement_modules() -> None:
    """Import the modules; on import they register their measurements.

    The registry is ``capacity.measurements.measurements``.
    """
    for module in MEASUREMENT_MODULES:
        import_module(f'capacity.{module}')
