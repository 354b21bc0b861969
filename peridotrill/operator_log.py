"""The log as the operator's program uses it: read to its end, append."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any, Final, final

import httpx

from peridotrill.clock import SystemClock
from peridotrill.control_state import ControlState
from peridotrill.exceptions import RecordError
from peridotrill.log_client import LogClient
from peridotrill.records import decode_record
from peridotrill.timeline import Recorder

# Above the time for which a read of the log waits for records.
_HTTP_TIMEOUT: Final = timedelta(seconds=10)


@final
class OperatorLog:
    """A log client and the state folded from all records."""

    def __init__(self, client: LogClient) -> None:
        """:param client: of the platform's log."""
        self.state = ControlState()
        self._client = client

    async def append(self, record: Any) -> int:
        """Append a record.

        :return: its offset; raises LogUnavailable or AppendUnknown.
        """
        return await self._client.append(record)

    async def refresh(self, wait: timedelta) -> None:
        """Apply all new records.

        :param wait: how long to wait if there are none. Raises LogError.
        """
        page = await self._client.read(self.state.offset + 1, wait)
        while page.records:
            for row in page.records:
                record = _decode(row.payload)
                self.state.apply(row.offset, record, row.appended_at_s)
            page = await self._client.read(
                self.state.offset + 1,
                timedelta(0),
            )


def _decode(payload: bytes) -> Any:
    # The state counts a malformed record, as every other reader does.
    try:
        return decode_record(payload)
    except RecordError:
        return None


@asynccontextmanager
async def connect(platform_url: str) -> AsyncIterator[OperatorLog]:
    """Open a connection to the platform's log.

    :param platform_url: without a final slash.
    """
    recorder = Recorder('operator', SystemClock())
    timeout_s = _HTTP_TIMEOUT.total_seconds()
    async with httpx.AsyncClient(timeout=timeout_s, trust_env=False) as http:
        yield OperatorLog(LogClient.from_config(platform_url, http, recorder))
