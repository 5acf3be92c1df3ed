"""Plot of losses by cause over time."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import matplotlib as mpl

from ._losses import Losses

mpl.use("Agg")

from matplotlib import pyplot as plt

MAX_CAUSES = 8
"""Maximal number of causes drawn separately; the remaining ones share one colour."""


def plot_losses(found: Losses, path: Path) -> None:
    """Write a stacked bar chart of the losses per second, by cause.

    Args:
        found: The losses.
        path: The image file to write.
    """
    figure, axis = plt.subplots(figsize=(11, 4.5), layout="constrained")
    first = min((loss.second for loss in found.losses), default=0)
    last = max((loss.second for loss in found.losses), default=0)
    seconds = list(range(first, last + 1))
    shown_causes = [str(cause) for cause, _ in found.by(lambda loss: loss.cause)][
        :MAX_CAUSES
    ]
    bottom = [0] * len(seconds)
    for cause in (*shown_causes, "other"):
        counts = Counter(
            loss.second
            for loss in found.losses
            if (loss.cause if loss.cause in shown_causes else "other") == cause
        )
        heights = [counts[second] for second in seconds]
        axis.bar([s - first for s in seconds], heights, bottom=bottom, label=cause)
        bottom = [b + h for b, h in zip(bottom, heights, strict=True)]
    axis.set_xlabel("seconds since the first loss")
    axis.set_ylabel("requests lost or late")
    axis.legend(fontsize=8)
    figure.savefig(path, dpi=90)
    plt.close(figure)
