"""Tests of machine suspensions, during which the monotonic clock stops."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from fordhatch.core import Suspension, Timer
from fordhatch.core._suspension import MIN_SUSPENSION_S


@attrs.define
class Clocks:
    """Simulated clocks of a machine."""

    monotonic_s: float = 100.0
    boot_s: float = 500.0
    pause_s: float = 0.0
    """How long the process is paused before the next reading of the boot clock."""

    def boot(self) -> float:
        self.monotonic_s += self.pause_s
        self.boot_s += self.pause_s
        self.pause_s = 0.0
        return self.boot_s

    def suspension(self) -> Suspension:
        return Suspension(lambda: self.monotonic_s, self.boot)


def test_only_suspended_time_is_added_up() -> None:
    clocks = Clocks()
    suspension = clocks.suspension()
    clocks.monotonic_s += 10.0
    clocks.boot_s += 10.0
    assert suspension.poll() == 0.0
    clocks.boot_s += 4.0
    assert suspension.poll() == pytest.approx(4.0)
    assert suspension.poll() == 0.0
    clocks.boot_s += 0.5
    assert suspension.poll() == pytest.approx(0.5)
    assert suspension.total_s == pytest.approx(4.5)


def test_a_process_pause_between_the_readings_is_not_a_suspension() -> None:
    clocks = Clocks()
    suspension = clocks.suspension()
    clocks.pause_s = 3.0
    assert suspension.poll() == 0.0
    assert suspension.total_s == 0.0
    clocks.boot_s += MIN_SUSPENSION_S / 2
    assert suspension.poll() == 0.0


def test_polling_is_cheap() -> None:
    """The clocks are polled at each stream event, some thousand times a second."""
    suspension = Suspension()
    began_s = time.process_time()
    for _ in range(10_000):
        suspension.poll()
    assert time.process_time() - began_s < 0.1
    assert suspension.total_s == 0.0


async def test_the_timer_counts_a_suspension() -> None:
    clocks = Clocks()
    timer = Timer(suspension=clocks.suspension())
    before_s = timer.now_s()
    clocks.boot_s += 6.0
    assert timer.now_s() - before_s == pytest.approx(6.0, abs=0.1)


async def test_a_deadline_that_passes_in_a_suspension_ends_the_wait() -> None:
    clocks = Clocks()
    timer = Timer(suspension=clocks.suspension())
    began_s = time.monotonic()

    async def wait() -> None:
        async with timer.timeout(60.0):
            await asyncio.Event().wait()

    waiting = asyncio.ensure_future(wait())
    await asyncio.sleep(0.01)
    clocks.boot_s += 30.0
    timer.now_s()
    await asyncio.sleep(0.05)
    assert not waiting.done()
    clocks.boot_s += 31.0
    timer.now_s()
    with pytest.raises(TimeoutError):
        await waiting
    assert time.monotonic() - began_s < 1.0


async def test_deadlines_of_finished_waits_are_removed() -> None:
    timer = Timer()
    async with timer.timeout(60.0):
        pass
    with pytest.raises(TimeoutError):
        async with timer.timeout(0.01):
            await asyncio.sleep(1.0)
    assert timer._deadlines == set()
