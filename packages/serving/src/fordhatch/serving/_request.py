"""A caller's request while it is served, and the reply to it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import attrs

from fordhatch.catalog import BackendServer, CallFields, Route, Workspace
from fordhatch.core import Failure, Holding, ResultCode

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

    @property
    def output_duration_s(self) -> float:
        """Time in which events came, without the longest pause, in seconds."""
        if self.first_s is None:
            return 0.0
        return self.last_s - self.first_s - self.longest_pause_s


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
    ended_at: set[str] = attrs.field(factory=set)
    """Those of them that are proven to have ended before they had answered."""
    attempts: list[Attempt] = attrs.field(factory=list)
    """Attempts in progress; another one may be made beside one that is silent."""
    retry: UsedRetry | None = None
    """The retry that the next attempt will use; None for the first arrival."""
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
    is_refused: bool = False
    """Whether its caller is told that it has not run and will not run."""
    is_quarantine_logged: bool = False
    """Whether the log says why it is not run any more."""
    holding: Holding | None = None
    """Counts its body; None if it isn't counted."""
    is_body_released: bool = False
    """Whether its body was dropped, as no attempt needs it any more."""

    def record_arrival(self, backend_id: str, *, may_have_run: bool) -> None:
        """Record that a backend server received the request.

        Args:
            backend_id: The backend server.
            may_have_run: Whether it may have executed the request.
        """
        self.arrivals += 1
        if may_have_run:
            self.ran_at.append(backend_id)

    def release_body(self) -> None:
        """Drop its body, once no further attempt will be made."""
        if self.is_body_released:
            return
        self.is_body_released = True
        if self.holding is not None:
            self.holding.remove(len(self.body))
        self.body = b""

    def record_end(self, backend_id: str) -> None:
        """Record the proof that a backend server has ended and its run with it.

        Args:
            backend_id: The start of a backend server whose connection has broken.
        """
        self.ended_at.add(backend_id)

    @contextmanager
    def attempt(
        self, backend: BackendServer, permission: Permission
    ) -> Iterator[Attempt]:
        """Make an attempt, which counts as in progress until its end.

        Args:
            backend: The backend server.
            permission: Tells why the request may no longer be sent there.
        """
        attempt = Attempt(self, backend, permission, self.retry)
        self.retry = None
        self.attempts.append(attempt)
        try:
            yield attempt
        finally:
            self.attempts.remove(attempt)
            attempt.end()

    @property
    def is_first_arrival(self) -> bool:
        """Whether the next attempt is the first one, which needs no retry."""
        return self.arrivals == 0 and not self.attempts

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run it, or may be running it."""
        return bool(self.ran_at) or any(a.is_being_sent for a in self.attempts)

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

    @property
    def counted_runs(self) -> int:
        """Number of runs that count towards the attempts that the route allows.

        Those of attempts in progress count before it is known that they run. A backend
        server that is no longer listed may still work, so its run counts until its
        process is proven to have ended.
        """
        running = {attempt.backend.backend_id for attempt in self.attempts}
        return len({*self.ran_at, *running} - self.ended_at)

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route allows one more backend server to run it."""
        return self.counted_runs < self.route.attempts

    @property
    def needs_freed_attempt(self) -> bool:
        """Whether it may only run again once a backend server has ended."""
        return self.route.is_repeatable and not self.has_attempts_left

    def may_run(self, now_s: float) -> bool:
        """Return whether the route and the deadline allow an attempt or a retry.

        Args:
            now_s: Current time in monotonic seconds.
        """
        if self.is_refused or self.left_s(now_s) <= 0:
            return False
        if self.ran_at and not self.route.is_repeatable:
            return False
        return self.has_attempts_left

    def left_s(self, now_s: float) -> float:
        """Return the time until the final answer is due, in seconds."""
        return self.due_s - now_s


Permission = Callable[[ServedRequest, BackendServer], Failure | None]
"""Returns why a request may no longer be sent to a backend server, or None."""


@attrs.define(eq=False, repr=False)
class Attempt:
    """One attempt of a request at one backend server."""

    request: ServedRequest
    backend: BackendServer
    permission: Permission
    retry: UsedRetry | None
    """The retry that it uses; None for the first arrival."""
    is_being_sent: bool = False
    """Whether it may have reached the backend server."""
    has_arrived: bool = False
    """Whether its arrival was recorded."""

    @property
    def fields(self) -> CallFields:
        """Fields of the caller's headers."""
        return self.request.fields

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.request.method

    @property
    def target(self) -> str:
        """Path and query exactly as the caller sent them."""
        return self.request.target

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers to forward to the backend server."""
        return self.request.headers

    @property
    def body(self) -> bytes:
        """The request's body."""
        return self.request.body

    @property
    def workspace_name(self) -> str | None:
        """Name of the caller's workspace, None without one."""
        return self.request.workspace_name

    def left_s(self, now_s: float) -> float:
        """Return the time until the final answer is due, in seconds."""
        return self.request.left_s(now_s)

    def recheck(self, backend: BackendServer) -> Failure | None:
        """Return why the request may no longer be sent, or None if it is sent now.

        To be called once the connection is open, because the instance may have been
        suspended while connecting.
        """
        stopped = self.permission(self.request, backend)
        if stopped is not None:
            return stopped
        if self.retry is not None and not self.retry.may_still_send():
            return Failure.from_code(ResultCode.BACKEND_REFUSED, "no retry is left")
        self.is_being_sent = True
        return None

    def record_arrival(self, backend_id: str, *, may_have_run: bool) -> None:
        """Record that the backend server received the request."""
        self.has_arrived = True
        self.request.record_arrival(backend_id, may_have_run=may_have_run)

    def record_unsent(self) -> None:
        """Record that the backend server certainly did not get it."""
        self.is_being_sent = False

    def end(self) -> None:
        """End it: one that wasn't sent gives its retry back, others have arrived."""
        if self.is_being_sent and not self.has_arrived:
            self.record_arrival(self.backend.backend_id, may_have_run=True)
        if self.retry is not None and not (self.is_being_sent or self.has_arrived):
            self.retry.take_back()


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
