"""A backend server that stands still for a while and then goes on."""

from __future__ import annotations

import asyncio

import attrs


@attrs.define(eq=False, repr=False)
class StandStill:
    """Holds up all work of one backend server while it stands still.

    Connections are accepted meanwhile, as the kernel does for a stopped process.
    """

    mutes_probes: bool = False
    """Whether probes get no answer either meanwhile."""
    _end: asyncio.Event | None = None
    """Set when the present one ends; None while the backend server works."""

    def begin(self, for_s: float, *, mutes_probes: bool) -> None:
        """Stand still from now on, unless it does so already.

        Args:
            for_s: How long, in seconds.
            mutes_probes: Whether probes get no answer either.
        """
        if self._end is not None:
            return
        self.mutes_probes = mutes_probes
        self._end = asyncio.Event()
        asyncio.get_running_loop().call_later(for_s, self.end)

    def end(self) -> None:
        """Go on with all work."""
        if self._end is not None:
            self._end.set()
            self._end = None

    async def wait(self) -> None:
        """Wait until the backend server works."""
        while self._end is not None:
            await self._end.wait()

    async def wait_to_answer_probe(self) -> None:
        """Wait until the backend server answers probes."""
        if self.mutes_probes:
            await self.wait()
