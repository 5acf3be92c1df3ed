"""The store is away for a moment, and comes back as it was or from an older copy."""

from __future__ import annotations

import asyncio
import json
import statistics
from collections.abc import Sequence

import attrs

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE

from ._drill import StoreDrill
from ._lab_site import LabSite

AGAIN_S = 1.8
"""Within this time operators and backend servers write again what is lost."""

COUNTED_S = 5.0
"""For how long after the return calls to the store are counted."""

AGREE_LIMIT_S = 10.0
"""A change that is not in force everywhere by then counts as this long."""

LOOK_S = 0.01
"""Time between looks at what is in force."""


@attrs.frozen
class DrillMeasures:
    """What one absence has cost."""

    calls: int
    """Calls to the store in the seconds after the return."""
    agreed_s: float
    """From the return until a configuration that is written at that moment was in
    force on all nodes."""


async def play_drill(site: LabSite, drill: StoreDrill) -> DrillMeasures:
    """Play one absence; returns what it has cost."""
    await asyncio.sleep(drill.at_s - drill.copy_age_s)
    copy = site.store.copy()
    _configure(site, 2)
    await asyncio.sleep(drill.copy_age_s)
    site.store.faults.is_down = True
    await asyncio.sleep(drill.away_s)
    if drill.copy_age_s:
        lost = site.store.restore(copy)
        site.store.write_again(lost, AGAIN_S, site.rng)
    site.store.faults.is_down = False
    before = site.store.calls
    agreed_s = await _until_agreed(site, 3)
    await asyncio.sleep(max(COUNTED_S - agreed_s, 0.0))
    return DrillMeasures(site.store.calls - before, agreed_s)


async def _until_agreed(site: LabSite, version: int) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    _configure(site, version)
    while loop.time() - began_s < AGREE_LIMIT_S:
        if all(o.node.view.configuration.version == version for o in site.nodes):
            break
        await asyncio.sleep(LOOK_S)
    return loop.time() - began_s


def _configure(site: LabSite, version: int) -> None:
    data = json.loads(site.experiment.configuration())
    value = json.dumps({**data, "version": version}).encode()
    site.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, value)


DRILL_HEAD = (
    "| nodes | copy s | seeds | worth | worst 2 s | calls in 5 s | agreed s, median "
    "and worst | violations |\n|---|---|---|---|---|---|---|---|"
)


def drill_row(nodes: int, copy_age_s: float, plays: Sequence[object]) -> str:
    """Return a line of the table, for plays of one drill on several seeds."""
    agreed = [d.agreed_s for p in plays for d in p.drills]
    worth = statistics.mean(p.worth() for p in plays)
    worst = statistics.mean(p.worst_window() for p in plays)
    calls = statistics.mean(d.calls for p in plays for d in p.drills)
    violations = sum(len(p.violations) for p in plays)
    times = f"{statistics.median(agreed):.2f}, {max(agreed):.2f}"
    return (
        f"| {nodes} | {copy_age_s:g} | {len(plays)} | {worth:.4f} | {worst:.3f} "
        f"| {calls:.0f} | {times} | {violations} |"
    )
