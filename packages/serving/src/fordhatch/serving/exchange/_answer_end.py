"""Whether an answer that ended with its connection is complete.

Its body ends in the same way if its backend server crashes, and this node may read the
end long after that. What shows that the body is complete is that the process that sent
it is still running after its end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

import attrs

from fordhatch.catalog import BackendServer, Configuration
from fordhatch.core import ResultCode, Timer, log_event, metrics
from fordhatch.registry import (
    PROBE_TIMEOUT_S,
    BackendProber,
    Report,
    Responder,
    identify,
)

from ._backend_answer import BackendAnswer
from ._process_witness import ProcessWitness

UNCONFIRMED_END = (
    "the connection ended, and nothing shows that its backend server still runs"
)
"""Detail of failures for an answer whose end may be that of its connection only."""


_SENDER = frozenset((Responder.THIS_START, Responder.UNNAMED))
"""Who answers on a connection that the sender of an answer accepted."""


class EndEvidence(Enum):
    """What is known about the process after the end of its answer."""

    THIS_START = "this_start"
    """The same start of the backend server has answered."""
    SAME_CONNECTION = "same_connection"
    """The process has answered on another connection that it had accepted."""
    OTHER_PROCESS = "other_process"
    """Another process has its address: it has ended."""
    NOT_REACHED = "not_reached"
    """Nothing answers at its address."""
    UNPROVEN = "unproven"
    """Something answers that may be another process."""

    @property
    def is_whole(self) -> bool:
        """Whether it shows that the answer is complete."""
        return self in (EndEvidence.THIS_START, EndEvidence.SAME_CONNECTION)


@attrs.define(eq=False, repr=False)
class AnswerEndCheck:
    """Looks for the process that has sent an answer, after the answer's end."""

    prober: BackendProber
    timer: Timer
    configuration: Callable[[], Configuration | None] = lambda: None
    """Returns the active configuration, which names health paths."""

    def watch(self, answer: BackendAnswer) -> None:
        """Hold a connection to the sender of an answer, if the answer has no length."""
        if answer.ends_with_connection:
            answer.witness = ProcessWitness(answer, self.prober, self.timer)
            answer.witness.start()

    async def is_whole(self, answer: BackendAnswer, left_s: float) -> bool:
        """Return whether an answer that has ended without an error is complete.

        Args:
            answer: An answer with neither a length nor chunks.
            left_s: Longest time that the check may take, in seconds.
        """
        began_s = self.timer.now_s()
        try:
            async with self.timer.timeout(left_s):
                evidence = await self._find(answer, left_s)
        except TimeoutError:
            evidence = EndEvidence.UNPROVEN
        metrics.ANSWER_ENDS.labels(evidence.value).inc()
        log_event(
            "answer_end_checked",
            request=answer.fields.request_id,
            backend=answer.backend.backend_id,
            whole=evidence.is_whole,
            evidence=evidence.value,
            took_s=round(self.timer.now_s() - began_s, 3),
        )
        return evidence.is_whole

    async def _find(self, answer: BackendAnswer, left_s: float) -> EndEvidence:
        backend = answer.backend
        witness = asyncio.ensure_future(self._ask_witness(answer))
        try:
            await asyncio.wait([witness], timeout=PROBE_TIMEOUT_S)
            # A link that breaks may end one connection before the other.
            report = await self.prober.reach_patiently(backend)
            # A witness that answered before the probe failed says nothing on the link.
            is_witness_late = not witness.done()
            if _is_silent(report) and is_witness_late and await witness in _SENDER:
                # The link has lost what was sent, and has kept its connections.
                report = await self.prober.reach_patiently(backend)
            if _is_unreached(report):
                return EndEvidence.NOT_REACHED
            named = _named_evidence(_responder(backend, report))
            if named is not None:
                return named
            await asyncio.wait([witness], timeout=PROBE_TIMEOUT_S)
            if witness.done() and witness.result() in _SENDER:
                return EndEvidence.SAME_CONNECTION
            return await self._ask_name(backend, left_s)
        finally:
            witness.cancel()

    async def _ask_witness(self, answer: BackendAnswer) -> Responder:
        """Return who answers on a connection that the sender of an answer accepted."""
        query = answer.witness.query if answer.witness is not None else None
        if query is None:
            return Responder.UNKNOWN
        # A failure says nothing: servers close idle connections.
        return _responder(
            answer.backend, await self.prober.reach_on(query, answer.backend)
        )

    async def _ask_name(self, backend: BackendServer, left_s: float) -> EndEvidence:
        configuration = self.configuration()
        services = configuration.services if configuration is not None else {}
        if backend.service not in services:
            return EndEvidence.UNPROVEN
        path = services[backend.service].health_path
        found = await self.prober.check_health(backend, path, left_s)
        named = _named_evidence(_responder(backend, found))
        return named if named is not None else EndEvidence.UNPROVEN


def _is_unreached(report: Report) -> bool:
    failure = report.err()
    return failure is not None and failure.code is not ResultCode.PROBE_INCONCLUSIVE


def _is_silent(report: Report) -> bool:
    failure = report.err()
    return failure is not None and failure.code is ResultCode.BACKEND_LOST


def _responder(backend: BackendServer, report: Report) -> Responder:
    found = report.ok()
    return identify(backend, found) if found is not None else Responder.UNKNOWN


def _named_evidence(responder: Responder) -> EndEvidence | None:
    """Return the evidence of an answer that tells which process sent it, else None."""
    match responder:
        case Responder.THIS_START:
            return EndEvidence.THIS_START
        case Responder.OTHER_PROCESS:
            return EndEvidence.OTHER_PROCESS
        case Responder.UNNAMED | Responder.UNKNOWN:
            return None
