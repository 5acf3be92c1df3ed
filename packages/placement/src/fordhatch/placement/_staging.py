"""Preloads weights into host memory, so that later groups form without loads."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from fordhatch.adapter import GroupOrder, OrderKind
from fordhatch.catalog import BackendServer, EngineProfile, ModelProfile
from fordhatch.core import Timer, log_event

from ._domain_spares import DomainSpares
from ._layout import Layout, by_domain
from ._load_budget import LoadBudget
from ._order_sender import OrderSender

LOAD_TIMEOUT_FACTOR = 3.0
"""A load counts as lost if it is not reported as done after this multiple of its
duration. Concurrent loads slow each other down."""


GROUPED_FRACTION = 0.5
"""Fraction of the supported concurrency of loads that members of groups may use. They
need their second model only when the demand shifts."""


@attrs.define
class _Load:
    model: str
    until_s: float


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
        if self._may_order(layout.profile, are_loads_free=are_loads_free):
            self._prepare_spares(layout, free, are_loads_free)
        for backend in grouped:
            # Loads in groups leave room for those of spares, which would have to wait
            # for them.
            if not self._may_order(
                layout.profile, GROUPED_FRACTION, are_loads_free=are_loads_free
            ):
                return
            self._stage_second_model(layout, backend, are_loads_free)

    def _may_order(
        self,
        profile: EngineProfile,
        fraction: float = 1.0,
        *,
        are_loads_free: bool,
    ) -> bool:
        """Return whether another load may begin now.

        Loads beyond the supported concurrency slow down all others, and no group would
        be complete for a long time.

        Args:
            profile: The engine.
            fraction: Fraction of the supported concurrency that may be used.
            are_loads_free: Whether loads are quick and not limited.
        """
        if not self.order_sender.has_room():
            return False
        return are_loads_free or len(self._active) < fraction * profile.loads_at_once

    def _prepare_spares(
        self, layout: Layout, free: Sequence[BackendServer], are_loads_free: bool
    ) -> None:
        """Order the loads of free backend servers, the most useful ones first."""
        loading = {b: load.model for b, load in self._active.items()}
        domains = {
            domain: DomainSpares(layout, domain, backends, loading)
            for domain, backends in by_domain(free).items()
        }
        best = {domain: spares.best_load() for domain, spares in domains.items()}
        while self._may_order(layout.profile, are_loads_free=are_loads_free):
            found = {d: load for d, load in best.items() if load is not None}
            if not found:
                return
            domain = max(found, key=lambda d: found[d].value)
            backend, model = found[domain].backend, found[domain].model
            if not self._order(layout.profile, backend, model, are_loads_free):
                return
            loading[backend.backend_id] = model.name
            best[domain] = domains[domain].best_load()

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

    def _stage_second_model(
        self, layout: Layout, backend: BackendServer, are_loads_free: bool
    ) -> None:
        profile = layout.profile
        if profile.staged_models_kept < 1 or backend.backend_id in self._active:
            return
        candidates = layout.useful_models(backend)
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
    ) -> bool:
        """Order a load and return whether the rate of loads allowed it."""
        if not are_loads_free and not self.loads.try_reserve(profile.loads_per_s, 1):
            return False
        until_s = self.timer.now_s() + LOAD_TIMEOUT_FACTOR * model.load_s
        self._active[backend.backend_id] = _Load(model.name, until_s)
        log_event("staging", backend=backend.backend_id, model=model.name)
        order = GroupOrder(OrderKind.STAGE, model=model.name)
        self.order_sender.send(
            backend, order, resend_interval_s=LOAD_TIMEOUT_FACTOR * model.load_s
        )
        return True

    def forget(self) -> None:
        """Forget the loads in progress, because another planner takes over."""
        self._active.clear()
