"""Lines with which requests end: written at once, and counted if they are lost."""

from __future__ import annotations

import errno
import fcntl
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from fordhatch.core import LineWriter, _line_writer, format_line
from fordhatch.core._line_writer import MAX_QUEUED_LINES

WAIT_LIMIT_S = 20.0
MORE_LINES = 500


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    # The writing end stays open: another test's pipe must not get its number while a
    # writer's thread still runs.
    reader, descriptor = os.pipe()
    yield reader, descriptor
    os.close(reader)


def read_until(reader: int, mark: bytes) -> bytes:
    """Return what is read up to a mark."""
    os.set_blocking(reader, False)
    found, until_s = b"", time.monotonic() + WAIT_LIMIT_S
    while mark not in found and time.monotonic() < until_s:
        try:
            found += os.read(reader, 65536)
        except BlockingIOError:
            time.sleep(0.005)
    return found


# Guards against a request that ends without a line because the reader of the log stood
# still for a while and other lines had filled the queue.
def test_other_lines_take_no_room_from_required_ones(pipe) -> None:
    reader, descriptor = pipe
    writer = LineWriter(descriptor, lines_per_s=1e9)
    writer.start()
    for number in range(2 * MAX_QUEUED_LINES):
        writer.write(f"event=x number={number} " + "y" * 100)
    for number in range(MORE_LINES):
        writer.write(f"event=request_done number={number}", is_required=True)
    writer.write("event=end", is_required=True)
    lines = read_until(reader, b"event=end\n").decode().splitlines()
    found = [x for x in lines if "event=request_done" in x]
    assert len(found) == MORE_LINES
    writer.write("event=after", is_required=True)
    (told,) = [x for x in lines if "lines_dropped" in x]
    assert told.endswith(" required=0"), told
    writer.close(WAIT_LIMIT_S)


KILLED_AFTER_A_LINE = """
import os, signal
from fordhatch.core import LineWriter
writer = LineWriter(1)
writer.start()
writer.write("event=before")
writer.write("event=request_done", is_required=True)
os.kill(os.getpid(), signal.SIGKILL)
"""


# Guards against the line of a request that has ended and is lost, as its process is
# killed while lines are collected.
def test_a_required_line_is_in_the_pipe_when_its_request_has_ended() -> None:
    killed = subprocess.run(
        [sys.executable, "-c", KILLED_AFTER_A_LINE],
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert killed.returncode == -signal.SIGKILL
    assert killed.stdout == b"event=before\nevent=request_done\n"


# Guards against lines that are lost, and one that is split, because another process has
# made the log's pipe non-blocking.
def test_a_pipe_that_is_not_blocking_loses_no_line(pipe) -> None:
    reader, descriptor = pipe
    fcntl.fcntl(descriptor, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor, lines_per_s=1e9)
    sent = [f"event=request_done number={n} {'y' * 900}" for n in range(100)]
    for line in sent:
        writer.write(line, is_required=True)
    writer.start()
    time.sleep(0.2)
    writer.write("event=end", is_required=True)
    text = read_until(reader, b"event=end\n").decode()
    assert text.splitlines() == [*sent, "event=end"]
    writer.close(WAIT_LIMIT_S)


# Guards against a log that ends for the rest of the process, or loses the lines at
# hand, because one write failed.
@pytest.mark.parametrize(
    "raised",
    [OSError(errno.EIO, "once"), OSError(errno.ENOSPC, "once"), MemoryError()],
    ids=["EIO", "ENOSPC", "MemoryError"],
)
def test_a_write_that_fails_once_does_not_end_the_log(pipe, monkeypatch, raised):
    reader, descriptor = pipe
    errors, write = [raised], os.write

    def fails_once(number: int, data: bytes) -> int:
        if errors:
            raise errors.pop()
        return write(number, data)

    monkeypatch.setattr(_line_writer.os, "write", fails_once)
    writer = LineWriter(descriptor, lines_per_s=1e9)
    writer.start()
    writer.write("event=request_done", is_required=True)
    while errors:
        time.sleep(0.005)
    writer.write("event=end", is_required=True)
    found = read_until(reader, b"event=end\n")
    assert found == b"event=request_done\nevent=end\n"
    writer.close(WAIT_LIMIT_S)


# Guards against lost lines that show nowhere: the line that would tell of them needs
# the reader that takes nothing.
def test_what_is_not_written_at_the_end_is_counted(pipe) -> None:
    reader, descriptor = pipe
    fcntl.fcntl(descriptor, fcntl.F_SETPIPE_SZ, 4096)
    writer = LineWriter(descriptor, lines_per_s=1e9)
    writer.start()
    for _ in range(100):
        writer.write("event=request_done " + "x" * 100, is_required=True)
    writer.write("event=other")
    writer.close(0.2)
    read = read_until(reader, b"\n").count(b"\n")
    counts = writer.counts
    assert 0 < read < 100
    assert counts.written_required == read
    assert (counts.dropped_required, counts.dropped) == (100 - read, 101 - read)


class Unprintable:
    """A value whose text can't be made."""

    def __str__(self) -> str:
        raise ValueError("no text")


# Guards against a line without its request's id, or none, because one of its fields
# can't be printed: the logging library swallows what a destination raises.
def test_a_field_that_cannot_be_printed_costs_only_that_field() -> None:
    message = {"message_type": "request_done", "request": "r1", "error": Unprintable()}
    line = format_line("n1", message)
    assert "event=request_done request=r1 error=unprintable:Unprintable" in line


# Guards against a line after the end of the log that is neither written nor counted.
def test_a_required_line_after_the_close_is_counted() -> None:
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    writer.start()
    writer.write("before", is_required=True)
    writer.close(1.0)
    writer.write("after", is_required=True)
    assert os.read(reading, 1000) == b"before\n"
    assert writer.counts.dropped_required == 1
