"""Non-blocking writer for log lines."""

from __future__ import annotations

import os
import stat
import threading
import time
from collections import deque

import attrs

from . import _metrics as metrics

MAX_QUEUED_LINES = 4000
"""Maximum number of lines queued for a slow reader; further lines are dropped."""

MAX_QUEUED_WITH_REQUIRED = 24_000
"""The same for required lines: those of some minutes, in about ten megabytes."""

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


@attrs.define
class LineCounts:
    """Lines of a process by what became of them."""

    written: int = 0
    dropped: int = 0
    written_required: int = 0
    """Those of ``written`` with which requests end."""
    dropped_required: int = 0

    def add(self, is_written: bool, is_required: bool) -> None:
        """Count a line."""
        self.written += is_written
        self.dropped += not is_written
        self.written_required += is_written and is_required
        self.dropped_required += not is_written and is_required
        need = "required" if is_required else "other"
        outcome = "written" if is_written else "dropped"
        metrics.LOG_LINES.labels(need, outcome).inc()


@attrs.define(eq=False, repr=False)
class LineWriter:
    """Passes lines to a thread that writes them to a file descriptor.

    Required lines are written at once, with those that wait, if the pipe takes them: a
    process that is killed then loses none of them.

    A pipe is opened once more, without blocking: a thread that is blocked in a write
    can't tell how much of it was taken.

    When the pipe is full, lines are dropped, so that logging never delays a request.
    A ``lines_dropped`` line reports their number as soon as writing works again.
    """

    descriptor: int
    lines_per_s: float = LINES_PER_S
    counts: LineCounts = attrs.field(factory=LineCounts)
    _tokens: float = BURST_LINES
    _refilled_s: float = attrs.field(factory=time.monotonic)
    _lines: deque[tuple[str, bool]] = attrs.field(factory=deque)
    """Lines that wait, and whether they are required."""
    _wake: threading.Event = attrs.field(factory=threading.Event)
    _thread: threading.Thread | None = None
    _is_closing: threading.Event = attrs.field(factory=threading.Event)
    _is_closed: bool = False
    """Whether what comes now is counted as dropped."""
    _writing: threading.Lock = attrs.field(factory=threading.Lock)
    _counting: threading.RLock = attrs.field(factory=threading.RLock)
    _opened: int | None = None
    """The pipe once more, as a descriptor that does not block."""
    _rest: bytes = b""
    """What is left of the lines that are being written."""
    _rest_required: deque[bool] = attrs.field(factory=deque)
    """Whether each of them is required."""
    _told: LineCounts = attrs.field(factory=LineCounts)
    """The dropped lines that were reported."""

    def start(self) -> None:
        """Start the writer thread."""
        if self._opened is None:
            self._opened = _open_again(self.descriptor)
        self._thread = threading.Thread(target=self._write_loop, daemon=True)
        self._thread.start()

    def write(self, line: str, *, is_required: bool = False) -> None:
        """Queue a line; never blocks.

        Args:
            line: The line, without its line break.
            is_required: Whether the line is dropped only if the queue is full, and
                other lines take no room from it.
        """
        if self._is_closed:
            self._count(False, is_required)
            return
        has_token = self._take_token() or is_required
        room = MAX_QUEUED_WITH_REQUIRED if is_required else MAX_QUEUED_LINES
        if len(self._lines) >= room or not has_token:
            self._count(False, is_required)
            return
        self._lines.append((line, is_required))
        if not (is_required and self._write_now()):
            self._wake.set()

    def _write_now(self) -> bool:
        """Write the queued lines if the pipe takes them at once.

        Returns:
            Whether nothing is left of them.
        """
        if self._opened is None or not self._writing.acquire(blocking=False):
            return False
        try:
            return self._write_queued()
        finally:
            self._writing.release()

    def _count(self, is_written: bool, is_required: bool) -> None:
        with self._counting:
            self.counts.add(is_written, is_required)

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

        What it has not taken by then counts as dropped. The pipe stays open until the
        process ends: another thread may be about to write to it.

        Args:
            timeout_s: Longest wait for the reader, in seconds.
        """
        if self._is_closing.is_set():
            return
        self._is_closing.set()
        self._wake.set()
        if self._thread is not None:
            self._thread.join(timeout_s)
        self._is_closed = True
        left = list(self._rest_required) + [x for _, x in list(self._lines)]
        for is_required in left:
            self._count(False, is_required)

    def _write_loop(self) -> None:
        while not self._is_closing.is_set():
            self._wake.wait()
            self._is_closing.wait(BATCH_INTERVAL_S)
            self._wake.clear()
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Write the queued lines; waits while the pipe is full."""
        while True:
            with self._writing:
                if self._write_queued():
                    return
            time.sleep(RETRY_INTERVAL_S)

    def _write_queued(self) -> bool:
        """Write the queued lines; returns whether nothing is left of them."""
        descriptor = self.descriptor if self._opened is None else self._opened
        try:
            while self._take_batch():
                self._pass_on(os.write(descriptor, self._rest))
        except BrokenPipeError:
            # The reader has closed the pipe, so the error cannot be logged.
            self._pass_on(len(self._rest), is_written=False)
            return not self._lines
        except (OSError, MemoryError):
            # The reader takes nothing now, or the system has no room for it.
            return False
        return True

    def _pass_on(self, size: int, *, is_written: bool = True) -> None:
        """Remove bytes that were written, and count the lines that end in them."""
        ended = self._rest.count(b"\n", 0, size)
        self._rest = self._rest[size:]
        for _ in range(min(ended, len(self._rest_required))):
            self._count(is_written, self._rest_required.popleft())

    def _take_batch(self) -> bool:
        """Take the next lines unless some are left; returns whether there are any."""
        if self._rest:
            return True
        lines = []
        while self._lines and len(lines) < MAX_BATCH_LINES:
            line, is_required = self._lines.popleft()
            lines.append(line)
            self._rest_required.append(is_required)
        if not self._lines:
            lines += self._dropped_lines()
        # Fields may hold bytes of callers that are no text.
        text = "".join(f"{x}\n" for x in lines)
        self._rest = text.encode(errors="backslashreplace")
        return bool(lines)

    def _dropped_lines(self) -> list[str]:
        """Return the line that tells of dropped lines, if there are more of them."""
        with self._counting:
            found = attrs.evolve(self.counts)
        count = found.dropped - self._told.dropped
        required = found.dropped_required - self._told.dropped_required
        self._told = found
        if not count:
            return []
        return [f"event=lines_dropped count={count} required={required}"]


def _open_again(descriptor: int) -> int | None:
    """Return a descriptor of the same pipe that does not block; None if not possible.

    Whether a descriptor blocks is a property that all processes with it share, so it
    is not changed.
    """
    try:
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return None
        path = f"/proc/self/fd/{descriptor}"
        return os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return None
