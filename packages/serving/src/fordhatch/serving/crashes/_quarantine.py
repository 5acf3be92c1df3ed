"""Quarantine of requests that crash the backend servers that run them.

What such requests have in common is a poison message, or query of death: a content
(path, caller and body) that is submitted again in other attempts and at other nodes, or
a part of the prompts of requests that differ otherwise. The decision uses the crashes
that all nodes have seen, as a single node sees only some of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import attrs

from fordhatch.core import Failure, ResultCode, log_event, metrics
from fordhatch.registry import CrashKey, CrashRecord, RunStage, SharedRows

from .._request import ServedRequest
from .._request_features import RequestFeatures, is_part
from ._crash_cause import CrashCause, judge
from ._part_proofs import PartProofs

MAX_OWN_CRASHES = 1000
"""Crashes that a node remembers itself while the store does not accept them."""


@attrs.define(eq=False, repr=False)
class Quarantine:
    """Known crashes by feature, and the causes that they show."""

    shared: SharedRows
    features: Callable[[ServedRequest], RequestFeatures]
    """Returns the features of a request; none while that is not possible."""
    proofs: PartProofs
    own: dict[CrashKey, CrashRecord] = attrs.field(factory=dict)
    """Crashes that this node has seen or another node has reported, and that may not be
    in the store."""
    _unpublished: set[CrashKey] = attrs.field(factory=set)
    """Keys of those that no other node knows of."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)
    _causes: frozenset[CrashCause] = frozenset()
    _causes_by_feature: dict[str, list[CrashCause]] = attrs.field(factory=dict)
    """Each cause under one of its features."""
    _suspected_parts: frozenset[str] = frozenset()
    _judged_at: tuple[int, int] = (0, 0)
    _own_changes: int = 0

    def cause(self, request: ServedRequest) -> CrashCause | None:
        """Return why a request must not be run, or None."""
        if not self.has_crashes():
            return None
        self._judge_if_changed()
        if not self._causes:
            return None
        names = self.features(request).names
        causes = (c for name in names for c in self._causes_by_feature.get(name, ()))
        return next((c for c in causes if c.features.issubset(names)), None)

    def is_quarantined(self, request: ServedRequest) -> bool:
        """Return whether a request must not be run."""
        return self.cause(request) is not None

    def refusal(self, request: ServedRequest) -> Failure | None:
        """Return the failure for a request that must not be run, or None."""
        cause = self.cause(request)
        if cause is None:
            return None
        if not request.is_quarantine_logged:
            request.is_quarantine_logged = True
            request_id = request.fields.request_id
            log_event("request_quarantined", request=request_id, cause=cause.name)
        return Failure.from_code(ResultCode.REQUEST_QUARANTINED)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for new causes."""
        self._subscribers.append(callback)

    def refresh(self) -> None:
        """Re-evaluate after a change, so that active runs can be stopped."""
        for key in [key for key in self.own if key in self.shared.crashes]:
            self._drop_if_stored(key)
        if self.has_crashes() or self._causes:
            self._judge_if_changed()

    def has_crashes(self) -> bool:
        """Return whether any crash is known; if not, no digests need to be computed."""
        return bool(self.own or self.shared.crashes)

    def crashes(self, feature: str) -> dict[str, RunStage]:
        """Return the stage that runs with a feature had reached at each crash.

        Returns:
            Stages by the id of the backend server that crashed.
        """
        return {b: r.stage for (f, b), r in self._all_crashes() if f == feature}

    def is_suspect(self, request: ServedRequest) -> bool:
        """Return whether one more crash could quarantine a request."""
        if not self.has_crashes():
            return False
        names = self.features(request).names
        return any(feature in names for feature, _ in self._unexcused())

    def suspected_parts(self) -> frozenset[str]:
        """Return the parts of prompts under which backend servers have crashed.

        Those with a proof are among them.
        """
        self._judge_if_changed()
        return self._suspected_parts

    def _all_crashes(self) -> Iterator[tuple[CrashKey, CrashRecord]]:
        yield from self.own.items()
        for key, record in self.shared.crashes.items():
            if key not in self.own:
                yield key, record

    def _unexcused(self) -> Iterator[tuple[str, CrashRecord]]:
        """Yield the crashes of contents, and of parts that may have caused them."""
        for (feature, _), record in self._all_crashes():
            if not is_part(feature) or not self.proofs.excuses(feature, record.seen_s):
                yield feature, record

    def _judge_if_changed(self) -> None:
        changes = (self.shared.crash_changes, self._own_changes)
        if changes != self._judged_at:
            self._judged_at = changes
            self._judge()

    def _judge(self) -> None:
        by_feature: dict[str, dict[str, RunStage]] = {}
        for feature, record in self._unexcused():
            by_feature.setdefault(feature, {})[record.backend_id] = record.stage
        self._suspected_parts = frozenset(
            feature for (feature, _), _ in self._all_crashes() if is_part(feature)
        )
        before, self._causes = self._causes, judge(by_feature)
        self._causes_by_feature = {}
        for cause in self._causes:
            self._causes_by_feature.setdefault(min(cause.features), []).append(cause)
        self._report(before)

    def _report(self, before: frozenset[CrashCause]) -> None:
        """Log and count what has changed, and notify the subscribers."""
        known = {cause.features for cause in before}
        now = {cause.features for cause in self._causes}
        parts = sum(cause.is_of_parts for cause in self._causes)
        metrics.QUARANTINED_CONTENTS.set(len(now) - parts)
        metrics.QUARANTINED_PARTS.set(parts)
        new = [cause for cause in self._causes if cause.features not in known]
        for cause in new:
            _log_quarantined(cause)
        for cause in before:
            if cause.features not in now:
                _log_released(cause)
        if new:
            for callback in self._subscribers:
                callback()

    def observe(self, record: CrashRecord) -> None:
        """Record a crash of a backend server under a feature, seen by this node."""
        known = self._known_stage(record.key)
        if known is None or record.stage > known:
            self._unpublished.add(record.key)
            self._add(record)

    def record_remote(self, records: Iterable[CrashRecord]) -> list[CrashRecord]:
        """Record crashes reported by another node; return those that are new here."""
        new = []
        for record in records:
            known = self._known_stage(record.key)
            if known is None or record.stage > known:
                new.append(record)
                self._add(record)
        return new

    def _known_stage(self, key: CrashKey) -> RunStage | None:
        found = self.own.get(key) or self.shared.crashes.get(key)
        return found.stage if found is not None else None

    def _add(self, record: CrashRecord) -> None:
        self.own[record.key] = record
        while len(self.own) > MAX_OWN_CRASHES:
            self._drop(next(iter(self.own)))
        self._own_changes += 1
        self.refresh()

    def _drop(self, key: CrashKey) -> None:
        del self.own[key]
        self._unpublished.discard(key)
        self._own_changes += 1

    def _drop_if_stored(self, key: CrashKey) -> None:
        """Drop a crash of which the store says the same, and will say its end."""
        if self.shared.crashes[key].stage >= self.own[key].stage:
            self._drop(key)

    def take_unpublished(self, features: Iterable[str]) -> list[CrashRecord]:
        """Return the unpublished crashes of features, and mark them as published."""
        wanted = set(features)
        keys = [key for key in self._unpublished if key[0] in wanted]
        self._unpublished.difference_update(keys)
        return [self.own[key] for key in keys]

    def clear(self, content: str) -> list[CrashKey]:
        """Drop the crashes of a content that got a complete answer.

        Returns:
            Keys of its crashes that are still in the store.
        """
        for key in [k for k in self.own if k[0] == content]:
            self._drop(key)
        return [k for k in self.shared.crashes if k[0] == content]

    def record_proof(self, parts: Iterable[str]) -> None:
        """Record a complete answer to a request with these parts of its prompt."""
        proven = list(parts)
        self.proofs.record(proven)
        if self.has_crashes() and not self.suspected_parts().isdisjoint(proven):
            self._own_changes += 1
            self.refresh()

    def prune(self, before_s: float) -> None:
        """Drop crashes that are in the store by now, and old ones.

        Args:
            before_s: Crashes seen earlier are dropped; monotonic seconds.
        """
        for key, record in list(self.own.items()):
            if key in self.shared.crashes or record.seen_s < before_s:
                self._drop(key)


def _log_quarantined(cause: CrashCause) -> None:
    backends = ",".join(sorted(cause.backends))
    if cause.is_of_parts:
        log_event("parts_quarantined", parts=cause.name, backends=backends)
    else:
        log_event("content_quarantined", digest=cause.name, backends=backends)


def _log_released(cause: CrashCause) -> None:
    if cause.is_of_parts:
        log_event("parts_released", parts=cause.name)
    else:
        log_event("content_released", digest=cause.name)
