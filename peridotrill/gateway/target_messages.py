"""What the gateway tells a target with a request, and what it learns."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from peridotrill.gateway.caller_server import RawRequest
from peridotrill.gateway.requests import CallerRequest, Headers
from peridotrill.gateway.target_connections import ResponseHead
from peridotrill.gateway.targets import TargetRole


class RequestOptions(NamedTuple):
    """What the gateway adds to a request that it passes on.

    ``kv_source`` is ``IP:PORT/HANDLE`` of a prompt that was read elsewhere,
    ``kv_fetch`` is ``IP:PORT`` of an engine that may keep parts of it.
    """

    target_id: str
    team: str | None
    wait_ms: float
    priority: int | None = None
    role: TargetRole | None = None
    kv_source: str | None = None
    kv_fetch: str | None = None
    resume_after: bytes | None = None


class TargetLoad(NamedTuple):
    """Load that a target reported with a response."""

    running: int
    waiting: int
    slots: int


class TargetResponse(NamedTuple):
    """What the head of a response proves.

    ``is_genuine`` tells that a target answered, and that its status says
    nothing of the run that it does not prove; ``not_run`` that it did not
    work on the request, ``is_other_target`` that the address now belongs to
    another target.
    """

    status: int
    headers: Headers
    is_verified: bool
    not_run: bool
    is_wrong_target: bool
    load: TargetLoad | None


class PrefilledPrompt(NamedTuple):
    """A prompt that an engine has read and keeps under ``handle``."""

    handle: str
    tokens: int


class WireCodec(Protocol):
    """Decodes and writes the messages of a platform."""

    @property
    def decode_request(self) -> Callable[[RawRequest], CallerRequest | None]:
        """Decode a request; None if its head is not usable."""

    @property
    def format_target_request(
        self,
    ) -> Callable[[CallerRequest, RequestOptions], tuple[bytes, Headers]]:
        """Return request line and headers for a target."""

    @property
    def matches_request(self) -> Callable[[str, ResponseHead], bool]:
        """Tell whether a response belongs to a request."""

    @property
    def decode_response_head(self) -> Callable[[ResponseHead], TargetResponse]:
        """Decode the head of a response."""

    @property
    def decode_prefilled(self) -> Callable[[bytes], PrefilledPrompt]:
        """Decode the answer to a prefill; raises CodecError."""

    @property
    def format_release(self) -> Callable[[str], tuple[bytes, bytes]]:
        """Return method and path of the call that frees a prompt."""
