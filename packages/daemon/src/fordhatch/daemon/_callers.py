"""The HTTP interface for callers: chat completions and plain services."""

from __future__ import annotations

import json as jsonlib
import time
from collections import Counter
from typing import Any

import attrs
from result import Err, Ok, Result
from sanic import HTTPResponse, Request, Sanic, json, raw

from fordhatch.config import (
    Application,
    ModelService,
    OperatorsFile,
    Workspace,
    hash_key,
)
from fordhatch.core import Failure, Ran, ResultCode, log_event, metrics
from fordhatch.routing import CallerRequest, Completion, PlainReply, Reply

from ._http_errors import failure_response, new_app
from ._node import Node

CHAT_PATH = "/v1/chat/completions"
"""Path of chat completions, also in the operators' routes."""

SERVICES_PREFIX = "/services/"
"""Plain services are called below ``/services/<application>``."""

MOST_TOKENS = 32768
"""Longest answer that a caller may ask for."""

LONGEST_KEY = 255
"""Longest idempotency key."""

PASSED_HEADERS = ("content-type", "accept")
"""Callers' headers that plain services see."""


@attrs.define(eq=False)
class CallersApp:
    """Checks callers' requests and passes answers on."""

    node: Node
    app: Sanic
    open_requests: int = 0
    _by_workspace: Counter[str] = attrs.field(factory=Counter)

    @classmethod
    def from_node(cls, node: Node) -> CallersApp:
        """Return the application with its routes."""
        limits = node.settings.limits
        name = f"callers-{node.settings.node_id.replace('.', '-')}"
        app = new_app(name, limits.max_body_bytes, limits.max_timeout_s + 30.0)
        callers = cls(node, app)
        app.add_route(callers.chat, CHAT_PATH, methods=["POST"])
        app.add_route(callers.models, "/v1/models", methods=["GET"])
        app.add_route(callers.ready, "/ready", methods=["GET"])
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        app.add_route(
            callers.plain,
            SERVICES_PREFIX + "<application:str>/<rest:path>",
            methods=methods,
        )
        app.on_response(callers.close_while_leaving)
        return callers

    async def close_while_leaving(
        self, request: Request, response: HTTPResponse
    ) -> None:
        """Let kept-alive connections move to other nodes."""
        if self.node.leaving and request.stream is not None:
            # The library writes the header itself, from this field.
            request.stream.keep_alive = False

    async def ready(self, request: Request) -> HTTPResponse:
        """Tell the balancer whether to send requests here."""
        failure = self.node.confirmed()
        if self.node.leaving:
            failure = Failure.from_code(ResultCode.SHUTTING_DOWN)
        if failure is not None:
            return failure_response(failure)
        return json({"ready": True, "revision": self.node.config.revision})

    async def models(self, request: Request) -> HTTPResponse:
        """List the applications that the workspace may use."""
        known = self._authenticate(request)
        if known.is_err():
            return failure_response(known.unwrap_err())
        declared, workspace = known.unwrap()
        data = [
            {"id": name, "object": "model", "owned_by": workspace.name}
            for name in workspace.applications
            if isinstance(_service_of(declared, name), ModelService)
        ]
        return json({"object": "list", "data": data})

    # Checks.

    def _authenticate(
        self, request: Request
    ) -> Result[tuple[OperatorsFile, Workspace], Failure]:
        failure = self.node.confirmed()
        if failure is not None:
            return Err(failure)
        declared = self.node.config.current.declared
        key = request.token or ""
        workspace = declared.workspace_of(hash_key(key)) if key else None
        if workspace is None:
            return Err(Failure.from_code(ResultCode.UNAUTHENTICATED))
        return Ok((declared, workspace))

    def _application(
        self, declared: OperatorsFile, workspace: Workspace, name: object, kind: type
    ) -> Result[Application, Failure]:
        application = declared.application(name) if isinstance(name, str) else None
        if application is None:
            return Err(Failure.from_code(ResultCode.UNKNOWN_MODEL, f"no {name!r}"))
        if application.name not in workspace.applications:
            return Err(Failure.from_code(ResultCode.FORBIDDEN))
        if not isinstance(declared.service(application.service), kind):
            return Err(Failure.from_code(ResultCode.UNKNOWN_MODEL, f"no {name!r}"))
        return Ok(application)

    def _timeout_s(self, request: Request) -> Result[float, Failure]:
        limits = self.node.settings.limits
        asked = request.headers.get("X-Timeout-S")
        if asked is None:
            return Ok(limits.default_timeout_s)
        try:
            timeout_s = float(asked)
        except ValueError:
            return Err(_bad("X-Timeout-S is not a number"))
        if not 0 < timeout_s <= limits.max_timeout_s:
            text = f"X-Timeout-S must be above 0 and at most {limits.max_timeout_s:g}"
            return Err(_bad(text))
        return Ok(timeout_s)

    def _build(
        self,
        request: Request,
        workspace: Workspace,
        application: Application,
        path: str,
        **fields: Any,
    ) -> Result[CallerRequest, Failure]:
        timeout = self._timeout_s(request)
        if timeout.is_err():
            return timeout
        key = request.headers.get("Idempotency-Key", "")
        if len(key) > LONGEST_KEY:
            return Err(_bad(f"Idempotency-Key is longer than {LONGEST_KEY}"))
        mark = request.headers.get("X-Repeatable", "true").lower()
        if mark not in ("true", "false"):
            return Err(_bad("X-Repeatable must be true or false"))
        repeatable = mark == "true" and application.may_repeat(request.method, path)
        return Ok(
            CallerRequest(
                workspace=workspace,
                application=application,
                method=request.method,
                path=path,
                headers={
                    name: request.headers[name]
                    for name in PASSED_HEADERS
                    if name in request.headers
                },
                body=request.body,
                timeout_s=timeout.unwrap(),
                repeatable=repeatable,
                idempotency_key=key,
                **fields,
            )
        )

    # Chat completions.

    async def chat(self, request: Request) -> HTTPResponse | None:
        """Serve a chat completion, streamed or not."""
        checked = self._check_chat(request)
        if checked.is_err():
            return self._refuse("-", checked.unwrap_err())
        caller, streamed = checked.unwrap()
        if streamed:
            return await self._chat_streamed(request, caller)
        return await self._chat_whole(caller)

    def _check_chat(
        self, request: Request
    ) -> Result[tuple[CallerRequest, bool], Failure]:
        known = self._authenticate(request)
        if known.is_err():
            return known
        declared, workspace = known.unwrap()
        parsed = _parse_chat(request.body)
        if parsed.is_err():
            return parsed
        body = parsed.unwrap()
        found = self._application(declared, workspace, body["model"], ModelService)
        if found.is_err():
            return found
        built = self._build(
            request,
            workspace,
            found.unwrap(),
            CHAT_PATH,
            is_model=True,
            prefix=str(body["messages"][0]["content"]),
        )
        return built.map(lambda caller: (caller, body.get("stream", False)))

    async def _chat_whole(self, caller: CallerRequest) -> HTTPResponse:
        started_s = self.node.timer.now_s()

        async def deliver(index: int, text: str) -> None:
            self._count_token(caller, index, started_s)

        done = await self._run(caller, deliver)
        if done.is_err():
            return failure_response(done.unwrap_err())
        return json(_completion_body(caller, done.unwrap()))

    async def _chat_streamed(
        self, request: Request, caller: CallerRequest
    ) -> HTTPResponse | None:
        started_s = self.node.timer.now_s()
        response: HTTPResponse | None = None

        async def deliver(index: int, text: str) -> None:
            nonlocal response
            if response is None:
                # The status is sent with the first token: until then a refusal
                # can still be an HTTP error.
                response = await request.respond(content_type="text/event-stream")
            self._count_token(caller, index, started_s)
            await response.send(_event(_chunk(caller, {"content": text}, None)))

        done = await self._run(caller, deliver)
        if response is None:
            if done.is_err():
                return failure_response(done.unwrap_err())
            response = await request.respond(content_type="text/event-stream")
        if done.is_err():
            # Headers are out; the error goes into the stream, without an end mark.
            await response.send(_event(done.unwrap_err().to_json()))
            await response.eof()
            return None
        reason = done.unwrap().reason
        await response.send(_event(_chunk(caller, {}, reason)))
        await response.send("data: [DONE]\n\n")
        await response.eof()
        return None

    def _count_token(self, caller: CallerRequest, index: int, started_s: float) -> None:
        service = caller.application.service
        metrics.TOKENS.labels(service).inc()
        if index == 0:
            passed_s = self.node.timer.now_s() - started_s
            metrics.FIRST_TOKEN_SECONDS.labels(service).observe(passed_s)

    # Plain services.

    async def plain(
        self, request: Request, application: str, rest: str = ""
    ) -> HTTPResponse:
        """Pass a call on to a plain service."""
        known = self._authenticate(request)
        if known.is_err():
            return self._refuse("-", known.unwrap_err())
        declared, workspace = known.unwrap()
        found = self._application(declared, workspace, application, object)
        if found.is_ok() and isinstance(
            declared.service(found.unwrap().service), ModelService
        ):
            found = Err(Failure.from_code(ResultCode.UNKNOWN_MODEL))
        if found.is_err():
            return self._refuse("-", found.unwrap_err())
        path = "/" + rest
        query = f"?{request.query_string}" if request.query_string else ""
        built = self._build(
            request, workspace, found.unwrap(), path + query, is_model=False
        )
        if built.is_err():
            return self._refuse("-", built.unwrap_err())
        done = await self._run(built.unwrap(), _no_tokens)
        if done.is_err():
            return failure_response(done.unwrap_err())
        reply: PlainReply = done.unwrap()
        headers = {"X-Replayed": "true"} if reply.replayed else {}
        content_type = reply.headers.get("content-type") or "application/octet-stream"
        return raw(
            reply.body, status=reply.status, headers=headers, content_type=content_type
        )

    # Running.

    async def _run(self, caller: CallerRequest, deliver: Any) -> Result[Reply, Failure]:
        name = caller.workspace.name
        if self._by_workspace[name] >= caller.workspace.max_concurrent:
            failure = Failure.from_code(ResultCode.WORKSPACE_LIMIT, retry_after_s=1.0)
            return self._finish(caller, Err(failure))
        self._by_workspace[name] += 1
        self.open_requests += 1
        metrics.IN_FLIGHT.inc()
        try:
            return self._finish(caller, await self.node.entry.run(caller, deliver))
        finally:
            self._by_workspace[name] -= 1
            self.open_requests -= 1
            metrics.IN_FLIGHT.dec()

    def _finish(
        self, caller: CallerRequest, done: Result[Reply, Failure]
    ) -> Result[Reply, Failure]:
        code = done.unwrap_err().code if done.is_err() else ResultCode.OK
        metrics.REQUESTS.labels(caller.application.service, code.name).inc()
        if done.is_err():
            self._log_refusal(caller.request_id, done.unwrap_err())
        return done

    def _refuse(self, service: str, failure: Failure) -> HTTPResponse:
        metrics.REQUESTS.labels(service, failure.code.name).inc()
        self._log_refusal("-", failure)
        return failure_response(failure)

    def _log_refusal(self, request_id: str, failure: Failure) -> None:
        log_event(
            "request_failed",
            request=request_id,
            code=int(failure.code),
            ran=failure.ran.value,
        )


