"""Agent process logic: runs attempts at one target on behalf of entries.

The agent is the only process that sends requests to its target.
"""

import uuid
from datetime import timedelta
from typing import Any, Final, NamedTuple, Self, final

import anyio
from anyio.abc import TaskGroup

from peridotrill import ledger, messages
from peridotrill.attempt_runner import AttemptRunner, TargetClient
from peridotrill.attempt_table import AttemptTable
from peridotrill.buffered_response import BufferedResponse, Delivery
from peridotrill.clock import Clock
from peridotrill.exceptions import LinkClosed
from peridotrill.link_listener import (
    LinkListener,
    PeerDown,
    PeerMessage,
    PeerUp,
)
from peridotrill.settings import Address
from peridotrill.target_client import TargetLoad
from peridotrill.timeline import Recorder

LOAD_INTERVAL: Final = timedelta(milliseconds=250)
# An unchanged load is still reported at this interval, because entries adjust
# the last report for their own attempts until the next one arrives.
UNCHANGED_LOAD_INTERVAL: Final = timedelta(seconds=1)
# Cache events are delayed anyway, and polling them with each load report
# would double the cost of an idle agent.
CACHE_POLL_INTERVAL: Final = timedelta(seconds=1)
MAX_RUNNING_ATTEMPTS: Final = 1024
# Time to refuse the starts that entries sent before they received Draining; if
# the agent exited at once, their outcome would be unknown.
MIN_DRAIN_DURATION: Final = timedelta(seconds=1)
_SWEEP_INTERVAL_S: Final = 0.5
_DRAIN_POLL_S: Final = 0.02
_RETRY_AFTER_S: Final = 1.0


class AgentConfig(NamedTuple):
    """Settings of an agent."""

    target_id: str
    service: str
    kind: str
    zone: str
    listen: Address


