"""Parts of prompts that crash the engine that begins to write an answer on them."""

from __future__ import annotations

import asyncio
import json

import attrs

from ._calls import BackendCall


@attrs.define(eq=False, repr=False)
class CrashingParts:
    """The bad parts, and what the engines received and lost under them."""

    names: set[str] = attrs.field(factory=set)
    """Names of the bad parts; for chat completions, the content of a message."""
    arrivals_s: list[float] = attrs.field(factory=list)
    """Times at which requests with a bad part reached an engine."""

    def crashes(self, call: BackendCall) -> bool:
        """Return whether a request crashes the engine that begins to run it."""
        return not self.names.isdisjoint(call.shared_parts)

    def arrived(self, call: BackendCall) -> None:
        """Record that a request reached an engine."""
        if self.crashes(call):
            self.arrivals_s.append(asyncio.get_running_loop().time())


def message_parts(body: bytes) -> tuple[str, ...]:
    """Return the parts of a chat completion's prompt: all messages but the last."""
    try:
        messages = json.loads(body)["messages"]
        return tuple(str(message["content"]) for message in messages[:-1])
    except (ValueError, KeyError, TypeError):
        return ()
