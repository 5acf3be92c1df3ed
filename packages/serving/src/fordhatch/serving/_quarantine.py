"""Quarantine of requests that crash the backend servers that run them.

The content of such a request (its path, caller and body) is a poison message, or query
of death. It is submitted again in other attempts and at other nodes. The decision uses
the crashes that all nodes have seen, as a single node sees only some of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from fordhatch.core import Failure, ResultCode, log_event, metrics
from fordhatch.registry import CrashKey, CrashRecord, RunStage, SharedRows

from ._request import ServedRequest

QUARANTINE_CRASHES = 3
"""A content is not run again once this many backend servers have crashed under it. One
of them may have crashed for another reason, while running a dozen other requests. A
sound request is rarely present at two more crashes, and one complete answer clears
it."""

QUARANTINE_WEIGHT = 2 * RunStage.BEGUN
"""With two crashes, a content is quarantined from this weight: both times the answer
had begun, and no event had been received. At each of 28 crashes one run was in this
state; of nine runs at crashes with an external cause, none was. Each crash that is
avoided spares the other requests of a whole group."""

MAX_OWN_CRASHES = 500
"""Crashes that a node remembers itself while the store does not accept them."""


def judge(crashes: Mapping[str, Mapping[str, RunStage]]) -> frozenset[str]:
    """Return the contents that must not be run again.

    A backend server that crashes takes all of its runs with it, so sound requests are
    present at crashes too. The content with the highest weight is taken as the cause,
    and the crashes that it explains no longer count against the other contents.

    Args:
        crashes: By content, the backend servers that crashed under it, and the stage
            that its run had reached there.
    """
    left = {digest: dict(seen) for digest, seen in crashes.items()}
    found: set[str] = set()
    while True:
        suspects = [d for d, seen in left.items() if _is_sufficient(seen)]
        if not suspects:
            return frozenset(found)
        max_weight = max(_weight(left[d]) for d in suspects)
        # Contents of equal weight cannot be told apart: quarantine all of them.
        causes = [d for d in suspects if _weight(left[d]) == max_weight]
        explained = {backend for d in causes for backend in left.pop(d)}
        found.update(causes)
        for seen in left.values():
            for backend in explained & seen.keys():
                del seen[backend]


def _is_sufficient(seen: Mapping[str, RunStage]) -> bool:
    return len(seen) >= QUARANTINE_CRASHES or (
        len(seen) > 1 and _weight(seen) >= QUARANTINE_WEIGHT
    )


def _weight(seen: Mapping[str, RunStage]) -> int:
    return sum(seen.values())


@attrs.define(eq=False, repr=False)
class Quarantine:
    """Known crashes by content, and the contents that they quarantine."""

    shared: SharedRows
    digest: Callable[[ServedRequest], str]
    """Returns the digest of a request's content; empty while that is not possible."""
    own: dict[CrashKey, CrashRecord] = attrs.field(factory=dict)
    """Crashes that this node has seen or another node has reported, and that may not be
    in the store."""
    _unpublished: set[CrashKey] = attrs.field(factory=set)
    """Keys of those that no other node knows of."""
    _subscribers: list[Callable[[frozenset[str]], None]] = attrs.field(factory=list)
    _quarantined: frozenset[str] = frozenset()
    _judged_at: tuple[int, int] = (0, 0)
    _own_changes: int = 0

    def is_quarantined(self, request: ServedRequest) -> bool:
        """Return whether a request must not be run."""
        if not self.has_crashes():
            return False
        return self.digest(request) in self._judged()

    def refusal(self, request: ServedRequest) -> Failure | None:
        """Return the failure for a request that must not be run, or None."""
        if not self.is_quarantined(request):
            return None
        return Failure.from_code(ResultCode.REQUEST_QUARANTINED)

    def subscribe(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Register a callback for contents that are newly quarantined."""
        self._subscribers.append(callback)

    def refresh(self) -> None:
        """Re-evaluate after a change, so that active runs can be stopped."""
        if self.has_crashes():
            self._judged()

    def has_crashes(self) -> bool:
        """Return whether any crash is known; if not, no digests need to be computed."""
        return bool(self.own or self.shared.crashes)

    def crashes(self, digest: str) -> dict[str, RunStage]:
        """Return the stage that a content had reached at each of its crashes.

        Returns:
            Stages by the id of the backend server that crashed.
        """
        return {b: stage for (d, b), stage in self._all_crashes() if d == digest}

    def is_suspect(self, request: ServedRequest) -> bool:
        """Return whether one more crash could quarantine a request."""
        if not self.has_crashes():
            return False
        return bool(self.crashes(self.digest(request)))

    def _all_crashes(self) -> Iterator[tuple[CrashKey, RunStage]]:
        for key, record in self.own.items():
            yield key, record.stage
        for key, record in self.shared.crashes.items():
            if key not in self.own:
                yield key, record.stage

    def _judged(self) -> frozenset[str]:
        """Return the quarantined contents, re-evaluated after a change."""
        changes = (self.shared.crash_changes, self._own_changes)
        if changes != self._judged_at:
            self._judged_at = changes
            self._judge()
        return self._quarantined

    def _judge(self) -> None:
        by_digest: dict[str, dict[str, RunStage]] = {}
        for (digest, backend_id), stage in self._all_crashes():
            by_digest.setdefault(digest, {})[backend_id] = stage
        before, self._quarantined = self._quarantined, judge(by_digest)
        metrics.QUARANTINED_CONTENTS.set(len(self._quarantined))
        for digest in self._quarantined - before:
            backends = ",".join(by_digest[digest])
            log_event("content_quarantined", digest=digest, backends=backends)
        for digest in before - self._quarantined:
            log_event("content_released", digest=digest)
        if self._quarantined - before:
            for callback in self._subscribers:
                callback(self._quarantined - before)

    def observe(self, record: CrashRecord) -> None:
        """Record a crash of a backend server under a content, seen by this node."""
        self._unpublished.add(record.key)
        self._add(record)

    def record_remote(self, records: Iterable[CrashRecord]) -> list[CrashRecord]:
        """Record crashes reported by another node; return those that are new here."""
        new = [
            record
            for record in records
            if record.key not in self.own and record.key not in self.shared.crashes
        ]
        for record in new:
            self._add(record)
        return new

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

    def take_unpublished(self, digest: str) -> list[CrashRecord]:
        """Return the unpublished crashes of a content, and mark them as published."""
        keys = [key for key in self._unpublished if key[0] == digest]
        self._unpublished.difference_update(keys)
        return [self.own[key] for key in keys]

    def clear(self, digest: str) -> list[CrashKey]:
        """Drop the crashes of a content that got a complete answer.

        Returns:
            Keys of its crashes that are still in the store.
        """
        for key in [k for k in self.own if k[0] == digest]:
            self._drop(key)
        return [k for k in self.shared.crashes if k[0] == digest]

    def prune(self, before_s: float) -> None:
        """Drop crashes that are in the store by now, and old ones.

        Args:
            before_s: Crashes seen earlier are dropped; monotonic seconds.
        """
        for key, record in list(self.own.items()):
            if key in self.shared.crashes or record.seen_s < before_s:
                self._drop(key)
