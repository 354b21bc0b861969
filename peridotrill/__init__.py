"""Serving system for a limited fleet of model engines and plain services."""

from peridotrill.exceptions import PeridotrillError

__version__ = '0.1.0'

__all__ = ('PeridotrillError', '__version__')
