"""Finds lost and late requests and their causes in collected logs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from enum import StrEnum

import attrs

from ._explain import LogLine

SEND_WAIT_THRESHOLD_S = 0.06
"""A request sent later than this after its arrival has waited: for a group to open,
or for a node that had just started to read its tables."""

MIN_QUEUED_REQUESTS = 3
"""Other requests of a node at a backend server from which on a queue explains a late
first event; at normal load there are one or two."""

CAUSE_BY_OUTCOME = {
    "aborted": "stream broken off",
    "backend_lost": "lost at the backend server",
    "backend_refused": "no backend server took it",
    "caller_gone": "caller left",
    "configuration_stale": "configuration not confirmed",
    "deadline_exceeded": "out of time",
    "internal": "unexpected error",
    "no_config": "node just started",
    "no_group_ready": "no group open",
    "node_stopped": "cut by the end of its node",
    "overloaded": "no capacity in time",
    "request_quarantined": "ends backend servers",
    "shutting_down": "node about to end",
    "stopped": "cut by the end of its node",
    "zone_evacuated": "only evacuated zones have servers",
}
"""Causes of unserved requests, by outcome; other outcomes are not losses."""

HELD_CAUSE = "waited for capacity"
"""Cause of a late answer to a request that admission control held."""

SCARCITY_CAUSES = frozenset(
    (CAUSE_BY_OUTCOME["overloaded"], HELD_CAUSE, "queue at the backend server")
)
"""Causes that more capacity would have removed; all others are faults."""

MAY_HAVE_RUN = (
    "aborted",
    "backend_lost",
    "deadline_exceeded",
    "internal",
    "node_stopped",
    "stopped",
)
"""Outcomes of failed requests that a backend server may have run."""

SERVER_ERROR_PREFIX = "status_5"
"""Prefix of the outcome of a request answered by a backend server's own error."""

CAUSE_BY_PROBLEM = {
    "silent": "group or server silent",
    "broken": "no proper answer",
    "connection_lost": "run broke",
    "held_back": "ends backend servers",
    "refused": "refused at the backend server",
    "not_sent": "backend server not reached",
    "other_backend": "another server at the address",
    "error_status": "error of the backend server",
}
"""Causes of late answers after a failed send, by the problem of the send."""

CALLER_ERRORS = ("unauthenticated", "not_found", "bad_request", "body_too_large")
"""Outcomes caused by the caller's own error; they are not counted."""


class LossKind(StrEnum):
    """Classes of requests that were not served in time."""

    REFUSED = "refused"
    """No backend server has run it."""
    FAILED = "failed"
    """It may have run, and its caller has no complete answer."""
    LATE = "late"
    """Its caller has the complete answer, after the latency objective or with too long
    a pause."""


@attrs.frozen
class Loss:
    """One request that was not served or was served late."""

    request_id: str
    kind: LossKind
    cause: str
    route: str
    workspace: str
    second: int
    """Second of the day, from the clock of the node that logged the request."""


@attrs.define(eq=False, repr=False)
class _RequestEvents:
    """The logged events of one request that decide its classification."""

    problems: list[str] = attrs.field(factory=list)
    is_retry_budget_spent: bool = False
    was_held: bool = False
    """Whether it waited for capacity of its model before it was sent."""
    done: LogLine | None = None
    refused: LogLine | None = None


@attrs.define(eq=False, repr=False)
class Losses:
    """All losses found in a set of logs."""

    losses: list[Loss] = attrs.field(factory=list)
    requests: int = 0
    """Requests with a logged outcome, except those with a caller's error."""
    foreign_lines: int = 0
    """Lines that are not events of a node."""

    def by(self, key: Callable[[Loss], object]) -> list[tuple[object, Counter[str]]]:
        """Return the counts of each kind, grouped by a property of the losses.

        Args:
            key: Returns the property of a loss.

        Returns:
            Values of the property with their counts, the most frequent first.
        """
        found: dict[object, Counter[str]] = {}
        for loss in self.losses:
            found.setdefault(key(loss), Counter())[loss.kind] += 1
        return sorted(found.items(), key=lambda item: -item[1].total())

    def to_json(self) -> dict[str, object]:
        """Return the counts as JSON data."""
        return {
            "requests": self.requests,
            "foreign_lines": self.foreign_lines,
            "losses": len(self.losses),
            **{
                name: [{name: k, **counts} for k, counts in self.by(key)]
                for name, key in TABLES.items()
            },
        }


