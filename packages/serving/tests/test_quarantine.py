"""Contents that crash backend servers, and sound ones present at the crashes."""

from __future__ import annotations

import random
import time

import attrs
import pytest

from fordhatch.adapter import Row, RowKey, StoreVersion
from fordhatch.core import Timer
from fordhatch.registry import (
    SHARED_TABLE,
    CrashRecord,
    RunStage,
    SharedRows,
    crash_key,
    proven_key,
)
from fordhatch.serving._request_features import RequestFeatures
from fordhatch.serving.crashes import _crash_cause
from fordhatch.serving.crashes._part_proofs import MAX_PARTS, PROOF_HOLDS_S, PartProofs
from fordhatch.serving.crashes._quarantine import MAX_OWN_CRASHES, Quarantine

BEGUN, FLOWING, WAITING = RunStage.BEGUN, RunStage.FLOWING, RunStage.WAITING


def judge(crashes: dict[str, dict[str, RunStage]]) -> set[str]:
    """Return the names of all causes, with a plus between parts of one cause."""
    return {cause.name for cause in _crash_cause.judge(crashes)}


@pytest.mark.parametrize("stage", [FLOWING, WAITING])
def test_three_crashes_quarantine_and_two_do_not(stage: RunStage) -> None:
    crashes = {"a": dict.fromkeys("xyz", stage), "b": dict.fromkeys("uv", stage)}
    assert judge(crashes) == {"a"}


def test_two_crashes_quarantine_if_the_answer_had_just_begun_both_times() -> None:
    crashes = {
        "a": dict.fromkeys("xy", BEGUN),
        "b": {"u": BEGUN, "v": WAITING},
        "c": {"w": BEGUN},
    }
    assert judge(crashes) == {"a"}


def test_a_sound_request_at_every_crash_is_distinguished_by_its_progress() -> None:
    sound = {"x": FLOWING, "y": WAITING, "z": FLOWING}
    assert judge({"bad": dict.fromkeys("xyz", BEGUN), "sound": sound}) == {"bad"}


def test_a_sound_request_is_released_when_a_worse_one_explains_its_crashes() -> None:
    sound = dict.fromkeys("xyz", BEGUN)
    assert judge({"sound": sound}) == {"sound"}
    assert judge({"sound": sound, "bad": dict.fromkeys("xyzu", BEGUN)}) == {"bad"}


def test_indistinguishable_contents_are_all_quarantined() -> None:
    same = dict.fromkeys("xyz", BEGUN)
    assert judge({"a": same, "b": dict(same)}) == {"a", "b"}


def test_several_causes_at_a_time_are_all_found() -> None:
    crashes = {
        "bad": dict.fromkeys("uvwx", BEGUN),
        "worse": dict.fromkeys("mnopq", BEGUN),
        "sound": {"u": FLOWING, "m": FLOWING, "n": WAITING},
    }
    assert judge(crashes) == {"bad", "worse"}


@pytest.mark.parametrize("seed", range(20))
def test_sound_requests_beside_a_hundred_bad_ones_are_not_quarantined(
    seed: int,
) -> None:
    """Each crash also terminates twelve sound runs.

    A sound request is present at most four times: its caller sends it twice, and each
    of these requests is attempted twice.
    """
    rng = random.Random(seed)
    runs = [f"sound{n}" for n in range(1200) for _ in range(4)]
    rng.shuffle(runs)
    crashes: dict[str, dict[str, RunStage]] = {}
    for number in range(100):
        for end in range(3):
            server = f"s{number}.{end}"
            crashes.setdefault(f"bad{number}", {})[server] = BEGUN
            for _ in range(12):
                stage = rng.choice([FLOWING, WAITING])
                crashes.setdefault(runs.pop(), {})[server] = stage
    assert judge(crashes) == {f"bad{n}" for n in range(100)}


def test_all_kept_rows_are_judged_within_some_milliseconds() -> None:
    """Contents that differ in weight take the longest to judge."""
    rng = random.Random(1)
    crashes = {
        f"bad{n}": {f"s{n}.{e}": rng.choice(list(RunStage)) for e in range(3 + n % 2)}
        for n in range(170)
    }
    began_s = time.process_time()
    assert len(judge(crashes)) == 170
    assert time.process_time() - began_s < 0.05


# Parts of prompts.


def test_a_part_of_contents_that_differ_is_the_cause() -> None:
    crashes = {"part-b": dict.fromkeys("xy", BEGUN), "1": {"x": BEGUN}}
    assert judge({**crashes, "2": {"y": BEGUN}}) == {"part-b"}


