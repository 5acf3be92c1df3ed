"""Every node's copy of the group rows, by region; it never goes back."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from typing import Any

import attrs

from fordhatch.core import InvariantGuard, log_event
from fordhatch.platform import Row, TableService
from fordhatch.protocol.messages import GroupsReply

from ._rows import DISSOLVED, GroupRow, group_prefix

DISSOLVED_KEPT = 256
"""Dissolved rows of a region kept to answer nodes that are behind."""


@attrs.define(eq=False)
class GroupMap:
    """The groups of every region, as far as this node has heard."""

    generations: dict[str, int] = attrs.field(factory=dict)
    rows: dict[str, GroupRow] = attrs.field(factory=dict)
    guard: InvariantGuard = attrs.field(factory=lambda: InvariantGuard("groups"))
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change."""
        self._subscribers.append(callback)

    def adopt(
        self,
        region: str,
        generation: int,
        rows: Iterable[GroupRow],
        present: Container[str] | None = None,
    ) -> bool:
        """Take all rows of a region that changed since the generation held.

        Args:
            region: The region.
            generation: The newest generation that ``rows`` include.
            rows: Changed rows; older ones than those held are ignored.
            present: Every group of the region that is not dissolved, where known:
                the row that dissolved a group may have been deleted meanwhile.

        Returns:
            Whether anything was new.
        """
        if generation <= self.generations.get(region, 0):
            return False
        for row in rows:
            held = self.rows.get(row.group_id)
            if held is None or row.generation > held.generation:
                self._replace(held, row)
        self.generations[region] = generation
        if present is not None:
            self._drop_absent(region, present)
        self._forget_dissolved(region)
        self._check_one_group_each()
        for callback in self._subscribers:
            callback()
        return True

    def _replace(self, held: GroupRow | None, row: GroupRow) -> None:
        rises = held is None or row.epoch >= held.epoch
        if self.guard.check(rises, "group_epoch_rises", group=row.group_id):
            self.rows[row.group_id] = row

    def _drop_absent(self, region: str, present: Container[str]) -> None:
        for row in list(self.rows.values()):
            held = row.region == region and row.state != DISSOLVED
            if held and row.group_id not in present:
                del self.rows[row.group_id]

    def _forget_dissolved(self, region: str) -> None:
        dissolved = [
            row
            for row in self.rows.values()
            if row.region == region and row.state == DISSOLVED
        ]
        dissolved.sort(key=lambda row: -row.generation)
        for row in dissolved[DISSOLVED_KEPT:]:
            del self.rows[row.group_id]

    def _check_one_group_each(self) -> None:
        seen: dict[str, str] = {}
        for row in self.present():
            for member in row.members:
                other = seen.setdefault(member.instance_id, row.group_id)
                self.guard.check(
                    other == row.group_id,
                    "instance_in_one_group",
                    instance=member.instance_id,
                    groups=f"{other},{row.group_id}",
                )

    def present(self) -> list[GroupRow]:
        """Return the groups that are not dissolved."""
        return [row for row in self.rows.values() if row.state != DISSOLVED]

    def of_service(self, service: str) -> list[GroupRow]:
        """Return the groups that may serve a service."""
        return [r for r in self.rows.values() if r.service == service and r.serves]

    def changed_after(self, region: str, generation: int) -> GroupsReply:
        """Return the message that brings another node up to date."""
        rows = [
            row.to_value()
            for row in self.rows.values()
            if row.region == region and row.generation > generation
        ]
        present = [r.group_id for r in self.present() if r.region == region]
        return GroupsReply(region, self.generations.get(region, 0), rows, present)

    def adopt_reply(self, reply: GroupsReply) -> bool:
        """Take another node's answer."""
        rows = [GroupRow.from_value(value) for value in reply.rows]
        return self.adopt(reply.region, reply.generation, rows, reply.present)

    async def observe_head(self, table: TableService, region: str, head: Row) -> bool:
        """Take a head row just read from the store and read what changed.

        Args:
            table: The table service.
            region: The head's region.
            head: The head row.

        Returns:
            Whether anything was new.
        """
        if head.value is None:
            return False
        generation = int(head.value["generation"])
        held = self.generations.get(region, 0)
        if generation <= held:
            return False
        changes: list[Any] = head.value["changes"]
        covered = bool(changes) and int(changes[0][0]) <= held + 1
        prefix = group_prefix(region)
        if covered:
            names = {name for number, name in changes if int(number) > held}
            read = await table.read([prefix + name for name in sorted(names)])
            found = read.map(lambda rows: list(rows.values()))
        else:
            found = await table.scan(prefix)
        if found.is_err():
            return False
        rows = [GroupRow.from_value(r.value) for r in found.unwrap() if r.value]
        log_event("groups_read", region=region, generation=generation, rows=len(rows))
        present = None
        if not covered:
            present = {row.group_id for row in rows if row.state != DISSOLVED}
        # Rows may be newer than the head that was read; claiming only the head's
        # generation makes the next read fetch them again, which is harmless.
        return self.adopt(region, generation, rows, present)
