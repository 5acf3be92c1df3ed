"""``fordhatch-lab``: experiments in virtual time and their reports."""

from __future__ import annotations

import itertools
import json
from pathlib import Path
from typing import Literal

import attrs
from cyclopts import App

from ._experiment import Experiment
from ._limit_trial import LimitPlay, LimitTrial, play_limit
from ._limit_ways import STRATEGIES
from ._load_report import load_tables
from ._measures import Measures
from ._outage_run import OUTAGE_TABLE_HEAD, outage_row
from ._part_report import PART_TABLE_HEAD, part_rows
from ._run import run_experiment
from ._store_outage import StoreOutage

app = App(
    name="fordhatch-lab",
    help="Run real nodes in virtual time with stand-in engines, load and faults.",
)

NODES_PER_DOMAIN = 1.5
"""Nodes per fabric domain of eight engines, as in current deployments."""

SIZES = (9, 18, 36, 72)
"""Numbers of nodes in a report; engines and load grow with them."""

OUTAGE_AT_S = 6.0
"""Start of the store's outage, from the start of the load. By then the groups are
serving requests."""

LOSSES_S = (12.0, 6.0, 3.0, 1.5)
"""Mean times between member crashes in a report, at the smallest size."""


def _sized(nodes: int, seed: int, **changes: object) -> Experiment:
    domains = max(round(nodes / NODES_PER_DOMAIN), 1)
    zones = 3 if nodes < 150 else 12  # noqa: PLR2004
    faults = 48.0 / (domains * 8)
    return attrs.evolve(
        Experiment(nodes=nodes, domains=domains, zones=zones, seed=seed),
        loss_every_s=3.0 * faults,
        empty_every_s=3.0 * faults,
        **changes,
    )


def _show(measures: Measures) -> None:
    for name, value in measures.summary().items():
        print(f"{name:22} {value:g}")
    print(f"{'calls':22} {dict(measures.store_calls.most_common())}")
    for text in measures.violations:
        print(f"VIOLATION: {text}")


@app.command
def run(
    *,
    nodes: int = 9,
    seed: int = 1,
    duration_s: float = 30.0,
    load: float = 1.0,
    loss_every_s: float = 3.0,
    empty_every_s: float = 3.0,
    dark_domain_at_s: float = 0.0,
    planner_dies_at_s: float = 0.0,
    output: Literal["table", "json"] = "table",
) -> None:
    """Run one experiment.

    Parameters
    ----------
    nodes
        Number of nodes; engines and load scale with it.
    seed
        Seed of the requests and faults.
    duration_s
        Virtual seconds under load.
    load
        Factor on the usual load.
    loss_every_s
        Mean seconds between crashes of group members; 0 for none.
    empty_every_s
        Mean seconds between arrivals of empty engines; 0 for none.
    dark_domain_at_s
        When all engines of one fabric domain crash, in seconds; 0 for never.
    planner_dies_at_s
        When the planner's node crashes, in seconds; 0 for never.
    output
        Output format.
    """
    experiment = _sized(nodes, seed, duration_s=duration_s, load=load)
    experiment = attrs.evolve(
        experiment,
        loss_every_s=loss_every_s,
        empty_every_s=empty_every_s,
        dark_domain_at_s=dark_domain_at_s,
        planner_dies_at_s=planner_dies_at_s,
    )
    measures = run_experiment(experiment)
    if output == "json":
        print(json.dumps(measures.summary(), indent=2))
    else:
        _show(measures)


@app.command
def sweep(
    over: Literal["nodes", "losses", "load"] = "nodes",
    *,
    values: list[float] | None = None,
    seed: int = 1,
    duration_s: float = 20.0,
) -> None:
    """Run a series of experiments and print a table.

    Parameters
    ----------
    over
        Setting to vary.
    values
        Values of the setting; the usual series by default.
    seed
        Seed of the requests and faults.
    duration_s
        Virtual seconds under load.
    """
    from ._report import table  # noqa: PLC0415

    rows = _series(over, values, seed, duration_s)
    print(table(over, rows))


def _series(
    over: str, values: list[float] | None, seed: int, duration_s: float
) -> list[tuple[float, Measures]]:
    usual = {"nodes": SIZES, "losses": LOSSES_S, "load": (0.5, 1.0, 2.0, 4.0)}
    rows = []
    for value in values or usual[over]:
        match over:
            case "nodes":
                experiment = _sized(int(value), seed, duration_s=duration_s)
            case "losses":
                experiment = _sized(9, seed, duration_s=duration_s)
                experiment = attrs.evolve(experiment, loss_every_s=value)
            case _:
                experiment = _sized(9, seed, duration_s=duration_s, load=value)
        rows.append((value, run_experiment(experiment)))
    return rows


