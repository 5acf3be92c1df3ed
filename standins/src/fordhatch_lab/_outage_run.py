"""Simulates an outage of the store, with or without a restore from a backup."""

from __future__ import annotations

import asyncio
import json
import statistics
from collections.abc import Sequence

import attrs

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE

from ._lab_site import LabSite
from ._store_outage import StoreOutage

REWRITE_S = 1.8
"""Time within which operators and backend servers rewrite the lost rows."""

CALL_COUNT_S = 5.0
"""Time after the end of the outage in which calls to the store are counted."""

CONVERGENCE_TIMEOUT_S = 10.0
"""Limit on the wait for a new configuration to take effect on all nodes; a longer
time is reported as this one."""

POLL_INTERVAL_S = 0.01
"""Time between checks of the configuration in effect on the nodes."""


@attrs.frozen
class OutageMeasures:
    """Measurements of one outage of the store."""

    calls: int
    """Calls to the store within ``CALL_COUNT_S`` after the end of the outage."""
    converged_s: float
    """Time until a configuration written at the end of the outage took effect on all
    nodes."""


async def run_outage(site: LabSite, outage: StoreOutage) -> OutageMeasures:
    """Simulate one outage of the store; return its measurements."""
    await asyncio.sleep(outage.at_s - outage.copy_age_s)
    copy = site.store.copy()
    _configure(site, 2)
    await asyncio.sleep(outage.copy_age_s)
    site.store.faults.is_down = True
    await asyncio.sleep(outage.duration_s)
    if outage.copy_age_s:
        lost = site.store.restore(copy)
        site.store.write_again(lost, REWRITE_S, site.rng)
    site.store.faults.is_down = False
    before = site.store.calls
    converged_s = await _time_convergence(site, 3)
    await asyncio.sleep(max(CALL_COUNT_S - converged_s, 0.0))
    return OutageMeasures(site.store.calls - before, converged_s)


async def _time_convergence(site: LabSite, version: int) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    _configure(site, version)
    while loop.time() - began_s < CONVERGENCE_TIMEOUT_S:
        if all(o.node.view.configuration.version == version for o in site.nodes):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return loop.time() - began_s


def _configure(site: LabSite, version: int) -> None:
    data = json.loads(site.experiment.configuration())
    value = json.dumps({**data, "version": version}).encode()
    site.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, value)


OUTAGE_TABLE_HEAD = (
    "| nodes | copy s | seeds | worth | worst 2 s | calls in 5 s | agreed s, median "
    "and worst | violations |\n|---|---|---|---|---|---|---|---|"
)


def outage_row(nodes: int, copy_age_s: float, runs: Sequence[object]) -> str:
    """Return the table row of one outage, for runs with several seeds."""
    agreed = [o.converged_s for r in runs for o in r.outages]
    worth = statistics.mean(r.worth() for r in runs)
    worst = statistics.mean(r.worst_window() for r in runs)
    calls = statistics.mean(o.calls for r in runs for o in r.outages)
    violations = sum(len(r.violations) for r in runs)
    times = f"{statistics.median(agreed):.2f}, {max(agreed):.2f}"
    return (
        f"| {nodes} | {copy_age_s:g} | {len(runs)} | {worth:.4f} | {worst:.3f} "
        f"| {calls:.0f} | {times} | {violations} |"
    )
