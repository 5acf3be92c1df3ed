"""Single decisions by plain values."""

from __future__ import annotations

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordhatch.scheduling import (
    FairShares,
    GroupCapacity,
    ModelAdmission,
    ModelCapacity,
    OpeningGroup,
    PendingRequest,
    Place,
    RefusalReason,
    Refuse,
    RetryTimes,
    ReturningCallers,
    Send,
    Ticket,
    UrgencyClasses,
    Wait,
    WaitingLine,
    decide,
    max_min_shares,
    stream_patience_s,
)

FULL = GroupCapacity(slots=17, in_flight=17)
PENDING = PendingRequest(rank=0, ranks=3, goal_s=0.25, give_up_in_s=2.0, first_s=0.05)


def capacity(*groups: GroupCapacity, **changes: object) -> ModelCapacity:
    return ModelCapacity(groups, busy_s=0.06, **changes)


def test_a_free_slot_is_had_at_once() -> None:
    assert capacity(GroupCapacity(17, in_flight=16)).first_event_s(0, 0.05) == 0.05


def test_a_slow_group_is_slower_to_the_first_event() -> None:
    slow = GroupCapacity(17, pace=5.0)
    assert capacity(slow).first_event_s(0, 0.05) == pytest.approx(0.25)
    assert capacity(slow, GroupCapacity(17)).first_event_s(0, 0.05) == 0.05


def test_a_group_that_opens_soon_is_counted() -> None:
    opening = (OpeningGroup(17, open_in_s=0.7),)
    assert capacity(opening=opening).first_event_s(0, 0.05) == pytest.approx(0.75)
    assert capacity().first_event_s(0, 0.05) == math.inf


def test_no_request_is_sent_into_a_queue_in_which_it_would_count_as_silent() -> None:
    # A request occupies the group for 0.4 s: the queue moves by 2.5 a second.
    slow = ModelCapacity((GroupCapacity(17, in_flight=19),), busy_s=0.4)
    assert slow.room(0.8) < 1.0
    assert capacity(GroupCapacity(17, in_flight=19)).room(0.8) > 10.0


def test_more_urgent_arrivals_make_the_others_wait_longer() -> None:
    known = capacity(
        GroupCapacity(17, in_flight=27), queued_by_level={4: 9}, arrivals_per_s={0: 8}
    )
    assert known.first_event_s(0, 0.05) < known.first_event_s(4, 0.05)
    flooded = attrs.evolve(known, arrivals_per_s={0: 30})
    assert flooded.first_event_s(4, 0.05) == math.inf


@pytest.mark.parametrize(
    ("changes", "known", "expected"),
    [
        ({}, capacity(FULL), Send),
        ({}, capacity(GroupCapacity(17, in_flight=33)), Wait),
        ({"rank": 2, "is_over_share": True}, capacity(FULL, FULL), Send),
        (
            {"rank": 2, "is_over_share": True},
            capacity(GroupCapacity(17, in_flight=20)),
            Wait,
        ),
        ({"ahead": 60}, capacity(FULL), Refuse),
        ({"ahead": 60, "is_returning": True}, capacity(FULL), Send),
        ({"ahead": 60, "held_s": 0.1}, capacity(GroupCapacity(17, in_flight=40)), Wait),
        ({"give_up_in_s": 0.01}, capacity(GroupCapacity(17)), Refuse),
        ({}, capacity(opening=(OpeningGroup(17, 0.7),)), Wait),
        ({"is_returning": True}, capacity(), Refuse),
        ({}, capacity(opening=(OpeningGroup(17, 2.7),)), Refuse),
        ({"ahead": 60}, capacity(FULL, is_recent=False), Send),
        ({}, capacity(is_recent=False), Refuse),
    ],
)
def test_what_is_decided(changes, known, expected) -> None:
    assert isinstance(decide(attrs.evolve(PENDING, **changes), known), expected)


def test_a_request_held_in_vain_is_not_refused_before_its_caller_leaves() -> None:
    full = capacity(GroupCapacity(17, in_flight=40))
    held = attrs.evolve(PENDING, held_s=2.0, give_up_in_s=0.0, ahead=60)
    assert isinstance(decide(held, full), Wait)
    decision = decide(attrs.evolve(held, give_up_in_s=-0.2), full)
    assert isinstance(decision, Refuse)
    assert decision.reason is RefusalReason.WAITED


