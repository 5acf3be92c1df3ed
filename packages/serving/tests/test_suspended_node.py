"""A node accounts for the time during which its instance was suspended."""

from __future__ import annotations

import asyncio

import attrs
import pytest
import pytest_asyncio
from serving_site import ServingSite, configuration

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.core import Suspension
from fordhatch_standins import http_answer


@attrs.define
class Machine:
    """Simulates a suspended instance: only its boot-time clock advances."""

    suspended_s: float = 0.0

    def suspension(self) -> Suspension:
        return Suspension(lambda: 0.0, lambda: self.suspended_s)


@pytest_asyncio.fixture
async def suspendable():
    machine = Machine()
    site = await ServingSite.start(machine.suspension())
    yield site, machine
    await site.close()


async def answers(request, writer) -> None:
    writer.write(http_answer(request, b"fine"))


async def test_a_key_that_was_removed_meanwhile_is_not_used(suspendable) -> None:
    site, machine = suspendable
    backend = await site.add_backend(answers)
    assert (await site.ask("/get/1")).status == 200
    site.model.faults.is_silent = True
    site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(2, tenants=[]))
    machine.suspended_s += 6.0
    got = await site.ask("/get/1")
    assert got.status == 503
    assert len(backend.seen) == 1


async def test_a_key_that_was_removed_while_connecting_is_not_used(
    suspendable,
) -> None:
    """The instance is suspended between the decision to send and the first byte."""
    site, machine = suspendable
    backend = await site.add_backend(answers)
    site.model.faults.is_silent = True
    connector = site.exchange._session.connector
    connect = type(connector).connect

    async def suspend_and_connect(self, *args, **kwargs):
        if self is connector:
            machine.suspended_s += 6.0
        return await connect(self, *args, **kwargs)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(connector), "connect", suspend_and_connect)
        got = await site.ask("/long/1", **{"X-Deadline-Ms": "60000"})
    assert got.status == 503
    assert backend.seen == []


async def test_a_call_past_its_deadline_ends_at_once(suspendable) -> None:
    site, machine = suspendable

    async def never(request, writer) -> None:
        await asyncio.sleep(60)

    backend = await site.add_backend(never)
    asked = asyncio.ensure_future(site.ask("/long/1", **{"X-Deadline-Ms": "60000"}))
    await site.until(lambda: backend.seen)
    machine.suspended_s += 61.0
    site.state.timer.now_s()
    async with asyncio.timeout(5.0):
        got = await asked
    assert got.status == 504
