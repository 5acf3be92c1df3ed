"""Lines with which requests end: written at once, and counted if they are lost."""

from __future__ import annotations

import errno
import fcntl
import os
import time
from collections.abc import Iterator

import pytest

from fordhatch.core import LineWriter, _line_writer

WAIT_LIMIT_S = 20.0


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
