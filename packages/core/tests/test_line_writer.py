from __future__ import annotations

import os

from fordhatch.core import LineWriter
from fordhatch.core._line_writer import MAX_QUEUED_LINES


def test_a_reader_that_stops_costs_lines_and_never_waits() -> None:
    # The pipe stays open: the writer's thread goes on as long as the process, and must
    # not find the pipe of another test under the same number.
    _, descriptor = os.pipe()
    writer = LineWriter(descriptor, lines_per_s=1e9)
    writer.start()
    # Nobody reads: a write that waited would never return, and without a limit to what
    # may wait no line would ever be dropped. The thread may still take lines meanwhile.
    for _ in range(100 * MAX_QUEUED_LINES):
        writer.write("event=x " + "y" * 100)
        if writer.dropped:
            break
    else:
        raise AssertionError("no line was dropped")
    assert len(writer._lines) <= MAX_QUEUED_LINES


def test_lines_keep_within_their_budget_and_the_loss_is_said() -> None:
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, lines_per_s=0.0)
    for number in range(2_000):
        writer.write(f"event=x number={number}")
    writer.flush()
    os.close(descriptor)
    with os.fdopen(reader) as pipe:
        lines = pipe.read().splitlines()
    assert len(lines) == 1601
    assert lines[-1] == "event=lines_dropped count=400"
