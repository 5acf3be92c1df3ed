"""The trials that compare ways to balance the load of all nodes, and their tables."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ._load_trial import LoadFigures, LoadTrial, play_load

HEAD_CASES: dict[str, LoadTrial] = {
    "0.7 of the slots": LoadTrial(use=0.7),
    "0.85": LoadTrial(),
    "0.95": LoadTrial(use=0.95),
    "0.85, zones of 4, 16 and 16 groups": LoadTrial(heads_by_zone=(4, 16, 16)),
    "0.7, half 5 times slower": LoadTrial(use=0.7, slow_heads=18),
    "0.85, half 5 times slower": LoadTrial(slow_heads=18),
    "0.85, reports lost": LoadTrial(lost_reports=0.3),
    "0.85, 0.8 s": LoadTrial(service_s=0.8),
    "0.85, 0.3 s": LoadTrial(service_s=0.3),
    "0.9, prompts of 20,000": LoadTrial(use=0.9, prompt_tokens=20_000),
    "0.75, prompts of 30,000": LoadTrial(use=0.75, prompt_tokens=30_000),
}
HEAD_WAYS = ("own", "least", "two", "two_by_zone")

_PLAIN = LoadTrial(
    heads_by_zone=(1, 1, 1), slots=8, service_s=0.05, use=0.7, late_s=0.02
)

PLAIN_CASES: dict[str, LoadTrial] = {
    "1, 1, 1; 20; 0.7": attrs.evolve(_PLAIN, slots=20),
    "1, 1, 1; 20; 0.9; 0.1": attrs.evolve(_PLAIN, slots=20, use=0.9, crowded=0.1),
    "1, 1, 1; 8; 0.7; 0.25": attrs.evolve(_PLAIN, crowded=0.25),
    "1, 1, 1; 8; 0.6; 0.5; 123 nodes": attrs.evolve(
        _PLAIN, nodes=123, use=0.6, crowded=0.5
    ),
    "3, 2, 2; 8; 0.8; 0.2; 74 nodes": attrs.evolve(
        _PLAIN, nodes=74, heads_by_zone=(3, 2, 2), use=0.8, crowded=0.2
    ),
    "1, 3, 3; 8; 0.7": attrs.evolve(_PLAIN, heads_by_zone=(1, 3, 3)),
    "1, 1, 1; 20; 0.6; 0.3; 123 nodes, 200 ms": attrs.evolve(
        _PLAIN, nodes=123, slots=20, use=0.6, crowded=0.3, service_s=0.2
    ),
}
PLAIN_WAYS = ("plain_own", "plain_totals")


def load_tables(seeds: int, duration_s: float) -> Iterator[str]:
    """Run all trials and yield the lines of two tables.

    Each cell: late requests, requests to other zones, most requests at one group, and
    requests that overfilled a memory, over all seeds.

    Args:
        seeds: Number of seeds of each trial.
        duration_s: Virtual seconds of each trial.
    """
    for cases, ways in ((HEAD_CASES, HEAD_WAYS), (PLAIN_CASES, PLAIN_WAYS)):
        yield f"| load | {' | '.join(ways)} |"
        yield "|---" * (len(ways) + 1) + "|"
        for name, case in cases.items():
            trial = attrs.evolve(case, duration_s=duration_s)
            cells = [
                _cell(
                    [
                        play_load(attrs.evolve(trial, way=way, seed=seed))
                        for seed in range(1, seeds + 1)
                    ]
                )
                for way in ways
            ]
            yield f"| {name} | {' | '.join(cells)} |"


def _cell(runs: list[LoadFigures]) -> str:
    late = sum(run.late for run in runs) / len(runs)
    other = sum(run.other_zone_fraction for run in runs) / len(runs)
    most = max(run.max_requests for run in runs)
    overfilled = sum(run.overfilled for run in runs)
    return f"{late:.3f} / {other:.2f} / {most} / {overfilled}"
