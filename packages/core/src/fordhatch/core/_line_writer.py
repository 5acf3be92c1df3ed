"""Non-blocking writer for log lines."""

from __future__ import annotations

import os
import threading
import time
from collections import deque

import attrs

MAX_QUEUED_LINES = 4000
"""Maximum number of lines queued for a slow reader; further lines are dropped."""

LINES_PER_S = 400.0
"""Maximum mean rate of lines.

At its usual load a node handles about fifty requests a second with three lines each,
and logs some more lines about the state of other nodes and backend servers.
"""

BURST_LINES = 1600.0
"""Maximum number of lines in a burst (size of the token bucket)."""

BATCH_INTERVAL_S = 0.05
"""Time for which lines are collected into one write."""

MAX_BATCH_LINES = 200
"""Most lines in one write."""

RETRY_INTERVAL_S = 0.02
"""Time between attempts to write to a reader that takes nothing."""


@attrs.define(eq=False, repr=False)
class LineWriter:
    """Passes lines to a thread that writes them to a file descriptor.

    When the pipe is full, lines are dropped, so that logging never delays a request.
    A ``lines_dropped`` line reports their number as soon as writing works again.
    """

    descriptor: int
    lines_per_s: float = LINES_PER_S
    dropped: int = 0
    _tokens: float = BURST_LINES
    _refilled_s: float = attrs.field(factory=time.monotonic)
    _lines: deque[str] = attrs.field(factory=deque)
    _wake: threading.Event = attrs.field(factory=threading.Event)
    _thread: threading.Thread | None = None
    _is_closing: threading.Event = attrs.field(factory=threading.Event)
    _rest: bytes = b""
    """What is left of the lines that are being written."""

    def start(self) -> None:
        """Start the writer thread."""
        self._thread = threading.Thread(target=self._write_loop, daemon=True)
        self._thread.start()

    def write(self, line: str, *, is_required: bool = False) -> None:
        """Queue a line; never blocks.

        Args:
            line: The line, without its line break.
            is_required: Whether the line is dropped only if the queue is full.
        """
        has_token = self._take_token() or is_required
        if len(self._lines) >= MAX_QUEUED_LINES or not has_token:
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

    def close(self, timeout_s: float) -> None:
        """Write the queued lines, as far as the reader takes them in time.

        Args:
            timeout_s: Longest wait for the reader, in seconds.
        """
        self._is_closing.set()
        self._wake.set()
        if self._thread is not None:
            self._thread.join(timeout_s)

    def _write_loop(self) -> None:
        while not self._is_closing.is_set():
            self._wake.wait()
            self._is_closing.wait(BATCH_INTERVAL_S)
            self._wake.clear()
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Write the queued lines; waits while the pipe is full."""
        while not self._write_queued():
            time.sleep(RETRY_INTERVAL_S)

    def _write_queued(self) -> bool:
        """Write the queued lines; returns whether nothing is left of them."""
        try:
            while self._rest or self._lines or self.dropped:
                if not self._rest:
                    self._rest = self._take_batch()
                self._rest = self._rest[os.write(self.descriptor, self._rest) :]
        except BrokenPipeError:
            # The reader has closed the pipe, so the error cannot be logged.
            self.dropped += self._rest.count(b"\n")
            self._rest = b""
            return not self._lines
        except (OSError, MemoryError):
            # The reader takes nothing now, or the system has no room for it.
            return False
        return True

    def _take_batch(self) -> bytes:
        """Return the next lines as they are written."""
        lines = []
        while self._lines and len(lines) < MAX_BATCH_LINES:
            lines.append(self._lines.popleft())
        if self.dropped and not self._lines:
            lines.append(f"event=lines_dropped count={self.dropped}")
            self.dropped = 0
        # Fields may hold bytes of callers that are no text.
        return "".join(f"{x}\n" for x in lines).encode(errors="backslashreplace")
