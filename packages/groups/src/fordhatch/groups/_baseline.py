"""The baseline policy: rebuild the whole group, first come, first served."""

from __future__ import annotations

import attrs

from fordhatch.config import ModelService, OperatorsFile

from ._decisions import Decision, Dissolve, Form
from ._policy import LOST_AFTER_S
from ._pool import FreePool
from ._rows import ACTIVE
from ._view import RegionView


@attrs.define
class RebuildPolicy:
    """Dissolves a group that lost a member and forms one from any free instances."""

    lost_after_s: float = LOST_AFTER_S

    def decide(
        self, view: RegionView, declared: OperatorsFile, region: str
    ) -> list[Decision]:
        """See ``GroupPolicy.decide``."""
        decisions: list[Decision] = []
        pool = FreePool.from_view(view)
        for service in declared.model_services:
            if service.region == region:
                decisions.extend(self._of_service(view, declared, service, pool))
        return decisions

    def _of_service(
        self,
        view: RegionView,
        declared: OperatorsFile,
        service: ModelService,
        pool: FreePool,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        kept = 0
        for group in view.of_service(service.name):
            if group.row.state != ACTIVE:
                continue
            if group.broken(view.now_s, self.lost_after_s):
                decisions.append(Dissolve(group.row.group_id, "rebuild"))
            else:
                kept += 1
        weighs_stranded = declared.policy.stranded_weight > 0
        wanted = service.most_groups if weighs_stranded else service.groups
        for _ in range(wanted - kept):
            members = self._first_free(service, pool)
            if members is not None:
                shard_bytes = declared.shard_bytes(service)
                decisions.append(Form(service, shard_bytes, members))
        return decisions

    def _first_free(self, service: ModelService, pool: FreePool) -> list[str] | None:
        any_weights = [""] * service.group_size
        for domain in sorted(pool.domains(service.accelerator)):
            members = pool.take_group(service.accelerator, domain, any_weights)
            if members is not None:
                return members
        return None
