"""Finds out why a group is silent, and tells the other nodes."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.adapter import BackendClient, RowKey, StoreClient
from fordhatch.catalog import BackendServer
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import (
    SHARED_TABLE,
    BackendDirectory,
    SharedRows,
    Suspicion,
    suspicion_key,
)

PROBE_TIMEOUT_S = 0.2
"""A report needs no slot and comes within milliseconds."""

PROBES = 2
"""A member is silent only if it misses this many probes in a row: a lost packet is
not a lost member."""

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the row that tells the others."""

LOCAL_AVOID_S = 1.5
"""How long this node avoids a silent group whose members all answer: it may be
slow, and then the others serve better, but it is not lost."""


@attrs.define(eq=False)
class StallWatch:
    """Probes the members of silent groups."""

    node_name: str
    timer: Timer
    store: StoreClient
    backends: BackendClient
    directory: BackendDirectory
    shared: SharedRows
    _avoided: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _probing: set[tuple[str, int]] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def is_suspect(self, head: BackendServer) -> bool:
        """Return whether a head's group is known or thought to stand still."""
        if head.membership is None:
            return True
        key = head.membership.key
        if key in self.shared.suspicions:
            return True
        return self._avoided.get(key, 0.0) > self.timer.now_s()

    def silent(self, head: BackendServer) -> None:
        """Take note that nothing comes from a head; its members are probed."""
        if head.membership is None or head.membership.key in self._probing:
            return
        key = head.membership.key
        self._avoided[key] = self.timer.now_s() + LOCAL_AVOID_S
        if key in self.shared.suspicions:
            return
        self._probing.add(key)
        task = self._tasks.spawn(self._examine(head, key), f"probe-{key[0]}")
        task.add_done_callback(lambda _: self._probing.discard(key))

    async def _examine(self, head: BackendServer, key: tuple[str, int]) -> None:
        group = self.directory.groups(head.service).get(key)
        if group is None:
            return
        members = list(group.members.values())
        answers = await asyncio.gather(*(self._answers(m) for m in members))
        silent = tuple(
            m.backend_id for m, ok in zip(members, answers, strict=True) if not ok
        )
        log_event(
            "group_silent",
            group=key[0],
            epoch=key[1],
            members=len(members),
            unanswered=",".join(silent),
        )
        if silent:
            await self._tell(Suspicion(*key, self.node_name, silent))

    async def _answers(self, backend: BackendServer) -> bool:
        for _ in range(PROBES):
            found = await self.backends.is_alive(
                backend.address, backend.backend_id, timeout_s=PROBE_TIMEOUT_S
            )
            if found.is_ok():
                return found.unwrap()
        return False

    async def _tell(self, suspicion: Suspicion) -> None:
        key = (suspicion.group, suspicion.epoch)
        if key in self.shared.suspicions:
            return
        row = RowKey(SHARED_TABLE, suspicion_key(*key))
        written = await self.store.write(
            {row: 0}, {row: suspicion.to_bytes()}, timeout_s=WRITE_TIMEOUT_S
        )
        if written.is_err():
            log_event("suspicion_not_told", group=key[0], error=written.err().message)

    async def close(self) -> None:
        """Stop probing."""
        await self._tasks.close()
