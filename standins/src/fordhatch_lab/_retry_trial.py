"""Trial of the retry budget of all nodes while engines reject most requests."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from itertools import pairwise

import attrs

from fordhatch_standins import CutKind, RetryWindow

from ._experiment import Experiment
from ._lab_load import LabLoad
from ._lab_site import RETRY_RULE, LabNode, LabSite
from ._measures import Outcome
from ._run import run_in_virtual_time

USE_UP_S = 12.0
"""Time under need before the first disturbance: longer than the budget's window."""

AFTER_S = 12.0
"""Time under need after the last restart."""


@attrs.frozen
class RestartSeries:
    """Restarts of nodes in series."""

    times: int = 1
    every_s: float = 2.0
    """Time from one restart to the next one."""
    share: float = 1.0
    """Fraction of the nodes that end each time, in turn."""
    is_graceful: bool = False
    """Whether nodes finish their requests and withdraw, as on SIGTERM."""
    down_s: float = 0.6
    """Time from the end of a process until its successor starts."""
    is_replaced: bool = False
    """Whether the successors have other names and addresses."""

    @property
    def duration_s(self) -> float:
        """Time from the first restart until the last one."""
        return self.times * self.every_s


@attrs.frozen
class RetryTrial:
    """Settings of one trial."""

    restarts: tuple[RestartSeries, ...] = ()
    """Series of restarts that begin at the same time."""
    shed_share: float = 0.6
    """Fraction of the requests that engines reject."""
    need_s: float = 0.0
    """How long they do so; 0 for all the time."""
    quiet_s: float = 2.0
    """Time without need after the beginning of the load."""
    use_up_s: float = USE_UP_S
    """Time from the beginning of the need until the first disturbance."""
    after_s: float = AFTER_S
    outage_s: float = 0.0
    """How long the store is down from the first disturbance on; 0 for no outage."""
    added_nodes: int = 0
    """Nodes that are added at the first disturbance."""
    store_cut_nodes: int = 0
    """Nodes that the store turns away from the first disturbance on."""
    links_cut_nodes: int = 0
    """Nodes whose links to all engines are cut from then on."""
    isolated_nodes: int = 0
    """Nodes that the store turns away and that reach no other node, from then on."""
    crowded_share: float = 0.0
    """Fraction of the requests that go to one node."""
    nodes: int = 7
    domains: int = 6
    load: float = 1.0
    seed: int = 1


@attrs.frozen
class RetryFigures:
    """What one trial showed."""

    worst: RetryWindow
    """The window in which the largest share of the budget was used."""
    used_share: float
    """Mean share of the budget that was used in the windows with need throughout."""
    after_share: float
    """Used share of the window that ends ten seconds after the last restart."""
    asked: int
    served: int
    """Requests that were served at the first attempt."""
    violations: list[str]


def play_retries(trial: RetryTrial) -> RetryFigures:
    """Run one trial in virtual time; equal settings give equal figures."""
    return run_in_virtual_time(_RetryRun.of(trial).run())


