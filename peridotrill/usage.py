"""Counts usage per window, writes it to the log and reports it once."""

from collections import deque
from datetime import timedelta
from typing import Any, Final, NamedTuple, Protocol, final

import anyio
import httpx

from peridotrill.control_state import ControlState
from peridotrill.exceptions import AppendOutcomeUnknown, LogError
from peridotrill.leases import Appender, Lease
from peridotrill.records import UsageAcknowledged, UsageClosed, UsageCounted
from peridotrill.timeline import Recorder
from peridotrill.usage_windows import NO_USAGE, UsageFigure, UsageWindow

REPORT_TIMEOUT: Final = timedelta(seconds=2)
_TICK_INTERVAL: Final = timedelta(milliseconds=500)


class UsageSettings(NamedTuple):
    """Interval of usage records, window length, and delay before closing."""

    flush: timedelta
    window: timedelta
    grace: timedelta


class PlatformTime(Protocol):
    """Source of the platform time."""

    def platform_time_s(self) -> float | None:
        """Return the time in seconds, or None while it is unknown."""


@final
class UsageCounter:
    """Counts the usage of this process until it is known to be in the log."""

    def __init__(
        self,
        entry_id: str,
        incarnation: str,
        window: timedelta,
        time: PlatformTime,
    ) -> None:
        """:param time: determines the window of a count."""
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._window_s = int(window.total_seconds())
        self._time = time
        self._counts: dict[int, dict[str, UsageFigure]] = {}
        self._undated_counts: list[tuple[str, UsageFigure]] = []
        self._records: deque[UsageCounted] = deque()
        self._sequence = 0

    def count(
        self,
        team: str,
        requests: int,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Count usage of a team in the current window.

        :param team: empty for open routes, which are not counted.
        """
        if not team:
            return
        figure = UsageFigure(requests, prompt_tokens, output_tokens)
        now_s = self._time.platform_time_s()
        if now_s is None:
            self._undated_counts.append((team, figure))
        else:
            self._add(now_s, team, figure)

    def next_record(self) -> UsageCounted | None:
        """Return the record to append next, or None.

        It stays the same until ``confirm``, because an append whose response
        was lost may have taken effect.
        """
        if not self._records:
            self._build_records()
        return self._records[0] if self._records else None

    def confirm(self) -> None:
        """Record that the record of ``next_record`` is in the log."""
        self._records.popleft()

    @property
    def is_written(self) -> bool:
        """Tell whether all counts are known to be in the log."""
        return not (self._counts or self._undated_counts or self._records)

    def _build_records(self) -> None:
        now_s = self._time.platform_time_s()
        if now_s is not None:
            for team, figure in self._undated_counts:
                self._add(now_s, team, figure)
            self._undated_counts.clear()
        counts, self._counts = self._counts, {}
        for start_s, figures in sorted(counts.items()):
            self._sequence += 1
            record = UsageCounted(
                kind='usage_counted',
                entry_id=self._entry_id,
                incarnation=self._incarnation,
                window_start_s=start_s,
                sequence=self._sequence,
                counts={name: list(used) for name, used in figures.items()},
            )
            self._records.append(record)

    def _add(self, now_s: float, team: str, figure: UsageFigure) -> None:
        start_s = int(now_s // self._window_s) * self._window_s
        counts = self._counts.setdefault(start_s, {})
        counts[team] = counts.get(team, NO_USAGE).plus(figure)


async def flush_usage(
    counter: UsageCounter,
    log: Appender,
    recorder: Recorder,
) -> bool:
    """Append all counts that are not yet in the log.

    :return: False if an append failed; the next call retries the rest.
    """
    record = counter.next_record()
    while record is not None:
        try:
            await log.append(record)
        except LogError as error:
            recorder.emit('usage_flush_failed', detail=str(error))
            return False
        counter.confirm()
        record = counter.next_record()
    return True


@final
class UsageReporter:
    """Closes windows and reports their figures while holding the lease."""

    def __init__(  # noqa: WPS211
        self,
        url: str,
        http: httpx.AsyncClient,
        log: Appender,
        lease: Lease,
        state: ControlState,
        time: PlatformTime,
        settings: UsageSettings,
        recorder: Recorder,
        sender: str,
    ) -> None:
        """:param url: base URL of the platform.

        :param sender: identifies this process to the platform.
        """
        self._url = url
        self._sender = sender
        self._http = http
        self._log = log
        self._lease = lease
        self._state = state
        self._time = time
        self._window_s = int(settings.window.total_seconds())
        self._grace_s = settings.grace.total_seconds()
        self._recorder = recorder

    async def run(self) -> None:
        """Close and report windows until cancelled."""
        while True:
            await self.run_once()
            await anyio.sleep(_TICK_INTERVAL.total_seconds())

    async def run_once(self) -> None:
        """Close due windows and report figures that are not acknowledged."""
        if not self._lease.is_held(REPORT_TIMEOUT):
            return
        for start_s in self._due_windows():
            await self._append(
                UsageClosed(
                    kind='usage_closed',
                    window_start_s=start_s,
                    window_end_s=start_s + self._window_s,
                    epoch=self._lease.epoch,
                ),
            )
        for window in list(self._state.usage.windows.values()):
            if window.state == 'closed':
                await self._report(window)

    def _due_windows(self) -> list[int]:
        now_s = self._time.platform_time_s()
        if now_s is None:
            return []
        latest_s = now_s - self._grace_s - self._window_s
        windows = self._state.usage.windows
        due = [
            start_s
            for start_s, window in sorted(windows.items())
            if window.state == 'open' and start_s <= latest_s
        ]
        if self._state.usage.carried and not due:
            start_s = int(latest_s // self._window_s) * self._window_s
            if start_s not in windows:
                due.append(start_s)
        return due

    async def _report(self, window: UsageWindow) -> None:
        accepted: list[str] = []
        conflicts: list[str] = []
        for team in sorted(window.unacknowledged):
            if not self._lease.is_held(REPORT_TIMEOUT):
                break
            status = await self._send(window, team)
            if status == httpx.codes.OK:
                accepted.append(team)
            elif status == httpx.codes.CONFLICT:
                conflicts.append(team)
                self._recorder.emit(
                    'usage_conflict',
                    team=team,
                    window_start_s=window.start_s,
                )
        if accepted or conflicts:
            await self._append(
                UsageAcknowledged(
                    kind='usage_acknowledged',
                    window_start_s=window.start_s,
                    teams=accepted,
                    conflicts=conflicts,
                ),
            )

    async def _send(self, window: UsageWindow, team: str) -> int:
        timeout_s = REPORT_TIMEOUT.total_seconds()
        try:
            # The timeouts of the HTTP client apply to each step of a request;
            # without this one, the request could outlast the lease margin.
            with anyio.fail_after(timeout_s):
                response = await self._post(window, team, timeout_s)
        except (httpx.TransportError, TimeoutError) as error:
            self._recorder.emit('usage_report_failed', detail=repr(error))
            return 0
        self._recorder.emit(
            'usage_reported',
            team=team,
            window_start_s=window.start_s,
            status=response.status_code,
        )
        return response.status_code

    async def _post(
        self,
        window: UsageWindow,
        team: str,
        timeout_s: float,
    ) -> httpx.Response:
        return await self._http.post(
            f'{self._url}/usage',
            json={
                'team': team,
                'window_start_s': window.start_s,
                'window_end_s': window.end_s,
                'epoch': self._lease.epoch,
                **window.figures[team]._asdict(),
            },
            headers={'X-Sender': self._sender},
            timeout=timeout_s,
        )

    async def _append(self, record: Any) -> None:
        try:
            await self._log.append(record)
        except AppendOutcomeUnknown:
            # The follower will read the record if it was appended; appending it
            # twice has no effect.
            return
        except LogError as error:
            self._recorder.emit('usage_append_failed', detail=str(error))
