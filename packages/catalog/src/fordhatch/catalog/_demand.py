"""What callers ask of models."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class ModelDemand:
    """What callers ask of one model, at one node or at all of them."""

    requests_per_s: float = 0.0
    busy_groups: float = 0.0
    """Full groups that these requests keep busy, by the times that the engine
    declares."""

    def __add__(self, other: ModelDemand) -> ModelDemand:
        """Return what both ask together."""
        return ModelDemand(
            self.requests_per_s + other.requests_per_s,
            self.busy_groups + other.busy_groups,
        )

    def times(self, factor: float) -> ModelDemand:
        """Return a multiple of it."""
        return ModelDemand(self.requests_per_s * factor, self.busy_groups * factor)

    def towards(self, other: ModelDemand, times: float) -> ModelDemand:
        """Return an average that has followed another demand for a while.

        Args:
            other: What is asked now.
            times: For how many of the average's own times it has followed.
        """
        weight = -math.expm1(-times)
        return self.times(1.0 - weight) + other.times(weight)


ModelKey = tuple[str, str]
"""A service and one of its models."""
