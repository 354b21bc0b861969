"""Forwards the output of model engines as one stream of events."""

import enum
import math
from contextlib import closing
from datetime import timedelta
from typing import Final, final

import anyio

from peridotrill.exceptions import (
    EndUnconfirmed,
    ResponseExcessive,
    TargetOutcomeUnknown,
    TargetTimeout,
    TargetUnreachable,
)
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.engine_requests import (
    DECODE_LATENCY_S,
    MIN_REMAINING_S,
    PREFILL_TIMEOUT_FACTOR,
    engine_priority,
    max_events,
)
from peridotrill.gateway.error_responses import GatewayError
from peridotrill.gateway.event_sequence import EventSequence
from peridotrill.gateway.event_stream import EventStreamParser, StreamEvent
from peridotrill.gateway.metrics import ATTEMPTS
from peridotrill.gateway.placement import Pool
from peridotrill.gateway.prefill import RemotePrompt
from peridotrill.gateway.request_context import HARMLESS_EVENTS, RequestContext
from peridotrill.gateway.stream_origins import (
    UNKNOWN_VERSION,
    StreamOrigin,
    digest_request,
)
from peridotrill.gateway.target_connections import Framing, TargetExchange
from peridotrill.gateway.target_health import Failure
from peridotrill.gateway.target_messages import TargetResponse
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Lowest status that is not a success.
_MIN_ERROR_STATUS: Final = 300
# Time without a response after which an engine counts as silent; several times
# the delay of a full queue.
_DECODE_TIMEOUT: Final = timedelta(seconds=0.9)
# Time for the report that names the process of a stream. Its events wait for it,
# so it is as long as that without a response.
_IDENTIFICATION_TIMEOUT: Final = _DECODE_TIMEOUT
# Time within which another engine has to tell that a stream has ended.
_CONFIRMATION_TIMEOUT: Final = timedelta(seconds=0.5)
# Intervals between the first events of an attempt from which the speed of the
# engine is learnt. They pass while what the head states of it still applies.
_TIMED_STEPS: Final = 16
# Part of the retry budget for asking another engine whether a stream has ended.
_CONFIRMATION_SHARE: Final = 0.5


def _media_type(response: TargetResponse) -> bytes:
    """Return the type without parameters; empty if there is none."""
    fields = dict(response.headers)
    return fields.get(b'content-type', b'').partition(b';')[0].strip().lower()


class _End(enum.Enum):
    """What is known of the end of a stream."""

    UNSEEN = 1
    # A run has ended without length, and its process is gone.
    DOUBTFUL = 2
    # A run has ended without length, and its process is running.
    LIKELY = 3


