"""Tables and plots of a series of experiments."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl

from ._measures import Measures

mpl.use("Agg")

from matplotlib import pyplot as plt

PLOTTED = (
    "worth",
    "worst 2 s",
    "first event p95 s",
    "healing p50 s",
    "stranded engines",
    "store calls/s",
    "messages/s and node",
    "KB/s and node",
)
"""Names of the plotted figures, one plot each."""


def table(label: str, rows: Sequence[tuple[object, Measures]]) -> str:
    """Return the figures of a series as a Markdown table."""
    names = list(rows[0][1].summary())
    lines = [f"| {label} | {' | '.join(names)} |", "|---" * (len(names) + 1) + "|"]
    for value, measures in rows:
        figures = [f"{f:g}" for f in measures.summary().values()]
        lines.append(f"| {value} | {' | '.join(figures)} |")
    return "\n".join(lines) + "\n"


def plot(label: str, rows: Sequence[tuple[float, Measures]], path: Path) -> None:
    """Plot the figures of a series against the varied setting."""
    figure, axes = plt.subplots(2, 4, figsize=(15, 6.5), layout="constrained")
    xs = [x for x, _ in rows]
    for axis, name in zip(axes.flat, PLOTTED, strict=True):
        axis.plot(xs, [m.summary()[name] for _, m in rows], marker="o")
        axis.set_title(name, fontsize=10)
        axis.set_xlabel(label, fontsize=9)
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
    figure.savefig(path, dpi=90)
    plt.close(figure)
