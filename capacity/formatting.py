"""Formats numbers and Markdown tables."""

from collections.abc import Iterable
from typing import Final

_MIN_SHOWN: Final = 0.01
_SI_PREFIXES: Final = ((1e9, ' G'), (1e6, ' M'), (1e3, ' k'), (1, ' '))


def format_scaled(quantity: float, unit: str = 'B') -> str:
    """Format a quantity with an SI prefix and two significant digits."""
    for factor, prefix in _SI_PREFIXES:
        if quantity >= factor:
            return f'{format_number(quantity / factor)}{prefix}{unit}'
    return f'{format_number(quantity)} {unit}' if quantity else '0'


def format_number(quantity: float) -> str:
    """Format a number with two significant digits, or whole from 100 up."""
    if 0 < abs(quantity) < _MIN_SHOWN:
        return f'<{_MIN_SHOWN}'
    if abs(quantity) >= 100:
        return f'{quantity:,.0f}'
    return f'{quantity:.2g}'


def format_percent(share: float) -> str:
    """Format a share as a percentage."""
    return f'{format_number(share * 100)}%'


def format_table(header: str, rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table.

    :param header: column titles, separated by ``|``.
    """
    titles = [title.strip() for title in header.split('|')]
    lines = [titles, ['---' for _ in titles], *(list(row) for row in rows)]
    return '\n'.join('| {0} |'.format(' | '.join(line)) for line in lines)
