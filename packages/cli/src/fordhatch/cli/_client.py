"""Client of a node's operators' interface."""

from __future__ import annotations

from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode

TIMEOUT_S = 30.0
"""Timeout of one call."""


@attrs.frozen
class OperatorClient:
    """Calls one node's operators' interface; any node can answer."""

    url: str
    token: str

    async def get(self, path: str, **query: object) -> Result[dict[str, Any], Failure]:
        """Send a GET request.

        Args:
            path: Path of the resource, such as ``/groups``.
            **query: Query parameters.

        Returns:
            The decoded JSON body. A failure with ``ran`` maybe means that the
            request may have been executed.
        """
        return await self._call("GET", path, query, None)

    async def put(
        self, path: str, content: bytes, **query: object
    ) -> Result[dict[str, Any], Failure]:
        """Send a PUT request with a file as its body."""
        return await self._call("PUT", path, query, content)

    async def _call(
        self, method: str, path: str, query: dict[str, object], content: bytes | None
    ) -> Result[dict[str, Any], Failure]:
        headers = {"Authorization": f"Bearer {self.token}"}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        query_params = {name: str(value) for name, value in query.items()}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(
                    method,
                    self.url.rstrip("/") + path,
                    params=query_params,
                    data=content,
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
