"""Slopes of what each role costs, and what they come to at the design size.

Control is measured on real processes at rest; requests on real processes under a
load; planning, claims and state within this process. The results go into
``bench/results/capacity.json`` and, as tables, into ``bench/results/capacity.md``.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import attrs
import msgpack
from cyclopts import App, Parameter
from demo import API_KEY, REGION, ZONES, declared_state
from fleet import Fleet, NodeChild

from fordhatch.config import OperatorsFile, hash_key
from fordhatch.core import Timer
from fordhatch.engine import HttpEngineClient
from fordhatch.groups import (
    GroupMap,
    GroupRow,
    GroupView,
    InstanceRow,
    InstanceView,
    Member,
    RegionView,
    RepairFirstPolicy,
    homes_of,
)
from fordhatch.membership import MembershipTable
from fordhatch.platform import Instance
from fordhatch.protocol.messages import NodeRecord
from fordhatch.routing import CLAIM_SHARDS, ClaimBatcher, ClaimWrite
from fordhatch_standins import MemoryPlatform

app = App(name="bench-capacity", help="Slopes of what each role costs.")

RESULTS = Path(__file__).parent / "results"
MEASURE_S = 12.0
"""Length of one measurement at rest."""
LOAD_S = 8.0
"""Length of one measurement under load."""
GROUP_SIZE = 8

NODE_COUNTS = [4, 8, 16, 32]
GROUP_COUNTS = [2, 6, 12, 24]
LOADS = [(10, 16), (20, 16), (40, 16), (12, 128), (24, 128)]
"""Requests a second and tokens for each."""
CLAIM_RATES = [25, 50, 100, 200, 300, 400]
CLAIM_OWNERS = 3 * CLAIM_SHARDS
"""Claim owners in three regions."""
INSTANCE_COUNTS = [48, 96, 200, 400]
HOME_NODE_COUNTS = [42, 85, 170, 340]
WORKSPACE_COUNTS = [10, 40, 160, 640]
ROW_COUNTS = [50, 100, 200, 400]


@attrs.frozen
class Fit:
    """A straight line through measurements."""

    slope: float
    intercept: float
    worst_error: float
    """Largest distance of a measurement from the line."""

    @classmethod
    def from_points(cls, x: list[float], y: list[float]) -> Fit:
        """Return the least-squares line."""
        line = statistics.linear_regression(x, y)
        errors = [
            abs(b - line.slope * a - line.intercept) for a, b in zip(x, y, strict=True)
        ]
        return cls(line.slope, line.intercept, max(errors))


def say(text: str) -> None:
    """Print a step."""
    print(text, flush=True)


async def start(fleet: Fleet, nodes: int, groups: int) -> list[NodeChild]:
    """Start a fleet with so many nodes and groups, and wait until all serves."""
    await fleet.start_platform(list_lag_s=0.2, weight_rate=1e12)
    left, index = groups * GROUP_SIZE, 0
    while left > 0:
        count = min(left, 48)
        name = f"rack-{index}"
        await fleet.start_backend(
            "engines", name, count=count, fabric_domain=name, zone=ZONES[index % 3]
        )
        left, index = left - count, index + 1
    await fleet.start_backend("plain", "yard-1", service="yard-app")
    children = await fleet.start_nodes(nodes, REGION, ZONES)
    for node in children:
        await fleet.wait_http(f"{node.operators_url}/metrics", 60.0)
    declared = declared_state()
    declared["model_services"][0].update(
        {"groups": groups, "group_size": GROUP_SIZE, "max_running": 32}
    )
    status, body = await fleet.apply(children[0], declared, 0, "capacity")
    if status != 200:
        raise RuntimeError(f"apply: {body}")
    await wait_converged(fleet, children, nodes)
    return children


async def wait_converged(fleet: Fleet, nodes: list[NodeChild], count: int) -> None:
    """Wait until the declared state is in force and serves."""
    status: Any = None
    for _ in range(300):
        status = await fleet.read(nodes[0], "/status")
        if status.get("converged") and status["nodes_in_force"] == count:
            return
        await asyncio.sleep(0.2)
    raise RuntimeError(f"not converged: {status}")


async def counters(fleet: Fleet, nodes: list[NodeChild]) -> dict[str, float]:
    """Return the sums of the nodes' counters and processor seconds."""
    total = {"cpu_s": 0.0, "bytes": 0.0, "messages": 0.0, "probes": 0.0}
    for node in nodes:
        total["cpu_s"] += fleet.cpu_s(node.name)
        async with fleet.session.get(f"{node.operators_url}/metrics") as reply:
            text = await reply.text()
        total["bytes"] += _metric(text, "fordhatch_peer_bytes_total", "sent")
        total["messages"] += _metric(text, "fordhatch_peer_messages_total", "sent")
        total["probes"] += _metric(text, "fordhatch_probes_total", "")
    counts = await fleet.get(f"{fleet.platform.url}/counts")
    return {**total, "reads": counts["reads"], "writes": counts["writes"]}


