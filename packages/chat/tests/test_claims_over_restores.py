"""Claims of two nodes over a restore of the store, in virtual time."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

import attrs
import pytest
from result import Err, Ok

from fordhatch.chat import ClaimService, ClaimState, Ticket
from fordhatch.chat._claim_restorer import HOLD_OFF_S, MAX_HOLD_OFF_S
from fordhatch.chat._claim_rows import ClaimKey
from fordhatch.chat._rewrite_reports import GONE_AFTER_S, QUERY_INTERVAL_S
from fordhatch.core import Failure, Ran, ResultCode, Timer
from fordhatch.protocol.messages import StatusReply
from fordhatch.registry import SHARED_TABLE
from fordhatch.registry._table_source import TableUpdate
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel

KEY = ClaimKey("w", "k", "digest")
NAMES = ("a", "b")
SLACK_S = 1.5
"""Tolerance for the intervals of polls, queries and the store's timeouts."""


@attrs.define
class Peers:
    """Connections to nodes, of which some accept none."""

    gone: set[str] = attrs.field(factory=set)

    async def request(self, address: str, _: object, __: float) -> object:
        name = address.partition(":")[0]
        if name in self.gone:
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        return Ok(StatusReply(name, f"s-{name}", 1, True, False, [0, 1], 0.1))


@attrs.define
class Pair:
    """Two claim services, each with a copy of the shared table."""

    model: StoreModel = attrs.field(factory=StoreModel)
    peers: Peers = attrs.field(factory=Peers)
    services: list[ClaimService] = attrs.field(factory=list)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def start(self) -> None:
        nodes = {name: SimpleNamespace(address=f"{name}:1") for name in NAMES}
        for name in NAMES:
            timer, store = Timer.from_seed(name), MemoryStoreClient(self.model, name)
            service = ClaimService(
                name, f"s-{name}", store, self.peers, lambda: nodes, timer, 3600.0, 9999
            )
            self.services.append(service)
            self.tasks.append(asyncio.ensure_future(service.restorer.run()))
            self.tasks.append(asyncio.ensure_future(self.follow(service)))
        while not all(service.restorer.may_claim() for service in self.services):
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def follow(self, service: ClaimService) -> None:
        """Keep a service's copy of the table up to date."""
        while True:
            got = await service.store.read(SHARED_TABLE, timeout_s=1.0)
            if got.is_ok():
                page = got.unwrap()
                service.shared.apply(TableUpdate(page.rows, page.version, True))
            await asyncio.sleep(0.2)

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for service in self.services:
            await service.restorer._tasks.close()
            await service._tasks.close()

    async def seconds_refused(self) -> tuple[float, object]:
        """Retry at the second node until it does not refuse as not run."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while True:
            got = await self.services[1].acquire(KEY, loop.time() + 5.0)
            if got.is_ok():
                return loop.time() - began_s, got.unwrap()
            assert got.unwrap_err().ran is Ran.NO
            assert got.unwrap_err().retry_after_s > 0.0
            await asyncio.sleep(0.1)


async def retry_after_restore(pair: Pair, late_s: float) -> tuple[float, object]:
    """Restore a backup without the first node's claim, which is cut off for a while.

    Returns:
        For how many seconds a retry at the second node is refused, and what it gets.
    """
    holder = pair.services[0]
    backup = pair.model.copy()
    ticket = (await holder.acquire(KEY, math.inf)).unwrap()
    assert isinstance(ticket, Ticket)
    holder.store.is_frozen = True
    pair.model.restore(backup)
    retry = asyncio.ensure_future(pair.seconds_refused())
    await asyncio.wait([retry], timeout=late_s)
    holder.store.is_frozen = False
    return await retry


# Guards against a second run of a request whose first run is known to a node that
# learns of the restore later than the node at which it is retried.
@pytest.mark.parametrize("late_s", [0.0, 0.9, 2.0, 8.0, 20.0])
def test_no_claim_is_made_before_a_late_holder_has_rewritten_it(late_s: float) -> None:
    async def scenario() -> None:
        pair = Pair()
        await pair.start()
        refused_s, found = await retry_after_restore(pair, late_s)
        assert not isinstance(found, Ticket)
        assert found.state is ClaimState.RUNNING
        assert refused_s <= max(HOLD_OFF_S, late_s) + SLACK_S
        await pair.close()

    run_in_virtual_time(scenario())


# Guards against requests with a key that are refused for longer than the bounds, after
# a restore, because of a node that has ended or stays without the store.
@pytest.mark.parametrize("is_gone", [True, False])
def test_keyed_requests_are_refused_for_a_bounded_time(is_gone: bool) -> None:
    async def scenario() -> None:
        pair = Pair()
        await pair.start()
        if is_gone:
            pair.peers.gone.add("a")
        refused_s, found = await retry_after_restore(pair, 2 * MAX_HOLD_OFF_S)
        bound_s = GONE_AFTER_S + QUERY_INTERVAL_S if is_gone else MAX_HOLD_OFF_S
        assert isinstance(found, Ticket)
        assert bound_s - SLACK_S <= refused_s <= bound_s + SLACK_S
        await pair.close()

    run_in_virtual_time(scenario())


# Guards against a release that makes the holder drop the lost claim of the same key: it
# may be asked to claim the key again before it has noticed the restore.
def test_a_retry_at_the_holder_does_not_end_its_lost_claim() -> None:
    async def scenario() -> None:
        pair = Pair()
        await pair.start()
        holder = pair.services[0]
        backup = pair.model.copy()
        ticket = (await holder.acquire(KEY, math.inf)).unwrap()
        pair.model.restore(backup)
        assert (await holder.acquire(KEY, math.inf)).unwrap_err().ran is Ran.NO
        await asyncio.sleep(2.0)
        found = (await holder.look_up(KEY)).unwrap()
        assert found is not None
        assert found.write_id == ticket.claim.write_id
        await pair.close()

    run_in_virtual_time(scenario())


# Guards against a stop that uses up its grace period on a store that does not answer.
def test_a_stop_waits_briefly_for_the_withdrawal_of_the_report() -> None:
    async def scenario() -> None:
        pair = Pair()
        await pair.start()
        service = pair.services[0]
        service.store.is_frozen = True
        began_s = asyncio.get_running_loop().time()
        await service.close()
        assert asyncio.get_running_loop().time() - began_s <= 0.3
        await pair.close()

    run_in_virtual_time(scenario())
