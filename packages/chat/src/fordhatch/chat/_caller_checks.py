"""Checks that apply to every request on fordhatch's own interface for callers."""

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

MAX_KEY_LENGTH = 255
"""Longest idempotency key, in characters."""

_BEARER = "Bearer "


@attrs.frozen
class CallerContext:
    """Validated headers of a request, with the caller's workspace and configuration."""

    key_hash: str
    configuration: DeclaredConfiguration
    workspace: Workspace
    timeout_s: float
    idempotency_key: str
    may_repeat: bool


@attrs.define(eq=False, repr=False)
class CallerChecks:
    """Validates API key, headers, timeout and application of a request."""

    path: RequestPath
    limits: Limits

    def check(self, http_request: web.BaseRequest) -> Result[CallerContext, Failure]:
        """Check the parts that every kind of request has in common.

        Returns:
            The request's context, or the failure to answer with.
        """
        not_serving = self.path.state.refusal()
        if not_serving is not None:
            return Err(not_serving)
        header = http_request.headers.get("Authorization", "")
        if not header.startswith(_BEARER):
            return Err(Failure.from_code(ResultCode.UNAUTHENTICATED))
        key_hash = hash_key(header.removeprefix(_BEARER).strip())
        authenticated = self.path.admission.authenticate(_ANY_ROUTE, (key_hash,))
        if authenticated.is_err():
            return authenticated
        timeout = self._timeout_s(http_request)
        if timeout.is_err():
            return timeout
        key = http_request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            return Err(bad_request(f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH}"))
        repeatable = http_request.headers.get("X-Repeatable", "true").lower()
        if repeatable not in ("true", "false"):
            return Err(bad_request("X-Repeatable must be true or false"))
        configuration = self.path.state.view.configuration.current
        return Ok(
            CallerContext(
                key_hash,
                configuration,
                authenticated.unwrap(),
                timeout.unwrap(),
                key,
                repeatable == "true",
            )
        )

    def _timeout_s(self, http_request: web.BaseRequest) -> Result[float, Failure]:
        value = http_request.headers.get("X-Timeout-S")
        if value is None:
            return Ok(self.limits.default_timeout_s)
        try:
            timeout_s = float(value)
        except ValueError:
            return Err(bad_request("X-Timeout-S is not a number"))
        if not 0 < timeout_s <= self.limits.max_timeout_s:
            text = (
                f"X-Timeout-S must be above 0 and at most {self.limits.max_timeout_s:g}"
            )
            return Err(bad_request(text))
        return Ok(timeout_s)

    def application(
        self, context: CallerContext, name: str, *, is_model: bool
    ) -> Result[Application, Failure]:
        """Return an application that the workspace may use.

        Args:
            context: The checked request.
            name: The application's name.
            is_model: Whether the application must be served by a model; otherwise
                it must be a plain service.

        Returns:
            The application, or the failure to answer with.
        """
        declared = context.configuration.declared
        application = declared.application(name)
        if application is None:
            return Err(Failure.from_code(ResultCode.UNKNOWN_MODEL, f"no {name!r}"))
        if application.name not in context.workspace.applications:
            return Err(Failure.from_code(ResultCode.FORBIDDEN))
        service = declared.service(application.service)
        if isinstance(service, ModelService) is not is_model:
            return Err(Failure.from_code(ResultCode.UNKNOWN_MODEL, f"no {name!r}"))
        return Ok(application)


_ANY_ROUTE = Route("", "", "/", RouteKind.NON_IDEMPOTENT, (), 0.0, 0.0, 1, 0)
"""Placeholder to authenticate with before the route is known: every route of this
interface requires an API key."""


def route_for(
    context: CallerContext, application: Application, method: str, target: str
) -> Route:
    """Return an application's route, adapted to one request.

    The request's timeout replaces the route's. A request that may not run twice gets
    one attempt and is neither resumed nor treated as idempotent.
    """
    routes = context.configuration.routes
    route = next(r for r in routes if r.name == application.name)
    route = attrs.evolve(route, timeout_s=context.timeout_s)
    if context.may_repeat and application.may_repeat(method, target):
        return route
    kind = route.kind
    if kind is RouteKind.IDEMPOTENT:
        kind = RouteKind.NON_IDEMPOTENT
    return attrs.evolve(route, kind=kind, is_resumable=False, attempts=1)
