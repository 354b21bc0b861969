"""Runs requests of model engines: prompt reading, then a stream of events."""

from contextlib import closing
from datetime import timedelta
from http import HTTPStatus
from typing import Final, NamedTuple, final

from peridotrill.exceptions import (
    CodecError,
    TargetError,
    TargetOutcomeUnknown,
    TargetTimeout,
    TargetUnreachable,
)
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.event_stream import EventSplitter
from peridotrill.gateway.metrics import ATTEMPTS
from peridotrill.gateway.placement import Pool
from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.serving import RequestRun
from peridotrill.gateway.target_health import Failure
from peridotrill.gateway.target_messages import TargetReply
from peridotrill.gateway.target_port import TargetExchange
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Lowest status that is not a success.
_FIRST_ERROR: Final = 300
# Time below which an output is not begun: no event would come in time.
_MIN_USEFUL_S: Final = 0.05
# Time without an answer after which an engine counts as silent: several times
# what a full queue takes.
_READING_PATIENCE: Final = timedelta(seconds=1.5)
_OUTPUT_PATIENCE: Final = timedelta(seconds=0.9)
# An engine that reads other prompts first may take several times the time
# that reading a prompt takes.
_READING_FACTOR: Final = 3
# Fixed times of an idle engine, measured: of a call that reads a prompt, and
# from the place at a decode engine to the first event.
_READING_S: Final = 0.03
_OUTPUT_S: Final = 0.04
# Time of a token at an engine that is nearly idle.
_TOKEN_S: Final = 0.0045
# Rank of a route with priority 0 at an engine, where 5 is the default.
_ENGINE_PRIORITY_BASE: Final = 3
_ENGINE_PRIORITY_MAX: Final = 9
# Requests that missed their goal let those go first that can meet it.
_ENGINE_PRIORITY_LATE: Final = 3


class PreparedPrompt(NamedTuple):
    """A prompt that was read at ``target`` and is kept there."""

    target: TargetRecord
    handle: str


async def run_stream(run: RequestRun) -> None:
    """Serve a request; raises GatewayError."""
    prepared: PreparedPrompt | Reservation | None = None
    prompt = run.request.prompt
    if prompt is not None:
        run.shared.demand.record(
            run.service,
            run.shared.placement.prefill_work_ms(prompt),
            _expected_tokens(prompt),
        )
        prepared = await _prepare(run, prompt)
    if isinstance(prepared, Reservation):
        generation = _Generation(run, None, prepared)
    else:
        generation = _Generation(run, prepared)
    try:
        await generation.execute()
    finally:
        if isinstance(prepared, PreparedPrompt) and not generation.took_prompt:
            run.shared.start_task(_release, run, prepared)


async def _release(run: RequestRun, prepared: PreparedPrompt) -> None:
    try:
        await run.shared.targets.release_prompt(
            prepared.target,
            prepared.handle,
        )
    except TargetError as error:
        run.shared.log.write(
            'prompt_release_failed',
            request=run.request.request_id,
            target=prepared.target.target_id,
            error=str(error),
        )


async def _prepare(
    run: RequestRun,
    prompt: Prompt,
) -> PreparedPrompt | Reservation:
    """Have the prompt read, or return the place of an engine that does both."""
    excluded: set[str] = set()
    while True:
        reservation = await _find_reader(run, prompt, excluded)
        if reservation.target.role is not TargetRole.PREFILL:
            return reservation
        excluded.add(reservation.target.target_id)
        prepared, was_sent = await _try_prefill(run, prompt, reservation)
        if prepared is not None:
            return prepared
        if was_sent and not run.take_repeat():
            raise run.refuse('prefill_failed')


async def _find_reader(
    run: RequestRun,
    prompt: Prompt,
    excluded: set[str],
) -> Reservation:
    placement = run.shared.placement
    await run.require_target(excluded)
    pool = Pool.SHORT_READING
    if placement.is_long(prompt):
        pool = Pool.LONG_READING
    work_ms = placement.prefill_work_ms(prompt)
    return await run.find_place(
        pool,
        placement.prefill_finder(run.service, prompt, excluded),
        work_ms,
        work_ms / 1000 + _READING_S + _OUTPUT_S,
        run.deadline_s - _MIN_USEFUL_S - _output_s(prompt),
    )


