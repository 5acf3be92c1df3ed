"""In-memory clients of the store and backend servers.

They have the interfaces of the clients that use HTTP.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import (
    BackendReport,
    Changes,
    GroupOrder,
    HeldQuery,
    OrderReply,
    QueryGate,
    ReplyKind,
    ReportSubscriber,
    Row,
    RowKey,
    RowPage,
    StoreVersion,
    WriteResult,
    outdated_failure,
)
from fordhatch.catalog import Backpressure
from fordhatch.core import Failure, Ran, ResultCode

from ._backend_links import BackendLinks
from ._engine_fleet import EngineFleet
from ._engine_model import BEGUN, DONE, OUTDATED, EngineModel
from ._store_model import StoredRow, StoreModel
from ._virtual_loop import spend_processor_time

STORE_LATENCY_S = 0.004
BACKEND_LATENCY_S = 0.002
CONNECT_LATENCY_S = 0.0005

T = TypeVar("T")


def _row(row: StoredRow, generation: int) -> Row:
    table, part, key = row.name
    version = StoreVersion(generation, row.version)
    return Row(RowKey(table, key, part), version, row.value, row.is_removed)


def _row_name(row: RowKey) -> tuple[str, str, str]:
    return row.table, row.part, row.key


def _outcome_unknown() -> Failure:
    return Failure.from_code(ResultCode.STORE_OUTCOME_UNKNOWN, ran=Ran.MAYBE)


@attrs.define(eq=False, repr=False)
class MemoryStoreClient:
    """``StoreClient`` on a store model in memory."""

    model: StoreModel
    node_name: str
    is_frozen: bool = False
    """Whether the node's process is suspended, so that its calls time out."""

    calls: Counter[str] = attrs.field(factory=Counter)
    generation: int = 0
    """The newest generation of the store that an answer has reported."""

    def _count(self, call: str) -> None:
        self.calls[call] += 1
        self.model.calls += 1

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""

    def _version(self) -> StoreVersion:
        """Return the store's version as reported in an answer."""
        self.generation = self.model.generation
        return StoreVersion(self.model.generation, self.model.version)

    async def _simulate_access(self, timeout_s: float) -> Failure | None:
        await asyncio.sleep(STORE_LATENCY_S)
        faults = self.model.faults
        if self.is_frozen or faults.is_silent:
            await asyncio.sleep(timeout_s)
            return Failure.from_code(ResultCode.STORE_UNAVAILABLE)
        if faults.is_down or self.node_name in faults.turned_away:
            return Failure.from_code(ResultCode.STORE_UNAVAILABLE)
        return None

    async def read(
        self,
        table: str,
        *,
        part: str = "",
        first_key: str = "",
        limit: int = 500,
        timeout_s: float,
    ) -> Result[RowPage, Failure]:
        """Read rows of one part of a table, in order of their keys."""
        self._count(f"read {table}")
        failure = await self._simulate_access(timeout_s)
        if failure is not None:
            return Err(failure)
        rows = self.model.page(table, first_key, limit + 1, part)
        version = self._version()
        shown = tuple(_row(r, version.generation) for r in rows[:limit])
        now_s = asyncio.get_running_loop().time()
        is_named = True
        return Ok(RowPage(shown, len(rows) > limit, version, now_s, is_named))

    async def watch(
        self,
        table: str,
        after_version: StoreVersion,
        *,
        wait_s: float,
        timeout_s: float,
    ) -> Result[Changes, Failure]:
        """Wait for changes of a table."""
        self._count(f"watch {table}")
        failure = await self._simulate_access(timeout_s)
        if failure is not None:
            return Err(failure)
        found = await self.model.changes(table, after_version.number, wait_s)
        version = self._version()
        failure = await self._simulate_access(timeout_s)
        if failure is not None:
            return Err(failure)
        if found is None:
            return Err(Failure.from_code(ResultCode.STORE_HISTORY_GONE))
        rows = tuple(_row(r, version.generation) for r in found)
        if self.model.faults.mutes_watches:
            version = attrs.evolve(version, number=after_version.number)
        return Ok(Changes(rows, version))

    async def write(
        self,
        expected: Mapping[RowKey, StoreVersion],
        puts: Mapping[RowKey, bytes],
        removes: tuple[RowKey, ...] = (),
        *,
        timeout_s: float,
    ) -> Result[WriteResult, Failure]:
        """Change rows in one transaction."""
        tables = {row.table for row in (*puts, *removes)}
        outdated = outdated_failure(expected, self.generation)
        if outdated is not None:
            return Err(outdated)
        self._count(f"write {','.join(sorted(tables))}")
        failure = await self._simulate_access(timeout_s)
        if failure is not None:
            return Err(failure)
        transaction = (
            {_row_name(k): v.number for k, v in expected.items()},
            {_row_name(k): v for k, v in puts.items()},
            tuple(map(_row_name, removes)),
        )
        if self.model.faults.late_writes > 0:
            self.model.faults.late_writes -= 1
            self.model.transact_later(*transaction)
            await asyncio.sleep(timeout_s)
            return Err(_outcome_unknown())
        number, conflicts = self.model.transact(*transaction)
        version = self._version()
        if self.model.faults.lost_answers > 0:
            self.model.faults.lost_answers -= 1
            return Err(_outcome_unknown())
        if number:
            return Ok(WriteResult(True, version))
        rows = tuple(_row(r, version.generation) for r in conflicts)
        return Ok(WriteResult(False, conflicts=rows))