@given(st.lists(st.integers(0, 20), min_size=1, max_size=12))
def test_no_class_goes_before_one_of_a_more_urgent_request(urgencies) -> None:
    classes = UrgencyClasses.from_urgencies(urgencies)
    last = -1
    for urgency in sorted(set(urgencies)):
        rank = classes.rank(urgency)
        within = classes.wire_class(rank, is_over_share=False)
        over = classes.wire_class(rank, is_over_share=True)
        assert 0 <= within < over <= 9
        assert within >= last - 1
        last = over
    if classes.ranks < 5:
        assert classes.wire_class(0, is_over_share=False) > 0


@given(
    st.dictionaries(st.text("abcdef", min_size=1), st.floats(0, 50), min_size=1),
    st.floats(0, 100),
)
def test_shares_are_max_min_and_work_conserving(demands, total) -> None:
    shares = max_min_shares(demands, total)
    assert sum(shares.values()) == pytest.approx(min(total, sum(demands.values())))
    limited = [s for name, s in shares.items() if s < demands[name] - 1e-9]
    # A limited workspace has at least as much as every other one.
    assert all(share <= part + 1e-9 for part in limited for share in shares.values())


def test_no_workspace_is_over_its_share_while_there_is_spare_capacity() -> None:
    shares = FairShares()
    assert not any(shares.count("w", 1.0, math.inf, n / 100) for n in range(100))


def test_callers_are_told_to_return_one_after_another_and_urgent_ones_first() -> None:
    book = RetryTimes()
    common = {"left_s": 6.0, "requests_per_s": 10.0, "spread": 0.5, "now_s": 5.0}
    less_urgent = [book.book(2, free_in_s=0.3, **common) for _ in range(5)]
    assert less_urgent == sorted(less_urgent)
    assert less_urgent[-1] - less_urgent[0] == pytest.approx(0.4)
    assert book.book(0, free_in_s=0.0, **common) < less_urgent[0]


def test_no_retry_time_exceeds_a_third_of_what_the_caller_has_left() -> None:
    book = RetryTimes()
    times = [
        book.book(
            0,
            free_in_s=math.inf,
            left_s=3.0,
            requests_per_s=0.0,
            spread=n / 20,
            now_s=0.0,
        )
        for n in range(20)
    ]
    assert max(times) <= 1.0
    assert max(times) - min(times) > 0.4


def test_a_caller_with_less_than_the_usual_time_left_was_here_before() -> None:
    callers = ReturningCallers()
    assert not any(callers.record(8.0) for _ in range(30))
    assert callers.record(6.2)
    assert not callers.record(7.99)
    assert not callers.record(None)


def test_callers_with_different_deadlines_are_not_taken_for_returning_ones() -> None:
    callers = ReturningCallers()
    assert not any(callers.record(8.0 if n % 2 else 3.0) for n in range(200))


def test_one_long_deadline_does_not_end_the_recognition_of_retries() -> None:
    callers = ReturningCallers()
    callers.record(60.0)
    for _ in range(200):
        callers.record(8.0)
    assert callers.usual_s == 8.0
    assert callers.record(6.2)


def test_the_last_of_too_many_waiting_requests_is_pushed_out() -> None:
    line: WaitingLine[str] = WaitingLine(2)
    assert line.add(Place(1, False, 4.0, 1), "less urgent") is None
    assert line.add(Place(0, False, 6.0, 2), "long deadline") is None
    assert line.add(Place(0, False, 4.0, 3), "short deadline") == "less urgent"
    assert list(line) == ["short deadline", "long deadline"]
    # One that was held too long to be refused stays.
    leaving = line.add(Place(0, False, 5.0, 4), "newest", lambda n: n == "newest")
    assert leaving == "newest"


def test_callers_wait_for_the_longest_of_three_times() -> None:
    assert stream_patience_s(0.25, 0.2) == 2.0
    assert stream_patience_s(1.0, 0.3) == 4.0
    assert stream_patience_s(0.5, 0.3) == pytest.approx(2.4)


# Guards against a node that has just started and takes the requests that have waited
# for it as a rate at which they go on arriving, so that it refuses what can be served.
def test_requests_that_waited_for_a_start_are_no_rate() -> None:
    admission = ModelAdmission()
    known = capacity(FULL)

    def arrive(now_s: float) -> None:
        ticket = Ticket(
            rank=0, ranks=3, workspace="w", goal_s=0.25, arrived_s=now_s,
            give_up_s=now_s + 2.0, due_s=now_s + 6.0, first_s=0.05, busy_s=0.06,
        )  # fmt: skip
        admission.arrive(ticket, known, 1.0, now_s)
        admission.leave(ticket)

    for _ in range(100):
        arrive(10.0)
    assert admission.arrivals_per_s(10.1) == {}
    for tick in range(200):
        arrive(10.0 + tick * 0.1)
    assert sum(admission.arrivals_per_s(30.0).values()) == pytest.approx(10.0, rel=0.1)
