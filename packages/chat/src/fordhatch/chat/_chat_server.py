"""HTTP server of fordhatch's own interface: chat completions, plain services."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
from collections import Counter

import attrs
from aiohttp import web
from result import Result

from fordhatch.adapter import model_call_headers
from fordhatch.catalog import CallFields
from fordhatch.config import Limits, ModelService, model_name
from fordhatch.core import Failure, ResultCode, Timer, log_event
from fordhatch.serving import RequestPath, ServedRequest

from ._caller_checks import CallerChecks, CallerContext, route_for
from ._chat_body import ChatBody
from ._claim_rows import Claim, ClaimKey
from ._claims import ClaimService, Ticket
from ._replies import (
    CallReply,
    ChatReply,
    RecordedReply,
    replay,
)

CHAT_PATH = "/v1/chat/completions"
"""Path of chat completions; the operators' routes name it too."""

MODELS_PATH = "/v1/models"

READY_PATH = "/ready"
"""Readiness probe for load balancers."""

SERVICES_PREFIX = "/services/"
"""Plain services are called below ``/services/<application>``."""

LIMIT_RETRY_AFTER_S = 1.0
"""``Retry-After`` for a workspace at its limit: about the duration of a request."""

_FORWARDED_HEADERS = ("Content-Type", "Accept")
"""Request headers that are forwarded to plain services."""

Reply = ChatReply | CallReply


