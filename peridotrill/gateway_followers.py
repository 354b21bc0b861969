"""Tasks of ``peridotrill-gateway`` that follow the platform's store."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final, final

import anyio

from peridotrill.clock import Clock
from peridotrill.exceptions import AppendOutcomeUnknown, LogUnavailable
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.metrics import UNREADABLE
from peridotrill.gateway.peers import PeerExchange
from peridotrill.gateway.report_timing import report_interval_s
from peridotrill.gateway.store_follower import (
    Decoders,
    PollTimings,
    RecordApplier,
    TopicFollower,
)
from peridotrill.platform import names
from peridotrill.platform.configuration import (
    decode_configuration,
    decode_evacuated_zone,
)
from peridotrill.platform.node_settings import NodeSettings
from peridotrill.platform.store import StoreClient
from peridotrill.platform.target_records import decode_target
from peridotrill.platform.topics import KeyedTopic
from peridotrill.settings import Address, parse_address

# How long the store holds a read without new records. In normal operation the
# configuration is never older than twice this time.
_CONFIG_WAIT: Final = timedelta(seconds=1.2)
# Pause between two reads, as a ratio of the time for which a draining target
# still serves. Targets write often; reading in batches saves calls.
_TARGETS_PAUSE_RATIO: Final = 0.3
# Maximum time for which the store holds a read of target records, as a ratio of
# the same time: a held read may miss a target that leaves. With the pause and the
# time for which a removed target is still used, it is below 1.
_TARGETS_WAIT_RATIO: Final = 0.15
# A configuration must apply soon after it is written.
_NO_PAUSE: Final = timedelta(0)
# Delay between attempts to exchange addresses with an unreachable store; the
# exchange has to succeed only once.
_MEMBER_RETRY_S: Final = 0.5
# Time until the first report of this process is sent and has arrived.
_JOIN_MARGIN: Final = timedelta(seconds=0.2)
# Interval in which a starting gateway checks whether all peers have reported.
_PEER_CHECK_S: Final = 0.02
# A gateway that cannot exchange addresses serves without knowing its peers
# after this time.
_MAX_JOIN_TIME: Final = timedelta(seconds=3)


@final
class StoreFollowers:
    """Reads configuration, targets and members from the store."""

    def __init__(
        self,
        node: NodeSettings,
        store: StoreClient,
        cluster_state: ClusterState,
        peers: PeerExchange,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """:param cluster_state: view of the cluster to update.

        :param peers: receives the addresses of the other gateways.
        """
        self._node = node
        self._store = store
        self._cluster_state = cluster_state
        self._peers = peers
        self._log = log
        # Generation of the store that holds the address of this gateway.
        self._joined_generation: int | None = None
        drain = timedelta(milliseconds=node.bounds.drain_ms)
        self._configuration = self._follower(
            names.CONFIG_TOPIC,
            PollTimings(_CONFIG_WAIT, _NO_PAUSE),
            clock,
        )
        self._targets = self._follower(
            names.SERVERS_TOPIC,
            PollTimings(
                drain * _TARGETS_WAIT_RATIO, drain * _TARGETS_PAUSE_RATIO
            ),
            clock,
        )
        self._applier = RecordApplier(
            cluster_state,
            Decoders(
                names.CONFIG_KEY,
                decode_configuration,
                decode_target,
                decode_evacuated_zone,
            ),
            log,
        )

    async def refresh_targets(self) -> None:
        """Read the target records now instead of after the pause."""
        await self._targets.refresh()

    async def confirm_targets(self, since_s: float) -> None:
        """Wait until all target records written before a time are applied.

        :param since_s: a monotonic time that has passed.
        """
        await self._targets.confirm(since_s)
        self._cluster_state.confirm_targets(since_s)

    async def follow_configuration(self) -> None:
        """Follow the configuration until cancelled."""
        await self._configuration.run(
            self._applier.apply_configuration_snapshot,
            self._applier.apply_configuration_row,
            self._cluster_state.confirm_configuration,
        )

    async def follow_targets(self) -> None:
        """Follow the target records until cancelled."""
        await self._targets.run(
            self._applier.apply_target_snapshot,
            self._applier.apply_target_row,
            self._cluster_state.confirm_targets,
        )

    async def join_members(self) -> None:
        """Exchange addresses with the other gateways through the store.

        A restore of the store may lose addresses, which are written again.
        """
        if not self._node.is_first_start:
            self._cluster_state.settle_within(_MAX_JOIN_TIME)
        topic = self.open_topic(names.MEMBERS_TOPIC)
        while not await self._exchange_addresses(topic):
            await anyio.sleep(_MEMBER_RETRY_S)
        await self._wait_for_peers()
        while True:
            await anyio.sleep(_MEMBER_RETRY_S)
            if self._joined_generation != topic.generation:
                await self._exchange_addresses(topic)

    async def _exchange_addresses(self, topic: KeyedTopic) -> bool:
        """Write the own address, then read all; return whether both worked.

        All are read also if the write failed: a store may accept no records.
        """
        has_written = await self._write_address(topic)
        try:
            page = await topic.newest()
        except LogUnavailable as error:
            self._log.write('join_failed', error=str(error))
            return False
        for node, address in page.rows:
            if address:
                self._add_member(node, address)
        self._peers.are_members_read = True
        return has_written

    async def _write_address(self, topic: KeyedTopic) -> bool:
        """Write the own address unless the store has it; return success."""
        if self._joined_generation == topic.generation:
            return True
        own = Address(self._node.ip, self._node.peer_port)
        try:
            self._joined_generation = await topic.put(
                self._node.node, str(own).encode()
            )
        except (AppendOutcomeUnknown, LogUnavailable) as error:
            self._log.write('join_failed', error=str(error))
            return False
        return True

    async def _wait_for_peers(self) -> None:
        """Wait until all peers that run have reported, then settle.

        Peers learn of this process by its first report and answer with their
        next one.
        """
        interval_s = report_interval_s(len(self._peers.members))
        with anyio.move_on_after(_JOIN_MARGIN.total_seconds() + interval_s):
            while not self._peers.has_heard_all:
                await anyio.sleep(_PEER_CHECK_S)
        self._cluster_state.settle_within(timedelta(0))

    def _add_member(self, node: str, address: bytes) -> None:
        try:
            self._peers.add_member(node, parse_address(address.decode()))
        except ValueError as error:
            self._log.write('member_unreadable', node=node, error=str(error))

    def _follower(
        self,
        topic: str,
        timings: PollTimings,
        clock: Clock,
    ) -> TopicFollower:
        return TopicFollower(
            topic,
            self.open_topic(topic),
            timings,
            clock,
            self._log,
        )

    def open_topic(self, topic: str) -> KeyedTopic:
        """Return a keyed topic that counts and logs unreadable records."""
        return KeyedTopic(
            self._store, topic, self._unreadable_record_handler(topic)
        )

    def _unreadable_record_handler(self, topic: str) -> Callable[[str], None]:
        def log_unreadable(error: str) -> None:  # noqa: WPS430
            UNREADABLE.labels(topic).inc()
            self._log.write('record_unreadable', topic=topic, error=error)

        return log_unreadable
