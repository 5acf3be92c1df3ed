"""How an engine works on its requests: a queue, slots, and events at its pace."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs

from ._calls import BackendCall, CutOff, NotExecuted, Waiting, event_bytes
from ._engine_fleet import EngineFleet
from ._engine_model import EngineModel

_FULL, _OTHER = 503, 421

HEAD = b""
"""Stands for the head of an answer, which comes as a request begins to run."""

CRASH_AFTER_S = 0.12
"""From the moment at which an engine begins to run a request that ends it."""


@attrs.frozen
class EnginePace:
    """Times of an engine; those of a model are a factor on them."""

    slots: int = 13
    queue: int = 26
    step_s: float = 0.00607
    per_sequence_s: float = 0.000482
    read_tokens_per_s: float = 46_000.0
    tokens_per_event: int = 5
    model_factor: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False, repr=False)
class EngineWork:
    """The requests of one engine, as the head of whatever group it is in."""

    engine: EngineModel
    fleet: EngineFleet
    pace: EnginePace
    ends_under: Callable[[BackendCall], bool] = lambda call: False
    """Whether the engine's process ends when it begins to run a request."""
    on_crash: Callable[[EngineModel], None] = lambda engine: None
    """Called then."""
    running: int = 0
    _waiting: Waiting = attrs.field(factory=Waiting)

    async def serve(self, call: BackendCall) -> AsyncIterator[bytes]:
        """Yield the events of a request's answer.

        Raises:
            NotExecuted: If the request has not run and never will.
            CutOff: If the connection ends without a complete answer.
        """
        place = self._check(call)
        if self.running >= self.pace.slots:
            if len(self._waiting) >= self.pace.queue:
                raise NotExecuted(_FULL)
            await self._waiting.wait(call.urgency)
        self.running += 1
        try:
            if not self.engine.serves or self.engine.place is not place:
                raise NotExecuted(_FULL, self._missing())
            self.fleet.begin_run(self.engine, call.request_id)
            yield HEAD
            if self.ends_under(call):
                await asyncio.sleep(CRASH_AFTER_S)
                self.on_crash(self.engine)
            async for event in self._events(call):
                yield event
        finally:
            self.running -= 1
            self._waiting.wake_first()

    def _check(self, call: BackendCall) -> object:
        if self.engine.is_dead:
            raise CutOff
        if call.backend_id != self.engine.backend_id:
            raise NotExecuted(_OTHER, self.engine.backend_id)
        if not self.engine.serves:
            raise NotExecuted(_FULL, self._missing())
        return self.engine.place

    def _missing(self) -> str:
        place = self.engine.place
        if place is None:
            return ""
        members = self.fleet.members(self.engine)
        return next((m.backend_id for m in members if m.is_dead), "")

    async def _events(self, call: BackendCall) -> AsyncIterator[bytes]:
        place = self.engine.place
        total = -(-call.output_tokens // self.pace.tokens_per_event)
        read_tokens = call.prompt_tokens
        if call.last_event >= 0:
            read_tokens += (call.last_event + 1) * self.pace.tokens_per_event
        await self._work(place, read_tokens / self.pace.read_tokens_per_s)
        for index in range(call.last_event + 1, max(total, 1)):
            await self._work(place, self._pass_s())
            yield event_bytes(call.body, index)

    def _pass_s(self) -> float:
        step_s = self.pace.step_s + self.running * self.pace.per_sequence_s
        return self.pace.tokens_per_event * step_s

    async def _work(self, place: object, duration_s: float) -> None:
        """Work for a while, as fast as the slowest member; stand still if need be."""
        factor = max(
            (m.slow_factor for m in self.fleet.members(self.engine)), default=1
        )
        factor *= self.pace.model_factor.get(self.engine.place.model, 1.0)
        await asyncio.sleep(duration_s * factor)
        while self.engine.is_still and self._is_at(place):
            await self.engine.until_moved()
        if not self._is_at(place):
            raise CutOff

    def _is_at(self, place: object) -> bool:
        at_work = ("open", "closing", "ready")
        engine = self.engine
        same = engine.place is place and engine.place is not None
        return same and not engine.is_dead and engine.place.state in at_work
