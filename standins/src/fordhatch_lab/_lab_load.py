"""Simulated callers: random request arrivals and their observed outcomes."""

from __future__ import annotations

import asyncio
import random

import attrs

from fordhatch.adapter import model_call_headers
from fordhatch.catalog import CallFields
from fordhatch.core import Failure
from fordhatch.serving import AcceptedRequest

from ._experiment import RequestClass
from ._lab_site import LabNode, LabSite
from ._measures import Outcome

LENGTH_RANGE = (0.4, 1.6)
"""Range of prompt and answer lengths, as factors of their mean."""

READINESS_INTERVAL_S = 0.5
"""Time between a balancer's questions whether a node is ready."""


@attrs.define(eq=False, repr=False)
class LabReply:
    """Records the arrival times of the parts of an answer."""

    observed: Outcome
    outcome: str = ""
    has_begun: bool = False
    is_whole: bool = False
    is_over: bool = False

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def refuse(self, failure: Failure) -> None:
        """Record a refusal."""
        self.outcome = failure.code.name.lower()
        self.observed.refusal = failure
        self.is_over = True

    async def send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Record a complete answer that was not streamed."""
        self.outcome = f"status_{status}"
        self.is_whole = self.is_over = True

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Record the status and headers of a stream."""
        self.has_begun = True

    async def write(self, piece: bytes) -> None:
        """Record the arrival of events."""
        now_s = self._now_s()
        if self.observed.first_s is None:
            self.observed.first_s = now_s
        if self.observed.last_s is not None:
            max_gap_s = now_s - self.observed.last_s
            self.observed.longest_gap_s = max(self.observed.longest_gap_s, max_gap_s)
        self.observed.last_s = now_s

    async def end(self) -> None:
        """Record the end of a complete stream."""
        self.outcome = "complete"
        self.observed.is_whole = True
        self.is_whole = self.is_over = True

    async def abort(self) -> None:
        """Record the end of an incomplete stream."""
        self.outcome = "aborted"
        self.is_over = True


@attrs.frozen
class LabTransport:
    """A connection that its caller keeps open."""

    def is_closing(self) -> bool:
        """Return whether it is being closed."""
        return False


@attrs.frozen
class LabWriter:
    """Counts nothing; stands for what writes to a connection."""

    output_size: int = 0


@attrs.frozen
class LabHttpRequest:
    """What an accepted request knows of its caller's connection."""

    transport: LabTransport = attrs.field(factory=LabTransport)
    writer: LabWriter = attrs.field(factory=LabWriter)


@attrs.frozen
class _Attempt:
    """One attempt of a caller at one node."""

    request_id: str
    kind: RequestClass
    reply: LabReply
    target: str
    shared_parts: tuple[str, ...]


