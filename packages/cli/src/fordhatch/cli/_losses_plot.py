"""Draws losses by cause over time."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import matplotlib as mpl

from ._losses import Losses

mpl.use("Agg")

from matplotlib import pyplot as plt

MOST_CAUSES = 8
"""Causes with a colour of their own; the others are drawn together."""


def plot_losses(found: Losses, path: Path) -> None:
    """Draw the losses of each second, by cause, into a picture."""
    figure, axis = plt.subplots(figsize=(11, 4.5), layout="constrained")
    first = min((loss.second for loss in found.losses), default=0)
    last = max((loss.second for loss in found.losses), default=0)
    seconds = list(range(first, last + 1))
    named = [str(cause) for cause, _ in found.by(lambda loss: loss.cause)][:MOST_CAUSES]
    bottom = [0] * len(seconds)
    for cause in (*named, "other"):
        counts = Counter(
            loss.second
            for loss in found.losses
            if (loss.cause if loss.cause in named else "other") == cause
        )
        heights = [counts[second] for second in seconds]
        axis.bar([s - first for s in seconds], heights, bottom=bottom, label=cause)
        bottom = [b + h for b, h in zip(bottom, heights, strict=True)]
    axis.set_xlabel("seconds since the first loss")
    axis.set_ylabel("requests lost or late")
    axis.legend(fontsize=8)
    figure.savefig(path, dpi=90)
    plt.close(figure)
