"""Shares the origins of streams between gateway processes.

A caller may take a stream up at any gateway, as soon as the one that began it
was killed. While several versions or services may have written it, the origin of
a stream is therefore sent to a few holders before its caller gets the first
event; the next report, which tells all gateways, may come too late. Digests
spread the streams over the holders, so that the messages for a stream do not
grow with the fleet.
"""

from datetime import timedelta
from typing import Final, final

import anyio

from peridotrill.gateway.peers import (
    PeerExchange,
    StreamListing,
    StreamQuery,
    is_listing_sender,
    rank_for_key,
)
from peridotrill.gateway.stream_origins import (
    BegunStreams,
    StreamOrigin,
    StreamOrigins,
)
from peridotrill.gateway.version_history import VersionHistory

# Gateways that get the origin of a stream at once. Several may be lost together
# with the one that began it, and datagrams may be lost.
_HOLDERS: Final = 4
# Gateways that are asked for an origin. More than the holders, because their
# ranking differs while gateways come and go.
_ASKED_GATEWAYS: Final = 2 * _HOLDERS
# Interval in which a query is repeated; an answer takes a few milliseconds.
_QUERY_INTERVAL: Final = timedelta(milliseconds=80)


@final
class StreamSharing:
    """Exchanges the origins of streams with other gateways."""

    def __init__(
        self,
        node: str,
        origins: StreamOrigins,
        versions: VersionHistory,
        peers: PeerExchange,
    ) -> None:
        """:param node: name of the node of this gateway.

        :param versions: tells which services run several versions.
        """
        self._node = node
        self._origins = origins
        self._versions = versions
        self._peers = peers
        peers.on_streams = self.handle_listing
        peers.on_stream_query = self.handle_query

    def record(
        self, digest: int, origin: StreamOrigin, is_split: bool = False
    ) -> None:
        """Record a stream that begins here; its first event may follow.

        :param is_split: whether its route leads to several services.
        """
        self._origins.record(digest, origin)
        if is_split or self._versions.is_mixed(origin.service):
            streams = [BegunStreams(*origin, (digest,))]
            listing = StreamListing(self._node, streams)
            self._peers.send_each(listing, self._rank(digest, _HOLDERS))

    async def find(
        self, digest: int, timeout: timedelta
    ) -> StreamOrigin | None:
        """Return the origin of a stream, or None if no gateway knows it.

        :param timeout: time in which another gateway may learn of it.
        """
        with anyio.move_on_after(timeout.total_seconds()):
            while self._origins.find(digest) is None:
                self._peers.send_each(
                    StreamQuery(self._node, digest),
                    self._rank(digest, _ASKED_GATEWAYS),
                )
                await self._origins.wait_for(digest, _QUERY_INTERVAL)
        return self._origins.find(digest)

    def send_listing(self, node: str) -> None:
        """Send a listing to a new process if selected as one of its senders."""
        if is_listing_sender(
            self._peers.active_members(),
            self._node,
            node,
        ):
            for streams in self._origins.listing():
                self._peers.send(StreamListing(self._node, streams), node)

    def handle_listing(self, listing: StreamListing) -> None:
        """Apply a listing from another gateway."""
        self._origins.observe_peer(listing.streams)

    def handle_query(self, query: StreamQuery) -> None:
        """Answer another gateway if the stream is known here."""
        origin = self._origins.find(query.digest)
        if origin is not None:
            streams = [BegunStreams(*origin, (query.digest,))]
            self._peers.send(StreamListing(self._node, streams), query.node)

    def _rank(self, digest: int, count: int) -> list[str]:
        """Return the gateways that hold a stream, the first choice first."""
        members = self._peers.active_members() or list(self._peers.members)
        return rank_for_key(members, str(digest), count)
