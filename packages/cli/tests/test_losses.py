"""Classification of lost and late requests by cause."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from fordhatch.cli import find_losses
from fordhatch.cli._losses import TABLES

FORDHATCH = Path(sys.executable).parent / "fordhatch"
DONE = "time=2026-01-02T01:20:{second}.000Z node=n1 event=request_done"
LATE = "goal_s=0.3 sent_s={sent} in_flight={queue} first_s={first} pause_s={pause}"


def done(request: str, rest: str, second: int = 23) -> str:
    return f"{DONE.format(second=second)} request={request} route=chat {rest}"


def late(request: str, sent: float, queue: int, first: float, pause: float) -> str:
    fields = LATE.format(sent=sent, queue=queue, first=first, pause=pause)
    return done(request, f"workspace=w1 outcome=complete {fields} gap_s=0.2")


def failed(request: str, problem: str) -> str:
    return (
        "time=2026-01-02T01:20:22.900Z node=n1 event=send_failed "
        f"request={request} problem={problem}"
    )


def held(request: str) -> str:
    return (
        "time=2026-01-02T01:20:22.900Z node=n1 event=admission_decided "
        f"request={request} outcome=sent ahead=w2:4"
    )


@pytest.mark.parametrize(
    ("lines", "kind", "cause"),
    [
        ([done("r", "outcome=complete")], "", ""),
        ([done("r", "outcome=status_200")], "", ""),
        ([done("r", "outcome=status_500")], "failed", "error of the backend server"),
        ([done("r", "outcome=no_group_ready")], "refused", "no group open"),
        (
            [
                done("r", "outcome=aborted"),
                "time=2026-01-02T01:20:22.9Z node=n1 event=budget_spent request=r",
            ],
            "failed",
            "stream broken off, budget for repeats spent",
        ),
        ([late("r", 0.3, 0, 0.5, 0.0)], "late", "waited before the first send"),
        ([done("r", "outcome=overloaded")], "refused", "no capacity in time"),
        ([held("r"), late("r", 0.3, 0, 0.5, 0.0)], "late", "waited for capacity"),
        ([late("r", 0.0, 5, 0.5, 0.0)], "late", "queue at the backend server"),
        ([late("r", 0.0, 0, 0.5, 0.0)], "late", "slow to the first event"),
        ([late("r", 0.0, 0, 0.2, 0.4)], "late", "slow between events"),
        (
            [failed("r", "silent"), late("r", 0.0, 0, 0.9, 0.0)],
            "late",
            "group or server silent",
        ),
        (
            ["time=2026-01-02T01:20:23Z node=n1 event=request_refused request=r "
             "code=CONFIGURATION_STALE"],
            "refused",
            "configuration not confirmed",
        ),
        (
            ["time=2026-01-02T01:20:23Z node=n1 event=request_refused request=r "
             "code=UNAUTHENTICATED"],
            "",
            "",
        ),
    ],
)  # fmt: skip
def test_each_loss_has_its_cause(lines: list[str], kind: str, cause: str) -> None:
    found = find_losses(lines).losses
    assert [(loss.kind, loss.cause) for loss in found] == (
        [(kind, cause)] if kind else []
    )


def test_losses_by_scarcity_are_separated_from_those_by_faults() -> None:
    found = find_losses(
        [done("a", "outcome=overloaded"), done("b", "outcome=backend_lost")]
    )
    rows = dict(found.by(TABLES["origin"]))
    assert rows == {"scarcity": {"refused": 1}, "fault": {"failed": 1}}


def test_damaged_and_foreign_lines_are_counted() -> None:
    lines = [
        "Traceback (most recent call last):",
        'time= event=request_done request=r1 outcome="no_group_ready',
        "time=2026-01-02T01:20 node=n1 event=request_done request=r2 goal_s=x "
        "outcome=complete sent_s=?",
        "\x00\xff",
        "",
    ]
    found = find_losses(lines)
    assert found.foreign_lines == 2
    assert found.requests == 2


def test_the_command_writes_tables_json_and_a_plot(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    log.write_text(
        "\n".join([late("r1", 0, 5, 0.5, 0), done("r2", "outcome=complete")])
    )
    picture = tmp_path / "losses.png"
    command = [
        FORDHATCH,
        "losses",
        str(log),
        "--output",
        "json",
        "--plot",
        str(picture),
    ]
    shown = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    report = json.loads(shown)
    assert (report["requests"], report["losses"]) == (2, 1)
    assert report["cause"] == [{"cause": "queue at the backend server", "late": 1}]
    assert report["workspace"] == [{"workspace": "w1", "late": 1}]
    assert picture.read_bytes().startswith(b"\x89PNG")
    table = subprocess.run(
        command[:3], capture_output=True, text=True, check=True
    ).stdout
    assert "1 of 2 requests lost or late" in table
