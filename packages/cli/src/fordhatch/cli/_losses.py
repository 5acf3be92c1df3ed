"""Which requests were lost or late, and why, out of collected log lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from enum import StrEnum

import attrs

from ._explain import LogLine

SHORT_WAIT_S = 0.06
"""A request that was sent later than this after its arrival has waited for something:
for a group to open, or for a node that had just started to know its tables."""

QUEUE = 3
"""So many other requests of one node at a backend server explain a late first event;
usual loads have one or two."""

FINAL = {
    "aborted": "stream broken off",
    "backend_lost": "lost at the backend server",
    "backend_refused": "no backend server took it",
    "caller_gone": "caller left",
    "configuration_stale": "configuration not confirmed",
    "deadline_exceeded": "out of time",
    "no_config": "node just started",
    "no_group_ready": "no group open",
    "request_quarantined": "ends backend servers",
    "shutting_down": "node about to end",
}
"""Causes of requests that were not served, by outcome; others are not losses."""

MAY_HAVE_RUN = ("aborted", "backend_lost", "deadline_exceeded")
"""Outcomes of requests that a backend server may have run."""

SERVER_ERROR = "status_5"
"""Begins the outcome of a request whose answer was a backend server's own error."""

SEND_PROBLEMS = {
    "silent": "group or server silent",
    "broken": "no proper answer",
    "connection_lost": "run broke",
    "held_back": "ends backend servers",
    "refused": "refused at the backend server",
    "not_sent": "backend server not reached",
    "other_backend": "another server at the address",
    "error_status": "error of the backend server",
}
"""Causes of requests that were served late after a failed send, by its problem."""

DENIED = ("unauthenticated", "not_found", "bad_request", "body_too_large")
"""Outcomes that callers owe to themselves."""


class Fate(StrEnum):
    """What became of a request that was not served in time."""

    REFUSED = "refused"
    """Nobody has run it."""
    FAILED = "failed"
    """It may have run, and its caller has no whole answer."""
    LATE = "late"
    """Its caller has the whole answer, after the goal or with too long a pause."""


@attrs.frozen
class Loss:
    """One request that was not served, or late."""

    request_id: str
    fate: Fate
    cause: str
    route: str
    workspace: str
    second: int
    """Of the day, of the clock of the node that logged it."""


@attrs.define(eq=False, repr=False)
class _Seen:
    """What the logs say of one request."""

    problems: list[str] = attrs.field(factory=list)
    is_out_of_budget: bool = False
    done: LogLine | None = None
    refused: LogLine | None = None


@attrs.define(eq=False, repr=False)
class Losses:
    """All losses in a collection of logs."""

    losses: list[Loss] = attrs.field(factory=list)
    requests: int = 0
    """Requests that the logs know the end of, without those of callers' own making."""
    foreign_lines: int = 0
    """Lines that are no events of a node."""

    def by(self, key: Callable[[Loss], object]) -> list[tuple[object, Counter[str]]]:
        """Return fates counted by a property of the losses, the most frequent first."""
        found: dict[object, Counter[str]] = {}
        for loss in self.losses:
            found.setdefault(key(loss), Counter())[loss.fate] += 1
        return sorted(found.items(), key=lambda item: -item[1].total())

    def to_json(self) -> dict[str, object]:
        """Return it for programs."""
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
    "route": lambda loss: loss.route,
    "workspace": lambda loss: loss.workspace,
    "second": lambda loss: loss.second,
}
"""The tables that are shown, with what each counts by."""


def find_losses(texts: Iterable[str]) -> Losses:
    """Return the losses in lines of log, in any order."""
    found = Losses()
    seen: dict[str, _Seen] = {}
    for text in texts:
        line = LogLine.parse(text)
        if line is None:
            found.foreign_lines += bool(text.strip())
            continue
        request_id = line.fields.get("request")
        if request_id:
            _take(seen.setdefault(request_id, _Seen()), line)
    for request_id, one in seen.items():
        _judge(found, request_id, one)
    return found


def _take(one: _Seen, line: LogLine) -> None:
    match line.event:
        case "send_failed":
            one.problems.append(line.fields.get("problem", ""))
        case "budget_spent":
            one.is_out_of_budget = True
        case "request_done":
            one.done = line
        case "request_refused":
            one.refused = line


def _judge(found: Losses, request_id: str, one: _Seen) -> None:
    line = one.done or one.refused
    if line is None:
        return
    outcome = line.fields.get("outcome") or line.fields.get("code", "").lower()
    if outcome in DENIED:
        return
    found.requests += 1
    fate = _fate(outcome, line)
    if fate is None:
        return
    found.losses.append(
        Loss(
            request_id,
            fate,
            _late_cause(one, line) if fate is Fate.LATE else _cause(outcome, one),
            line.fields.get("route", ""),
            line.fields.get("workspace", ""),
            int(line.seconds()),
        )
    )


def _fate(outcome: str, line: LogLine) -> Fate | None:
    """Return what became of a request, None if nothing is wrong."""
    if outcome in MAY_HAVE_RUN or outcome.startswith(SERVER_ERROR):
        return Fate.FAILED
    if outcome in FINAL:
        return Fate.REFUSED
    return Fate.LATE if "goal_s" in line.fields else None


def _cause(outcome: str, one: _Seen) -> str:
    """Return why a request was not served."""
    cause = FINAL.get(outcome, SEND_PROBLEMS["error_status"])
    if one.is_out_of_budget:
        return f"{cause}, budget for repeats spent"
    return cause


def _late_cause(one: _Seen, line: LogLine) -> str:
    problems = [p for p in one.problems if p in SEND_PROBLEMS]
    if problems:
        return SEND_PROBLEMS[problems[0]]
    if _number(line, "sent_s") > SHORT_WAIT_S:
        return "waited before the first send"
    if _number(line, "first_s") > _number(line, "goal_s"):
        crowded = _number(line, "in_flight") >= QUEUE
        return "queue at the backend server" if crowded else "slow to the first event"
    return "slow between events"


def _number(line: LogLine, name: str) -> float:
    """Return a field as a number; 0 where it says nothing."""
    try:
        return float(line.fields.get(name, ""))
    except ValueError:
        return 0.0
