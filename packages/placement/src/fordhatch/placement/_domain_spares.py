"""Free backend servers of one fabric domain, and which weights they should hold."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from fordhatch.catalog import BackendServer, ModelProfile

from ._layout import Layout

LOSS_LIKELIHOOD = 0.5
"""Likelihood with which a domain that is full of a model's groups loses one more of
their members while a spare is being prepared. The likelihood of each further loss is
multiplied, so that the second spare of one model is worth less than the first of
another."""

MIN_SWITCH_RATIO = 2.0
"""A spare that is prepared for a model changes to another one only if it is worth this
many times more there: a load takes ten seconds and more, and needs vary meanwhile."""


@attrs.frozen
class LoadProposal:
    """A load of weights that would be useful."""

    backend: BackendServer
    model: ModelProfile
    value: float


@attrs.define(eq=False, repr=False)
class DomainSpares:
    """The free backend servers of a domain and the loads in progress on them."""

    layout: Layout
    domain: str
    backends: Sequence[BackendServer]
    loading: Mapping[str, str]
    """Models that are being loaded, by the id of the backend server."""

    def best_load(self) -> LoadProposal | None:
        """Return the load that is worth most, or None if none is worth anything."""
        prepared = {
            model.name: sum(self._will_be_prepared(b, model) for b in self.backends)
            for model in self.layout.profile.models
        }
        best: LoadProposal | None = None
        for backend in self.backends:
            if backend.backend_id in self.loading:
                continue
            for model in self.layout.useful_models(backend):
                value = self._gain(backend, model, prepared)
                if value > 0.0 and (best is None or value > best.value):
                    best = LoadProposal(backend, model, value)
        return best

    def _will_be_prepared(self, backend: BackendServer, model: ModelProfile) -> bool:
        """Return whether a server can join a model's groups after its current load."""
        loading = self.loading.get(backend.backend_id)
        if loading == model.name:
            return True
        is_prepared = not self.layout.must_load(backend, model)
        return is_prepared and not (loading and self._evicts(backend, model.name))

    def _evicts(self, backend: BackendServer, model: str) -> bool:
        """Return whether one more load makes a server unprepared for a model."""
        if self.layout.last_model.get(backend.backend_id) == model:
            return False
        staged = backend.staged_models
        kept = self.layout.profile.staged_models_kept
        return model in staged[: max(len(staged) - kept + 1, 0)]

    def _gain(
        self, backend: BackendServer, model: ModelProfile, prepared: Mapping[str, int]
    ) -> float:
        """Return what a load is worth, or 0 if it isn't worth what it replaces."""
        value = self._value(model, prepared[model.name])
        loss = sum(
            self._value(other, prepared[other.name] - 1)
            for other in self.layout.profile.models
            if other != model and self._evicts(backend, other.name)
        )
        return value - loss if value > MIN_SWITCH_RATIO * loss else 0.0

    def _value(self, model: ModelProfile, prepared: int) -> float:
        """Return the value of one more prepared server.

        It completes a group if there are enough free servers for one. Otherwise it is
        a spare that replaces a member of one of the domain's groups. While groups of
        the model are not formed, it is worth nothing.

        Args:
            model: The model that it is prepared for.
            prepared: Number of free servers that are prepared without it.
        """
        if model.name in self.layout.paused_models:
            return 0.0
        groups, spares = divmod(max(prepared, 0), model.size)
        if len(self.backends) >= (groups + 1) * model.size:
            return self.layout.need(model, change=groups) / (model.size - spares)
        members = self.layout.counts_by_domain[self.domain, model.name] * model.size
        likelihood = LOSS_LIKELIHOOD * members / self.layout.domain_sizes[self.domain]
        return self.layout.need(model, change=-1) * likelihood ** (spares + 1)
