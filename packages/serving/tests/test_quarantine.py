"""Pattern: contents that end backend servers, beside sound ones that were there."""

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
)
from fordhatch.serving._quarantine import MOST_OWN, Quarantine, judge

BEGUN, FLOWING, WAITING = RunStage.BEGUN, RunStage.FLOWING, RunStage.WAITING


@pytest.mark.parametrize("stage", [FLOWING, WAITING])
def test_three_servers_are_enough_and_two_are_not(stage: RunStage) -> None:
    crashes = {"a": dict.fromkeys("xyz", stage), "b": dict.fromkeys("uv", stage)}
    assert judge(crashes) == {"a"}


def test_two_are_enough_where_the_answer_had_just_begun_both_times() -> None:
    crashes = {
        "a": dict.fromkeys("xy", BEGUN),
        "b": {"u": BEGUN, "v": WAITING},
        "c": {"w": BEGUN},
    }
    assert judge(crashes) == {"a"}


def test_a_sound_one_that_was_always_there_is_parted_by_its_progress() -> None:
    sound = {"x": FLOWING, "y": WAITING, "z": FLOWING}
    assert judge({"bad": dict.fromkeys("xyz", BEGUN), "sound": sound}) == {"bad"}


def test_a_sound_one_is_freed_when_a_worse_one_explains_its_crashes() -> None:
    sound = dict.fromkeys("xyz", BEGUN)
    assert judge({"sound": sound}) == {"sound"}
    assert judge({"sound": sound, "bad": dict.fromkeys("xyzu", BEGUN)}) == {"bad"}


def test_what_nothing_tells_apart_is_all_held_back() -> None:
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
def test_sound_requests_beside_a_hundred_bad_ones_are_not_held_back(seed: int) -> None:
    """Each crash takes twelve sound runs along.

    A sound request is there four times at the most: its caller tries twice, and each
    try is sent twice.
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


def test_the_rows_that_are_kept_are_judged_within_some_milliseconds() -> None:
    """All different in how much speaks against them, which takes longest."""
    rng = random.Random(1)
    crashes = {
        f"bad{n}": {f"s{n}.{e}": rng.choice(list(RunStage)) for e in range(3 + n % 2)}
        for n in range(170)
    }
    began_s = time.process_time()
    assert len(judge(crashes)) == 170
    assert time.process_time() - began_s < 0.05


# What a node knows by itself, and what it reads.


@attrs.frozen
class Content:
    """Stands for a request; its name is its digest."""

    name: str


def site() -> tuple[Quarantine, SharedRows]:
    shared = SharedRows(Timer())
    return Quarantine(shared, lambda request: request.name), shared


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
    assert not quarantine.holds(Content("a"))
    # Its own row comes back from the store, and counts once.
    shared.observe_changes([row("a", "y", WAITING)])
    assert not quarantine.holds(Content("a"))
    assert quarantine.is_suspect(Content("a"))
    assert not quarantine.is_suspect(Content("c"))
    shared.observe_changes([row("a", "z", WAITING)])
    assert quarantine.holds(Content("a"))
    assert not quarantine.holds(Content("b"))


async def test_a_content_is_free_when_its_rows_are_gone() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("a", b) for b in "xyz"])
    assert quarantine.holds(Content("a"))
    shared.observe_changes([row("a", b, is_removed=True) for b in "xy"])
    assert not quarantine.holds(Content("a"))
    shared.observe_snapshot([row("a", b) for b in "xyz"])
    assert quarantine.holds(Content("a"))
    shared.observe_snapshot([])
    assert not quarantine.holds(Content("a"))


async def test_a_whole_answer_clears_a_content() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("a", "x"), row("b", "x")])
    quarantine.observe(CrashRecord("a", "y", BEGUN, "n1"))
    assert quarantine.clear("a") == [("a", "x")]
    quarantine.observe(CrashRecord("a", "z", WAITING, "n1"))
    assert not quarantine.holds(Content("a"))
    assert quarantine.crashes("a").keys() == {"x", "z"}


async def test_what_a_node_remembers_by_itself_is_bounded() -> None:
    quarantine, shared = site()
    for number in range(MOST_OWN + 50):
        quarantine.observe(CrashRecord("a", f"s{number}", BEGUN, "n1"))
    assert len(quarantine.own) == MOST_OWN
    shared.observe_changes([row("a", f"s{MOST_OWN}")])
    quarantine.forget_told(before_s=0.0)
    assert len(quarantine.own) == MOST_OWN - 1
    quarantine.forget_told(before_s=1.0)
    assert quarantine.own == {}


async def test_what_is_told_once_is_not_told_again() -> None:
    quarantine, _ = site()
    seen = CrashRecord("a", "x", BEGUN, "n1")
    quarantine.observe(seen)
    assert quarantine.take_untold("b") == []
    assert quarantine.take_untold("a") == [seen]
    assert quarantine.take_untold("a") == []


async def test_news_of_another_node_count_and_are_new_once() -> None:
    quarantine, shared = site()
    shared.observe_changes([row("a", "x")])
    heard = [CrashRecord("a", b, BEGUN, "n2") for b in "xyz"]
    assert quarantine.hear(heard) == heard[1:]
    assert quarantine.hear(heard) == []
    assert quarantine.take_untold("a") == []
    assert quarantine.holds(Content("a"))


async def test_a_spoiled_row_speaks_against_nobody() -> None:
    _, shared = site()
    for value in (b"", b"{}", b"null", b'{"stage": 9, "node_name": "n"}', b"[" * 9999):
        shared.observe_changes([attrs.evolve(row("a", "x"), value=value)])
        assert shared.crashes == {}
    key = RowKey(SHARED_TABLE, "crash/without-a-server")
    shared.observe_changes([Row(key, StoreVersion(0, 1), row("a", "x").value)])
    assert shared.crashes == {}