def _metric(text: str, name: str, label: str) -> float:
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(name + "{") and label in line
    )


async def at_rest(nodes: int, groups: int) -> dict[str, float]:
    """Measure what control costs with no callers."""
    async with Fleet.from_directory() as fleet:
        children = await start(fleet, nodes, groups)
        # News of the nodes' own start dies down first.
        await asyncio.sleep(4.0 + 0.5 * nodes)
        before, started_s = await counters(fleet, children), time.monotonic()
        await asyncio.sleep(MEASURE_S)
        after, passed_s = await counters(fleet, children), time.monotonic() - started_s
        memory = max(fleet.memory_bytes(n.name) for n in children)
        spread = await spread_of_changes(fleet, children)
    rates = {k: (after[k] - before[k]) / passed_s for k in after}
    found = {
        "nodes": nodes,
        "groups": groups,
        "core_percent_per_node": 100 * rates["cpu_s"] / nodes,
        "bytes_s_per_node": rates["bytes"] / nodes,
        "messages_s_per_node": rates["messages"] / nodes,
        "probes_s_per_node": rates["probes"] / nodes,
        "store_reads_s": rates["reads"],
        "store_writes_s": rates["writes"],
        "memory_mb": memory / 1e6,
        **spread,
    }
    say(f"at rest: {json.dumps({k: round(v, 3) for k, v in found.items()})}")
    return found


async def spread_of_changes(fleet: Fleet, nodes: list[NodeChild]) -> dict[str, float]:
    """Measure how long a change takes to be in force on every node."""
    taken_s, reads = [], []
    for index in range(4):
        declared = (await fleet.read(nodes[0], "/config"))["config"]
        declared["policy"]["stranded_weight"] = 0.1 + 0.1 * index
        entry = nodes[index % len(nodes)]
        before = (await fleet.get(f"{fleet.platform.url}/counts"))["reads"]
        status, body = await fleet.apply(entry, declared, index + 1, f"c{index}")
        if status != 200:
            raise RuntimeError(f"apply: {body}")
        accepted_s, late = time.monotonic(), list(nodes)
        while late:
            replies = await asyncio.gather(*(fleet.read(n, "/config") for n in late))
            late = [
                n
                for n, r in zip(late, replies, strict=True)
                if r["revision"] < body["revision"]
            ]
        taken_s.append(time.monotonic() - accepted_s)
        after = (await fleet.get(f"{fleet.platform.url}/counts"))["reads"]
        reads.append(after - before)
    return {
        "in_force_longest_s": max(taken_s),
        "reads_per_change": statistics.median(reads),
    }


