"""The planner's copy of its region's rows, and the transactions that change them."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.config import HEAD_KEY as CONFIG_HEAD_KEY
from fordhatch.core import (
    Failure,
    InvariantGuard,
    ResultCode,
    log_event,
    new_id,
    structure,
    unstructure,
)
from fordhatch.platform import (
    Check,
    FieldCheck,
    Row,
    TableService,
    Transaction,
    VersionCheck,
)

from ._decisions import (
    Adapt,
    Decision,
    Dissolve,
    Drain,
    Form,
    FormPlain,
    MarkLeaving,
    Repair,
)
from ._rows import (
    ACTIVE,
    DISSOLVED,
    DRAINING,
    MODEL,
    PLAIN,
    GroupRow,
    InstanceRow,
    Member,
    group_prefix,
    head_key,
    instance_prefix,
)
from ._view import InstanceView

DISSOLVED_KEPT = 128
"""Dissolved rows of a region that stay in the table, for nodes that are behind."""

DELETED_AT_ONCE = 4
"""Dissolved rows deleted along with a decision."""

CHANGES_KEPT = 64
"""Changes that the head row names, so that followers need not scan."""


@attrs.define
class Change:
    """The rows that one decision writes."""

    group: GroupRow
    instances: list[InstanceRow] = attrs.field(factory=list)


@attrs.define(eq=False)
class RegionState:
    """Group and instance rows of one region with their versions."""

    region: str
    table: TableService
    generation: int = 0
    groups: dict[str, GroupRow] = attrs.field(factory=dict)
    instances: dict[str, InstanceRow] = attrs.field(factory=dict)
    loaded: bool = False
    guard: InvariantGuard = attrs.field(factory=lambda: InvariantGuard("planner"))
    _versions: dict[str, int] = attrs.field(factory=dict)
    _changes: list[Any] = attrs.field(factory=list)

    async def load(self) -> bool:
        """Read every row of the region.

        Returns:
            Whether all could be read.
        """
        head = await self.table.read([head_key(self.region)])
        groups = await self.table.scan(group_prefix(self.region))
        instances = await self.table.scan(instance_prefix(self.region))
        if head.is_err() or groups.is_err() or instances.is_err():
            return False
        self._versions.clear()
        self._take_head(head.unwrap()[head_key(self.region)])
        self.groups = {}
        for row in groups.unwrap():
            group = GroupRow.from_value(row.value)
            self.groups[group.group_id] = group
            self._versions[row.key] = row.version
        self.instances = {}
        for row in instances.unwrap():
            instance = structure(row.value, InstanceRow)
            self.instances[instance.instance_id] = instance
            self._versions[row.key] = row.version
        self.loaded = True
        return True

    def _take_head(self, row: Row) -> None:
        self._versions[row.key] = row.version
        self.generation = int(row.value["generation"]) if row.value else 0
        self._changes = list(row.value["changes"]) if row.value else []

    async def commit(
        self,
        decision: Decision,
        views: dict[str, InstanceView],
        lease: FieldCheck,
        config_revision: int,
    ) -> Result[GroupRow, Failure]:
        """Write a decision, if nothing it rests on has changed.

        Args:
            decision: What to write.
            views: The instances that it may bind.
            lease: The condition that this planner is still the planner.
            config_revision: The revision that the decision rests on; a planner
                that has not heard of a newer one writes nothing.

        Returns:
            The group row written. After any failure the rows must be loaded anew.
        """
        change = self._change(decision, views)
        transaction, write_id = self._transaction(change, lease, config_revision)
        done = await self.table.transact(transaction)
        if done.is_err():
            done = await self._read_back(write_id, done.unwrap_err())
        elif not done.unwrap().committed:
            keys = ",".join(row.key for row in done.unwrap().conflicts)
            done = Err(Failure.from_code(ResultCode.STORE_CONFLICT, keys))
        if done.is_err():
            self.loaded = False
            return Err(done.unwrap_err())
        if not await self._refresh_versions(transaction):
            self.loaded = False
        self._apply(change)
        return Ok(change.group)

    async def _read_back(self, write_id: str, failure: Failure) -> Result[Any, Failure]:
        read = await self.table.read([head_key(self.region)])
        if read.is_err():
            return Err(failure)
        row = read.unwrap()[head_key(self.region)]
        if row.value is not None and row.value["write_id"] == write_id:
            return Ok(None)
        return Err(failure)

    async def _refresh_versions(self, transaction: Transaction) -> bool:
        read = await self.table.read(list(transaction.puts))
        if read.is_err():
            return False
        for key, row in read.unwrap().items():
            self._versions[key] = row.version
        return True

    def _transaction(
        self, change: Change, lease: FieldCheck, config_revision: int
    ) -> tuple[Transaction, str]:
        write_id = new_id("plan")
        number = self.generation + 1
        changes = [*self._changes, [number, change.group.group_id]][-CHANGES_KEPT:]
        head = {"generation": number, "changes": changes, "write_id": write_id}
        puts: dict[str, dict[str, Any]] = {
            head_key(self.region): head,
            change.group.key: change.group.to_value(),
        }
        for row in change.instances:
            puts[instance_prefix(self.region) + row.instance_id] = unstructure(row)
        checks: list[Check] = [
            VersionCheck(key, self._versions.get(key, 0)) for key in puts
        ]
        deletes = tuple(row.key for row in self._outlived())
        checks.append(lease)
        checks.append(FieldCheck(CONFIG_HEAD_KEY, "revision", config_revision))
        return Transaction(tuple(checks), puts, deletes), write_id

    def _outlived(self) -> list[GroupRow]:
        """Return dissolved rows that nobody needs any more, a few at a time."""
        dissolved = [r for r in self.groups.values() if r.state == DISSOLVED]
        dissolved.sort(key=lambda row: row.generation)
        surplus = len(dissolved) - DISSOLVED_KEPT
        return dissolved[: min(max(surplus, 0), DELETED_AT_ONCE)]

    def _apply(self, change: Change) -> None:
        for row in self._outlived():
            del self.groups[row.group_id]
            self._versions.pop(row.key, None)
        self.generation = change.group.generation
        entry = [change.group.generation, change.group.group_id]
        self._changes = [*self._changes, entry][-CHANGES_KEPT:]
        self.groups[change.group.group_id] = change.group
        for row in change.instances:
            held = self.instances.get(row.instance_id)
            rises = held is None or row.fencing_token > held.fencing_token
            self.guard.check(rises, "fencing_token_rises", instance=row.instance_id)
            self.instances[row.instance_id] = row
        self._check_members(change.group)
        log_event(
            "group_written",
            group=change.group.group_id,
            epoch=change.group.epoch,
            state=change.group.state,
            generation=change.group.generation,
        )

    def _check_members(self, group: GroupRow) -> None:
        if group.state == DISSOLVED:
            return
        for member in group.members:
            row = self.instances.get(member.instance_id)
            bound = row is not None and row.group_id == group.group_id
            self.guard.check(
                bound, "member_row_names_group", instance=member.instance_id
            )

    # One method for each kind of decision.

    @singledispatchmethod
    def _change(self, decision: Any, views: dict[str, InstanceView]) -> Change:
        raise NotImplementedError(type(decision).__name__)

    @_change.register
    def _change_form(self, decision: Form, views: dict[str, InstanceView]) -> Change:
        service = decision.service
        first = views[decision.members[0]].instance
        group = GroupRow(
            group_id=f"{service.name}-{self.generation + 1}",
            region=self.region,
            service=service.name,
            kind=MODEL,
            epoch=1,
            state=ACTIVE,
            generation=self.generation + 1,
            members=[self._member(name, views) for name in decision.members],
            fabric_domain=first.fabric_domain,
            model=service.model,
            version=service.version,
            adapters=service.adapters,
            shard_bytes=decision.shard_bytes,
            max_running=service.max_running,
        )
        return Change(group, self._bind(group))

    @_change.register
    def _change_form_plain(
        self, decision: FormPlain, views: dict[str, InstanceView]
    ) -> Change:
        group = GroupRow(
            group_id=f"{decision.service.name}-{self.generation + 1}",
            region=self.region,
            service=decision.service.name,
            kind=PLAIN,
            epoch=1,
            state=ACTIVE,
            generation=self.generation + 1,
            members=[self._member(decision.instance_id, views)],
            max_running=decision.service.max_running,
        )
        return Change(group, self._bind(group))

    @_change.register
    def _change_repair(
        self, decision: Repair, views: dict[str, InstanceView]
    ) -> Change:
        old = self.groups[decision.group_id]
        members = list(old.members)
        for rank, name in decision.replacements.items():
            members[rank] = self._member(name, views)
        for rank, member in enumerate(members):
            if rank not in decision.replacements:
                # Survivors get a new token too: the epoch of their order changes.
                token = self._next_token(member.instance_id, views)
                members[rank] = attrs.evolve(member, fencing_token=token)
        kept = {m.instance_id for m in members}
        group = attrs.evolve(
            old,
            epoch=old.epoch + 1,
            generation=self.generation + 1,
            members=members,
            leaving=[name for name in old.leaving if name in kept],
        )
        released = [m for m in old.members if m.instance_id not in kept]
        return Change(group, self._bind(group) + self._release(released, views))

    @_change.register
    def _change_dissolve(
        self, decision: Dissolve, views: dict[str, InstanceView]
    ) -> Change:
        old = self.groups[decision.group_id]
        group = attrs.evolve(
            old,
            epoch=old.epoch + 1,
            generation=self.generation + 1,
            state=DISSOLVED,
        )
        return Change(group, self._release(old.members, views))

    @_change.register
    def _change_drain(self, decision: Drain, views: dict[str, InstanceView]) -> Change:
        return self._evolved(decision.group_id, state=DRAINING)

    @_change.register
    def _change_mark_leaving(
        self, decision: MarkLeaving, views: dict[str, InstanceView]
    ) -> Change:
        return self._evolved(decision.group_id, leaving=decision.instance_ids)

    @_change.register
    def _change_adapt(self, decision: Adapt, views: dict[str, InstanceView]) -> Change:
        return self._evolved(
            decision.group_id,
            adapters=decision.adapters,
            max_running=decision.max_running,
        )

    def _evolved(self, group_id: str, **fields: object) -> Change:
        old = self.groups[group_id]
        return Change(attrs.evolve(old, generation=self.generation + 1, **fields))

    def _member(self, name: str, views: dict[str, InstanceView]) -> Member:
        place = views[name].instance
        return Member(
            place.instance_id,
            place.address,
            place.zone,
            self._next_token(name, views),
            place.checks_orders,
        )

    def _bind(self, group: GroupRow) -> list[InstanceRow]:
        return [
            InstanceRow(
                member.instance_id,
                group.group_id,
                group.epoch,
                rank,
                member.fencing_token,
            )
            for rank, member in enumerate(group.members)
        ]

    def _release(
        self, members: list[Member], views: dict[str, InstanceView]
    ) -> list[InstanceRow]:
        return [
            InstanceRow(
                member.instance_id,
                "",
                0,
                -1,
                self._next_token(member.instance_id, views),
            )
            for member in members
        ]

    def _next_token(self, instance_id: str, views: dict[str, InstanceView]) -> int:
        view = views.get(instance_id)
        held = self.instances.get(instance_id)
        from_row = held.fencing_token + 1 if held else 1
        return max(from_row, view.next_token if view else 1)
