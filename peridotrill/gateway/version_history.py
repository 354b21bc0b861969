"""Which software versions of a service may have written its streams.

A stream whose origin is not known can only go on if no second version can have
begun it. The targets registered now do not prove that: a version may have left
just before, also while this gateway was down.
"""

import math
from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.gateway.stream_origins import STREAM_LIFETIME

_LIFETIME_S: Final = STREAM_LIFETIME.total_seconds()


@final
class VersionHistory:
    """Software versions by service, with the time they were last registered."""

    def __init__(self, clock: Clock, is_complete: bool) -> None:
        """:param is_complete: whether no version has served before this process
        started; otherwise the archive in the store must be read first.
        """
        self._clock = clock
        self._seen_s: dict[str, dict[str, float]] = {}
        self.is_complete = is_complete
        self._complete_from_s = -math.inf

    def see(self, service: str, version: str) -> None:
        """Record that a target of a service runs a version now."""
        versions = self._seen_s.setdefault(service, {})
        versions[version] = self._clock.monotonic_s()

    def recent(self, service: str) -> set[str]:
        """Return the versions of a service within the lifetime of a stream."""
        since_s = self._clock.monotonic_s() - _LIFETIME_S
        versions = self._seen_s.get(service, {})
        return {name for name, seen_s in versions.items() if seen_s >= since_s}

    def is_mixed(self, service: str) -> bool:
        """Whether several versions may have written recent streams."""
        return len(self.recent(service)) > 1

    def services(self) -> list[str]:
        """Return the services with at least one version."""
        return list(self._seen_s)

    def sole_version(self, service: str) -> str | None:
        """Return the only version that can have written a stream, if known."""
        is_known = self._clock.monotonic_s() >= self._complete_from_s
        recent = self.recent(service)
        if not self.is_complete or not is_known or len(recent) != 1:
            return None
        return recent.copy().pop()

    def forget_archive(self) -> None:
        """Require the archive again: versions may have been missed."""
        self.is_complete = False

    def distrust(self) -> None:
        """Trust no archive for the lifetime of a stream: it may be too old."""
        self._complete_from_s = self._clock.monotonic_s() + _LIFETIME_S