async def under_load(rates: list[tuple[int, int]]) -> list[dict[str, float]]:
    """Measure what requests and tokens cost, on 4 nodes and 4 groups."""
    found = []
    async with Fleet.from_directory() as fleet:
        children = await start(fleet, 4, 4)
        rest_s = await cpu_over(fleet, children, LOAD_S, 0, 0)
        for rate, tokens in rates:
            used_s = await cpu_over(fleet, children, LOAD_S, rate, tokens)
            row = {
                "requests_s": rate,
                "tokens_s": rate * tokens,
                "core_percent": 100 * (used_s - rest_s) / LOAD_S,
            }
            say(f"under load: {json.dumps(row)}")
            found.append(row)
    return found


async def cpu_over(
    fleet: Fleet, nodes: list[NodeChild], duration_s: float, rate: int, tokens: int
) -> float:
    """Return the nodes' processor seconds while requests arrive at a rate."""
    before_s = sum(fleet.cpu_s(n.name) for n in nodes)
    asked = []
    for index in range(int(rate * duration_s)):
        asked.append(
            asyncio.create_task(ask(fleet, nodes[index % len(nodes)], index, tokens))
        )
        await asyncio.sleep(1 / rate)
    if not rate:
        await asyncio.sleep(duration_s)
    done = await asyncio.gather(*asked)
    if not all(done):
        raise RuntimeError(f"{done.count(False)} of {len(done)} requests failed")
    return sum(fleet.cpu_s(n.name) for n in nodes) - before_s


