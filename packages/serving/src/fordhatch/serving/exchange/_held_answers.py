"""Bodies of answers that this node holds in its memory."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import attrs

HELD_ANSWER_BYTES = 4 * 1024 * 1024
"""Most bytes of one answer that are held: the usual longest body of a request. A
failed answer of that length can be retried; a longer one is passed on as it comes."""

HELD_ANSWERS_BYTES = 64 * 1024 * 1024
"""Most bytes of all answers that are held together, of the 300 MB of a node: what is
held is copied once on its way, and a node without any takes 55 MB."""

SMALL_ANSWER_BYTES = 64 * 1024
"""Bytes of each answer that are held even then, so that failures of backend servers
stay complete."""

_ANSWER = "a body of more than {} bytes"


class PiecewiseAnswer(Protocol):
    """An answer whose body is read in pieces."""

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body; empty at its complete end."""
        ...


@attrs.frozen
class HeldBody:
    """The body of an answer, or its beginning."""

    data: bytes
    is_whole: bool
    """Whether the end of the body was read; else there is more."""

    @property
    def excess(self) -> str:
        """What the log says of a body that is too long to be held."""
        return _ANSWER.format(len(self.data))


@attrs.define(eq=False, repr=False)
class HeldAnswers:
    """Counts the bytes of answers that are held."""

    held_bytes: int = 0

    @contextmanager
    def hold(self) -> Iterator[AnswerHold]:
        """Hold answers to one request until the reply to its caller is final."""
        hold = AnswerHold(self)
        try:
            yield hold
        finally:
            hold.is_over = True
            self.held_bytes -= hold.held_bytes


@attrs.define(eq=False, repr=False)
class AnswerHold:
    """What is held for one request, of all its attempts."""

    answers: HeldAnswers
    held_bytes: int = 0
    is_over: bool = False
    """Whether the reply is final; what is still read is not held any more."""

    async def read(self, answer: PiecewiseAnswer) -> HeldBody:
        """Return the body of an answer, or its beginning if it is too long.

        Raises:
            aiohttp.ClientError, OSError: If the body is incomplete.
        """
        pieces: list[bytes] = []
        size_bytes = 0
        while self._may_hold(size_bytes):
            piece = await answer.read_piece()
            if not piece:
                return HeldBody(b"".join(pieces), is_whole=True)
            pieces.append(piece)
            size_bytes += len(piece)
            if not self.is_over:
                self.held_bytes += len(piece)
                self.answers.held_bytes += len(piece)
        return HeldBody(b"".join(pieces), is_whole=False)

    def _may_hold(self, size_bytes: int) -> bool:
        if size_bytes <= SMALL_ANSWER_BYTES:
            return True
        is_free = self.answers.held_bytes <= HELD_ANSWERS_BYTES
        return is_free and size_bytes <= HELD_ANSWER_BYTES
