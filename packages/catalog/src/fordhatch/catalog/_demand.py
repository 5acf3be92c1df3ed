"""Callers' demand for models."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class ModelDemand:
    """Callers' demand for one model, at one node or at all nodes."""

    requests_per_s: float = 0.0
    busy_groups: float = 0.0
    """Full groups that these requests occupy, computed from the engine profile."""

    def __add__(self, other: ModelDemand) -> ModelDemand:
        """Return the sum of both demands."""
        return ModelDemand(
            self.requests_per_s + other.requests_per_s,
            self.busy_groups + other.busy_groups,
        )

    def times(self, factor: float) -> ModelDemand:
        """Return the demand multiplied by a factor."""
        return ModelDemand(self.requests_per_s * factor, self.busy_groups * factor)

    def towards(self, other: ModelDemand, times: float) -> ModelDemand:
        """Return this exponential moving average updated with another demand.

        Args:
            other: The current demand.
            times: Elapsed time as a multiple of the average's time constant.
        """
        weight = -math.expm1(-times)
        return self.times(1.0 - weight) + other.times(weight)


ModelKey = tuple[str, str]
"""Name of a service and of one of its models."""
