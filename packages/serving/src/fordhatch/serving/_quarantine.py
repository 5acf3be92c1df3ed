"""Requests that end the backend servers that run them, and are run no more.

Such a content (a poison message, a query of death) comes again in other tries, at other
nodes. It is judged by what all nodes have seen, as one node sees only some of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from fordhatch.core import Failure, ResultCode, log_event, metrics
from fordhatch.registry import CrashKey, CrashRecord, RunStage, SharedRows

from ._request import ServedRequest

QUARANTINE_CRASHES = 3
"""A content under which this many backend servers have ended is not run again. One may
end for a reason of its own, with a dozen others at work; that a sound request is there
twice more is rare, and one whole answer of it clears it."""

QUARANTINE_WEIGHT = 2 * RunStage.BEGUN
"""With two ends it is held back if this much speaks against it: both times the answer
had begun and nothing had come of it. That was so of one run at each of 28 ends, and of
none of nine runs at ends from outside. Each server that is spared is a group's worth of
others' requests."""

MOST_OWN = 500
"""Crashes that a node remembers by itself while the store does not take them."""


def judge(crashes: Mapping[str, Mapping[str, RunStage]]) -> frozenset[str]:
    """Return the contents that must not be run again.

    A backend server that ends takes all of its runs with it, so that sound requests are
    seen at crashes, too. The one against which most speaks is taken for their cause,
    and those crashes no longer speak against the others that were there.

    Args:
        crashes: By content, the backend servers that have ended under it, and how far
            it had come there.
    """
    left = {digest: dict(seen) for digest, seen in crashes.items()}
    found: set[str] = set()
    while True:
        suspects = [d for d, seen in left.items() if _is_enough(seen)]
        if not suspects:
            return frozenset(found)
        most = max(_weight(left[d]) for d in suspects)
        # What nothing tells apart is all held back.
        causes = [d for d in suspects if _weight(left[d]) == most]
        explained = {backend for d in causes for backend in left.pop(d)}
        found.update(causes)
        for seen in left.values():
            for backend in explained & seen.keys():
                del seen[backend]


def _is_enough(seen: Mapping[str, RunStage]) -> bool:
    return len(seen) >= QUARANTINE_CRASHES or (
        len(seen) > 1 and _weight(seen) >= QUARANTINE_WEIGHT
    )


def _weight(seen: Mapping[str, RunStage]) -> int:
    return sum(seen.values())


@attrs.define(eq=False, repr=False)
class Quarantine:
    """What is known of contents under which backend servers have ended."""

    shared: SharedRows
    digest: Callable[[ServedRequest], str]
    """Names a request's content; empty while that is not possible."""
    own: dict[CrashKey, CrashRecord] = attrs.field(factory=dict)
    """Crashes that this node has seen, or heard of from another node, and that may not
    be in the store."""
    _untold: set[CrashKey] = attrs.field(factory=set)
    """Those of them that no other node knows."""
    _subscribers: list[Callable[[frozenset[str]], None]] = attrs.field(factory=list)
    _held: frozenset[str] = frozenset()
    _judged_at: tuple[int, int] = (0, 0)
    _own_changes: int = 0

    def holds(self, request: ServedRequest) -> bool:
        """Return whether a request must not be run."""
        if not self.is_anything_known():
            return False
        return self.digest(request) in self._judged()

    def why_not(self, request: ServedRequest) -> Failure | None:
        """Return why a request must not be run, or None."""
        if not self.holds(request):
            return None
        return Failure.from_code(ResultCode.REQUEST_QUARANTINED)

    def subscribe(self, call: Callable[[frozenset[str]], None]) -> None:
        """Call back with contents that are held back from now on."""
        self._subscribers.append(call)

    def refresh(self) -> None:
        """Judge anew if anything has changed, so that runs under way can be stopped."""
        if self.is_anything_known():
            self._judged()

    def is_anything_known(self) -> bool:
        """Return whether any crash is known; without one nothing need be named."""
        return bool(self.own or self.shared.crashes)

    def crashes(self, digest: str) -> dict[str, RunStage]:
        """Return the backend servers that have ended under a content."""
        return {b: stage for (d, b), stage in self._all() if d == digest}

    def is_suspect(self, request: ServedRequest) -> bool:
        """Return whether one more crash may hold a request back."""
        if not self.is_anything_known():
            return False
        return bool(self.crashes(self.digest(request)))

    def _all(self) -> Iterator[tuple[CrashKey, RunStage]]:
        for key, record in self.own.items():
            yield key, record.stage
        for key, record in self.shared.crashes.items():
            if key not in self.own:
                yield key, record.stage

    def _judged(self) -> frozenset[str]:
        """Return the contents that are held back, judged anew after a change."""
        changes = (self.shared.crash_changes, self._own_changes)
        if changes != self._judged_at:
            self._judged_at = changes
            self._judge()
        return self._held

    def _judge(self) -> None:
        by_digest: dict[str, dict[str, RunStage]] = {}
        for (digest, backend_id), stage in self._all():
            by_digest.setdefault(digest, {})[backend_id] = stage
        before, self._held = self._held, judge(by_digest)
        metrics.QUARANTINED_CONTENTS.set(len(self._held))
        for digest in self._held - before:
            backends = ",".join(by_digest[digest])
            log_event("content_quarantined", digest=digest, backends=backends)
        for digest in before - self._held:
            log_event("content_released", digest=digest)
        if self._held - before:
            for call in self._subscribers:
                call(self._held - before)

    def observe(self, record: CrashRecord) -> None:
        """Note that this node has seen a backend server end under a content."""
        self._untold.add(record.key)
        self._add(record)

    def hear(self, records: Iterable[CrashRecord]) -> list[CrashRecord]:
        """Note what another node has seen; return what is new here."""
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
        while len(self.own) > MOST_OWN:
            self._drop(next(iter(self.own)))
        self._own_changes += 1
        self.refresh()

    def _drop(self, key: CrashKey) -> None:
        del self.own[key]
        self._untold.discard(key)
        self._own_changes += 1

    def take_untold(self, digest: str) -> list[CrashRecord]:
        """Return what only this node knows of a content, which counts as told then."""
        keys = [key for key in self._untold if key[0] == digest]
        self._untold.difference_update(keys)
        return [self.own[key] for key in keys]

    def clear(self, digest: str) -> list[CrashKey]:
        """Forget what speaks against a content that was answered whole.

        Returns:
            What the store still holds against it.
        """
        for key in [k for k in self.own if k[0] == digest]:
            self._drop(key)
        return [k for k in self.shared.crashes if k[0] == digest]

    def forget_told(self, before_s: float) -> None:
        """Leave to the store what it holds, and forget what is old.

        Args:
            before_s: What was seen earlier is forgotten; monotonic seconds.
        """
        for key, record in list(self.own.items()):
            if key in self.shared.crashes or record.seen_s < before_s:
                self._drop(key)
