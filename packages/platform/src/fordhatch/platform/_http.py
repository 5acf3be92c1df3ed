"""The platform over HTTP: the only module that knows its wire."""

from __future__ import annotations

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode, metrics, structure, unstructure

from ._table import Instance, Outcome, Row, Transaction, VersionCheck

DEFAULT_TIMEOUT_S = 2.0
"""How long one operation on the platform may take."""


@attrs.define
class HttpPlatform:
    """Table service, object store and instance list of one platform endpoint."""

    base_url: str
    timeout_s: float = DEFAULT_TIMEOUT_S
    _session: aiohttp.ClientSession | None = None

    @classmethod
    def from_url(
        cls, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> HttpPlatform:
        """Return a client for the platform at ``base_url``."""
        return cls(base_url.rstrip("/"), timeout_s)

    async def read(self, keys: list[str]) -> Result[dict[str, Row], Failure]:
        """See ``TableService.read``."""
        reply = await self._call("read", "POST", "/table/read", {"keys": keys})
        return reply.map(lambda body: {r["key"]: Row(**r) for r in body["rows"]})

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[list[Row], Failure]:
        """See ``TableService.scan``."""
        body = {"prefix": prefix, "after": after, "limit": limit}
        reply = await self._call("scan", "POST", "/table/scan", body)
        return reply.map(lambda body: [Row(**r) for r in body["rows"]])

    async def transact(self, transaction: Transaction) -> Result[Outcome, Failure]:
        """See ``TableService.transact``."""
        body = {
            "checks": [_check_to_json(check) for check in transaction.checks],
            "puts": transaction.puts,
            "deletes": list(transaction.deletes),
        }
        reply = await self._call("transact", "POST", "/table/transact", body)
        return reply.map(
            lambda b: Outcome(b["committed"], tuple(Row(**r) for r in b["conflicts"]))
        )

    async def put(self, name: str, content: bytes) -> Result[None, Failure]:
        """See ``ObjectStore.put``."""
        reply = await self._call("put", "PUT", f"/objects/{name}", content)
        return reply.map(lambda _: None)

    async def get(self, name: str) -> Result[bytes | None, Failure]:
        """See ``ObjectStore.get``."""
        return await self._call("get", "GET", f"/objects/{name}", None)

    async def instances(self, region: str) -> Result[list[Instance], Failure]:
        """See ``InstanceList.instances``."""
        reply = await self._call("list", "GET", f"/instances?region={region}", None)
        return reply.map(
            lambda body: [structure(i, Instance) for i in body["instances"]]
        )

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, kind: str, method: str, path: str, body: object
    ) -> Result[object, Failure]:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self.timeout_s)
            self._session = aiohttp.ClientSession(timeout=timeout)
        sent = {"data": body} if isinstance(body, bytes) else {"json": body}
        if body is None:
            sent = {}
        try:
            async with self._session.request(
                method, self.base_url + path, **sent
            ) as reply:
                return _count(kind, await _parse(reply, path))
        except aiohttp.ClientConnectorError as error:
            # The connection was never made, so nothing can have been written.
            return _count(kind, _unavailable(repr(error), Ran.NO))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return _count(kind, _unavailable(repr(error), Ran.MAYBE))


async def _parse(reply: aiohttp.ClientResponse, path: str) -> Result[object, Failure]:
    if path.startswith("/objects/"):
        if reply.status == 404 and reply.method == "GET":  # noqa: PLR2004
            return Ok(None)
        if reply.ok:
            return Ok(await reply.read())
    elif reply.ok:
        return Ok(await reply.json())
    return _unavailable(f"status {reply.status}", Ran.MAYBE)


def _unavailable(message: str, ran: Ran) -> Err[Failure]:
    code = ResultCode.STORE_UNAVAILABLE
    if ran is Ran.MAYBE:
        code = ResultCode.STORE_OUTCOME_UNKNOWN
    return Err(Failure.from_code(code, message, ran=ran, retry_after_s=2.0))


def _count(kind: str, reply: Result[object, Failure]) -> Result[object, Failure]:
    outcome = "ok" if reply.is_ok() else "failed"
    metrics.STORE_OPERATIONS.labels(kind, outcome).inc()
    return reply


def _check_to_json(check: object) -> dict[str, object]:
    kind = "version" if isinstance(check, VersionCheck) else "field"
    return {"kind": kind, **unstructure(check)}
