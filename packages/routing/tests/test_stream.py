from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from fordhatch.core import ResultCode
from fordhatch.routing import StreamAssembler


@settings(derandomize=True)
@given(
    st.integers(0, 5),
    st.integers(0, 40),
    st.lists(st.integers(0, 45), max_size=40),
    st.randoms(use_true_random=False),
)
def test_any_arrival_delivers_each_token_once_in_order(
    start, count, extra, rng
) -> None:
    total = start + count
    arrivals = list(range(start, total)) + [i for i in extra if i < total]
    rng.shuffle(arrivals)
    assembler = StreamAssembler(start)
    delivered = []
    for index in arrivals:
        delivered.extend(assembler.take(index, str(index)).unwrap())
    assert delivered == [(i, str(i)) for i in range(start, total)]
    assert assembler.finish(total).is_ok()


@settings(derandomize=True)
@given(st.integers(1, 30), st.data())
def test_an_answer_with_a_gap_is_never_whole(total, data) -> None:
    missing = data.draw(st.integers(0, total - 1))
    assembler = StreamAssembler(0)
    for index in range(total):
        if index != missing:
            assembler.take(index, "x")
    failure = assembler.finish(total).unwrap_err()
    assert failure.code is ResultCode.STREAM_INCOMPLETE


def test_too_many_tokens_behind_a_gap_give_up() -> None:
    assembler = StreamAssembler(0)
    results = [assembler.take(index, "x") for index in range(1, 300)]
    assert any(r.is_err() for r in results)
