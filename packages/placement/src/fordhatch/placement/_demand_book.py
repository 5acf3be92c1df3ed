"""Estimate of the demand for each model, from the reports of a sample of nodes.

Declared shares alone are not enough. Where a model with a declared half got a tenth of
the work, the model with the other nine tenths lacked groups in each burst: 0.46 to 0.61
of its requests were on time, and 0.93 of the other model's.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from fordhatch.catalog import EngineProfile, ModelDemand, ModelKey, ModelProfile

REPORT_LIFETIME_S = 1.2
"""How long a node's report counts. Sixteen nodes are polled every 0.4 s, so that about
fifty reports count at any time, or those of all nodes where there are fewer."""

MIN_OBSERVATION_S = 1.2
"""Time from the first report until the estimate is used: a planner that has just
taken over would otherwise move groups on the reports of a few nodes."""

NO_REPORTS_TIMEOUT_S = 3.0
"""Without any report for this long, the planner relies on the declared shares."""

FAST_AVERAGE_S = 0.5
"""Averaging time for bursts: these last some seconds, and converting a group of
another model takes three."""

SLOW_AVERAGE_S = 6.0
"""Averaging time for the base load. Waves of ten seconds average out, and groups kept
after a burst are there for the next one."""

BURST_DECAY_S = 5.0
"""Time constant with which the estimate falls after a burst."""

WAVE_FACTOR = 1.05
"""The fast average is divided by this factor, the slow one counts in full: waves of a
fifth hardly show, and most of a burst shows at once. With undamped waves, two models
whose waves were out of phase exchanged five of six groups within half a minute."""

NOISE_FACTOR = 1.1
"""Added to that factor, divided by the square root of the observed requests: at a
dozen requests, noise alone looks like bursts of a third. Without it, a model with work
for 1.6 full groups was estimated at 2.6 and gave up none."""

DECLARED_WEIGHT_REQUESTS_PER_S = 25.0
"""Weight of the declared shares beside the observed requests, in requests per second:
a handful of requests does not predict the following ones."""

DECLARED_UTILIZATION = 0.3
"""Utilization assumed for groups whose work is only declared. It is about that of
groups in normal operation, so that observed and declared work can be mixed."""

MIN_REQUESTS_PER_S = 1e-3
"""A model with fewer requests per second than this is dropped: the configuration adds
and removes models."""

LOGGED_CHANGE_FRACTION = 0.25
"""Relative change that is logged: waves of a fifth are not."""


@attrs.frozen
class _Report:
    """A node's report of its demand, and when it arrived."""

    at_s: float
    demand: Mapping[ModelKey, ModelDemand]


@attrs.define
class _Averages:
    """Averages of the demand for one model over a short and a longer time."""

    fast: ModelDemand
    slow: ModelDemand
    estimate: ModelDemand
    """Rises with a burst at once and falls slowly."""

    def update(self, seen: ModelDemand, requests: float, passed_s: float) -> None:
        """Update the averages and the estimate.

        Args:
            seen: Demand at all nodes, extrapolated from the reports.
            requests: Number of reported requests that this is derived from.
            passed_s: Time since the last update, in seconds.
        """
        self.fast = self.fast.towards(seen, passed_s / FAST_AVERAGE_S)
        self.slow = self.slow.towards(seen, passed_s / SLOW_AVERAGE_S)
        uncertainty = WAVE_FACTOR + NOISE_FACTOR / math.sqrt(max(requests, 1.0))
        burst = self.fast.times(1.0 / uncertainty)
        target = max(self.slow, burst, key=lambda d: d.busy_groups)
        is_falling = target.busy_groups < self.estimate.busy_groups
        self.estimate = (
            self.estimate.towards(target, passed_s / BURST_DECAY_S)
            if is_falling
            else target
        )