TABLES: dict[str, Callable[[Loss], object]] = {
    "cause": lambda loss: loss.cause,
    "origin": lambda loss: "scarcity" if loss.cause in SCARCITY_CAUSES else "fault",
    "route": lambda loss: loss.route,
    "workspace": lambda loss: loss.workspace,
    "second": lambda loss: loss.second,
}
"""Tables to show, by name, with the property that each groups by."""


def find_losses(texts: Iterable[str]) -> Losses:
    """Return the losses in log lines, which may be in any order."""
    found = Losses()
    events_by_request: dict[str, _RequestEvents] = {}
    for text in texts:
        line = LogLine.parse(text)
        if line is None:
            found.foreign_lines += bool(text.strip())
            continue
        request_id = line.fields.get("request")
        if request_id:
            _record_event(
                events_by_request.setdefault(request_id, _RequestEvents()), line
            )
    for request_id, events in events_by_request.items():
        _classify(found, request_id, events)
    return found


def _record_event(events: _RequestEvents, line: LogLine) -> None:
    match line.event:
        case "send_failed":
            events.problems.append(line.fields.get("problem", ""))
        case "budget_spent":
            events.is_retry_budget_spent = True
        case "admission_decided":
            events.was_held = line.fields.get("outcome") == "sent"
        case "request_done":
            events.done = line
        case "request_refused":
            events.refused = line


def _classify(found: Losses, request_id: str, events: _RequestEvents) -> None:
    line = events.done or events.refused
    if line is None:
        return
    outcome = line.fields.get("outcome") or line.fields.get("code", "").lower()
    if outcome in CALLER_ERRORS:
        return
    found.requests += 1
    kind = _kind(outcome, line)
    if kind is None:
        return
    found.losses.append(
        Loss(
            request_id,
            kind,
            _late_cause(events, line)
            if kind is LossKind.LATE
            else _cause(outcome, events),
            line.fields.get("route", ""),
            line.fields.get("workspace", ""),
            int(line.seconds()),
        )
    )


def _kind(outcome: str, line: LogLine) -> LossKind | None:
    """Return the class of a loss, or None if the request was served in time."""
    if outcome in MAY_HAVE_RUN or outcome.startswith(SERVER_ERROR_PREFIX):
        return LossKind.FAILED
    if outcome in CAUSE_BY_OUTCOME:
        return LossKind.REFUSED
    return LossKind.LATE if "goal_s" in line.fields else None


def _cause(outcome: str, events: _RequestEvents) -> str:
    """Return why a request was not served."""
    cause = CAUSE_BY_OUTCOME.get(outcome, CAUSE_BY_PROBLEM["error_status"])
    if events.is_retry_budget_spent:
        return f"{cause}, budget for repeats spent"
    return cause


def _late_cause(events: _RequestEvents, line: LogLine) -> str:
    problems = [p for p in events.problems if p in CAUSE_BY_PROBLEM]
    if problems:
        return CAUSE_BY_PROBLEM[problems[0]]
    if events.was_held:
        return HELD_CAUSE
    if _number(line, "sent_s") > SEND_WAIT_THRESHOLD_S:
        return "waited before the first send"
    if _number(line, "first_s") > _number(line, "goal_s"):
        is_queued = _number(line, "in_flight") >= MIN_QUEUED_REQUESTS
        return "queue at the backend server" if is_queued else "slow to the first event"
    return "slow between events"


def _number(line: LogLine, name: str) -> float:
    """Return a field as a number, or 0 if it is absent or malformed."""
    try:
        return float(line.fields.get(name, ""))
    except ValueError:
        return 0.0
