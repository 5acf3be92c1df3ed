"""Retention of crash records: an hour after the newest one, in limited number."""

from __future__ import annotations

from fordhatch.placement._crash_record_cleaner import MAX_ROWS, RETENTION_S, outdated
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
