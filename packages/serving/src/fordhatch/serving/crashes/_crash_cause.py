"""Which features of requests crash the backend servers that run them.

A feature is something that several requests can have in common: their whole content, or
a shared part of their prompts.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from fordhatch.registry import RunStage

from .._request_features import is_part

QUARANTINE_CRASHES = 3
"""A feature is not run again once this many backend servers have crashed under it. One
of them may have crashed for another reason, while running a dozen other requests. A
sound request is rarely present at two more crashes, and one complete answer clears
it."""

QUARANTINE_WEIGHT = 2 * RunStage.BEGUN
"""With two crashes, a feature is quarantined from this weight: both times the answer
had begun, and no event had been received. At each of 28 crashes one run was in this
state; of nine runs at crashes with an external cause, none was. Each crash that is
avoided spares the other requests of a whole group."""


@attrs.frozen
class CrashCause:
    """Features that crash backend servers if a request has all of them."""

    features: frozenset[str]
    backends: frozenset[str]
    """Backend servers that have crashed under them."""

    @classmethod
    def of(cls, features: Iterable[str], backends: Iterable[str]) -> CrashCause:
        """Return the cause with these features."""
        return cls(frozenset(features), frozenset(backends))

    @property
    def is_of_parts(self) -> bool:
        """Whether it consists of parts of prompts, not of a content."""
        return any(map(is_part, self.features))

    @property
    def name(self) -> str:
        """All its features, for logs."""
        return "+".join(sorted(self.features))


def judge(crashes: Mapping[str, Mapping[str, RunStage]]) -> frozenset[CrashCause]:
    """Return the features that must not be run again.

    A backend server that crashes takes all of its runs with it, so sound requests are
    present at crashes too. The feature with the highest weight is taken as the cause,
    and the crashes that it explains no longer count against the others.

    Args:
        crashes: By feature, the backend servers that crashed under it, and the stage
            that its run had reached there.
    """
    left = {feature: dict(seen) for feature, seen in crashes.items()}
    found: set[CrashCause] = set()
    while True:
        suspects = [f for f, seen in left.items() if _is_sufficient(seen)]
        if not suspects:
            return frozenset(found)
        max_weight = max(_weight(left[f]) for f in suspects)
        tied = {f: left.pop(f) for f in suspects if _weight(left[f]) == max_weight}
        found.update(_causes(tied))
        explained = {backend for seen in tied.values() for backend in seen}
        for seen in left.values():
            for backend in explained & seen.keys():
                del seen[backend]


def _causes(tied: Mapping[str, Mapping[str, RunStage]]) -> list[CrashCause]:
    """Return the causes among features of equal weight, which cannot be told apart.

    Contents are all causes. Parts that were present at the same crashes are one cause
    together: a request with some of them only may be sound, and tells them apart if it
    is not. Where the content was the same each time, it is the narrowest explanation.
    """
    causes, parts = [], {}
    for feature, seen in tied.items():
        if is_part(feature):
            parts.setdefault(frozenset(seen), []).append(feature)
        else:
            causes.append(CrashCause.of((feature,), seen))
    explained = {cause.backends for cause in causes}
    together = [CrashCause.of(fs, b) for b, fs in parts.items() if b not in explained]
    return causes + together


def _is_sufficient(seen: Mapping[str, RunStage]) -> bool:
    return len(seen) >= QUARANTINE_CRASHES or (
        len(seen) > 1 and _weight(seen) >= QUARANTINE_WEIGHT
    )


def _weight(seen: Mapping[str, RunStage]) -> int:
    return sum(seen.values())
