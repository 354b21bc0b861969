"""Client of a plain service."""

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
    """Calls a plain service on the same VM."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        control: httpx.AsyncClient,
    ) -> None:
        """:param http: opens a connection for each request.

        :param control: keeps connections, for control calls and idempotent
            requests.
        """
        self._http = http
        self._control = control

    def open(
        self,
        start: StartAttempt,
    ) -> AbstractAsyncContextManager[httpx.Response]:
        """Send a request.

        :param start: the request; errors as in ``open_answer``.
        """
        headers = {'X-Attempt-Id': start.attempt_id}
        return open_response(self._http, self._control, start, headers)

    def create_counter(self, content_type: str) -> NullTokenCounter:
        """Return a counter that counts nothing.

        :param content_type: of the answer.
        """
        return NullTokenCounter()

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing: closing the connection is all that can be done.

        :param attempt_id: of the call.
        """

    async def load(self) -> TargetLoad:
        """Return the load; not ready if the service does not answer."""
        return await get_load(self._control)

    async def cached_prefixes(self) -> list[int]:
        """Return an empty list."""
        return []
