"""What every request of a caller of fordhatch's own interface is checked for."""

from __future__ import annotations

import attrs
from aiohttp import web
from result import Err, Ok, Result

from fordhatch.catalog import Route, RouteKind, Workspace
from fordhatch.config import (
    Application,
    DeclaredConfiguration,
    Limits,
    ModelService,
    hash_key,
)
from fordhatch.core import Failure, ResultCode
from fordhatch.serving import RequestPath

from ._chat_body import bad_request

KEY_HEADER = "Idempotency-Key"

LONGEST_KEY = 255
"""Longest idempotency key."""

_BEARER = "Bearer "


@attrs.frozen
class CallerTerms:
    """What every request of a caller says, checked."""

    key_hash: str
    configuration: DeclaredConfiguration
    workspace: Workspace
    timeout_s: float
    idempotency_key: str
    may_repeat: bool


@attrs.define(eq=False, repr=False)
class CallerChecks:
    """Checks key, deadline, marks, application and length."""

    path: RequestPath
    limits: Limits

    def check(self, http_request: web.BaseRequest) -> Result[CallerTerms, Failure]:
        """Check what is the same for every kind of request."""
        stopped = self.path.state.why_not()
        if stopped is not None:
            return Err(stopped)
        header = http_request.headers.get("Authorization", "")
        if not header.startswith(_BEARER):
            return Err(Failure.from_code(ResultCode.UNAUTHENTICATED))
        key_hash = hash_key(header.removeprefix(_BEARER).strip())
        known = self.path.admission.authenticate(_ANY_ROUTE, (key_hash,))
        if known.is_err():
            return known
        timeout = self._timeout_s(http_request)
        if timeout.is_err():
            return timeout
        key = http_request.headers.get(KEY_HEADER, "")
        if len(key) > LONGEST_KEY:
            return Err(bad_request(f"{KEY_HEADER} is longer than {LONGEST_KEY}"))
        mark = http_request.headers.get("X-Repeatable", "true").lower()
        if mark not in ("true", "false"):
            return Err(bad_request("X-Repeatable must be true or false"))
        configuration = self.path.state.view.configuration.current
        return Ok(
            CallerTerms(
                key_hash,
                configuration,
                known.unwrap(),
                timeout.unwrap(),
                key,
                mark == "true",
            )
        )

    def _timeout_s(self, http_request: web.BaseRequest) -> Result[float, Failure]:
        asked = http_request.headers.get("X-Timeout-S")
        if asked is None:
            return Ok(self.limits.default_timeout_s)
        try:
            timeout_s = float(asked)
        except ValueError:
            return Err(bad_request("X-Timeout-S is not a number"))
        if not 0 < timeout_s <= self.limits.max_timeout_s:
            text = (
                f"X-Timeout-S must be above 0 and at most {self.limits.max_timeout_s:g}"
            )
            return Err(bad_request(text))
        return Ok(timeout_s)

    def application(
        self, asked: CallerTerms, name: str, *, is_model: bool
    ) -> Result[Application, Failure]:
        """Return an application that the workspace may use, of the kind asked for."""
        declared = asked.configuration.declared
        application = declared.application(name)
        if application is None:
            return Err(Failure.from_code(ResultCode.UNKNOWN_MODEL, f"no {name!r}"))
        if application.name not in asked.workspace.applications:
            return Err(Failure.from_code(ResultCode.FORBIDDEN))
        service = declared.service(application.service)
        if isinstance(service, ModelService) is not is_model:
            return Err(Failure.from_code(ResultCode.UNKNOWN_MODEL, f"no {name!r}"))
        return Ok(application)

    async def body(self, http_request: web.BaseRequest) -> Result[bytes, Failure]:
        """Return the whole body, unless it is too long."""
        body = bytearray()
        async for piece in http_request.content.iter_any():
            body += piece
            if len(body) > self.limits.max_body_bytes:
                return Err(Failure.from_code(ResultCode.BODY_TOO_LARGE))
        return Ok(bytes(body))


_ANY_ROUTE = Route("", "", "/", RouteKind.NON_IDEMPOTENT, (), 0.0, 0.0, 1, 0)
"""Every route of this interface needs an API key."""


def route_for(
    asked: CallerTerms, application: Application, method: str, target: str
) -> Route:
    """Return an application's route as it is for one request."""
    routes = asked.configuration.routes
    route = next(r for r in routes if r.name == application.name)
    route = attrs.evolve(route, timeout_s=asked.timeout_s)
    if asked.may_repeat and application.may_repeat(method, target):
        return route
    kind = route.kind
    if kind is RouteKind.IDEMPOTENT:
        kind = RouteKind.NON_IDEMPOTENT
    return attrs.evolve(route, kind=kind, is_resumable=False, attempts=1)
