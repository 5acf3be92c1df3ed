"""A caller's request on its way, and the answer to it."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import Protocol

import attrs

from fordhatch.catalog import CallFields, Route, Workspace
from fordhatch.core import Failure


@attrs.define(eq=False, repr=False)
class Timeline:
    """When the parts of a request's answer came; moments in monotonic seconds."""

    sent_s: float | None = None
    """First send to a backend server."""
    in_flight: int = 0
    """This node's other requests at that backend server then."""
    first_s: float | None = None
    """First event, or the whole answer."""
    last_s: float | None = None
    """Newest event."""
    longest_pause_s: float = 0.0
    """Longest time between two events, changes of the group included."""

    def sent(self, now_s: float, in_flight: int) -> None:
        """Note a send."""
        if self.sent_s is None:
            self.sent_s = now_s
            self.in_flight = in_flight

    def passed_on(self, now_s: float) -> None:
        """Note that events, or a whole answer, went out to the caller."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            pause_s = now_s - self.last_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_s = now_s


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
    may_go: Callable[[str], Failure | None] = lambda _: None
    """Says why it may no longer be sent to a backend server, if so: asked once more
    when the connection stands, as the machine may have stood still meanwhile."""
    timeline: Timeline = attrs.field(factory=Timeline)
    """When its parts came, for logs."""
    was_answered: bool = False
    """Whether a backend server's whole answer came."""
    is_over: bool = False
    """Whether nothing more will be sent for it."""

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
