"""Finds out which requests were at work when a backend server ended."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import attrs

from fordhatch.adapter import BackendClient
from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.registry import probe

from ._request import ServedRequest
from ._request_digest import request_digest

KEEP_S = 5.0
"""How long it is remembered that a backend server has ended: its last connections
break within a second."""

MOST_NAMED = 16
"""Requests that one log line names at the most: as many as a group runs at once."""


class RunStage(IntEnum):
    """How far a run had come when its connection broke."""

    FLOWING = 1
    """It had passed on events: it had been run for a while without harm."""
    WAITING = 2
    """No answer had begun: it may have waited in the queue, or have been read."""
    BEGUN = 3
    """The answer's head had come, and no event yet."""


@attrs.frozen
class BrokenRun:
    """A run whose connection has broken."""

    request: ServedRequest
    stage: RunStage


@attrs.define(eq=False, repr=False)
class _Check:
    """What is known of a backend server whose connections have broken."""

    backend: BackendServer
    since_s: float
    runs: list[BrokenRun] = attrs.field(factory=list)
    has_ended: bool | None = None
    """None until it is known."""


@attrs.define(eq=False, repr=False)
class CrashWatch:
    """Asks a backend server whose connection has broken whether it is still there.

    A connection also breaks where a link is cut or reset, or one answer is spoiled. A
    backend server has ended only if nothing listens at its address any more, or if a
    later start or another one answers there; if nobody answers, that is not known.
    """

    timer: Timer
    backends: BackendClient
    secret: Callable[[], bytes]
    """Returns the key that the nodes share; empty while it is not known."""
    _checks: dict[str, _Check] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def broke(
        self, request: ServedRequest, backend: BackendServer, stage: RunStage
    ) -> None:
        """Note that the connection of a run has broken."""
        run = BrokenRun(request, stage)
        check = self._checks.get(backend.backend_id)
        if check is not None:
            check.runs.append(run)
            return
        check = _Check(backend, self.timer.now_s(), [run])
        self._checks[backend.backend_id] = check
        self._tasks.spawn(self._check(check), f"ended-{backend.backend_id}")

    async def _check(self, check: _Check) -> None:
        check.has_ended = await self._has_ended(check.backend)
        if not check.has_ended:
            del self._checks[check.backend.backend_id]
            return
        metrics.BACKENDS_ENDED.inc()
        self._log(check)

    async def _has_ended(self, backend: BackendServer) -> bool:
        answer = await probe(self.backends, backend)
        if answer.is_err():
            return answer.unwrap_err().code is ResultCode.BACKEND_REFUSED
        # Plain services need not report who they are; somebody is there.
        is_engine = backend.membership is not None
        return is_engine and not answer.unwrap().is_of(backend)

    def _log(self, check: _Check) -> None:
        place = check.backend.membership
        log_event(
            "backend_ended",
            backend=check.backend.backend_id,
            group=place.group if place is not None else "",
            runs=len(check.runs),
            named=",".join(
                f"{self.digest(run.request)}:{run.stage.name.lower()}"
                for run in check.runs[:MOST_NAMED]
            ),
        )

    def digest(self, request: ServedRequest) -> str:
        """Return the name of a request's content; empty while nodes share no key."""
        secret = self.secret()
        return request_digest(request, secret) if secret else ""

    def forget(self) -> None:
        """Drop what is known of backend servers that have ended a while ago."""
        before_s = self.timer.now_s() - KEEP_S
        for backend_id, check in list(self._checks.items()):
            if check.has_ended and check.since_s < before_s:
                del self._checks[backend_id]

    async def close(self) -> None:
        """Stop asking."""
        await self._tasks.close()
