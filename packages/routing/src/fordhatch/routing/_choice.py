"""Choice of a group for a request: the policy and the baselines it must beat."""

from __future__ import annotations

import random
from typing import Protocol

import attrs

from fordhatch.groups import GroupRow
from fordhatch.membership import rendezvous_rank

LOAD_BOUND = 1.25
"""A group with more than this share of the mean load gets no affine requests."""

BOUND_SLACK = 2.0
"""Requests that a group may have above the bound, so that light loads stay put."""


class Loads(Protocol):
    """What a chooser knows of the load of groups."""

    def load(self, group_id: str) -> float:
        """Return what the next request would meet at a group; 1 where it is idle."""
        ...


class GroupChooser(Protocol):
    """Chooses among the groups that may serve a request."""

    def choose(self, groups: list[GroupRow], prefix_key: str, loads: Loads) -> GroupRow:
        """Return one of ``groups``, which is not empty."""
        ...


@attrs.define
class AffinityChooser:
    """Prefix affinity with bounded load, then the better of two."""

    rng: random.Random

    def choose(self, groups: list[GroupRow], prefix_key: str, loads: Loads) -> GroupRow:
        """See ``GroupChooser.choose``."""
        by_id = {g.group_id: g for g in groups}
        mean = sum(loads.load(g) for g in by_id) / len(by_id)
        bound = LOAD_BOUND * mean + BOUND_SLACK
        preferred = rendezvous_rank(prefix_key, by_id)[:2]
        for group_id in preferred:
            if loads.load(group_id) <= bound:
                return by_id[group_id]
        return _better_of_two(groups, loads, self.rng)


@attrs.define
class TwoChoicesChooser:
    """Baseline: the less loaded of two groups drawn at random."""

    rng: random.Random

    def choose(self, groups: list[GroupRow], prefix_key: str, loads: Loads) -> GroupRow:
        """See ``GroupChooser.choose``."""
        return _better_of_two(groups, loads, self.rng)


@attrs.define
class RandomChooser:
    """Baseline: any group."""

    rng: random.Random

    def choose(self, groups: list[GroupRow], prefix_key: str, loads: Loads) -> GroupRow:
        """See ``GroupChooser.choose``."""
        return self.rng.choice(groups)


@attrs.define
class RoundRobinChooser:
    """Baseline: one group after the other."""

    rng: random.Random
    _next: int = 0

    def choose(self, groups: list[GroupRow], prefix_key: str, loads: Loads) -> GroupRow:
        """See ``GroupChooser.choose``."""
        self._next += 1
        return sorted(groups, key=lambda g: g.group_id)[self._next % len(groups)]


@attrs.define
class LeastLoadedChooser:
    """Baseline: the group with the least load known to this node."""

    rng: random.Random

    def choose(self, groups: list[GroupRow], prefix_key: str, loads: Loads) -> GroupRow:
        """See ``GroupChooser.choose``."""
        return min(groups, key=lambda g: (loads.load(g.group_id), g.group_id))


def _better_of_two(
    groups: list[GroupRow], loads: Loads, rng: random.Random
) -> GroupRow:
    pair = rng.sample(groups, min(2, len(groups)))
    return min(pair, key=lambda g: loads.load(g.group_id))


CHOOSERS = {
    "affinity": AffinityChooser,
    "two-choices": TwoChoicesChooser,
    "random": RandomChooser,
    "round-robin": RoundRobinChooser,
    "least-loaded": LeastLoadedChooser,
}
"""Every chooser by name."""
