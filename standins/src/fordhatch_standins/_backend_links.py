"""Links from a node to the backend servers, which can be cut."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from enum import Enum

import attrs

from ._calls import CutOff


class CutKind(Enum):
    """What happens to the connections of a node whose links are cut."""

    HANG = "hang"
    """New connections time out, and open ones go silent for good."""
    RESET = "reset"
    """New connections are refused, and open ones break."""
    REFUSE_NEW = "refuse_new"
    """New connections are refused, and open ones go on."""


@attrs.define(eq=False, repr=False)
class BackendLinks:
    """The links of one node to all backend servers."""

    kind: CutKind | None = None
    """How the links are cut; None while they are not."""
    cuts: Callable[[str], bool] = lambda address: True
    """Returns whether a cut concerns an address."""

    def cut(self, kind: CutKind) -> None:
        """Cut the links."""
        self.kind = kind

    def restore(self) -> None:
        """End the cut."""
        self.kind = None

    def is_cut(self, address: str) -> bool:
        """Return whether new connections to an address fail."""
        return self.kind is not None and self.cuts(address)

    def refuses(self, address: str) -> bool:
        """Return whether new connections to an address fail at once."""
        return self.is_cut(address) and self.kind is not CutKind.HANG

    async def carry(
        self, pieces: AsyncIterator[bytes], address: str
    ) -> AsyncIterator[bytes]:
        """Pass on the pieces of an answer for as long as its connection works.

        Raises:
            CutOff: If the connection breaks.
        """
        try:
            async for piece in pieces:
                if self.is_cut(address):
                    await self._break()
                yield piece
        finally:
            await pieces.aclose()  # type: ignore[attr-defined]

    async def _break(self) -> None:
        """Do to an open connection what the cut does to it."""
        if self.kind is CutKind.RESET:
            raise CutOff
        if self.kind is CutKind.HANG:
            await asyncio.Event().wait()
