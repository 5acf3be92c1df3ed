"""Permits: short-lived proofs that all members of a group are present."""

from __future__ import annotations

import attrs

from fordhatch.core import InvariantGuard, Timer, log_event, metrics

from ._rows import GroupRow
from ._view import READY


@attrs.frozen
class Permit:
    """Allows this node to send new work to a group for a short time."""

    group_id: str
    epoch: int
    expires_s: float
    """On this node's monotonic clock, counted from before the probe was sent."""


@attrs.define(eq=False)
class PermitBook:
    """The permits that this node holds, each proved by its own probes."""

    timer: Timer
    permit_s: float
    guard: InvariantGuard = attrs.field(factory=lambda: InvariantGuard("permits"))
    _permits: dict[str, Permit] = attrs.field(factory=dict)

    def renew(self, row: GroupRow, states: dict[str, str], sent_s: float) -> bool:
        """Issue or withdraw the permit of a group after a round of probes.

        Args:
            row: The group as this node knows it.
            states: State of each member.
            sent_s: When the first probe of the round was sent.

        Returns:
            Whether the permit is valid now.
        """
        complete = len(states) == row.size and all(s == READY for s in states.values())
        if not (complete and row.serves):
            self.withdraw(row.group_id)
            return False
        self._issue(row, states, sent_s)
        return self.valid(row.group_id, row.epoch)

    def _issue(self, row: GroupRow, states: dict[str, str], sent_s: float) -> None:
        present = {m.instance_id for m in row.members} == set(states)
        if not self.guard.check(present, "permit_all_present", group=row.group_id):
            return
        held = self._permits.get(row.group_id)
        if held is None or held.epoch != row.epoch:
            log_event("permit_issued", group=row.group_id, epoch=row.epoch)
        expires_s = sent_s + self.permit_s
        self._permits[row.group_id] = Permit(row.group_id, row.epoch, expires_s)
        metrics.PERMITS.set(len(self._permits))

    def withdraw(self, group_id: str) -> None:
        """End a group's permit at once."""
        held = self._permits.pop(group_id, None)
        if held is not None:
            log_event("permit_withdrawn", group=group_id, epoch=held.epoch)
            metrics.PERMITS.set(len(self._permits))

    def valid(self, group_id: str, epoch: int) -> bool:
        """Return whether new work may be sent to a group now."""
        held = self._permits.get(group_id)
        return (
            held is not None
            and held.epoch == epoch
            and self.timer.now_s() < held.expires_s
            and not self.guard.tripped
        )

    def held(self) -> list[str]:
        """Return the groups with a valid permit."""
        return [
            p.group_id
            for p in self._permits.values()
            if self.valid(p.group_id, p.epoch)
        ]