@attrs.define(eq=False, repr=False)
class LabLoad:
    """Sends the requests of all classes; retries once after a refusal with a delay."""

    site: LabSite
    rng: random.Random
    outcomes: list[Outcome] = attrs.field(factory=list)
    follows_readiness: bool = False
    """Whether a balancer sends callers only to nodes that say that they are ready."""
    crowded: LabNode | None = None
    """The node that the balancer sends most new connections to, if any."""
    crowded_share: float = 0.0
    """Fraction of the first attempts that go there."""
    _ready: set[str] = attrs.field(factory=set)
    """Nodes whose last two answers to the balancer were not both negative."""
    _count: int = 0
    _open: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self, duration_s: float) -> None:
        """Send requests for ``duration_s``, then wait for the pending answers."""
        factor = self.site.experiment.load_factor
        classes = self.site.experiment.classes
        balancer = asyncio.ensure_future(self._balance())
        await asyncio.gather(*(self._send(c, factor, duration_s) for c in classes))
        if self._open:
            await asyncio.wait(set(self._open))
        balancer.cancel()

    async def _send(self, kind: RequestClass, factor: float, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.expovariate(kind.per_s * factor))
            task = asyncio.ensure_future(self._request(kind))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _request(self, kind: RequestClass) -> None:
        observed = Outcome(kind, asyncio.get_running_loop().time())
        self.outcomes.append(observed)
        await self._attempt(kind, observed)
        observed.is_first_served = observed.is_whole
        failure = observed.refusal
        if failure is not None and failure.retry_after_s is not None:
            await asyncio.sleep(failure.retry_after_s)
            observed.refusal = None
            await self._attempt(kind, observed)

    async def ask_once(
        self, kind: RequestClass, target: str, shared_parts: tuple[str, ...] = ()
    ) -> Outcome:
        """Send a request to a random node, without a retry.

        Args:
            kind: Class of the request.
            target: The path, which is also sent as the body.
            shared_parts: Parts of its prompt that other requests may have as well.
        """
        observed = Outcome(kind, asyncio.get_running_loop().time())
        await self._attempt(kind, observed, target, shared_parts)
        observed.is_first_served = observed.is_whole
        return observed

    async def _attempt(
        self,
        kind: RequestClass,
        observed: Outcome,
        target: str = "",
        shared_parts: tuple[str, ...] = (),
    ) -> None:
        self._count += 1
        self.site.backends.retries.requested(self.site.backends.fleet.service)
        node = self._choose_node()
        if node is None:
            return
        observed.node_name = observed.node_name or node.name
        attempt = _Attempt(
            f"r{self._count}",
            kind,
            LabReply(observed),
            target or f"/{kind.name}/{self._count}",
            shared_parts,
        )
        serving = asyncio.ensure_future(self._serve(node, attempt))
        node.serving.add(serving)
        try:
            await asyncio.wait([serving])
        finally:
            node.serving.discard(serving)
            serving.cancel()
        if not serving.cancelled():
            serving.result()

    def _choose_node(self) -> LabNode | None:
        nodes = self._nodes()
        if self.crowded is not None and self.rng.random() < self.crowded_share:
            crowded = [n for n in nodes if n.name == self.crowded.name]
            nodes = crowded or nodes
        return self.rng.choice(nodes) if nodes else None

    def _nodes(self) -> list[LabNode]:
        nodes = self.site.nodes
        if not self.follows_readiness:
            return nodes
        return [n for n in nodes if n.name in self._ready] or nodes

    async def _balance(self) -> None:
        """Ask the nodes whether they are ready; two negative answers count."""
        before: set[str] = set()
        while True:
            now = {n.name for n in self.site.nodes if n.node.state.is_ready()}
            self._ready = before | now
            before = now
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _serve(self, node: LabNode, attempt: _Attempt) -> None:
        accepted = AcceptedRequest(
            attempt.request_id,
            LabHttpRequest(),
            attempt.reply,
            node.node.timer.now_s(),
        )
        async with node.node.state.accept(accepted):
            await self._dispatch(node, attempt, accepted)

    async def _dispatch(
        self, node: LabNode, attempt: _Attempt, accepted: AcceptedRequest
    ) -> None:
        path, kind, reply = node.node.path, attempt.kind, attempt.reply
        found = path.admission.find_route("lab", attempt.target)
        if found.is_err():
            await reply.refuse(found.unwrap_err())
            return
        fields = CallFields(
            attempt.request_id,
            kind.deadline_s,
            (),
            model=kind.model,
            prompt_tokens=self._random_length(kind.prompt_tokens),
            max_output_tokens=self._random_length(kind.output_tokens),
            shared_parts=attempt.shared_parts,
        )
        headers = [*model_call_headers(fields), _prompt_parts(attempt.shared_parts)]
        admitted = path.admission.admit(
            found.unwrap(),
            fields,
            method="POST",
            target=attempt.target,
            headers=headers,
            body=attempt.target.encode(),
            arrived_s=node.node.timer.now_s(),
        )
        if admitted.is_err():
            await reply.refuse(admitted.unwrap_err())
            return
        accepted.served = admitted.unwrap()
        await path.dispatch.serve(accepted.served, reply)

    def _random_length(self, mean: int) -> int:
        return max(int(mean * self.rng.uniform(*LENGTH_RANGE)), 1)


def _prompt_parts(shared: tuple[str, ...]) -> tuple[str, str]:
    """Return the header that names a prompt's parts, of which the last is its own."""
    return "X-Prompt-Prefix", ",".join(f"{part}:100" for part in (*shared, "own"))
