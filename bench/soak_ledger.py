"""What the soak's callers and operators saw."""

from __future__ import annotations

import json
from collections import Counter

import attrs


@attrs.define
class Ledger:
    """What callers and operators saw, and every broken promise."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    faults: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)
    once: set[str] = attrs.field(factory=set)
    """Contents of requests that may run once at most."""
    not_run: set[str] = attrs.field(factory=set)
    """Contents of requests whose every answer said that they had not run."""
    times: list[str] = attrs.field(factory=list)

    def violate(self, text: str) -> None:
        """Record a broken promise."""
        print(f"VIOLATION: {text}", flush=True)
        self.violations.append(text)


def whole_text(content: str) -> str | None:
    """Return the text of an answer that came as one body."""
    return json.loads(content)["choices"][0]["message"]["content"]


def streamed_text(content: str) -> str | None:
    """Return the text of a streamed answer; None if it is not complete."""
    lines = content.split("\n\n")
    if "data: [DONE]" not in lines:
        return None
    chunks = [json.loads(x[6:]) for x in lines if x.startswith("data: {")]
    deltas = [c["choices"][0]["delta"] for c in chunks if "choices" in c]
    return "".join(d.get("content", "") for d in deltas)
