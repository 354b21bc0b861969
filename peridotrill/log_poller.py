"""Polls the log until it shows the outcome of an appended record."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Final, Protocol, TypeVar, final

import anyio

from peridotrill.clock import Clock
from peridotrill.exceptions import LogError

LOG_POLL_TIMEOUT: Final = timedelta(seconds=15)
_LONG_POLL_WAIT: Final = timedelta(seconds=2)
_RETRY_DELAY: Final = timedelta(milliseconds=200)
_Found = TypeVar('_Found')


class RecordLog(Protocol):
    """The log operations that the operator command needs."""

    async def append(self, record: Any) -> int:
        """Append a record; raises LogUnavailable or AppendOutcomeUnknown."""

    async def refresh(self, wait: timedelta) -> None:
        """Apply new records; wait up to ``wait`` if there are none."""


@final
class LogPoller:
    """Polls the log until its state answers a query."""

    def __init__(
        self,
        log: RecordLog,
        clock: Clock,
        timeout: timedelta = LOG_POLL_TIMEOUT,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        """:param timeout: how long to poll before giving up."""
        self._log = log
        self._clock = clock
        self._timeout_s = timeout.total_seconds()
        self._sleep = sleep

    async def poll_until(
        self, find: Callable[[], _Found | None]
    ) -> _Found | None:
        """Poll, also through outages of the log, until there is a result.

        :param find: looks up the result in the state; None if not found.
        :return: the result, or None after the timeout.
        """
        deadline_s = self._clock.monotonic_s() + self._timeout_s
        while True:
            found = find()
            if found is not None or self._clock.monotonic_s() >= deadline_s:
                return found
            try:
                await self._log.refresh(_LONG_POLL_WAIT)
            except LogError:
                await self._sleep(_RETRY_DELAY.total_seconds())