def test_the_same_content_at_each_crash_is_a_narrower_cause_than_its_parts() -> None:
    same = dict.fromkeys("xy", BEGUN)
    assert judge({"1": same, "part-b": dict(same)}) == {"1"}
    more = {**same, "z": BEGUN}
    assert judge({"1": same, "part-b": more, "2": {"z": BEGUN}}) == {"part-b"}


def test_parts_at_the_same_crashes_are_a_cause_only_together() -> None:
    same = dict.fromkeys("xy", BEGUN)
    assert judge({"part-b": same, "part-s": dict(same)}) == {"part-b+part-s"}
    alone = {**same, "z": BEGUN}
    assert judge({"part-b": alone, "part-s": dict(same)}) == {"part-b"}


def test_two_bad_parts_at_a_time_are_both_found() -> None:
    one, other = dict.fromkeys("xyz", BEGUN), dict.fromkeys("uv", BEGUN)
    sound = {"x": BEGUN, "u": WAITING}
    assert judge({"part-b": one, "part-c": other, "part-s": sound}) == {
        "part-b",
        "part-c",
    }


# Guards against sound requests that are refused because they have one part of several
# that crash servers together.
async def test_only_requests_with_all_parts_of_a_cause_are_quarantined() -> None:
    quarantine, shared = site()
    shared.observe_changes([row(p, b) for p in ("part-b", "part-s") for b in "xy"])
    assert quarantine.is_quarantined(Content("1", ("part-s", "part-f", "part-b")))
    assert not quarantine.is_quarantined(Content("2", ("part-s", "part-f")))
    assert not quarantine.is_quarantined(Content("3", ("part-b",)))


async def test_a_proven_part_is_no_cause_and_tells_others_apart() -> None:
    quarantine, shared = site()
    quarantine.record_proof(["part-s"])
    shared.observe_changes([row(p, b) for p in ("part-b", "part-s") for b in "xy"])
    assert quarantine.is_quarantined(Content("1", ("part-b",)))
    assert not quarantine.is_quarantined(Content("2", ("part-s",)))


async def test_a_proof_in_the_store_releases_a_part() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("part-s", b) for b in "xy"])
    assert quarantine.is_quarantined(Content("1", ("part-s",)))
    proof = Row(RowKey(SHARED_TABLE, proven_key("part-s")), StoreVersion(0, 2), b"{}")
    shared.observe_changes([proof])
    assert not quarantine.is_quarantined(Content("1", ("part-s",)))


async def test_an_old_proof_does_not_excuse_a_part_that_has_become_bad() -> None:
    timer = Timer()
    quarantine, _ = site(timer)
    quarantine.record_proof(["part-s"])
    later_s = timer.now_s() + PROOF_HOLDS_S + 1.0
    for backend in "xy":
        quarantine.observe(CrashRecord("part-s", backend, BEGUN, "n1", later_s))
    assert quarantine.is_quarantined(Content("1", ("part-s",)))


async def test_a_node_shares_proofs_of_suspected_parts_that_the_store_lacks() -> None:
    quarantine, shared = site()
    quarantine.record_proof(["part-s"])
    assert quarantine.proofs.unshared(["part-s", "part-b"]) == ["part-s"]
    proof = Row(RowKey(SHARED_TABLE, proven_key("part-s")), StoreVersion(0, 2), b"{}")
    shared.observe_changes([proof])
    assert quarantine.proofs.unshared(["part-s"]) == []


async def test_remembered_proofs_are_bounded() -> None:
    quarantine, _ = site()
    quarantine.record_proof(f"part-{number}" for number in range(MAX_PARTS + 5))
    proven = quarantine.proofs.unshared([f"part-{n}" for n in range(MAX_PARTS + 5)])
    assert len(proven) == MAX_PARTS
    assert "part-0" not in proven


async def test_the_most_suspicious_stage_of_several_runs_counts() -> None:
    quarantine, shared = site()
    rows = [row("part-b", b, stage) for b in "xy" for stage in (BEGUN, FLOWING)]
    shared.observe_changes(rows)
    assert quarantine.is_quarantined(Content("1", ("part-b",)))


# A crash that another node has reported directly must not outlive its row.
async def test_a_crash_is_dropped_once_the_store_has_it() -> None:
    quarantine, shared = site()
    quarantine.record_remote([CrashRecord("a", b, BEGUN, "n2") for b in "xy"])
    shared.observe_changes([row("a", b) for b in "xy"])
    quarantine.refresh()
    assert quarantine.is_quarantined(Content("a"))
    shared.observe_changes([row("a", b, is_removed=True) for b in "xy"])
    quarantine.refresh()
    assert not quarantine.is_quarantined(Content("a"))


