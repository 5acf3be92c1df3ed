"""A caller's request while it is served, and the reply to it."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import Protocol

import attrs

from fordhatch.catalog import BackendServer, CallFields, Route, Workspace
from fordhatch.core import Failure

from ._request_features import RequestFeatures


@attrs.define(eq=False, repr=False)
class Timeline:
    """Times of a request's answer, in monotonic seconds."""

    sent_s: float | None = None
    """Time of the first attempt at a backend server."""
    in_flight: int = 0
    """This node's other requests in flight at that backend server at that time."""
    first_s: float | None = None
    """Time of the first event, or of the complete answer."""
    last_s: float | None = None
    """Time of the newest event."""
    longest_pause_s: float = 0.0
    """Longest time between two events, including changes of the group, in seconds."""

    def record_send(self, now_s: float, in_flight: int) -> None:
        """Record an attempt; only the first one counts."""
        if self.sent_s is None:
            self.sent_s = now_s
            self.in_flight = in_flight

    def record_output(self, now_s: float) -> None:
        """Record that events, or a complete answer, were sent to the caller."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            pause_s = now_s - self.last_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_s = now_s


class UsedRetry(Protocol):
    """A retry of the budget that was used for the attempt in progress."""

    def may_still_send(self) -> bool:
        """Return whether the attempt may be sent, now that its connection is open."""
        ...

    def take_back(self) -> None:
        """Undo its use, as nothing was sent."""
        ...


@attrs.define(eq=False, repr=False)
class ServedRequest:
    """An admitted request."""

    fields: CallFields
    route: Route
    service: str
    """Service chosen among the route's targets."""
    workspace: Workspace | None
    method: str
    target: str
    """Path and query exactly as the caller sent them."""
    headers: list[tuple[str, str]]
    """Headers to forward to the backend server."""
    body: bytes
    arrived_s: float
    due_s: float
    """When the final answer is due: the earlier of the caller's deadline and the
    route's timeout, in monotonic seconds."""
    arrivals: int = 0
    """Number of times it reached a backend server, including refusals."""
    ran_at: list[str] = attrs.field(factory=list)
    """Backend servers that may have run it."""
    recheck: Callable[[BackendServer], Failure | None] = lambda _: None
    """Returns why the request may no longer be sent to a backend server, or None. It
    is called again once the connection is open, because the instance may have been
    suspended while connecting."""
    retry: UsedRetry | None = None
    """The retry that the attempt in progress uses; None for the first arrival."""
    urgency_class: int | None = None
    """Class for the queues of engines; None to use the urgency itself."""
    timeline: Timeline = attrs.field(factory=Timeline)
    """Times of its answer, for logs."""
    was_answered: bool = False
    """Whether a complete answer of a backend server was received."""
    has_output: bool = False
    """Whether that answer was written on its prompt, and is no refusal or failure."""
    features: RequestFeatures | None = None
    """What it can have in common with other requests, once it has been determined."""
    is_over: bool = False
    """Whether no further attempt will be made."""
    is_being_sent: bool = False
    """Whether the attempt in progress may have reached its backend server."""
    is_quarantine_logged: bool = False
    """Whether the log says why it is not run any more."""

    def record_arrival(self, backend_id: str, *, may_have_run: bool) -> None:
        """Record that a backend server received the request.

        Args:
            backend_id: The backend server.
            may_have_run: Whether it may have executed the request.
        """
        self.arrivals += 1
        if may_have_run:
            self.ran_at.append(backend_id)

    def may_still_send(self) -> bool:
        """Return whether the retry budget allows the attempt on an open connection."""
        return self.retry is None or self.retry.may_still_send()

    def end_attempt(self, *, is_sent: bool) -> None:
        """Record the end of an attempt; one that was not sent gives its retry back."""
        if self.retry is not None and not is_sent:
            self.retry.take_back()
        self.retry = None
        self.is_being_sent = False

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run it, or may be running it."""
        return bool(self.ran_at) or self.is_being_sent

    @property
    def workspace_name(self) -> str | None:
        """Name of the caller's workspace, None without one."""
        return self.workspace.name if self.workspace is not None else None

    @property
    def urgency(self) -> int:
        """Rank among waiting requests; a workspace's priority overrides the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def wire_urgency(self) -> int:
        """Class that engines queue the request by; 0 is first."""
        return self.urgency if self.urgency_class is None else self.urgency_class

    def counted_runs(self, listed: Container[str], *also: str) -> int:
        """Return how many runs count towards the attempts that the route allows.

        Args:
            listed: Registered backend servers; runs at other ones don't count.
            also: Backend servers that may be running it now.
        """
        return sum(b in listed for b in {*self.ran_at, *also})

    def may_run(self, listed: Container[str], now_s: float) -> bool:
        """Return whether the route and the deadline allow an attempt or a retry.

        Args:
            listed: Registered backend servers.
            now_s: Current time in monotonic seconds.
        """
        if self.left_s(now_s) <= 0:
            return False
        if self.ran_at and not self.route.is_repeatable:
            return False
        return self.counted_runs(listed) < self.route.attempts

    def left_s(self, now_s: float) -> float:
        """Return the time until the final answer is due, in seconds."""
        return self.due_s - now_s


class ReplyTooLong(Exception):  # noqa: N818
    """A reply that is sent in full is longer than it may be."""


class Reply(Protocol):
    """Writes the answer to a caller."""

    outcome: str
    """Result as the caller sees it, for logs and metrics."""
    is_whole: bool
    """Whether a complete answer of a backend server was sent."""
    is_over: bool
    """Whether an answer, a refusal or a failure was sent to its end, or aborted."""

    @property
    def has_begun(self) -> bool:
        """Whether any byte of the answer was sent."""
        ...

    async def refuse(self, failure: Failure) -> None:
        """Answer with a failure of the system itself."""
        ...

    async def send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Answer with a backend server's complete answer."""
        ...

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Start an answer whose body is streamed."""
        ...

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body.

        Raises:
            ReplyTooLong: If the reply is sent in full at its end, and too long.
        """
        ...

    async def end(self) -> None:
        """Finish a complete answer."""
        ...

    async def abort(self) -> None:
        """Abort an answer so that the caller can't take it for a complete one."""
        ...