@final
class Generation:
    """Output of one request, from one engine or several in succession."""

    def __init__(
        self,
        context: RequestContext,
        remote_prompt: RemotePrompt | None,
        reservation: Reservation | None = None,
    ) -> None:
        """Use the reservation for the first attempt, if there is one."""
        self._context = context
        self._remote_prompt = remote_prompt
        self._reservation = reservation
        self._target: TargetRecord | None = None
        self._sequence = EventSequence(
            context.request.resume_after,
            context.shared.numberings.find(context.service),
        )
        # The response whose head the caller has received.
        self._started_response: TargetResponse | None = None
        # Whether an engine can be told after which event to go on.
        self._has_resume_id = True
        # The current attempt.
        self._sent_s = 0.0
        self._first_event_s = 0.0
        self._attempt_events = 0
        self._exchange: TargetExchange | None = None
        # Whether the process that sent the first event was identified by then.
        self._began_identified: bool | None = None
        # Whether its process can be told from others, once that is known.
        self._is_named: bool | None = None
        self._was_asked_who = anyio.Event()
        # What is known of the end of the stream, and the time limit of the run
        # that confirms it.
        self._end = _End.UNSEEN
        self._confirmation: anyio.CancelScope | None = None
        # Target whose end of the stream is LIKELY.
        self._ended_target: TargetRecord | None = None
        # Whether an engine has been sent the request and has not rejected it.
        self._is_asked = False
        # Software version of the process that responds.
        self._version = ''
        self._use_handle = remote_prompt is not None
        self.is_prompt_taken = False

    async def execute(self) -> None:
        """Stream the complete output; raises GatewayError."""
        try:
            await self._execute()
        except GatewayError:
            if self._end is not _End.LIKELY or self._is_asked:
                raise
            if self._is_end_unusual(self._ended_target):
                raise
            self._end_unconfirmed()
        finally:
            self._context.response_fields = self._describe_events()

    async def _execute(self) -> None:
        while True:
            if self._reservation is None:
                self._reservation = await self._reserve_target()
            try:
                if await self._try_target(self._reservation):
                    return
            finally:
                self._context.shared.placement.release(
                    self._reservation,
                    self._context.service,
                )
                self._reservation = None
            if self._end is _End.LIKELY and self._confirmation is None:
                await self._confirm_end()
                return

    async def _confirm_end(self) -> None:
        """Ask another engine for more events; raises GatewayError.

        After a time-out, which a pause of this process may cause as well, an
        engine that was asked may have more to send.
        """
        self._is_asked = False
        timeout_s = _CONFIRMATION_TIMEOUT.total_seconds()
        with anyio.move_on_after(timeout_s) as scope:
            self._confirmation = scope
            await self._execute()
            return
        raise self._context.build_error('target_failed')

    def _describe_events(self) -> dict[str, str | int | None]:
        """Return what the log says of the events of a stream."""
        sequence = self._sequence
        last_id = sequence.last_id
        return {
            'events': sequence.forwarded,
            'last_event': (
                None if last_id is None else last_id.decode('latin-1')
            ),
            'skipped': sequence.skipped,
            'gaps': sequence.gaps,
            'disordered': sequence.disordered,
            'software': self._version or None,
            'identified': self._began_identified,
        }

    def _mark_prefill_done(self) -> None:
        """Record that the engine has finished the prefill."""
        if self._reservation is not None and self._reservation.prefill_ms:
            self._reservation = self._context.shared.placement.release_prefill(
                self._reservation,
                self._context.service,
            )

    def _expected_prefill_time(self) -> timedelta:
        """Return the expected prefill time at the decode engine itself."""
        if self._reservation is None:
            return timedelta(0)
        placement = self._context.shared.placement
        return placement.expected_prefill_time(self._reservation)

    async def _reserve_target(self) -> Reservation:
        context = self._context
        await context.require_target(context.excluded)
        return await context.reserve_target(
            Pool.DECODE,
            context.shared.placement.decode_finder(
                context.service,
                context.request.prompt,
                context.excluded,
                context.stream_version,
                context.allowed_regions,
            ),
            1,
            DECODE_LATENCY_S,
            context.deadline_s - MIN_REMAINING_S,
        )

    async def _try_target(self, reservation: Reservation) -> bool:
        """Return whether the response is complete.

        Otherwise another target should be tried.
        """
        context = self._context
        target = reservation.target
        context.excluded.add(target.target_id)
        self._target = target
        try:
            return await self._generate(target)
        except TargetUnreachable as error:
            context.record_unreachable(target, error)
        except TargetTimeout:
            self._require_retry()
        except TargetOutcomeUnknown as error:
            self._handle_break(target, error)
        return False

    def _handle_break(
        self, target: TargetRecord, error: TargetOutcomeUnknown
    ) -> None:
        """Record why a run is not complete; raises GatewayError."""
        context = self._context
        if isinstance(error, EndUnconfirmed):
            context.shared.log.write(
                'stream_end_unconfirmed',
                request=context.request.request_id,
                target=target.target_id,
                reason=str(error),
            )
            return
        context.record_broken_response(
            target, error, self._sent_s, self._attempt_events
        )
        self._require_retry()

    async def _generate(self, target: TargetRecord) -> bool:
        """Send the request and forward the output."""
        context = self._context
        exchange = await self._send(target)
        with closing(exchange):
            response = await context.read_response_head(
                target,
                exchange,
                _DECODE_TIMEOUT
                + self._expected_prefill_time() * PREFILL_TIMEOUT_FACTOR,
                context.can_retry_elsewhere(),
            )
            context.record_load(target, response)
            if response.not_run:
                # The prefill engine may have dropped the prompt, so the next
                # engine fetches what it can and prefills the rest itself.
                self._use_handle = False
                self._is_asked = False
                context.handle_rejection(target, response)
                return False
            self.is_prompt_taken = self._use_handle
            self._use_handle = False
            if not response.is_verified:
                raise TargetOutcomeUnknown('response not verified')
            if response.status >= _MIN_ERROR_STATUS:
                return await self._forward_error(target, response, exchange)
            await self._forward_events(response, exchange)
        context.shared.health.record_success(target.target_id)
        ATTEMPTS.labels(context.service, 'answered').inc()
        context.outcome = 'answered'
        return True

    async def _send(self, target: TargetRecord) -> TargetExchange:
        context = self._context
        context.require_no_quarantine()
        self._sent_s = context.shared.clock.monotonic_s()
        self._attempt_events = 0
        source = None
        fetch = None
        if self._remote_prompt is not None and self._use_handle:
            address = self._remote_prompt.target.address
            source = f'{address}/{self._remote_prompt.handle}'
        else:
            fetch = self._find_fetch_address(target)
        exchange = await context.shared.targets.send(
            context.request,
            target,
            context.options(target)._replace(
                priority=engine_priority(context),
                kv_source=source,
                kv_fetch=fetch,
                resume_after=self._sequence.last_id,
                max_events=max_events(context.request.prompt),
            ),
            context.route.is_repeatable,
            must_identify=self._must_identify(),
            alive_after_s=context.alive_after_s(),
        )
        self._exchange = exchange
        self._is_asked = True
        self._begin_identification(target, exchange)
        context.record_sent(target)
        if self._sequence.last_id is not None:
            context.shared.log.write(
                'stream_continued',
                request=context.request.request_id,
                resumes=context.request.resumed_id,
                target=target.target_id,
                software=target.software_version,
                after=self._sequence.last_id.decode('latin-1'),
                events=self._sequence.forwarded,
            )
        return exchange

    def _must_identify(self) -> bool:
        """Whether it matters which process of a target responds.

        A stream that goes on needs the version that began it, also while this
        gateway knows of one only: the record of a target may be out of date.
        """
        versions = self._context.shared.cluster_state.versions
        is_continued = self._sequence.last_id is not None
        return is_continued or versions.is_mixed(self._context.service)

    def _find_fetch_address(self, target: TargetRecord) -> str | None:
        """Return the address of an engine that likely caches shared parts."""
        context = self._context
        remote_prompt = self._remote_prompt
        if remote_prompt is not None:
            zone = remote_prompt.target.zone
            if zone not in context.shared.cluster_state.evacuations:
                return str(remote_prompt.target.address)
        elif not context.shared.placement.is_long(context.request.prompt):
            return None
        if context.request.prompt is None:
            return None
        holder = context.shared.placement.find_part_holder(
            context.request.prompt,
            target.target_id,
        )
        return None if holder is None else str(holder.address)

    async def _forward_error(
        self,
        target: TargetRecord,
        response: TargetResponse,
        exchange: TargetExchange,
    ) -> bool:
        context = self._context
        body = await exchange.read_body()
        await context.require_running(target, response)
        context.record_attempt_failure(
            target, Failure.ERROR, f'status {response.status}'
        )
        if self._sequence.forwarded:
            self._require_retry()
            return False
        if context.allow_retry():
            return False
        context.responder.send(response.status, response.headers, body)
        context.outcome = 'target_error'
        return True

    async def _forward_events(
        self,
        response: TargetResponse,
        exchange: TargetExchange,
    ) -> None:
        context = self._context
        self._require_same_stream(response)
        await self._require_same_version()
        self._start_run()
        splitter = EventStreamParser()
        events = 0
        while True:
            part = await exchange.read_chunk()
            if part is None:
                break
            events += self._forward_new_events(response, splitter.feed(part))
            exchange.keep(splitter.partial_bytes)
            self._require_expected_length(events)
            await context.responder.drain()
        if splitter.partial_bytes:
            raise TargetOutcomeUnknown('stream ended inside an event')
        if self._is_end_of_taken_up_stream(events):
            self._start_response(response)
        else:
            await self._require_end(events, response)
        if self._attempt_events < HARMLESS_EVENTS:
            context.record_harmless(self._sent_s)
        context.responder.end_stream()

    def _start_run(self) -> None:
        """Begin the events of the current target."""
        target = self._target
        if target is None:
            return
        context = self._context
        serving = context.shared.cluster_state.usable_targets(
            context.service, TargetRole.DECODE
        )
        self._sequence.start_run(
            target.target_id,
            all(row.target_id == target.target_id for row in serving),
        )

    async def _require_end(self, events: int, response: TargetResponse) -> None:
        """Raise TargetOutcomeUnknown if a run may lack events at its end."""
        context = self._context
        if self._target is None:
            return
        if not events and self._end is not _End.UNSEEN:
            await context.require_running(
                self._target,
                response,
                self._sequence.count_received(events),
                must_be_known=self._end is _End.DOUBTFUL,
            )
            return
        if not events or not context.responder.has_started:
            raise TargetOutcomeUnknown('stream without an event')
        self._sequence.require_end()
        is_marked = context.framing is not Framing.CONNECTION
        context.shared.framing.record(self._target.process, is_marked)
        if is_marked:
            return
        self._end = _End.DOUBTFUL
        received = self._sequence.count_received(events)
        await context.require_running(self._target, response, received)
        if self._has_resume_id and context.allow_retry(_CONFIRMATION_SHARE):
            self._end = _End.LIKELY
            self._ended_target = self._target
            raise EndUnconfirmed('ended without length')
        if self._is_end_unusual(self._target):
            raise TargetOutcomeUnknown('end is not marked as usual')

    def _is_end_unusual(self, target: TargetRecord | None) -> bool:
        """Tell whether a process marks the ends of its streams otherwise."""
        framing = self._context.shared.framing
        return target is not None and framing.marks_ends(target.process)

    def _end_unconfirmed(self) -> None:
        """End a stream as its engine did, since no other one was asked."""
        context = self._context
        context.shared.log.write(
            'stream_end_unconfirmed',
            request=context.request.request_id,
            reason='no other engine responded',
        )
        context.outcome = 'answered'
        context.responder.end_stream()

    def _require_expected_length(self, events: int) -> None:
        """Raise ResponseExcessive if a stream is longer than was asked for."""
        prompt = self._context.request.prompt
        if prompt is not None and events > max_events(prompt):
            raise ResponseExcessive('more events than tokens')

    def _require_same_stream(self, response: TargetResponse) -> None:
        """Raise TargetOutcomeUnknown if a response cannot continue another."""
        started = self._started_response
        if started is None:
            return
        is_same_type = _media_type(response) == _media_type(started)
        if response.status != started.status or not is_same_type:
            raise TargetOutcomeUnknown('response does not continue the stream')

    async def _require_same_version(self) -> None:
        """Raise TargetOutcomeUnknown if another version would continue.

        The target may have started again since it was chosen.
        """
        expected = self._context.stream_version
        self._version = await self._find_version()
        if expected is not None and self._version != expected:
            found = self._version or 'that is not known'
            raise TargetOutcomeUnknown(f'continued by version {found}')

    async def _find_version(self) -> str:
        """Return the software version of the process that responds."""
        target = self._target
        if target is None:
            return UNKNOWN_VERSION
        is_same = await self._is_process_of(target)
        if target.started_ms and self._is_named is not False:
            if not is_same and self._context.route.is_repeatable:
                raise TargetOutcomeUnknown('process not identified')
        else:
            # Nothing tells the processes of such a target apart.
            known = self._context.shared.cluster_state.find_target(
                target.target_id
            )
            is_same = (
                known is None
                or known.software_version == target.software_version
            )
        return target.software_version if is_same else UNKNOWN_VERSION

    async def _is_process_of(self, target: TargetRecord) -> bool:
        """Wait for the answer to who responds, if that matters."""
        if not self._is_identified():
            with anyio.move_on_after(_IDENTIFICATION_TIMEOUT.total_seconds()):
                await self._was_asked_who.wait()
        return self._is_identified()

    def _begin_identification(
        self, target: TargetRecord, exchange: TargetExchange
    ) -> None:
        """Ask which process responds, if the stream may go on elsewhere.

        The answer is there before the first event of most streams.
        """
        self._is_named = None
        self._was_asked_who = anyio.Event()
        is_needed = self._context.route.is_repeatable and target.started_ms
        if is_needed and not exchange.identity.is_known:
            self._context.shared.start_task(
                self._identify_process, target, exchange, self._was_asked_who
            )
        else:
            self._was_asked_who.set()

    async def _identify_process(
        self,
        target: TargetRecord,
        exchange: TargetExchange,
        was_asked: anyio.Event,
    ) -> None:
        context = self._context
        try:
            is_named = await context.shared.targets.identify_process(
                target, exchange
            )
        except (TargetUnreachable, TargetOutcomeUnknown) as error:
            context.shared.log.write(
                'process_not_identified',
                request=context.request.request_id,
                target=target.target_id,
                error=str(error),
            )
        else:
            if exchange is self._exchange:
                self._is_named = is_named
        finally:
            was_asked.set()

    def _is_identified(self) -> bool:
        """Whether the registered process is known to be the one that responds."""
        return self._exchange is not None and self._exchange.identity.is_known

    def _record_origin(self) -> None:
        """Let the stream, and its callers, go on at its version only."""
        context = self._context
        if context.stream_version is None:
            context.stream_version = self._version
        version = context.stream_version
        context.shared.streams.record(
            digest_request(context.team_name, context.request.request_id),
            StreamOrigin(context.service, version),
            is_split=len(context.route.services) > 1,
        )

    def _forward_new_events(
        self, response: TargetResponse, events: list[StreamEvent]
    ) -> int:
        """Forward what the caller lacks; return the number of all events."""
        for event in events:
            if self._sequence.accept(event.event_id):
                self._forward_event(response, event.content, event.event_id)
        return len(events)

    def _forward_event(
        self,
        response: TargetResponse,
        content: bytes,
        event_id: bytes | None,
    ) -> None:
        context = self._context
        self._record_early_end()
        self._end = _End.UNSEEN
        if self._confirmation is not None:
            self._confirmation.deadline = math.inf
        self._mark_prefill_done()
        if not self._attempt_events:
            self._first_event_s = context.shared.clock.monotonic_s()
        if not context.responder.has_started:
            self._start_response(response)
        context.responder.send_chunk(content)
        self._attempt_events += 1
        if self._attempt_events == HARMLESS_EVENTS:
            context.record_harmless(self._first_event_s)
        if self._attempt_events == _TIMED_STEPS + 1:
            self._record_step_time()
        self._has_resume_id = event_id is not None

    def _record_step_time(self) -> None:
        """Record the mean time between the first events of the attempt."""
        if self._target is None:
            return
        context = self._context
        took_s = context.shared.clock.monotonic_s() - self._first_event_s
        context.shared.placement.record_step_time(
            self._target, took_s * 1000 / _TIMED_STEPS
        )

    def _record_early_end(self) -> None:
        """Record which target ended the stream although it goes on."""
        target = self._ended_target
        if target is None:
            return
        self._ended_target = None
        context = self._context
        context.record_early_end(target, 'another target sends more events')
        context.record_attempt_failure(
            target, Failure.BROKEN, 'stream ended early'
        )

    def _start_response(self, response: TargetResponse) -> None:
        """Begin the response to the caller with the head of an engine's."""
        context = self._context
        context.first_byte_s = context.shared.clock.monotonic_s()
        self._began_identified = self._is_identified()
        context.count_usage()
        self._record_origin()
        context.responder.start_stream(response.status, response.headers)
        self._started_response = response
        if context.request.prompt is not None and self._target is not None:
            context.shared.placement.record_prefill(
                context.request.prompt,
                self._target,
            )

    def _is_end_of_taken_up_stream(self, events: int) -> bool:
        """Tell whether a caller has taken up a stream after its last event.

        It lacks only the end, which its connection lost.
        """
        context = self._context
        return (
            not events
            and context.request.resume_after is not None
            and not context.responder.has_started
            and context.framing is Framing.DELIMITED
        )

    def _require_retry(self) -> None:
        """Raise GatewayError unless the request may be retried elsewhere."""
        context = self._context
        if not self._has_resume_id or not context.allow_retry():
            raise context.build_error('target_failed')
