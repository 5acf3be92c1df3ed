"""HTTP interface of the emulated store."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from fordhatch.adapter import GENERATION_HEADER

from ._broken_answers import BrokenAnswers
from ._endless_answers import EndlessAnswers
from ._store_model import Name, StoredRow, StoreModel

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def store_handler(
    model: StoreModel,
    endless: EndlessAnswers | None = None,
    broken: BrokenAnswers | None = None,
) -> Handler:
    """Return a handler that serves a store model over HTTP.

    Args:
        model: The store.
        endless: Says which answers have no end; none if it is absent.
        broken: Says which answers are none; all are sound if it is absent.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        model.calls += 1
        kind = endless.choose() if endless is not None else None
        if kind is not None:
            fields = {GENERATION_HEADER: str(model.generation)}
            await endless.send(kind, request.transport, fields)
            return web.Response()
        broken_kind = broken.choose() if broken is not None else None
        if broken_kind is not None:
            fields = {GENERATION_HEADER: str(model.generation)}
            broken.send(broken_kind, request.transport, fields)
            return web.Response()
        if model.faults.is_silent:
            await asyncio.sleep(3600)
        answer = await _dispatch(model, request)
        answer.headers[GENERATION_HEADER] = str(model.generation)
        return answer

    return handle


async def _dispatch(model: StoreModel, request: web.BaseRequest) -> web.Response:
    if model.faults.is_down:
        return web.Response(status=503)
    match (request.method, request.path):
        case ("GET", "/v1/rows-get"):
            return _get(model, request.query)
        case ("GET", "/v1/rows-feed"):
            return await _feed(model, request.query)
        case ("POST", "/v1/rows-tx"):
            return await _transact(model, request, await request.read())
    return web.Response(status=404)


def _json_response(status: int, **fields: Any) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(fields), content_type="application/json"
    )


def _encode_row(row: StoredRow) -> dict[str, object]:
    table, part, key = row.name
    shown: dict[str, object] = {
        "table": table,
        "part": part,
        "key": key,
        "ver": row.version,
    }
    if row.is_removed:
        shown["removed"] = True
    else:
        shown["value"] = base64.b64encode(row.value).decode()
    return shown


def _get(model: StoreModel, query: Any) -> web.Response:
    limit = min(int(query.get("limit", 500)), 500)
    first_key, part = query.get("from", ""), query.get("part", "")
    rows = model.page(query["table"], first_key, limit + 1, part)
    return _json_response(
        200,
        rows=[_encode_row(row) for row in rows[:limit]],
        **{"has-more": len(rows) > limit, "ver": model.version, "now-ms": _now_ms()},
    )


async def _feed(model: StoreModel, query: Any) -> web.Response:
    wait_s = int(query.get("wait-ms", 0)) / 1000
    found = await model.changes(query["table"], int(query["after"]), wait_s)
    if found is None:
        return _json_response(410)
    rows = [_encode_row(row) for row in found]
    return _json_response(200, rows=rows, **{"ver": model.version, "now-ms": _now_ms()})


async def _transact(
    model: StoreModel, request: web.BaseRequest, raw: bytes
) -> web.Response:
    body = json.loads(raw)
    expected = {_row_name(row): row["ver"] for row in body.get("expected-rev", ())}
    puts = {
        _row_name(row): base64.b64decode(row["value"])
        for row in body.get("set-keys", ())
    }
    removes = tuple(_row_name(row) for row in body.get("remove", ()))
    if model.faults.late_writes > 0:
        model.faults.late_writes -= 1
        model.transact_later(expected, puts, removes)
        await asyncio.sleep(3600)
    version, conflicts = model.transact(expected, puts, removes)
    if model.faults.lost_answers > 0:
        model.faults.lost_answers -= 1
        request.transport.abort()
        return web.Response(status=503)
    if not version:
        return _json_response(412, rows=[_encode_row(row) for row in conflicts])
    return _json_response(200, **{"ver": version, "now-ms": _now_ms()})


def _now_ms() -> int:
    return int(1000.0 * asyncio.get_running_loop().time())


def _row_name(row: dict[str, Any]) -> Name:
    return row["table"], row.get("part", ""), row["key"]