@attrs.define(eq=False, repr=False)
class MemoryBackendClient:
    """``BackendClient`` on a fleet of engines in memory."""

    fleet: EngineFleet
    is_cut: bool = False
    """Whether this node reaches no backend server."""
    call_cost_s: float = 0.0
    """Processor time that each call takes on this node, in seconds. A third of it is
    spent when the call begins, when it is sent and when its answer is read; all of it
    counts towards the call's timeout."""
    cold_left_s: Callable[[EngineModel], float | None] = lambda engine: None
    """Returns the cold time that an engine's answers report."""
    links: BackendLinks = attrs.field(factory=BackendLinks)
    """The links of this node to the backend servers."""
    report_subscribers: list[ReportSubscriber] = attrs.field(factory=list)

    async def order(
        self, address: str, registered_id: str, order: GroupOrder, *, timeout_s: float
    ) -> Result[OrderReply, Failure]:
        """Send an order to the engine at an address."""
        call = self._order(address, registered_id, order, timeout_s)
        return await self._paid(call, timeout_s)

    async def report(
        self, address: str, registered_id: str, *, timeout_s: float
    ) -> Result[BackendReport, Failure]:
        """Request a report from the engine at an address."""
        return await self._paid(
            self._report(address, registered_id, timeout_s), timeout_s
        )

    async def check_health(
        self, address: str, path: str, registered_id: str, *, timeout_s: float
    ) -> Result[BackendReport, Failure]:
        """Check the health of the engine at an address, which names itself."""
        found = await self.report(address, registered_id, timeout_s=timeout_s)
        engine = self.fleet.at(address)
        if found.is_err() or engine is None:
            return found
        return Ok(attrs.evolve(found.unwrap(), registered_id=engine.backend_id))

    def hold_report(
        self, address: str, registered_id: str, *, connect_timeout_s: float
    ) -> HeldQuery:
        """Open a connection to the engine at an address, to request a report later."""
        gate = QueryGate()
        query = self._held_report(gate, address, registered_id, connect_timeout_s)
        return HeldQuery(gate, asyncio.ensure_future(query))

    async def _held_report(
        self, gate: QueryGate, address: str, registered_id: str, timeout_s: float
    ) -> Result[BackendReport, Failure]:
        await asyncio.sleep(BACKEND_LATENCY_S)
        engine = self.fleet.at(address)
        if engine is None or self._is_cut_from(address):
            is_refused = address in self.fleet.refusing and not self.is_cut
            await asyncio.sleep(0.0 if is_refused else timeout_s)
            return Err(Failure.from_code(ResultCode.BACKEND_LOST))
        gate.is_open.set()
        await gate.may_be_sent.wait()
        await engine.until_it_reads(math.inf)
        if self.fleet.at(address) is not engine:
            return Err(Failure.from_code(ResultCode.BACKEND_LOST))
        return await self._report(address, registered_id, timeout_s)

    async def _paid(
        self, call: Coroutine[Any, Any, Result[T, Failure]], timeout_s: float
    ) -> Result[T, Failure]:
        """Carry out a call and spend the processor time that it takes."""
        if not self.call_cost_s:
            return await call
        phase_s = self.call_cost_s / 3
        spend_processor_time(phase_s)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(CONNECT_LATENCY_S)
                spend_processor_time(phase_s)
                answer = await call
                spend_processor_time(phase_s)
                return answer
        except TimeoutError:
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.MAYBE))
        finally:
            call.close()

    def _is_cut_from(self, address: str) -> bool:
        return self.is_cut or self.links.is_cut(address)

    async def _order(
        self, address: str, registered_id: str, order: GroupOrder, timeout_s: float
    ) -> Result[OrderReply, Failure]:
        await asyncio.sleep(BACKEND_LATENCY_S)
        engine = self.fleet.at(address)
        if self.links.refuses(address):
            return Err(Failure.from_code(ResultCode.BACKEND_REFUSED, ran=Ran.NO))
        if self._is_cut_from(address) or engine is None:
            await asyncio.sleep(timeout_s)
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.NO))
        if not await engine.until_it_reads(timeout_s):
            # It is carried out when the engine goes on.
            asyncio.get_running_loop().call_at(
                engine.still_until_s, self.fleet.order, engine, order
            )
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.MAYBE))
        if engine.backend_id != registered_id:
            return Ok(OrderReply(421, is_started=False, is_done=False))
        status = self.fleet.order(engine, order)
        if status is None:
            await asyncio.sleep(timeout_s)
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.MAYBE))
        return Ok(
            OrderReply(status, status == BEGUN, status == DONE, status == OUTDATED)
        )

    async def _report(
        self, address: str, registered_id: str, timeout_s: float
    ) -> Result[BackendReport, Failure]:
        await asyncio.sleep(BACKEND_LATENCY_S)
        engine = self.fleet.at(address)
        is_refused = address in self.fleet.refusing and not self._is_cut_from(address)
        if is_refused or self.links.refuses(address):
            return Err(Failure.from_code(ResultCode.BACKEND_REFUSED))
        if self._is_cut_from(address) or engine is None:
            await asyncio.sleep(timeout_s)
            return Err(Failure.from_code(ResultCode.BACKEND_LOST))
        if not await engine.until_it_reads(timeout_s):
            return Err(Failure.from_code(ResultCode.BACKEND_LOST))
        is_expected = engine.backend_id == registered_id
        if engine.failed_reports and self.fleet.rng.random() < engine.failed_reports:
            return Ok(BackendReport(ReplyKind.FAILED))
        report = BackendReport(
            ReplyKind.ANSWERED if is_expected else ReplyKind.MISDIRECTED,
            engine.slow_factor,
            engine.born_ms,
            Backpressure(cold_left_s=self.cold_left_s(engine)),
            membership=engine.membership() if is_expected else None,
            orders=engine.reported_orders() if is_expected else None,
        )
        for call in self.report_subscribers:
            call(address, registered_id, report)
        return Ok(report)

    def subscribe_reports(self, call: ReportSubscriber) -> None:
        """Call ``call`` with each report, its address and the requested id."""
        self.report_subscribers.append(call)

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""
