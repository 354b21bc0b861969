"""Registries that decorators fill."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

_Key = TypeVar('_Key')
_Entry = TypeVar('_Entry')


class Registry(Generic[_Key, _Entry]):
    """Maps a key to a function or class; each key is registered once."""

    def __init__(self, entry_name: str) -> None:
        """:param noun: what is registered, for error messages."""
        self._entry_name = entry_name
        self._entries: dict[_Key, _Entry] = {}

    def register(self, key: _Key) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers under a key.

        :param key: raises KeyError if it is taken.
        """

        def decorate(entry: _Entry) -> _Entry:  # noqa: WPS430
            if key in self._entries:
                raise KeyError(
                    f'{self._entry_name} {key!r} is registered twice'
                )
            self._entries[key] = entry
            return entry

        return decorate

    def get(self, key: _Key) -> _Entry | None:
        """Return what is registered under the key, or None."""
        return self._entries.get(key)

    def __iter__(self) -> Iterator[_Key]:
        """Iterate over the keys in order of registration."""
        return iter(self._entries)
