"""Client of a node's operators' interface."""

from __future__ import annotations

import json
from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.adapter import InvalidAnswer, bounded_connector, read_bounded
from fordhatch.core import Failure, Ran, ResultCode

TIMEOUT_S = 30.0
"""Timeout of one call."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Longest answer; the state of the largest system takes a few megabytes."""

_FIRST_FAILURE = 300


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
        connector = bounded_connector(force_close=True)
        try:
            async with (
                aiohttp.ClientSession(
                    timeout=timeout, headers=headers, connector=connector
                ) as session,
                session.request(
                    method,
                    self.url.rstrip("/") + path,
                    params=query_params,
                    data=content,
                ) as reply,
            ):
                body = await read_bounded(reply, MAX_ANSWER_BYTES)
                return _decode(reply.status, body)
        except aiohttp.ClientConnectorError as error:
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE, str(error)))
        except InvalidAnswer as error:
            return Err(_wrong_answer(str(error)))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            failure = Failure.from_code(
                ResultCode.PEER_UNREACHABLE, repr(error), ran=Ran.MAYBE
            )
            return Err(failure)


def _decode(status: int, body: bytes) -> Result[dict[str, Any], Failure]:
    """Return what an answer says; one that is malformed says nothing."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(_wrong_answer(f"not valid JSON: {error!r:.100}"))
    if not isinstance(fields, dict):
        return Err(_wrong_answer("expected a JSON object"))
    if "error" in fields:
        return Err(_to_failure(fields["error"]))
    if status >= _FIRST_FAILURE:
        return Err(_wrong_answer(f"status {status}"))
    return Ok(fields)


def _to_failure(error: Any) -> Failure:
    try:
        return Failure(
            ResultCode(error["code"]),
            str(error["message"]),
            Ran(error["ran"]),
            error.get("retry_after_s"),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as reason:
        return _wrong_answer(f"failure without {reason!r:.100}")


def _wrong_answer(detail: str) -> Failure:
    return Failure.from_code(ResultCode.WRONG_ANSWER, detail, ran=Ran.MAYBE)
