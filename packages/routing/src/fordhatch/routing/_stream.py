"""Putting a token stream together: every token once, in order, up to the end mark."""

from __future__ import annotations

import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, InvariantGuard, Ran, ResultCode

MOST_HELD = 256
"""Tokens that may wait for one that is missing."""


@attrs.define
class StreamAssembler:
    """Orders tokens by index, drops doubles and notices gaps."""

    next_index: int
    """Index of the next token to deliver."""
    _held: dict[int, str] = attrs.field(factory=dict)
    _total: int | None = None
    guard: InvariantGuard = attrs.field(factory=lambda: InvariantGuard("stream"))

    def take(self, index: int, text: str) -> Result[list[tuple[int, str]], Failure]:
        """Take one token as it arrived.

        Args:
            index: Its place in the answer.
            text: Its text.

        Returns:
            The tokens that may now be delivered, in order. A failure when too many
            tokens wait for one that is missing.
        """
        if index < self.next_index:
            return Ok([])
        self._held.setdefault(index, text)
        ready = []
        while self.next_index in self._held:
            ready.append((self.next_index, self._held.pop(self.next_index)))
            self.next_index += 1
        if len(self._held) > MOST_HELD:
            return Err(_incomplete(f"token {self.next_index} is missing"))
        return Ok(ready)

    def finish(self, tokens: int) -> Result[None, Failure]:
        """Take the end mark.

        Args:
            tokens: Total length of the answer.

        Returns:
            A failure where tokens before the end are missing.
        """
        if self.next_index != tokens or self._held:
            return Err(_incomplete(f"{self.next_index} of {tokens} tokens arrived"))
        return Ok(None)


def _incomplete(message: str) -> Failure:
    return Failure.from_code(ResultCode.STREAM_INCOMPLETE, message, ran=Ran.MAYBE)
