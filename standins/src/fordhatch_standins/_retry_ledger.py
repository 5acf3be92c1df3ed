"""Counts arrivals beyond the first of each request, as the retry budget does."""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Iterable, Iterator

import attrs

REQUEST_WINDOWS = (0.0, 0.5, 1.0)
"""How long before the window of the arrivals a window may lie in which the requests are
counted, as a fraction of its length; the one with the most requests counts."""


@attrs.frozen
class RetryWindow:
    """Arrivals beyond the first of their request within one window."""

    service: str
    began_s: float
    repeats: int
    requests: int
    allowed: float

    @property
    def is_within(self) -> bool:
        """Whether the budget was kept."""
        return self.repeats <= self.allowed

    @property
    def share(self) -> float:
        """Share of what is allowed that was used."""
        return self.repeats / self.allowed if self.allowed else 0.0

    def __str__(self) -> str:
        return (
            f"retries: {self.service} got {self.repeats} arrivals beyond the first of "
            f"their request in the window from {self.began_s:.3f} s, for "
            f"{self.requests} requests; allowed {self.allowed:.1f}"
        )


@attrs.frozen
class RetryRule:
    """What all nodes together may send again within any window of a service."""

    ratio: float
    slack: float
    window_s: float

    def allowed(self, requests: int) -> float:
        """Return the allowed arrivals beyond the first for a number of requests."""
        return self.ratio * requests + self.slack


@attrs.define(eq=False, repr=False)
class RetryLedger:
    """Times of callers' requests and of arrivals beyond the first, by service."""

    requests_s: dict[str, list[float]] = attrs.field(factory=dict)
    repeats_s: dict[str, list[float]] = attrs.field(factory=dict)
    _arrived: set[tuple[str, str]] = attrs.field(factory=set)
    """Services and the requests that have reached them."""

    def requested(self, service: str) -> None:
        """Record that a caller sends a request for a service now."""
        now_s = asyncio.get_running_loop().time()
        self.requests_s.setdefault(service, []).append(now_s)

    def arrived(self, service: str, request_id: str) -> None:
        """Record that a request reaches a backend server of a service now."""
        if (service, request_id) in self._arrived:
            now_s = asyncio.get_running_loop().time()
            self.repeats_s.setdefault(service, []).append(now_s)
        self._arrived.add((service, request_id))

    def windows(self, rule: RetryRule) -> Iterator[RetryWindow]:
        """Yield each window that ends with an arrival beyond the first."""
        for service, repeats_s in self.repeats_s.items():
            requests_s = self.requests_s.get(service, [])
            for end_s in repeats_s:
                began_s = end_s - rule.window_s
                requests = max(
                    _count(requests_s, began_s - x * rule.window_s, rule.window_s)
                    for x in REQUEST_WINDOWS
                )
                yield RetryWindow(
                    service,
                    began_s,
                    _count(repeats_s, began_s, rule.window_s),
                    requests,
                    rule.allowed(requests),
                )

    def worst(self, rule: RetryRule) -> RetryWindow:
        """Return the window in which the largest share of the budget was used."""
        nothing = RetryWindow("", 0.0, 0, 0, rule.slack)
        return max(self.windows(rule), key=lambda w: w.share, default=nothing)

    def breaches(self, rule: RetryRule) -> list[str]:
        """Return the worst window of each service whose budget was not kept."""
        broken = (w for w in self.windows(rule) if not w.is_within)
        return [str(w) for w in _worst_by_service(broken)]


def _count(times_s: list[float], began_s: float, window_s: float) -> int:
    """Return how many times lie in a window, its beginning left out."""
    end = bisect.bisect_right(times_s, began_s + window_s)
    return end - bisect.bisect_right(times_s, began_s)


def _worst_by_service(windows: Iterable[RetryWindow]) -> list[RetryWindow]:
    worst: dict[str, RetryWindow] = {}
    for one in windows:
        known = worst.get(one.service)
        if known is None or one.share > known.share:
            worst[one.service] = one
    return list(worst.values())
