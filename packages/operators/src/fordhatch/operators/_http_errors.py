"""Conversion of failures to HTTP responses of the operators' interface."""

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
    """Return a failure as an HTTP response.

    Status, headers and body all come from the same failure, so that they agree.
    """
    headers = {
        "X-Result-Code": str(int(failure.code)),
        "X-Ran": failure.ran.value,
    }
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return json(failure.to_json(), status=failure.http_status, headers=headers)


def new_app(name: str, max_body_bytes: int) -> Sanic:
    """Return a web application that runs in the daemon's event loop.

    Args:
        name: Name of the application; unique within the process.
        max_body_bytes: Largest accepted request body, in bytes.
    """
    app = Sanic(name, configure_logging=False)
    # With touch-up on, Sanic can't start two applications in one process.
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.MOTD = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.exception(Exception)(_handle_exception)
    return app


async def _handle_exception(request: Request, error: Exception) -> HTTPResponse:
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
