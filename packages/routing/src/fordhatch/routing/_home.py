"""Dispatch at a home node: the only place that sends requests to a group."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any, Protocol

import attrs
from result import Err, Ok, Result

from fordhatch.core import (
    Failure,
    InvariantGuard,
    Ran,
    ResultCode,
    TaskSet,
    Timer,
    log_event,
    metrics,
)
from fordhatch.engine import BackendStatus, EngineClient, Finish, Generate, PlainAnswer
from fordhatch.groups import PLAIN, GroupMap, GroupRow, PermitBook
from fordhatch.protocol import to_refused
from fordhatch.protocol.messages import Answer, Dispatch, Finished, LoadHint, Piece

from ._claims import ClaimKey, ClaimService, ClaimTarget, Present, Ticket
from ._desk import GroupDesk
from ._stream import StreamAssembler

STALL_CHECK_S = 0.5
"""How often silent streams are looked at."""

STALL_AFTER_S = 1.0
"""A stream silent for so long is broken off when its group lost its permit."""

SILENCE_LIMIT_S = 8.0
"""A stream silent for so long is broken off in any case."""


class Outbox(Protocol):
    """Where answers go: a channel to another node, or to this one."""

    async def send(self, message: object) -> Result[None, Failure]:
        """Send a message to the entry node."""
        ...


@attrs.define(eq=False)
class _ActiveStream:
    """A stream in progress, for the stall monitor."""

    row: GroupRow
    scope: asyncio.Timeout
    last_event_s: float
    stalled: bool = False


@attrs.define(eq=False)
class HomeDispatcher:
    """Admits, claims, sends and checks requests for the groups of this node."""

    groups: GroupMap
    permits: PermitBook
    engines: EngineClient
    claims: ClaimService
    timer: Timer
    max_queued: int
    max_queue_wait_s: float
    last_status: dict[str, BackendStatus]
    """Last report of each probed member, by instance."""
    in_flight: Counter[str] = attrs.field(factory=Counter)
    """Requests sent to each group and not yet ended."""
    guard: InvariantGuard = attrs.field(factory=lambda: InvariantGuard("dispatch"))
    _desks: dict[str, GroupDesk] = attrs.field(factory=dict)
    _streams: set[_ActiveStream] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Start the stall monitor."""
        self._tasks.spawn(
            self.timer.every(STALL_CHECK_S, self._break_stalled, name="stalls"),
            "stalls",
        )

    async def serve(self, dispatch: Dispatch, outbox: Outbox) -> None:
        """Serve one dispatched request; every outcome goes to ``outbox``."""
        if dispatch.repeatable:
            served = await self._serve(dispatch, outbox)
        else:
            # Work that must not run twice is finished and its answer kept even if
            # the caller has gone away meanwhile.
            task = self._tasks.spawn(self._serve(dispatch, outbox), "once")
            served = await asyncio.shield(task)
        if served.is_err():
            metrics.ATTEMPTS.labels(served.unwrap_err().code.name).inc()
            await outbox.send(to_refused(served.unwrap_err()))
        else:
            metrics.ATTEMPTS.labels("OK").inc()

    async def _serve(self, dispatch: Dispatch, outbox: Outbox) -> Result[None, Failure]:
        row = self.groups.rows.get(dispatch.group_id)
        if row is None or not self._permitted(dispatch):
            return Err(_not_ready(dispatch))
        desk = self._desk(row)
        await outbox.send(self._hint(row.group_id, desk))
        entered = await desk.enter(
            dispatch.workspace, dispatch.weight, dispatch.priority, dispatch.timeout_s
        )
        if entered.is_err():
            return entered
        started_s = self.timer.now_s()
        self.in_flight[row.group_id] += 1
        try:
            return await self._run(row, dispatch, outbox)
        finally:
            self.in_flight[row.group_id] -= 1
            desk.leave(self.timer.now_s() - started_s)

    def _permitted(self, dispatch: Dispatch) -> bool:
        return self.permits.valid(dispatch.group_id, dispatch.epoch)

    def _desk(self, row: GroupRow) -> GroupDesk:
        desk = self._desks.get(row.group_id)
        if desk is None:
            desk = GroupDesk.from_limits(
                row.max_running, self.max_queued, self.max_queue_wait_s, self.timer
            )
            self._desks[row.group_id] = desk
        if desk.capacity != row.max_running:
            desk.capacity = row.max_running
            desk.admit()
        return desk

    def _hint(self, group_id: str, desk: GroupDesk) -> LoadHint:
        return LoadHint(
            group_id,
            desk.running,
            len(desk.queue),
            desk.capacity,
            desk.mean_service_s,
        )

    async def _run(
        self, row: GroupRow, dispatch: Dispatch, outbox: Outbox
    ) -> Result[None, Failure]:
        ticket: Ticket | None = None
        if dispatch.idempotency_key:
            taken = await self._claim(row, dispatch)
            if taken.is_err():
                return taken
            ticket = taken.unwrap()
        if not self._permitted(dispatch):
            # Time passed in the queue and for the claim; the permit may be gone.
            if ticket is not None:
                await self.claims.release(ticket)
            return Err(_not_ready(dispatch))
        send = self._call if row.kind == PLAIN else self._generate
        done = await send(row, dispatch, outbox)
        if ticket is not None:
            await self._settle(ticket, done)
        if done.is_err():
            return Err(done.unwrap_err())
        await outbox.send(_last_message(done.unwrap()))
        return Ok(None)

    # Claims.

    async def _claim(
        self, row: GroupRow, dispatch: Dispatch
    ) -> Result[Ticket, Failure]:
        key = ClaimKey(
            dispatch.workspace, dispatch.idempotency_key, dispatch.request_digest
        )
        first = row.members[0]
        status = self.last_status.get(first.instance_id)
        boot_id = status.boot_id if status and row.kind != PLAIN else ""
        target = ClaimTarget(
            dispatch.request_id, row.group_id, row.epoch, first.address, boot_id
        )
        taken = await self.claims.take(key, target)
        if taken.is_err():
            return taken
        if isinstance(taken.unwrap(), Present):
            # The entry node looks at the claim again and waits or answers.
            return Err(Failure.from_code(ResultCode.IN_PROGRESS, retry_after_s=1.0))
        return Ok(taken.unwrap())

    async def _settle(self, ticket: Ticket, done: Result[_Done, Failure]) -> None:
        if done.is_err() and done.unwrap_err().ran is Ran.NO:
            await self.claims.release(ticket)
            return
        answer = None
        if done.is_ok() and not isinstance(done.unwrap(), PlainAnswer):
            answer = Answer(200, {}, done.unwrap().to_bytes())
        elif done.is_ok():
            answer = _plain_message(done.unwrap())
        await self.claims.close_claim(ticket, answer)

    # Sending.

    async def _call(
        self, row: GroupRow, dispatch: Dispatch, outbox: Outbox
    ) -> Result[PlainAnswer, Failure]:
        return await self.engines.call(
            row.members[0].address,
            dispatch.method,
            dispatch.path,
            dispatch.headers,
            dispatch.body,
            dispatch.timeout_s,
        )

    async def _generate(
        self, row: GroupRow, dispatch: Dispatch, outbox: Outbox
    ) -> Result[_Completed, Failure]:
        address = row.members[0].address
        request = _to_generate(dispatch)
        finished = False
        events = self.engines.generate(address, request)
        try:
            done = await self._follow(row, dispatch, events, outbox)
            finished = done.is_ok() or done.unwrap_err().ran is Ran.NO
            return done
        finally:
            await events.aclose()
            if not finished:
                cancel = self.engines.cancel(address, dispatch.request_id)
                self._tasks.spawn(cancel, "cancel")

    async def _follow(
        self,
        row: GroupRow,
        dispatch: Dispatch,
        events: AsyncIterator[Result[Any, Failure]],
        outbox: Outbox,
    ) -> Result[_Completed, Failure]:
        stream: _ActiveStream | None = None
        try:
            async with asyncio.timeout(dispatch.timeout_s) as scope:
                stream = _ActiveStream(row, scope, self.timer.now_s())
                self._streams.add(stream)
                return await self._pass_on(dispatch, events, outbox, stream)
        except TimeoutError:
            code = ResultCode.DEADLINE_EXCEEDED
            if stream is not None and stream.stalled:
                code = ResultCode.BACKEND_LOST
            return Err(Failure.from_code(code, ran=Ran.MAYBE))
        finally:
            self._streams.discard(stream)

    async def _pass_on(
        self,
        dispatch: Dispatch,
        events: AsyncIterator[Result[Any, Failure]],
        outbox: Outbox,
        stream: _ActiveStream,
    ) -> Result[_Completed, Failure]:
        names = (dispatch.request_id, dispatch.group_id, dispatch.epoch)
        assembler = StreamAssembler(dispatch.resume_from)
        text: list[str] = []
        async for event in events:
            if event.is_err():
                return event
            stream.last_event_s = self.timer.now_s()
            part = event.unwrap()
            if (part.request_id, part.group_id, part.epoch) != names:
                log_event("wrong_answer", group=dispatch.group_id, got=part.group_id)
                return Err(Failure.from_code(ResultCode.WRONG_ANSWER))
            if isinstance(part, Finish):
                whole = assembler.finish(part.tokens)
                return whole.map(lambda _, p=part: _Completed("".join(text), p))
            ready = assembler.take(part.index, part.text)
            if ready.is_err():
                return ready
            for index, piece in ready.unwrap():
                text.append(piece)
                await outbox.send(Piece(index, piece))
        return Err(Failure.from_code(ResultCode.STREAM_INCOMPLETE))

    async def _break_stalled(self) -> None:
        now_s = self.timer.now_s()
        for stream in list(self._streams):
            silent_s = now_s - stream.last_event_s
            row = stream.row
            lost = not self.permits.valid(row.group_id, row.epoch)
            if (silent_s > STALL_AFTER_S and lost) or silent_s > SILENCE_LIMIT_S:
                stream.stalled = True
                stream.scope.reschedule(now_s)

    def total_in_flight(self) -> int:
        """Return the requests this node has sent and not yet ended."""
        return sum(self.in_flight.values())

    def forget_groups(self) -> None:
        """Drop the desks of groups that are gone and idle."""
        for group_id in list(self._desks):
            desk = self._desks[group_id]
            gone = group_id not in self.groups.rows
            if gone and not desk.running and not len(desk.queue):
                del self._desks[group_id]
                self.in_flight.pop(group_id, None)

    async def close(self) -> None:
        """Wait for the last answers, then stop."""
        await self._tasks.close()


@attrs.frozen
class _Completed:
    """A model's whole answer."""

    text: str
    finish: Finish

    def to_bytes(self) -> bytes:
        """Return the form in which the answer is stored."""
        stored = {
            "text": self.text,
            "tokens": self.finish.tokens,
            "reason": self.finish.reason,
        }
        return json.dumps(stored).encode()


_Done = _Completed | PlainAnswer


def _last_message(done: _Done) -> Finished | Answer:
    if isinstance(done, PlainAnswer):
        return _plain_message(done)
    return Finished(done.finish.reason, done.finish.tokens, done.finish.cached_tokens)


def _plain_message(answer: PlainAnswer) -> Answer:
    return Answer(answer.status, answer.headers, answer.body)


def _to_generate(dispatch: Dispatch) -> Generate:
    return Generate(
        dispatch.request_id,
        dispatch.group_id,
        dispatch.epoch,
        json.loads(dispatch.body),
        dispatch.adapter,
        dispatch.priority,
        dispatch.resume_from,
        dispatch.delivered,
    )


def _not_ready(dispatch: Dispatch) -> Failure:
    return Failure.from_code(
        ResultCode.NO_GROUP_READY,
        f"no permit for {dispatch.group_id}",
        retry_after_s=1.0,
    )
