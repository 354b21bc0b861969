"""HTTP client for a model engine."""

from contextlib import AbstractAsyncContextManager
from typing import Final, final

import httpx
import msgspec

from peridotrill.messages import StartAttempt
from peridotrill.target_client import (
    TargetLoad,
    get_json,
    get_load,
    open_response,
)
from peridotrill.token_counter import TokenCounter

_CANCEL_TIMEOUT_S: Final = 2.0
# Only the newest prefixes are reported, since a report that is sent up to four
# times a second must stay small.
MAX_CACHED_PREFIXES: Final = 128
# Highest number in a service file, for the least urgent service.
MAX_SERVICE_PRIORITY: Final = 9


class _CacheEvent(msgspec.Struct):
    kind: str
    prefix: int


class _CachePage(msgspec.Struct):
    events: list[_CacheEvent] = []
    next: int = 0


def engine_priority(priority: int) -> int:
    """Convert a priority to the scale of engines, where the highest is first.

    :param priority: priority in a service file, where 0 is the most urgent.
    """
    return max(0, MAX_SERVICE_PRIORITY - priority)


@final
class EngineClient:
    """Sends requests to an engine on the same VM and polls its cache events."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        control: httpx.AsyncClient,
    ) -> None:
        """Initialize the client.

        :param http: client that opens a connection for each request.
        :param control: client that keeps connections, for control calls.
        """
        self._http = http
        self._control = control
        self._next_cache_event = 0
        self._prefixes: dict[int, None] = {}

    def open(
        self,
        start: StartAttempt,
    ) -> AbstractAsyncContextManager[httpx.Response]:
        """Send a request; raises the errors of ``open_response``."""
        headers = {
            'X-Attempt-Id': start.attempt_id,
            'X-Priority': str(engine_priority(start.priority)),
        }
        if start.resume_position:
            headers['X-Resume-Tokens'] = str(start.resume_position)
        return open_response(self._http, start, headers)

    def create_counter(self, content_type: str) -> TokenCounter:
        """Return a token counter for a response.

        :param content_type: content type of the response.
        """
        return TokenCounter(content_type)

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt at the engine.

        Failures are ignored, since the attempt has already ended here.
        """
        try:
            await self._control.post(
                f'/attempts/{attempt_id}/cancel',
                timeout=_CANCEL_TIMEOUT_S,
            )
        except httpx.HTTPError:
            return

    async def load(self) -> TargetLoad:
        """Return the load; not ready if the engine does not respond."""
        return await get_load(self._control)

    async def cached_prefixes(self) -> list[int]:
        """Read new cache events and return the newest cached prefixes."""
        document = await get_json(
            self._control,
            f'/cache-events?from={self._next_cache_event}',
        )
        try:
            page = msgspec.convert(document, _CachePage)
        except msgspec.ValidationError:
            return list(self._prefixes)
        for event in page.events:
            self._apply_cache_event(event)
        self._next_cache_event = page.next or self._next_cache_event
        while len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.pop(next(iter(self._prefixes)))
        return list(self._prefixes)

    def _apply_cache_event(self, event: _CacheEvent) -> None:
        self._prefixes.pop(event.prefix, None)
        if event.kind == 'stored':
            self._prefixes[event.prefix] = None
