"""Reports this node's load to the collector, and collects other nodes' reports."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping

import attrs
from result import Err, Result

from fordhatch.core import Failure, ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import MAX_AGE_S, LoadReport, LoadTotals
from fordhatch.registry import StoreView
from fordhatch.serving import BackendLoad, CollectorChoice, LoadBook, SharedLoad

REPORT_INTERVAL_S = 0.2
"""Mean time between reports of a node that has requests in flight."""

REPORT_TIMEOUT_S = 0.25
"""Longest wait for the totals. Without a reply the next node in rank takes over."""

MAX_WAIT_S = 0.5
"""A longer wait is no failure of the collector: this node was suspended or stalled."""

MAX_TRIES = 3
"""Nodes to which one report is sent, one after the other."""

FOLLOW_S = 0.35
"""Time after its last report to another collector during which a node does not collect:
one interval with its jitter, and the collector's reply."""

REFUSAL_LOG_INTERVAL_S = 10.0
"""Shortest time between log lines about refused reports of the same node."""

_NOT_LISTED = ResultCode.LOAD_REPORT_REFUSED

_NOT_COLLECTING = LoadTotals(is_collector=False, is_complete=False, age_s=0.0, loads=[])


@attrs.define(eq=False, repr=False)
class LoadGossip:
    """Sends load reports and collects them.

    Sends nothing while no request is in flight whose service calls for it.
    """

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    load: SharedLoad
    collectors: CollectorChoice
    _book: LoadBook = attrs.field(factory=LoadBook)
    _followed_s: float = -math.inf
    """When the last report was sent that another collector has replied to."""
    _needs_final_report: bool = False
    """Whether the last report had requests, so that their end is to be reported."""
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _logged_s: dict[str, float] = attrs.field(factory=dict)
    """Time of the last log line about a refused report, by node."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Begin to report."""
        self.load.on_begin = self._wake.set
        run = self.timer.supervise(self._run, name="load")
        self._tasks.spawn(run, "load")

    async def _run(self) -> None:
        while True:
            while not self._is_needed():
                self._wake.clear()
                await self._wake.wait()
            await self._report()
            await self.timer.sleep(self.timer.jittered(REPORT_INTERVAL_S))

    def _is_needed(self) -> bool:
        # A node that collects reports as well while it is idle: it learns whether a
        # better collector replies.
        if self.load.has_own() or self._needs_final_report:
            return True
        return self._book.has_reports(self.timer.now_s())

    async def _report(self) -> None:
        report = self.load.report()
        self._needs_final_report = bool(report)
        for _ in range(MAX_TRIES):
            nodes = self.view.shared.nodes
            if self.node_name not in nodes:
                # Other nodes would refuse the report of a node that is not listed.
                return
            collector = self.collectors.choose(nodes, self.timer.now_s())
            if collector is None:
                return
            if collector == self.node_name:
                self._collect_own(report)
                return
            if await self._send(collector, nodes[collector].address, report):
                return

    def _collect_own(self, report: Mapping[int, BackendLoad]) -> None:
        now_s = self.timer.now_s()
        self._book.record(self.node_name, report, now_s)
        if self._book.count() == 1 and len(self.view.shared.nodes) > 1:
            # The others are idle, or report to another collector because this node was
            # suspended, has restarted or is cut off; their load is not known.
            return
        if self._book.is_complete(now_s):
            totals = self._book.totals_without(self.node_name)
            self._apply(totals, self._book.mean_age_s(now_s), now_s)

    async def _send(
        self, collector: str, address: str, report: Mapping[int, BackendLoad]
    ) -> bool:
        """Report to a collector; return False if the next in rank is to be tried."""
        asked_s = self.timer.now_s()
        message = LoadReport(_to_numbers(report))
        answer = await self._request(address, message)
        if answer.is_err() and answer.unwrap_err().code is _NOT_LISTED:
            # It collects but does not know this node yet.
            return True
        reply = answer.ok()
        if not isinstance(reply, LoadTotals):
            now_s = self.timer.now_s()
            if now_s - asked_s > MAX_WAIT_S:
                # This node was suspended or stalled and has not waited for the reply.
                return True
            self.collectors.record_failure(collector, now_s)
            return False
        if not reply.is_collector:
            self.collectors.retry_all()
            return True
        self._followed_s = asked_s
        if reply.is_complete:
            self._apply(_to_loads(reply.loads), reply.age_s, asked_s)
        return True

    async def _request(
        self, address: str, message: LoadReport
    ) -> Result[object, Failure]:
        """Send a report; a connection that opens too late serves the next one."""
        request = self.pool.request(address, message, REPORT_TIMEOUT_S)
        task = self._tasks.spawn(request, "report-load")
        await asyncio.wait([task], timeout=REPORT_TIMEOUT_S)
        if not task.done():
            return Err(Failure.from_code(ResultCode.DEADLINE_EXCEEDED))
        return task.result()

    def _apply(
        self, totals: Mapping[int, BackendLoad], age_s: float, asked_s: float
    ) -> None:
        self.load.apply_totals(totals, age_s, asked_s)
        metrics.LOAD_TOTALS_AGE_SECONDS.set(self.load.age_s())

    async def receive(self, message: LoadReport, channel: Channel) -> None:
        """Record another node's report and reply with the totals of all others."""
        node, now_s = channel.peer_name, self.timer.now_s()
        if node not in self.view.shared.nodes:
            await self._refuse(node, channel)
            return
        if now_s - self._followed_s < FOLLOW_S:
            # Nodes that report here and not there would get partial totals.
            self._book = LoadBook()
            await channel.send(_NOT_COLLECTING)
            return
        self._book.record(node, _to_loads(message.loads), now_s)
        self._wake.set()
        is_complete = self._book.is_complete(now_s)
        totals = self._book.totals_without(node) if is_complete else {}
        age_s = min(self._book.mean_age_s(now_s), MAX_AGE_S)
        await channel.send(LoadTotals(True, is_complete, age_s, _to_numbers(totals)))

    async def _refuse(self, node: str, channel: Channel) -> None:
        now_s = self.timer.now_s()
        metrics.LOAD_REPORTS_REFUSED.inc()
        if now_s - self._logged_s.get(node, -math.inf) >= REFUSAL_LOG_INTERVAL_S:
            self._logged_s = {
                name: at_s
                for name, at_s in self._logged_s.items()
                if now_s - at_s < REFUSAL_LOG_INTERVAL_S
            }
            self._logged_s[node] = now_s
            log_event("load_report_refused", peer=node, code=_NOT_LISTED.name)
        await channel.send(to_refused(Failure.from_code(_NOT_LISTED)))

    async def close(self) -> None:
        """Stop reporting."""
        await self._tasks.close()


def _to_numbers(loads: Mapping[int, BackendLoad]) -> list[int]:
    return [n for key, x in loads.items() for n in (key, x.requests, x.tokens)]


def _to_loads(numbers: list[int]) -> dict[int, BackendLoad]:
    triples = zip(numbers[::3], numbers[1::3], numbers[2::3], strict=True)
    return {key: BackendLoad(requests, tokens) for key, requests, tokens in triples}
