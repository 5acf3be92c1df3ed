"""Free instances while a pass of the planner hands them out."""

from __future__ import annotations

import attrs

from ._rows import GroupRow
from ._view import InstanceView, RegionView


@attrs.define
class FreePool:
    """The region's free instances; each is handed out once."""

    now_s: float
    by_domain: dict[tuple[str, str], list[InstanceView]]
    """Free instances by accelerator kind and fabric domain."""

    @classmethod
    def from_view(cls, view: RegionView) -> FreePool:
        """Return the pool of all free instances."""
        by_domain: dict[tuple[str, str], list[InstanceView]] = {}
        for instance in sorted(view.instances.values(), key=lambda i: i.instance_id):
            if instance.is_free:
                place = instance.instance
                key = (place.accelerator, place.fabric_domain)
                by_domain.setdefault(key, []).append(instance)
        return cls(view.now_s, by_domain)

    def count(self, accelerator: str, domain: str) -> int:
        """Return how many instances of a kind are free in a domain."""
        return len(self.by_domain.get((accelerator, domain), ()))

    def domains(self, accelerator: str) -> list[str]:
        """Return the domains that have free instances of a kind, fullest first."""
        found = [d for (kind, d), free in self.by_domain.items() if kind == accelerator]
        return sorted(found, key=lambda d: (-self.count(accelerator, d), d))

    def replacements(
        self, row: GroupRow, accelerator: str, ranks: list[int]
    ) -> dict[int, str] | None:
        """Hand out one instance for each rank, or nothing if they do not suffice.

        An instance that still holds a rank's weights is worth most, one that has
        been flapping least.
        """
        free = self.by_domain.get((accelerator, row.fabric_domain), [])
        if len(free) < len(ranks):
            return None
        chosen: dict[int, str] = {}
        for rank in ranks:
            best = min(free, key=lambda i: self._cost(i, row.weights_of(rank)))
            free.remove(best)
            chosen[rank] = best.instance_id
        return chosen

    def _cost(self, instance: InstanceView, weights: str) -> tuple[bool, bool, str]:
        flapping = instance.quarantined_until_s > self.now_s
        return flapping, instance.weights != weights, instance.instance_id

    def take_group(
        self, accelerator: str, domain: str, weights: list[str]
    ) -> list[str] | None:
        """Hand out a whole group's instances by rank, or nothing."""
        free = self.by_domain.get((accelerator, domain), [])
        steady = [i for i in free if i.quarantined_until_s <= self.now_s]
        if len(steady) < len(weights):
            return None
        chosen: list[str] = []
        for name in weights:
            best = min(steady, key=lambda i: self._cost(i, name))
            steady.remove(best)
            free.remove(best)
            chosen.append(best.instance_id)
        return chosen
