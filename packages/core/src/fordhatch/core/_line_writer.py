"""Writes log lines without ever making a request wait."""

from __future__ import annotations

import os
import threading
import time
from collections import deque

import attrs

MAX_QUEUED_LINES = 4000
"""Lines that wait for a slow reader; more are dropped and counted."""

LINES_PER_S = 400.0
"""Lines written in a second on average; a node decides about fifty requests a second
at its usual load, with three lines each, and some more for what it believes."""

BURST_LINES = 1600.0
"""Lines that may be written at once after a quiet time."""

BATCH_INTERVAL_S = 0.05
"""Time in which lines gather into one write."""


@attrs.define(eq=False, repr=False)
class LineWriter:
    """Hands lines to a thread that writes them to a file descriptor.

    A full pipe costs lines, never requests. How many were dropped is said in a line
    of its own as soon as lines can be written again.
    """

    descriptor: int
    lines_per_s: float = LINES_PER_S
    dropped: int = 0
    _tokens: float = BURST_LINES
    _refilled_s: float = attrs.field(factory=time.monotonic)
    _lines: deque[str] = attrs.field(factory=deque)
    _wake: threading.Event = attrs.field(factory=threading.Event)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that writes."""
        self._thread = threading.Thread(target=self._write_loop, daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Take a line without its end; never waits."""
        if len(self._lines) >= MAX_QUEUED_LINES or not self._take_token():
            self.dropped += 1
            return
        self._lines.append(line)
        self._wake.set()

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self._refilled_s) * self.lines_per_s
        self._tokens = min(self._tokens + earned, BURST_LINES)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_loop(self) -> None:
        while True:
            self._wake.wait()
            time.sleep(BATCH_INTERVAL_S)
            self._wake.clear()
            self.flush()

    def flush(self) -> None:
        """Write what waits; may wait for the reader."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self.dropped:
            lines.append(f"event=lines_dropped count={self.dropped}")
            self.dropped = 0
        data = ("\n".join(lines) + "\n").encode() if lines else b""
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except OSError:
                # Nobody reads any more: there is nowhere to say so.
                self.dropped += len(lines)
                return
