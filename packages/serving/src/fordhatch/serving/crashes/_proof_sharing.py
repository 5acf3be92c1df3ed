"""Tells other nodes which suspected parts of prompts crash no backend server."""

from __future__ import annotations

import attrs

from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SharedRows

from ._crash_row_writer import CrashRowWriter
from ._quarantine import Quarantine

NODE_DELAY_S = 0.01
"""Mean of the time between two nodes that tell of the same proof, in seconds. The row
of the first one arrives at most others before their turn."""


@attrs.define(eq=False, repr=False)
class ProofSharing:
    """Writes rows about the proofs that this node has and the store lacks."""

    node_name: str
    timer: Timer
    shared: SharedRows
    row_writer: CrashRowWriter
    quarantine: Quarantine
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _is_waiting: bool = False

    def share(self) -> None:
        """Tell of the proofs of suspected parts, if there are new ones.

        Several nodes may have the same ones. Each waits for a random time, in which the
        row of another one may arrive.
        """
        if self._is_waiting or not self._unshared():
            return
        self._is_waiting = True
        self._tasks.spawn(self._share_later(), "share-proofs")

    async def _share_later(self) -> None:
        most_s = NODE_DELAY_S * max(len(self.shared.nodes), 1)
        try:
            await self.timer.sleep(self.timer.rng.uniform(0.0, most_s))
        finally:
            self._is_waiting = False
        parts = self._unshared()
        if parts:
            log_event("parts_proven", parts=",".join(parts))
            self.row_writer.put_proofs(parts, self.node_name)

    def _unshared(self) -> list[str]:
        suspected = sorted(self.quarantine.suspected_parts())
        return self.quarantine.proofs.unshared(suspected)

    async def close(self) -> None:
        """Cancel what waits."""
        await self._tasks.close()
