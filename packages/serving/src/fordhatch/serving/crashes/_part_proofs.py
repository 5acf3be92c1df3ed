"""Proofs that parts of prompts do not crash backend servers.

A complete answer to a request proves it for each part of its prompt: the backend
server has written an answer on them and lives on. Sound parts stand beside bad ones in
the same prompts, and only their proofs tell them apart at the first crashes.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from fordhatch.core import Timer
from fordhatch.registry import SharedRows

PROOF_HOLDS_S = 30.0
"""How long a proof excuses a part from crashes that follow it, in seconds. A part that
was sound may become bad with another version of an engine."""

RENEW_AFTER_S = 5.0
"""Age from which a proof in the store is written again if its part is suspected."""

MAX_PARTS = 8192
"""Parts whose proofs a node remembers, 2 MB; the oldest proofs are dropped first."""


@attrs.define(eq=False, repr=False)
class PartProofs:
    """Times of the newest proof of each part, of this node and in the store."""

    timer: Timer
    shared: SharedRows
    _own: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    """Monotonic seconds by part, the oldest proof first."""

    def record(self, parts: Iterable[str]) -> None:
        """Record a complete answer to a request with these parts."""
        now_s = self.timer.now_s()
        for part in parts:
            self._own[part] = now_s
            self._own.move_to_end(part)
        while len(self._own) > MAX_PARTS:
            self._own.popitem(last=False)

    def excuses(self, part: str, crash_s: float) -> bool:
        """Return whether a part can't have caused a crash, also an earlier one.

        Args:
            part: Digest of the part.
            crash_s: When this node learned of the crash, in monotonic seconds.
        """
        proven_s = max(self._own_s(part), self.shared.proven_parts.get(part, -math.inf))
        return crash_s <= proven_s + PROOF_HOLDS_S

    def unshared(self, parts: Iterable[str]) -> list[str]:
        """Return the parts that this node can prove and that the store does not."""
        now_s = self.timer.now_s()
        shared = self.shared.proven_parts
        return [
            part
            for part in parts
            if self._own_s(part) > now_s - PROOF_HOLDS_S
            and shared.get(part, -math.inf) < now_s - RENEW_AFTER_S
        ]

    def _own_s(self, part: str) -> float:
        return self._own.get(part, -math.inf)
