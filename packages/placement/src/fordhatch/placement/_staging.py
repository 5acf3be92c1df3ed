"""Stages weights on hosts, so that later groups form without loads."""

from __future__ import annotations

from collections import Counter
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


@attrs.define(eq=False)
class Staging:
    """Loads of weights onto hosts that are under way."""

    desk: OrderDesk
    loads: LoadBudget
    timer: Timer
    _active: dict[str, _Load] = attrs.field(factory=dict)
    _sizes: Counter[str] = attrs.field(factory=Counter)
    """Backend servers by domain."""

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
        self._forget_done(layout.profile, [*free, *grouped])
        self._sizes = Counter(b.domain for b in [*free, *grouped])
        for backends in by_domain(free).values():
            self._stage_free(layout, backends, are_loads_free)
        for backend in grouped:
            self._stage_other(layout, backend, are_loads_free)

    def _useful_models(
        self, layout: Layout, backend: BackendServer
    ) -> list[ModelProfile]:
        """Return the models to load whose groups the domain is large enough for."""
        return [
            m
            for m in layout.profile.models
            if layout.must_load(backend, m) and self._sizes[backend.domain] >= m.size
        ]

    def _forget_done(
        self, profile: EngineProfile, backends: Sequence[BackendServer]
    ) -> None:
        staged = {b.backend_id: b.staged_models for b in backends}
        now_s = self.timer.now_s()
        for backend_id, load in list(self._active.items()):
            done = load.model in staged.get(backend_id, (load.model,))
            if done or load.until_s < now_s:
                del self._active[backend_id]

    def _stage_free(
        self, layout: Layout, backends: list[BackendServer], are_loads_free: bool
    ) -> None:
        """Stage what brings free backend servers of one domain closest to a group."""
        for backend in backends:
            if backend.backend_id in self._active:
                continue
            model = self._most_useful(layout, backend, backends)
            if model is not None:
                self._order(layout.profile, backend, model, are_loads_free)

    def _most_useful(
        self, layout: Layout, backend: BackendServer, others: list[BackendServer]
    ) -> ModelProfile | None:
        best: tuple[float, ModelProfile] | None = None
        for model in self._useful_models(layout, backend):
            prepared = sum(
                b is not backend
                and (not layout.must_load(b, model) or self._is_loading(b, model))
                for b in others
            )
            lacking = max(model.size - prepared, 1)
            value = layout.need(model) / lacking
            if best is None or value > best[0]:
                best = value, model
        return best[1] if best is not None else None

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
        staged_other = any(m != known for m in backend.staged_models)
        if not others or staged_other or known is None:
            return
        self._order(profile, backend, max(others, key=layout.need), are_loads_free)

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
