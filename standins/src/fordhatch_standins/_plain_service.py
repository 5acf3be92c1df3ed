"""Plain service, which is not a model engine, in memory."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter

import attrs

from fordhatch.adapter import BACKENDS_TABLE

from ._calls import BackendCall, CutOff, NotExecuted, SlotQueue
from ._entries import backend_entry
from ._stand_still import StandStill
from ._store_model import StoreModel

_UNAVAILABLE, _MISDIRECTED = 503, 421


@attrs.define(eq=False, repr=False)
class PlainService:
    """One backend server of a plain service."""

    backend_id: str
    service: str
    address: str
    store: StoreModel
    rng: random.Random
    runs: Counter[str]
    """Number of runs of each request, by its id, over the whole service."""
    contents: Counter[str]
    """Number of runs by the digest of the request's content."""
    zone: str = "z1"
    slots: int = 6
    queue: int = 24
    work_s: float = 0.05
    is_dead: bool = False
    running: int = 0
    lost_share: float = 0.0
    """Fraction of the requests that run but whose answer is lost."""
    refuses: bool = False
    """Whether every request is refused without being run."""
    stand_still: StandStill = attrs.field(factory=StandStill)
    _slot_queue: SlotQueue = attrs.field(factory=SlotQueue)

    def register(self, state: str = "ready") -> None:
        """Write the backend server's entry to the store."""
        entry = backend_entry(
            self.service, self.address, zone=self.zone, slots=self.slots, state=state
        )
        self.store.put(BACKENDS_TABLE, self.backend_id, entry)

    async def serve(self, call: BackendCall) -> bytes:
        """Return the body of a request's answer.

        Raises:
            NotExecuted: If the request has not run and will not run.
            CutOff: If the connection closes without an answer.
        """
        if self.is_dead:
            raise CutOff
        if call.backend_id != self.backend_id:
            raise NotExecuted(_MISDIRECTED, self.backend_id)
        if self.refuses or len(self._slot_queue) >= self.queue:
            raise NotExecuted(_UNAVAILABLE)
        if self.running >= self.slots:
            await self._slot_queue.wait(call.urgency)
        self.running += 1
        try:
            self.runs[call.request_id] += 1
            self.contents[call.digest] += 1
            await asyncio.sleep(self.work_s * self.rng.uniform(0.5, 1.5))
            await self.stand_still.wait()
            if self.is_dead or self.rng.random() < self.lost_share:
                raise CutOff
            answer = {"path": call.target.partition("?")[0], "body": call.digest}
            return json.dumps(answer).encode()
        finally:
            self.running -= 1
            self._slot_queue.wake_first()
