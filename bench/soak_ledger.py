"""Results of a soak run, and parsers of answers."""

from __future__ import annotations

import json
from collections import Counter

import attrs
from soak_exchanges import Exchange

from fordhatch_standins import RetryLedger, RetryRule

RETRY_RULE = RetryRule(ratio=0.2, slack=40.0, window_s=10.0)
"""The retry budget of all nodes together, low enough to be used up."""

ALLOWED_LATE = 3
"""Requests with a bad message that may reach engines too late, of nodes in touch and of
each node that has had a fault."""


@attrs.define
class Ledger:
    """Outcomes of requests and applies, injected faults, and violated guarantees."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    faults: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)
    at_most_once: set[str] = attrs.field(factory=set)
    """Contents (digests) of requests that may run at most once."""
    not_run: set[str] = attrs.field(factory=set)
    """Contents of requests for which all answers report that they did not run."""
    node_faults: int = 0
    """Faults after which a node may not know for some seconds what the others know."""
    fault_times: list[str] = attrs.field(factory=list)
    """Faults with their time since the start, in seconds."""

    exchanges: list[Exchange] = attrs.field(factory=list)
    """All requests of callers."""
    stop_times_s: list[float] = attrs.field(factory=list)
    """Times from a signal to stop until the end of the process."""
    retries: RetryLedger = attrs.field(factory=RetryLedger)
    """Requests of the callers, and arrivals beyond the first of each."""

    def check_retries(self, repeats_s: dict[str, list[float]]) -> None:
        """Check the retry budget of every service in every window.

        Args:
            repeats_s: Times of the arrivals beyond the first, by service.
        """
        self.retries.repeats_s = repeats_s
        worst = self.retries.worst(RETRY_RULE)
        self.outcomes["largest use of the retry budget, %"] = round(100 * worst.share)
        for text in self.retries.breaches(RETRY_RULE):
            self.add_violation(text)

    def add_violation(self, text: str) -> None:
        """Print and record a violated guarantee."""
        print(f"VIOLATION: {text}", flush=True)
        self.violations.append(text)

    def check_part(self, part: str, crashes: int, late: int) -> None:
        """Check how many requests with a bad message reached engines too late.

        Args:
            part: The message.
            crashes: Engines that began to run such a request.
            late: Requests that arrived after the nodes should have known the message.
        """
        self.outcomes["crashes under messages"] += crashes
        self.outcomes["late bad messages"] += late
        if late > ALLOWED_LATE * (1 + self.node_faults):
            self.add_violation(f"{late} late requests with {part!r}, {crashes} crashes")


def body_text(content: str) -> str | None:
    """Return the text of an answer that is not streamed."""
    return json.loads(content)["choices"][0]["message"]["content"]


def streamed_text(content: str) -> str | None:
    """Return the text of a streamed answer, or None if it is incomplete."""
    lines = content.split("\n\n")
    if "data: [DONE]" not in lines:
        return None
    chunks = [json.loads(x[6:]) for x in lines if x.startswith("data: {")]
    deltas = [c["choices"][0]["delta"] for c in chunks if "choices" in c]
    return "".join(d.get("content", "") for d in deltas)