async def _try_prefill(
    run: RequestRun,
    prompt: Prompt,
    reservation: Reservation,
) -> tuple[PreparedPrompt | None, bool]:
    """Return the prepared prompt, and whether the target got the call."""
    target = reservation.target
    try:
        handle = await _read_prompt(run, prompt, reservation)
    except TargetUnreachable as error:
        run.note_failure(target, Failure.UNREACHABLE, str(error))
        return None, False
    except TargetTimeout:
        return None, True
    except (TargetOutcomeUnknown, CodecError) as error:
        run.note_failure(target, Failure.BROKEN, str(error))
        return None, True
    finally:
        run.shared.placement.release(reservation, run.service)
    if handle is None:
        return None, True
    run.shared.health.record_success(target.target_id)
    return PreparedPrompt(target, handle), True


async def _read_prompt(
    run: RequestRun,
    prompt: Prompt,
    reservation: Reservation,
) -> str | None:
    """Have a prompt read; return its handle, or None if it was rejected."""
    shared = run.shared
    target = reservation.target
    started_s = shared.clock.monotonic_s()
    source = shared.placement.find_part_holder(prompt, target.target_id)
    exchange = await shared.targets.send(
        run.request,
        target,
        run.options(target)._replace(
            priority=_engine_priority(run),
            role=TargetRole.PREFILL,
            kv_fetch=None if source is None else str(source.address),
        ),
        may_repeat=True,
    )
    with closing(exchange):
        reply = await run.read_reply(
            target,
            exchange,
            _READING_PATIENCE
            + timedelta(milliseconds=reservation.prefill_ms) * _READING_FACTOR,
            can_leave=True,
        )
        body = await exchange.read_body()
    if reply.status != HTTPStatus.OK:
        run.note_refused(target, reply)
        return None
    prefilled = shared.wire.decode_prefilled(body)
    shared.placement.record_prefill(prompt, target)
    shared.log.write(
        'prompt_read',
        request=run.request.request_id,
        target=target.target_id,
        tokens=prefilled.tokens,
        shared=prompt.shared_tokens,
        part=None if prompt.main_part is None else prompt.main_part.part_id,
        estimate_ms=round(reservation.prefill_ms),
        took_ms=round((shared.clock.monotonic_s() - started_s) * 1000),
        fetch=None if source is None else source.target_id,
    )
    return prefilled.handle


def _output_s(prompt: Prompt) -> float:
    """Return the least time that the expected output takes."""
    return _expected_tokens(prompt) * _TOKEN_S


def _expected_tokens(prompt: Prompt) -> int:
    expected = prompt.expected_output_tokens
    if expected is None:
        return prompt.max_output_tokens
    return min(expected, prompt.max_output_tokens)


def _engine_priority(run: RequestRun) -> int:
    priority = _ENGINE_PRIORITY_BASE + run.priority
    if run.is_late():
        priority += _ENGINE_PRIORITY_LATE
    return min(_ENGINE_PRIORITY_MAX, priority)


def _is_repeated(event_id: bytes | None, last_id: bytes | None) -> bool:
    """Tell whether the caller has an event; ids are increasing numbers."""
    if event_id is None or last_id is None:
        return False
    if not event_id.isdigit() or not last_id.isdigit():
        return False
    return int(event_id) <= int(last_id)


