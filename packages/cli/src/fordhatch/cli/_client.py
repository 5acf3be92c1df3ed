"""Calls on the operators' interface of a node."""

from __future__ import annotations

from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode

TIMEOUT_S = 30.0
"""Longest time for one call."""


@attrs.frozen
class OperatorClient:
    """Speaks to one node; any will do."""

    url: str
    token: str

    async def get(self, path: str, **query: object) -> Result[dict[str, Any], Failure]:
        """Read something back.

        Args:
            path: Such as ``/groups``.
            **query: Query parameters.
        """
        return await self._call("GET", path, query, None)

    async def put(
        self, path: str, content: bytes, **query: object
    ) -> Result[dict[str, Any], Failure]:
        """Apply a file."""
        return await self._call("PUT", path, query, content)

    async def _call(
        self, method: str, path: str, query: dict[str, object], content: bytes | None
    ) -> Result[dict[str, Any], Failure]:
        headers = {"Authorization": f"Bearer {self.token}"}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        asked = {name: str(value) for name, value in query.items()}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(
                    method, self.url.rstrip("/") + path, params=asked, data=content
                ) as reply,
            ):
                body = await reply.json()
        except aiohttp.ClientConnectorError as error:
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE, str(error)))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            failure = Failure.from_code(
                ResultCode.PEER_UNREACHABLE, repr(error), ran=Ran.MAYBE
            )
            return Err(failure)
        if "error" in body:
            return Err(_to_failure(body["error"]))
        return Ok(body)


def _to_failure(error: dict[str, Any]) -> Failure:
    return Failure(
        ResultCode(error["code"]),
        error["message"],
        Ran(error["ran"]),
        error.get("retry_after_s"),
    )
