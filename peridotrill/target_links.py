"""Polls the VM list and keeps a link to the agent of each target."""

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
# A long list is read less often, so that its bytes stay bounded; targets that
# leave announce it on their links.
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
    """The newest log position that agents have passed on."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard_at_s: float | None = None
        self.offset = 0

    def observe(self, beat: Heartbeat) -> None:
        """Take over the position in a heartbeat of an agent.

        A heartbeat can wait while this process is paused. It was sent after
        the agent received the clock that it echoes.
        """
        heard_at_s = self._heard_at_s or beat.echo_clock_s
        self._heard_at_s = max(heard_at_s, beat.echo_clock_s)
        self.offset = max(self.offset, beat.log_offset)

    def age_s(self) -> float:
        """Return the greatest age of the newest heartbeat; inf if none."""
        if self._heard_at_s is None:
            return float('inf')
        return self._clock.monotonic_s() - self._heard_at_s


def choose_subset(
    entry_id: str,
    views: list[TargetView],
    size: int,
) -> list[TargetView]:
    """Return the targets of a service that an entry links to.

    Chosen by rendezvous hashing, so that each target has links to about as
    many entries, and a target that leaves changes only its own links.

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
    """The links of an entry; feeds the target table and the inboxes."""

    def __init__(  # noqa: WPS211
        self,
        table: TargetTable,
        clock: Clock,
        recorder: Recorder,
        open_link: Callable[[Address], AgentLink],
        overrides: Mapping[str, str],
        placements: Mapping[str, Sequence[HomePlacement]],
        hello: Callable[[], Hello],
    ) -> None:
        """:param overrides: addresses by target id, instead of the list's.

        :param placements: of idempotency keys, by service, oldest first.
        """
        self.table = table
        self.placements = placements
        self._poll_interval_s = POLL_INTERVAL.total_seconds()
        self.subset_size: Callable[[str], int] = lambda _service: 0
        self._hello = hello
        self.inboxes = Inboxes()
        self.book = ForwardedKeyTable(clock)
        self.peer_log = PeerLogPosition(clock)
        self.on_change: Callable[[], None] = lambda: None
        self.on_report: Callable[[str], None] = lambda _target_id: None
        self._recorder = recorder
        self._open_link = open_link
        self._overrides = overrides
        self._tasks: dict[str, _LinkTask] = {}

    def send(self, target_id: str, message: Any) -> None:
        """Send to a target's agent.

        :param message: raises LinkClosed if there is no usable connection;
            then no byte of it has left.
        """
        task = self._tasks.get(target_id)
        view = self.table.find(target_id)
        if task is None or view is None or not view.linked:
            raise LinkClosed(f'no connection to {target_id}')
        task.link.send(message)

    def agent_clock_s(self, target_id: str) -> float:
        """Return the lowest value that the agent's clock can have now.

        Raises LinkClosed if the agent has not been reached yet.
        """
        task = self._tasks.get(target_id)
        if task is None:
            raise LinkClosed(f'no connection to {target_id}')
        return task.link.agent_clock_s()

    def send_to_all(self, message: Any) -> None:
        """Send to all agents that are connected."""
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
                # Spreads the polls of many entries.
                await anyio.sleep(pause_s * random.uniform(0.8, 1.2))

    async def _poll(self, url: str, http: httpx.AsyncClient) -> None:
        answer = await http.get(
            f'{url}/vms',
            timeout=POLL_TIMEOUT.total_seconds(),
        )
        answer.raise_for_status()
        self._poll_interval_s = max(
            POLL_INTERVAL.total_seconds(),
            len(answer.content) / POLL_BYTES_PER_S,
        )
        self.table.apply_vms(parse_vms(answer.content))

    def _update_links(self, tasks: TaskGroup) -> None:
        wanted = {
            view.target_id: self._overrides.get(view.target_id, view.address)
            for view in self._wanted_targets()
        }
        for target_id, task in list(self._tasks.items()):
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
                    self._handle_waiting(target_id, task.link)

    def _handle_waiting(self, target_id: str, link: AgentLink) -> None:
        """Handle what waits, at most as much as the stream holds."""
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
        """Send changed placements, and to each home what it needs.

        :param services: those whose placement has changed.
        """
        for service in services:
            placement = self._placement(service)
            homes = self.book.records_by_home(service, placement)
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
            pushed = self.book.messages(view.service, target_id, placement)
            self._push(target_id, pushed)

    def _push(self, target_id: str, pushed: list[ForwardedKeys]) -> None:
        # The records go before any attempt that relies on them.
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
        self.on_report(target_id)
        self.on_change()
