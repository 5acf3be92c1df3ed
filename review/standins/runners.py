"""Stand-ins for model runners, which serve in groups, and for plain runners."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web
from store import Store

STEP_S = 0.02
"""Pause between two events of a stream."""

REJOIN_S = 0.2
"""Time to join a group of the model that a runner served last."""

FREE_LOAD_FRACTION = 0.1
"""Fraction of a load's usual time that it takes before the first request."""

HEARTBEAT_S = 1.2
STALL_S = 5.0
"""Time after which a head that lacks a member is broken."""

ACCEPTED, DONE, UNFIT, REJECTED = 202, 200, 409, 412
"""Statuses of answers to orders."""

Record = Callable[..., None]


class Site:
    """What all runners share: the store, the record and the models."""

    def __init__(
        self, store: Store, record: Record, models: dict[str, dict[str, Any]]
    ) -> None:
        """Create the shared state; ``models`` are those of the configuration."""
        self.store = store
        self.record = record
        self.models = models
        self.runners: dict[str, Runner] = {}
        self.has_traffic = False
        self.violations: list[str] = []

    def violation(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.violations.append(f"{rule}: {text}")
        self.record("VIOLATION", rule=rule, text=text)


class Runner:
    """A runner process: its entry in the store, and its answers to requests."""

    def __init__(
        self, site: Site, runner_id: str, service: str, zone: str, address: str
    ) -> None:
        """Create a runner that is not listed yet."""
        self.site = site
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.address = address
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.runs: list[str] = []
        self.active = 0
        self.listener: asyncio.Server | None = None
        self.heart: asyncio.Task[None] | None = None
        self._transports: set[asyncio.BaseTransport] = set()
        site.runners[runner_id] = self

    def stop_listening(self) -> None:
        """Crash: close the port and break all connections."""
        self.listener.close()
        for transport in list(self._transports):
            transport.abort()

    def end(self) -> None:
        """Crash for good, and fall silent."""
        self.stop_listening()
        self.heart.cancel()
        del self.site.runners[self.runner_id]

    def fields(self) -> dict[str, Any]:
        """Return what the runner says of itself in the list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 13,
            "state": self.state,
            "cold-left-ms": 0,
            "born": self.born,
        }

    def publish(self) -> None:
        """Write the entry, unless it is in the store already."""
        self.seq += 1
        found = self.site.store.value("servers", self.runner_id)
        known = json.loads(found) if found else {}
        known.pop("seq", None)
        if known == self.fields():
            return
        entry = {**self.fields(), "seq": self.seq}
        self.site.store.put("servers", self.runner_id, json.dumps(entry).encode())

    async def beat(self) -> None:
        """Write the entry again at each heartbeat."""
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        transport = request.transport
        self._transports.add(transport)
        try:
            return await self.answer(request)
        finally:
            self._transports.discard(transport)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, unless it expects another runner."""
        expected = request.headers.get("X-Expect-Instance", self.runner_id)
        if expected != self.runner_id:
            return self.refuse(request, 421)
        if request.path == "/health":
            return web.Response(headers={"X-Runner-Id": self.runner_id})
        return await self.serve(request)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a client's request of a plain service."""
        body = await request.read()
        attempt = request.headers.get("X-Attempt-Id", "")
        self.note_run(attempt)
        await asyncio.sleep(STEP_S)
        return web.Response(
            body=b"done " + attempt.encode() + b" %d" % len(body),
            headers=self.signed(attempt),
        )

    def note_run(self, attempt: str) -> None:
        """Record that a request has begun to run here."""
        self.runs.append(attempt)
        self.site.has_traffic = True
        self.site.record("runs", runner=self.runner_id, attempt=attempt)

    def signed(self, attempt: str) -> dict[str, str]:
        """Return the headers of an answer of the runner itself."""
        return {"X-Attempt-Id": attempt, "X-Server-Seal": f"{self.runner_id}.{attempt}"}

    def refuse(self, request: web.BaseRequest, status: int) -> web.Response:
        """Answer that a request has not run."""
        attempt = request.headers.get("X-Attempt-Id", "")
        self.site.record(
            "refuses", runner=self.runner_id, attempt=attempt, status=status
        )
        headers = {
            "X-Attempt-Id": attempt,
            "X-Not-Executed": "1",
            "X-Runner-Id": self.runner_id,
            "At-Server": self.runner_id,
        }
        return web.Response(status=status, headers=headers)


class Engine(Runner):
    """A model runner, which serves as a member of a group."""

    def __init__(
        self, site: Site, runner_id: str, service: str, zone: str, address: str
    ) -> None:
        """Create a runner without a group and without staged weights."""
        super().__init__(site, runner_id, service, zone, address)
        self.domain = f"{zone}-d0"
        self.staged: list[str] = []
        self.last_model = ""
        self.highest_epoch = 0
        self.members: list[str] = []
        self.group: dict[str, Any] | None = None
        self.incomplete_since: float | None = None
        self.orders = 0
        self.fails_request: Callable[[web.BaseRequest], bool] = lambda _: False

    def fields(self) -> dict[str, Any]:
        """Return what the runner says of itself in the list."""
        return {
            **super().fields(),
            "stage": "prefill_decode",
            "models": self._models(),
            "domain": self.domain,
            "staged": list(self.staged),
            "group": dict(self.group) if self.group else None,
        }

    def _models(self) -> list[dict[str, Any]]:
        if self.group is None or self.group["state"] == "joining":
            return []
        return [{"name": self.last_model, "version": 1, "adapters": []}]

    @property
    def key(self) -> tuple[str, int] | None:
        """Name and epoch of the group."""
        return (self.group["name"], self.group["epoch"]) if self.group else None

    @property
    def is_head(self) -> bool:
        """Whether the runner takes its group's requests."""
        return self.group is not None and self.group["rank"] == 0

    def is_serving(self, key: tuple[str, int]) -> bool:
        """Return whether this is the head of a group that is open or closing."""
        is_member = self.is_head and self.key == key
        return is_member and self.group["state"] in ("open", "closing")

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, unless it expects another runner."""
        expected = request.headers.get("X-Expect-Instance", self.runner_id)
        if expected != self.runner_id:
            return self.refuse(request, 421)
        if request.path == "/v1/order":
            return self.order(await request.json())
        if request.path != "/health" and self.fails_request(request):
            return self._fail(request)
        if request.path == "/v1/report":
            return web.json_response(self.report())
        return await super().answer(request)

    def _fail(self, request: web.BaseRequest) -> web.Response:
        """Answer with a failure of the runner itself."""
        attempt = request.headers.get("X-Attempt-Id", "")
        if attempt:
            self.note_run(attempt)
        self.site.record("fails", runner=self.runner_id, path=request.path)
        return web.Response(status=500, headers=self.signed(attempt))

    def report(self) -> dict[str, Any]:
        """Return the report on the runner."""
        return {
            **self.fields(),
            "busy": False,
            "seq": self.orders,
            "queued": 0,
            "active": self.active,
            "kv-used": 0,
            "kv-total": 700_000,
            "handles": 0,
            "pace": 1.0,
        }

    def order(self, body: dict[str, Any]) -> web.Response:
        """Carry out an order and answer it."""
        status = getattr(self, f"_{body['op']}")(body)
        self.orders += status == ACCEPTED
        self.site.record(
            "order",
            runner=self.runner_id,
            op=body["op"],
            group=body.get("group", ""),
            status=status,
        )
        self.publish()
        return web.Response(status=status)

    def _join(self, body: dict[str, Any]) -> int:
        key, members = (body["group"], body["epoch"]), list(body["members"])
        if body["epoch"] < self.highest_epoch:
            return REJECTED
        if self.key == key:
            return DONE if self.members == members else REJECTED
        self._check_moves(key)
        self._leave_group()
        self.highest_epoch = body["epoch"]
        self.members = members
        self.group = {
            "name": body["group"],
            "epoch": body["epoch"],
            "rank": members.index(self.runner_id),
            "state": "joining",
        }
        delay_s = self._join_s(body["model"])
        asyncio.get_running_loop().call_later(delay_s, self._joined, key, body["model"])
        return ACCEPTED

    def _check_moves(self, key: tuple[str, int]) -> None:
        """Check the rule on members that join another group."""
        if self.group is None:
            return
        head = self.site.runners.get(self.members[0])
        if (
            head is self
            or not isinstance(head, Engine)
            or not head.is_serving(self.key)
        ):
            return
        text = (
            f"{self.runner_id} takes a join of {key[0]} while {head.runner_id}, the "
            f"head of its group {self.key[0]}, is {head.group['state']}"
        )
        self.site.violation("TWO", text)

    def _join_s(self, model: str) -> float:
        times = self.site.models[model]
        if model == self.last_model:
            return REJOIN_S
        if model in self.staged:
            return times["warm-s"]
        return times["load-s"] * (1.0 if self.site.has_traffic else FREE_LOAD_FRACTION)

    def _joined(self, key: tuple[str, int], model: str) -> None:
        if self.key != key or self.group["state"] != "joining":
            return
        self.group["state"] = "ready"
        self.last_model = model
        self.staged = [model]
        self.publish()

    def _open(self, body: dict[str, Any]) -> int:
        key = (body["group"], body["epoch"])
        if not self.is_head or self.key != key:
            return UNFIT
        if self.group["state"] == "open":
            return DONE
        if self.group["state"] != "ready":
            return UNFIT
        asyncio.get_running_loop().call_later(0.3, self._opened, key)
        return ACCEPTED

    def _opened(self, key: tuple[str, int]) -> None:
        if self.key == key and self.group["state"] == "ready":
            self.group["state"] = "open"
            self.site.record("open", runner=self.runner_id, group=key[0])
            self.publish()

    def _close(self, body: dict[str, Any]) -> int:
        key = (body["group"], body["epoch"])
        if not self.is_head or self.key != key:
            return UNFIT
        if self.group["state"] == "ready":
            return DONE
        self.group["state"] = "closing"
        self._check_idle(key)
        return ACCEPTED

    def _check_idle(self, key: tuple[str, int] | None) -> None:
        """Return to ready once a closing head has no more work."""
        is_closing = self.group is not None and self.group["state"] == "closing"
        if is_closing and self.key == key and not self.active:
            self.group["state"] = "ready"
            self.publish()

    def _leave(self, body: dict[str, Any]) -> int:
        if self.key == (body["group"], body["epoch"]):
            self._leave_group()
        return DONE

    def _leave_group(self) -> None:
        """Leave the group; its head stands still from now on."""
        if self.group is None:
            return
        head = self.site.runners.get(self.members[0])
        if isinstance(head, Engine) and head is not self and head.key == self.key:
            head.lose_member()
        self.group, self.members, self.incomplete_since = None, [], None

    def lose_member(self) -> None:
        """Stand still, and break after the stall time."""
        if self.incomplete_since is None:
            self.incomplete_since = time.monotonic()
            asyncio.get_running_loop().call_later(STALL_S, self._broken, self.key)

    def _broken(self, key: tuple[str, int]) -> None:
        if self.key == key:
            self.group["state"] = "broken"
            self.publish()

    def _stage(self, body: dict[str, Any]) -> int:
        model = body["model"]
        if model in self.staged:
            return DONE
        load_s = self.site.models[model]["load-s"]
        load_s *= 1.0 if self.site.has_traffic else FREE_LOAD_FRACTION
        asyncio.get_running_loop().call_later(load_s, self._staged, model)
        return ACCEPTED

    def _staged(self, model: str) -> None:
        self.staged = [model]
        self.publish()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a client's request and send its events."""
        await request.read()
        if self.group is None or not self.is_head:
            return self.refuse(request, 421)
        key = self.key
        if self.group["state"] != "open":
            return self.refuse(request, 503)
        attempt = request.headers.get("X-Attempt-Id", "")
        last = int(request.headers.get("Last-Event-Id", 0))
        response = web.StreamResponse(headers=self.signed(attempt))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        self.active += 1
        try:
            return await self._run(request, response, key, attempt, last)
        finally:
            self.active -= 1
            self._check_idle(key)

    async def _run(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        key: tuple[str, int],
        attempt: str,
        last: int,
    ) -> web.StreamResponse:
        output = int(request.headers["X-Token-Count"].split(",")[1])
        for number in range(last + 1, output + 1):
            while self.key == key and self.incomplete_since is not None:
                if self.group["state"] == "broken":
                    break
                await asyncio.sleep(STEP_S)
            if self.key != key or self.group["state"] not in ("open", "closing"):
                request.transport.abort()
                return response
            if not response.prepared:
                self.note_run(attempt)
                await response.prepare(request)
            await response.write(b"id: %d\ndata: token %d\n\n" % (number, number))
            await asyncio.sleep(STEP_S)
        if not response.prepared:
            self.note_run(attempt)
            await response.prepare(request)
        await response.write_eof()
        return response
