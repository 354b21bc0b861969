"""Reads typed values from YAML nodes; each error becomes a finding."""

import re
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any, Final, NamedTuple, final

import yaml
from expression import Error, Ok, Result

from peridotrill.findings import Finding
from peridotrill.settings import parse_duration

# Entries parse service files on the event loop that also sends heartbeats. A
# file with 1,100 teams has 55,000 characters and takes 0.3 s to parse; the
# slowest text of 96,000 characters took 2 s.
MAX_FILE_CHARACTERS: Final = 64 * 1024
# Service files have four levels; composing nodes recurses for each level.
_MAX_DEPTH: Final = 12
_MAX_SHOWN_CHARACTERS: Final = 40
_STRING_TAG: Final = 'tag:yaml.org,2002:str'
_INTEGER: Final = re.compile(r'[0-9]{1,12}')
_NUMBER: Final = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')
_MAX_DURATION_CHARACTERS: Final = 16
# PyYAML raises ValueError and OverflowError for escapes above U+10FFFF.
_PARSER_ERRORS: Final = (
    yaml.YAMLError,
    ValueError,
    ArithmeticError,
    LookupError,
    RecursionError,
)
_BOOLEANS: Final = {'true': True, 'false': False}


class Mark(NamedTuple):
    """A position in a file; line and column start at 1."""

    line: int
    column: int

    @classmethod
    def from_yaml(cls, mark: Any) -> 'Mark':
        """Convert a zero-based mark of PyYAML; None is the file's start."""
        if mark is None:
            return cls(1, 1)
        return cls(mark.line + 1, mark.column + 1)


class NumberRange(NamedTuple):
    """Range of allowed numbers, both ends included."""

    low: float
    high: float


class DurationRange(NamedTuple):
    """Range of allowed durations, both ends included."""

    low: timedelta
    high: timedelta


@final
class _Loader(yaml.SafeLoader):
    """Composes nodes; rejects aliases and limits the nesting depth."""

    def __init__(self, stream: str) -> None:
        super().__init__(stream)
        self._depth = 0

    def compose_node(
        self,
        parent: yaml.Node | None,
        index: Any,
    ) -> yaml.Node | None:
        """Compose a node; raises MarkedYAMLError for an alias or depth."""
        event = self.peek_event()
        if isinstance(event, yaml.AliasEvent):
            raise _marked_error('aliases are not supported', event)
        if self._depth >= _MAX_DEPTH:
            raise _marked_error('nested too deeply', event)
        self._depth += 1
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node


def _marked_error(problem: str, event: Any) -> yaml.MarkedYAMLError:
    return yaml.MarkedYAMLError(
        problem=problem,
        problem_mark=event.start_mark,
    )


def compose(file_name: str, text: str) -> Result[yaml.Node, Finding]:
    """Parse one YAML document into nodes without constructing values.

    :param file_name: name of the file for the finding.
    :param text: content of the file, possibly not valid YAML.
    :return: the root node, or a finding.
    """
    if len(text) > MAX_FILE_CHARACTERS:
        message = f'longer than {MAX_FILE_CHARACTERS} characters'
        return Error(Finding(file_name, 1, 1, 'too_large', message))
    try:
        node = _Loader(text).get_single_node()
    except yaml.MarkedYAMLError as error:
        mark = Mark.from_yaml(error.problem_mark or error.context_mark)
        message = str(error.problem or error.context)
        return Error(Finding(file_name, *mark, 'syntax', message))
    except yaml.reader.ReaderError as error:
        mark = _mark_at(text, error.position)
        message = f'character {error.character!r} is not allowed'
        return Error(Finding(file_name, *mark, 'syntax', message))
    except _PARSER_ERRORS as error:
        return Error(Finding(file_name, 1, 1, 'syntax', shorten(str(error))))
    if node is None:
        return Error(Finding(file_name, 1, 1, 'empty', 'the file is empty'))
    return Ok(node)


def shorten(text: str) -> str:
    """Return a quoted and truncated form for messages."""
    if len(text) > _MAX_SHOWN_CHARACTERS:
        text = f'{text[:_MAX_SHOWN_CHARACTERS]}…'
    return repr(text)


def _mark_at(text: str, position: int) -> Mark:
    lines = text[:position].split('\n')
    return Mark(len(lines), len(lines[-1]) + 1)


