"""A stand-in for the platform: in memory, with faults on request."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
from aiohttp import web
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode, structure, unstructure
from fordhatch.platform import (
    Check,
    FieldCheck,
    Instance,
    Outcome,
    Row,
    Transaction,
    VersionCheck,
)


@attrs.define
class Faults:
    """What is wrong with the platform now."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    """How many of the next writes take effect with their answer lost."""
    refuse_writes: int = 0
    """How many of the next writes fail without effect."""


@attrs.define(eq=False)
class MemoryPlatform:
    """Table service, object store and instance list in one process."""

    rows: dict[str, tuple[int, dict[str, Any]]] = attrs.field(factory=dict)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    listed: dict[str, Instance] = attrs.field(factory=dict)
    faults: Faults = attrs.field(factory=Faults)
    reads: int = 0
    writes: int = 0
    list_lag_s: float = 0.0
    """How long a change takes until the instance list shows it."""
    _last_version: int = 0

    async def read(self, keys: list[str]) -> Result[dict[str, Row], Failure]:
        """See ``TableService.read``."""
        failure = await self._trouble()
        if failure is not None:
            return Err(failure)
        self.reads += 1
        return Ok({key: self.row(key) for key in keys})

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[list[Row], Failure]:
        """See ``TableService.scan``."""
        failure = await self._trouble()
        if failure is not None:
            return Err(failure)
        self.reads += 1
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return Ok([self.row(k) for k in keys[: limit or None]])

    async def transact(self, transaction: Transaction) -> Result[Outcome, Failure]:
        """See ``TableService.transact``."""
        failure = await self._trouble()
        if failure is not None:
            return Err(failure)
        if self.faults.refuse_writes > 0:
            self.faults.refuse_writes -= 1
            return Err(_unavailable(Ran.MAYBE))
        self.writes += 1
        outcome = self._commit(transaction)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Err(_unavailable(Ran.MAYBE))
        return Ok(outcome)

    async def put(self, name: str, content: bytes) -> Result[None, Failure]:
        """See ``ObjectStore.put``."""
        failure = await self._trouble()
        if failure is not None:
            return Err(failure)
        self.objects[name] = content
        return Ok(None)

    async def get(self, name: str) -> Result[bytes | None, Failure]:
        """See ``ObjectStore.get``."""
        failure = await self._trouble()
        if failure is not None:
            return Err(failure)
        return Ok(self.objects.get(name))

    async def instances(self, region: str) -> Result[list[Instance], Failure]:
        """See ``InstanceList.instances``."""
        failure = await self._trouble()
        if failure is not None:
            return Err(failure)
        return Ok([i for i in self.listed.values() if i.region == region])

    async def close(self) -> None:
        """Nothing to close."""

    def publish(self, instance_id: str, instance: Instance | None) -> None:
        """List, change or drop an instance after the list's lag."""

        def apply() -> None:
            if instance is None:
                self.listed.pop(instance_id, None)
            else:
                self.listed[instance_id] = instance

        if self.list_lag_s:
            asyncio.get_running_loop().call_later(self.list_lag_s, apply)
        else:
            apply()

    def row(self, key: str) -> Row:
        """Return a row as it is, faults or not."""
        version, value = self.rows.get(key, (0, None))
        return Row(key, version, None if value is None else dict(value))

    def _commit(self, transaction: Transaction) -> Outcome:
        failed = [c for c in transaction.checks if not self._holds(c)]
        if failed:
            return Outcome(False, tuple(self.row(c.key) for c in failed))
        for key, value in transaction.puts.items():
            # Versions are never used twice, not even after a row was deleted.
            self._last_version += 1
            self.rows[key] = (self._last_version, value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Outcome(True)

    def _holds(self, check: Check) -> bool:
        row = self.row(check.key)
        if isinstance(check, VersionCheck):
            return row.version == check.version
        return row.value is not None and row.value.get(check.field) == check.equals

    async def _trouble(self) -> Failure | None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        return _unavailable(Ran.NO) if self.faults.down else None


def _unavailable(ran: Ran) -> Failure:
    code = ResultCode.STORE_UNAVAILABLE
    if ran is Ran.MAYBE:
        code = ResultCode.STORE_OUTCOME_UNKNOWN
    return Failure.from_code(code, ran=ran)


@attrs.define(eq=False)
class WeightStore:
    """Hands out weights one after another at a limited rate."""

    bytes_per_s: float
    _free_at_s: float = 0.0

    async def fetch(self, size_bytes: int) -> None:
        """Wait as long as the transfer takes, behind those already queued."""
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes / self.bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)


def platform_app(platform: MemoryPlatform, weights: WeightStore) -> web.Application:
    """Return the HTTP application of the stand-in."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    routes = web.RouteTableDef()

    @routes.post("/table/read")
    async def _read(request: web.Request) -> web.Response:
        rows = await platform.read((await request.json())["keys"])
        return _reply(
            rows.map(lambda r: {"rows": [unstructure(x) for x in r.values()]})
        )

    @routes.post("/table/scan")
    async def _scan(request: web.Request) -> web.Response:
        rows = await platform.scan(**await request.json())
        return _reply(rows.map(lambda r: {"rows": [unstructure(x) for x in r]}))

    @routes.post("/table/transact")
    async def _transact(request: web.Request) -> web.Response:
        body = await request.json()
        checks = tuple(_check(c) for c in body["checks"])
        done = await platform.transact(
            Transaction(checks, body["puts"], tuple(body["deletes"]))
        )
        return _reply(done.map(unstructure))

    @routes.put("/objects/{name}")
    async def _put(request: web.Request) -> web.Response:
        done = await platform.put(request.match_info["name"], await request.read())
        return _reply(done.map(lambda _: {}))

    @routes.get("/objects/{name}")
    async def _get(request: web.Request) -> web.Response:
        got = await platform.get(request.match_info["name"])
        if got.is_ok() and got.unwrap() is not None:
            return web.Response(body=got.unwrap())
        return web.Response(status=404 if got.is_ok() else 503)

    @routes.get("/instances")
    async def _list(request: web.Request) -> web.Response:
        listed = await platform.instances(request.query["region"])
        return _reply(listed.map(lambda i: {"instances": [unstructure(x) for x in i]}))

    @routes.put("/instances")
    async def _register(request: web.Request) -> web.Response:
        instance = structure(await request.json(), Instance)
        platform.publish(instance.instance_id, instance)
        return web.json_response({})

    @routes.delete("/instances/{name}")
    async def _remove(request: web.Request) -> web.Response:
        platform.publish(request.match_info["name"], None)
        return web.json_response({})

    @routes.post("/faults")
    async def _faults(request: web.Request) -> web.Response:
        platform.faults = structure(await request.json(), Faults)
        return web.json_response({})

    @routes.get("/counts")
    async def _counts(_: web.Request) -> web.Response:
        return web.json_response({"reads": platform.reads, "writes": platform.writes})

    @routes.post("/weights/fetch")
    async def _fetch(request: web.Request) -> web.Response:
        await weights.fetch((await request.json())["size_bytes"])
        return web.json_response({})

    app.add_routes(routes)
    return app


def _check(body: dict[str, Any]) -> Check:
    if body["kind"] == "version":
        return VersionCheck(body["key"], body["version"])
    return FieldCheck(body["key"], body["field"], body["equals"])


def _reply(result: Result[Any, Failure]) -> web.Response:
    if result.is_err():
        return web.json_response({}, status=503)
    return web.json_response(result.unwrap())
