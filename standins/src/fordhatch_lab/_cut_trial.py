"""Trial of nodes whose links to all engines are cut while callers still reach them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from enum import Enum

import attrs

from fordhatch_standins import CutKind

from ._experiment import Experiment
from ._lab_load import LabLoad
from ._lab_site import LabNode, LabSite
from ._measures import Outcome
from ._run import run_in_virtual_time

LOAD_BEFORE_S = 3.0
"""Time under load before the cut begins."""

SETTLED_S = 3.0
"""Time from the beginning of the cut on which first attempts are compared."""

LOAD_AFTER_S = 3.0
"""Time under load after the end of the cut."""


class CutNodes(Enum):
    """Which nodes are cut off."""

    ONE = "one"
    """One node that does not plan."""
    THIRD = "third"
    """A third of the nodes, not the planner's."""
    ZONE = "zone"
    """All nodes of one availability zone."""
    ALL_BUT_ONE = "all_but_one"
    """All nodes but one, which does not plan."""
    PLANNER = "planner"
    """The planner's node alone."""


@attrs.frozen
class CutTrial:
    """Settings of one trial."""

    cut: CutNodes = CutNodes.THIRD
    kind: CutKind = CutKind.RESET
    cut_s: float = 8.0
    """How long the cut lasts."""
    flap_s: float = 0.0
    """Time after which the links work or fail again during the cut; 0 for never."""
    follows_readiness: bool = False
    """Whether callers avoid nodes that say that they are not ready."""
    nodes: int = 8
    domains: int = 6
    seed: int = 1


@attrs.frozen
class FirstAttempts:
    """First attempts of callers, and those that were served."""

    asked: int
    served: int

    @classmethod
    def from_outcomes(cls, outcomes: Sequence[Outcome]) -> FirstAttempts:
        """Count the first attempts of some requests."""
        return cls(len(outcomes), sum(o.is_first_served for o in outcomes))

    @property
    def share(self) -> float:
        """Served share; 1 if there was none."""
        return self.served / self.asked if self.asked else 1.0


@attrs.frozen
class CutFigures:
    """What one trial showed."""

    at_cut: FirstAttempts
    """First attempts at the nodes that were cut off, while the cut had settled."""
    at_others: FirstAttempts
    """First attempts at the other nodes at the same time."""
    onset: FirstAttempts
    """First attempts at all nodes between the beginning of the cut and then."""
    after: FirstAttempts
    """First attempts at all nodes from one second after the end of the cut on."""
    worth: float
    """Earned share of the possible credit, from the beginning of the cut on."""
    lost_groups: int
    """Groups that were open before the cut and were dissolved."""
    peer_bytes: int
    violations: list[str]

    @property
    def is_even(self) -> bool:
        """Whether callers of the nodes that were cut off were served like others."""
        asked = self.at_cut.asked + self.at_others.asked
        failed = asked - self.at_cut.served - self.at_others.served
        is_low = 3 * self.at_cut.share < 2 * self.at_others.share
        return not (is_low and failed > 10 + asked / 50)


def play_cut(trial: CutTrial) -> CutFigures:
    """Run one trial in virtual time; equal settings give equal figures."""
    return run_in_virtual_time(_CutRun.of(trial).run())


@attrs.define(eq=False, repr=False)
class _CutRun:
    trial: CutTrial
    site: LabSite
    began_s: float = 0.0
    ended_s: float = 0.0

    @classmethod
    def of(cls, trial: CutTrial) -> _CutRun:
        experiment = Experiment(
            nodes=trial.nodes, domains=trial.domains, seed=trial.seed
        )
        return cls(trial, LabSite.create(experiment))

    async def run(self) -> CutFigures:
        site, trial = self.site, self.trial
        await site.start()
        await asyncio.sleep(site.experiment.warm_up_s)
        load = LabLoad(site, site.rng, follows_readiness=trial.follows_readiness)
        duration_s = LOAD_BEFORE_S + trial.cut_s + LOAD_AFTER_S
        play = asyncio.ensure_future(load.run(duration_s))
        await asyncio.sleep(LOAD_BEFORE_S)
        groups = self._open_groups()
        sent = site.network.payload_bytes
        cut = self._cut_nodes()
        self.began_s = asyncio.get_running_loop().time()
        await self._cut(cut)
        self.ended_s = asyncio.get_running_loop().time()
        await play
        lost = groups - self._open_groups()
        figures = self._figures(load.outcomes, {n.name for n in cut}, len(lost), sent)
        await site.close()
        return figures

    def _open_groups(self) -> set[tuple[str, int]]:
        engines = self.site.backends.fleet.engines.values()
        return {
            (e.place.group, e.place.epoch)
            for e in engines
            if e.place is not None and e.place.rank == 0 and e.place.state == "open"
        }

    def _cut_nodes(self) -> list[LabNode]:
        planner = self.site.planner()
        others = [n for n in self.site.nodes if n is not planner]
        match self.trial.cut:
            case CutNodes.ONE:
                return others[:1]
            case CutNodes.THIRD:
                return others[: max(len(self.site.nodes) // 3, 1)]
            case CutNodes.ZONE:
                return [n for n in self.site.nodes if n.node.settings.zone == "z0"]
            case CutNodes.ALL_BUT_ONE:
                return [n for n in self.site.nodes if n is not others[-1]]
            case CutNodes.PLANNER:
                return [planner] if planner is not None else []

    async def _cut(self, nodes: Sequence[LabNode]) -> None:
        """Cut the links of some nodes, and restore them at the end."""
        trial, loop = self.trial, asyncio.get_running_loop()
        end_s = loop.time() + trial.cut_s
        is_cut = False
        while loop.time() < end_s:
            is_cut = not is_cut
            for one in nodes:
                one.links.kind = trial.kind if is_cut else None
            left_s = end_s - loop.time()
            await asyncio.sleep(min(trial.flap_s or left_s, left_s))
        for one in nodes:
            one.links.restore()

    def _figures(
        self, outcomes: Sequence[Outcome], cut: set[str], lost: int, sent: int
    ) -> CutFigures:
        settled_s = self.began_s + SETTLED_S
        during = [o for o in outcomes if settled_s <= o.asked_s < self.ended_s]
        later = [o for o in outcomes if o.asked_s >= self.began_s]
        return CutFigures(
            FirstAttempts.from_outcomes([o for o in during if o.node_name in cut]),
            FirstAttempts.from_outcomes([o for o in during if o.node_name not in cut]),
            FirstAttempts.from_outcomes([o for o in later if o.asked_s < settled_s]),
            FirstAttempts.from_outcomes(
                [o for o in later if o.asked_s >= self.ended_s + 1.0]
            ),
            sum(o.credit() for o in later) / sum(o.kind.worth for o in later),
            lost,
            self.site.network.payload_bytes - sent,
            self.site.violations(),
        )
