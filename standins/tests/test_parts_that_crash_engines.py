"""A part of many prompts that crashes each engine that begins to run one of them."""

from __future__ import annotations

import functools

import attrs
import pytest

from fordhatch_lab import PartTrial, play_parts

ALLOWED_LATE_ARRIVALS = 3
"""Requests with a bad part that may reach engines once the nodes should know it."""

SERVED_SHARE = 0.9
"""Least share of sound requests served at the first attempt, once that is so."""

USUAL = PartTrial()

TRIALS = {
    "behind a shared part": USUAL,
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


CASES = [(name, 11) for name in TRIALS] + [
    ("beside a sound part", 12),
    ("two bad parts", 12),
    ("ordinary crashes, restart and outage", 12),
]

# Both tests look at the same plays.
play = functools.cache(play_parts)


# Guards against requests that share one bad part, no two of them alike, which crash one
# backend server after the other while the sound requests beside them are lost.
@pytest.mark.parametrize(("name", "seed"), CASES)
def test_requests_with_a_part_that_crashes_engines_are_stopped(
    name: str, seed: int
) -> None:
    found = play(attrs.evolve(TRIALS[name], seed=seed))
    assert found.late_arrivals <= ALLOWED_LATE_ARRIVALS, found
    assert found.settled_share >= SERVED_SHARE, found
    assert found.violations == []


# Guards against sound requests that are refused because they share parts with bad ones.
@pytest.mark.parametrize(("name", "seed"), CASES)
def test_sound_requests_that_share_parts_with_bad_ones_are_not_refused(
    name: str, seed: int
) -> None:
    found = play(attrs.evolve(TRIALS[name], seed=seed))
    assert found.settled > 0, found
    assert found.sound_refused == 0, found
