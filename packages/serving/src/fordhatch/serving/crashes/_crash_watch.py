"""Detects crashes of backend servers and records which requests were running there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.registry import (
    BackendProber,
    CrashRecord,
    Responder,
    RunStage,
    SharedRows,
    identify,
)

from .._request import ServedRequest
from .._request_features import RequestFeatures
from ._crash_row_writer import CrashRowWriter
from ._part_proofs import PartProofs
from ._proof_sharing import ProofSharing
from ._quarantine import Quarantine
from ._request_digest import part_digest, request_features

ENDED_RETENTION_S = 5.0
"""How long a crashed backend server is remembered, in seconds; its last connections
break within a second."""

UNSTORED_RETENTION_S = 3600.0
"""How long a crash counts that is not in the store, in seconds; rows in the store are
kept for the same time."""

MAX_NAMED_RUNS = 16
"""Maximum of requests named in one log line; as many as a group runs at once."""


MAX_NAMED_PARTS = 8
"""Maximum of parts of prompts named in one log line, the most suspicious ones first."""


SHORT_BODY_BYTES = 64 * 1024
"""Bodies up to this length are kept to the end of their requests."""


@attrs.frozen
class BrokenRun:
    """A run of a request whose connection has broken."""

    request: ServedRequest
    stage: RunStage


@attrs.define(eq=False, repr=False)
class _Check:
    """State of a check of a backend server whose connections have broken."""

    backend: BackendServer
    since_s: float
    runs: list[BrokenRun] = attrs.field(factory=list)
    has_crashed: bool = False
    is_resolved: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the check has found whether the backend server has crashed."""


