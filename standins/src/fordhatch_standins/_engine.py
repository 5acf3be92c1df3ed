"""A stand-in for a model engine: continuous batching with predictable tokens."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter, OrderedDict
from typing import Any, Protocol

import aiohttp
import attrs
from aiohttp import web

from fordhatch.core import TaskSet, new_id, structure, unstructure
from fordhatch.engine import REFUSED_HEADER, BackendStatus, Order

BLOCK_CHARS = 64
"""Characters of a prompt in one block of the prefix cache."""

MEMBER_CHECK_S = 0.25
"""How often rank 0 checks that the other members still run."""

TOMBSTONES_KEPT = 4096
"""Cancelled requests that the engine remembers."""


@attrs.define
class EngineProfile:
    """What kind of engine this is."""

    instance_id: str
    checks_orders: bool = True
    load_s: float = 0.1
    """Fixed time of a load, besides the transfer from the weight store."""
    step_s: float = 0.01
    prefill_s_per_block: float = 0.002
    max_batch: int = 16
    cache_blocks: int = 256
    load_lag_s: float = 0.5
    event_lag_s: float = 0.5


@attrs.define
class EngineFaults:
    """What is wrong with the engine now."""

    leaving: bool = False
    step_factor: float = 1.0
    stream: str = ""
    """``double``, ``gap``, ``reorder``, ``wrong_request``, ``wrong_epoch``,
    ``truncate`` or ``reset``: done once, to the next stream."""
    refuse: bool = False


def token_text(prompt: str, adapter: str, index: int) -> str:
    """Return token ``index`` of the answer to a prompt; the oracle of every test."""
    seed = f"{prompt}|{adapter}|{index}".encode()
    return hashlib.blake2b(seed, digest_size=3).hexdigest() + " "


def prompt_of(body: dict[str, Any]) -> str:
    """Return the text of all messages of a chat completion request."""
    return "\n".join(str(m["content"]) for m in body["messages"])


@attrs.define(eq=False)
class Work:
    """One stream in the batch."""

    request_id: str
    prompt: str
    adapter: str
    next_index: int
    total: int
    priority: int
    order: int
    prefill_s: float
    cached_blocks: int
    out: asyncio.Queue[tuple[int, str] | None] = attrs.field(factory=asyncio.Queue)
    cancelled: bool = False


class Surroundings(Protocol):
    """What an engine needs of the world around it."""

    async def fetch_weights(self, size_bytes: int) -> None:
        """Return when the weights have arrived from the weight store."""
        ...

    async def is_member(self, address: str, order: Order) -> bool:
        """Return whether the engine at an address runs as a member of a group."""
        ...

    async def close(self) -> None:
        """Release what is held."""
        ...


@attrs.define(eq=False)
class HttpSurroundings:
    """The weight store and the other members over HTTP."""

    weight_store_url: str
    _session: aiohttp.ClientSession | None = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=None)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session

    async def fetch_weights(self, size_bytes: int) -> None:
        """See ``Surroundings.fetch_weights``."""
        url = self.weight_store_url + "/weights/fetch"
        while True:
            try:
                sent = {"size_bytes": size_bytes}
                async with self._open().post(url, json=sent) as reply:
                    if reply.ok:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.5)

    async def is_member(self, address: str, order: Order) -> bool:
        """See ``Surroundings.is_member``."""
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            url = f"http://{address}/status"
            async with self._open().get(url, timeout=timeout) as reply:
                status = await reply.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return (status["group_id"], status["epoch"]) == (order.group_id, order.epoch)

    async def close(self) -> None:
        """See ``Surroundings.close``."""
        if self._session is not None:
            await self._session.close()


@attrs.define(eq=False)
class Engine:
    """The state of one engine process."""

    profile: EngineProfile
    surroundings: Surroundings
    faults: EngineFaults = attrs.field(factory=EngineFaults)
    boot_id: str = attrs.field(factory=lambda: new_id("boot"))
    phase: str = "idle"
    order_in_force: Order | None = None
    fencing_token: int = 0
    weights: str = ""
    waiting: list[Work] = attrs.field(factory=list)
    running: list[Work] = attrs.field(factory=list)
    executions: Counter[str] = attrs.field(factory=Counter)
    """Fresh starts by digest of the prompt."""
    tokens_generated: int = 0
    cancelled: int = 0
    cache: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    seen: OrderedDict[str, bool] = attrs.field(factory=OrderedDict)
    """Requests by whether they are refused for good."""
    events: list[tuple[float, str, str]] = attrs.field(factory=list)
    published: tuple[int, int] = (0, 0)
    _arrivals: int = 0
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _loading: asyncio.Task[object] | None = None

    async def start(self) -> None:
        """Start decoding and publishing."""
        self._tasks.spawn(self._decode(), "decode")
        self._tasks.spawn(self._publish(), "publish")
        self._tasks.spawn(self._check_members(), "members")

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.close()
        await self.surroundings.close()

    def status(self) -> BackendStatus:
        """Return the engine's own report."""
        order = self.order_in_force
        report = BackendStatus(
            instance_id=self.profile.instance_id,
            boot_id=self.boot_id,
            phase=self.phase,
            leaving=self.faults.leaving,
            weights=self.weights,
            fencing_token=self.fencing_token,
            running=self.published[0],
            waiting=self.published[1],
            step_s=self.profile.step_s * self.faults.step_factor,
        )
        if order is None:
            return report
        return attrs.evolve(
            report,
            group_id=order.group_id,
            epoch=order.epoch,
            rank=order.rank,
            model=order.model,
            version=order.version,
            adapters=order.adapters,
        )

    def take(self, order: Order) -> bool:
        """Obey an order; returns False where it is refused as too old."""
        if self.profile.checks_orders and order.fencing_token < self.fencing_token:
            return False
        if self._only_adapters_differ(order):
            self.order_in_force = order
            return True
        self.fencing_token = order.fencing_token
        self._drop_streams()
        if self._loading is not None:
            self._loading.cancel()
        if order.kind == "release":
            self.order_in_force, self.phase = None, "idle"
            return True
        self.order_in_force, self.phase = order, "loading"
        self._loading = self._tasks.spawn(self._load(order), "load")
        return True

    def _only_adapters_differ(self, order: Order) -> bool:
        held = self.order_in_force
        if held is None or order.kind != "load":
            return False
        same = attrs.evolve(order, order_id=held.order_id, adapters=held.adapters)
        return same == held

    async def _load(self, order: Order) -> None:
        wanted = f"{order.model}/{order.version}/{order.rank}/{order.size}"
        if self.weights != wanted:
            self.weights = ""
            self.cache.clear()
            await asyncio.sleep(self.profile.load_s)
            await self.surroundings.fetch_weights(order.shard_bytes)
            self.weights = wanted
        self.phase = "ready"

    def admit(self, body: dict[str, Any]) -> Work | None:
        """Queue a request; None where it is refused as not run."""
        mark = body["fordhatch"]
        if not self._may_run(mark):
            return None
        self._remember(mark["request_id"], False)
        prompt = prompt_of(body)
        if mark["resume_from"] == 0:
            self.executions[hashlib.sha256(prompt.encode()).hexdigest()] += 1
        cached, missing = self._look_up(prompt)
        self._arrivals += 1
        work = Work(
            mark["request_id"],
            prompt,
            mark["adapter"],
            mark["resume_from"],
            int(body.get("max_tokens", 16)),
            int(mark["priority"]),
            self._arrivals,
            missing * self.profile.prefill_s_per_block,
            cached,
        )
        self.waiting.append(work)
        self.waiting.sort(key=lambda w: (-w.priority, w.order))
        self._wake.set()
        return work

    def _may_run(self, mark: dict[str, Any]) -> bool:
        order = self.order_in_force
        if self.faults.refuse or self.phase != "ready" or order is None:
            return False
        if self.seen.get(mark["request_id"], False):
            return False
        wrong = (mark["group_id"], mark["epoch"]) != (order.group_id, order.epoch)
        return not (wrong and self.profile.checks_orders)

    def cancel(self, request_id: str) -> bool:
        """Stop a request; returns whether it had ever been seen."""
        known = request_id in self.seen
        self._remember(request_id, True)
        for work in [*self.waiting, *self.running]:
            if work.request_id == request_id and not work.cancelled:
                work.cancelled = True
                self.cancelled += 1
        return known

    def _remember(self, request_id: str, refused: bool) -> None:
        self.seen[request_id] = refused
        while len(self.seen) > TOMBSTONES_KEPT:
            self.seen.popitem(last=False)

    def _look_up(self, prompt: str) -> tuple[int, int]:
        cached = missing = 0
        for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
            block = hashlib.blake2b(prompt[:end].encode(), digest_size=8).hexdigest()
            if block in self.cache and not missing:
                cached += 1
                self.cache.move_to_end(block)
                continue
            missing += 1
            self.cache[block] = None
            self._event("stored", block)
            if len(self.cache) > self.profile.cache_blocks:
                self._event("evicted", self.cache.popitem(last=False)[0])
        return cached, missing

    def _event(self, kind: str, block: str) -> None:
        self.events.append((asyncio.get_running_loop().time(), kind, block))

    def events_after(self, after: int) -> dict[str, Any]:
        """Return published cache events; every tenth is lost."""
        limit_s = asyncio.get_running_loop().time() - self.profile.event_lag_s
        stored, evicted, last = [], [], after
        for number, (at_s, kind, block) in enumerate(self.events[after:], after + 1):
            if at_s > limit_s:
                break
            last = number
            if number % 10:
                (stored if kind == "stored" else evicted).append(block)
        lost = any(n % 10 == 0 for n in range(after + 1, last + 1))
        first = after + 2 if lost else after + 1
        return {"first": first, "last": last, "stored": stored, "evicted": evicted}

    async def _decode(self) -> None:
        while True:
            self.running = [w for w in self.running if not w.cancelled]
            self.waiting = [w for w in self.waiting if not w.cancelled]
            while self.waiting and len(self.running) < self.profile.max_batch:
                self.running.append(self.waiting.pop(0))
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                continue
            prefill_s = max(w.prefill_s for w in self.running)
            for work in self.running:
                work.prefill_s = 0.0
            step_s = self.profile.step_s * self.faults.step_factor
            await asyncio.sleep(step_s + prefill_s)
            self._emit()

    def _emit(self) -> None:
        for work in list(self.running):
            if work.next_index < work.total:
                text = token_text(work.prompt, work.adapter, work.next_index)
                work.out.put_nowait((work.next_index, text))
                work.next_index += 1
                self.tokens_generated += 1
            if work.next_index >= work.total:
                work.out.put_nowait(None)
                self.running.remove(work)

    def _drop_streams(self) -> None:
        for work in [*self.waiting, *self.running]:
            work.cancelled = True
            work.out.put_nowait((-1, ""))

    async def _publish(self) -> None:
        while True:
            self.published = (len(self.running), len(self.waiting))
            await asyncio.sleep(self.profile.load_lag_s)

    async def _check_members(self) -> None:
        while True:
            await asyncio.sleep(MEMBER_CHECK_S)
            order = self.order_in_force
            busy = self.running or self.waiting
            if order is None or order.rank != 0 or not busy:
                continue
            present = await asyncio.gather(
                *(self.surroundings.is_member(a, order) for a in order.members[1:])
            )
            if not all(present) and self.order_in_force is order:
                self._drop_streams()


