"""Polls the VM list and maintains the links to the agents of targets."""

import hashlib
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from datetime import timedelta
from typing import Any, Final, NamedTuple, final

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from peridotrill.channel import MAX_QUEUED_EVENTS
from peridotrill.clock import Clock
from peridotrill.exceptions import LinkClosed
from peridotrill.forwarded_keys import ForwardedKeyTable, split_records
from peridotrill.inboxes import Inboxes
from peridotrill.link import AgentLink, LinkDown, LinkUp
from peridotrill.messages import (
    Draining,
    ForwardedKeys,
    Heartbeat,
    Hello,
    LoadReport,
)
from peridotrill.placement import Placement as HomePlacement
from peridotrill.registry import Registry
from peridotrill.routing import TargetView
from peridotrill.settings import Address, parse_address
from peridotrill.targets import TargetTable, parse_vms
from peridotrill.timeline import Recorder

POLL_INTERVAL: Final = timedelta(seconds=1)
# A long list is polled less often, which bounds the traffic. Targets that
# shut down announce it on their links.
POLL_BYTES_PER_S: Final = 4000
POLL_TIMEOUT: Final = timedelta(seconds=2)
MAX_POLL_BACK_OFF: Final = timedelta(seconds=10)

_handlers: Registry[type, Callable[['TargetLinks', str, Any], None]]
_handlers = Registry('link event')


class _LinkTask(NamedTuple):
    link: AgentLink
    address: str
    scope: anyio.CancelScope


