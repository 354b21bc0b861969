"""Notices changes of the settings file, with or without a signal."""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Final, Generic, TypeVar, final

import anyio
from expression import Result

from peridotrill.findings import Finding, format_findings
from peridotrill.gateway.event_log import EventSink

# The file is small and read from memory; a change without a signal is in
# force after this time.
POLL_INTERVAL: Final = timedelta(seconds=1)

Settings = TypeVar('Settings')


@final
class SettingsWatcher(Generic[Settings]):
    """Reads the settings file again when its bytes have changed."""

    def __init__(
        self,
        path: Path,
        read: Callable[[Path], Result[Settings, list[Finding]]],
        current: Settings,
        on_change: Callable[[Settings], None],
        log: EventSink,
    ) -> None:
        """:param read: decodes and checks the file.

        :param known: settings that are in force.
        :param on_change: called with settings that differ from the last.
        """
        self._path = path
        self._read = read
        self._current = current
        self._on_change = on_change
        self._log = log
        # The file may have changed since the known settings were read.
        self._last_content: bytes | None = None
        self._check_requested = anyio.Event()

    def check_now(self) -> None:
        """Look at the file without waiting, after a signal."""
        self._check_requested.set()

    async def run(self) -> None:
        """Look at the file for as long as the process runs."""
        while True:
            with anyio.move_on_after(POLL_INTERVAL.total_seconds()):
                await self._check_requested.wait()
            is_requested = self._check_requested.is_set()
            if is_requested:
                self._check_requested = anyio.Event()
            self.check(is_requested)

    def check(self, is_requested: bool = False) -> None:
        """Read the file if its bytes have changed; log what was done.

        Settings that are invalid leave those before in force.
        """
        content = self._read_bytes()
        if content is not None and content != self._last_content:
            self._last_content = content
            self._reload()
        elif is_requested:
            self._log.write('settings_unchanged')

    def _reload(self) -> None:
        match self._read(self._path):
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