@attrs.define(eq=False, repr=False)
class _RetryRun:
    trial: RetryTrial
    site: LabSite
    load: LabLoad
    need_s: float = 0.0
    """When the engines begin to reject requests."""
    last_restart_s: float = 0.0
    _turn: int = 0

    @classmethod
    def of(cls, trial: RetryTrial) -> _RetryRun:
        experiment = Experiment(
            nodes=trial.nodes,
            domains=trial.domains,
            seed=trial.seed,
            load=trial.load,
            is_revocation_strict=False,
        )
        site = LabSite.create(experiment)
        return cls(trial, site, LabLoad(site, site.rng))

    async def run(self) -> RetryFigures:
        trial, site = self.trial, self.site
        await site.start()
        await asyncio.sleep(site.experiment.warm_up_s)
        if trial.crowded_share:
            self.load.crowded = site.nodes[0]
            self.load.crowded_share = trial.crowded_share
        longest_s = max((s.duration_s for s in trial.restarts), default=0.0)
        duration_s = trial.quiet_s + trial.use_up_s + longest_s + trial.after_s
        play = asyncio.ensure_future(self.load.run(duration_s))
        await asyncio.sleep(trial.quiet_s)
        self.need_s = self._now_s()
        site.backends.shed_share = trial.shed_share
        if trial.need_s:
            loop = asyncio.get_running_loop()
            loop.call_later(trial.need_s, self._end_need)
        await asyncio.sleep(trial.use_up_s)
        await self._disturb()
        await play
        figures = self._figures()
        await site.close()
        return figures

    def _end_need(self) -> None:
        self.site.backends.shed_share = 0.0

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _disturb(self) -> None:
        trial, site = self.trial, self.site
        faults = site.store.faults
        self.last_restart_s = self._now_s()
        cut = [n.name for n in site.nodes[: trial.store_cut_nodes]]
        isolated = site.nodes[len(site.nodes) - trial.isolated_nodes :]
        addresses = {n.node.settings.peer_address for n in isolated}
        faults.turned_away = {*cut, *(n.name for n in isolated)}
        site.network.cut = lambda a, b: a in addresses or b in addresses
        for one in site.nodes[: trial.links_cut_nodes]:
            one.links.cut(CutKind.RESET)
        for _ in range(trial.added_nodes):
            await site.add_node()
        async with asyncio.TaskGroup() as tasks:
            if trial.outage_s:
                tasks.create_task(self._lose_store())
            for series in trial.restarts:
                tasks.create_task(self._restart(series))

    async def _lose_store(self) -> None:
        self.site.store.faults.is_down = True
        await asyncio.sleep(self.trial.outage_s)
        self.site.store.faults.is_down = False

    async def _restart(self, series: RestartSeries) -> None:
        """Restart nodes in turn, also while earlier ones are still down."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(series.times):
                for one in self._next_nodes(series.share):
                    tasks.create_task(self._restart_node(one, series))
                await asyncio.sleep(series.every_s)

    def _next_nodes(self, share: float) -> list[LabNode]:
        nodes = sorted(self.site.nodes, key=lambda n: n.name)
        count = min(math.ceil(share * self.trial.nodes), len(nodes))
        first, self._turn = self._turn, self._turn + count
        return [nodes[(first + i) % len(nodes)] for i in range(count)]

    async def _restart_node(self, one: LabNode, series: RestartSeries) -> None:
        if one not in self.site.nodes:
            # It has just ended in another series.
            return
        if series.is_graceful:
            await self.site.stop(one)
        else:
            await self.site.kill(one)
        await asyncio.sleep(series.down_s)
        if series.is_replaced:
            await self.site.add_node()
        else:
            await self.site.start_again(one)
        self.last_restart_s = self._now_s()

    def _figures(self) -> RetryFigures:
        ledger = self.site.backends.retries
        windows = list(ledger.windows(RETRY_RULE))
        full = [w for w in windows if w.began_s >= self.need_s]
        after_s = self.last_restart_s
        after = [w for w in full if after_s - 1.0 <= w.began_s <= after_s + 1.0]
        outcomes: Sequence[Outcome] = self.load.outcomes
        asked = [o for o in outcomes if o.asked_s >= self.need_s]
        return RetryFigures(
            ledger.worst(RETRY_RULE),
            _mean_by_time(full),
            _mean_by_time(after),
            len(asked),
            sum(o.is_first_served for o in asked),
            self.site.violations(),
        )


def _mean_by_time(windows: Sequence[RetryWindow]) -> float:
    """Return the mean share over time, not over the arrivals that end windows."""
    if len(windows) < 2:  # noqa: PLR2004
        return 0.0
    began = sorted(windows, key=lambda w: w.began_s)
    total = sum((b.began_s - a.began_s) * a.share for a, b in pairwise(began))
    return total / (began[-1].began_s - began[0].began_s)
