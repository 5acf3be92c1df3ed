"""What the soak test did to the nodes' processes and links, and when."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
from cut_links import LinkCut
from fleet import NodeProcess

MONITOR_INTERVAL_S = 0.25
"""Time between two looks at the memory of the processes."""


WAKE_UP_S = 0.2
"""Time until a process that goes on after a pause has looked at the clock."""


@attrs.define(eq=False, repr=False)
class Span:
    """A time span that may still be open; monotonic times in seconds."""

    began_s: float
    ended_s: float | None = None
    kind: LinkCut = LinkCut.NONE
    """How the links are cut, if it is a cut of links."""

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Return whether the span shares a moment with another one."""
        return self.began_s <= to_s and (self.ended_s is None or self.ended_s >= from_s)


@attrs.define(eq=False, repr=False)
class ProcessLife:
    """One process of a node, from its start to its end."""

    node: str
    process: asyncio.subprocess.Process
    started_s: float = attrs.field(factory=time.monotonic)
    is_up: bool = False
    """Whether it has served; before that, a signal to stop may end it at once."""
    stop_signals_s: list[float] = attrs.field(factory=list)
    killed_s: float | None = None
    is_overdue: bool = False
    """Whether it had to be killed at the end of its grace period."""
    ended_s: float | None = None
    pauses: list[Span] = attrs.field(factory=list)
    holds: list[Span] = attrs.field(factory=list)
    """Times in which it got only a share of a core."""
    peak_bytes: int = 0
    """Largest resident memory, as far as it was read."""
    _has_ended: threading.Event = attrs.field(factory=threading.Event)

    @property
    def is_paused(self) -> bool:
        """Whether a fault keeps the process stopped now."""
        return bool(self.pauses) and self.pauses[-1].ended_s is None

    @property
    def earliest_stop_s(self) -> float:
        """Earliest time at which its first signal to stop may have come, as it knows.

        A process that has been paused finds the signal when it goes on, and may have to
        end before its grace period, counted from the beginning of the pause, is over.
        """
        signal_s = self.stop_signals_s[0]
        from_s = signal_s - WAKE_UP_S
        paused_s = [p.began_s for p in self.pauses if p.overlaps(from_s, signal_s)]
        return min([signal_s, *paused_s])

    def send(self, number: signal.Signals) -> None:
        """Send a signal and record it, if the process is running."""
        if self.process.returncode is not None:
            return
        now_s = time.monotonic()
        match number:
            case signal.SIGTERM:
                self.stop_signals_s.append(now_s)
            case signal.SIGKILL:
                self.killed_s = self.killed_s or now_s
            case signal.SIGSTOP if not self.is_paused:
                self.pauses.append(Span(now_s))
            case signal.SIGCONT if self.is_paused:
                self.pauses[-1].ended_s = now_s
        self.process.send_signal(number)

    def read_memory(self) -> None:
        """Read the process's peak of resident memory while it is running."""
        if self.process.returncode is not None:
            return
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_bytes = int(line.split()[1]) * 1024

    def watch_end(self) -> None:
        """Record when the process ends; blocks until then.

        A thread of its own sees the end also while this process's event loop is late.
        """
        with contextlib.suppress(ChildProcessError):
            # Another thread of this process may have read the exit status already.
            os.waitid(os.P_PID, self.process.pid, os.WEXITED | os.WNOWAIT)
        self.ended_s = time.monotonic()
        self._has_ended.set()

    async def wait(self) -> None:
        """Wait until the process has ended and the time of that is recorded."""
        await self.process.wait()
        await asyncio.to_thread(self._has_ended.wait)


@attrs.define(eq=False, repr=False)
class Timeline:
    """The processes of all nodes, and the times in which links were cut."""

    lives: dict[str, list[ProcessLife]] = attrs.field(factory=dict)
    """Processes by node, in order of their start."""
    link_cuts: dict[str, list[Span]] = attrs.field(factory=dict)
    """Times in which a node had no links to backend servers."""
    broken_answers: list[Span] = attrs.field(factory=list)
    """Times in which some answers of backend servers were none, those to probes too."""
    lateness_s: float = 0.0
    """How late the event loop of the soak itself has been at the most."""

    @contextlib.contextmanager
    def recorded_broken_answers(self) -> Iterator[None]:
        """Record that some answers of backend servers are none for a while."""
        span = Span(time.monotonic())
        self.broken_answers.append(span)
        try:
            yield
        finally:
            span.ended_s = time.monotonic()

    def record_start(self, node: NodeProcess) -> ProcessLife:
        """Record that a node's process was started."""
        life = ProcessLife(node.name, node.process)
        self.lives.setdefault(node.name, []).append(life)
        threading.Thread(target=life.watch_end, daemon=True).start()
        return life

    def life(self, node: NodeProcess) -> ProcessLife:
        """Return the latest process of a node."""
        return self.lives[node.name][-1]

    def all_lives(self) -> list[ProcessLife]:
        """Return the processes of all nodes."""
        return [life for lives in self.lives.values() for life in lives]

    def cut_links(self, node: str, kind: LinkCut) -> Span:
        """Record that a node's links are cut from now on, until the span is ended."""
        span = Span(time.monotonic(), kind=kind)
        self.link_cuts.setdefault(node, []).append(span)
        return span

    async def monitor(self) -> None:
        """Watch the memory of all processes and the event loop, until cancelled."""
        while True:
            for lives in self.lives.values():
                lives[-1].read_memory()
            due_s = time.monotonic() + MONITOR_INTERVAL_S
            await asyncio.sleep(MONITOR_INTERVAL_S)
            self.lateness_s = max(self.lateness_s, time.monotonic() - due_s)
