"""Random faults on planners, leases and applies, against a simple oracle.

The oracle: accepted revisions are numbered without gaps and keep their content; a
node's revision never falls; at most one node holds the planner's lease; the rows bind
an instance to the one group that lists it; a permit means that all members were there.
"""

from __future__ import annotations

import asyncio
import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from memory_site import Site, virtual_loop
from test_groups_under_failure import CutPlatform, check_rows

from fordhatch.config import ApplyRequest, digest_of

NODES = st.integers(0, 2)


class GroupsMachine(RuleBasedStateMachine):
    """Three nodes that each reach the store on a way of their own."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual_loop()
        self.site = Site()
        self.ways: list[CutPlatform] = []
        self.accepted: dict[int, str] = {}
        self.highest = [0, 0, 0]
        self.applies = 0
        self.loop.run_until_complete(self.start())

    async def start(self) -> None:
        for index in range(10):
            domain = "fabric-a" if index < 5 else "fabric-b"
            await self.site.add_engine(
                f"gpu-{index + 1}", domain=domain, checks=index % 2 == 0
            )
        for index in range(3):
            self.ways.append(CutPlatform(self.site.platform))
            await self.site.add_node(index + 1, platform=self.ways[-1])
        await asyncio.sleep(2.0)

    def run(self, work) -> object:
        return self.loop.run_until_complete(work)

    @rule(node=NODES, groups=st.integers(0, 2), behind=st.sampled_from([0, 0, 0, 1]))
    def apply(self, node: int, groups: int, behind: int) -> None:
        self.applies += 1
        applier = self.site.nodes[node].applier
        base = max(0, max(self.accepted, default=0) - behind)
        content = json.dumps(self.site.declared(groups=groups)).encode()
        request = ApplyRequest(content, base, f"a{self.applies}", "ops")
        done = self.run(self._within_limit(applier.apply(request)))
        if done is not None and done.is_ok():
            revision = done.unwrap().revision
            assert revision == base + 1
            assert revision not in self.accepted
            self.accepted[revision] = digest_of(content)
        head = self.site.platform.rows.get("config/head")
        if head is not None and head[1]["apply_id"] == request.apply_id:
            # The answer may be unknown to the operator, but the store has it.
            self.accepted[head[1]["revision"]] = head[1]["digest"]

    async def _within_limit(self, work):
        # A node whose way to the store is held up would wait for ever.
        try:
            return await asyncio.wait_for(work, 5.0)
        except TimeoutError:
            return None

    @rule(duration_s=st.sampled_from([0.3, 1.0, 3.0, 9.0]))
    def pass_time(self, duration_s: float) -> None:
        self.run(asyncio.sleep(duration_s))

    @rule(node=NODES, cut=st.booleans())
    def way_to_the_store(self, node: int, cut: bool) -> None:
        self.ways[node].cut = cut

    @rule(node=NODES)
    def node_waits_for_the_store(self, node: int) -> None:
        if self.ways[node].hold is None:
            self.ways[node].hold = asyncio.Event()

    @rule()
    def store_answers_all(self) -> None:
        for way in self.ways:
            if way.hold is not None:
                way.hold.set()
                way.hold = None

    @rule(count=st.integers(1, 4))
    def store_loses_answers(self, count: int) -> None:
        self.site.platform.faults.lose_answers = count

    @rule(index=st.integers(1, 10))
    def engine_goes_down(self, index: int) -> None:
        self.site.engines.down.add(f"gpu-{index}:80")

    @rule(index=st.integers(1, 10))
    def engine_restarts_empty(self, index: int) -> None:
        engine = self.site.engines.servers[f"gpu-{index}:80"]
        engine.order_in_force, engine.phase, engine.weights = None, "idle", ""
        engine.fencing_token = 0
        engine.boot_id += "'"

    @rule()
    def engines_come_back(self) -> None:
        self.site.engines.down.clear()

    @invariant()
    def rows_bind_each_instance_once(self) -> None:
        check_rows(self.site)

    @invariant()
    def one_planner(self) -> None:
        self.run(self._planner())

    async def _planner(self) -> None:
        self.site.planner()

    @invariant()
    def revisions_never_fall_and_keep_their_content(self) -> None:
        for index, node in enumerate(self.site.nodes):
            assert node.config.revision >= self.highest[index]
            self.highest[index] = node.config.revision
            if node.config.current is not None:
                digest = self.accepted[node.config.revision]
                assert node.config.current.digest == digest

    @invariant()
    def permits_mean_presence(self) -> None:
        self.run(self._permits())

    async def _permits(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for node in self.site.nodes:
            for group_id in node.permits.held():
                permit = node.permits._permits[group_id]
                assert permit.expires_s - now_s <= node.permits.permit_s

    @invariant()
    def no_invariant_of_the_program_failed(self) -> None:
        assert self.site.violations() == []

    def teardown(self) -> None:
        self.store_answers_all()
        self.engines_come_back()
        for way in self.ways:
            way.cut = False
        self.site.platform.faults.lose_answers = 0
        self.run(self._converges())
        self.run(self.site.close())
        self.loop.close()

    async def _converges(self) -> None:
        latest = max(self.accepted, default=0)
        await self.site.until(
            lambda: all(n.config.revision == latest for n in self.site.nodes), 30.0
        )
        if not latest:
            return
        declared = self.site.nodes[0].config.current.declared
        wanted = declared.model_services[0].groups

        def converged() -> bool:
            serving = {g for g, _ in self.site.serving()}
            return len([g for g in serving if g.startswith("estimator")]) == wanted

        for node in self.site.nodes:
            for view in node.planner.instances.values():
                # A quarantine may last ten minutes; the end does not wait for it.
                view.quarantined_until_s = 0.0
        await self.site.until(converged, 90.0)


GroupsMachine.TestCase.settings = settings(
    derandomize=True, max_examples=50, stateful_step_count=20, deadline=None
)
TestGroups = GroupsMachine.TestCase
