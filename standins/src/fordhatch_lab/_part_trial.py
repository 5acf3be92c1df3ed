"""Trial of parts of prompts that crash each engine that begins to run a request."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import attrs

from fordhatch.core import ResultCode
from fordhatch_standins import KNOWN_CRASHES, SETTLED_S, CutKind

from ._experiment import CLASSES, Experiment
from ._lab_load import LabLoad
from ._lab_site import LabSite
from ._measures import Outcome
from ._run import run_in_virtual_time

KIND = CLASSES[1]
"""Class of all requests of a trial."""

SHARED = "shared"
"""The part that all requests have."""


@attrs.frozen
class PartTrial:
    """Settings of one trial."""

    bad_per_s: float = 2.0
    """Requests with a bad part, in requests per second; no two are alike."""
    bad_parts: int = 1
    is_first: bool = False
    """Whether the bad part is the first one, before the part that all share."""
    companion_share: float = 0.0
    """Fraction of the bad requests that also have a document of sound ones."""
    burst: int = 1
    """Bad requests that arrive at the same time, each at a random node."""
    sound_per_s: float = 8.0
    documents: int = 4
    """Parts of which each sound request has one, behind the part that all have."""
    duration_s: float = 30.0
    quiet_s: float = 3.0
    """Time with sound requests only, before the first bad one."""
    loss_every_s: float = 0.0
    """Time between crashes of random engines under load, for no request's sake; 0 for
    none."""
    restart_all_at_s: float = 0.0
    """When all nodes are restarted at once, after the first bad request; 0 for
    never."""
    outage_at_s: float = 0.0
    """When the store is down for six seconds; 0 for never."""
    lengthless_share: float = 0.0
    """Fraction of the streams that have no chunks and end with their connection."""
    cut_nodes: int = 0
    """Nodes whose links to all engines are cut for the whole trial."""
    nodes: int = 8
    domains: int = 6
    seed: int = 1


OUTAGE_S = 6.0
"""Duration of an outage of the store in a trial."""


@attrs.frozen
class PartFigures:
    """What one trial showed."""

    crashes: int
    """Engines that crashed under bad parts."""
    late_arrivals: int
    """Most requests with one bad part that reached engines too late."""
    bad_refused: int
    """Bad requests that were refused as quarantined."""
    sound: int
    sound_whole: int
    """Sound requests that were served at the first attempt."""
    settled: int
    """Sound requests from twice ``SETTLED_S`` after the fifth crash on."""
    settled_whole: int
    sound_refused: int
    """Sound requests that were refused as quarantined: false positives."""
    violations: list[str]

    @property
    def share(self) -> float:
        """Share of sound requests that were served at the first attempt."""
        return self.sound_whole / self.sound if self.sound else 1.0

    @property
    def settled_share(self) -> float:
        """The same once the nodes are expected to know the bad parts."""
        return self.settled_whole / self.settled if self.settled else 1.0


def play_parts(trial: PartTrial) -> PartFigures:
    """Run one trial in virtual time; equal settings give equal figures."""
    return run_in_virtual_time(_PartRun.of(trial).run())


@attrs.define(eq=False, repr=False)
class _PartRun:
    trial: PartTrial
    site: LabSite
    load: LabLoad
    rng: random.Random
    bad: list[Outcome] = attrs.field(factory=list)
    sound: list[Outcome] = attrs.field(factory=list)
    _count: int = 0

    @classmethod
    def of(cls, trial: PartTrial) -> _PartRun:
        experiment = Experiment(
            nodes=trial.nodes,
            domains=trial.domains,
            seed=trial.seed,
            is_revocation_strict=trial.outage_at_s == 0.0,
        )
        site = LabSite.create(experiment)
        rng = random.Random(f"parts/{trial.seed}")
        site.backends.crashing_parts.names = {
            f"bad{number}" for number in range(trial.bad_parts)
        }
        site.backends.lengthless_share = trial.lengthless_share
        return cls(trial, site, LabLoad(site, rng), rng)

    async def run(self) -> PartFigures:
        site, trial = self.site, self.trial
        await site.start()
        await asyncio.sleep(site.experiment.warm_up_s)
        for one in site.nodes[: trial.cut_nodes]:
            one.links.cut(CutKind.RESET)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_sound())
            tasks.create_task(self._send_bad())
            tasks.create_task(self._lose_engines())
            tasks.create_task(self._restart_nodes())
            tasks.create_task(self._lose_store())
        figures = self._figures()
        await site.close()
        return figures

    async def _send_sound(self) -> None:
        trial = self.trial
        async with asyncio.TaskGroup() as tasks:
            for number in range(round(trial.duration_s * trial.sound_per_s)):
                parts = SHARED, f"document{number % trial.documents}"
                tasks.create_task(self._ask(parts, self.sound))
                await asyncio.sleep(1.0 / trial.sound_per_s)

    async def _send_bad(self) -> None:
        trial = self.trial
        await asyncio.sleep(trial.quiet_s)
        rounds = (trial.duration_s - trial.quiet_s) * trial.bad_per_s / trial.burst
        async with asyncio.TaskGroup() as tasks:
            for _ in range(round(rounds)):
                for _ in range(trial.burst):
                    tasks.create_task(self._ask(self._bad_parts(), self.bad))
                await asyncio.sleep(trial.burst / trial.bad_per_s)

    def _bad_parts(self) -> tuple[str, ...]:
        trial = self.trial
        bad = (f"bad{self.rng.randrange(trial.bad_parts)}",)
        has_companion = self.rng.random() < trial.companion_share
        sound = (SHARED, "document0") if has_companion else (SHARED,)
        return bad + sound if trial.is_first else sound + bad

    async def _ask(self, parts: tuple[str, ...], outcomes: list[Outcome]) -> None:
        self._count += 1
        target = f"/{KIND.name}/{self._count}"
        outcomes.append(await self.load.ask_once(KIND, target, parts))

    async def _lose_engines(self) -> None:
        every_s = self.trial.loss_every_s
        if not every_s:
            return
        for _ in range(int(self.trial.duration_s / every_s)):
            await asyncio.sleep(every_s)
            self._lose_engine()

    def _lose_engine(self) -> None:
        """Crash the busiest head, as a machine that fails under load does."""
        backends = self.site.backends
        heads = [e for e in backends.fleet.engines.values() if e.serves]
        if heads:
            backends.fail(self.rng.choice(heads))

    async def _restart_nodes(self) -> None:
        if self.trial.restart_all_at_s:
            await asyncio.sleep(self.trial.quiet_s + self.trial.restart_all_at_s)
            await self.site.restart_all()

    async def _lose_store(self) -> None:
        if self.trial.outage_at_s:
            await asyncio.sleep(self.trial.quiet_s + self.trial.outage_at_s)
            self.site.store.faults.is_down = True
            await asyncio.sleep(OUTAGE_S)
            self.site.store.faults.is_down = False

    def _figures(self) -> PartFigures:
        backends = self.site.backends
        crashes_s = backends.crash_times_s
        known_s = crashes_s[:KNOWN_CRASHES][-1] if crashes_s else float("inf")
        parts = backends.crashing_parts
        settled = [o for o in self.sound if o.asked_s > known_s + 2.0 * SETTLED_S]
        return PartFigures(
            len(crashes_s),
            max(map(parts.late_arrivals, parts.names)),
            _quarantined(self.bad),
            len(self.sound),
            _served(self.sound),
            len(settled),
            _served(settled),
            _quarantined(self.sound),
            self.site.violations(),
        )


def _served(outcomes: Sequence[Outcome]) -> int:
    return sum(o.is_first_served for o in outcomes)


def _quarantined(outcomes: Sequence[Outcome]) -> int:
    code = ResultCode.REQUEST_QUARANTINED
    return sum(o.refusal is not None and o.refusal.code is code for o in outcomes)
