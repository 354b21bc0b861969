"""Reloads the settings file when it changes.

The file is polled; SIGHUP triggers an immediate check.
"""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Final, Generic, TypeVar, final

import anyio
from expression import Result

from peridotrill.findings import Finding, format_findings
from peridotrill.gateway.event_log import EventSink

# Without SIGHUP, a change is applied after at most this time. Frequent polling
# is cheap because the file is small and stays in the page cache.
POLL_INTERVAL: Final = timedelta(seconds=1)

Settings = TypeVar('Settings')


@final
class SettingsWatcher(Generic[Settings]):
    """Reloads the settings file when its content has changed."""

    def __init__(
        self,
        path: Path,
        read_settings: Callable[[Path], Result[Settings, list[Finding]]],
        current: Settings,
        on_change: Callable[[Settings], None],
        log: EventSink,
    ) -> None:
        """:param read_settings: reads, decodes and validates the file.

        :param current: settings in force.
        :param on_change: called with new settings that differ from the current
            ones.
        """
        self._path = path
        self._read_settings = read_settings
        self._current = current
        self._on_change = on_change
        self._log = log
        # None makes the first check reload the file: it may have changed since
        # the current settings were read.
        self._last_content: bytes | None = None
        self._check_requested = anyio.Event()

    def request_check(self) -> None:
        """Make ``run`` check the file now; called on SIGHUP."""
        self._check_requested.set()

    async def run(self) -> None:
        """Check the file at each poll or request, until cancelled."""
        while True:
            with anyio.move_on_after(POLL_INTERVAL.total_seconds()):
                await self._check_requested.wait()
            is_requested = self._check_requested.is_set()
            if is_requested:
                self._check_requested = anyio.Event()
            self.check(is_requested)

    def check(self, is_requested: bool = False) -> None:
        """Reload the file if its content has changed.

        If the new settings are invalid, the findings are logged and the
        current settings stay in force.

        :param is_requested: whether the check was requested by SIGHUP instead
            of being a poll; it is then logged if the file is unchanged.
        """
        content = self._read_bytes()
        if content is not None and content != self._last_content:
            self._last_content = content
            self._reload()
        elif is_requested:
            self._log.write('settings_unchanged')

    def _reload(self) -> None:
        match self._read_settings(self._path):
            case Result(tag='ok', ok=settings):
                if settings != self._current:
                    self._current = settings
                    self._on_change(settings)
            case Result(error=findings):
                self._log.write(
                    'settings_invalid',
                    findings=format_findings(findings),
                )

    def _read_bytes(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            self._log.write('settings_unreadable', error=str(error))
            return None
