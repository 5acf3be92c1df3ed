"""Stand-ins of model runners that form groups, as the users' pages tell."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

import attrs
import standins_2 as standins
from aiohttp import web

ENGINE_SERVICE = "estimator-llm"
MODEL = "daka510000"
SIZE = 2
WARM_S = 0.2
FORM_S = 0.3
OK, STARTED, MISFIT, OUTDATED = 200, 202, 409, 412


@attrs.define(eq=False)
class Membership:
    """A runner's place in a group."""

    group: str
    epoch: int
    rank: int
    members: list[str]
    state: str = "joining"

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch."""
        return self.group, self.epoch


@attrs.define(eq=False)
class Fleet:
    """All model runners, and the joins that break the rule TWO."""

    site: standins.Site
    engines: dict[str, Engine] = attrs.field(factory=dict)
    late_s: Callable[[Engine, dict[str, Any]], float | None] = lambda _, __: None
    """Returns after which time an order is carried out without an answer; None if it is
    carried out and answered at once."""
    on_late: Callable[[Engine, dict[str, Any]], asyncio.Future[None] | None] = (
        lambda _, __: None
    )
    orders: int = 0
    late_orders: int = 0
    violations: list[str] = attrs.field(factory=list)

    async def add(self) -> Engine:
        """Start a runner, on a host that keeps the staged weights of the model."""
        engine = Engine(self, f"i-{os.urandom(5).hex()}")
        self.engines[engine.engine_id] = engine
        engine.address = await standins.serve(engine.handle, "127.0.0.1")
        engine.report_to_store()
        return engine

    def head_of(self, place: Membership) -> Engine:
        """Return the head of a group."""
        return self.engines[place.members[0]]


@attrs.define(eq=False)
class Engine:
    """One model runner."""

    fleet: Fleet
    engine_id: str
    address: str = ""
    place: Membership | None = None
    seq: int = 0
    highest_epoch: int = -1
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def state(self) -> dict[str, object]:
        """Return the fields that entries and reports share."""
        found: dict[str, object] = {
            "stage": "prefill_decode",
            "models": [],
            "domain": "fabric-0",
            "staged": [MODEL],
            "seq": self.seq,
        }
        if self.place is not None:
            found["group"] = {
                "name": self.place.group,
                "epoch": self.place.epoch,
                "rank": self.place.rank,
                "state": self.place.state,
            }
        return found

    def report_to_store(self) -> None:
        """Write the entry, as after every change."""
        entry = {
            "service": ENGINE_SERVICE,
            "address": self.address,
            "zone": "mobile-yard",
            "version": "v1",
            "slots": 13,
            "state": "ready",
            "cold-left-ms": 0,
            **self.state(),
        }
        self.fleet.site.store.put("servers", self.engine_id, json.dumps(entry).encode())

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer an order, a query or a health check."""
        headers = {"X-Runner-Id": self.engine_id}
        wanted = request.headers.get("X-Expect-Instance", self.engine_id)
        if wanted != self.engine_id:
            return web.Response(status=421, headers=headers)
        if request.path == "/v1/report":
            load = {"busy": False, "queued": 0, "active": 0, "kv-used": 0}
            load |= {"kv-total": 700000, "handles": 0}
            return web.json_response({**self.state(), **load}, headers=headers)
        if request.path == "/v1/order":
            return await self._order(json.loads(await request.read()))
        return web.Response(status=200, headers=headers)

    async def _order(self, order: dict[str, Any]) -> web.Response:
        fleet = self.fleet
        fleet.orders += 1
        words = ("order", _text(order), "to", self.engine_id)
        late_s = fleet.late_s(self, order)
        if late_s is None:
            status = self._carry_out(order)
            fleet.site.record.add(*words, "is answered", status)
            return web.Response(status=status)
        fleet.late_orders += 1
        fleet.site.record.add(*words, "gets no answer")
        task = asyncio.ensure_future(self._carry_out_late(order, late_s))
        self._tasks.add(task)
        # The caller gives up first.
        await asyncio.sleep(late_s)
        return web.Response(status=STARTED)

    async def _carry_out_late(self, order: dict[str, Any], late_s: float) -> None:
        moment = self.fleet.on_late(self, order)
        if moment is not None:
            await moment
        else:
            await asyncio.sleep(late_s)
        status = self._carry_out(order)
        words = f"is carried out late, status {status}"
        self.fleet.site.record.add("order", _text(order), "to", self.engine_id, words)

    def _carry_out(self, order: dict[str, Any]) -> int:
        match order["op"]:
            case "join":
                return self._join(order)
            case "open":
                return self._open(order)
            case "close":
                return self._close(order)
            case "leave":
                return self._leave(order)
            case "stage":
                return OK
        return 400

    def _is_in(self, order: dict[str, Any]) -> bool:
        key = order["group"], order["epoch"]
        return self.place is not None and self.place.key == key

    def _join(self, order: dict[str, Any]) -> int:
        if order["epoch"] < self.highest_epoch:
            return OUTDATED
        if self._is_in(order):
            same = self.place.members == order["members"]
            return OK if same else OUTDATED
        self._check_two(order)
        self.highest_epoch = order["epoch"]
        rank = order["members"].index(self.engine_id)
        self.place = Membership(order["group"], order["epoch"], rank, order["members"])
        self._later(WARM_S, self.place, "ready")
        self._changed()
        return STARTED

    def _check_two(self, order: dict[str, Any]) -> None:
        """Note a join that is taken while the head of this runner's group is open."""
        if self.place is None:
            return
        head = self.fleet.head_of(self.place)
        serves = head.place is not None and head.place.key == self.place.key
        if serves and head.place.state in ("open", "closing"):
            text = (
                f"{self.engine_id} takes a join of {order['group']} while the head"
                f" {head.engine_id} of its group {self.place.group} is"
                f" {head.place.state}"
            )
            self.fleet.violations.append(text)
            self.fleet.site.record.add("TWO:", text)

    def _open(self, order: dict[str, Any]) -> int:
        if not self._is_in(order) or self.place.rank != 0:
            return MISFIT
        if self.place.state == "open":
            return OK
        if self.place.state != "ready":
            return MISFIT
        self._later(FORM_S, self.place, "open")
        self._changed()
        return STARTED

    def _close(self, order: dict[str, Any]) -> int:
        if not self._is_in(order):
            return OK
        self.place.state = "ready"
        self._changed()
        return OK

    def _leave(self, order: dict[str, Any]) -> int:
        if self._is_in(order):
            self.place = None
            self._changed()
        return OK

    def _changed(self) -> None:
        self.seq += 1
        self.report_to_store()

    def _later(self, delay_s: float, place: Membership, state: str) -> None:
        async def change() -> None:
            await asyncio.sleep(delay_s)
            if self.place is place:
                place.state = state
                words = ("runner", self.engine_id, "is", state, "in", place.group)
                self.fleet.site.record.add(*words)
                self.report_to_store()

        self._tasks.add(asyncio.ensure_future(change()))


