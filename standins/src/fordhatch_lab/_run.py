"""Runs an experiment in virtual time."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

import attrs

from fordhatch.core import TaskSet
from fordhatch_standins import EngineModel, VirtualLoop

from ._experiment import Experiment
from ._lab_load import LabLoad
from ._lab_site import LabSite
from ._measures import Measures
from ._outage_run import run_outage
from ._store_outage import StoreOutage

SAMPLE_INTERVAL_S = 0.5
"""Time between samples of the working groups."""

HEALING_TIMEOUT_S = 20.0
"""Limit on the wait for a lost group to be replaced. Without a free backend server
the former number of groups is never reached again."""


RELEASE_STEP_S = 1.0
"""Time between the steps of a rolling release."""

RELEASE_DRAIN_S = 2.0
"""Time for which an engine drains before a release restarts it."""

T = TypeVar("T")


def run_experiment(experiment: Experiment) -> Measures:
    """Run an experiment; equal settings give the same requests and faults."""
    began_s = time.process_time()
    measures = run_in_virtual_time(_ExperimentRun.of(experiment).run())
    measures.processor_s = time.process_time() - began_s
    return measures


def run_in_virtual_time(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual clock that skips times when all tasks wait."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


@attrs.define(eq=False, repr=False)
class _ExperimentRun:
    """One run of an experiment: load, faults and sampling."""

    experiment: Experiment
    site: LabSite
    measures: Measures = attrs.field(factory=Measures)
    is_over: bool = False
    _healing: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def of(cls, experiment: Experiment) -> _ExperimentRun:
        return cls(experiment, LabSite.create(experiment))

    async def run(self) -> Measures:
        experiment, site = self.experiment, self.site
        await site.start()
        await asyncio.sleep(experiment.warm_up_s)
        site.backends.fleet.is_counting_loads = True
        site.backends.fleet.faults.late_share = experiment.late_orders
        calls = site.store_calls()
        messages, sent = site.network.messages, site.network.payload_bytes
        load = LabLoad(site, site.rng)
        tasks = [asyncio.ensure_future(t) for t in self._tasks()]
        await load.run(experiment.duration_s)
        self.is_over = True
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await self._healing.close()
        measures = self.measures
        measures.outcomes = load.outcomes
        measures.store_calls = site.store_calls() - calls
        measures.peer_messages = site.network.messages - messages
        measures.peer_bytes = site.network.payload_bytes - sent
        measures.violations = site.violations()
        measures.duration_s = experiment.duration_s
        measures.nodes = experiment.nodes
        await site.close()
        return measures

    def _tasks(self) -> list:
        experiment = self.experiment
        tasks = [self._sample()]
        if experiment.loss_every_s:
            tasks.append(self._kill_members(experiment.loss_every_s))
        if experiment.empty_every_s:
            tasks.append(self._add_engines(experiment.empty_every_s))
        if experiment.release_fraction:
            tasks.append(self._roll_release())
        if experiment.dark_domain_at_s:
            tasks.append(self._kill_domain(experiment.dark_domain_at_s))
        if experiment.outage is not None:
            tasks.append(self._run_outage(experiment.outage))
        if experiment.planner_dies_at_s:
            tasks.append(self._kill_planner(experiment.planner_dies_at_s))
        return tasks

    async def _sample(self) -> None:
        fleet = self.site.backends.fleet
        loop = asyncio.get_running_loop()
        while True:
            working = fleet.working_groups()
            self.measures.groups.append((loop.time(), working))
            living = sum(not e.is_dead for e in fleet.engines.values())
            used = sum(n * fleet.models[m].size for m, n in working.items())
            self.measures.stranded.append((loop.time(), living - used))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _kill_members(self, mean_s: float) -> None:
        rng, fleet = self.site.rng, self.site.backends.fleet
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * mean_s)
            grouped = [e for e in fleet.engines.values() if e.place and not e.is_dead]
            if grouped:
                before = sum(fleet.working_groups().values())
                fleet.kill(rng.choice(grouped))
                self._healing.spawn(self._time_healing(before), "healing")

    async def _time_healing(self, before: int) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while loop.time() - began_s < HEALING_TIMEOUT_S and not self.is_over:
            working = sum(self.site.backends.fleet.working_groups().values())
            if working >= before:
                self.measures.healing_s.append(loop.time() - began_s)
                return
            await asyncio.sleep(0.05)

    async def _add_engines(self, mean_s: float) -> None:
        rng = self.site.rng
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * mean_s)
            self.site.add_engine(rng.randrange(self.experiment.domains))

    async def _roll_release(self) -> None:
        """Drain and restart engines with a newer version, a few each second."""
        experiment, fleet = self.experiment, self.site.backends.fleet
        await asyncio.sleep(experiment.release_at_s)
        # The order of a release doesn't depend on the faults of the run.
        rng = random.Random(f"release-{experiment.seed}")
        old = [e for e in fleet.engines.values() if not e.is_dead]
        chosen = rng.sample(old, int(experiment.release_fraction * len(old)))
        fleet.version = "v2"
        loop = asyncio.get_running_loop()
        while chosen:
            for engine in chosen[: experiment.release_batch]:
                if not engine.is_dead:
                    fleet.drain(engine)
                    loop.call_later(RELEASE_DRAIN_S, self._replace, engine)
            del chosen[: experiment.release_batch]
            await asyncio.sleep(RELEASE_STEP_S)

    def _replace(self, engine: EngineModel) -> None:
        if engine.is_dead:
            return
        if not self.experiment.keeps_weights:
            engine.staged.clear()
        self.site.backends.restart_engine(engine)

    async def _run_outage(self, outage: StoreOutage) -> None:
        self.measures.outages.append(await run_outage(self.site, outage))

    async def _kill_domain(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        fleet = self.site.backends.fleet
        for engine in list(fleet.engines.values()):
            if engine.domain == "d0" and not engine.is_dead:
                fleet.kill(engine)

    async def _kill_planner(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        await self.site.kill_planner()
