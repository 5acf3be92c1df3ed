"""Comparison of strategies for a server's rate limit, as a table and a plot."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl

from fordhatch_standins import ColdStarts

from ._limit_trial import WINDOW_S, LimitPlay, allowed

mpl.use("Agg")

from matplotlib import pyplot as plt

NORMAL_95 = 1.96
"""Half-width of a 95 % confidence interval, in standard errors of the mean."""

LIMIT_TABLE_HEAD = (
    "| way | nodes | limit | skew | worst of allowed | use | messages/s |\n"
    "|---|---|---|---|---|---|---|"
)


COLD_TABLE_HEAD = (
    "| nodes | limit | skew | links | worst second of allowed | use | messages/s |\n"
    "|---|---|---|---|---|---|---|"
)


def cold_row(runs: Sequence[LimitPlay]) -> str:
    """Return the table row of one trial with a cold server, over its seeds."""
    trial = runs[0].trial
    worst = max(run.worst(1.0) for run in runs)
    use = interval([run.use() for run in runs])
    messages = interval([run.messages_per_s() for run in runs])
    links = "split" if trial.is_split else "whole"
    bound = ColdStarts(trial.limit_per_s).bound
    return (
        f"| {trial.nodes} | {trial.limit_per_s:g} | {trial.skew:g} | {links} "
        f"| {worst} of {bound:.1f} | {use} | {messages} |"
    )


def limit_row(runs: Sequence[LimitPlay]) -> str:
    """Return the table row of one trial, with 95 % intervals over its seeds."""
    trial = runs[0].trial
    worst = max(run.worst() for run in runs)
    use = interval([run.use() for run in runs])
    messages = interval([run.messages_per_s() for run in runs])
    return (
        f"| {trial.way} | {trial.nodes} | {trial.limit_per_s:g} | {trial.skew:g} "
        f"| {worst} of {allowed(trial.limit_per_s):.1f} | {use} | {messages} |"
    )


def interval(values: Sequence[float]) -> str:
    """Return the mean of values with its 95 % confidence interval."""
    mean = statistics.fmean(values)
    if len(values) == 1:
        return f"{mean:.3f}"
    error = NORMAL_95 * statistics.stdev(values) / math.sqrt(len(values))
    return f"{mean:.3f} +- {error:.3f}"


def plot_limit(runs: Sequence[LimitPlay], path: Path) -> None:
    """Plot the requests in the last window at each second, and the allowed number."""
    figure, axis = plt.subplots(figsize=(11, 4.5), layout="constrained")
    for run in runs:
        seconds = Counter(int(at_s) for at_s in run.sent_s)
        end_s = int(run.trial.duration_s)
        window = int(WINDOW_S)
        counts = [
            sum(seconds[s] for s in range(at - window + 1, at + 1))
            for at in range(end_s)
        ]
        axis.plot(range(end_s), counts, label=run.trial.way)
    limit_per_s = runs[0].trial.limit_per_s
    axis.axhline(allowed(limit_per_s), color="black", linestyle="--", label="allowed")
    axis.axhline(WINDOW_S * limit_per_s, color="grey", label="the limit itself")
    axis.set_xlabel("seconds")
    axis.set_ylabel(f"requests within {WINDOW_S:g} s")
    axis.legend(fontsize=8)
    figure.savefig(path, dpi=90)
    plt.close(figure)
