"""Reads right after an apply, with and without a lowest revision.

An operator's file is accepted by one node; the next read goes to another. Counted is
how often that read shows the state before the file, without and with
``min_revision``, and how long the second kind waits.
"""

from __future__ import annotations

import asyncio
import sys
import time

from demo import REGION, ZONES, declared_state
from fleet import Fleet

NODES = 9
APPLIES = 20


async def main() -> None:
    """Run both kinds in turn and print what they came to."""
    async with Fleet.from_directory() as fleet:
        await fleet.start_platform()
        nodes = await fleet.start_nodes(NODES, REGION, ZONES)
        for node in nodes:
            await fleet.wait_http(f"{node.operators_url}/metrics")
        await asyncio.sleep(3.0)
        stale = {"plain": 0, "with min_revision": 0}
        waits_s: list[float] = []
        revision = 0
        for index in range(2 * APPLIES):
            declared = declared_state()
            declared["policy"]["stranded_weight"] = index / 100
            entry = nodes[index % NODES]
            status, body = await fleet.apply(entry, declared, revision, f"a{index}")
            if status != 200:
                raise RuntimeError(f"apply: {body}")
            revision = body["revision"]
            other = nodes[(index + 4) % NODES]
            kind = "with min_revision" if index % 2 else "plain"
            query = f"?min_revision={revision}" if index % 2 else ""
            started_s = time.monotonic()
            found = await fleet.read(other, f"/config{query}")
            stale[kind] += found["revision"] < revision
            if index % 2:
                waits_s.append(time.monotonic() - started_s)
            await asyncio.sleep(0.5)
    waits_s.sort()
    for kind, count in stale.items():
        print(f"{kind}: {count} of {APPLIES} reads showed an older revision")
    middle_ms, longest_ms = (
        1000 * w for w in (waits_s[len(waits_s) // 2], waits_s[-1])
    )
    print(f"with min_revision: p50 {middle_ms:.0f} ms, longest {longest_ms:.0f} ms")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
