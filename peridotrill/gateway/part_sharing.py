"""Sends the locations of prompt parts to newly started gateway processes.

Without them, a restarted gateway overestimates the work of long prompts
several times, sends them to engines that lack their parts, and reports far
too high a prefill demand.
"""

from datetime import timedelta
from typing import Final, Protocol, final

import anyio

from peridotrill.clock import Clock
from peridotrill.exceptions import CodecError, TargetError
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.part_directory import PartDirectory, PartLocation
from peridotrill.gateway.peers import (
    PartListing,
    PeerExchange,
    is_listing_sender,
    rank_for_key,
)
from peridotrill.gateway.targets import TargetRecord

# Keeps each datagram within 8 KiB.
_PARTS_PER_MESSAGE: Final = 120
# Limits the traffic for a restart in a large fleet to 20 datagrams.
_MAX_LISTED_PARTS: Final = 2400
# A new process without a listing after this time queries the engines.
_ENGINE_QUERY_DELAY: Final = timedelta(seconds=0.8)


class PartsClient(Protocol):
    """Client for listing the cached parts of an engine."""

    async def list_parts(self, target: TargetRecord) -> list[PartLocation]:
        """Return the parts; raises TargetError, CodecError or TimeoutError."""


@final
class PartSharing:
    """Exchanges part locations with peers, and queries engines."""

    def __init__(  # noqa: WPS211
        self,
        node: str,
        parts: PartDirectory,
        peers: PeerExchange,
        cluster_state: ClusterState,
        client: PartsClient,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """:param node: name of the node of this gateway."""
        self._node = node
        self._parts = parts
        self._peers = peers
        self._cluster_state = cluster_state
        self._client = client
        self._clock = clock
        self._log = log
        self.has_received_listing = False
        peers.on_parts = self.handle_listing

    def send_listing(self, node: str) -> None:
        """Send a listing to a new process if selected as one of its senders."""
        if is_listing_sender(
            self._peers.active_members(),
            self._node,
            node,
        ):
            self._send(self._parts.listing(_MAX_LISTED_PARTS), node)

    def handle_listing(self, listing: PartListing) -> None:
        """Apply a listing from another gateway."""
        self.has_received_listing = True
        self._parts.observe_peer(listing.parts)

    async def ask_engines(self) -> None:
        """Query the engines if no listing arrives from another gateway.

        After a restart of all gateways, each engine is queried by one
        gateway, which sends the result to the others.
        """
        delay_s = _ENGINE_QUERY_DELAY.total_seconds()
        await anyio.sleep(delay_s)
        # Evacuated zones are read together with the configuration.
        while self._cluster_state.configuration is None:
            await anyio.sleep(delay_s)
        if self.has_received_listing:
            return
        active_nodes = (
            *self._peers.active_members(),
            self._node,
        )
        for target in self._cluster_state.all_targets():
            name = target.target_id
            is_evacuated = target.zone in self._cluster_state.evacuations
            if (
                target.role is not None
                and not is_evacuated
                and self._node in rank_for_key(active_nodes, name, 1)
            ):
                await self._query_engine(target)

    async def _query_engine(self, target: TargetRecord) -> None:
        try:
            parts = await self._client.list_parts(target)
        except (TargetError, CodecError, TimeoutError) as error:
            self._log.write(
                'parts_not_listed',
                target=target.target_id,
                error=repr(error),
            )
            return
        self._log.write(
            'parts_listed',
            target=target.target_id,
            parts=len(parts),
        )
        self._parts.observe_peer(parts)
        self._send(parts, None)

    def _send(self, parts: list[PartLocation], node: str | None) -> None:
        for start in range(0, len(parts), _PARTS_PER_MESSAGE):
            rows = parts[start : start + _PARTS_PER_MESSAGE]
            self._peers.send(PartListing(self._node, rows), node)
