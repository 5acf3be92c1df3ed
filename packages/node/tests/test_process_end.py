"""The end of a node's process: in time, with its lines, whatever stands still."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys
import time

import ending_process
import pytest
from ending_process import GRACE_S, LINES
from raw_caller import until

WAIT_LIMIT_S = 30.0
SLOW_READER_S = 1.5
"""How late a slow reader of the log begins to read."""


async def start(way: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        ending_process.__file__,
        way,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        limit=1024,
    )


async def end(process: asyncio.subprocess.Process) -> tuple[str, str]:
    """Wait for the end of a process; returns its log and its errors."""
    try:
        async with asyncio.timeout(WAIT_LIMIT_S):
            output, errors = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return output.decode(), errors.decode()


# Guards against a process that has failed and stays, silently, for a task that does not
# end.
async def test_an_exception_ends_the_process_with_a_line() -> None:
    process = await start("raises")
    log, errors = await end(process)
    assert process.returncode == 1
    assert "event=node_failed" in log
    assert "event=node_stopped" in log
    assert "address in use" in errors


# Guards against a process that is killed, with the lines of the requests it still has,
# because its event loop does not get to their end.
async def test_a_process_ends_in_time_though_its_event_loop_stands_still() -> None:
    process = await start("stands_still")
    assert b"event=listening" in await process.stdout.readline()
    began_s = time.monotonic()
    log, _ = await end(process)
    assert time.monotonic() - began_s < GRACE_S
    assert process.returncode == 0
    (line,) = re.findall("event=request_done.*", log)
    assert "request=r1 " in line
    assert "ended_by=stop" in line
    (last,) = re.findall("event=node_stopped.*", log)
    assert "forced=True accepted=1 ended=1" in last


# Guards against a close that has no limit because a component swallows its end.
async def test_a_component_that_does_not_close_keeps_no_process() -> None:
    began_s = time.monotonic()
    process = await start("closes_slowly")
    log, _ = await end(process)
    assert process.returncode == 0
    assert "event=close_cut_short" in log
    assert "event=node_stopped forced=False" in log
    assert time.monotonic() - began_s < WAIT_LIMIT_S / 2


# Guards against lines that are lost though there is time left to write them, and
# against lost ones that show nowhere.
@pytest.mark.parametrize("reads", [True, False], ids=["late", "never"])
async def test_the_log_has_the_time_that_the_grace_period_leaves(reads: bool) -> None:
    process = await start("writes_much")
    if reads:
        await asyncio.sleep(SLOW_READER_S)
    else:
        await until(lambda: process.returncode is not None)
    log, errors = await end(process)
    assert process.returncode == 0
    written = log.count("event=request_done")
    lost = re.findall(r"event=lines_lost count=\d+ required=(\d+)", errors)
    assert (written, lost) == (LINES, []) if reads else lost == [str(LINES - written)]


# Guards against queued lines that are lost because one line could not be logged.
def test_lines_are_written_if_logging_an_unended_request_fails() -> None:
    code = """
from fordhatch.core import configure_line_log, log_event
from fordhatch.node import ProcessEnd
end = ProcessEnd.from_descriptor(1)
configure_line_log("n", end.writer)
class Requests:
    accepted_count = ended_count = relaying_count = 0
    def log_unended(self, now_s):
        raise RuntimeError("a line that cannot be logged")
end.observe(Requests())
log_event("queued_before")
end.exit()
"""
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert "queued_before" in done.stdout
    assert "node_stopped" in done.stdout
