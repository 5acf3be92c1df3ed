"""Failures as HTTP answers of the operators' interface."""

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

_SERVER_ERROR = 500


def failure_response(failure: Failure) -> HTTPResponse:
    """Return a failure as an HTTP answer: status, headers and body agree."""
    headers = {
        "X-Result-Code": str(int(failure.code)),
        "X-Ran": failure.ran.value,
    }
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return json(failure.to_json(), status=failure.http_status, headers=headers)


def new_app(name: str, max_body_bytes: int) -> Sanic:
    """Return a web application that runs inside the daemon's own event loop.

    Args:
        name: Unique within the process.
        max_body_bytes: Longest request body.
    """
    app = Sanic(name, configure_logging=False)
    # Two applications can't be started in one process otherwise.
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.MOTD = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
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
    if isinstance(error, SanicException) and error.status_code < _SERVER_ERROR:
        return Failure.from_code(ResultCode.BAD_REQUEST, str(error))
    log_event("http_handler_failed", path=request.path, error=repr(error))
    return Failure.from_code(ResultCode.INTERNAL, ran=Ran.MAYBE)
