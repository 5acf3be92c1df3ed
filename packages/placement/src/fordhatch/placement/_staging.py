"""Preloads weights into host memory, so that later groups form without loads."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from fordhatch.adapter import GroupOrder, OrderKind
from fordhatch.catalog import BackendServer, EngineProfile, ModelProfile
from fordhatch.core import Timer, log_event

from ._layout import Layout, by_domain
from ._load_budget import LoadBudget
from ._order_sender import OrderSender

LOAD_TIMEOUT_FACTOR = 3.0
"""A load counts as lost if it is not reported as done after this multiple of its
duration. Concurrent loads slow each other down."""


@attrs.define
class _Load:
    model: str
    until_s: float


@attrs.frozen
class _LoadProposal:
    """A load that would be useful."""

    backend: BackendServer
    model: ModelProfile
    value: float


@attrs.define(eq=False, repr=False)
class Staging:
    """Orders loads of weights into host memory and tracks those in progress."""

    order_sender: OrderSender
    loads: LoadBudget
    timer: Timer
    _active: dict[str, _Load] = attrs.field(factory=dict)

    @property
    def active_count(self) -> int:
        """Number of loads in progress."""
        return len(self._active)

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
            layout: The existing groups.
            free: Backend servers that are in no group; they come first.
            grouped: Backend servers in groups. Staging another model there lets them
                change models when the need changes.
            are_loads_free: Whether no group serves yet, so that loads are quick and
                not limited.
        """
        proposals = [
            proposal
            for backends in by_domain(free).values()
            for proposal in self._proposals(layout, backends)
        ]
        # Loads beyond the supported concurrency slow down all others, and no group
        # would be complete for a long time. Start the most useful ones first.
        for proposal in sorted(proposals, key=lambda p: p.value, reverse=True):
            if are_loads_free or len(self._active) < layout.profile.loads_at_once:
                self._order(
                    layout.profile, proposal.backend, proposal.model, are_loads_free
                )
        for backend in grouped:
            self._stage_second_model(layout, backend, are_loads_free)

    def _useful_models(
        self, layout: Layout, backend: BackendServer
    ) -> list[ModelProfile]:
        """Return the models that are not loaded and whose groups fit the domain."""
        return [
            m
            for m in layout.profile.models
            if layout.must_load(backend, m)
            and layout.domain_sizes[backend.domain] >= m.size
        ]

    def discard_finished(self, backends: Iterable[BackendServer]) -> None:
        """Forget the loads that are done, or whose backend servers are lost.

        Args:
            backends: Every backend server that may be loading, including those that
                are neither in a group nor free.
        """
        staged = {b.backend_id: b.staged_models for b in backends}
        now_s = self.timer.now_s()
        for backend_id, load in list(self._active.items()):
            done = load.model in staged.get(backend_id, (load.model,))
            if done or load.until_s < now_s:
                del self._active[backend_id]

    def _proposals(
        self, layout: Layout, backends: list[BackendServer]
    ) -> list[_LoadProposal]:
        """Return the loads that help free backend servers of a domain form a group."""
        prepared = {
            model.name: sum(self._is_prepared(layout, b, model) for b in backends)
            for model in layout.profile.models
        }
        found = []
        for backend in backends:
            if backend.backend_id not in self._active:
                found.extend(self._best_proposal(layout, backend, prepared))
        return found

    def _is_prepared(
        self, layout: Layout, backend: BackendServer, model: ModelProfile
    ) -> bool:
        return not layout.must_load(backend, model) or self._is_loading(backend, model)

    def _best_proposal(
        self, layout: Layout, backend: BackendServer, prepared: dict[str, int]
    ) -> list[_LoadProposal]:
        """Return the most useful load for a backend server as a list of at most one."""
        proposals = []
        for model in self._useful_models(layout, backend):
            lacking = max(model.size - prepared[model.name], 1)
            proposals.append(
                _LoadProposal(backend, model, layout.need(model) / lacking)
            )
        return sorted(proposals, key=lambda p: p.value)[-1:]

    def _is_loading(self, backend: BackendServer, model: ModelProfile) -> bool:
        load = self._active.get(backend.backend_id)
        return load is not None and load.model == model.name

    def _stage_second_model(
        self, layout: Layout, backend: BackendServer, are_loads_free: bool
    ) -> None:
        profile = layout.profile
        if profile.staged_models_kept < 1 or backend.backend_id in self._active:
            return
        if not are_loads_free and len(self._active) >= profile.loads_at_once:
            return
        candidates = self._useful_models(layout, backend)
        known = layout.last_model.get(backend.backend_id)
        if not candidates or known is None:
            return
        wanted = max(candidates, key=layout.need)
        has_other = any(m != known for m in backend.staged_models)
        # If the host's current model is no longer declared, load a model that lacks
        # groups even if another one is already staged.
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
        if not self.order_sender.has_room():
            return
        if not are_loads_free and not self.loads.try_reserve(profile.loads_per_s, 1):
            return
        until_s = self.timer.now_s() + LOAD_TIMEOUT_FACTOR * model.load_s
        self._active[backend.backend_id] = _Load(model.name, until_s)
        log_event("staging", backend=backend.backend_id, model=model.name)
        order = GroupOrder(OrderKind.STAGE, model=model.name)
        self.order_sender.send(
            backend, order, resend_interval_s=LOAD_TIMEOUT_FACTOR * model.load_s
        )

    def forget(self) -> None:
        """Forget the loads in progress, because another planner takes over."""
        self._active.clear()