# Crashes seen by a node, and crashes read from the store.


@attrs.define
class Content:
    """A request whose digest is its name."""

    name: str
    parts: tuple[str, ...] = ()


def site(timer: Timer | None = None) -> tuple[Quarantine, SharedRows]:
    timer = timer or Timer()
    shared = SharedRows(timer)

    def features(request: Content) -> RequestFeatures:
        return RequestFeatures(request.name, request.parts)

    return Quarantine(shared, features, PartProofs(timer, shared)), shared


def row(
    digest: str, backend: str, stage: RunStage = BEGUN, *, is_removed: bool = False
) -> Row:
    key = RowKey(SHARED_TABLE, crash_key(digest, backend))
    value = CrashRecord(digest, backend, stage, "n1").to_bytes()
    return Row(key, StoreVersion(0, 1), value, is_removed)


async def test_own_crashes_and_those_of_other_nodes_count_together() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("a", "x", WAITING), row("b", "x", WAITING)])
    quarantine.observe(CrashRecord("a", "y", WAITING, "n1"))
    assert not quarantine.is_quarantined(Content("a"))
    # The row of the own crash is read from the store, and counts once.
    shared.observe_changes([row("a", "y", WAITING)])
    assert not quarantine.is_quarantined(Content("a"))
    assert quarantine.is_suspect(Content("a"))
    assert not quarantine.is_suspect(Content("c"))
    shared.observe_changes([row("a", "z", WAITING)])
    assert quarantine.is_quarantined(Content("a"))
    assert not quarantine.is_quarantined(Content("b"))


async def test_a_content_is_released_when_its_rows_are_removed() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("a", b) for b in "xyz"])
    assert quarantine.is_quarantined(Content("a"))
    shared.observe_changes([row("a", b, is_removed=True) for b in "xy"])
    assert not quarantine.is_quarantined(Content("a"))
    shared.observe_snapshot([row("a", b) for b in "xyz"])
    assert quarantine.is_quarantined(Content("a"))
    shared.observe_snapshot([])
    assert not quarantine.is_quarantined(Content("a"))


async def test_a_complete_answer_clears_a_content() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("a", "x"), row("b", "x")])
    quarantine.observe(CrashRecord("a", "y", BEGUN, "n1"))
    assert quarantine.clear("a") == [("a", "x")]
    quarantine.observe(CrashRecord("a", "z", WAITING, "n1"))
    assert not quarantine.is_quarantined(Content("a"))
    assert quarantine.crashes("a").keys() == {"x", "z"}


async def test_own_crashes_are_bounded() -> None:
    quarantine, shared = site()
    for number in range(MAX_OWN_CRASHES + 50):
        quarantine.observe(CrashRecord("a", f"s{number}", BEGUN, "n1"))
    assert len(quarantine.own) == MAX_OWN_CRASHES
    shared.observe_changes([row("a", f"s{MAX_OWN_CRASHES}")])
    quarantine.prune(before_s=0.0)
    assert len(quarantine.own) == MAX_OWN_CRASHES - 1
    quarantine.prune(before_s=1.0)
    assert quarantine.own == {}


async def test_a_crash_is_published_once() -> None:
    quarantine, _ = site()
    seen = CrashRecord("a", "x", BEGUN, "n1")
    quarantine.observe(seen)
    assert quarantine.take_unpublished(["b"]) == []
    assert quarantine.take_unpublished(["a"]) == [seen]
    assert quarantine.take_unpublished(["a"]) == []


async def test_crashes_reported_by_another_node_count_and_are_new_once() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("a", "x")])
    reported = [CrashRecord("a", b, BEGUN, "n2") for b in "xyz"]
    assert quarantine.record_remote(reported) == reported[1:]
    assert quarantine.record_remote(reported) == []
    assert quarantine.take_unpublished(["a"]) == []
    assert quarantine.is_quarantined(Content("a"))


async def test_a_malformed_row_is_ignored() -> None:
    _, shared = site()
    for value in (b"", b"{}", b"null", b'{"stage": 9, "node_name": "n"}', b"[" * 9999):
        shared.observe_changes([attrs.evolve(row("a", "x"), value=value)])
        assert shared.crashes == {}
    key = RowKey(SHARED_TABLE, "crash/without-a-server")
    shared.observe_changes([Row(key, StoreVersion(0, 1), row("a", "x").value)])
    assert shared.crashes == {}
