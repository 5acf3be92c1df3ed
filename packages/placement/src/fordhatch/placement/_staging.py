"""Stages weights on hosts, so that later groups form without loads."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from fordhatch.adapter import GroupOrder, OrderKind
from fordhatch.catalog import BackendServer, EngineProfile, ModelProfile
from fordhatch.core import Timer, log_event

from ._layout import Layout, by_domain
from ._load_budget import LoadBudget
from ._order_desk import OrderDesk

LATE_FACTOR = 3.0
"""A load that is not seen to be done after this many times its duration is taken for
lost; loads slow each other down."""


@attrs.define
class _Load:
    model: str
    until_s: float


@attrs.frozen
class _Wish:
    """A load that would be useful."""

    backend: BackendServer
    model: ModelProfile
    value: float


@attrs.define(eq=False, repr=False)
class Staging:
    """Loads of weights onto hosts that are under way."""

    desk: OrderDesk
    loads: LoadBudget
    timer: Timer
    _active: dict[str, _Load] = attrs.field(factory=dict)

    def step(
        self,
        layout: Layout,
        free: Sequence[BackendServer],
        grouped: Iterable[BackendServer],
        *,
        are_loads_free: bool,
    ) -> None:
        """Order the loads that are useful and allowed now.

        Args:
            layout: The groups that there are.
            free: Backend servers that are in no group; they come first.
            grouped: Backend servers in groups; staging another model there lets
                them change over when the need changes.
            are_loads_free: Nothing serves yet, and loads are quick and not counted.
        """
        wishes = [
            wish
            for backends in by_domain(free).values()
            for wish in self._wishes(layout, backends)
        ]
        # Loads beyond those that fit at once slow all others down, so that no group
        # would be complete for long: the most useful go first, one after the other.
        for wish in sorted(wishes, key=lambda w: w.value, reverse=True):
            if are_loads_free or len(self._active) < layout.profile.loads_at_once:
                self._order(layout.profile, wish.backend, wish.model, are_loads_free)
        for backend in grouped:
            self._stage_other(layout, backend, are_loads_free)

    def _useful_models(
        self, layout: Layout, backend: BackendServer
    ) -> list[ModelProfile]:
        """Return the models to load whose groups the domain is large enough for."""
        return [
            m
            for m in layout.profile.models
            if layout.must_load(backend, m)
            and layout.domain_sizes[backend.domain] >= m.size
        ]

    def forget_done(self, backends: Iterable[BackendServer]) -> None:
        """Forget the loads that are done, or whose backend servers are gone.

        Args:
            backends: Every backend server that may be loading, also those that
                belong to no group and are not free either.
        """
        staged = {b.backend_id: b.staged_models for b in backends}
        now_s = self.timer.now_s()
        for backend_id, load in list(self._active.items()):
            done = load.model in staged.get(backend_id, (load.model,))
            if done or load.until_s < now_s:
                del self._active[backend_id]

    def _wishes(self, layout: Layout, backends: list[BackendServer]) -> list[_Wish]:
        """Return the loads that bring free backend servers of a domain to a group."""
        prepared = {
            model.name: sum(self._is_prepared(layout, b, model) for b in backends)
            for model in layout.profile.models
        }
        found = []
        for backend in backends:
            if backend.backend_id not in self._active:
                found.extend(self._best_wish(layout, backend, prepared))
        return found

    def _is_prepared(
        self, layout: Layout, backend: BackendServer, model: ModelProfile
    ) -> bool:
        return not layout.must_load(backend, model) or self._is_loading(backend, model)

    def _best_wish(
        self, layout: Layout, backend: BackendServer, prepared: dict[str, int]
    ) -> list[_Wish]:
        """Return the most useful load for one that does not load and lacks models."""
        wishes = []
        for model in self._useful_models(layout, backend):
            lacking = max(model.size - prepared[model.name], 1)
            wishes.append(_Wish(backend, model, layout.need(model) / lacking))
        return sorted(wishes, key=lambda w: w.value)[-1:]

    def _is_loading(self, backend: BackendServer, model: ModelProfile) -> bool:
        load = self._active.get(backend.backend_id)
        return load is not None and load.model == model.name

    def _stage_other(
        self, layout: Layout, backend: BackendServer, are_loads_free: bool
    ) -> None:
        profile = layout.profile
        if profile.staged_models_kept < 1 or backend.backend_id in self._active:
            return
        if not are_loads_free and len(self._active) >= profile.loads_at_once:
            return
        others = self._useful_models(layout, backend)
        known = layout.last_model.get(backend.backend_id)
        if not others or known is None:
            return
        wanted = max(others, key=layout.need)
        has_other = any(m != known for m in backend.staged_models)
        # A host whose own model is no longer declared takes what is lacking instead.
        is_retired = profile.model(known) is None
        if has_other and not (is_retired and layout.lacks(wanted)):
            return
        self._order(profile, backend, wanted, are_loads_free)

    def _order(
        self,
        profile: EngineProfile,
        backend: BackendServer,
        model: ModelProfile,
        are_loads_free: bool,
    ) -> None:
        if not are_loads_free and not self.loads.take(profile.loads_per_s, 1):
            return
        until_s = self.timer.now_s() + LATE_FACTOR * model.load_s
        self._active[backend.backend_id] = _Load(model.name, until_s)
        log_event("staging", backend=backend.backend_id, model=model.name)
        order = GroupOrder(OrderKind.STAGE, model=model.name)
        self.desk.send(backend, order, again_s=LATE_FACTOR * model.load_s)

    def forget(self) -> None:
        """Forget what is under way; another planner goes on."""
        self._active.clear()
