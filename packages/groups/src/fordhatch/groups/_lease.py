"""The planner's lease: a row with a fencing token that rises with every holder."""

from __future__ import annotations

import attrs

from fordhatch.core import InvariantGuard, Timer, log_event, metrics, new_id
from fordhatch.platform import FieldCheck, Row, TableService, Transaction, VersionCheck

from ._rows import lease_key

CLOCK_RATE_MARGIN = 1.1
"""Covers the difference in rate between two nodes' monotonic clocks."""

SEND_SHARE = 0.7
"""Orders are sent only within this share of the lease's time."""


@attrs.define(eq=False)
class PlannerLease:
    """One node's side of a region's planner lease."""

    region: str
    holder: str
    table: TableService
    timer: Timer
    ttl_s: float
    token: int = 0
    """Fencing token while held; 0 otherwise."""
    guard: InvariantGuard = attrs.field(factory=lambda: InvariantGuard("lease"))
    _version: int = 0
    _valid_until_s: float = float("-inf")
    _renewed_s: float = float("-inf")
    _seen_version: int = -1
    _seen_since_s: float = 0.0
    _highest_token: int = 0

    @property
    def key(self) -> str:
        """Key of the lease row."""
        return lease_key(self.region)

    def held(self) -> bool:
        """Return whether the lease is valid on this node's own clock."""
        return self.token > 0 and self.timer.now_s() < self._valid_until_s

    def may_send(self) -> bool:
        """Return whether enough of the lease is left to send an order."""
        margin_s = self.ttl_s * (1.0 - SEND_SHARE)
        return self.token > 0 and self.timer.now_s() < self._valid_until_s - margin_s

    def check(self) -> FieldCheck:
        """Return the condition that every transaction of the planner carries."""
        return FieldCheck(self.key, "token", self.token)

    async def keep(self) -> bool:
        """Renew the lease, or take it when nobody renews it.

        Returns:
            Whether this node holds the lease.
        """
        if self.token and not self.held():
            self._lose("expired")
        due_s = self._renewed_s + self.ttl_s / 3
        if self.token and self.timer.now_s() < due_s:
            return True
        read = await self.table.read([self.key])
        if read.is_err():
            return self.held()
        row = read.unwrap()[self.key]
        if self.token:
            return await self._renew(row)
        return await self._try_take(row)

    async def _renew(self, row: Row) -> bool:
        if row.value is None or row.value["token"] != self.token:
            self._lose("taken")
            return False
        return await self._write(row, self.token)

    async def _try_take(self, row: Row) -> bool:
        now_s = self.timer.now_s()
        if row.version != self._seen_version:
            self._seen_version, self._seen_since_s = row.version, now_s
        free = row.value is None or row.value["holder"] == ""
        unchanged_s = now_s - self._seen_since_s
        if not free and unchanged_s < self.ttl_s * CLOCK_RATE_MARGIN:
            return False
        token = int(row.value["token"]) + 1 if row.value else 1
        return await self._write(row, token)

    async def _write(self, row: Row, token: int) -> bool:
        write_id = new_id("lease")
        sent_s = self.timer.now_s()
        value = {"holder": self.holder, "token": token, "write_id": write_id}
        transaction = Transaction(
            (VersionCheck(self.key, row.version),), {self.key: value}
        )
        done = await self.table.transact(transaction)
        if done.is_ok() and not done.unwrap().committed:
            if self.token:
                self._lose("conflict")
            return False
        if done.is_err():
            read = await self.table.read([self.key])
            if read.is_err():
                return self.held()
            found = read.unwrap()[self.key]
            if found.value is None or found.value["write_id"] != write_id:
                return self.held()
        self._gain(token, sent_s)
        return self.held()

    def _gain(self, token: int, sent_s: float) -> None:
        if token != self.token:
            rises = token > self._highest_token
            self.guard.check(rises, "fencing_token_rises", token=token)
            log_event("planner_lease_taken", region=self.region, token=token)
        self.token, self._highest_token = token, token
        self._renewed_s, self._valid_until_s = sent_s, sent_s + self.ttl_s
        metrics.PLANNER_LEADER.set(1)

    def _lose(self, reason: str) -> None:
        log_event(
            "planner_lease_lost", region=self.region, token=self.token, reason=reason
        )
        self.token = 0
        self._valid_until_s = float("-inf")
        metrics.PLANNER_LEADER.set(0)

    async def release(self) -> None:
        """Give the lease back, so that a successor need not wait for it to lapse."""
        if not self.token:
            return
        read = await self.table.read([self.key])
        if read.is_ok():
            row = read.unwrap()[self.key]
            if row.value is not None and row.value["token"] == self.token:
                value = {**row.value, "holder": "", "write_id": new_id("lease")}
                check = VersionCheck(self.key, row.version)
                await self.table.transact(Transaction((check,), {self.key: value}))
        self._lose("released")
