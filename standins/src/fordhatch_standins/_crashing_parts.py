"""Parts of prompts that crash the engine that begins to write an answer on them."""

from __future__ import annotations

import asyncio
import json

import attrs

from ._calls import BackendCall

KNOWN_CRASHES = 5
"""Crashes under one part after which the nodes are expected to know it."""

SETTLED_S = 3.0
"""Time after that within which they agree."""


@attrs.define(eq=False, repr=False)
class CrashingParts:
    """The bad parts, and what the engines received and lost under them."""

    names: set[str] = attrs.field(factory=set)
    """Names of the bad parts; for chat completions, the content of a message."""
    arrivals_s: dict[str, list[float]] = attrs.field(factory=dict)
    """Times at which requests with a bad part reached an engine, by part."""
    crashes_s: dict[str, list[float]] = attrs.field(factory=dict)
    """Times at which an engine began to run such a request, by part."""

    def crashes(self, call: BackendCall) -> bool:
        """Return whether a request crashes the engine that begins to run it."""
        return self._record(call, self.crashes_s)

    def arrived(self, call: BackendCall) -> None:
        """Record that a request reached an engine."""
        self._record(call, self.arrivals_s)

    def _record(self, call: BackendCall, times_s: dict[str, list[float]]) -> bool:
        found = self.names.intersection(call.shared_parts)
        for part in found:
            now_s = asyncio.get_running_loop().time()
            times_s.setdefault(part, []).append(now_s)
        return bool(found)

    def late_arrivals(self, part: str) -> int:
        """Return how many requests with a part reached engines too late.

        That is ``SETTLED_S`` after the fifth crash under the part, or after the last
        one if there were fewer.
        """
        crashes_s = self.crashes_s.get(part, [])[:KNOWN_CRASHES]
        if not crashes_s:
            return 0
        known_s = crashes_s[-1] + SETTLED_S
        return sum(at_s > known_s for at_s in self.arrivals_s.get(part, ()))


def message_parts(body: bytes) -> tuple[str, ...]:
    """Return the parts of a chat completion's prompt: all messages but the last."""
    try:
        messages = json.loads(body)["messages"]
        return tuple(str(message["content"]) for message in messages[:-1])
    except (ValueError, KeyError, TypeError):
        return ()
