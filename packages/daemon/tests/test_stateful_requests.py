"""Random requests and faults over several nodes, against a simple oracle.

The oracle: the answer to a prompt is a function of the prompt; a request marked as
not repeatable starts at most once; one refused as not run has never started.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from memory_site import Site, expected_text, small_site, virtual_loop

from fordhatch.core import Ran

NODES = st.integers(0, 2)
KEYS = st.sampled_from(["k1", "k2", "k3", "k4"])


class RequestsMachine(RuleBasedStateMachine):
    """Three nodes, nine engines, one plain service."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual_loop()
        self.site = Site()
        self.loop.run_until_complete(small_site(self.site))
        self.count = 0
        self.pending: list[tuple[asyncio.Future[Any], Any]] = []
        self.outcomes: dict[str, list[Any]] = {}
        self.cut_node: int | None = None

    def wait(self, duration_s: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(duration_s))
        for future, request in list(self.pending):
            if future.done():
                self.pending.remove((future, request))
                self.check(request, future.result())

    def start(self, request: Any, node: int) -> None:
        future = self.loop.create_task(self.site.ask(request, node))
        self.pending.append((future, request))

    def digest(self, request: Any) -> str:
        content = request.body
        if request.is_model:
            content = json.loads(content)["messages"][0]["content"].encode()
        return hashlib.sha256(content).hexdigest()

    def check(self, request: Any, done: Any) -> None:
        if done.is_ok() and request.is_model:
            text = json.loads(request.body)["messages"][0]["content"]
            assert done.unwrap().text == expected_text(text)
        self.outcomes.setdefault(self.digest(request), []).append(done)

    @rule(node=NODES)
    def ask_repeatable(self, node: int) -> None:
        self.count += 1
        self.start(self.site.request(f"box {self.count}", timeout_s=12.0), node)
        self.wait(0.1)

    @rule(node=NODES, key=KEYS)
    def ask_once(self, node: int, key: str) -> None:
        request = self.site.request(key, key=key, repeatable=False, timeout_s=12.0)
        self.start(request, node)
        self.wait(0.05)

    @rule(node=NODES, key=KEYS)
    def bill(self, node: int, key: str) -> None:
        request = self.site.request(
            key, key=f"b-{key}", application="yard", path="/billing/1", timeout_s=12.0
        )
        self.start(request, node)
        self.wait(0.05)

    @rule(duration_s=st.sampled_from([0.2, 1.0, 4.0]))
    def pass_time(self, duration_s: float) -> None:
        self.wait(duration_s)

    @rule(index=st.integers(1, 9))
    def engine_goes_down(self, index: int) -> None:
        if len(self.site.engines.down) < 2:
            self.site.engines.down.add(f"gpu-{index}:80")

    @rule()
    def engines_come_back(self) -> None:
        self.site.engines.down.clear()
        self.site.engines.frozen.clear()

    @rule(index=st.integers(1, 9))
    def engine_freezes(self, index: int) -> None:
        if len(self.site.engines.frozen) < 1:
            self.site.engines.frozen.add(f"gpu-{index}:80")

    @rule(count=st.integers(1, 3))
    def store_loses_answers(self, count: int) -> None:
        self.site.platform.faults.lose_answers = count

    @rule(down=st.booleans())
    def store_goes(self, down: bool) -> None:
        self.site.platform.faults.down = down

    @rule(node=NODES)
    @precondition(lambda self: self.cut_node is None)
    def node_is_cut_off(self, node: int) -> None:
        self.cut_node = node
        address = str(self.site.nodes[node].settings.peers)
        self.site.network.cut = lambda a, b: address in (a, b)

    @rule()
    def cut_heals(self) -> None:
        self.cut_node = None
        self.site.network.cut = lambda a, b: False

    @invariant()
    def nothing_marked_runs_twice(self) -> None:
        executions = self.site.engines.executions()
        for key in ["k1", "k2", "k3", "k4"]:
            assert executions[hashlib.sha256(key.encode()).hexdigest()] <= 1
            body = json.dumps({"text": key}).encode()
            assert executions[hashlib.sha256(body).hexdigest()] <= 1

    @invariant()
    def no_invariant_of_the_program_failed(self) -> None:
        assert self.site.violations() == []

    def teardown(self) -> None:
        self.cut_heals()
        self.engines_come_back()
        self.site.platform.faults.down = False
        self.site.platform.faults.lose_answers = 0
        self.wait(20.0)
        assert self.pending == [], "a request had no final answer by its deadline"
        executions = self.site.engines.executions()
        for digest, outcomes in self.outcomes.items():
            if all(o.is_err() and o.unwrap_err().ran is Ran.NO for o in outcomes):
                assert executions[digest] == 0, "it ran though refused as not run"
        self.loop.run_until_complete(self.site.close())
        self.loop.close()


RequestsMachine.TestCase.settings = settings(
    derandomize=True, max_examples=50, stateful_step_count=20, deadline=None
)
TestRequests = RequestsMachine.TestCase