@app.command
def report(
    folder: Path = Path("lab-report"), *, seed: int = 1, duration_s: float = 20.0
) -> None:
    """Run the usual series and write tables and plots to a folder.

    Parameters
    ----------
    folder
        Output folder of ``report.md`` and its plots.
    seed
        Seed of the requests and faults.
    duration_s
        Virtual seconds under load, for each experiment.
    """
    from ._report import plot, table  # noqa: PLC0415

    folder.mkdir(parents=True, exist_ok=True)
    parts = ["# Experiments in virtual time\n"]
    for over in ("nodes", "losses", "load"):
        rows = _series(over, None, seed, duration_s)
        plot(over, rows, folder / f"{over}.png")
        parts.append(f"## By {over}\n\n{table(over, rows)}\n![{over}]({over}.png)\n")
    (folder / "report.md").write_text("\n".join(parts))
    print(f"written to {folder / 'report.md'}")


@app.command
def limits(
    ways: list[str] | None = None,
    *,
    nodes: list[int] | None = None,
    limit_per_s: list[float] | None = None,
    skew: list[float] | None = None,
    seeds: int = 5,
    duration_s: float = 60.0,
    plot: Path | None = None,
) -> None:
    """Compare strategies for a server's rate limit on the same demand and seeds.

    Parameters
    ----------
    ways
        Strategies: ``permits``, ``equal`` and ``feedback``; all by default.
    nodes
        Numbers of nodes.
    limit_per_s
        Limits in requests per second.
    skew
        Fractions of the demand that all go to one node.
    seeds
        Number of seeds of each trial.
    duration_s
        Virtual seconds of each trial.
    plot
        Output file of a plot of the last trials.
    """
    from ._limit_report import LIMIT_TABLE_HEAD, limit_row, plot_limit  # noqa: PLC0415

    print(LIMIT_TABLE_HEAD)
    cases = itertools.product(
        nodes or [8, 68], limit_per_s or [1.1, 6.0], skew or [0.0, 0.9]
    )
    first_runs: list[LimitPlay] = []
    for number, per_s, part in cases:
        first_runs = []
        for way in ways or [way for way in STRATEGIES if way != "cold"]:
            trial = LimitTrial(
                way, number, per_s, skew=part, duration_s=duration_s, seed=0
            )
            runs = [
                play_limit(attrs.evolve(trial, seed=seed))
                for seed in range(1, seeds + 1)
            ]
            print(limit_row(runs), flush=True)
            first_runs.append(runs[0])
    if plot is not None:
        plot_limit(first_runs, plot)


@app.command
def cold(
    nodes: list[int] | None = None,
    *,
    limit_per_s: list[float] | None = None,
    skew: list[float] | None = None,
    seeds: int = 3,
    duration_s: float = 30.0,
) -> None:
    """Show how many requests a cold server receives from nodes that share its limit.

    Parameters
    ----------
    nodes
        Numbers of nodes.
    limit_per_s
        Requests a second that the server tolerates.
    skew
        Fractions of the demand that all go to one node.
    seeds
        Number of seeds of each trial.
    duration_s
        Virtual seconds for which the server is cold, 60 at the most.
    """
    from ._limit_report import COLD_TABLE_HEAD, cold_row  # noqa: PLC0415

    print(COLD_TABLE_HEAD)
    cases = itertools.product(
        nodes or [8, 74, 123], limit_per_s or [4.0, 17.0], skew or [0.0, 0.9]
    )
    for (number, per_s, part), is_split in itertools.product(cases, [False, True]):
        trial = LimitTrial(
            "cold", number, per_s, 5.0, part, duration_s, is_split=is_split
        )
        runs = [
            play_limit(attrs.evolve(trial, seed=seed)) for seed in range(1, seeds + 1)
        ]
        print(cold_row(runs), flush=True)


@app.command
def loads(*, seeds: int = 2, duration_s: float = 30.0) -> None:
    """Compare ways to choose groups and plain servers by the load of all nodes.

    Parameters
    ----------
    seeds
        Number of seeds of each trial.
    duration_s
        Virtual seconds of each trial.
    """
    for line in load_tables(seeds, duration_s):
        print(line, flush=True)


@app.command
def parts(*, seeds: int = 1) -> None:
    """Show what parts of prompts that crash engines cost, and whom else.

    Parameters
    ----------
    seeds
        Number of seeds of each trial.
    """
    print(PART_TABLE_HEAD)
    for row in part_rows(seeds):
        print(row, flush=True)


@app.command
def returns(
    nodes: list[int] | None = None,
    *,
    copy_s: list[float] | None = None,
    away_s: float = 2.0,
    seeds: int = 3,
    duration_s: float = 20.0,
) -> None:
    """Compare outages of the store with and without a restore from a backup.

    Parameters
    ----------
    nodes
        Numbers of nodes.
    copy_s
        Ages of the backup at the start of the outage, in seconds; 0 if no data is
        lost.
    away_s
        Length of the outage in seconds.
    seeds
        Number of seeds of each trial.
    duration_s
        Virtual seconds under load.
    """
    print(OUTAGE_TABLE_HEAD)
    for number, age_s in itertools.product(nodes or [7], copy_s or [0.0, 3.0]):
        outage = StoreOutage(OUTAGE_AT_S, away_s, age_s)
        runs = [
            run_experiment(_sized(number, seed, duration_s=duration_s, outage=outage))
            for seed in range(1, seeds + 1)
        ]
        print(outage_row(number, age_s, runs), flush=True)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
