"""Stand-in for the platform's metadata store, with the calls that nodes make."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

Name = tuple[str, str]
"""Table and key of a row; every row has the empty part."""

MAX_ROWS = 500
"""Most rows in one answer."""

CONFLICT = 412
"""Status of a transaction whose conditions do not hold."""


class Store:
    """Rows, their history, and a version that rises with each transaction."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.version = 0
        self.rows: dict[Name, tuple[int, bytes]] = {}
        self.history: list[tuple[int, Name, bytes | None]] = []
        self.on_write: Callable[[str], None] = lambda _: None
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write one row without a condition and return the new version."""
        return self.apply({(table, key): value}, [])

    def remove(self, table: str, key: str) -> int:
        """Remove one row and return the new version."""
        return self.apply({}, [(table, key)])

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, None if there is none."""
        found = self.rows.get((table, key))
        return found[1] if found else None

    def apply(self, puts: dict[Name, bytes], removes: list[Name]) -> int:
        """Change rows atomically and return the new version."""
        self.version += 1
        for name, value in puts.items():
            self.rows[name] = (self.version, value)
            self.history.append((self.version, name, value))
        for name in removes:
            if self.rows.pop(name, None) is not None:
                self.history.append((self.version, name, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of a node."""
        match (request.method, request.path):
            case ("GET", "/v1/rows-get"):
                return self._get(request.query)
            case ("GET", "/v1/rows-feed"):
                return await self._feed(request.query)
            case ("POST", "/v1/rows-tx"):
                return self._transact(json.loads(await request.read()))
        return web.Response(status=404)

    def _get(self, query: Any) -> web.Response:
        table, first = query["table"], query.get("from", "")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        keys = sorted(k for t, k in self.rows if t == table and k >= first)
        rows = [self._row((table, key)) for key in keys[:limit]]
        return self._answer(200, rows=rows, **{"has-more": len(keys) > limit})

    async def _feed(self, query: Any) -> web.Response:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while not (rows := self._changes(table, after)):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        return self._answer(200, rows=rows)

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        found: dict[Name, dict[str, Any]] = {}
        for version, name, value in self.history:
            if version > after and name[0] == table:
                found.pop(name, None)
                found[name] = _encode(name, version, value)
        return list(found.values())

    def _transact(self, body: dict[str, Any]) -> web.Response:
        wanted = [
            ((r["table"], r["key"]), r["ver"]) for r in body.get("expected-rev", ())
        ]
        if any(self.rows.get(name, (0, b""))[0] != ver for name, ver in wanted):
            return self._answer(CONFLICT, rows=[self._row(name) for name, _ in wanted])
        puts = {
            (r["table"], r["key"]): base64.b64decode(r["value"])
            for r in body.get("set-keys", ())
        }
        removes = [(r["table"], r["key"]) for r in body.get("remove", ())]
        self.apply(puts, removes)
        for table, key in (*puts, *removes):
            self.on_write(f"{table}/{key}")
        return self._answer(200)

    def _row(self, name: Name) -> dict[str, Any]:
        version, value = self.rows.get(name, (0, b""))
        return _encode(name, version, value)

    def _answer(self, status: int, **fields: Any) -> web.Response:
        now_ms = int(time.monotonic() * 1000)
        body = {**fields, "ver": self.version, "now-ms": now_ms}
        return web.json_response(body, status=status)


def _encode(name: Name, version: int, value: bytes | None) -> dict[str, Any]:
    row: dict[str, Any] = {"table": name[0], "part": "", "key": name[1], "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(value).decode()}
