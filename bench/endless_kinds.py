"""Measures what each kind of answer without end does to one node.

Prints for each kind the longest wait for the node's readiness page, which stands for
all other callers, the processor time, the peak of memory so far, and the answers.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import aiohttp
import attrs
from cyclopts import App
from demo import chat_body
from fleet import API_KEY, Fleet, NodeProcess, declared_state
from soak_timeline import ProcessLife, Timeline

from fordhatch_standins import EndlessKind

ENGINES, STEP_S = 5, 0.002
TIMEOUT_S = 5.0
"""Time limit of each request."""

CHAT_PATH, PLAIN_PATH = "/v1/chat/completions", "/services/yard/plain/1"
STREAMS = 2
"""Callers that stream at a time, beside one that calls the plain service."""

CLOCK_TICKS_PER_S = 100.0

app = App(name="endless-kinds", help="A node beside answers without end, by kind.")


@attrs.define(eq=False, repr=False)
class EndlessTrial:
    """One node while all answers of one kind have no end."""

    fleet: Fleet
    node: NodeProcess
    life: ProcessLife

    async def run(self, of: str, kind: EndlessKind, share: float, for_s: float) -> str:
        """Return a line of figures for one kind."""
        await self.fleet.act("endless", of=of, share=share, kinds=[kind])
        until_s, used_s = time.monotonic() + for_s, self._processor_s()
        worst_s, plain, *streams = await asyncio.gather(
            self._probe(until_s),
            self._ask(PLAIN_PATH, {"text": "plain"}, until_s),
            *(
                self._ask(CHAT_PATH, chat_body(f"stream {n}", stream=True), until_s)
                for n in range(STREAMS)
            ),
        )
        used_s = self._processor_s() - used_s
        await self.fleet.act("endless", of=of, share=0.0)
        self.life.read_memory()
        return (
            f"{of:8} {kind:16} wait {worst_s:5.2f} s, processor {used_s:4.1f} s, "
            f"peak {self.life.peak_bytes / 1e6:4.0f} MB, "
            f"streams {dict(sum(streams, Counter()))}, plain {dict(plain)}"
        )

    def _processor_s(self) -> float:
        stat = Path(f"/proc/{self.life.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    async def _probe(self, until_s: float) -> float:
        worst_s = 0.0
        while (began_s := time.monotonic()) < until_s:
            async with self.fleet.session.get(self.node.ready_url) as reply:
                await reply.read()
            worst_s = max(worst_s, time.monotonic() - began_s)
            await asyncio.sleep(0.02)
        return worst_s

    async def _ask(self, path: str, body: dict, until_s: float) -> Counter[str]:
        headers = {"Authorization": f"Bearer {API_KEY}", "X-Timeout-S": f"{TIMEOUT_S}"}
        url, found = self.node.url + path, Counter[str]()
        while time.monotonic() < until_s:
            try:
                async with self.fleet.session.post(
                    url, json=body, headers=headers
                ) as reply:
                    async for _ in reply.content.iter_any():
                        continue
                    found[str(reply.status)] += 1
            except (aiohttp.ClientError, TimeoutError) as error:
                found[type(error).__name__] += 1
            await asyncio.sleep(0.05)
        return found


async def _measure(for_s: float, kinds: list[EndlessKind]) -> None:
    async with Fleet.create() as fleet:
        await fleet.start_standins(engines=ENGINES, spare=0, step_s=STEP_S)
        node = await fleet.start_node(fleet.settings(0, drain_grace_s=1.0))
        life = Timeline().record_start(node)
        await fleet.apply(node, declared_state(1), 0, "first")
        await fleet.until_converged(node, 1)
        trial = EndlessTrial(fleet, node, life)
        for of, share in (("backends", 1.0), ("store", 0.5)):
            for kind in kinds:
                print(await trial.run(of, kind, share, for_s), flush=True)
                await asyncio.sleep(1.0)


@app.default
def main(*, for_s: float = 4.0, kinds: list[EndlessKind] | None = None) -> None:
    """Measure the kinds one after the other.

    Parameters
    ----------
    for_s
        Time of each kind, in seconds.
    kinds
        The kinds; all if there are none.
    """
    asyncio.run(_measure(for_s, kinds or list(EndlessKind)))


if __name__ == "__main__":
    app()
