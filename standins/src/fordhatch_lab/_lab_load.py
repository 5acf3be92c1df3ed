"""Callers of an experiment: requests at random moments, and what they see."""

from __future__ import annotations

import asyncio
import random

import attrs

from fordhatch.adapter import model_call_headers
from fordhatch.catalog import CallFields
from fordhatch.core import Failure

from ._experiment import RequestClass
from ._lab_site import LabNode, LabSite
from ._measures import Outcome

SPREAD = (0.4, 1.6)
"""Prompts and answers are between these factors of their mean."""


@attrs.define(eq=False, repr=False)
class LabReply:
    """Notes when the parts of an answer come."""

    seen: Outcome
    outcome: str = ""
    has_begun: bool = False

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def refuse(self, failure: Failure) -> None:
        """Take a refusal."""
        self.outcome = failure.code.name.lower()
        self.seen.refusal = failure

    async def send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Take an answer that is no stream."""
        self.outcome = f"status_{status}"

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of a stream."""
        self.has_begun = True

    async def write(self, piece: bytes) -> None:
        """Take events."""
        now_s = self._now_s()
        if self.seen.first_s is None:
            self.seen.first_s = now_s
        if self.seen.last_s is not None:
            gap_s = now_s - self.seen.last_s
            self.seen.longest_gap_s = max(self.seen.longest_gap_s, gap_s)
        self.seen.last_s = now_s

    async def end(self) -> None:
        """Take the end of a complete stream."""
        self.outcome = "complete"
        self.seen.is_whole = True

    async def abort(self) -> None:
        """Take the end of a stream that is not complete."""
        self.outcome = "aborted"


@attrs.define(eq=False, repr=False)
class LabLoad:
    """Sends the requests of every class, each once more if it was refused."""

    site: LabSite
    rng: random.Random
    outcomes: list[Outcome] = attrs.field(factory=list)
    _count: int = 0
    _open: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self, duration_s: float) -> None:
        """Send requests for a while, and wait for the last answers."""
        factor = self.site.experiment.load_factor
        classes = self.site.experiment.classes
        await asyncio.gather(*(self._send(c, factor, duration_s) for c in classes))
        if self._open:
            await asyncio.wait(set(self._open))

    async def _send(self, kind: RequestClass, factor: float, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.expovariate(kind.per_s * factor))
            task = asyncio.ensure_future(self._ask(kind))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _ask(self, kind: RequestClass) -> None:
        seen = Outcome(kind, asyncio.get_running_loop().time())
        self.outcomes.append(seen)
        await self._try(kind, seen)
        failure = seen.refusal
        if failure is not None and failure.retry_after_s is not None:
            await asyncio.sleep(failure.retry_after_s)
            seen.refusal = None
            await self._try(kind, seen)

    async def ask_once(self, kind: RequestClass, target: str) -> Outcome:
        """Send one try of a request to a node of the balancer's choice.

        Args:
            kind: What is asked for.
            target: The path; the body is the same text.
        """
        seen = Outcome(kind, asyncio.get_running_loop().time())
        await self._try(kind, seen, target)
        return seen

    async def _try(self, kind: RequestClass, seen: Outcome, target: str = "") -> None:
        node = self.rng.choice(self.site.nodes)
        reply = LabReply(seen)
        self._count += 1
        target = target or f"/{kind.name}/{self._count}"
        with node.node.state.counted(reply):
            await self._serve(node, kind, reply, target)

    async def _serve(
        self, node: LabNode, kind: RequestClass, reply: LabReply, target: str
    ) -> None:
        path = node.node.path
        found = path.admission.find_route("lab", target)
        if found.is_err():
            await reply.refuse(found.unwrap_err())
            return
        fields = CallFields(
            f"r{self._count}",
            kind.deadline_s,
            (),
            model=kind.model,
            prompt_tokens=self._spread(kind.prompt_tokens),
            max_output_tokens=self._spread(kind.output_tokens),
        )
        admitted = path.admission.admit(
            found.unwrap(),
            fields,
            method="POST",
            target=target,
            headers=model_call_headers(fields),
            body=target.encode(),
            arrived_s=node.node.timer.now_s(),
        )
        if admitted.is_err():
            await reply.refuse(admitted.unwrap_err())
            return
        await path.dispatch.serve(admitted.unwrap(), reply)

    def _spread(self, mean: int) -> int:
        return max(int(mean * self.rng.uniform(*SPREAD)), 1)