@final
class _Generation:
    """The output of one request, from one engine or several in turn."""

    def __init__(
        self,
        run: RequestRun,
        prepared: PreparedPrompt | None,
        reservation: Reservation | None = None,
    ) -> None:
        """:param place: of an engine that reads the prompt itself."""
        self._run = run
        self._prepared = prepared
        self._reservation = reservation
        self._target: TargetRecord | None = None
        self._last_id = run.request.resume_after
        self._events = 0
        self._use_handle = prepared is not None
        self.took_prompt = False

    async def execute(self) -> None:
        """Stream the whole output; raises GatewayError."""
        while True:
            if self._reservation is None:
                self._reservation = await self._find_place()
            try:
                if await self._try_target(self._reservation):
                    return
            finally:
                self._run.shared.placement.release(
                    self._reservation,
                    self._run.service,
                )
                self._reservation = None

    def _end_reading(self) -> None:
        """Note that the engine has read the prompt: its output begins."""
        if self._reservation is not None and self._reservation.prefill_ms:
            self._reservation = self._run.shared.placement.release_prefill(
                self._reservation,
                self._run.service,
            )

    def _reading_time(self) -> timedelta:
        """Return the time that the engine takes to read the prompt itself."""
        prefill_ms = (
            0 if self._reservation is None else self._reservation.prefill_ms
        )
        return timedelta(milliseconds=prefill_ms)

    async def _find_place(self) -> Reservation:
        run = self._run
        await run.require_target(run.excluded)
        return await run.find_place(
            Pool.DECODE,
            run.shared.placement.decode_finder(
                run.service,
                run.request.prompt,
                run.excluded,
            ),
            1,
            _OUTPUT_S,
            run.deadline_s - _MIN_USEFUL_S,
        )

    async def _try_target(self, reservation: Reservation) -> bool:
        """Return whether the answer is complete; else try another."""
        run = self._run
        target = reservation.target
        run.excluded.add(target.target_id)
        self._target = target
        try:
            return await self._generate(target)
        except TargetUnreachable as error:
            run.note_failure(target, Failure.UNREACHABLE, str(error))
        except TargetTimeout:
            self._require_repeat()
        except TargetOutcomeUnknown as error:
            # An engine that breaks off an answer has most likely begun it.
            run.count_start()
            run.note_failure(target, Failure.BROKEN, str(error))
            self._require_repeat()
        return False

    async def _generate(self, target: TargetRecord) -> bool:
        """Send the request and pass the output on."""
        run = self._run
        exchange = await self._send(target)
        with closing(exchange):
            reply = await run.read_reply(
                target,
                exchange,
                _OUTPUT_PATIENCE + self._reading_time() * _READING_FACTOR,
                run.has_other_target(),
            )
            run.note_load(target, reply)
            if reply.not_run:
                # The prompt may be gone from the engine that read it: the
                # next engine reads what it lacks itself.
                self._use_handle = False
                run.settle_rejection(target, reply)
                return False
            self.took_prompt = self._use_handle
            self._use_handle = False
            if not reply.is_genuine:
                raise TargetOutcomeUnknown('answer proves nothing')
            if reply.status >= _FIRST_ERROR:
                return await self._pass_error(target, reply, exchange)
            await self._pass_events(reply, exchange)
        run.shared.health.record_success(target.target_id)
        ATTEMPTS.labels(run.service, 'answered').inc()
        run.outcome = 'answered'
        return True

    async def _send(self, target: TargetRecord) -> TargetExchange:
        run = self._run
        source = None
        fetch = None
        if self._prepared is not None and self._use_handle:
            address = self._prepared.target.address
            source = f'{address}/{self._prepared.handle}'
        elif self._prepared is not None:
            fetch = str(self._prepared.target.address)
        elif run.shared.placement.is_long(run.request.prompt):
            fetch = self._find_fetch(target)
        exchange = await run.shared.targets.send(
            run.request,
            target,
            run.options(target)._replace(
                priority=_engine_priority(run),
                kv_source=source,
                kv_fetch=fetch,
                resume_after=self._last_id,
            ),
            run.route.is_repeatable,
        )
        run.note_sent(target)
        return exchange

    def _find_fetch(self, target: TargetRecord) -> str | None:
        """Return the engine that most likely keeps the shared parts."""
        run = self._run
        if run.request.prompt is None:
            return None
        holder = run.shared.placement.find_part_holder(
            run.request.prompt,
            target.target_id,
        )
        return None if holder is None else str(holder.address)

    async def _pass_error(
        self,
        target: TargetRecord,
        reply: TargetReply,
        exchange: TargetExchange,
    ) -> bool:
        run = self._run
        body = await exchange.read_body()
        run.note_failure(target, Failure.ERROR, f'status {reply.status}')
        if self._events:
            self._require_repeat()
            return False
        if run.may_repeat():
            return False
        run.responder.send(reply.status, reply.headers, body)
        run.outcome = 'target_error'
        return True

    async def _pass_events(
        self,
        reply: TargetReply,
        exchange: TargetExchange,
    ) -> None:
        run = self._run
        splitter = EventSplitter()
        while True:
            part = await exchange.read_part()
            if part is None:
                break
            for event in splitter.feed(part):
                if not _is_repeated(event.event_id, self._last_id):
                    self._pass_event(reply, event.content, event.event_id)
            await run.responder.drain()
        if splitter.has_rest or not run.responder.has_started:
            raise TargetOutcomeUnknown('stream ended inside an event')
        run.responder.end_stream()

    def _pass_event(
        self,
        reply: TargetReply,
        content: bytes,
        event_id: bytes | None,
    ) -> None:
        run = self._run
        self._end_reading()
        if not run.responder.has_started:
            run.first_byte_s = run.shared.clock.monotonic_s()
            run.count_start()
            run.responder.start_stream(reply.status, reply.headers)
            if run.request.prompt is not None and self._target is not None:
                run.shared.placement.record_prefill(
                    run.request.prompt,
                    self._target,
                )
        run.responder.send_part(content)
        self._events += 1
        if event_id is not None:
            self._last_id = event_id

    def _require_repeat(self) -> None:
        """Raise GatewayError unless the request may go on at another engine."""
        run = self._run
        if not run.may_repeat():
            raise run.refuse('target_failed')
