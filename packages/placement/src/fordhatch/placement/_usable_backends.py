"""The backend servers from which groups may be formed."""

from __future__ import annotations

import attrs

from fordhatch.catalog import BackendServer, BackendState, Service
from fordhatch.registry import StoreView

from ._group_supervisor import MAX_MEMBER_PACE
from ._loss_check import LossCheck


@attrs.frozen
class UsableBackends:
    """Selects a service's backend servers that may be members of groups."""

    view: StoreView
    losses: LossCheck

    def usable(self, service: Service) -> list[BackendServer]:
        """Return the useful backend servers outside evacuated zones."""
        return self.view.evacuations.exclude(self.useful(service))

    def useful(self, service: Service) -> list[BackendServer]:
        """Return the backend servers of a service that are ready, alive and fast."""
        dead = self.losses.dead
        slow = self.view.shared.slow
        useless = {b for b, pace in slow.items() if pace >= MAX_MEMBER_PACE}
        return [
            b
            for b in self.view.directory.index.of_service(service.name)
            if b.state is BackendState.READY
            and b.backend_id not in dead
            and b.backend_id not in useless
        ]
