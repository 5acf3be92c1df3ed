"""Fakes at the interfaces, for tests within one process and on a virtual clock."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode, unstructure
from fordhatch.engine import (
    BackendStatus,
    CacheEvents,
    CancelOutcome,
    Finish,
    Generate,
    Order,
    PlainAnswer,
    Token,
)

from ._engine import Engine, EngineProfile
from ._plain import PlainServer
from ._platform import WeightStore

SILENCE_S = 5.0
"""A call on a frozen backend server fails after this time."""

Hook = Callable[[str], Awaitable[None]]
"""Awaited with the name of a step just before it is taken."""


Events = AsyncIterator[Result[Token | Finish, Failure]]
"""The events of one stream."""


async def _no_hook(step: str) -> None:
    return None


@attrs.define(eq=False)
class _MemorySurroundings:
    """The weight store and the other members within one process."""

    engines: MemoryEngines

    async def fetch_weights(self, size_bytes: int) -> None:
        if self.engines.weights is not None:
            await self.engines.weights.fetch(size_bytes)

    async def is_member(self, address: str, order: Order) -> bool:
        engine = self.engines.reached(address)
        if not isinstance(engine, Engine) or engine.order_in_force is None:
            return False
        held = engine.order_in_force
        return (held.group_id, held.epoch) == (order.group_id, order.epoch)

    async def close(self) -> None:
        return None


@attrs.define(eq=False)
class MemoryEngines:
    """An engine client whose backend servers live in the same process."""

    weights: WeightStore | None = None
    servers: dict[str, Engine | PlainServer] = attrs.field(factory=dict)
    """Backend server by address."""
    down: set[str] = attrs.field(factory=set)
    """Addresses that refuse connections."""
    frozen: set[str] = attrs.field(factory=set)
    """Addresses that accept connections and then say nothing."""
    before: Hook = _no_hook
    """Awaited before a request or an order is sent; tests freeze senders here."""
    change_next: Callable[[Events], Events] | None = None
    """Changes the events of the next stream on their way."""
    calls: Counter[str] = attrs.field(factory=Counter)

    async def add_engine(self, address: str, profile: EngineProfile) -> Engine:
        """Start an engine at an address."""
        engine = Engine(profile, _MemorySurroundings(self))
        self.servers[address] = engine
        await engine.start()
        return engine

    def reached(self, address: str) -> Engine | PlainServer | None:
        """Return the backend server at an address, if it can be reached."""
        if address in self.down or address in self.frozen:
            return None
        return self.servers.get(address)

    async def _reach(self, address: str) -> Result[Any, Failure]:
        if address in self.frozen:
            await asyncio.sleep(SILENCE_S)
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, "silent"))
        server = self.reached(address)
        if server is None:
            return Err(
                Failure.from_code(ResultCode.BACKEND_LOST, "refused", ran=Ran.NO)
            )
        return Ok(server)

    async def status(self, address: str) -> Result[BackendStatus, Failure]:
        """See ``EngineClient.status``."""
        self.calls["status"] += 1
        if address in self.frozen:
            await asyncio.sleep(0.8)
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, "silent"))
        found = await self._reach(address)
        return found.map(lambda server: server.status())

    async def order(self, address: str, order: Order) -> Result[BackendStatus, Failure]:
        """See ``EngineClient.order``."""
        self.calls["order"] += 1
        await self.before(f"order {order.instance_id}")
        found = await self._reach(address)
        if found.is_err():
            return found
        engine: Engine = found.unwrap()
        is_for_it = order.instance_id == engine.profile.instance_id
        if not is_for_it or not engine.take(order):
            return Err(Failure.from_code(ResultCode.BACKEND_REFUSED))
        return Ok(engine.status())

    async def generate(
        self, address: str, request: Generate
    ) -> AsyncIterator[Result[Token | Finish, Failure]]:
        """See ``EngineClient.generate``."""
        await self.before(f"generate {request.request_id}")
        found = await self._reach(address)
        if found.is_err():
            yield found
            return
        engine: Engine = found.unwrap()
        mark = {n: v for n, v in unstructure(request).items() if n != "body"}
        work = engine.admit({**request.body, "fordhatch": mark})
        if work is None:
            yield Err(Failure.from_code(ResultCode.BACKEND_REFUSED, retry_after_s=1.0))
            return
        events = self._events(address, engine, work)
        if self.change_next is not None:
            events, self.change_next = self.change_next(events), None
        try:
            async for event in events:
                yield event
        finally:
            if work.next_index < work.total:
                engine.cancel(work.request_id)

    async def _events(
        self, address: str, engine: Engine, work: Any
    ) -> AsyncIterator[Result[Token | Finish, Failure]]:
        held = engine.order_in_force
        while True:
            item = await work.out.get()
            order = engine.order_in_force or held
            names = (work.request_id, order.group_id, order.epoch)
            if address in self.frozen:
                await asyncio.Event().wait()
            if address in self.down or (item is not None and item[0] < 0):
                yield Err(Failure.from_code(ResultCode.BACKEND_LOST, "reset"))
                return
            if item is None:
                cached = work.cached_blocks
                yield Ok(Finish(*names, "stop", work.total, cached))
                return
            yield Ok(Token(*names, *item))

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[PlainAnswer, Failure]:
        """See ``EngineClient.call``."""
        await self.before(f"call {path}")
        found = await self._reach(address)
        if found.is_err():
            return found
        server: PlainServer = found.unwrap()
        if server.faults.refuse:
            return Err(Failure.from_code(ResultCode.BACKEND_REFUSED))
        answer = await server.execute(method, path, body)
        if address in self.down:
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, "reset"))
        return Ok(PlainAnswer(200, {"content-type": "application/json"}, answer))

    async def cancel(
        self, address: str, request_id: str
    ) -> Result[CancelOutcome, Failure]:
        """See ``EngineClient.cancel``."""
        found = await self._reach(address)
        if found.is_err():
            return found
        engine: Engine = found.unwrap()
        return Ok(CancelOutcome(engine.cancel(request_id), engine.boot_id))

    async def cache_events(
        self, address: str, after: int
    ) -> Result[CacheEvents, Failure]:
        """See ``EngineClient.cache_events``."""
        found = await self._reach(address)
        return found.map(lambda engine: CacheEvents(**engine.events_after(after)))

    async def close(self) -> None:
        """Stop every engine."""
        for server in self.servers.values():
            if isinstance(server, Engine):
                await server.stop()

    def executions(self) -> Counter[str]:
        """Return how often each request was started, over all backend servers."""
        total: Counter[str] = Counter()
        for server in self.servers.values():
            total.update(server.executions)
        return total
