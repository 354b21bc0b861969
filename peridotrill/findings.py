"""Findings about input: collected with their place, reported together."""

from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """One thing that is wrong in a file, a flag or a variable."""

    place: str
    line: int
    column: int
    code: str
    message: str

    def __str__(self) -> str:
        """Return ``place:line:column: code message``; no zero numbers."""
        numbers = [str(num) for num in (self.line, self.column) if num]
        location = ':'.join([self.place, *numbers])
        return f'{location}: {self.code}: {self.message}'


def format_findings(findings: Iterable[Finding]) -> str:
    """Format findings in order of their place.

    :param findings: what was found.
    :return: one line per finding, without a final line feed.
    """
    return '\n'.join(str(finding) for finding in sorted(findings))