@attrs.define(eq=False, repr=False)
class ChatServer:
    """Validates callers' requests and hands them to the request path."""

    path: RequestPath
    claims: ClaimService
    checks: CallerChecks
    timer: Timer
    _running_by_workspace: Counter[str] = attrs.field(factory=Counter)
    """Requests in progress, by workspace."""

    @classmethod
    def create(
        cls, path: RequestPath, claims: ClaimService, limits: Limits, timer: Timer
    ) -> ChatServer:
        """Return a server for a request path."""
        return cls(path, claims, CallerChecks(path, limits), timer)

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        state = self.path.state
        reply = CallReply(http_request, state)
        with state.counted(reply):
            served = await self._route(http_request, reply)
            reply.outcome = served.outcome
            return served.response or web.Response()
        return web.Response()

    async def _route(self, http_request: web.BaseRequest, reply: CallReply) -> Reply:
        path, method = http_request.path, http_request.method
        if path == READY_PATH and method == "GET":
            await reply.send_complete(*self._ready())
            return reply
        if path == MODELS_PATH and method == "GET":
            return await self._models(http_request, reply)
        if path == CHAT_PATH and method == "POST":
            return await self._chat(http_request)
        if path.startswith(SERVICES_PREFIX):
            return await self._call(http_request, reply)
        await reply.refuse(Failure.from_code(ResultCode.NOT_FOUND))
        return reply

    def _ready(self) -> tuple[int, list[tuple[str, str]], bytes]:
        state = self.path.state
        failure = state.refusal()
        if state.is_leaving:
            failure = Failure.from_code(ResultCode.SHUTTING_DOWN)
        body = {"ready": True, "revision": state.view.configuration.version}
        if failure is not None:
            body = failure.to_json()
        status = failure.http_status if failure is not None else 200
        kind = [("Content-Type", "application/json")]
        return status, kind, json.dumps(body).encode()

    async def _models(self, http_request: web.BaseRequest, reply: CallReply) -> Reply:
        """List the workspace's applications that are served by models."""
        checked = self.checks.check(http_request)
        if checked.is_err():
            await reply.refuse(checked.unwrap_err())
            return reply
        context = checked.unwrap()
        declared = context.configuration.declared
        data = [
            {"id": a.name, "object": "model", "owned_by": context.workspace.name}
            for a in declared.applications
            if a.name in context.workspace.applications
            and isinstance(declared.service(a.service), ModelService)
        ]
        body = json.dumps({"object": "list", "data": data}).encode()
        await reply.send_complete(200, [("Content-Type", "application/json")], body)
        return reply

    # Chat completions.

    async def _chat(self, http_request: web.BaseRequest) -> Reply:
        arrived_s = self.timer.now_s()
        request_id = f"req-{secrets.token_hex(10)}"
        reply = ChatReply(http_request, self.path.state, request_id=request_id)
        built = await self._chat_request(http_request, reply, arrived_s)
        if built.is_err():
            await self._refuse(reply, built.unwrap_err())
            return reply
        request, context = built.unwrap()
        return await self._serve(request, context, reply)

    async def _chat_request(
        self, http_request: web.BaseRequest, reply: ChatReply, arrived_s: float
    ) -> Result[tuple[ServedRequest, CallerContext], Failure]:
        checked = self.checks.check(http_request)
        if checked.is_err():
            return checked
        context = checked.unwrap()
        content = await self.checks.body(http_request, context.timeout_s)
        if content.is_err():
            return content
        parsed = ChatBody.from_json(content.unwrap())
        if parsed.is_err():
            return parsed
        body = parsed.unwrap()
        found = self.checks.application(context, body.application, is_model=True)
        if found.is_err():
            return found
        application = found.unwrap()
        reply.application = application.name
        reply.is_streamed = body.is_streamed
        service = context.configuration.declared.service(application.service)
        fields = CallFields(
            reply.request_id,
            context.timeout_s,
            (context.key_hash,),
            model=self._model(service),
            prompt_tokens=body.prompt_tokens,
            max_output_tokens=body.max_tokens,
            shared_parts=body.shared_parts,
        )
        admitted = self.path.admission.admit(
            route_for(context, application, "POST", CHAT_PATH),
            fields,
            method="POST",
            target=CHAT_PATH,
            headers=[
                *model_call_headers(fields),
                ("Content-Type", "application/json"),
            ],
            body=body.to_engine_body(application.adapter),
            arrived_s=arrived_s,
        )
        return admitted.map(lambda request: (request, context))

    def _model(self, service: ModelService) -> str:
        """Return the version to request: an earlier one until the new one serves."""
        wanted = model_name(service)
        directory = self.path.state.view.directory
        serving = directory.served_models(service.accelerator)
        if wanted in serving:
            return wanted
        earlier_versions = [m for m in serving if m.partition("@")[0] == service.model]
        return max(earlier_versions, default=wanted)

    # Plain services.

    async def _call(self, http_request: web.BaseRequest, reply: CallReply) -> Reply:
        arrived_s = self.timer.now_s()
        built = await self._call_request(http_request, arrived_s)
        if built.is_err():
            await self._refuse(reply, built.unwrap_err())
            return reply
        request, context = built.unwrap()
        return await self._serve(request, context, reply)

    async def _call_request(
        self, http_request: web.BaseRequest, arrived_s: float
    ) -> Result[tuple[ServedRequest, CallerContext], Failure]:
        checked = self.checks.check(http_request)
        if checked.is_err():
            return checked
        context = checked.unwrap()
        relative_path = http_request.raw_path.removeprefix(SERVICES_PREFIX)
        name, _, target = relative_path.partition("/")
        found = self.checks.application(context, name, is_model=False)
        if found.is_err():
            return found
        body = await self.checks.body(http_request, context.timeout_s)
        if body.is_err():
            return body
        target = f"/{target}"
        fields = CallFields(
            f"req-{secrets.token_hex(10)}", context.timeout_s, (context.key_hash,)
        )
        route = route_for(context, found.unwrap(), http_request.method, target)
        forwarded = [
            (name, http_request.headers[name])
            for name in _FORWARDED_HEADERS
            if name in http_request.headers
        ]
        admitted = self.path.admission.admit(
            route,
            fields,
            method=http_request.method,
            target=target,
            headers=[*model_call_headers(fields), *forwarded],
            body=body.unwrap(),
            arrived_s=arrived_s,
        )
        return admitted.map(lambda request: (request, context))

    # Serving.

    async def _serve(
        self, request: ServedRequest, context: CallerContext, reply: Reply
    ) -> Reply:
        name, limit = context.workspace.name, context.workspace.max_concurrent
        if limit is not None and self._running_by_workspace[name] >= limit:
            failure = Failure.from_code(
                ResultCode.WORKSPACE_LIMIT, retry_after_s=LIMIT_RETRY_AFTER_S
            )
            await self._refuse(reply, failure)
            return reply
        self._running_by_workspace[name] += 1
        try:
            if context.idempotency_key:
                await self._serve_once(request, context, reply)
            else:
                await self.path.dispatch.serve(request, reply)
        finally:
            self._running_by_workspace[name] -= 1
        return reply

    async def _serve_once(
        self, request: ServedRequest, context: CallerContext, reply: Reply
    ) -> None:
        digest = hashlib.sha256(request.body + request.target.encode()).hexdigest()
        key = ClaimKey(context.workspace.name, context.idempotency_key, digest)
        claimed = await self.claims.acquire(key)
        if claimed.is_err():
            await self._refuse(reply, claimed.unwrap_err())
        elif isinstance(claimed.unwrap(), Ticket):
            # Continues after the caller disconnects, so that a retry finds the answer.
            work = self._run_claimed(request, claimed.unwrap(), reply)
            await asyncio.shield(self.claims.run_to_completion(work, "claimed"))
        else:
            await self._serve_retry(request, key, claimed.unwrap(), reply)

    async def _run_claimed(
        self, request: ServedRequest, ticket: Ticket, reply: Reply
    ) -> None:
        recorded = RecordedReply(reply, self.claims.row_bytes)
        await self.path.dispatch.serve(request, recorded)
        if recorded.stored is not None:
            await self.claims.settle(ticket, recorded.stored)
        elif recorded.is_too_long:
            log_event("answer_not_kept", key=ticket.key.row_key.key)
            await self.claims.mark_lost(ticket)
        elif request.ran_at:
            await self.claims.mark_lost(ticket)
        else:
            await self.claims.release(ticket)

    async def _serve_retry(
        self, request: ServedRequest, key: ClaimKey, claim: Claim, reply: Reply
    ) -> None:
        if claim.request_digest != key.request_digest:
            await self._refuse(reply, Failure.from_code(ResultCode.KEY_REUSED))
            return
        left_s = request.left_s(self.timer.now_s())
        settled = await self.claims.wait(key, claim, left_s)
        if settled.is_err():
            await self._refuse(reply, settled.unwrap_err())
        elif settled.unwrap() is None:
            # The claim was released: the earlier request has not run.
            failure = Failure.from_code(
                ResultCode.IN_PROGRESS, retry_after_s=LIMIT_RETRY_AFTER_S
            )
            await self._refuse(reply, failure)
        elif settled.unwrap().answer is None:
            await self._refuse(reply, Failure.from_code(ResultCode.OUTCOME_UNKNOWN))
        else:
            reply.is_replayed = True
            await replay(settled.unwrap().answer, reply)

    async def _refuse(self, reply: Reply, failure: Failure) -> None:
        log_event(
            "request_failed",
            code=int(failure.code),
            ran=failure.ran.value,
            version=self.path.state.view.configuration.version,
            age_s=round(self.path.state.view.configuration_age_s(), 3),
        )
        await reply.refuse(failure)