@final
class NodeReader:
    """Reads and validates values of nodes; collects findings."""

    def __init__(self, file_name: str) -> None:
        """:param file_name: name of the file for the findings."""
        self.findings: list[Finding] = []
        self._file_name = file_name

    def report(self, node: yaml.Node, code: str, message: str) -> None:
        """Add a finding at the start of a node."""
        mark = Mark.from_yaml(node.start_mark)
        self.findings.append(Finding(self._file_name, *mark, code, message))

    def mapping(self, node: yaml.Node) -> dict[str, yaml.Node]:
        """Read a mapping with string keys.

        :param node: other nodes and duplicate keys become findings.
        :return: value nodes by key; the first one if a key is duplicated.
        """
        if not isinstance(node, yaml.MappingNode):
            self.report(node, 'wrong_type', 'must be a mapping')
            return {}
        fields: dict[str, yaml.Node] = {}
        for key_node, value_node in node.value:
            if not _is_string(key_node):
                self.report(key_node, 'wrong_type', 'a key must be a string')
                continue
            if key_node.value in fields:
                message = f'{shorten(key_node.value)} is a duplicate key'
                self.report(key_node, 'duplicate_key', message)
            fields.setdefault(key_node.value, value_node)
        return fields

    def fields(
        self,
        node: yaml.Node,
        known: Iterable[str],
        required: Iterable[str],
    ) -> dict[str, yaml.Node]:
        """Read a mapping with a fixed set of keys.

        :param known: allowed keys; other keys become findings.
        :param required: keys that become findings if they are missing.
        :return: value nodes by key.
        """
        fields = self.mapping(node)
        if isinstance(node, yaml.MappingNode):
            self._check_keys(node, frozenset(known))
            for name in required:
                if name not in fields:
                    self.report(node, 'missing', f'{name} is required')
        return fields

    def sequence(self, node: yaml.Node) -> list[yaml.Node]:
        """Read a list, or report a finding."""
        if isinstance(node, yaml.SequenceNode):
            return list(node.value)
        self.report(node, 'wrong_type', 'must be a list')
        return []

    def text(self, node: yaml.Node, pattern: re.Pattern[str]) -> str | None:
        """Read a string that matches a pattern, or report a finding."""
        if not _is_string(node):
            self.report(node, 'wrong_type', 'must be a string; quote numbers')
            return None
        if not pattern.fullmatch(node.value):
            message = f'{shorten(node.value)} must match {pattern.pattern}'
            self.report(node, 'invalid', message)
            return None
        return str(node.value)

    def choice(self, node: yaml.Node, allowed: Iterable[str]) -> str | None:
        """Read one of several allowed strings, or report a finding."""
        choices = sorted(allowed)
        if _is_string(node) and node.value in choices:
            return str(node.value)
        message = 'must be one of {0}'.format(', '.join(choices))
        self.report(node, 'invalid', message)
        return None

    def boolean(self, node: yaml.Node) -> bool | None:
        """Read ``true`` or ``false``, or report a finding."""
        found = _BOOLEANS.get(_plain_text(node))
        if found is None:
            self.report(node, 'wrong_type', 'must be true or false')
        return found

    def integer(self, node: yaml.Node, limits: NumberRange) -> int | None:
        """Read an integer within limits, or report a finding."""
        found = self._number(node, limits, _INTEGER, 'an integer')
        return None if found is None else int(found)

    def number(self, node: yaml.Node, limits: NumberRange) -> float | None:
        """Read a decimal number within limits, or report a finding."""
        return self._number(node, limits, _NUMBER, 'a number')

    def duration(
        self, node: yaml.Node, limits: DurationRange
    ) -> timedelta | None:
        """Read a duration such as ``250ms``, or report a finding."""
        text = _plain_text(node)[:_MAX_DURATION_CHARACTERS]
        try:
            found = parse_duration(text)
        except (ValueError, OverflowError):
            message = 'must be a duration such as 250ms, 5s or 2m'
            self.report(node, 'wrong_type', message)
            return None
        if limits.low <= found <= limits.high:
            return found
        message = f'must be between {limits.low} and {limits.high} (h:mm:ss)'
        self.report(node, 'out_of_range', message)
        return None

    def unique_texts(
        self,
        node: yaml.Node,
        read: Callable[[yaml.Node], str | None],
    ) -> list[str]:
        """Read a list of strings; duplicates become findings.

        :param read: reads one element; returns None if it is invalid and
            has been reported.
        """
        found: dict[str, yaml.Node] = {}
        for element in self.sequence(node):
            text = read(element)
            if text is None:
                continue
            if text in found:
                message = f'{shorten(text)} is a duplicate entry'
                self.report(element, 'duplicate', message)
            found.setdefault(text, element)
        return list(found)

    def _check_keys(
        self,
        node: yaml.MappingNode,
        known: frozenset[str],
    ) -> None:
        for key_node, _ in node.value:
            if _is_string(key_node) and key_node.value not in known:
                message = f'unknown field {shorten(key_node.value)}'
                self.report(key_node, 'unknown_key', message)

    def _number(
        self,
        node: yaml.Node,
        limits: NumberRange,
        pattern: re.Pattern[str],
        noun: str,
    ) -> float | None:
        text = _plain_text(node)
        if not pattern.fullmatch(text):
            message = f'must be {noun} between {limits.low} and {limits.high}'
            self.report(node, 'wrong_type', message)
            return None
        found = float(text)
        if limits.low <= found <= limits.high:
            return found
        message = f'must be between {limits.low} and {limits.high}'
        self.report(node, 'out_of_range', message)
        return None


def _is_string(node: yaml.Node) -> bool:
    return isinstance(node, yaml.ScalarNode) and node.tag == _STRING_TAG


def _plain_text(node: yaml.Node) -> str:
    # Quoted scalars are strings, not numbers, booleans or durations.
    if isinstance(node, yaml.ScalarNode) and node.style is None:
        return str(node.value)
    return ''
