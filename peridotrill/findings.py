"""Findings: validation errors that are collected and reported together."""

from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """A validation error in a file, a flag or an environment variable.

    ``place`` is the name of the file, flag or variable; ``line`` and
    ``column`` are 0 if they do not apply.
    """

    place: str
    line: int
    column: int
    code: str
    message: str

    def __str__(self) -> str:
        """Return ``place:line:column: code: message``.

        A line or column of 0 is omitted.
        """
        numbers = [str(num) for num in (self.line, self.column) if num]
        location = ':'.join([self.place, *numbers])
        return f'{location}: {self.code}: {self.message}'


def format_findings(findings: Iterable[Finding]) -> str:
    """Format findings, sorted by place, line and column.

    :return: one line per finding, without a trailing newline.
    """
    return '\n'.join(str(finding) for finding in sorted(findings))
