"""Notices the end of a cut, and keeps nodes in touch known while it lasts."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.core import TaskSet, Timer
from fordhatch.registry import BackendContact, BackendProber, StoreView

from ._relay_peers import RelayPeers

RECHECK_INTERVAL_S = 0.4
"""Time between attempts to reach a service that is out of reach. Requests go through
other nodes meanwhile and would not show that the links are back."""


@attrs.define(eq=False, repr=False)
class ContactUpkeep:
    """Probes one backend server of each service that this node does not reach."""

    view: StoreView
    contact: BackendContact
    prober: BackendProber
    peers: RelayPeers
    timer: Timer
    _cut: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Begin to check whenever a service is out of reach."""
        self.contact.subscribe(self._cut.set)
        run = self.timer.supervise(self._run, name="contact")
        self._tasks.spawn(run, "contact")

    async def _run(self) -> None:
        while True:
            await self._cut.wait()
            while self.contact.is_any_cut_off():
                await self._check()
                await self.timer.sleep(RECHECK_INTERVAL_S)
            self._cut.clear()

    async def _check(self) -> None:
        configuration = self.view.configuration.current
        if configuration is None:
            return
        cut = [s for s in configuration.services if self.contact.is_cut_off(s)]
        await asyncio.gather(*(self._check_service(service) for service in cut))

    async def _check_service(self, service: str) -> None:
        backends = self.view.directory.of_service(service)
        if backends:
            backend = self.timer.rng.choice(backends)
            await asyncio.gather(
                self.prober.reach(backend), self.peers.refresh(service)
            )

    async def close(self) -> None:
        """Stop checking."""
        await self._tasks.close()
