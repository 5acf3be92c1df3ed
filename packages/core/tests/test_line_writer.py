from __future__ import annotations

import fcntl
import os
import time

from fordhatch.core import LineWriter
from fordhatch.core._line_writer import MAX_QUEUED_LINES


def test_a_stopped_reader_drops_lines_and_never_blocks() -> None:
    # The pipe stays open: the writer thread runs until the process ends, and must not
    # write to another test's pipe that reuses the descriptor number.
    _, descriptor = os.pipe()
    writer = LineWriter(descriptor, lines_per_s=1e9)
    writer.start()
    # Nothing reads the pipe: a blocking write would never return, and with an unlimited
    # queue no line would be dropped. The thread may still remove lines meanwhile.
    for _ in range(100 * MAX_QUEUED_LINES):
        writer.write("event=x " + "y" * 100)
        if writer.counts.dropped:
            break
    else:
        raise AssertionError("no line was dropped")
    assert len(writer._lines) <= MAX_QUEUED_LINES


def test_the_line_rate_is_limited_and_dropped_lines_are_reported() -> None:
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, lines_per_s=0.0)
    for number in range(2_000):
        writer.write(f"event=x number={number}")
    writer.flush()
    os.close(descriptor)
    with os.fdopen(reader) as pipe:
        lines = pipe.read().splitlines()
    assert len(lines) == 1601
    assert lines[-1] == "event=lines_dropped count=400 required=0"


# Guards against a process that does not end while the reader of its log stands still,
# and against lines of its last moment that are lost.
def test_a_closing_writer_waits_only_so_long_for_its_reader() -> None:
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, lines_per_s=1e9)
    writer.start()
    writer.write("the last line", is_required=True)
    writer.close(20.0)
    assert os.read(reader, 100) == b"the last line\n"
    fcntl.fcntl(descriptor, fcntl.F_SETPIPE_SZ, 4096)
    full = LineWriter(descriptor, lines_per_s=1e9)
    full.start()
    full.write("x" * 100_000)
    began_s = time.monotonic()
    full.close(0.1)
    assert time.monotonic() - began_s < 10.0
    os.close(reader)


# Guards against a log that one caller ends for all others, with bytes that are no text
# in a field of its request.
def test_bytes_that_are_no_text_do_not_end_the_log() -> None:
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, lines_per_s=1e9)
    writer.start()
    writer.write(b"host=a\xffb".decode(errors="surrogateescape"))
    assert os.read(reader, 100) == b"host=a\\udcffb\n"
    writer.write("event=next")
    writer.close(20.0)
    assert os.read(reader, 100) == b"event=next\n"
    os.close(reader)
