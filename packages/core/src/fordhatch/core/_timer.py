"""The timer service, the only place that reads time and holds long waits.

Its time and the deadlines of its waits include the time for which the machine was
suspended, so that they agree with those of other machines.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from . import _metrics as metrics
from ._log import log_event
from ._suspension import Suspension

CANCEL_RETRY_INTERVAL_S = 0.1
"""A task that is still running this long after its cancellation is cancelled again."""

RESTART_DELAY_S = 0.2
"""Mean delay before a failed component is restarted."""


@attrs.define
class Timer:
    """Monotonic time, wall time and periodic ticks for one process.

    Every component waits through the timer instead of sleeping on its own, so that
    tests can run the complete program on a virtual event-loop clock.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    """Source of jitter; seeded in tests."""
    wall_clock: Callable[[], float] = time.time
    """Wall-clock seconds since the epoch; only for records, never for decisions."""
    suspension: Suspension = attrs.field(factory=Suspension)
    """Suspension time, which the event loop's clock does not include."""
    _deadlines: set[asyncio.Timeout] = attrs.field(factory=set)

    @classmethod
    def from_seed(cls, seed: int | str) -> Timer:
        """Return a timer with reproducible jitter."""
        return cls(rng=random.Random(seed))

    def now_s(self) -> float:
        """Return monotonic seconds, including the time spent suspended."""
        suspended_s = self.suspension.poll()
        if suspended_s:
            self._on_resume(suspended_s)
        return asyncio.get_running_loop().time() + self.suspension.total_s

    def _on_resume(self, suspended_s: float) -> None:
        """Bring forward the deadlines of the pending waits after a suspension."""
        metrics.SUSPENDED_SECONDS.inc(suspended_s)
        log_event("machine_resumed", suspended_s=round(suspended_s, 3))
        for deadline in list(self._deadlines):
            when_s = deadline.when()
            if when_s is not None and not deadline.expired():
                deadline.reschedule(when_s - suspended_s)

    @contextlib.asynccontextmanager
    async def timeout(self, duration_s: float) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the block after this time, including suspensions.

        Args:
            duration_s: Maximum duration of the block, in seconds.
        """
        async with asyncio.timeout(duration_s) as deadline:
            self._deadlines.add(deadline)
            try:
                yield
            finally:
                self._deadlines.discard(deadline)

    def wall_s(self) -> float:
        """Return wall-clock seconds since the epoch."""
        return self.wall_clock()

    async def sleep(self, duration_s: float) -> None:
        """Wait for ``duration_s`` seconds, not counting suspensions.

        After a sleep, compute ages from ``now_s`` and not from the duration.
        """
        await asyncio.sleep(duration_s)

    def jittered(self, duration_s: float, fraction: float = 0.2) -> float:
        """Return ``duration_s`` with uniform jitter of plus or minus ``fraction``."""
        return duration_s * (1.0 + fraction * (2.0 * self.rng.random() - 1.0))

    async def ticks(
        self, interval_s: float, *, fraction: float = 0.2
    ) -> AsyncIterator[float]:
        """Yield the monotonic time immediately and then about every ``interval_s``.

        Args:
            interval_s: Mean time between ticks, in seconds.
            fraction: Jitter as a fraction of the interval.

        Yields:
            Monotonic seconds at each tick.
        """
        while True:
            yield self.now_s()
            await self.sleep(self.jittered(interval_s, fraction))

    async def every(
        self, interval_s: float, step: Callable[[], Awaitable[object]], *, name: str
    ) -> None:
        """Run ``step`` on every tick; an exception is logged and not fatal.

        Args:
            interval_s: Mean time between steps, in seconds.
            step: The coroutine function to run.
            name: Name of the component in the log.
        """
        async for _ in self.ticks(interval_s):
            try:
                await step()
            except asyncio.CancelledError:
                raise
            except Exception as error:
                log_event("step_failed", part=name, error=repr(error))

    async def supervise(
        self, run: Callable[[], Awaitable[object]], *, name: str
    ) -> None:
        """Run a component forever; one that raises is logged and restarted.

        Args:
            run: The coroutine function of the component.
            name: Name of the component in the log.
        """
        while True:
            try:
                await run()
            except asyncio.CancelledError:
                raise
            except Exception as error:
                # Without a restart the node would lose this function until its end.
                log_event("part_restarted", part=name, error=repr(error))
            await self.sleep(self.jittered(RESTART_DELAY_S))


@attrs.define
class TaskSet:
    """Background tasks of one component, cancelled together."""

    _tasks: set[asyncio.Task[object]] = attrs.field(factory=set)

    def spawn(self, coroutine: Awaitable[object], name: str) -> asyncio.Task[object]:
        """Start a task and hold a reference to it until it ends."""
        task = asyncio.ensure_future(coroutine)
        task.set_name(name)  # type: ignore[attr-defined]
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_event("task_failed", part=task.get_name(), error=repr(error))

    def cancel(self) -> None:
        """Cancel every task without waiting for its end."""
        for task in self._tasks:
            task.cancel()

    async def drain(self, timeout_s: float = 5.0) -> None:
        """Wait for the tasks to finish, then cancel those that remain.

        Args:
            timeout_s: Maximum wait before the cancellation, in seconds.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)
        await self.close()

    async def close(self) -> None:
        """Cancel every task and wait until all have ended.

        ``asyncio.wait_for`` swallows a cancellation that arrives at the moment at which
        the awaited operation completes, so the cancellation is repeated.
        """
        pending = self._tasks - {asyncio.current_task()}
        with contextlib.suppress(asyncio.CancelledError):
            while pending:
                for task in pending:
                    task.cancel()
                _, pending = await asyncio.wait(
                    pending, timeout=CANCEL_RETRY_INTERVAL_S
                )
