"""What is asked of each model by all nodes, as far as some of them have said.

Groups used to follow the shares that operators declare for the start. Where a declared
half was a tenth in fact, the model that had the other nine tenths lacked groups in each
burst: 0.46 to 0.61 of its requests were on time while 0.93 of the other's were.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from fordhatch.catalog import EngineProfile, ModelDemand, ModelKey, ModelProfile

WORD_S = 1.2
"""How long a node's word counts. Sixteen nodes are asked each 0.4 s, so that about
fifty words count at any time, or those of all nodes where there are fewer."""

TRUSTED_AFTER_S = 1.2
"""Words count from this time on after the first one: a planner that has just taken over
would otherwise move groups on the word of a few nodes."""

UNHEARD_S = 3.0
"""Where no node says anything for this long, what operators declare has to do."""

FAST_S = 0.5
"""Time over which words are averaged for bursts: these last some seconds, and a group
of another model takes three to give way."""

SLOW_S = 6.0
"""The same for anything else. Waves of ten seconds average out, and groups that are
left after a burst are not missed in the next one."""

FALL_S = 5.0
"""Time in which a burst that is over is believed no more."""

WAVE_FACTOR = 1.05
"""What is asked now counts less this factor, the slow average in full: waves of a fifth
hardly show, and a burst does at once in most of its height. Where waves showed in full,
two models out of step exchanged five of six groups within half a minute."""

NOISE_FACTOR = 1.1
"""Added to that factor, over the square root of the requests that are in sight: of a
model with a dozen, chance alone shows bursts of a third. Where these were believed, a
model that was asked for 1.6 full groups was taken for one of 2.6, and gave none up."""

DECLARED_REQUESTS = 25.0
"""Declared shares count for this many requests a second beside those that are seen:
what a handful of requests asks for says nothing about the next ones."""

DECLARED_BUSY = 0.3
"""How busy groups are taken to be whose work is only declared. Groups in use are about
that busy on ordinary days, so that measured and declared work can be mixed."""

FORGOTTEN_PER_S = 1e-3
"""A model of which fewer requests a second come than this is forgotten: models come and
go with the configuration."""

TOLD_SHARE = 0.25
"""A change of this share is logged: waves of a fifth come and go without a line."""


@attrs.frozen
class _Word:
    """What a node has said, and when."""

    at_s: float
    demand: Mapping[ModelKey, ModelDemand]


@attrs.define
class _Averages:
    """What is asked of one model, over a short time and over a longer one."""

    fast: ModelDemand
    slow: ModelDemand
    believed: ModelDemand
    """Follows a burst at once and falls slowly."""

    def follow(self, seen: ModelDemand, requests: float, passed_s: float) -> None:
        """Follow what is seen now.

        Args:
            seen: What all nodes together ask for, worked out from those in sight.
            requests: Requests in sight, of which that was worked out.
            passed_s: Time since it was last followed.
        """
        self.fast = self.fast.towards(seen, passed_s / FAST_S)
        self.slow = self.slow.towards(seen, passed_s / SLOW_S)
        doubt = WAVE_FACTOR + NOISE_FACTOR / math.sqrt(max(requests, 1.0))
        burst = self.fast.times(1.0 / doubt)
        aim = max(self.slow, burst, key=lambda d: d.busy_groups)
        falls = aim.busy_groups < self.believed.busy_groups
        self.believed = self.believed.towards(aim, passed_s / FALL_S) if falls else aim


@attrs.define(eq=False, repr=False)
class DemandBook:
    """The words of nodes, and what follows from them for all."""

    _words: dict[str, _Word] = attrs.field(factory=dict)
    _averages: dict[ModelKey, _Averages] = attrs.field(factory=dict)
    _told: dict[str, dict[str, float]] = attrs.field(factory=dict)
    """What was last logged, by service and model."""
    _began_s: float | None = None
    """When words were first waited for."""
    _first_s: float | None = None
    _last_s: float = -math.inf

    def heard(
        self, node_name: str, demand: Mapping[ModelKey, ModelDemand], now_s: float
    ) -> None:
        """Take a node's word."""
        self._words[node_name] = _Word(now_s, dict(demand))
        if self._first_s is None:
            self._first_s = now_s

    def is_trusted(self, now_s: float) -> bool:
        """Return whether groups may be moved by what is known.

        Either words have come for long enough, or nobody says anything.
        """
        if self._first_s is not None:
            return now_s - self._first_s >= TRUSTED_AFTER_S
        if self._began_s is None:
            self._began_s = now_s
        return now_s - self._began_s >= UNHEARD_S

    def step(self, node_count: int, now_s: float) -> None:
        """Follow what the nodes ask for now.

        Args:
            node_count: Nodes that there are; those that were not asked are taken to
                be like the others.
            now_s: Monotonic seconds.
        """
        self._words = {n: w for n, w in self._words.items() if now_s - w.at_s <= WORD_S}
        if not self._words:
            return
        factor = max(node_count, len(self._words)) / len(self._words)
        seen: dict[ModelKey, ModelDemand] = {}
        for word in self._words.values():
            for key, demand in word.demand.items():
                seen[key] = seen.get(key, ModelDemand()) + demand.times(factor)
        passed_s = min(max(now_s - self._last_s, 0.0), SLOW_S)
        self._last_s = now_s
        for key in self._averages.keys() | seen.keys():
            now = seen.get(key, ModelDemand())
            # Words count over about a second.
            requests = now.requests_per_s / factor
            known = self._averages.setdefault(key, _Averages(now, now, now))
            known.follow(now, requests, passed_s)
        self._averages = {
            key: known
            for key, known in self._averages.items()
            if known.slow.requests_per_s >= FORGOTTEN_PER_S
        }

    def measured(self, service: str, models: Sequence[ModelProfile]) -> ModelDemand:
        """Return what is asked of all models of a service together."""
        return sum((self._of(service, m) for m in models), ModelDemand())

    def _of(self, service: str, model: ModelProfile) -> ModelDemand:
        known = self._averages.get((service, model.name))
        return known.believed if known is not None else ModelDemand()

    def busy_groups(
        self, service: str, profile: EngineProfile, backends: int
    ) -> dict[str, float]:
        """Return how many full groups of each model the work of all callers fills.

        Args:
            service: The service.
            profile: Its engine, with the declared shares.
            backends: Backend servers that are in a group or could be.
        """
        declared = declared_busy_groups(profile, backends)
        requests_per_s = self.measured(service, profile.models).requests_per_s
        trust = requests_per_s / (requests_per_s + DECLARED_REQUESTS)
        return {
            model.name: declared[model.name]
            if model.wanted_groups is not None
            else trust * self._of(service, model).busy_groups
            + (1.0 - trust) * declared[model.name]
            for model in profile.models
        }

    def has_moved(self, service: str, busy_groups: Mapping[str, float]) -> bool:
        """Return whether the work of a model has changed much since that was told."""
        told = self._told.get(service)
        if told is not None and not any(
            _differ(work, told.get(model, 0.0)) for model, work in busy_groups.items()
        ):
            return False
        self._told[service] = dict(busy_groups)
        return True

    def forget(self) -> None:
        """Forget everything; another planner goes on."""
        self._words.clear()
        self._told.clear()
        self._averages.clear()
        self._began_s = self._first_s = None
        self._last_s = -math.inf


def _differ(work: float, other: float) -> bool:
    return abs(work - other) > TOLD_SHARE * max(work, other)


def declared_busy_groups(profile: EngineProfile, backends: int) -> dict[str, float]:
    """Return the work of each model as operators declare it, in full groups.

    Args:
        profile: The engine, with the shares or numbers of groups that are declared.
        backends: Backend servers that are in a group or could be.
    """
    total = sum(m.share for m in profile.models) or 1.0
    return {
        m.name: DECLARED_BUSY
        * (
            float(m.wanted_groups)
            if m.wanted_groups is not None
            else m.share / total * backends / m.size
        )
        for m in profile.models
    }
