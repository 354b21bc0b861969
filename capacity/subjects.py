"""The modules that register measurements."""

from importlib import import_module
from typing import Final

SUBJECTS: Final = (
    'links',
    'states',
    'decisions',
    'logs',
    'programs',
)


def load_subjects() -> None:
    """Import the modules, so that they register their measurements."""
    for subject in SUBJECTS:
        import_module(f'capacity.{subject}')
