"""Probes of backend servers, on a responsive node and on an overloaded one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest
from result import Err, Ok, Result

from fordhatch.adapter import BackendReport
from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Failure, ResultCode
from fordhatch.registry import probe
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import spend_processor_time

BACKEND = BackendServer("a", "llm", "10.0.0.1:1", "z", BackendState.READY, 13, "d0")
LIVING = Ok(BackendReport())

Report = Result[BackendReport, Failure]


@attrs.define
class ScriptedClient:
    """Answers each report with the next step of a script."""

    script: list[Callable[[], Awaitable[Report]]]
    calls: int = 0

    async def report(
        self, address: str, registered_id: str, *, timeout_s: float
    ) -> Report:
        step = self.script[min(self.calls, len(self.script) - 1)]
        self.calls += 1
        return await step()


def after(delay_s: float, report: Report) -> Callable[[], Awaitable[Report]]:
    async def step() -> Report:
        await asyncio.sleep(delay_s)
        return report

    return step


def probed(*script: Callable[[], Awaitable[Report]]) -> tuple[Report, float, int]:
    """Return the outcome of a probe, how long it took, and how many reports it took."""
    client = ScriptedClient(list(script))

    async def run() -> tuple[Report, float, int]:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        found = await probe(client, BACKEND)  # type: ignore[arg-type]
        return found, loop.time() - began_s, client.calls

    return run_in_virtual_time(run())


def test_a_living_server_is_asked_once() -> None:
    found, took_s, calls = probed(after(0.002, LIVING))
    assert found.is_ok()
    assert took_s < 0.01
    assert calls == 1


def test_a_lost_answer_is_made_up_for_by_the_second_report() -> None:
    found, took_s, calls = probed(after(9.0, LIVING), after(0.002, LIVING))
    assert found.is_ok()
    assert took_s < 0.1
    assert calls == 2


def test_a_silent_server_is_lost_after_a_fifth_of_a_second() -> None:
    found, took_s, calls = probed(after(9.0, LIVING))
    assert found.unwrap_err().code is ResultCode.BACKEND_LOST
    assert 0.2 < took_s < 0.25
    assert calls == 2


def test_a_refused_connection_is_told_apart_from_silence() -> None:
    refused = Err(Failure.from_code(ResultCode.BACKEND_REFUSED))
    found, _, calls = probed(after(0.002, refused))
    assert found.unwrap_err().code is ResultCode.BACKEND_REFUSED
    assert calls == 1


# Guards against a node that is too slow to read answers and takes that for silence.
@pytest.mark.parametrize("pause_s", [0.2, 1.0])
def test_time_in_which_the_node_stood_still_does_not_count(pause_s: float) -> None:
    async def answer_after_pause() -> Report:
        spend_processor_time(pause_s)
        await asyncio.sleep(0.01)
        return LIVING

    found, _, _ = probed(answer_after_pause)
    assert found.is_ok()


def test_a_node_that_stays_too_slow_concludes_nothing() -> None:
    async def busy() -> Report:
        for _ in range(100):
            spend_processor_time(0.2)
            await asyncio.sleep(0.01)
        return LIVING

    found, took_s, _ = probed(busy)
    assert found.unwrap_err().code is ResultCode.PROBE_INCONCLUSIVE
    assert took_s < 3.0
