"""Detects rolling releases of backend servers from their listed software versions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from statistics import median

import attrs

from fordhatch.catalog import BackendServer, BackendState

RELEASE_PAUSE_S = 4.0
"""Longest time between steps of a release: servers drain for about two seconds, and the
next ones follow about a second later. One that drains for good is not a release."""


@attrs.frozen
class Release:
    """A rolling release in progress."""

    newest_version: str

    def will_replace(self, backend: BackendServer) -> bool:
        """Return whether a backend server is about to be replaced.

        One of unknown version counts as one that stays.
        """
        return bool(backend.version) and backend.version != self.newest_version


@attrs.define(eq=False, repr=False)
class ReleaseDetector:
    """Detect a rolling release among the backend servers of one service.

    The state can be lost: the next planner detects the release from the servers that
    drain then.
    """

    _initial_counts: Counter[str] = attrs.field(factory=Counter)
    """Servers of each version when this planner first saw several versions, or last
    saw a single one."""
    _leaving: set[str] = attrs.field(factory=set)
    """Draining servers of older versions."""
    _last_drain_s: float | None = None
    """When the latest one began to drain."""

    def step(self, backends: Iterable[BackendServer], now_s: float) -> Release | None:
        """Return the release that is in progress, or None.

        Args:
            backends: The listed backend servers of a service, draining ones included.
            now_s: Monotonic time in seconds.
        """
        known = [b for b in backends if b.version]
        counts = Counter(b.version for b in known)
        if len(counts) <= 1:
            self._initial_counts = counts
            self._leaving = set()
            self._last_drain_s = None
            return None
        if not self._initial_counts:
            self._initial_counts = counts
        newest = self._newest_version(known, counts)
        if newest is None:
            return None
        leaving = {
            b.backend_id
            for b in known
            if b.state is BackendState.DRAINING and b.version != newest
        }
        if leaving - self._leaving:
            self._last_drain_s = now_s
        self._leaving = leaving
        if self._last_drain_s is None or now_s - self._last_drain_s > RELEASE_PAUSE_S:
            return None
        return Release(newest)

    def _newest_version(
        self, known: list[BackendServer], counts: Counter[str]
    ) -> str | None:
        """Return the version whose servers started last, or else the one that gains.

        The median start decides, since a server of the older version that crashes
        also starts again during a release.
        """
        starts_ms: dict[str, list[int]] = {version: [] for version in counts}
        for backend in known:
            if backend.born_ms:
                starts_ms[backend.version].append(backend.born_ms)
        if all(starts_ms.values()):
            return max(starts_ms, key=lambda v: (median(starts_ms[v]), v))
        gains = {v: counts[v] - self._initial_counts[v] for v in counts}
        newest = max(gains, key=lambda v: (gains[v], v))
        return newest if gains[newest] > 0 else None