@attrs.define(eq=False, repr=False)
class CrashWatch:
    """Probes backend servers whose connections have broken, to detect crashes.

    A connection also breaks when a link is cut or reset, or when one answer is
    malformed. A backend server has crashed only if nothing listens at its address any
    more, or if a later start or another backend server answers there. If the probe gets
    no answer, the backend server is not counted as crashed.
    """

    node_name: str
    timer: Timer
    prober: BackendProber
    shared: SharedRows
    row_writer: CrashRowWriter
    quarantine: Quarantine = attrs.field(init=False)
    proofs: ProofSharing = attrs.field(init=False)
    _subscribers: list[Callable[[list[CrashRecord]], None]] = attrs.field(factory=list)
    _checks: dict[str, _Check] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Create the quarantine that the observed crashes are recorded in."""
        proofs = PartProofs(self.timer, self.shared)
        self.quarantine = Quarantine(self.shared, self.features, proofs)
        self.proofs = ProofSharing(
            self.node_name, self.timer, self.shared, self.row_writer, self.quarantine
        )
        self.shared.subscribe(self._shared_changed)

    def _shared_changed(self) -> None:
        self.quarantine.refresh()
        self.proofs.share()

    def connection_broken(
        self, request: ServedRequest, backend: BackendServer, stage: RunStage
    ) -> None:
        """Record that the connection of a run has broken.

        Args:
            request: The request that was running.
            backend: The backend server that ran it.
            stage: How far the run had come.
        """
        run = BrokenRun(request, stage)
        check = self._checks.get(backend.backend_id)
        if check is None:
            check = _Check(backend, self.timer.now_s(), [run])
            self._checks[backend.backend_id] = check
            self._tasks.spawn(self._check(check), f"ended-{backend.backend_id}")
            return
        check.runs.append(run)
        if check.has_crashed:
            self._record(check, run)

    async def _check(self, check: _Check) -> None:
        try:
            check.has_crashed = await self._has_crashed(check.backend)
        finally:
            if not check.has_crashed:
                del self._checks[check.backend.backend_id]
            else:
                self._handle_crash(check)
            check.is_resolved.set()

    def _handle_crash(self, check: _Check) -> None:
        metrics.BACKENDS_ENDED.inc()
        self._log_crash(check)
        for run in check.runs:
            self._record(check, run)

    def _record(self, check: _Check, run: BrokenRun) -> None:
        """Record a crash against the features of a run's request.

        The crash is not published at once: nearly always another request caused it, and
        the retry of this one completes. This saves rows for each run of each crashed
        backend server. A run whose answer had just begun is the likely cause, and the
        next request with a part of its prompt may arrive at any node.
        """
        features = self.features(run.request)
        if not features.names:
            return
        # The route allows another attempt for it, which only the quarantine bounds.
        run.request.record_end(check.backend.backend_id)
        if run.request.was_answered:
            return
        now_s = self.timer.now_s()
        suspects = [features.content, *self._unproven(features.parts, now_s)]
        for name in suspects:
            backend_id = check.backend.backend_id
            self.quarantine.observe(
                CrashRecord(name, backend_id, run.stage, self.node_name, now_s)
            )
        is_likely = run.stage is RunStage.BEGUN and len(suspects) > 1
        is_second = len(self.quarantine.crashes(features.content)) > 1
        if is_likely or is_second or run.request.is_over:
            self._publish(suspects)

    def _unproven(self, parts: Iterable[str], now_s: float) -> list[str]:
        proofs = self.quarantine.proofs
        return [part for part in parts if not proofs.excuses(part, now_s)]

    def _publish(self, features: Iterable[str]) -> None:
        records = self.quarantine.take_unpublished(features)
        if not records:
            return
        self.row_writer.put(records)
        for callback in self._subscribers:
            callback(records)

    def subscribe(self, callback: Callable[[list[CrashRecord]], None]) -> None:
        """Register a callback for crashes that other nodes must be notified of."""
        self._subscribers.append(callback)

    def request_ended(self, request: ServedRequest) -> None:
        """Process the end of a request.

        If the request got its answer, crash records of its content are cleared;
        otherwise those that are not published yet are published.
        """
        request.is_over = True
        if request.has_output:
            self.quarantine.record_proof(self.part_digests(request))
        if not self.quarantine.has_crashes():
            return
        features = self.features(request)
        if request.was_answered:
            self.row_writer.remove(self.quarantine.clear(features.content))
            self.proofs.share()
        else:
            now_s = self.timer.now_s()
            unproven = self._unproven(features.parts, now_s)
            self._publish([features.content, *unproven])

    async def may_retry(self, request: ServedRequest, backend: BackendServer) -> bool:
        """Return whether a request whose connection broke may run elsewhere.

        If it is the likely cause of a crash, another backend server would crash. It is,
        if its answer had just begun, and a part of its prompt is not known to be sound.
        A request whose attempts are used up waits for the proof that frees one.

        Args:
            request: The request.
            backend: The backend server that it ran on last.
        """
        check = self._checks.get(backend.backend_id)
        if check is None:
            return True
        is_unproven = bool(
            self._unproven(self.part_digests(request), self.timer.now_s())
        )
        is_suspect = is_unproven or self.quarantine.is_suspect(request)
        if is_suspect or request.needs_freed_attempt:
            try:
                left_s = request.left_s(self.timer.now_s())
                async with self.timer.timeout(max(left_s, 0.0)):
                    await check.is_resolved.wait()
            except TimeoutError:
                return False
        stages = {run.stage for run in check.runs if run.request is request}
        is_likely = is_unproven and RunStage.BEGUN in stages
        return not (is_likely and check.has_crashed)

    async def _has_crashed(self, backend: BackendServer) -> bool:
        answer = await self.prober.probe(backend)
        if answer.is_err():
            return answer.unwrap_err().code is ResultCode.BACKEND_REFUSED
        return identify(backend, answer.unwrap()) is Responder.OTHER_PROCESS

    def _log_crash(self, check: _Check) -> None:
        place = check.backend.membership
        log_event(
            "backend_ended",
            backend=check.backend.backend_id,
            group=place.group if place is not None else "",
            runs=len(check.runs),
            named=",".join(
                f"{self.features(run.request).content}:{run.stage.name.lower()}"
                for run in check.runs[:MAX_NAMED_RUNS]
            ),
            parts=self._named_parts(check.runs),
        )

    def _named_parts(self, runs: list[BrokenRun]) -> str:
        """Return the shared parts of some runs, with the most suspicious stage each."""
        stages: dict[str, RunStage] = {}
        for run in runs:
            for part in self.part_digests(run.request):
                stages[part] = max(run.stage, stages.get(part, run.stage))
        ranked = sorted(stages, key=stages.__getitem__, reverse=True)
        return ",".join(
            f"{part}:{stages[part].name.lower()}" for part in ranked[:MAX_NAMED_PARTS]
        )

    def features(self, request: ServedRequest) -> RequestFeatures:
        """Return the features of a request; none until nodes share a key."""
        secret = self.shared.secret
        is_known = request.features is not None or request.is_body_released
        if secret and not is_known:
            request.features = request_features(request, secret)
        return request.features or RequestFeatures()

    def release_body(self, request: ServedRequest, *, is_answered: bool) -> None:
        """Drop the body of a request that no further attempt will be made for.

        Args:
            request: The request.
            is_answered: Whether it has its complete answer, so that it can't crash its
                backend server any more; else its features are kept.
        """
        if len(request.body) <= SHORT_BODY_BYTES:
            return
        if self.quarantine.has_crashes() or not is_answered:
            self.features(request)
        request.release_body()

    def part_digests(self, request: ServedRequest) -> tuple[str, ...]:
        """Return the digests of the shared parts of a request's prompt."""
        secret = self.shared.secret
        if not secret:
            return ()
        return tuple(part_digest(part, secret) for part in request.fields.shared_parts)

    def prune(self) -> None:
        """Drop old checks of crashed backend servers, and old crash records."""
        now_s = self.timer.now_s()
        for backend_id, check in list(self._checks.items()):
            if check.has_crashed and check.since_s < now_s - ENDED_RETENTION_S:
                del self._checks[backend_id]
        self.quarantine.prune(now_s - UNSTORED_RETENTION_S)

    async def close(self) -> None:
        """Stop checking, and stop writing rows."""
        await self._tasks.close()
        await self.proofs.close()
        await self.row_writer.close()
