"""``fordhatch-lab``: experiments in virtual time, and reports on them."""

from __future__ import annotations

import itertools
import json
from pathlib import Path
from typing import Literal

import attrs
from cyclopts import App

from ._drill import StoreDrill
from ._experiment import Experiment
from ._limit_trial import LimitPlay, LimitTrial, play_limit
from ._limit_ways import WAYS
from ._measures import Measures
from ._run import run_experiment
from ._store_drill import DRILL_HEAD, drill_row

app = App(
    name="fordhatch-lab",
    help="Real nodes in virtual time before stand-ins, under load and faults.",
)

NODES_PER_DOMAIN = 1.5
"""Nodes for each domain of eight engines, as today's deployments have them."""

SIZES = (9, 18, 36, 72)
"""Numbers of nodes in a report; engines and load grow with them."""

DRILL_AT_S = 6.0
"""When the store goes away in an experiment; the groups have work by then."""

LOSSES_S = (12.0, 6.0, 3.0, 1.5)
"""Times between losses in a report, at the smallest size."""


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
    """Play one experiment.

    Parameters
    ----------
    nodes
        Entry nodes; engines and load follow.
    seed
        Seed of requests and faults.
    duration_s
        Virtual seconds under load.
    load
        Factor on the usual load.
    loss_every_s
        Mean time between losses of members; 0 for none.
    empty_every_s
        Mean time between empty engines that come; 0 for none.
    dark_domain_at_s
        When a whole domain ends; 0 for never.
    planner_dies_at_s
        When the planner's node ends; 0 for never.
    output
        A table for people, JSON for programs.
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
    """Play a series of experiments and print their table.

    Parameters
    ----------
    over
        What is varied.
    values
        Its values.
    seed
        Seed of requests and faults.
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
    """Play the usual series and write tables and plots into a folder.

    Parameters
    ----------
    folder
        Where ``report.md`` and its pictures go.
    seed
        Seed of requests and faults.
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
    """Compare ways of keeping a server's limit on the same demand and seeds.

    Parameters
    ----------
    ways
        Of ``permits``, ``equal`` and ``feedback``; all by default.
    nodes
        Numbers of nodes.
    limit_per_s
        Limits, in requests a second.
    skew
        Parts of the demand that come to one node.
    seeds
        Seeds of each trial.
    duration_s
        Virtual seconds of each trial.
    plot
        Where a picture of the last trials goes.
    """
    from ._limit_report import HEAD, limit_row, plot_limit  # noqa: PLC0415

    print(HEAD)
    cases = itertools.product(
        nodes or [8, 68], limit_per_s or [1.1, 6.0], skew or [0.0, 0.9]
    )
    firsts: list[LimitPlay] = []
    for number, per_s, part in cases:
        firsts = []
        for way in ways or list(WAYS):
            trial = LimitTrial(
                way, number, per_s, skew=part, duration_s=duration_s, seed=0
            )
            plays = [
                play_limit(attrs.evolve(trial, seed=seed))
                for seed in range(1, seeds + 1)
            ]
            print(limit_row(plays), flush=True)
            firsts.append(plays[0])
    if plot is not None:
        plot_limit(firsts, plot)


@app.command
def returns(
    nodes: list[int] | None = None,
    *,
    copy_s: list[float] | None = None,
    away_s: float = 2.0,
    seeds: int = 3,
    duration_s: float = 20.0,
) -> None:
    """Compare returns of the store from copies with outages of the same length.

    Parameters
    ----------
    nodes
        Numbers of nodes.
    copy_s
        How long before its absence the store was copied; 0 where nothing is lost.
    away_s
        How long the store is away.
    seeds
        Seeds of each trial.
    duration_s
        Virtual seconds under load.
    """
    print(DRILL_HEAD)
    for number, age_s in itertools.product(nodes or [7], copy_s or [0.0, 3.0]):
        drill = StoreDrill(DRILL_AT_S, away_s, age_s)
        plays = [
            run_experiment(_sized(number, seed, duration_s=duration_s, drill=drill))
            for seed in range(1, seeds + 1)
        ]
        print(drill_row(number, age_s, plays), flush=True)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
