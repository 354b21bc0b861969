"""Registries whose entries are added by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

_Key = TypeVar('_Key')
_Entry = TypeVar('_Entry')


class Registry(Generic[_Key, _Entry]):
    """Maps unique keys to functions or classes."""

    def __init__(self, entry_name: str) -> None:
        """:param entry_name: what is registered, for error messages."""
        self._entry_name = entry_name
        self._entries: dict[_Key, _Entry] = {}

    def register(self, key: _Key) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers a function or class.

        :param key: the decorator raises KeyError if it is already taken.
        """

        def decorate(entry: _Entry) -> _Entry:  # noqa: WPS430
            if key in self._entries:
                raise KeyError(
                    f'{self._entry_name} {key!r} is already registered'
                )
            self._entries[key] = entry
            return entry

        return decorate

    def get(self, key: _Key) -> _Entry | None:
        """Return the entry of the key, or None."""
        return self._entries.get(key)

    def __iter__(self) -> Iterator[_Key]:
        """Iterate over the keys in order of registration."""
        return iter(self._entries)
