"""The two measures: group downtime and stranded accelerators."""

from __future__ import annotations

import attrs

from fordhatch.config import OperatorsFile
from fordhatch.core import metrics

from ._view import LOST, UNKNOWN, RegionView


@attrs.frozen
class Gap:
    """What is missing at one moment."""

    missing_groups: dict[str, int]
    """Declared groups that do not serve, by service."""
    stranded: int
    """Healthy accelerators in no serving group."""

    @classmethod
    def from_view(cls, view: RegionView, declared: OperatorsFile, region: str) -> Gap:
        """Return the gap between what is declared and what serves."""
        serving = [g for g in view.present_groups() if g.serving]
        missing = {}
        for service in declared.model_services:
            if service.region == region:
                count = sum(g.row.service == service.name for g in serving)
                missing[service.name] = max(0, service.groups - count)
        in_service = {m.instance_id for g in serving for m in g.row.members}
        stranded = sum(
            instance.instance.accelerator != ""
            and instance.instance.state != "leaving"
            and instance.instance_id not in in_service
            and instance.state not in (LOST, UNKNOWN)
            for instance in view.instances.values()
        )
        return cls(missing, stranded)


@attrs.define
class Measures:
    """Adds up the gaps over time."""

    downtime_s: float = 0.0
    stranded_s: float = 0.0
    _last_s: float | None = None

    def add(self, gap: Gap, now_s: float) -> None:
        """Count a gap since the last call.

        Args:
            gap: What has been missing.
            now_s: Monotonic seconds.
        """
        last_s, self._last_s = self._last_s, now_s
        if last_s is None:
            return
        passed_s = now_s - last_s
        for service, count in gap.missing_groups.items():
            metrics.GROUP_DOWNTIME_SECONDS.labels(service).inc(count * passed_s)
            self.downtime_s += count * passed_s
        metrics.STRANDED_ACCELERATOR_SECONDS.inc(gap.stranded * passed_s)
        self.stranded_s += gap.stranded * passed_s