def engine_app(engine: Engine) -> web.Application:
    """Return the HTTP application of the stand-in."""
    app = web.Application(client_max_size=16 * 1024 * 1024)
    routes = web.RouteTableDef()

    @routes.get("/status")
    async def _status(_: web.Request) -> web.Response:
        return web.json_response(unstructure(engine.status()))

    @routes.post("/order")
    async def _order(request: web.Request) -> web.Response:
        order = structure(await request.json(), Order)
        if order.instance_id != engine.profile.instance_id or not engine.take(order):
            return web.json_response({}, status=409, headers={REFUSED_HEADER: "1"})
        return web.json_response(unstructure(engine.status()))

    @routes.post("/cancel")
    async def _cancel(request: web.Request) -> web.Response:
        known = engine.cancel((await request.json())["request_id"])
        return web.json_response({"known": known, "boot_id": engine.boot_id})

    @routes.get("/cache-events")
    async def _events(request: web.Request) -> web.Response:
        return web.json_response(engine.events_after(int(request.query["after"])))

    @routes.get("/counts")
    async def _counts(_: web.Request) -> web.Response:
        return web.json_response(
            {
                "executions": engine.executions,
                "tokens": engine.tokens_generated,
                "cancelled": engine.cancelled,
                "running": len(engine.running),
            }
        )

    @routes.post("/faults")
    async def _faults(request: web.Request) -> web.Response:
        engine.faults = structure(await request.json(), EngineFaults)
        return web.json_response({})

    @routes.post("/v1/chat/completions")
    async def _generate(request: web.Request) -> web.StreamResponse:
        work = engine.admit(await request.json())
        if work is None:
            return web.Response(status=409, headers={REFUSED_HEADER: "1"})
        return await _stream(engine, work, request)

    app.add_routes(routes)
    app.on_startup.append(lambda _: engine.start())
    app.on_cleanup.append(lambda _: engine.stop())
    return app


