"""Separate processes under random faults, with every promise checked from outside.

Runs a platform, nodes, engines that check and engines that ignore fencing, and plain
services; callers and operators work all the time while processes are killed, frozen
and drained and the platform goes down, turns slow and loses answers, several at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import attrs
from cyclopts import App, Parameter
from demo import API_KEY, REGION, ZONES, declared_state
from fleet import Fleet, NodeChild

from fordhatch_standins import token_text

NODES = 4
ENGINES = 13
PLAIN = 3
GROUPS = 2
CALLERS = 6
SETTLE_LIMIT_S = 60.0
FORCE_LIMIT_S = 8.0
LEAVING_LIMIT_S = 3.0

app = App(name="soak", help="Random faults on separate processes.")


@attrs.define
class Ledger:
    """What callers and operators saw, and every violation."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    faults: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)
    once: dict[str, list[tuple[str, str]]] = attrs.field(factory=dict)
    """Outcomes of each not repeatable request by the digest of its body."""
    refused: set[str] = attrs.field(factory=set)
    """Digests of requests whose only outcome was a refusal as not run."""
    in_force_s: list[float] = attrs.field(factory=list)
    repairs_s: list[float] = attrs.field(factory=list)

    def violate(self, text: str) -> None:
        """Record a broken promise."""
        print(f"VIOLATION: {text}", flush=True)
        self.violations.append(text)


