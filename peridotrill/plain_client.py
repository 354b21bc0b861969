"""HTTP client for a plain service."""

from contextlib import AbstractAsyncContextManager
from typing import final

import httpx

from peridotrill.messages import StartAttempt
from peridotrill.target_client import (
    NullTokenCounter,
    TargetLoad,
    get_load,
    open_response,
)


@final
class PlainClient:
    """Sends requests to a plain service on the same VM."""

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

    def open(
        self,
        start: StartAttempt,
    ) -> AbstractAsyncContextManager[httpx.Response]:
        """Send a request; raises the errors of ``open_response``."""
        headers = {'X-Attempt-Id': start.attempt_id}
        return open_response(self._http, start, headers)

    def create_counter(self, content_type: str) -> NullTokenCounter:
        """Return a counter that counts nothing."""
        return NullTokenCounter()

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing; closing the connection is the only way to cancel."""

    async def load(self) -> TargetLoad:
        """Return the load; not ready if the service does not respond."""
        return await get_load(self._control)

    async def cached_prefixes(self) -> list[int]:
        """Return an empty list, since a plain service caches no prompts."""
        return []