async def ask(fleet: Fleet, node: NodeChild, index: int, tokens: int) -> bool:
    """Send one streamed request; return whether its answer was whole."""
    body = {
        "model": "estimates",
        "messages": [{"role": "user", "content": f"request {index}"}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {API_KEY}"}
    url = f"{node.url}/v1/chat/completions"
    async with fleet.session.post(url, json=body, headers=headers) as reply:
        return (await reply.text()).rstrip().endswith("data: [DONE]")


async def claims(rate: int, owners: int) -> dict[str, float]:
    """Measure how many transactions carry the claims of so many requests a second."""
    platform = MemoryPlatform()
    platform.faults.delay_s = 0.005
    timer = Timer.from_seed(rate)
    batchers = [ClaimBatcher(platform, timer) for _ in range(owners)]
    waits: list[float] = []
    duration_s = 3.0

    async def claim(index: int) -> None:
        batcher = batchers[index % owners]
        value: dict[str, object] = {"attempt_id": f"a{index}", "write_id": f"a{index}"}
        started_s = timer.now_s()
        await batcher.submit(ClaimWrite(f"claims/{index}", "", value))
        waits.append(timer.now_s() - started_s)
        settled = {**value, "write_id": f"b{index}"}
        await batcher.submit(ClaimWrite(f"claims/{index}", f"a{index}", settled))

    tasks = []
    used_s = time.process_time()
    for index in range(int(rate * duration_s)):
        tasks.append(asyncio.create_task(claim(index)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    row = {
        "claims_s": rate,
        "owners": owners,
        "transactions_s": platform.writes / duration_s,
        "wait_p95_ms": 1000 * sorted(waits)[int(0.95 * len(waits))],
        "core_percent": 100 * (time.process_time() - used_s) / duration_s,
    }
    say(f"claims: {json.dumps({k: round(v, 2) for k, v in row.items()})}")
    return row


def region_view(instances: int) -> RegionView:
    """Return a region where every group serves but one, and a few are spare."""
    groups: dict[str, GroupView] = {}
    views: dict[str, InstanceView] = {}
    for index in range(instances):
        name = f"gpu-{index}"
        place = Instance(name, f"h:{index}", REGION, "z", "f-0", "a100")
        views[name] = InstanceView(place, state="ready")
    for number in range((instances - instances // 20) // GROUP_SIZE):
        names = [f"gpu-{number * GROUP_SIZE + rank}" for rank in range(GROUP_SIZE)]
        row = group_row(number, names)
        group = GroupView(row, dict.fromkeys(names, "ready"), dict.fromkeys(names, 0.0))
        group.serving = number > 0
        if number == 0:
            group.states[names[0]] = "lost"
        for rank, name in enumerate(names):
            views[name].row = InstanceRow(name, row.group_id, 1, rank, 1)
        groups[row.group_id] = group
    return RegionView(1000.0, views, groups)


def group_row(number: int, names: list[str]) -> GroupRow:
    """Return a group row as the table holds it."""
    members = [
        Member(name, f"10.0.{number}.{i}:8000", "z", 1) for i, name in enumerate(names)
    ]
    return GroupRow(
        f"estimator-llm-{number}",
        REGION,
        "estimator-llm",
        "model",
        1,
        "active",
        number + 1,
        members,
        "f-0",
        "estimator",
        "2026-11",
        ["tariff-coding"],
        1,
    )


def planning(instances: int) -> dict[str, float]:
    """Measure one pass of the policy."""
    document = declared_state()
    count = (instances - instances // 20) // GROUP_SIZE
    document["model_services"][0].update({"group_size": GROUP_SIZE, "groups": count})
    declared = OperatorsFile.from_json(json.dumps(document).encode()).unwrap()
    view, policy, repeats = region_view(instances), RepairFirstPolicy(), 20
    started_s = time.process_time()
    for _ in range(repeats):
        decisions = policy.decide(view, declared, REGION)
    passed_s = (time.process_time() - started_s) / repeats
    if not decisions:
        raise RuntimeError("the policy saw nothing to repair")
    row = {"instances": instances, "pass_ms": 1000 * passed_s}
    say(f"planning: {json.dumps(row)}")
    return row


def state(rows: int) -> dict[str, float]:
    """Measure what a node's copy of the group rows takes."""
    made = [
        group_row(n, [f"gpu-{n * GROUP_SIZE + r}" for r in range(GROUP_SIZE)])
        for n in range(rows)
    ]
    values = [json.loads(json.dumps(row.to_value())) for row in made]
    tracemalloc.start()
    group_map = GroupMap()
    group_map.adopt(REGION, rows, [GroupRow.from_value(v) for v in values])
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    wire = sum(len(msgpack.packb(v)) for v in values)
    row = {"groups": rows, "memory_kb": used / 1e3, "wire_kb": wire / 1e3}
    say(f"state: {json.dumps(row)}")
    return row


def homes(nodes: int) -> dict[str, float]:
    """Measure finding the homes of 50 groups among so many nodes in 3 regions."""
    own = NodeRecord("node-0", "h:0", REGION, "z0", 1, "alive")
    table = MembershipTable(own)
    for n in range(1, nodes):
        region = REGION if n % 3 == 0 else f"other-{n % 3}"
        table.merge(
            NodeRecord(f"node-{n}", f"h:{n}", region, f"z{n % 4}", 1, "alive"), 0.0
        )
    rows = [
        group_row(n, [f"gpu-{n}-{r}" for r in range(GROUP_SIZE)]) for n in range(50)
    ]
    spent_ms = []
    for _ in range(21):
        started_s = time.process_time()
        for row in rows:
            homes_of(row, table)
        spent_ms.append(1000 * (time.process_time() - started_s))
    row = {
        "nodes": nodes,
        "after_a_change_ms": spent_ms[0],
        "known_ms": statistics.fmean(spent_ms[1:]),
    }
    say(f"homes: {json.dumps(row)}")
    return row


def configuration(workspaces: int) -> dict[str, float]:
    """Measure what a file with so many workspaces takes to send, check and keep."""
    document = declared_state()
    first = document["workspaces"][0]
    document["workspaces"] = [
        {**first, "name": f"w-{n}", "api_keys": [hash_key(f"key {n}")]}
        for n in range(workspaces)
    ]
    content = json.dumps(document).encode()
    OperatorsFile.from_json(content).unwrap()
    repeats = 5
    started_s = time.process_time()
    for _ in range(repeats):
        OperatorsFile.from_json(content).unwrap()
    check_ms = 1000 * (time.process_time() - started_s) / repeats
    tracemalloc.start()
    kept = OperatorsFile.from_json(content).unwrap()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    row = {
        "workspaces": len(kept.workspaces),
        "file_kb": len(content) / 1e3,
        "check_ms": check_ms,
        "memory_kb": used / 1e3,
    }
    say(f"configuration: {json.dumps(row)}")
    return row


async def probe_bytes() -> dict[str, float]:
    """Measure the bytes of one probe, request and answer, on a kept connection."""
    counted = 0
    async with Fleet.from_directory() as fleet:
        await fleet.start_platform()
        engine = await fleet.start_backend("engine", "gpu-1")
        await fleet.wait_http(f"{engine.url}/status")
        host, port = engine.url.removeprefix("http://").split(":")

        async def relay(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal counted
            while data := await reader.read(65536):
                counted += len(data)
                writer.write(data)

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(relay(reader, far_writer), relay(far_reader, writer))

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        client = HttpEngineClient.from_defaults()
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for _ in range(20):
            (await client.status(address)).unwrap()
        await client.close()
        server.close()
    row = {"probes": 20, "bytes_each": counted / 20}
    say(f"probe: {json.dumps(row)}")
    return row


async def _claims_of_all() -> list[dict[str, float]]:
    return [await claims(rate, CLAIM_OWNERS) for rate in CLAIM_RATES]


async def _nodes() -> list[dict[str, float]]:
    return [await at_rest(n, 6) for n in NODE_COUNTS]


async def _groups() -> list[dict[str, float]]:
    return [await at_rest(8, n) for n in GROUP_COUNTS]


async def _state() -> list[dict[str, float]]:
    return [state(n) for n in ROW_COUNTS]


async def _configuration() -> list[dict[str, float]]:
    return [configuration(n) for n in WORKSPACE_COUNTS]


async def _homes() -> list[dict[str, float]]:
    return [homes(n) for n in HOME_NODE_COUNTS]


async def _planning() -> list[dict[str, float]]:
    return [planning(n) for n in INSTANCE_COUNTS]


SECTIONS: dict[str, Callable[[], Awaitable[Any]]] = {
    "state": _state,
    "planning": _planning,
    "configuration": _configuration,
    "homes": _homes,
    "claims": _claims_of_all,
    "claims_without_owners": lambda: claims(300, 340),
    "probe": probe_bytes,
    "nodes": _nodes,
    "groups": _groups,
    "load": lambda: under_load(LOADS),
}
"""Every measurement by name."""


async def measure(only: list[str]) -> dict[str, Any]:
    """Run every measurement, or some and keep the others of the last run."""
    if not only:
        return {name: await run() for name, run in SECTIONS.items()}
    kept = json.loads((RESULTS / "capacity.json").read_text())["measured"]
    return {**kept, **{name: await SECTIONS[name]() for name in only}}


def fits(found: dict[str, Any]) -> dict[str, Fit]:
    """Return the slopes."""

    def line(name: str, x: str, y: str) -> Fit:
        rows = found[name]
        return Fit.from_points([r[x] for r in rows], [r[y] for r in rows])

    probes = [r["probes_s_per_node"] for r in found["nodes"] + found["groups"]]
    cores = [r["core_percent_per_node"] for r in found["nodes"] + found["groups"]]
    return {
        "core % of a node by probes/s": Fit.from_points(probes, cores),
        "peer bytes/s of a node by nodes": line("nodes", "nodes", "bytes_s_per_node"),
        "peer bytes/s of a node by groups": line(
            "groups", "groups", "bytes_s_per_node"
        ),
        "memory MB of a node by nodes": line("nodes", "nodes", "memory_mb"),
        "memory MB of a node by groups": line("groups", "groups", "memory_mb"),
        "store reads/s by nodes": line("nodes", "nodes", "store_reads_s"),
        "store writes/s by nodes": line("nodes", "nodes", "store_writes_s"),
        "longest s to be in force by nodes": line(
            "nodes", "nodes", "in_force_longest_s"
        ),
        "reads for a change by nodes": line("nodes", "nodes", "reads_per_change"),
        "planning ms by instances": line("planning", "instances", "pass_ms"),
        "group map KB by groups": line("state", "groups", "memory_kb"),
        "group rows on the wire KB by groups": line("state", "groups", "wire_kb"),
        "ms for the homes of 50 groups after a change by nodes": line(
            "homes", "nodes", "after_a_change_ms"
        ),
        "ms for the homes of 50 groups, known, by nodes": line(
            "homes", "nodes", "known_ms"
        ),
        "file KB by workspaces": line("configuration", "workspaces", "file_kb"),
        "ms to check a file by workspaces": line(
            "configuration", "workspaces", "check_ms"
        ),
        "core % of all claim owners by claims/s": line(
            "claims", "claims_s", "core_percent"
        ),
        "claim transactions/s by claims/s (6 owners)": line(
            "claims", "claims_s", "transactions_s"
        ),
    }


def load_costs(found: dict[str, Any]) -> tuple[float, float]:
    """Return core percent for one request a second and for 1,000 tokens a second.

    Least squares without a constant, in two unknowns.
    """
    rows = found["load"]
    rr = sum(r["requests_s"] ** 2 for r in rows)
    tt = sum(r["tokens_s"] ** 2 for r in rows)
    rt = sum(r["requests_s"] * r["tokens_s"] for r in rows)
    ry = sum(r["requests_s"] * r["core_percent"] for r in rows)
    ty = sum(r["tokens_s"] * r["core_percent"] for r in rows)
    det = rr * tt - rt * rt
    return (ry * tt - ty * rt) / det, 1000 * (ty * rr - ry * rt) / det


def tables(found: dict[str, Any], lines: dict[str, Fit]) -> str:
    """Return the results as Markdown."""
    parts = [
        "# Measured slopes",
        "",
        "Written by `make bench-capacity`; read with `docs/CAPACITY.md`.",
        "",
        "| slope | per unit | at zero | worst error |",
        "|---|---|---|---|",
    ]
    for name, fit in lines.items():
        figures = (fit.slope, fit.intercept, fit.worst_error)
        parts.append(f"| {name} | " + " | ".join(f"{f:.4g}" for f in figures) + " |")
    request, tokens = load_costs(found)
    parts.append(f"| core % of all nodes for 1 request/s | {request:.4g} | 0 | |")
    parts.append(f"| core % of all nodes for 1,000 tokens/s | {tokens:.4g} | 0 | |")
    for name, rows in found.items():
        listed = rows if isinstance(rows, list) else [rows]
        parts += ["", f"## {name}", "", "| " + " | ".join(listed[0]) + " |"]
        parts.append("|" + "---|" * len(listed[0]))
        for row in listed:
            parts.append("| " + " | ".join(f"{v:.4g}" for v in row.values()) + " |")
    return "\n".join(parts) + "\n"


@app.default
def run(
    *,
    only: Annotated[
        list[str] | None, Parameter(help="Some sections.", consume_multiple=True)
    ] = None,
) -> None:
    """Measure, fit and write."""
    found = asyncio.run(measure(only or []))
    lines = fits(found)
    RESULTS.mkdir(exist_ok=True)
    record = {"measured": found, "fits": {k: attrs.asdict(v) for k, v in lines.items()}}
    (RESULTS / "capacity.json").write_text(json.dumps(record, indent=1) + "\n")
    text = tables(found, lines)
    (RESULTS / "capacity.md").write_text(text)
    print(text)


if __name__ == "__main__":
    app()
