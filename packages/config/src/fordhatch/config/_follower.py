"""The configuration in force on one node: it moves forward or not at all."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.core import (
    Failure,
    InvariantGuard,
    ResultCode,
    Timer,
    log_event,
    metrics,
)
from fordhatch.platform import ObjectStore, Row

from ._operators_file import OperatorsFile, digest_of

HEAD_KEY = "config/head"
"""Table row that names the revision in force."""


@attrs.frozen
class ConfigInForce:
    """One accepted revision."""

    revision: int
    digest: str
    content: bytes
    declared: OperatorsFile

    def to_json(self) -> dict[str, Any]:
        """Return the document as the operator wrote it."""
        return json.loads(self.content)


@attrs.define(eq=False)
class ConfigFollower:
    """Adopts newer revisions from the store and from other nodes."""

    objects: ObjectStore
    timer: Timer
    current: ConfigInForce | None = None
    store_confirmed_s: float = float("-inf")
    """When the store last confirmed the head, in monotonic seconds."""
    guard: InvariantGuard = attrs.field(factory=lambda: InvariantGuard("config"))
    _subscribers: list[Callable[[ConfigInForce], None]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self.current.revision if self.current else 0

    def subscribe(self, callback: Callable[[ConfigInForce], None]) -> None:
        """Call ``callback`` with every revision that comes into force."""
        self._subscribers.append(callback)

    async def observe_head(self, row: Row) -> None:
        """Take the head row as read from the store just now."""
        asked_s = self.timer.now_s()
        if row.value is None:
            self.store_confirmed_s = asked_s
            return
        revision, digest = int(row.value["revision"]), str(row.value["digest"])
        if revision > self.revision:
            content = await self.objects.get(f"configs-{digest}")
            if content.is_err() or content.unwrap() is None:
                return
            self.adopt(revision, digest, content.unwrap())
        if revision <= self.revision:
            self.store_confirmed_s = asked_s

    def adopt(self, revision: int, digest: str, content: bytes) -> bool:
        """Bring a revision into force if it is newer than the present one.

        Args:
            revision: Number of the revision.
            digest: SHA-256 of the content, as the head row names it.
            content: The operators' file.

        Returns:
            Whether the revision is now in force.
        """
        if revision <= self.revision:
            return False
        if digest_of(content) != digest:
            log_event("config_digest_mismatch", revision=revision)
            return False
        parsed = OperatorsFile.from_json(content)
        if parsed.is_err():
            log_event("config_unreadable", revision=revision)
            return False
        before = self.revision
        self.current = ConfigInForce(revision, digest, content, parsed.unwrap())
        self.guard.check(
            self.revision > before, "config_revision_rises", was=before, now=revision
        )
        metrics.CONFIG_REVISION.set(revision)
        log_event("config_in_force", revision=revision, digest=digest[:12])
        self._notify()
        return True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        for callback in self._subscribers:
            callback(self.current)

    async def wait_for(
        self, revision: int, timeout_s: float
    ) -> Result[ConfigInForce, Failure]:
        """Return the configuration once at least ``revision`` is in force.

        Args:
            revision: The lowest revision that the reader accepts.
            timeout_s: Longest wait.
        """
        deadline_s = self.timer.now_s() + timeout_s
        while self.revision < max(revision, 1):
            left_s = deadline_s - self.timer.now_s()
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), max(left_s, 0.0))
            except TimeoutError:
                return Err(self._not_reached(revision))
        return Ok(self.current)

    def _not_reached(self, revision: int) -> Failure:
        if self.current is None:
            return Failure.from_code(ResultCode.NO_CONFIG, retry_after_s=1.0)
        message = f"revision {self.revision} is in force, not yet {revision}"
        return Failure.from_code(
            ResultCode.REVISION_NOT_REACHED, message, retry_after_s=1.0
        )
