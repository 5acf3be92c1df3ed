from __future__ import annotations

import json
from collections.abc import Sequence

import attrs
from planning_site import engine_configuration

from fordhatch.adapter import decode_configuration
from fordhatch.catalog import (
    BackendServer,
    BackendState,
    GroupMembership,
    MemberState,
)
from fordhatch.placement import Layout, choose_conversion, choose_group
from fordhatch.registry import ReplicaGroup

PROFILE = decode_configuration(engine_configuration()).services["llm"].engine


def backend(
    name: str, domain: str = "d0", staged: Sequence[str] = (), **changes: object
) -> BackendServer:
    return BackendServer(
        name,
        "llm",
        "a:1",
        "z",
        BackendState.READY,
        13,
        domain,
        tuple(staged),
        **changes,  # type: ignore[arg-type]
    )


def layout(last: dict[str, str] | None = None, backends: int = 48) -> Layout:
    return Layout(PROFILE, last or {}, backends=backends)


def test_a_group_never_crosses_domains() -> None:
    free = [backend("a", "d0", ["small"]), backend("b", "d1", ["small"])]
    assert choose_group(layout(), free) is None


def test_no_join_needs_a_load_once_groups_serve() -> None:
    free = [backend("a"), backend("b")]
    assert choose_group(layout(), free) is None
    first = choose_group(layout(), free, is_first_layout=True)
    assert first.loads == 2


def test_members_of_a_lost_group_rejoin_first() -> None:
    free = [backend(n, staged=["small"]) for n in "abc"]
    found = choose_group(layout({"b": "small", "c": "small"}), free)
    assert {m.backend_id for m in found.members} == {"b", "c"}
    assert found.ready_in_s < 0.3


def test_the_model_that_lacks_groups_comes_first() -> None:
    free = [backend(n, staged=["small"]) for n in "abcd"]
    known = layout(dict.fromkeys("abcd", "big"))
    known.counts["small"] = 9
    assert choose_group(known, free).model.name == "big"
    known.counts["big"] = 9
    known.counts["small"] = 2
    assert choose_group(known, free).model.name == "small"


def test_the_first_layout_fills_domains_and_follows_the_shares() -> None:
    free = [backend(f"i{n:02d}", f"d{n // 8}") for n in range(48)]
    known = layout()
    while True:
        plan = choose_group(known, free, is_first_layout=True)
        if plan is None:
            break
        known.add(plan.model.name, plan.members[0].domain)
        taken = {m.backend_id for m in plan.members}
        free = [b for b in free if b.backend_id not in taken]
    assert not free
    assert known.counts == {"big": 8, "small": 8}


def group(name: str, members: Sequence[BackendServer]) -> ReplicaGroup:
    return ReplicaGroup(name, 1, dict(enumerate(members)))


def member(name: str, group_name: str, rank: int) -> BackendServer:
    place = GroupMembership(group_name, 1, rank, MemberState.OPEN)
    return backend(name, staged=["big"], membership=place)


def test_a_group_is_converted_where_another_model_needs_its_members_more() -> None:
    free = [backend(n, staged=["big"]) for n in "abc"]
    donor = group("small.1", [member("x", "small.1", 0), member("y", "small.1", 1)])
    known = layout()
    known.counts.update({"big": 2, "small": 10})
    found = choose_conversion(known, free, [donor])
    assert found.model.name == "big"
    assert found.donors == (donor,)


def test_no_group_is_converted_without_an_advantage() -> None:
    free = [backend(n, staged=["big"]) for n in "abc"]
    donor = group("small.1", [member("x", "small.1", 0), member("y", "small.1", 1)])
    known = layout()
    known.counts.update({"big": 8, "small": 8})
    assert choose_conversion(known, free, [donor]) is None


def test_no_group_is_converted_for_one_that_needs_loads() -> None:
    free = [backend(n) for n in "abc"]
    donor = group("small.1", [member("x", "small.1", 0), member("y", "small.1", 1)])
    known = layout()
    known.counts.update({"big": 2, "small": 10})
    assert choose_conversion(known, free, [donor]) is None


# Guards against a model with large groups that gets none back because more than two
# groups of the other model would have to make room.
def test_a_large_group_is_formed_from_the_members_of_many_small_ones() -> None:
    donors = [
        group(f"small.{n}", [member(f"{n}{rank}", f"small.{n}", rank) for rank in "01"])
        for n in "abcde"
    ]
    known = layout()
    models = [attrs.evolve(m, size=8) for m in known.profile.models if m.name == "big"]
    models += [m for m in known.profile.models if m.name != "big"]
    known.profile = attrs.evolve(known.profile, models=tuple(models))
    known.counts.update({"big": 1, "small": 40})
    found = choose_conversion(known, [], donors)
    assert found.model.name == "big"
    assert len(found.donors) == 4
    assert choose_conversion(known, [], donors[:3]) is None


def test_the_profile_has_the_sizes_that_the_tests_assume() -> None:
    data = json.loads(engine_configuration())
    assert [m["size"] for m in data["services"][0]["engine"]["models"]] == [4, 2]


def test_survivors_of_a_scarce_model_do_not_join_an_abundant_one() -> None:
    free = [backend(n, staged=["small"]) for n in "abc"]
    known = layout(dict.fromkeys("abc", "big"))
    known.count_backends([*free, *(backend(f"x{n}") for n in range(5))])
    known.counts.update({"big": 2, "small": 10})
    assert choose_group(known, free) is None
    known.counts.update({"big": 9, "small": -8})
    assert choose_group(known, free).model.name == "small"


def test_members_without_opportunity_cost_are_chosen_first() -> None:
    free = [backend(n, staged=["small"]) for n in "abcd"]
    known = layout({"a": "big", "b": "big"})
    known.count_backends([*free, *(backend(f"x{n}") for n in range(4))])
    found = choose_group(known, free, only_model="small")
    assert {m.backend_id for m in found.members} == {"c", "d"}


def test_no_opportunity_cost_where_no_group_of_the_last_model_fits() -> None:
    free = [backend(n, staged=["small"]) for n in "ab"]
    known = layout(dict.fromkeys("ab", "big"))
    known.count_backends(free)
    known.counts.update({"big": 0, "small": 10})
    assert choose_group(known, free).model.name == "small"