@final
class PeerLogPosition:
    """The newest position in the log that agents have relayed from entries."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._echoed_at_s: float | None = None
        self.offset = 0

    def observe(self, heartbeat: Heartbeat) -> None:
        """Apply the log position in a heartbeat of an agent.

        A heartbeat can be queued while this process is paused. Its age is
        therefore measured from the clock that it echoes: the agent sent the
        heartbeat after it had received that clock from this process.
        """
        echoed_at_s = self._echoed_at_s or heartbeat.echo_clock_s
        self._echoed_at_s = max(echoed_at_s, heartbeat.echo_clock_s)
        self.offset = max(self.offset, heartbeat.log_offset)

    def age_s(self) -> float:
        """Return an upper bound of the age of the newest heartbeat.

        Infinite before the first heartbeat.
        """
        if self._echoed_at_s is None:
            return float('inf')
        return self._clock.monotonic_s() - self._echoed_at_s


def choose_subset(
    entry_id: str,
    views: list[TargetView],
    size: int,
) -> list[TargetView]:
    """Return the targets of a service to which an entry connects.

    They are chosen by rendezvous hashing: all targets have links to about
    the same number of entries, and a target that is removed affects only its
    own links.

    :param size: number of targets, 0 for all.
    """
    if not size or len(views) <= size:
        return views
    return sorted(
        views,
        key=lambda view: hashlib.sha256(
            f'{entry_id} {view.target_id}'.encode(),
        ).digest(),
    )[:size]


@final
class TargetLinks:
    """The links of an entry to agents.

    Their events update the target table and go to the inboxes of attempts.
    """

    def __init__(  # noqa: WPS211
        self,
        table: TargetTable,
        clock: Clock,
        recorder: Recorder,
        open_link: Callable[[Address], AgentLink],
        address_overrides: Mapping[str, str],
        placements: Mapping[str, Sequence[HomePlacement]],
        hello: Callable[[], Hello],
    ) -> None:
        """:param address_overrides: by target id, instead of the VM list.

        :param placements: sets of home targets by service, oldest first.
        """
        self.table = table
        self.placements = placements
        self._poll_interval_s = POLL_INTERVAL.total_seconds()
        self.subset_size: Callable[[str], int] = lambda _service: 0
        self._hello = hello
        self.inboxes = Inboxes()
        table.has_attempts = self.inboxes.has_attempts
        self.forwarded_keys = ForwardedKeyTable(clock)
        self.peer_log = PeerLogPosition(clock)
        self.on_change: Callable[[], None] = lambda: None
        self.on_load_report: Callable[[str], None] = lambda _target_id: None
        self._recorder = recorder
        self._open_link = open_link
        self._address_overrides = address_overrides
        self._tasks: dict[str, _LinkTask] = {}

    def send(self, target_id: str, message: Any) -> None:
        """Send a message to the agent of a target.

        Raises LinkClosed if there is no usable connection; then no byte of
        the message has been sent.
        """
        task = self._tasks.get(target_id)
        view = self.table.find(target_id)
        if task is None or view is None or not view.linked:
            raise LinkClosed(f'no connection to {target_id}')
        task.link.send(message)

    def agent_clock_s(self, target_id: str) -> float:
        """Return the lowest value that the agent's clock can have now.

        Raises LinkClosed if the agent has never been connected.
        """
        task = self._tasks.get(target_id)
        if task is None:
            raise LinkClosed(f'no connection to {target_id}')
        return task.link.agent_clock_s()

    def send_to_all(self, message: Any) -> None:
        """Send a message to all connected agents."""
        for target_id in list(self._tasks):
            with suppress(LinkClosed):
                self.send(target_id, message)

    async def run(self, url: str, http: httpx.AsyncClient) -> None:
        """Poll the VM list and run the links until cancelled.

        :param url: base URL of the platform.
        """
        pause_s = self._poll_interval_s
        async with anyio.create_task_group() as tasks:
            while True:
                try:
                    await self._poll(url, http)
                except (httpx.HTTPError, msgspec.MsgspecError) as error:
                    self._recorder.emit('vm_list_failed', detail=repr(error))
                    limit_s = MAX_POLL_BACK_OFF.total_seconds()
                    pause_s = min(pause_s * 2, limit_s)
                else:
                    pause_s = self._poll_interval_s
                    self._update_links(tasks)
                    self.on_change()
                # Jitter spreads the polls of many entries.
                await anyio.sleep(pause_s * random.uniform(0.8, 1.2))

    async def _poll(self, url: str, http: httpx.AsyncClient) -> None:
        response = await http.get(
            f'{url}/vms',
            timeout=POLL_TIMEOUT.total_seconds(),
        )
        response.raise_for_status()
        self._poll_interval_s = max(
            POLL_INTERVAL.total_seconds(),
            len(response.content) / POLL_BYTES_PER_S,
        )
        self.table.apply_vms(parse_vms(response.content))

    def _update_links(self, tasks: TaskGroup) -> None:
        wanted = {
            view.target_id: self._address_overrides.get(
                view.target_id, view.address
            )
            for view in self._wanted_targets()
        }
        for target_id, task in list(self._tasks.items()):
            # A target that left the list or the subset finishes its attempts.
            if target_id not in wanted and self.inboxes.has_attempts(target_id):
                continue
            if wanted.get(target_id) != task.address:
                task.scope.cancel()
                self._tasks.pop(target_id)
                self._end_link(target_id, 'address changed')
        for target_id, address in wanted.items():
            if target_id not in self._tasks:
                self._start_link(tasks, target_id, address)

    def _wanted_targets(self) -> list[TargetView]:
        by_service: dict[str, list[TargetView]] = {}
        for view in self.table.views():
            by_service.setdefault(view.service, []).append(view)
        entry_id = self._hello().entry_id
        wanted: list[TargetView] = []
        for service, views in by_service.items():
            size = self.subset_size(service)
            wanted.extend(choose_subset(entry_id, views, size))
        return wanted

    def _start_link(
        self,
        tasks: TaskGroup,
        target_id: str,
        address: str,
    ) -> None:
        try:
            link = self._open_link(parse_address(address))
        except ValueError as error:
            self._recorder.emit(
                'target_address_invalid',
                target=target_id,
                detail=str(error),
            )
            return
        task = _LinkTask(link, address, anyio.CancelScope())
        self._tasks[target_id] = task
        tasks.start_soon(self._run_link, target_id, task)

    async def _run_link(self, target_id: str, task: _LinkTask) -> None:
        with task.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(task.link.run)
                async for event in task.link.events:
                    self._handle(target_id, event)
                    self._handle_queued(target_id, task.link)

    def _handle_queued(self, target_id: str, link: AgentLink) -> None:
        """Handle queued events, at most the capacity of the stream."""
        with suppress(anyio.WouldBlock):
            for _ in range(MAX_QUEUED_EVENTS):
                self._handle(target_id, link.events.receive_nowait())

    def _handle(self, target_id: str, event: Any) -> None:
        handler = _handlers.get(type(event))
        if handler is not None:
            handler(self, target_id, event)
        elif hasattr(event, 'attempt_id'):  # noqa: WPS421
            self.inboxes.deliver(target_id, event)

    def _end_link(self, target_id: str, reason: str) -> None:
        self.table.link_down(target_id)
        self.inboxes.broadcast(target_id, LinkDown(reason))
        self.on_change()

    @_handlers.register(LinkUp)
    def _handle_link_up(self, target_id: str, event: LinkUp) -> None:
        if not self.table.link_up(target_id, event.welcome):
            self._recorder.emit(
                'target_mismatch',
                target=target_id,
                answered=event.welcome.target_id,
            )
            return
        self._push_keys(target_id)
        self.inboxes.broadcast(target_id, event)
        self.on_change()

    def announce_placements(self, services: Iterable[str]) -> None:
        """Send changed placements to the agents of their services.

        Each agent also receives the records of the forwarded keys whose home
        target it serves.

        :param services: services whose placement has changed.
        """
        for service in services:
            placement = self._placement(service)
            homes = self.forwarded_keys.records_by_home(service, placement)
            for view in self.table.views():
                if view.linked and view.service == service:
                    records = homes.get(view.target_id, [])
                    pushed = split_records(records, placement.version)
                    self._push(view.target_id, pushed)
        self.on_change()

    def _placement(self, service: str) -> HomePlacement:
        rows = self.placements.get(service, ())
        return rows[-1] if rows else HomePlacement(0, (), 0)

    def _push_keys(self, target_id: str) -> None:
        view = self.table.find(target_id)
        if view is not None:
            placement = self._placement(view.service)
            pushed = self.forwarded_keys.messages(
                view.service, target_id, placement
            )
            self._push(target_id, pushed)

    def _push(self, target_id: str, pushed: list[ForwardedKeys]) -> None:
        # The records must arrive before any attempt that depends on them.
        try:
            for message in (self._hello(), *pushed):
                self.send(target_id, message)
        except LinkClosed:
            self.table.link_down(target_id)

    @_handlers.register(LinkDown)
    def _handle_link_down(self, target_id: str, event: LinkDown) -> None:
        self._end_link(target_id, event.reason)

    @_handlers.register(Heartbeat)
    def _handle_heartbeat(self, _target_id: str, event: Heartbeat) -> None:
        self.peer_log.observe(event)

    @_handlers.register(Draining)
    def _handle_draining(self, target_id: str, event: Draining) -> None:
        self.table.mark_draining(target_id)
        self._recorder.emit(
            'target_draining',
            target=target_id,
            reason=event.reason,
        )
        self.on_change()

    @_handlers.register(LoadReport)
    def _handle_load(self, target_id: str, event: LoadReport) -> None:
        self.table.update_load(target_id, event)
        self.on_load_report(target_id)
        self.on_change()
