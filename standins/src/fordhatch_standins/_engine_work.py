"""Request processing of an engine: a queue, slots, and events at its pace."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs

from ._calls import BackendCall, CutOff, NotExecuted, SlotQueue, event_bytes
from ._engine_fleet import EngineFleet
from ._engine_model import EngineModel

_UNAVAILABLE, _MISDIRECTED = 503, 421

RESPONSE_HEAD = b""
"""Marks the head of an answer, which is sent when a request begins to run."""

CRASH_DELAY_S = 0.12
"""Time from the start of a request that crashes an engine until the crash."""


@attrs.frozen
class EnginePace:
    """Timing and capacity of an engine.

    ``model_factor`` scales the times for a model.
    """

    slots: int = 13
    queue: int = 26
    step_s: float = 0.00607
    per_sequence_s: float = 0.000482
    read_tokens_per_s: float = 46_000.0
    tokens_per_event: int = 5
    model_factor: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False, repr=False)
class EngineWork:
    """Processes the requests of one engine as the head of its current group."""

    engine: EngineModel
    fleet: EngineFleet
    pace: EnginePace
    ends_under: Callable[[BackendCall], bool] = lambda call: False
    """Whether a request crashes the engine when it begins to run."""
    on_crash: Callable[[EngineModel], None] = lambda engine: None
    """Called when a request crashes the engine."""
    running: int = 0
    _slot_queue: SlotQueue = attrs.field(factory=SlotQueue)

    async def serve(self, call: BackendCall) -> AsyncIterator[bytes]:
        """Yield the events of a request's answer.

        Raises:
            NotExecuted: If the request has not run and will not run.
            CutOff: If the connection closes before the answer is complete.
        """
        place = self._check(call)
        if self.running >= self.pace.slots:
            if len(self._slot_queue) >= self.pace.queue:
                raise NotExecuted(_UNAVAILABLE)
            await self._slot_queue.wait(call.urgency)
        self.running += 1
        try:
            if not self.engine.serves or self.engine.place is not place:
                raise NotExecuted(_UNAVAILABLE, self._missing_member())
            self.fleet.begin_run(self.engine, call.request_id)
            yield RESPONSE_HEAD
            if self.ends_under(call):
                await asyncio.sleep(CRASH_DELAY_S)
                self.on_crash(self.engine)
            async for event in self._events(call):
                yield event
        finally:
            self.running -= 1
            self._slot_queue.wake_first()

    def _check(self, call: BackendCall) -> object:
        if self.engine.is_dead:
            raise CutOff
        if call.backend_id != self.engine.backend_id:
            raise NotExecuted(_MISDIRECTED, self.engine.backend_id)
        if not self.engine.serves:
            raise NotExecuted(_UNAVAILABLE, self._missing_member())
        return self.engine.place

    def _missing_member(self) -> str:
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
        await self._run_for(place, read_tokens / self.pace.read_tokens_per_s)
        for index in range(call.last_event + 1, max(total, 1)):
            await self._run_for(place, self._event_duration_s())
            yield event_bytes(call.body, index)

    def _event_duration_s(self) -> float:
        step_s = self.pace.step_s + self.running * self.pace.per_sequence_s
        return self.pace.tokens_per_event * step_s

    async def _run_for(self, place: object, duration_s: float) -> None:
        """Run for a duration, scaled by the slowest member, and pause during a stall.

        Raises:
            CutOff: If the engine has left the place or no longer serves there.
        """
        members = self.fleet.members(self.engine)
        factor = max((m.slow_factor for m in members), default=1)
        factor *= self.pace.model_factor.get(self.engine.place.model, 1.0)
        await asyncio.sleep(duration_s * factor)
        for member in members:
            await member.stand_still.wait()
        while self.engine.is_stalled and self._is_serving_at(place):
            await self.engine.wait_for_change()
        if not self._is_serving_at(place):
            raise CutOff(is_crash=self.engine.is_dead)

    def _is_serving_at(self, place: object) -> bool:
        serving_states = ("open", "closing", "ready")
        engine = self.engine
        same = engine.place is place and engine.place is not None
        return same and not engine.is_dead and engine.place.state in serving_states