async def _no_tokens(index: int, text: str) -> None:
    raise AssertionError("a plain service has no tokens")


def _service_of(declared: OperatorsFile, application: str) -> object:
    found = declared.application(application)
    return declared.service(found.service) if found else None


def _bad(message: str) -> Failure:
    return Failure.from_code(ResultCode.BAD_REQUEST, message, ran=Ran.NO)


def _parse_chat(content: bytes) -> Result[dict[str, Any], Failure]:
    try:
        body = jsonlib.loads(content)
    except (ValueError, RecursionError) as error:
        return Err(_bad(f"the body is not JSON: {error}"))
    if not isinstance(body, dict):
        return Err(_bad("the body is not an object"))
    if not isinstance(body.get("model"), str):
        return Err(_bad("'model' must be a string"))
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return Err(_bad("'messages' must be a list with at least one entry"))
    for index, entry in enumerate(messages):
        if not isinstance(entry, dict) or not isinstance(entry.get("content"), str):
            return Err(_bad(f"'messages[{index}].content' must be a string"))
    tokens = body.get("max_tokens", 16)
    is_number = isinstance(tokens, int) and not isinstance(tokens, bool)
    if not is_number or not 1 <= tokens <= MOST_TOKENS:
        return Err(_bad(f"'max_tokens' must be from 1 to {MOST_TOKENS}"))
    if not isinstance(body.get("stream", False), bool):
        return Err(_bad("'stream' must be true or false"))
    return Ok(body)


def _completion_body(caller: CallerRequest, done: Completion) -> dict[str, Any]:
    message = {"role": "assistant", "content": done.text}
    return {
        "id": caller.request_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": caller.application.name,
        "choices": [{"index": 0, "message": message, "finish_reason": done.reason}],
        "usage": {
            "completion_tokens": done.tokens,
            "prompt_tokens_details": {"cached_tokens": done.cached_tokens},
        },
        "replayed": done.replayed,
    }


def _chunk(
    caller: CallerRequest, delta: dict[str, str], reason: str | None
) -> dict[str, Any]:
    return {
        "id": caller.request_id,
        "object": "chat.completion.chunk",
        "model": caller.application.name,
        "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
    }


def _event(body: dict[str, Any]) -> str:
    return f"data: {jsonlib.dumps(body, separators=(',', ':'))}\n\n"
