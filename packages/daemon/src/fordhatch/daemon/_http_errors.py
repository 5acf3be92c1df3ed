"""Failures as HTTP answers: status, headers and body always agree."""

from __future__ import annotations

import math

from sanic import HTTPResponse, Request, Sanic, json
from sanic.exceptions import (
    InvalidUsage,
    NotFound,
    PayloadTooLarge,
    SanicException,
)

from fordhatch.core import Failure, Ran, ResultCode, log_event

CODE_HEADER = "X-Result-Code"
"""Numbered result code of an answer that is not complete."""

RAN_HEADER = "X-Ran"
"""``no`` or ``maybe``: whether the request may have run."""


def failure_headers(failure: Failure) -> dict[str, str]:
    """Return the headers that go with a failure."""
    headers = {CODE_HEADER: str(int(failure.code)), RAN_HEADER: failure.ran.value}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return headers


def failure_response(failure: Failure) -> HTTPResponse:
    """Return a failure as an HTTP answer."""
    return json(
        failure.to_json(),
        status=failure.http_status,
        headers=failure_headers(failure),
    )


def new_app(name: str, max_body_bytes: int, response_timeout_s: float) -> Sanic:
    """Return a web application that runs inside the daemon's own event loop.

    Args:
        name: Unique within the process.
        max_body_bytes: Longest request body.
        response_timeout_s: Longest time an answer may take.
    """
    app = Sanic(name, configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.MOTD = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.RESPONSE_TIMEOUT = response_timeout_s
    app.config.KEEP_ALIVE_TIMEOUT = 60
    app.exception(Exception)(_unexpected)
    return app


async def _unexpected(request: Request, error: Exception) -> HTTPResponse:
    return failure_response(_to_failure(request, error))


def _to_failure(request: Request, error: Exception) -> Failure:
    if isinstance(error, PayloadTooLarge):
        return Failure.from_code(ResultCode.BODY_TOO_LARGE)
    if isinstance(error, NotFound):
        return Failure.from_code(ResultCode.NOT_FOUND)
    if isinstance(error, InvalidUsage):
        return Failure.from_code(ResultCode.BAD_REQUEST, str(error))
    if isinstance(error, SanicException) and error.status_code < 500:  # noqa: PLR2004
        return Failure.from_code(ResultCode.BAD_REQUEST, str(error))
    log_event("http_handler_failed", path=request.path, error=repr(error))
    return Failure.from_code(ResultCode.INTERNAL, ran=Ran.MAYBE)
