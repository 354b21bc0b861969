"""Remembers which software version of which service began each stream.

A stream may only go on at the version that began it. Callers take streams up at
any gateway, so the gateways tell each other of each stream that has begun.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from datetime import timedelta
from itertools import islice, takewhile
from typing import Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock

# Longer than any stream lasts, with the attempts of its caller.
STREAM_LIFETIME: Final = timedelta(seconds=30)
# Limits the memory to about 20 MB.
_MAX_STREAMS: Final = 60_000
# Limits the size of a report; the other streams follow in the next ones.
_MAX_REPORTED_STREAMS: Final = 250
# Rows of a message to a new process; keeps each datagram within 8 KiB.
_STREAMS_PER_MESSAGE: Final = 600
# Limits the traffic for a restart in a large fleet to 20 datagrams.
_MAX_LISTED_STREAMS: Final = 20 * _STREAMS_PER_MESSAGE
_DIGEST_BYTES: Final = 8
# Interval in which a wait for a report checks whether it has arrived.
_POLL_INTERVAL_S: Final = 0.02


# Version of a stream whose process could not be identified. No target has it, so
# the stream does not go on at another one.
UNKNOWN_VERSION: Final = ''


class StreamOrigin(NamedTuple):
    """The service and the software version that began a stream."""

    service: str
    version: str


class BegunStreams(NamedTuple):
    """Streams with the same origin, by the digests of their requests."""

    service: str
    version: str
    digests: tuple[int, ...]


def digest_request(team: str, request_id: str) -> int:
    """Return a digest of the request that a stream began with.

    :param team: name of the team that sent it; empty if there is none.
    """
    content = f'{len(team)}:{team}{request_id}'.encode()
    found = hashlib.blake2b(content, digest_size=_DIGEST_BYTES)
    return int.from_bytes(found.digest())


class StreamEntry(NamedTuple):
    """An origin; None if streams with two origins have the same digest.

    ``recorded_s`` is the monotonic time at which this gateway learned of it.
    """

    origin: StreamOrigin | None
    recorded_s: float


@final
class StreamOrigins:
    """Origins of the streams of all gateways, for a limited time."""

    def __init__(self, clock: Clock) -> None:
        """Start without streams."""
        self._clock = clock
        # The oldest entry first.
        self._entries: OrderedDict[int, StreamEntry] = OrderedDict()
        # Streams of this gateway that have not been reported yet, and those of
        # the last report, which are repeated: datagrams may be lost.
        self._unreported: dict[int, StreamOrigin] = {}
        self._reported: list[tuple[int, StreamOrigin]] = []

    def record(self, digest: int, origin: StreamOrigin) -> None:
        """Record a stream that has begun at this gateway."""
        self._unreported[digest] = origin
        self._add(digest, origin)

    def find(self, digest: int) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
        entry = self._entries.get(digest)
        return None if entry is None else entry.origin

    async def wait_for(
        self, digest: int, timeout: timedelta
    ) -> StreamOrigin | None:
        """Return the origin once a peer has reported it; None if none does."""
        with anyio.move_on_after(timeout.total_seconds()):
            while self.find(digest) is None:
                await anyio.sleep(_POLL_INTERVAL_S)
        return self.find(digest)

    def observe_peer(self, streams: Iterable[BegunStreams]) -> None:
        """Apply the streams that another gateway has reported."""
        for row in streams:
            origin = StreamOrigin(row.service, row.version)
            for digest in row.digests:
                self._add(digest, origin)

    def take_report_entries(self) -> list[BegunStreams]:
        """Return the streams for the next report."""
        taken = list(islice(self._unreported.items(), _MAX_REPORTED_STREAMS))
        for digest, _ in taken:
            self._unreported.pop(digest)
        repeated, self._reported = self._reported, taken
        return group_by_origin([*repeated, *taken])

    def recorded_since(
        self, since_s: float
    ) -> Iterator[tuple[int, StreamEntry]]:
        """Return the streams that were recorded since a time, newest first."""
        return takewhile(
            lambda row: row[1].recorded_s >= since_s,
            reversed(self._entries.items()),
        )

    def listing(self) -> list[list[BegunStreams]]:
        """Return the newest streams, in parts for one message each."""
        newest = [
            (digest, entry.origin)
            for digest, entry in islice(
                reversed(self._entries.items()), _MAX_LISTED_STREAMS
            )
            if entry.origin is not None
        ]
        return [
            group_by_origin(newest[start : start + _STREAMS_PER_MESSAGE])
            for start in range(0, len(newest), _STREAMS_PER_MESSAGE)
        ]

    def _add(self, digest: int, origin: StreamOrigin) -> None:
        now_s = self._clock.monotonic_s()
        self._drop_expired(now_s)
        known = self._entries.get(digest)
        if known is None:
            self._entries[digest] = StreamEntry(origin, now_s)
        elif known.origin != origin:
            self._entries[digest] = known._replace(origin=None)

    def _drop_expired(self, now_s: float) -> None:
        since_s = now_s - STREAM_LIFETIME.total_seconds()
        while self._entries:
            oldest = next(iter(self._entries.values()))
            is_full = len(self._entries) >= _MAX_STREAMS
            if oldest.recorded_s >= since_s and not is_full:
                return
            self._entries.popitem(last=False)


def group_by_origin(
    rows: Iterable[tuple[int, StreamOrigin]],
) -> list[BegunStreams]:
    """Return streams, each with the digest of its request, by their origin."""
    digests: dict[StreamOrigin, list[int]] = {}
    for digest, origin in rows:
        digests.setdefault(origin, []).append(digest)
    return [
        BegunStreams(service, version, tuple(found))
        for (service, version), found in digests.items()
    ]