def _text(order: dict[str, Any]) -> str:
    return f"{order['op']} {order.get('group', '')}".strip()


def configuration() -> bytes:
    """Return a configuration with a model service."""
    engine = {
        "slots": 13,
        "kv-capacity": 700000,
        "kv-token-bytes": 70272,
        "link-mbps": 400000.0,
        "stride": 5,
        "models": [
            {
                "name": MODEL,
                "size": SIZE,
                "share": 1.0,
                "pace": 1.0,
                "load-s": 12.0,
                "warm-s": WARM_S,
            }
        ],
        "step_ms": 6.07,
        "per_seq_ms": 0.482,
        "context_per_k": 0.00976,
        "read_per_s": 46000.0,
        "pairs_per_m": 0.7,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "loads-per-s": 4.0,
        "loads_at_once": 6,
        "delays": [],
        "usual": {"prompt": 1076, "answer": 116},
        "keeps": 1,
        "far_x": 3.0,
        "form-ms": FORM_S * 1000.0,
    }
    service = {"name": ENGINE_SERVICE, "health-path": "/health", "max-conns": 474}
    service |= {"protocol": "h1", "tls": False, "engine": engine}
    fields = {"timeout-ms": 8000, "goal-ms": 500, "attempts": 2, "sticky": True}
    fields |= {"resumable": True, "max-gap-ms": 300, "service": ENGINE_SERVICE}
    limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304}
    limits |= {"header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    routes = [standins.route("/estimate/", "streaming", **fields)]
    document = {"version": 7, "routes": routes, "services": [service]}
    return json.dumps({**document, "limits": limits}).encode()
