"""Processor time of a group choice and a planner step by number of backend servers.

Runs a real node against the stand-ins in virtual time, measures the processor time of
single calls, and prints a row for each size.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from typing import Annotated

import attrs
from cyclopts import App, Parameter

from fordhatch.placement import Planner
from fordhatch_lab import Experiment, LabModel, LabSite, run_in_virtual_time

app = App(name="scaling", help="Processor time by number of backend servers.")

SIZES = (50, 200, 925, 1200)
PER_DOMAIN = 37
MODELS = (
    LabModel("m0", 16, 0.5, 1.0, 16.0, 1.6),
    LabModel("m1", 8, 0.5, 0.6, 12.0, 1.1),
)
"""Models of the largest deployment in service."""

WARM_UP_S = 25.0
"""Time in which groups form and weights are preloaded into host memory."""

CHANGE_DURATION_S = 6.0
CHANGES_PER_S = 20.0
"""Rate of additions and crashes of backend servers while steps are measured. At the
design size, three group members crash a second and as many are added."""

CHOICES = 2000
"""Number of group choices over which the time is averaged."""


@attrs.frozen
class Row:
    """Measured times at one size."""

    backends: int
    groups: int
    choose_ms: float
    first_layout_ms: float
    """Longest planner step during warm-up, while the first groups form."""
    step_ms: float
    step_p99_ms: float


@attrs.define
class StepTimes:
    """Times of the planner steps, in milliseconds."""

    steps: list[float] = attrs.field(factory=list)

    def instrument(self) -> None:
        """Measure all further steps of all planners."""
        step = Planner.step

        def measured(planner: Planner) -> None:
            started_s = time.perf_counter()
            step(planner)
            self.steps.append((time.perf_counter() - started_s) * 1000.0)

        Planner.step = measured


def measure(backends: int, times: StepTimes) -> Row:
    """Return the measured times for a number of backend servers."""
    times.steps.clear()
    found: list[Row] = []

    async def run_site() -> None:
        domains = max(round(backends / PER_DOMAIN), 1)
        per_domain = backends // domains
        experiment = Experiment(
            nodes=1, domains=domains, per_domain=per_domain, models=MODELS, seed=3
        )
        site = LabSite.create(experiment)
        await site.start()
        node = site.nodes[0].node
        await asyncio.sleep(WARM_UP_S)
        first_ms = max(times.steps)
        choose_ms = _choose_ms(node)
        times.steps.clear()
        await _change(site, CHANGE_DURATION_S)
        steps = sorted(times.steps)
        found.append(
            Row(
                experiment.size,
                len(node.view.directory.groups("llm")),
                choose_ms,
                first_ms,
                statistics.mean(steps),
                steps[int(len(steps) * 0.99)],
            )
        )
        await site.close()

    run_in_virtual_time(run_site())
    return found[0]


def _choose_ms(node: object) -> float:
    choice = node.path.dispatch.streams.choice
    started_s = time.perf_counter()
    for _ in range(CHOICES):
        assert choice.choose("llm", "m1", ()) is not None
    return (time.perf_counter() - started_s) * 1000.0 / CHOICES


async def _change(site: LabSite, duration_s: float) -> None:
    """Alternately crash engines and add empty backend servers."""
    fleet = site.backends.fleet
    for index in range(int(duration_s * CHANGES_PER_S)):
        living = [e for e in fleet.engines.values() if not e.is_dead]
        if index % 2:
            fleet.kill(site.rng.choice(living))
        else:
            site.add_engine(site.rng.randrange(site.experiment.domains))
        await asyncio.sleep(1.0 / CHANGES_PER_S)


@app.default
def main(
    sizes: Annotated[list[int] | None, Parameter(help="Numbers to measure.")] = None,
) -> None:
    """Print the table.

    Args:
        sizes: Backend servers, one row for each.
    """
    print("| backend servers | groups | choice ms | first layout ms | step ms | p99 |")
    print("|---|---|---|---|---|---|")
    times = StepTimes()
    times.instrument()
    for size in sizes or SIZES:
        row = measure(size, times)
        print(
            f"| {row.backends} | {row.groups} | {row.choose_ms:.4f} | "
            f"{row.first_layout_ms:.1f} | {row.step_ms:.2f} | {row.step_p99_ms:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    app()
