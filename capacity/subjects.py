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
    """Import the modules, which fills the registry."""
    for subject in SUBJECTS:
        import_module(f'capacity.{subject}')
