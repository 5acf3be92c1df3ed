"""Log lines and metrics about what the planner knows and waits for."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer, log_event, metrics

from ._layout import Layout, by_domain
from ._release import Release

REPORT_INTERVAL_S = 2.0
"""Time between reports of the planner's state: losses and formations take seconds."""


@attrs.frozen
class PlannerState:
    """What the planner knows of one service, apart from its layout."""

    service: str
    forming: int
    """Groups that are being formed."""
    dissolving: int
    """Groups whose members may not move yet."""
    lost: int
    """Backend servers that did not answer a probe, though they may be listed."""
    loading: int
    """Loads of weights in progress."""
    paused_models: frozenset[str]
    """Models for which forming groups is paused."""


@attrs.define(eq=False, repr=False)
class PlannerReport:
    """Reports the demand and the state of each service while this node plans."""

    timer: Timer
    _lag_s: float = 0.0
    """Longest delay of a step since the last report, in seconds."""
    _due_s: float = math.inf
    """When the next step is due."""
    _reported_s: dict[str, float] = attrs.field(factory=dict)
    """Time of the last report of each service."""
    _releases: dict[str, Release] = attrs.field(factory=dict)
    """Releases in progress that have been logged, by service."""

    def begin_step(self) -> None:
        """Record that a step begins; a late one shows that this node is overloaded."""
        self._lag_s = max(self._lag_s, self.timer.now_s() - self._due_s)

    def end_step(self, interval_s: float) -> None:
        """Record that a step has ended.

        Args:
            interval_s: Time until the next step, in seconds.
        """
        self._due_s = self.timer.now_s() + interval_s

    def forget(self) -> None:
        """Discard the times of this node's steps, as it plans no more."""
        self._lag_s, self._due_s = 0.0, math.inf
        self._reported_s.clear()
        self._releases.clear()

    def report_release(self, service: str, release: Release | None) -> None:
        """Log the beginning and the end of a rolling release.

        Args:
            service: The service.
            release: The release that is in progress, or None.
        """
        known = self._releases.get(service)
        if release == known:
            return
        if release is None:
            del self._releases[service]
            log_event("release_over", service=service, version=known.newest_version)
            return
        self._releases[service] = release
        log_event("release_seen", service=service, version=release.newest_version)

    def report_demand(self, service: str, layout: Layout, *, is_changed: bool) -> None:
        """Report the demand for each model and its groups.

        Args:
            service: The service.
            layout: Its groups.
            is_changed: Whether the demand has changed enough to be logged.
        """
        busy = layout.busy_groups or {}
        for model, work in busy.items():
            metrics.MODEL_BUSY_GROUPS.labels(service, model).set(work)
        if not is_changed:
            return
        for model in layout.profile.models:
            log_event(
                "model_demand",
                service=service,
                model=model.name,
                busy_groups=round(busy.get(model.name, 0.0), 2),
                missing=round(layout.missing[model.name], 2),
                groups=layout.counts[model.name],
                wanted=round(layout.target(model), 2),
            )

    def report_state(
        self, layout: Layout, free: Sequence[BackendServer], state: PlannerState
    ) -> None:
        """Report the state of a service if a report is due.

        Args:
            layout: The groups, including those that are being formed.
            free: Backend servers that are in no group and can join one.
            state: What else the planner knows.
        """
        now_s = self.timer.now_s()
        reported_s = self._reported_s.get(state.service, -math.inf)
        if now_s - reported_s < REPORT_INTERVAL_S:
            return
        self._reported_s[state.service] = now_s
        metrics.BACKENDS_BELIEVED_LOST.set(state.lost)
        metrics.PLANNER_LAG_SECONDS.set(self._lag_s)
        models = layout.profile.models
        log_event(
            "planner_state",
            service=state.service,
            groups=_by_model({m.name: layout.counts[m.name] for m in models}),
            forming=state.forming,
            dissolving=state.dissolving,
            usable=layout.backends,
            free=len(free),
            lost=state.lost,
            loading=state.loading,
            loads_at_once=layout.profile.loads_at_once,
            short_domains=_by_model(short_domains(layout, free)),
            paused=",".join(sorted(state.paused_models)),
            lag_s=round(self._lag_s, 3),
        )
        self._lag_s = 0.0


def _by_model(counts: Mapping[str, int]) -> str:
    """Return counts by model as text for the log."""
    return ",".join(f"{model}:{count}" for model, count in counts.items())


def short_domains(layout: Layout, free: Sequence[BackendServer]) -> dict[str, int]:
    """Return by model how many domains have free servers but too few prepared ones.

    Such a domain could form a group of the model if its free backend servers had the
    model's weights.

    Args:
        layout: The existing groups.
        free: Backend servers that are in no group and can join one.
    """
    domains = by_domain(free).values()
    return {
        model.name: sum(
            len(backends) >= model.size
            and sum(not layout.must_load(b, model) for b in backends) < model.size
            for backends in domains
        )
        for model in layout.profile.models
    }
