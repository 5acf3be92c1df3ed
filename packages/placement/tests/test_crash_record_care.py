"""Retention of crash records: an hour after the newest one, in limited number."""

from __future__ import annotations

from fordhatch.placement._crash_record_cleaner import (
    MAX_ROWS,
    RETENTION_S,
    disproved,
    outdated,
    outdated_proofs,
)
from fordhatch.registry import CrashRecord, RunStage


def record(digest: str, backend: str, seen_s: float = 0.0) -> CrashRecord:
    return CrashRecord(digest, backend, RunStage.BEGUN, "n1", seen_s)


def test_a_content_is_kept_until_an_hour_after_its_newest_crash() -> None:
    records = [record("a", "x", 0.0), record("a", "y", 100.0), record("b", "x", 0.0)]
    assert outdated(records, RETENTION_S) == []
    assert outdated(records, RETENTION_S + 1.0) == [("b", "x")]
    assert {*outdated(records, RETENTION_S + 101.0)} == {r.key for r in records}


def test_contents_with_few_and_old_crashes_are_removed_first() -> None:
    """Pattern: thousands of different contents crash backend servers."""
    held = [record(f"h{n}", b, n) for n in range(MAX_ROWS // 3) for b in "xyz"]
    assert outdated(held, 200.0) == []
    single = [record(f"s{n}", "x", 200.0) for n in range(100)]
    removable = outdated([*single, *held], 200.0)
    assert {digest[0] for digest, _ in removable} == {"s"}
    assert len(removable) == 100
    newest = [record("new", b, 201.0) for b in "xyz"]
    assert outdated([*held, *newest], 201.0) == [("h0", b) for b in "xyz"]


def test_crashes_of_a_part_from_before_its_proof_are_removed() -> None:
    records = [record("part-s", "x", 1.0), record("part-s", "y", 3.0), record("a", "x")]
    assert disproved(records, {"part-s": 2.0}) == [("part-s", "x")]


def test_proofs_are_kept_for_an_hour_in_limited_number() -> None:
    proven = {f"part-{number}": float(number) for number in range(MAX_ROWS + 2)}
    assert outdated_proofs(proven, 700.0) == ["part-1", "part-0"]
    later_s = RETENTION_S + 2.5
    assert outdated_proofs(proven, later_s) == ["part-1", "part-0", "part-2"]
