"""Random requests and faults with complete nodes in virtual time, against an oracle.

The oracle: the answer to a request is a function of its body; a request that must not
be retried runs at most once; a request that is refused as not run has never run; no
group serves without all of its members, and no engine serves two groups.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable
from typing import Any

import attrs
import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fordhatch.adapter import BACKENDS_TABLE, model_call_headers
from fordhatch.catalog import CallFields
from fordhatch.core import Failure, Ran
from fordhatch_lab import Experiment, LabModel, LabSite
from fordhatch_standins import EngineModel, event_bytes

NODES, DOMAINS = 3, 2
MODELS = (
    LabModel("m0", 4, 0.6, 1.0, 3.0, 0.6),
    LabModel("m1", 2, 0.4, 0.6, 2.0, 0.4),
)
OUTPUT_TOKENS = 60
EVENTS = 12
DEADLINE_S = 6.0
MIN_ENGINES = 6
MALFORMED_ENTRIES = [b"{", b"\xff", b"{}", b"[" * 10_000, b'{"state": "dancing"}']
NODE = st.integers(0, NODES - 1)


@attrs.define(eq=False, repr=False)
class RecordedReply:
    """Records what the caller receives."""

    outcome: str = ""
    has_begun: bool = False
    events: bytes = b""
    is_complete: bool = False
    failure: Failure | None = None
    is_final: bool = False

    @property
    def is_over(self) -> bool:
        return self.is_final

    async def refuse(self, failure: Failure) -> None:
        self.failure = failure
        self.is_final = True

    async def send_complete(self, status: int, headers: list, body: bytes) -> None:
        self.is_final = True

    async def begin(self, status: int, headers: list) -> None:
        self.has_begun = True

    async def write(self, piece: bytes) -> None:
        assert not self.is_final
        self.events += piece

    async def end(self) -> None:
        self.is_complete = self.is_final = True

    async def abort(self) -> None:
        self.is_final = True


class SiteMachine(RuleBasedStateMachine):
    """Three nodes in front of two fabric domains of engines."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        experiment = Experiment(
            nodes=NODES, domains=DOMAINS, per_domain=8, models=MODELS, seed=7
        )
        self.site = LabSite.create(experiment)
        self.fleet = self.site.backends.fleet
        self.fleet.tells_starts = True
        self.count = 0
        self.replies: dict[str, tuple[RecordedReply, bytes, bool]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.do(self.site.start())
        self.wait(10.0)
        assert self.fleet.working_groups()

    def do(self, work: Awaitable[Any]) -> Any:
        return self.loop.run_until_complete(work)

    def wait(self, duration_s: float) -> None:
        self.do(asyncio.sleep(duration_s))

    # Requests.

    async def _send_request(self, node: int, model: str, *, once: bool) -> None:
        self.count += 1
        request_id = f"r{self.count}"
        body = f"request {self.count}".encode()
        path = self.site.nodes[node % len(self.site.nodes)].node.path
        reply = RecordedReply()
        self.replies[request_id] = reply, body, once
        found = path.admission.find_route("lab", "/summary/1")
        if found.is_err():
            await reply.refuse(found.unwrap_err())
            return
        route = attrs.evolve(found.unwrap(), is_resumable=not once)
        fields = CallFields(
            request_id,
            DEADLINE_S,
            (),
            model=model,
            prompt_tokens=400,
            max_output_tokens=OUTPUT_TOKENS,
        )
        admitted = path.admission.admit(
            route,
            fields,
            method="POST",
            target="/summary/1",
            headers=model_call_headers(fields),
            body=body,
            arrived_s=self.loop.time(),
        )
        await path.dispatch.serve(admitted.unwrap(), reply)

    @rule(node=NODE, model=st.sampled_from(["m0", "m1"]), once=st.booleans())
    def caller_sends_request(self, node: int, model: str, once: bool) -> None:
        task = self.loop.create_task(self._send_request(node, model, once=once))
        self.tasks.append(task)
        self.wait(0.03)

    @rule(duration_s=st.sampled_from([0.1, 0.5, 2.0]))
    def pass_time(self, duration_s: float) -> None:
        self.wait(duration_s)

    # Faults.

    @rule(index=st.integers(0, 100))
    def engine_crashes(self, index: int) -> None:
        alive = [e for e in self.fleet.engines.values() if not e.is_dead]
        if len(alive) > MIN_ENGINES:
            self._kill(alive[index % len(alive)])

    def _kill(self, engine: EngineModel) -> None:
        async def kill() -> None:
            # The fleet reads the time from the running loop.
            self.fleet.kill(engine)

        self.do(kill())

    @rule(index=st.integers(0, 100))
    def engine_restarts(self, index: int) -> None:
        alive = [e for e in self.fleet.engines.values() if not e.is_dead]
        engine = alive[index % len(alive)]

        async def restart() -> None:
            self.site.backends.restart_engine(engine)

        self.do(restart())

    @rule(index=st.integers(0, 100), value=st.sampled_from(MALFORMED_ENTRIES))
    def entry_is_malformed(self, index: int, value: bytes) -> None:
        """Make an entry malformed; the next heartbeat that counts repairs it."""
        engines = list(self.fleet.engines)
        self.site.store.put(BACKENDS_TABLE, engines[index % len(engines)], value)

    @rule(domain=st.integers(0, DOMAINS - 1))
    def engine_arrives(self, domain: int) -> None:
        self.site.add_engine(domain)

    @rule(index=st.integers(0, 100))
    def engine_drains(self, index: int) -> None:
        alive = [e for e in self.fleet.engines.values() if not e.is_dead]
        self.fleet.drain(alive[index % len(alive)])

    @rule(index=st.integers(0, 100), factor=st.sampled_from([1.0, 6.0]))
    def engine_slows_down(self, index: int, factor: float) -> None:
        alive = [e for e in self.fleet.engines.values() if not e.is_dead]
        alive[index % len(alive)].slow_factor = factor

    @rule(fraction=st.sampled_from([0.0, 0.4]))
    def orders_are_late(self, fraction: float) -> None:
        self.fleet.faults.late_share = fraction

    @rule(is_down=st.booleans())
    def store_fails_or_recovers(self, is_down: bool) -> None:
        self.site.store.faults.is_down = is_down

    @rule(count=st.integers(1, 3))
    def store_loses_answers(self, count: int) -> None:
        self.site.store.faults.lost_answers = count

    @rule(node=NODE)
    def node_is_refused_by_the_store(self, node: int) -> None:
        name = self.site.nodes[node % len(self.site.nodes)].store.node_name
        self.site.store.faults.turned_away = {name}

    @rule(node=NODE)
    def node_is_cut_off_from_other_nodes(self, node: int) -> None:
        one = self.site.nodes[node % len(self.site.nodes)]
        address = one.node.settings.peer_address
        self.site.network.cut = lambda a, b: address in (a, b)

    @rule()
    def planner_crashes(self) -> None:
        if len(self.site.nodes) > 1:
            self.do(self.site.kill_planner())

    @rule()
    def everything_recovers(self) -> None:
        self.site.store.faults.is_down = False
        self.site.store.faults.lost_answers = 0
        self.site.store.faults.turned_away = set()
        self.site.network.cut = lambda a, b: False
        self.fleet.faults.late_share = 0.0
        for engine in self.fleet.engines.values():
            engine.slow_factor = 1.0

    # Invariants.

    @invariant()
    def groups_are_complete_and_engines_in_one_group(self) -> None:
        self.fleet.check_serving()
        assert self.site.violations() == []

    @invariant()
    def one_node_plans_at_most(self) -> None:
        async def holders() -> int:
            return sum(n.node.lease.is_held() for n in self.site.nodes)

        assert self.do(holders()) <= 1

    @invariant()
    def answers_are_correct_and_run_limits_kept(self) -> None:
        for request_id, (reply, body, once) in self.replies.items():
            expected = b"".join(event_bytes(body, index) for index in range(EVENTS))
            assert expected.startswith(reply.events)
            assert not reply.is_complete or reply.events == expected
            if once:
                assert self.fleet.runs[request_id] <= 1
            if reply.failure is not None and reply.failure.ran is Ran.NO:
                assert self.fleet.runs[request_id] == 0

    def teardown(self) -> None:
        self.everything_recovers()
        self.wait(DEADLINE_S + 2.0)
        for request_id, (reply, _, _) in self.replies.items():
            assert reply.is_final, f"{request_id} has no final answer by its deadline"
        for task in self.tasks:
            assert task.exception() is None
        self.answers_are_correct_and_run_limits_kept()
        self.groups_are_complete_and_engines_in_one_group()
        self.do(self.site.close())
        self.loop.close()
        # The virtual clock iterates over every task that is still in memory.
        self.site = self.fleet = None
        self.replies.clear()
        self.tasks.clear()
        gc.collect()


SiteMachine.TestCase.settings = settings(
    derandomize=True, max_examples=50, stateful_step_count=20, deadline=None
)
TestSite = SiteMachine.TestCase
