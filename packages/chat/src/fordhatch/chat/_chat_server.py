"""HTTP server of fordhatch's own interface: chat completions, plain services."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter

import attrs
from aiohttp import web
from result import Result

from fordhatch.adapter import model_call_headers
from fordhatch.catalog import CallFields
from fordhatch.config import Limits, ModelService, model_name
from fordhatch.core import Failure, ResultCode, Timer, log_event
from fordhatch.serving import (
    AcceptedRequest,
    EarlyRefusal,
    RequestPath,
    ServedRequest,
    generate_request_id,
    linger,
    read_body,
)

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
        if (http_request.path, http_request.method) == (READY_PATH, "GET"):
            return await self._answer_probe(http_request)
        request_id = generate_request_id()
        is_chat = (http_request.path, http_request.method) == (CHAT_PATH, "POST")
        reply_type = ChatReply if is_chat else CallReply
        reply = reply_type(http_request, self.path.state, request_id=request_id)
        accepted = AcceptedRequest(request_id, http_request, reply, self.timer.now_s())
        async with self.path.state.accept(accepted):
            await self._route(accepted)
        if reply.response is None:
            # The caller has left; an empty answer must not reach anyone.
            await reply.abort()
            return web.Response()
        await linger(http_request, reply.response, self.timer)
        return reply.response

    async def _route(self, accepted: AcceptedRequest) -> None:
        path, method = accepted.http_request.path, accepted.http_request.method
        if isinstance(accepted.reply, ChatReply):
            await self._chat(accepted, accepted.reply)
        elif path == MODELS_PATH and method == "GET":
            await self._models(accepted)
        elif path.startswith(SERVICES_PREFIX):
            await self._call(accepted)
        else:
            await self._refuse(accepted, Failure.from_code(ResultCode.NOT_FOUND))

    async def _answer_probe(self, http_request: web.BaseRequest) -> web.Response:
        # A probe counts as traffic, but the log needs no line for each.
        self.path.state.has_served = True
        status, headers, body = self._ready()
        return web.Response(status=status, headers=dict(headers), body=body)

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

    async def _models(self, accepted: AcceptedRequest) -> None:
        """List the workspace's applications that are served by models."""
        checked = self.checks.check(accepted.http_request)
        if checked.is_err():
            await self._refuse(accepted, checked.unwrap_err())
            return
        context = checked.unwrap()
        declared = context.configuration.declared
        data = [
            {"id": a.name, "object": "model", "owned_by": context.workspace.name}
            for a in declared.applications
            if a.name in context.workspace.applications
            and isinstance(declared.service(a.service), ModelService)
        ]
        body = json.dumps({"object": "list", "data": data}).encode()
        kind = [("Content-Type", "application/json")]
        await accepted.reply.send_complete(200, kind, body)

    async def _read_body(
        self, accepted: AcceptedRequest, due_s: float
    ) -> Result[bytes, Failure]:
        limit_bytes = self.checks.limits.max_body_bytes
        return await read_body(self.path.state, accepted, limit_bytes, due_s)

    # Chat completions.

    async def _chat(self, accepted: AcceptedRequest, reply: ChatReply) -> None:
        built = await self._chat_request(accepted, reply)
        if built.is_err():
            await self._refuse(accepted, built.unwrap_err())
            return
        accepted.served, context = built.unwrap()
        reply.holding = accepted.holding
        await self._serve(accepted, context)

    async def _chat_request(
        self, accepted: AcceptedRequest, reply: ChatReply
    ) -> Result[tuple[ServedRequest, CallerContext], Failure]:
        checked = self.checks.check(accepted.http_request)
        if checked.is_err():
            return checked
        context = checked.unwrap()
        due_s = accepted.arrived_s + context.timeout_s
        content = await self._read_body(accepted, due_s)
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
            accepted.request_id,
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
            arrived_s=accepted.arrived_s,
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

    async def _call(self, accepted: AcceptedRequest) -> None:
        built = await self._call_request(accepted)
        if built.is_err():
            await self._refuse(accepted, built.unwrap_err())
            return
        accepted.served, context = built.unwrap()
        await self._serve(accepted, context)

    async def _call_request(
        self, accepted: AcceptedRequest
    ) -> Result[tuple[ServedRequest, CallerContext], Failure]:
        http_request = accepted.http_request
        checked = self.checks.check(http_request)
        if checked.is_err():
            return checked
        context = checked.unwrap()
        relative_path = http_request.raw_path.removeprefix(SERVICES_PREFIX)
        name, _, target = relative_path.partition("/")
        found = self.checks.application(context, name, is_model=False)
        if found.is_err():
            return found
        due_s = accepted.arrived_s + context.timeout_s
        body = await self._read_body(accepted, due_s)
        if body.is_err():
            return body
        target = f"/{target}"
        fields = CallFields(accepted.request_id, context.timeout_s, (context.key_hash,))
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
            arrived_s=accepted.arrived_s,
        )
        return admitted.map(lambda request: (request, context))

    # Serving.

    async def _serve(self, accepted: AcceptedRequest, context: CallerContext) -> None:
        accepted.reply.due_s = accepted.served.due_s
        name, limit = context.workspace.name, context.workspace.max_concurrent
        if limit is not None and self._running_by_workspace[name] >= limit:
            failure = Failure.from_code(
                ResultCode.WORKSPACE_LIMIT, retry_after_s=LIMIT_RETRY_AFTER_S
            )
            await self._refuse(accepted, failure)
            return
        self._running_by_workspace[name] += 1
        try:
            if context.idempotency_key:
                await self._serve_once(accepted, context)
            else:
                await self.path.dispatch.serve(accepted.served, accepted.reply)
        finally:
            self._running_by_workspace[name] -= 1

    async def _serve_once(
        self, accepted: AcceptedRequest, context: CallerContext
    ) -> None:
        request = accepted.served
        digest = hashlib.sha256(request.body + request.target.encode()).hexdigest()
        key = ClaimKey(context.workspace.name, context.idempotency_key, digest)
        claimed = await self._claim(key, request.due_s)
        if claimed.is_err():
            await self._refuse(accepted, claimed.unwrap_err())
        elif isinstance(claimed.unwrap(), Ticket):
            # Continues after the caller disconnects, so that a retry finds the answer.
            recorded = RecordedReply(accepted.reply, self.claims.row_bytes)
            work = self._run_claimed(request, claimed.unwrap(), recorded)
            task = self.claims.run_to_completion(work, "claimed")
            self.path.state.requests.keep(accepted, task)
            await asyncio.shield(task)
            if recorded.has_caller_left:
                raise ConnectionResetError("the caller has left")
        else:
            await self._serve_retry(accepted, key, claimed.unwrap())

    async def _claim(
        self, key: ClaimKey, due_s: float
    ) -> Result[Ticket | Claim, Failure]:
        """Claim a key; a claim that its request doesn't wait for is released."""
        claiming = self.claims.run_to_completion(
            self.claims.acquire(key, due_s), "claim"
        )
        try:
            return await asyncio.shield(claiming)
        except asyncio.CancelledError:
            claiming.add_done_callback(self._release_unused)
            raise

    def _release_unused(self, claiming: asyncio.Task[object]) -> None:
        if claiming.cancelled() or claiming.exception() is not None:
            return
        ticket = claiming.result().ok()
        if isinstance(ticket, Ticket):
            self.claims.run_to_completion(self.claims.release(ticket), "release-unused")

    async def _run_claimed(
        self, request: ServedRequest, ticket: Ticket, recorded: RecordedReply
    ) -> None:
        try:
            await self.path.dispatch.serve(request, recorded)
        except asyncio.CancelledError:
            # The process ends; a retry finds out at another node whether it has run.
            end = self.claims.mark_lost if request.may_have_run else self.claims.release
            self.claims.run_to_completion(end(ticket), "end-claim")
            raise
        if recorded.stored is not None:
            await self.claims.settle(ticket, recorded.stored)
        elif recorded.is_too_long:
            log_event("answer_not_kept", key=ticket.key.row_key.key)
            await self.claims.mark_lost(ticket)
        elif request.ran_at:
            await self.claims.mark_lost(ticket)
        else:
            await self.claims.release(ticket)
        if recorded.has_caller_left:
            log_event(
                "claim_ended_without_caller",
                request=request.fields.request_id,
                stored=recorded.stored is not None,
                ran_at=",".join(request.ran_at),
            )

    async def _serve_retry(
        self, accepted: AcceptedRequest, key: ClaimKey, claim: Claim
    ) -> None:
        if claim.request_digest != key.request_digest:
            await self._refuse(accepted, Failure.from_code(ResultCode.KEY_REUSED))
            return
        left_s = accepted.served.left_s(self.timer.now_s())
        settled = await self.claims.wait(key, claim, left_s)
        if settled.is_err():
            await self._refuse(accepted, settled.unwrap_err())
        elif settled.unwrap() is None:
            # The claim was released: the earlier request has not run.
            failure = Failure.from_code(
                ResultCode.IN_PROGRESS, retry_after_s=LIMIT_RETRY_AFTER_S
            )
            await self._refuse(accepted, failure)
        elif settled.unwrap().answer is None:
            failure = Failure.from_code(ResultCode.OUTCOME_UNKNOWN)
            await self._refuse(accepted, failure)
        else:
            accepted.reply.is_replayed = True
            await replay(settled.unwrap().answer, accepted.reply)

    async def _refuse(self, accepted: AcceptedRequest, failure: Failure) -> None:
        accepted.refusal = EarlyRefusal(
            failure.code.name,
            accepted.http_request.headers.get("Host", ""),
            round(self.path.state.view.configuration_age_s(), 3),
        )
        await accepted.reply.refuse(failure)