@final
class Agent:
    """Runs attempts for entries at one target."""

    def __init__(
        self,
        config: AgentConfig,
        client: TargetClient,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Initialize an agent that does not listen yet.

        :param client: client of the target.
        """
        self.incarnation = uuid.uuid4().hex
        self.is_draining = False
        self._config = config
        self._client = client
        self._clock = clock
        self._recorder = recorder
        self._ledger = ledger.Ledger(clock, config.service)
        self._runner = AttemptRunner(client, self._ledger, clock, recorder)
        self._listener = LinkListener.from_config(
            config.listen,
            self._build_welcome,
            clock,
            recorder,
        )
        self._load = TargetLoad(ready=False)
        self._last_load_report: messages.LoadReport | None = None
        self._cached_prefixes: list[int] = []
        self._attempts = AttemptTable(clock)

    @classmethod
    def from_config(
        cls,
        config: AgentConfig,
        client: TargetClient,
        clock: Clock,
        recorder: Recorder,
    ) -> Self:
        """Create an agent that does not listen yet.

        :param client: client of the target.
        """
        return cls(config, client, clock, recorder)

    @property
    def is_ready(self) -> bool:
        """Whether the agent accepts new attempts."""
        return self._load.ready and not self.is_draining

    def status(self) -> dict[str, Any]:
        """Return the state of the agent as JSON-serializable values."""
        return {
            **self._config._asdict(),
            'listen': str(self._config.listen),
            'incarnation': self.incarnation,
            'ready': self.is_ready,
            'draining': self.is_draining,
            'ledger': self._ledger.state(),
            'ledger_keys': len(self._ledger),
            'ledger_bytes': self._ledger.used_bytes,
            'running': self._runner.running,
            'peers': len(self._listener.peer_ids),
            'target': self._load._asdict(),
        }

    async def run(self) -> None:
        """Serve entries until the task is cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._listener.run)
            tasks.start_soon(self._report_load)
            tasks.start_soon(self._poll_cached_prefixes)
            tasks.start_soon(self._sweep)
            async for event in self._listener.events:
                self._handle(tasks, event)

    async def drain(self, timeout: timedelta) -> None:
        """Refuse new attempts and wait until all responses are delivered.

        :param timeout: maximum time to wait.
        """
        self.is_draining = True
        self._recorder.emit('draining', running=self._runner.running)
        self._send_to_all(messages.Draining('shutdown'))
        with anyio.move_on_after(timeout.total_seconds()):
            await anyio.sleep(MIN_DRAIN_DURATION.total_seconds())
            while self._runner.running or self._attempts.has_undelivered():
                await anyio.sleep(_DRAIN_POLL_S)
        self._recorder.emit('drained', running=self._runner.running)

    def _handle(self, tasks: TaskGroup, event: Any) -> None:
        match event:
            case PeerUp():
                self._attempts.connect(event.peer_id, event.hello)
                self._ledger.update_from_hello(event.hello)
                self._send(event.peer_id, self._build_load_report())
            case PeerDown():
                self._attempts.disconnect(event.peer_id)
            case PeerMessage() if not self._attempts.is_connected(
                event.peer_id
            ):
                self._recorder.emit('message_dropped', peer=event.peer_id)
            case PeerMessage(peer_id, messages.StartAttempt() as start):
                self._start(tasks, peer_id, start)
            case PeerMessage(peer_id, message):
                self._handle_message(peer_id, message)

    def _handle_message(self, peer_id: int, message: Any) -> None:
        match message:
            case messages.AcknowledgeBytes():
                delivery = self._attempts.find(message.attempt_id)
                if delivery is not None:
                    delivery.acknowledge(message.position)
            case messages.CancelAttempt():
                self._cancel(peer_id, message)
            case messages.ResumeAttempt():
                self._resume(peer_id, message)
            case messages.ForwardedKeys():
                entry = self._attempts.entry(peer_id)
                self._ledger.recover(entry, message)
            case messages.Hello():
                # Sent again when the lists of entries have changed.
                self._ledger.update_from_hello(message)

    def _start(
        self,
        tasks: TaskGroup,
        peer_id: int,
        start: messages.StartAttempt,
    ) -> None:
        if self._attempts.find(start.attempt_id) is not None:
            self._recorder.emit('attempt_repeated', attempt=start.attempt_id)
            return
        decision = self._decide(start)
        match decision:
            case ledger.Run():
                response = self._runner.start(tasks, start)
                self._start_delivery(peer_id, start.attempt_id, response)
            case ledger.Join(attempt_id):
                self._join(peer_id, start, attempt_id)
            case ledger.Replay(stored):
                self._replay(peer_id, start, stored)
            case ledger.Failure():
                failed = messages.AttemptFailed(
                    start.attempt_id,
                    *decision,
                    0,
                    0,
                )
                self._send(peer_id, failed)
            case ledger.Refusal():
                # A start with only_if_known never runs, so its attempt id
                # is not stored: a team over its limit could otherwise fill
                # the ledger.
                if not start.only_if_known:
                    self._ledger.refuse_attempt(start.attempt_id)
                self._send_refusal(peer_id, start.attempt_id, decision)

    def _decide(self, start: messages.StartAttempt) -> ledger.Decision:
        decision: ledger.Decision = ledger.Run()
        if start.key_digest:
            decision = self._ledger.decide(start)
        elif self._ledger.is_refused(start.attempt_id):
            decision = ledger.Refusal('cancelled', '', not_run=True)
        if not isinstance(decision, ledger.Run):
            return decision
        # The remaining checks apply only to requests that would run now.
        if self._clock.monotonic_s() > start.start_before_s:
            return ledger.Refusal('expired', 'arrived too late', not_run=True)
        if self.is_draining:
            return ledger.Refusal('draining', '', not_run=True)
        if self._runner.running >= MAX_RUNNING_ATTEMPTS:
            return ledger.Refusal('overloaded', '', True, _RETRY_AFTER_S)
        return decision

    def _refuse(
        self,
        peer_id: int,
        attempt_id: str,
        refusal: ledger.Refusal,
    ) -> None:
        self._ledger.refuse_attempt(attempt_id)
        self._send_refusal(peer_id, attempt_id, refusal)

    def _send_refusal(
        self,
        peer_id: int,
        attempt_id: str,
        refusal: ledger.Refusal,
    ) -> None:
        self._recorder.emit(
            'attempt_refused',
            attempt=attempt_id,
            code=refusal.code,
            not_run=refusal.not_run,
        )
        self._send(peer_id, messages.AttemptRefused(attempt_id, *refusal))

    def _join(
        self,
        peer_id: int,
        start: messages.StartAttempt,
        attempt_id: str,
    ) -> None:
        response = self._attempts.find_running_response(attempt_id)
        if response is None or not response.is_untrimmed:
            refusal = ledger.Refusal('answer_not_kept', '', not_run=False)
            self._refuse(peer_id, start.attempt_id, refusal)
            return
        self._start_delivery(peer_id, start.attempt_id, response)

    def _replay(
        self,
        peer_id: int,
        start: messages.StartAttempt,
        stored: ledger.StoredResponse,
    ) -> None:
        response = BufferedResponse(start, ledger.MAX_STORED_RESPONSE_BYTES)
        self._start_delivery(peer_id, start.attempt_id, response, replayed=True)
        response.set_head(stored.status, stored.headers)
        response.append(stored.body)
        response.end(self._clock.monotonic_s(), None)

    def _start_delivery(
        self,
        peer_id: int,
        attempt_id: str,
        response: BufferedResponse,
        replayed: bool = False,
    ) -> None:
        entry = self._attempts.entry(peer_id)
        delivery = Delivery(
            attempt_id,
            entry,
            peer_id,
            response,
            self._listener.send,
        )
        delivery.is_replay = replayed
        self._attempts.add(delivery)
        delivery.send(messages.AttemptStarted(attempt_id, replayed))
        response.send_available()

    def _cancel(self, peer_id: int, message: messages.CancelAttempt) -> None:
        attempt_id = message.attempt_id
        delivery = self._attempts.find(attempt_id)
        if delivery is None:
            # An attempt that may have started is not reported as not started.
            started = self._attempts.seen_attempts.may_contain(attempt_id)
            if started or self._ledger.refuse_attempt(attempt_id):
                self._send(
                    peer_id,
                    messages.CancelConfirmed(attempt_id, started, 0, 0),
                )
            return
        delivery.peer_id = peer_id
        delivery.cancel()

    def _resume(self, peer_id: int, message: messages.ResumeAttempt) -> None:
        attempt_id = message.attempt_id
        delivery = self._attempts.find(attempt_id)
        if delivery is None:
            self._resume_unknown(peer_id, attempt_id)
        elif not delivery.resume(peer_id, message.position):
            failed = messages.AttemptFailed(
                attempt_id,
                'answer_not_kept',
                f'no bytes from {message.position} on',
                'unknown',
                0,
                0,
            )
            self._send(peer_id, failed)

    def _resume_unknown(self, peer_id: int, attempt_id: str) -> None:
        # An attempt that may have started is not reported as not run. Any
        # other start message was lost on the way; its id stays refused, so
        # that a late copy cannot run.
        started = self._attempts.seen_attempts.may_contain(attempt_id)
        if started or not self._ledger.refuse_attempt(attempt_id):
            lost = messages.AttemptFailed(
                attempt_id,
                'attempt_lost',
                '',
                'unknown',
                0,
                0,
            )
            self._send(peer_id, lost)
            return
        refusal = ledger.Refusal('not_received', '', not_run=True)
        self._refuse(peer_id, attempt_id, refusal)

    async def _report_load(self) -> None:
        while True:
            self._load = await self._client.load()
            self._send_changed_load()
            await anyio.sleep(LOAD_INTERVAL.total_seconds())

    def _send_changed_load(self) -> None:
        """Send the load if it changed or the last report is too old."""
        report = self._build_load_report()
        last = self._last_load_report
        if last is not None:
            is_same = report == last._replace(clock_s=report.clock_s)
            age_s = report.clock_s - last.clock_s
            limit_s = UNCHANGED_LOAD_INTERVAL.total_seconds()
            if is_same and age_s < limit_s:
                return
        self._last_load_report = report
        self._send_to_all(report)

    async def _poll_cached_prefixes(self) -> None:
        while True:
            self._cached_prefixes = await self._client.cached_prefixes()
            await anyio.sleep(CACHE_POLL_INTERVAL.total_seconds())

    def _build_load_report(self) -> messages.LoadReport:
        return messages.LoadReport(
            clock_s=self._clock.monotonic_s(),
            draining=self.is_draining,
            cached_prefixes=self._cached_prefixes,
            **self._load._asdict(),
        )

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP_INTERVAL_S)
            self._ledger.expire()
            self._attempts.sweep()

    def _build_welcome(self) -> messages.Welcome:
        return messages.Welcome(
            protocol_version=messages.PROTOCOL_VERSION,
            target_id=self._config.target_id,
            service=self._config.service,
            kind=self._config.kind,
            zone=self._config.zone,
            incarnation=self.incarnation,
            clock_s=self._clock.monotonic_s(),
            ready=self._load.ready,
            draining=self.is_draining,
            ledger=self._ledger.state(),
        )

    def _send(self, peer_id: int, message: Any) -> None:
        try:
            self._listener.send(peer_id, message)
        except LinkClosed:
            self._recorder.emit('message_dropped', peer=peer_id)

    def _send_to_all(self, message: Any) -> None:
        for peer_id in self._listener.peer_ids:
            self._send(peer_id, message)
