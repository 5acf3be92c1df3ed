"""A run that another one may take over from."""

from __future__ import annotations

import asyncio

import attrs


@attrs.define(eq=False, repr=False, kw_only=True)
class HedgedRun:
    """One run of a request at a backend server, the first one or one beside it."""

    step: asyncio.Future[object] | None = None
    """The operation that it waits for."""
    is_silent: bool = False
    """Whether it takes longer than the work there explains."""
    is_superseded: bool = False
    """Whether another run of the request has taken over."""

    def supersede(self) -> None:
        """End it, as another run of the request has taken over."""
        self.is_superseded = True
        if self.step is not None:
            self.step.cancel()