@attrs.define(eq=False)
class Soak:
    """One run."""

    fleet: Fleet
    rng: random.Random
    ledger: Ledger
    nodes: list[NodeChild] = attrs.field(factory=list)
    engines: list[str] = attrs.field(factory=list)
    plain: list[str] = attrs.field(factory=list)
    revision: int = 0
    accepted: dict[int, int] = attrs.field(factory=dict)
    """Groups declared by each accepted revision."""
    platform_well: bool = True
    stopping: bool = False
    draining: set[str] = attrs.field(factory=set)
    chosen: set[str] = attrs.field(factory=set)
    """Processes that a fault has been set on."""

    async def start(self) -> None:
        """Start every process and wait until all serves."""
        await self.fleet.start_platform(list_lag_s=0.5)
        for index in range(ENGINES):
            name = f"gpu-{index + 1}"
            await self.fleet.start_backend(
                "engine",
                name,
                zone=ZONES[index % 3],
                fabric_domain="fabric-1" if index < 7 else "fabric-2",
                ignores_fencing=index % 3 == 0,
                step_s=0.02,
            )
            self.engines.append(name)
        for index in range(PLAIN):
            name = f"yard-{index + 1}"
            await self.fleet.start_backend("plain", name, service="yard-app")
            self.plain.append(name)
        timing = {"drain_grace_s": 1.0}
        self.nodes = await self.fleet.start_nodes(NODES, REGION, ZONES, timing)
        for node in self.nodes:
            await self.fleet.wait_http(f"{node.operators_url}/metrics")
        await self._apply(GROUPS)
        await self._wait_converged("start")

    # Callers.

    def _node(self) -> NodeChild:
        """Return a node as the balancer would: one that is up and not leaving."""
        able = [
            n
            for n in self.nodes
            if n.process.returncode is None
            and not n.frozen
            and n.name not in self.draining
        ]
        return self.rng.choice(able)

    async def caller(self, number: int) -> None:
        """Send requests of every kind until the run stops."""
        count = 0
        while not self.stopping:
            count += 1
            text = f"caller {number} request {count} " + "x" * self.rng.randrange(200)
            kind = self.rng.randrange(4)
            node = self._node()
            if kind == 0:
                await self._chat(node, text, stream=True)
            elif kind == 1:
                await self._chat(node, text, stream=False)
            elif kind == 2:
                await self._chat(node, text, stream=False, key=f"{number}-{count}")
            else:
                await self._bill(text, f"{number}-{count}")
            await asyncio.sleep(self.rng.random() * 0.1)

    async def _chat(
        self, node: NodeChild, text: str, *, stream: bool, key: str = ""
    ) -> None:
        tokens = self.rng.randrange(5, 60)
        body = {
            "model": "estimates",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "stream": stream,
        }
        headers = {"Authorization": f"Bearer {API_KEY}", "X-Timeout-S": "20"}
        if key:
            headers |= {"Idempotency-Key": key, "X-Repeatable": "false"}
        digest = hashlib.sha256(text.encode()).hexdigest()
        expected = "".join(token_text(text, "", i) for i in range(tokens))
        for _ in range(self.rng.randrange(1, 4) if key else 1):
            url = f"{node.url}/v1/chat/completions"
            outcome, got = await self._send(url, body, headers)
            if outcome == "ok":
                whole, answer = _read_answer(got, stream)
                if whole and answer != expected:
                    self.ledger.violate(f"wrong answer to {text[:40]!r}: {got[:200]!r}")
                outcome = "ok" if whole else "broken stream"
            label = f"{'once' if key else 'chat'} {outcome}"
            self._note(label, digest, outcome, key, got)
            node = self._node()

    async def _bill(self, text: str, key: str) -> None:
        body = {"bill": text}
        content = json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {API_KEY}", "Idempotency-Key": f"b-{key}"}
        digest = hashlib.sha256(content).hexdigest()
        for _ in range(self.rng.randrange(1, 4)):
            url = f"{self._node().url}/services/yard/billing/{key}"
            outcome, got = await self._send(url, body, headers)
            self._note(f"bill {outcome}", digest, outcome, key, got)

    def _note(
        self, label: str, digest: str, outcome: str, key: str, content: str
    ) -> None:
        self.ledger.outcomes[label] += 1
        if key:
            detail = (outcome, f"{time.time():.3f} {key} {content[:160]}")
            self.ledger.once.setdefault(digest, []).append(detail)
        elif outcome == "refused no":
            self.ledger.refused.add(digest)

    async def _send(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> tuple[str, str]:
        try:
            async with self.fleet.session.post(
                url, data=json.dumps(body), headers=headers
            ) as reply:
                content = await reply.text()
                if reply.ok:
                    return "ok", content
                ran = reply.headers.get("X-Ran")
                if ran not in ("no", "maybe") or "X-Result-Code" not in reply.headers:
                    self.ledger.violate(
                        f"refusal without code: {reply.status} {content}"
                    )
                return f"refused {ran}", content
        except (aiohttp.ClientError, TimeoutError, OSError):
            return "connection lost", ""

    # Operators.

    async def _apply(self, groups: int) -> None:
        declared = declared_state()
        declared["model_services"][0]["groups"] = groups
        declared["plain_services"][0]["runners"] = PLAIN
        name = f"apply-{self.rng.getrandbits(64):x}"
        for _ in range(20):
            try:
                status, body = await self.fleet.apply(
                    self._node(), declared, self.revision, name
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(0.5)
                continue
            if status == 200:
                self.revision = body["revision"]
                self.accepted[self.revision] = groups
                return
            await asyncio.sleep(0.5)

    async def operator(self) -> None:
        """Apply files and check that they come into force everywhere and stay."""
        highest: dict[str, int] = {}
        while not self.stopping:
            await asyncio.sleep(4.0 + 4.0 * self.rng.random())
            if not self.platform_well:
                continue
            await self._apply(self.rng.choice([1, GROUPS]))
            await self._check_in_force(highest)

    async def _check_in_force(self, highest: dict[str, int]) -> None:
        wanted, started_s = self.revision, time.monotonic()
        late = {n.name: n for n in self.nodes}
        while late and time.monotonic() - started_s < FORCE_LIMIT_S:
            for name, node in list(late.items()):
                if not self._steady(node):
                    # A process that is down or frozen cannot be asked.
                    del late[name]
                    continue
                revision = await self._revision(node)
                if revision is None:
                    continue
                if revision == 0:
                    # Started anew, it has no revision in force and may not serve.
                    await self._check_not_ready(node)
                    continue
                if revision < highest.get(name, 0):
                    self.ledger.violate(f"{name} went back to revision {revision}")
                highest[name] = max(highest.get(name, 0), revision)
                if revision >= wanted:
                    del late[name]
            await asyncio.sleep(0.05)
        late = {n: c for n, c in late.items() if self._steady(c)}
        if late:
            self.ledger.violate(f"revision {wanted} not in force on {sorted(late)}")
        self.ledger.in_force_s.append(time.monotonic() - started_s)

    async def _check_not_ready(self, node: NodeChild) -> None:
        try:
            async with self.fleet.session.get(f"{node.url}/ready") as reply:
                ready, body = reply.ok, await reply.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if ready and '"revision":0' in body:
            self.ledger.violate(f"{node.name} serves without a configuration")

    def _steady(self, node: NodeChild) -> bool:
        up = node.process.returncode is None and not node.frozen
        return up and node.name not in self.draining

    async def _revision(self, node: NodeChild) -> int | None:
        try:
            return (await self.fleet.read(node, "/config"))["revision"]
        except (aiohttp.ClientError, TimeoutError, OSError, KeyError):
            return None

    # Faults.

    async def faults(self) -> None:
        """Bring about one fault after the other, often several at once."""
        kinds = [
            self._kill_engine,
            self._freeze_engine,
            self._kill_node,
            self._freeze_node,
            self._drain_node,
            self._platform_down,
            self._platform_slow,
            self._lose_answers,
            self._engine_leaves,
            self._break_stream,
            self._domain_dark,
        ]
        running: set[asyncio.Task[None]] = set()
        while not self.stopping:
            await asyncio.sleep(1.0 + 2.0 * self.rng.random())
            for _ in range(self.rng.randrange(1, 3)):
                kind = self.rng.choice(kinds)
                self.ledger.faults[kind.__name__.strip("_")] += 1
                task = asyncio.create_task(kind())
                running.add(task)
                task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    def _busy_names(self, names: list[str], most: int) -> str | None:
        """Return a process that is well, unless too many are not."""
        unwell = [
            n
            for n in names
            if self.fleet.children[n].process.returncode is not None
            or self.fleet.children[n].frozen
            or n in self.draining
            or n in self.chosen
        ]
        if len(unwell) >= most:
            return None
        return self.rng.choice([n for n in names if n not in unwell])

    @contextlib.contextmanager
    def _choose(self, names: list[str], most: int) -> Iterator[str | None]:
        """Set one process aside for a fault, so that no other fault takes it."""
        name = self._busy_names(names, most)
        if name:
            self.chosen.add(name)
        try:
            yield name
        finally:
            self.chosen.discard(name)

    async def _down_for(self, name: str, duration_s: float) -> None:
        await self.fleet.children[name].kill()
        await asyncio.sleep(duration_s)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        await self.fleet.restart(name)
        child = self.fleet.children[name]
        if isinstance(child, NodeChild):
            await self.fleet.wait_http(f"{child.operators_url}/metrics")

    async def _kill_engine(self) -> None:
        with self._choose(self.engines, 3) as name:
            if name:
                await self._down_for(name, 1.0 + 6.0 * self.rng.random())

    async def _freeze_engine(self) -> None:
        with self._choose(self.engines, 3) as name:
            if name:
                child = self.fleet.children[name]
                child.send(signal.SIGSTOP)
                await asyncio.sleep(0.5 + 5.0 * self.rng.random())
                child.send(signal.SIGCONT)

    async def _kill_node(self) -> None:
        with self._choose([n.name for n in self.nodes], 1) as name:
            if name:
                await self._down_for(name, 0.5 + 3.0 * self.rng.random())

    async def _freeze_node(self) -> None:
        with self._choose([n.name for n in self.nodes], 1) as name:
            if name:
                child = self.fleet.children[name]
                child.send(signal.SIGSTOP)
                # Longer than the planner's lease, at times.
                await asyncio.sleep(0.5 + 9.0 * self.rng.random())
                child.send(signal.SIGCONT)
                # The balancer notices that a node answers again a little later.
                await asyncio.sleep(1.0)

    async def _drain_node(self) -> None:
        with self._choose([n.name for n in self.nodes], 1) as name:
            if name:
                await self._drain(name)

    async def _drain(self, name: str) -> None:
        node = next(n for n in self.nodes if n.name == name)
        headers = {"Authorization": f"Bearer {API_KEY}", "X-Timeout-S": "30"}
        text = f"drained {self.rng.getrandbits(64)}"
        body = {
            "model": "estimates",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 100,
            "stream": True,
        }
        url = f"{node.url}/v1/chat/completions"
        stream = asyncio.create_task(self._send(url, body, headers))
        await asyncio.sleep(0.5)
        self.draining.add(name)
        node.send(signal.SIGTERM)
        outcome, got = await stream
        if outcome == "connection lost" or (
            outcome == "ok" and not _read_answer(got, True)[0] and "error" not in got
        ):
            self.ledger.violate(f"shutdown of {name} cut off a stream: {outcome}")
        try:
            await asyncio.wait_for(node.process.wait(), 40.0)
        except TimeoutError:
            self.ledger.violate(f"{name} did not end after SIGTERM")
            await node.kill()
        await self._restart(name)
        self.draining.discard(name)

    async def _platform_fault(self, duration_s: float, **fields: Any) -> None:
        self.platform_well = False
        url = f"{self.fleet.platform.url}/faults"
        await self.fleet.post(url, fields)
        await asyncio.sleep(duration_s)
        await self.fleet.post(url, {})
        self.platform_well = True

    async def _platform_down(self) -> None:
        await self._platform_fault(1.0 + 9.0 * self.rng.random(), down=True)

    async def _platform_slow(self) -> None:
        await self._platform_fault(3.0, delay_s=0.3 + self.rng.random())

    async def _lose_answers(self) -> None:
        await self._platform_fault(2.0, lose_answers=self.rng.randrange(1, 5))

    async def _engine_leaves(self) -> None:
        with self._choose(self.engines, 3) as name:
            if name:
                await self._leave(name)

    async def _leave(self, name: str) -> None:
        url = self.fleet.children[name].url
        try:
            await self.fleet.post(f"{url}/faults", {"leaving": True})
            await asyncio.sleep(LEAVING_LIMIT_S)
            before = await self._executions(url)
            await asyncio.sleep(2.0)
            after = await self._executions(url)
            if after > before:
                self.ledger.violate(f"{name} is leaving and got {after - before} more")
            await self.fleet.post(f"{url}/faults", {})
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _executions(self, url: str) -> int:
        counts = await self.fleet.get(f"{url}/counts")
        return sum(counts["executions"].values())

    async def _break_stream(self) -> None:
        kinds = ["double", "gap", "reorder", "wrong_request", "wrong_epoch"]
        kind = self.rng.choice([*kinds, "truncate", "reset"])
        for name in self.engines:
            url = f"{self.fleet.children[name].url}/faults"
            try:
                await self.fleet.post(url, {"stream": kind})
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue

    async def _domain_dark(self) -> None:
        if self._busy_names(self.engines, 1) is None:
            return
        names = set(self.engines[7:]) - self.chosen
        self.chosen |= names
        children = [self.fleet.children[n] for n in sorted(names)]
        for child in children:
            child.send(signal.SIGSTOP)
        await asyncio.sleep(4.0)
        for child in children:
            child.send(signal.SIGCONT)
        self.chosen -= names

    # The end.

    async def _wait_converged(self, label: str) -> None:
        deadline_s = time.monotonic() + SETTLE_LIMIT_S
        status: Any = None
        while time.monotonic() < deadline_s:
            try:
                status = await self.fleet.read(self._node(), "/status")
                if status["converged"] and status["nodes_in_force"] == NODES:
                    return
            except (aiohttp.ClientError, TimeoutError, OSError, KeyError):
                pass
            await asyncio.sleep(0.2)
        self.ledger.violate(f"not converged after {label}: {json.dumps(status)}")

    async def check_end(self) -> None:
        """Check what can only be told at the end."""
        await self._wait_converged("the run")
        executions: Counter[str] = Counter()
        for name in [*self.engines, *self.plain]:
            counts = await self.fleet.get(f"{self.fleet.children[name].url}/counts")
            executions.update(counts["executions"])
        self._check_once(executions)
        await self._check_rows()
        await self._check_metrics()
        await self._check_config()

    def _check_once(self, executions: Counter[str]) -> None:
        for digest, outcomes in self.ledger.once.items():
            ran = executions[digest]
            if ran > 1:
                self.ledger.violate(f"ran {ran} times: {outcomes}")
            # Counts of engines that were killed are lost, so "ok" may show 0.
            if ran and all(outcome == "refused no" for outcome, _ in outcomes):
                self.ledger.violate(f"ran though refused as not run: {outcomes}")
        for digest in self.ledger.refused:
            if executions[digest]:
                self.ledger.violate("a request ran though it was refused as not run")

    async def _check_rows(self) -> None:
        url = f"{self.fleet.platform.url}/table/scan"
        groups = await self.fleet.post(url, {"prefix": f"groups/{REGION}/"})
        members = Counter(
            member["instance_id"]
            for row in groups["rows"]
            if row["value"]["state"] != "dissolved"
            for member in row["value"]["members"]
        )
        for name, count in members.items():
            if count > 1:
                self.ledger.violate(f"{name} is in {count} groups")

    async def _check_metrics(self) -> None:
        for node in self.nodes:
            async with self.fleet.session.get(f"{node.operators_url}/metrics") as reply:
                text = await reply.text()
            for line in text.splitlines():
                if line.startswith("fordhatch_invariant_violations_total{"):
                    self.ledger.violate(f"{node.name}: {line}")

    async def _check_config(self) -> None:
        for node in self.nodes:
            found = await self.fleet.read(node, "/config")
            groups = found["config"]["model_services"][0]["groups"]
            if found["revision"] != self.revision:
                self.ledger.violate(f"{node.name} is at {found['revision']}")
            elif groups != self.accepted[self.revision]:
                self.ledger.violate(f"{node.name} has another file in force")


def _read_answer(content: str, stream: bool) -> tuple[bool, str]:
    """Return whether an answer looks whole, and its text."""
    if not stream:
        return True, json.loads(content)["choices"][0]["message"]["content"]
    text = ""
    for line in content.split("\n\n"):
        if line.startswith('data: {"error"'):
            return False, text
        if line.startswith("data: {"):
            delta = json.loads(line[6:])["choices"][0]["delta"]
            text += delta.get("content", "")
    return content.rstrip().endswith("data: [DONE]"), text


async def _run(seed: int, duration_s: float, logs: Path | None) -> int:
    ledger = Ledger()
    async with Fleet.from_directory(logs) as fleet:
        print(f"seed {seed}, {duration_s:g} s, logs in {fleet.directory}", flush=True)
        soak = Soak(fleet, random.Random(seed), ledger)
        await soak.start()
        work = [asyncio.create_task(soak.caller(n)) for n in range(CALLERS)]
        work.append(asyncio.create_task(soak.operator()))
        work.append(asyncio.create_task(soak.faults()))
        await asyncio.sleep(duration_s)
        soak.stopping = True
        for done in await asyncio.gather(*work, return_exceptions=True):
            if isinstance(done, BaseException):
                ledger.violate(f"the soak itself failed: {done!r}")
        await soak.check_end()
    print(f"faults: {dict(sorted(ledger.faults.items()))}")
    print(f"outcomes: {dict(sorted(ledger.outcomes.items()))}")
    spread = sorted(ledger.in_force_s)
    if spread:
        print(f"in force everywhere: {len(spread)} applies, longest {spread[-1]:.2f} s")
    print(f"seed {seed}: {len(ledger.violations)} violations")
    return 1 if ledger.violations else 0


@app.default
def run(
    *,
    seed: int = 1,
    duration_s: Annotated[float, Parameter(help="Length of the run.")] = 60.0,
    logs: Path | None = None,
) -> None:
    """Run the soak; the exit status is 1 after any violation."""
    sys.exit(asyncio.run(_run(seed, duration_s, logs)))


if __name__ == "__main__":
    app()
