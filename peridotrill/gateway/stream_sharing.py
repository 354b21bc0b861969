"""Sends the origins of streams to newly started gateway processes.

A caller may take a stream up at the gateway that served it, after that one was
killed and has started again.
"""

from typing import final

from peridotrill.gateway.peers import (
    PeerExchange,
    StreamListing,
    is_listing_sender,
)
from peridotrill.gateway.stream_origins import StreamOrigins


@final
class StreamSharing:
    """Exchanges the origins of streams with other gateways."""

    def __init__(
        self, node: str, origins: StreamOrigins, peers: PeerExchange
    ) -> None:
        """:param node: name of the node of this gateway."""
        self._node = node
        self._origins = origins
        self._peers = peers
        peers.on_streams = self.handle_listing

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