async def _stream(
    engine: Engine, work: Work, request: web.Request
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    fault, engine.faults.stream = engine.faults.stream, ""
    held: tuple[int, str] | None = None
    try:
        while (item := await work.out.get()) is not None:
            index, text = item
            if index < 0 or (fault == "reset" and index >= work.total // 2):
                request.transport.abort()
                return response
            if fault == "truncate" and index >= work.total // 2:
                return response
            if fault == "gap" and index == work.total // 2:
                continue
            if fault == "reorder" and index == work.total // 2 and held is None:
                held = item
                continue
            chunk = _chunk(engine, work, index, text, fault)
            await response.write(chunk)
            if held is not None:
                await response.write(_chunk(engine, work, *held, fault))
                held, fault = None, ""
            if fault == "double":
                await response.write(chunk)
        await response.write(_chunk(engine, work, work.total, None, fault))
        await response.write(b"data: [DONE]\n\n")
    finally:
        if work.next_index < work.total and not work.cancelled:
            engine.cancel(work.request_id)
    return response


def _chunk(
    engine: Engine, work: Work, index: int, text: str | None, fault: str
) -> bytes:
    order = engine.order_in_force
    mark = {
        "group_id": order.group_id if order else "",
        "epoch": (order.epoch if order else 0) + (fault == "wrong_epoch"),
        "index": index,
        "cached_tokens": work.cached_blocks * BLOCK_CHARS // 4,
    }
    body = {
        "id": "another" if fault == "wrong_request" else work.request_id,
        "object": "chat.completion.chunk",
        "choices": [
            {
                "index": 0,
                "delta": {} if text is None else {"content": text},
                "finish_reason": "stop" if text is None else None,
            }
        ],
        "fordhatch": mark,
    }
    return b"data: " + json.dumps(body).encode() + b"\n\n"