@attrs.define(eq=False, repr=False)
class DemandEstimator:
    """Collect the reports of nodes and estimate the demand at all nodes."""

    _reports: dict[str, _Report] = attrs.field(factory=dict)
    _averages: dict[ModelKey, _Averages] = attrs.field(factory=dict)
    _logged: dict[str, dict[str, float]] = attrs.field(factory=dict)
    """Work that was last logged, in full groups, by service and model."""
    _waiting_since_s: float | None = None
    """When waiting for reports began."""
    _first_report_s: float | None = None
    _last_step_s: float = -math.inf

    def record_report(
        self, node_name: str, demand: Mapping[ModelKey, ModelDemand], now_s: float
    ) -> None:
        """Record a node's report."""
        self._reports[node_name] = _Report(now_s, dict(demand))
        if self._first_report_s is None:
            self._first_report_s = now_s

    def is_trusted(self, now_s: float) -> bool:
        """Return whether the estimate may be used to move groups.

        Either reports have arrived for long enough, or none arrive at all.
        """
        if self._first_report_s is not None:
            return now_s - self._first_report_s >= MIN_OBSERVATION_S
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        return now_s - self._waiting_since_s >= NO_REPORTS_TIMEOUT_S

    def step(self, node_count: int, now_s: float) -> None:
        """Update the averages from the reports that still count.

        Args:
            node_count: Number of nodes; those without a report are assumed to have
                the average demand of those with one.
            now_s: Monotonic seconds.
        """
        self._reports = {
            n: r
            for n, r in self._reports.items()
            if now_s - r.at_s <= REPORT_LIFETIME_S
        }
        if not self._reports:
            return
        factor = max(node_count, len(self._reports)) / len(self._reports)
        seen: dict[ModelKey, ModelDemand] = {}
        for report in self._reports.values():
            for key, demand in report.demand.items():
                seen[key] = seen.get(key, ModelDemand()) + demand.times(factor)
        passed_s = min(max(now_s - self._last_step_s, 0.0), SLOW_AVERAGE_S)
        self._last_step_s = now_s
        for key in self._averages.keys() | seen.keys():
            current = seen.get(key, ModelDemand())
            # A report covers about one second, so the rate is the number of requests.
            requests = current.requests_per_s / factor
            averages = self._averages.setdefault(
                key, _Averages(current, current, current)
            )
            averages.update(current, requests, passed_s)
        self._averages = {
            key: averages
            for key, averages in self._averages.items()
            if averages.slow.requests_per_s >= MIN_REQUESTS_PER_S
        }

    def total_demand(self, service: str, models: Sequence[ModelProfile]) -> ModelDemand:
        """Return the total estimated demand for a service's models."""
        return sum((self._estimate_of(service, m) for m in models), ModelDemand())

    def _estimate_of(self, service: str, model: ModelProfile) -> ModelDemand:
        averages = self._averages.get((service, model.name))
        return averages.estimate if averages is not None else ModelDemand()

    def busy_groups(
        self, service: str, profile: EngineProfile, backends: int
    ) -> dict[str, float]:
        """Return the work of all callers for each model, in full groups.

        Args:
            service: The service.
            profile: Its engine, with the declared shares.
            backends: Number of backend servers that are in a group or can join one.
        """
        declared = declared_busy_groups(profile, backends)
        requests_per_s = self.total_demand(service, profile.models).requests_per_s
        weight = requests_per_s / (requests_per_s + DECLARED_WEIGHT_REQUESTS_PER_S)
        return {
            model.name: declared[model.name]
            if model.declared_groups is not None
            else weight * self._estimate_of(service, model).busy_groups
            + (1.0 - weight) * declared[model.name]
            for model in profile.models
        }

    def has_changed(self, service: str, busy_groups: Mapping[str, float]) -> bool:
        """Return whether a model's work has changed much since it was last logged."""
        logged = self._logged.get(service)
        if logged is not None and not any(
            _differ(work, logged.get(model, 0.0)) for model, work in busy_groups.items()
        ):
            return False
        self._logged[service] = dict(busy_groups)
        return True

    def forget(self) -> None:
        """Clear all state when another planner takes over."""
        self._reports.clear()
        self._logged.clear()
        self._averages.clear()
        self._waiting_since_s = self._first_report_s = None
        self._last_step_s = -math.inf


def _differ(work: float, other: float) -> bool:
    return abs(work - other) > LOGGED_CHANGE_FRACTION * max(work, other)


def declared_busy_groups(profile: EngineProfile, backends: int) -> dict[str, float]:
    """Return the declared work of each model, in full groups.

    Args:
        profile: The engine, with the declared shares or numbers of groups.
        backends: Number of backend servers that are in a group or can join one.
    """
    total = sum(m.share for m in profile.models) or 1.0
    return {
        m.name: DECLARED_UTILIZATION
        * (
            float(m.declared_groups)
            if m.declared_groups is not None
            else m.share / total * backends / m.size
        )
        for m in profile.models
    }
