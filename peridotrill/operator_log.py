"""Access of operator commands to the log: read to the end, and append."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any, Final, final

import httpx

from peridotrill.control_state import ControlState
from peridotrill.exceptions import RecordError, RecordsExpired
from peridotrill.log_client import LogClient, LogPage
from peridotrill.records import decode_record
from peridotrill.snapshots import SnapshotAssembler

_NO_WAIT: Final = timedelta(0)
# A read far beyond the end returns the bounds of the log immediately.
_BEYOND_END: Final = 2**53


@final
class OperatorLog:
    """A log client and the control state built from all records."""

    def __init__(self, client: LogClient) -> None:
        """:param client: client of the platform's log."""
        self.state = ControlState()
        self._client = client

    async def append(self, record: Any) -> int:
        """Append a record.

        :return: its offset; raises LogUnavailable or AppendOutcomeUnknown.
        """
        return await self._client.append(record)

    async def refresh(self, wait: timedelta) -> None:
        """Apply all new records.

        :param wait: maximum time to wait for the first new record. Raises
            LogError.
        """
        try:
            page = await self._read(wait)
        except RecordsExpired:
            await self._restore()
            page = await self._read(_NO_WAIT)
        while page.records:
            self._apply(page)
            page = await self._read(_NO_WAIT)

    async def _read(self, wait: timedelta) -> LogPage:
        return await self._client.read(self.state.offset + 1, wait)

    def _apply(self, page: LogPage) -> None:
        for row in page.records:
            record = _decode(row.payload)
            if record is None:
                self.state.skip(row.offset)
            else:
                self.state.apply(row.offset, record, row.appended_at_s)

    async def _restore(self) -> None:
        snapshots = SnapshotAssembler(self.state)
        bounds = await self._client.read(_BEYOND_END, _NO_WAIT)
        page = await self._client.read(bounds.first_offset, _NO_WAIT)
        while page.records:
            for row in page.records:
                record = _decode(row.payload)
                if record is not None:
                    snapshots.add(record)
            page = await self._client.read(page.next_offset, _NO_WAIT)
        if not snapshots.restore():
            raise RecordsExpired('the log has no complete snapshot')


def _decode(payload: bytes) -> Any:
    try:
        return decode_record(payload)
    except RecordError:
        return None


@asynccontextmanager
async def connect(platform_url: str) -> AsyncIterator[OperatorLog]:
    """Open a connection to the platform's log.

    :param platform_url: URL without a trailing slash.
    """
    async with httpx.AsyncClient(trust_env=False) as http:
        yield OperatorLog(LogClient.from_config(platform_url, http))
