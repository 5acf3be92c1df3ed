"""A caller's request on its way, and the answer to it."""

from __future__ import annotations

from collections.abc import Container
from typing import Protocol

import attrs

from fordhatch.catalog import CallFields, Route, Workspace
from fordhatch.core import Failure


@attrs.define(eq=False, repr=False)
class ServedRequest:
    """A request that was admitted."""

    fields: CallFields
    route: Route
    service: str
    """The service that was chosen among the route's targets."""
    workspace: Workspace | None
    method: str
    target: str
    """Path and query exactly as the caller sent them."""
    headers: list[tuple[str, str]]
    """Headers that go on to the backend server."""
    body: bytes
    arrived_s: float
    ends_s: float
    """When the final answer is due: the caller's deadline or the route's timeout,
    whichever comes first; monotonic seconds."""
    arrivals: int = 0
    """How often it reached a backend server, refusals included."""
    ran_at: list[str] = attrs.field(factory=list)
    """Backend servers that may have run it."""

    def arrived_at(self, backend_id: str, *, may_have_run: bool) -> None:
        """Note that a backend server got the request."""
        self.arrivals += 1
        if may_have_run:
            self.ran_at.append(backend_id)

    @property
    def urgency(self) -> int:
        """Rank among waiting requests; a workspace's goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def counted_runs(self, listed: Container[str], *also: str) -> int:
        """Return how many runs count for the attempts that the route allows.

        Args:
            listed: Backend servers that are there; runs at others don't count.
            also: Backend servers that may run it now.
        """
        return sum(b in listed for b in {*self.ran_at, *also})

    def may_run(self, listed: Container[str], now_s: float) -> bool:
        """Return whether it may be sent to a backend server, or to another one.

        Args:
            listed: Backend servers that are there.
            now_s: Monotonic seconds.
        """
        if self.left_s(now_s) <= 0:
            return False
        if self.ran_at and not self.route.is_repeatable:
            return False
        return self.counted_runs(listed) < self.route.attempts

    def left_s(self, now_s: float) -> float:
        """Return the time until the final answer is due, in seconds."""
        return self.ends_s - now_s


class Reply(Protocol):
    """Where the answer goes."""

    outcome: str
    """What the caller got, for logs and metrics."""

    @property
    def has_begun(self) -> bool:
        """Whether any byte of the answer has gone out."""
        ...

    async def refuse(self, failure: Failure) -> None:
        """Answer with the system's own failure."""
        ...

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Answer with a backend server's complete answer."""
        ...

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin an answer whose body follows in pieces."""
        ...

    async def write(self, piece: bytes) -> None:
        """Pass on a piece of the body."""
        ...

    async def end(self) -> None:
        """End an answer that is complete."""
        ...

    async def abort(self) -> None:
        """Break off an answer so that it can't be taken for a complete one."""
        ...
