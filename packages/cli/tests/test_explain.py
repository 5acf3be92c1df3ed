"""Explanation of a request from the logs of several nodes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from fordhatch.cli import explain, read_lines

FORDHATCH = Path(sys.executable).parent / "fordhatch"

LOG = r"""
time=2026-01-02T01:20:22.000Z node=n1 event=backend_seen backend=i-9 group=m.7
  3.3 n1 time=2026-01-02T01:20:23.100Z node=n1 event=group_silent group=m.7 head=i-1
time=2026-01-02T01:20:23.050Z node=n2 event=store_lost table=op reason="status 503"
time=2026-01-02T01:20:23.000Z node=n1 event=relay_failed reader=n3 problem="too old"
time=2026-01-02T01:20:23.200Z node=n1 event=send_failed request=r1 backend=i-1 group=m.7
time=2026-01-02T01:20:23.300Z node=n2 event=group_dissolving group=m.7 reason="a \"b\""
time=2026-01-02T01:20:23.301Z node=n3 event=group_dissolving group=m.7 reason="a \"b\""
time=2026-01-02T01:20:23.400Z node=n1 event=request_done request=r1 outcome=backend_lost
time=2026-01-02T01:20:23.500Z node=n1 event=request_done request=r2 outcome=complete
time=2026-01-02T01:25:23.300Z node=n2 event=group_dissolving group=m.7 reason=late
not a line of the log
"""


def test_related_events_are_collected_from_all_nodes() -> None:
    found = explain("r1", read_lines(LOG.splitlines()))
    assert [line.event for line in found.request_events] == [
        "send_failed",
        "request_done",
    ]
    assert [line.event for line in found.related] == [
        "group_silent",
        "group_dissolving",
    ]
    assert found.related[1].fields["reason"] == 'a "b"'
    # Two nodes logged the same event: it is shown once.
    assert [line.fields["seen_by_nodes"] for line in found.related] == ["1", "2"]
    assert [line.event for line in found.node] == ["relay_failed"]
    assert found.outcome == "backend_lost"
    assert "may have run" in found.advice


def test_a_request_refused_for_lack_of_capacity_names_who_was_ahead() -> None:
    common = "time=2026-01-02T01:20:22.000Z node=n1 request=r5 event="
    lines = [
        f"{common}admission_decided outcome=refused ahead=hule:12,:3",
        f"{common}request_done outcome=overloaded",
    ]
    found = explain("r5", read_lines(lines))
    assert found.outcome == "overloaded"
    assert "12 of hule, 3 of no workspace" in found.advice


def test_an_unlogged_request_has_no_explanation() -> None:
    assert explain("r3", read_lines(LOG.splitlines())) is None


def test_the_command_reads_files_and_prints_json(tmp_path: Path) -> None:
    path = tmp_path / "node.log"
    path.write_text(LOG)
    command = [FORDHATCH, "explain", "r1", str(path), "--output", "json"]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert json.loads(done.stdout)["outcome"] == "backend_lost"
    command = [FORDHATCH, "explain", "r3", str(path)]
    assert subprocess.run(command, capture_output=True, check=False).returncode == 1
