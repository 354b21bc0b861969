"""Waiting until the log shows what became of an appended record."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Final, Protocol, TypeVar, final

import anyio

from peridotrill.clock import Clock
from peridotrill.exceptions import LogError

READ_BACK_TIMEOUT: Final = timedelta(seconds=15)
_READ_WAIT: Final = timedelta(seconds=2)
_RETRY_DELAY: Final = timedelta(milliseconds=200)
_Found = TypeVar('_Found')


class RecordLog(Protocol):
    """The log as an operator's program uses it."""

    async def append(self, record: Any) -> int:
        """Append; raises LogUnavailable or AppendOutcomeUnknown."""

    async def refresh(self, wait: timedelta) -> None:
        """Apply all new records; wait if there are none."""


@final
class ReadBack:
    """Reads the log until a question about its state is answered."""

    def __init__(
        self,
        log: RecordLog,
        clock: Clock,
        timeout: timedelta = READ_BACK_TIMEOUT,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        """:param timeout: how long to read before giving up."""
        self._log = log
        self._clock = clock
        self._timeout_s = timeout.total_seconds()
        self._sleep = sleep

    async def until(self, find: Callable[[], _Found | None]) -> _Found | None:
        """Read on through outages until there is an answer.

        :param find: looks for the answer in the state.
        :return: the answer, or None after the timeout.
        """
        give_up_s = self._clock.monotonic_s() + self._timeout_s
        while True:
            found = find()
            if found is not None or self._clock.monotonic_s() >= give_up_s:
                return found
            try:
                await self._log.refresh(_READ_WAIT)
            except LogError:
                await self._sleep(_RETRY_DELAY.total_seconds())
