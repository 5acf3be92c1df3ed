"""Finds out which requests were at work when a backend server ended, and tells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from fordhatch.adapter import BackendClient
from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.registry import CrashRecord, RunStage, SharedRows, probe

from ._crash_teller import CrashTeller
from ._quarantine import Quarantine
from ._request import ServedRequest
from ._request_digest import request_digest

KEEP_S = 5.0
"""How long it is remembered that a backend server has ended: its last connections
break within a second."""

OWN_KEEP_S = 3600.0
"""How long a crash counts that the store does not hold; it keeps its rows as long."""

MOST_NAMED = 16
"""Requests that one log line names at the most: as many as a group runs at once."""


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
    has_ended: bool = False
    is_known: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when it is known whether it has ended."""


@attrs.define(eq=False, repr=False)
class CrashWatch:
    """Asks a backend server whose connection has broken whether it is still there.

    A connection also breaks where a link is cut or reset, or one answer is spoiled. A
    backend server has ended only if nothing listens at its address any more, or if a
    later start or another one answers there; if nobody answers, that is not known.
    """

    node_name: str
    timer: Timer
    backends: BackendClient
    shared: SharedRows
    teller: CrashTeller
    quarantine: Quarantine = attrs.field(init=False)
    _subscribers: list[Callable[[list[CrashRecord]], None]] = attrs.field(factory=list)
    _checks: dict[str, _Check] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Build the quarantine that this part fills."""
        self.quarantine = Quarantine(self.shared, self.digest)
        self.shared.subscribe(self.quarantine.refresh)

    def broke(
        self, request: ServedRequest, backend: BackendServer, stage: RunStage
    ) -> None:
        """Note that the connection of a run has broken."""
        run = BrokenRun(request, stage)
        check = self._checks.get(backend.backend_id)
        if check is None:
            check = _Check(backend, self.timer.now_s(), [run])
            self._checks[backend.backend_id] = check
            self._tasks.spawn(self._check(check), f"ended-{backend.backend_id}")
            return
        check.runs.append(run)
        if check.has_ended:
            self._observe(check, run)

    async def until_known(self, backend: BackendServer) -> None:
        """Wait until it is known whether a backend server has ended."""
        check = self._checks.get(backend.backend_id)
        if check is not None:
            await check.is_known.wait()

    async def _check(self, check: _Check) -> None:
        try:
            check.has_ended = await self._has_ended(check.backend)
        finally:
            if not check.has_ended:
                del self._checks[check.backend.backend_id]
            else:
                self._found(check)
            check.is_known.set()

    def _found(self, check: _Check) -> None:
        metrics.BACKENDS_ENDED.inc()
        self._log(check)
        for run in check.runs:
            self._observe(check, run)

    def _observe(self, check: _Check, run: BrokenRun) -> None:
        """Count a crash against a content.

        The others need not hear of it at once: nearly always it was another content,
        and this one's second run is whole. That saves a row for each run of each server
        that ends.
        """
        digest = self.digest(run.request)
        if not digest or run.request.was_answered:
            return
        backend_id, now_s = check.backend.backend_id, self.timer.now_s()
        self.quarantine.observe(
            CrashRecord(digest, backend_id, run.stage, self.node_name, now_s)
        )
        is_second = len(self.quarantine.crashes(digest)) > 1
        if is_second or run.request.is_over:
            self._tell(digest)

    def _tell(self, digest: str) -> None:
        records = self.quarantine.take_untold(digest)
        if not records:
            return
        self.teller.tell(records)
        for call in self._subscribers:
            call(records)

    def subscribe(self, call: Callable[[list[CrashRecord]], None]) -> None:
        """Call back with what this node has seen and other nodes must know."""
        self._subscribers.append(call)

    def ended(self, request: ServedRequest) -> None:
        """Take note of how a request has ended."""
        request.is_over = True
        if not self.quarantine.is_anything_known():
            return
        digest = self.digest(request)
        if request.was_answered:
            self.teller.take_back(self.quarantine.clear(digest))
        else:
            self._tell(digest)

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
        secret = self.shared.secret
        return request_digest(request, secret) if secret else ""

    def forget(self) -> None:
        """Drop what is known of backend servers that have ended a while ago."""
        now_s = self.timer.now_s()
        for backend_id, check in list(self._checks.items()):
            if check.has_ended and check.since_s < now_s - KEEP_S:
                del self._checks[backend_id]
        self.quarantine.forget_told(now_s - OWN_KEEP_S)

    async def close(self) -> None:
        """Stop asking."""
        await self._tasks.close()
        await self.teller.close()
