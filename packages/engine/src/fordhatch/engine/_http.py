"""Backend servers over HTTP: the only module that knows their wire."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode, structure, unstructure

from ._engine import (
    BackendStatus,
    CacheEvents,
    CancelOutcome,
    Finish,
    Generate,
    Order,
    PlainAnswer,
    Token,
)

STATUS_TIMEOUT_S = 0.8
"""How long a status probe may take."""

ORDER_TIMEOUT_S = 2.0
"""How long an engine may take to accept an order."""

CONNECT_TIMEOUT_S = 1.0
"""How long connecting to a backend server may take."""

SILENCE_TIMEOUT_S = 10.0
"""A stream without a byte for this long counts as broken."""

REFUSED_HEADER = "X-Not-Run"
"""Set by a backend server that refused a request before running it."""

_NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_BROKEN = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define(eq=False)
class HttpEngineClient:
    """An engine client over pooled HTTP connections."""

    _session: aiohttp.ClientSession | None = None
    _plain_session: aiohttp.ClientSession | None = None

    @classmethod
    def from_defaults(cls) -> HttpEngineClient:
        """Return a client; connections open when first needed."""
        return cls()

    async def status(self, address: str) -> Result[BackendStatus, Failure]:
        """See ``EngineClient.status``."""
        body = await self._json("GET", address, "/status", None, STATUS_TIMEOUT_S)
        return _structured(body, BackendStatus)

    async def order(self, address: str, order: Order) -> Result[BackendStatus, Failure]:
        """See ``EngineClient.order``."""
        plain = unstructure(order)
        body = await self._json("POST", address, "/order", plain, ORDER_TIMEOUT_S)
        return _structured(body, BackendStatus)

    async def cancel(
        self, address: str, request_id: str
    ) -> Result[CancelOutcome, Failure]:
        """See ``EngineClient.cancel``."""
        body = await self._json(
            "POST", address, "/cancel", {"request_id": request_id}, ORDER_TIMEOUT_S
        )
        return _structured(body, CancelOutcome)

    async def cache_events(
        self, address: str, after: int
    ) -> Result[CacheEvents, Failure]:
        """See ``EngineClient.cache_events``."""
        path = f"/cache-events?after={after}"
        body = await self._json("GET", address, path, None, STATUS_TIMEOUT_S)
        return _structured(body, CacheEvents)

    async def generate(
        self, address: str, request: Generate
    ) -> AsyncIterator[Result[Token | Finish, Failure]]:
        """See ``EngineClient.generate``."""
        connected = False
        try:
            timeout = aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
            )
            async with self._open().post(
                f"http://{address}/v1/chat/completions",
                json=_generate_to_json(request),
                timeout=timeout,
            ) as reply:
                connected = True
                if reply.status != 200:  # noqa: PLR2004
                    yield Err(await _refusal(reply))
                    return
                async for line in reply.content:
                    event = _parse_line(line)
                    if event is not None:
                        yield Ok(event)
        except _NOT_CONNECTED as error:
            yield _lost(error, Ran.NO)
            return
        except _BROKEN as error:
            yield _lost(error, Ran.MAYBE)
            return
        if connected:
            # The engine closed the stream; the caller knows if the end mark came.
            yield Err(Failure.from_code(ResultCode.STREAM_INCOMPLETE))

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
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._open_plain().request(
                method,
                f"http://{address}{path}",
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as reply:
                if reply.headers.get(REFUSED_HEADER) == "1":
                    return Err(await _refusal(reply))
                kept = {"content-type": reply.headers.get("Content-Type", "")}
                return Ok(PlainAnswer(reply.status, kept, await reply.read()))
        except _NOT_CONNECTED as error:
            return _lost(error, Ran.NO)
        except _BROKEN as error:
            return _lost(error, Ran.MAYBE)

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._session, self._plain_session):
            if session is not None:
                await session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15.0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    def _open_plain(self) -> aiohttp.ClientSession:
        if self._plain_session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._plain_session = aiohttp.ClientSession(connector=connector)
            # The library sends PUT and DELETE a second time by itself when the
            # server hangs up without an answer. It has no public switch for that;
            # a test counts what arrives.
            self._plain_session._retry_connection = False
        return self._plain_session

    async def _json(
        self, method: str, address: str, path: str, body: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        sent = {} if body is None else {"json": body}
        try:
            async with self._open().request(
                method, f"http://{address}{path}", timeout=timeout, **sent
            ) as reply:
                if not reply.ok:
                    return Err(await _refusal(reply))
                return Ok(await reply.json())
        except _NOT_CONNECTED as error:
            return _lost(error, Ran.NO)
        except _BROKEN as error:
            return _lost(error, Ran.MAYBE)


def _structured(body: Result[Any, Failure], cls: type) -> Result[Any, Failure]:
    if body.is_err():
        return body
    try:
        return Ok(structure(body.unwrap(), cls))
    except ValueError as error:
        return Err(Failure.from_code(ResultCode.BACKEND_ERROR, str(error)))


def _lost(error: BaseException, ran: Ran) -> Err[Failure]:
    return Err(Failure.from_code(ResultCode.BACKEND_LOST, repr(error), ran=ran))


async def _refusal(reply: aiohttp.ClientResponse) -> Failure:
    text = (await reply.content.read(512)).decode(errors="replace")
    if reply.headers.get(REFUSED_HEADER) == "1":
        return Failure.from_code(ResultCode.BACKEND_REFUSED, text, retry_after_s=1.0)
    return Failure.from_code(ResultCode.BACKEND_ERROR, f"status {reply.status}: {text}")


def _generate_to_json(request: Generate) -> dict[str, Any]:
    return {
        **request.body,
        "stream": True,
        "fordhatch": {
            "request_id": request.request_id,
            "group_id": request.group_id,
            "epoch": request.epoch,
            "adapter": request.adapter,
            "priority": request.priority,
            "resume_from": request.resume_from,
            "delivered": request.delivered,
        },
    }


def _parse_line(line: bytes) -> Token | Finish | None:
    if not line.startswith(b"data: {"):
        return None
    chunk = json.loads(line[6:])
    mark = chunk["fordhatch"]
    names = (chunk["id"], mark["group_id"], mark["epoch"])
    choice = chunk["choices"][0]
    if choice["finish_reason"] is not None:
        cached = int(mark.get("cached_tokens", 0))
        return Finish(*names, choice["finish_reason"], mark["index"], cached)
    return Token(*names, mark["index"], choice["delta"]["content"])
