"""The usual trials of bad parts of prompts, and a table of what they show."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ._part_trial import PartTrial, play_parts

PART_TRIALS = {
    "behind a shared part": PartTrial(),
    "one a second": PartTrial(bad_per_s=1.0),
    "first part": PartTrial(bad_per_s=4.0, is_first=True),
    "two bad parts": PartTrial(bad_per_s=4.0, bad_parts=2),
    "beside a sound part": PartTrial(companion_share=0.9),
    "always beside a sound part": PartTrial(companion_share=1.0),
    "first, beside a sound part": PartTrial(
        bad_per_s=4.0, companion_share=0.9, is_first=True
    ),
    "ten at a time": PartTrial(bad_per_s=2.5, burst=10),
    "engines crash for other reasons": PartTrial(loss_every_s=1.5),
    "all nodes restart": PartTrial(restart_all_at_s=6.0),
    "bad ones from the first second": PartTrial(quiet_s=0.0, companion_share=0.9),
    "store down": PartTrial(outage_at_s=0.5),
    "nodes without links": PartTrial(cut_nodes=3),
    "answers end with their connection": PartTrial(lengthless_share=0.7),
    "ordinary crashes, restart and outage": PartTrial(
        bad_per_s=4.0,
        bad_parts=2,
        companion_share=0.9,
        loss_every_s=2.0,
        restart_all_at_s=12.0,
        outage_at_s=3.0,
        lengthless_share=0.3,
    ),
}
"""Trials by name, which differ in where the bad part stands and what else happens."""

PART_TABLE_HEAD = (
    "| trial | seed | crashes | late | bad refused | sound served | once known |"
    " sound refused |\n|---|---|---|---|---|---|---|---|"
)


def part_rows(seeds: int) -> Iterator[str]:
    """Run all trials and yield a row of the table for each.

    Args:
        seeds: Number of seeds of each trial.
    """
    for name, trial in PART_TRIALS.items():
        for seed in range(1, seeds + 1):
            found = play_parts(attrs.evolve(trial, seed=seed))
            yield (
                f"| {name} | {seed} | {found.crashes} | {found.late_arrivals} "
                f"| {found.bad_refused} | {found.sound_whole} of {found.sound} "
                f"| {found.settled_whole} of {found.settled} | {found.sound_refused} |"
            )
