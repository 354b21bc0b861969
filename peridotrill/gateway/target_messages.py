"""Messages exchanged with targets, independent of the platform."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from peridotrill.gateway.caller_server import RawRequest
from peridotrill.gateway.requests import CallerRequest, Headers
from peridotrill.gateway.target_connections import Match, ResponseHead
from peridotrill.gateway.targets import TargetRole


class RequestOptions(NamedTuple):
    """Options that the gateway adds to a forwarded request.

    ``kv_source`` is ``IP:PORT/HANDLE`` of a prompt that was prefilled at
    another engine, ``kv_fetch`` is ``IP:PORT`` of an engine that may have
    parts of the prompt in its KV cache. ``max_events`` is not sent: no stream
    that is asked for has more events.
    """

    target_id: str
    team: str | None
    wait_ms: float
    priority: int | None = None
    role: TargetRole | None = None
    kv_source: str | None = None
    kv_fetch: str | None = None
    resume_after: bytes | None = None
    max_events: int = 0


class TargetLoad(NamedTuple):
    """Load that a target reported in a response.

    ``slowness`` is how long work takes on its machine at the moment, relative to
    the usual time; None if the target does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class TargetResponse(NamedTuple):
    """A decoded response head and what it proves.

    ``is_verified`` means that the response comes from a target, and that its
    status makes no unproven claim that the request did not run. ``not_run``
    means that the target did not run the request, ``is_wrong_target`` that
    the address now belongs to another target. ``limit_per_s`` is the number of
    requests per second that the target accepts from all gateways together, and
    ``is_leaving`` means that the target is about to end. For ``pause_s`` a
    target that has turned a request away wants no others. ``cold_left_ms`` is
    how much longer the target is cold, None if it does not say.
    ``is_load_malformed`` means that its load cannot be read.
    """

    status: int
    headers: Headers
    is_verified: bool
    not_run: bool
    is_wrong_target: bool
    load: TargetLoad | None
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    cold_left_ms: float | None = None
    is_load_malformed: bool = False


class PrefilledPrompt(NamedTuple):
    """A prompt that an engine has prefilled and keeps under ``handle``."""

    handle: str
    tokens: int


class WireCodec(Protocol):
    """Encodes and decodes the messages of a platform."""

    @property
    def decode_request(self) -> Callable[[RawRequest], CallerRequest | None]:
        """Decode a request; None if its head is malformed."""

    @property
    def format_target_request(
        self,
    ) -> Callable[[CallerRequest, RequestOptions], tuple[bytes, Headers]]:
        """Return the request line and the headers for a target."""

    @property
    def matches_request(self) -> Callable[[str, ResponseHead], Match]:
        """Tell whether a response belongs to a request."""

    @property
    def decode_response_head(self) -> Callable[[ResponseHead], TargetResponse]:
        """Decode a response head."""

    @property
    def decode_prefilled(self) -> Callable[[bytes], PrefilledPrompt]:
        """Decode the response to a prefill; raises CodecError."""

    @property
    def format_report_call(
        self,
    ) -> Callable[[str], tuple[bytes, bytes, Headers]]:
        """Return method, path and headers of the call for an engine's report."""

    @property
    def decode_start_time(self) -> Callable[[bytes], int]:
        """Return the start time that a report names; raises CodecError."""

    @property
    def decode_events_made(self) -> Callable[[bytes, str], int]:
        """Return how many events of a request a report names.

        Raises CodecError.
        """

    @property
    def format_release(self) -> Callable[[str], tuple[bytes, bytes]]:
        """Return method and path of the call that releases a prompt."""
