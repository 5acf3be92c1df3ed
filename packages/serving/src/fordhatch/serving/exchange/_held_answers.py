"""Bodies of answers that this node holds in its memory."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import attrs

from fordhatch.core import Holding, MemoryAccount

HELD_ANSWER_BYTES = 4 * 1024 * 1024
"""Most bytes of one answer that are held: the usual longest body of a request. A
failed answer of that length can be retried; a longer one is passed on as it comes."""

ANSWERS_FRACTION = 0.5
"""Part of the room for what is held that answers may take: the rest is left to bodies,
without which no work begins."""

SMALL_ANSWER_BYTES = 64 * 1024
"""Bytes of each answer that are held even then, so that failures of backend servers
stay complete."""

ANSWERS = "answers"
"""Kind under which they are counted."""

_ANSWER = "a body of more than {} bytes"


class PiecewiseAnswer(Protocol):
    """An answer whose body is read in pieces."""

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body; empty at its complete end."""
        ...


@attrs.define
class HeldBody:
    """The body of an answer, or its beginning."""

    pieces: list[bytes]
    is_whole: bool
    """Whether the end of the body was read; else there is more."""

    @property
    def data(self) -> bytes:
        """All pieces together."""
        return b"".join(self.pieces)

    @property
    def size_bytes(self) -> int:
        """Length of all pieces together."""
        return sum(map(len, self.pieces))

    @property
    def excess(self) -> str:
        """What the log says of a body that is too long to be held."""
        return _ANSWER.format(self.size_bytes)


@attrs.define(eq=False, repr=False)
class HeldAnswers:
    """Counts the bytes of answers that are held."""

    memory: MemoryAccount

    @contextmanager
    def hold(self) -> Iterator[AnswerHold]:
        """Hold answers to one request until the reply to its caller is final."""
        holding = self.memory.hold(ANSWERS)
        try:
            yield AnswerHold(self.memory, holding)
        finally:
            holding.end()


@attrs.define(eq=False, repr=False)
class AnswerHold:
    """What is held for one request, of all its attempts."""

    memory: MemoryAccount
    holding: Holding

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
                return HeldBody(pieces, is_whole=True)
            pieces.append(piece)
            size_bytes += len(piece)
            self.holding.add(len(piece))
        return HeldBody(pieces, is_whole=False)

    def _may_hold(self, size_bytes: int) -> bool:
        if size_bytes <= SMALL_ANSWER_BYTES:
            return True
        limit_bytes = ANSWERS_FRACTION * self.memory.capacity_bytes
        is_free = self.memory.held_bytes[ANSWERS] <= limit_bytes
        return is_free and self.memory.has_room() and size_bytes <= HELD_ANSWER_BYTES
