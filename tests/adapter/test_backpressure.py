"""Backpressure headers of backend servers' answers."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict

from fordhatch.adapter import decode_answer
from fordhatch.catalog import Backpressure, PressureKind

REST, LIMIT, LEAVING = PressureKind.REST, PressureKind.LIMIT, PressureKind.LEAVING


def decode(status: int, *headers: tuple[str, str]) -> Backpressure:
    return decode_answer(status, CIMultiDict(headers)).backpressure


def test_answers_without_the_headers_have_no_backpressure() -> None:
    assert decode(200) == Backpressure()
    assert decode(503, ("X-Not-Executed", "1")) == Backpressure()


def test_each_header_is_decoded() -> None:
    assert decode(200, ("Server-Limit", "1.3")).limit_per_s == 1.3
    assert decode(503, ("Retry-After", "2.5")).rest_s == 2.5
    assert decode(500, ("Server-Leaving", "1")).is_leaving
    assert not decode(200, ("Server-Leaving", "0")).is_leaving


def test_retry_after_counts_with_status_503_only() -> None:
    assert decode(200, ("Retry-After", "3")).rest_s is None
    assert decode(429, ("Retry-After", "3")).rest_s is None


BAD = [
    "",
    "-1",
    "nan",
    "inf",
    "-inf",
    "1e999",
    "9" * 400,
    "soon",
    "1,3",
    "0x1p3",
    "1_0",
    "+1",
]


@pytest.mark.parametrize("text", [*BAD, "Wed, 21 Oct 2026 07:28:00 GMT"])
def test_a_malformed_number_is_reported_and_ignored(text: str) -> None:
    found = decode(
        503, ("Retry-After", text), ("Server-Limit", text), ("Server-Leaving", text)
    )
    assert found == Backpressure(unreadable=frozenset({REST, LIMIT, LEAVING}))


def test_a_repeated_header_is_reported_and_ignored() -> None:
    found = decode(200, ("Server-Limit", "1"), ("Server-Limit", "2"))
    assert found == Backpressure(unreadable=frozenset({LIMIT}))


def test_a_cold_time_is_decoded_and_a_malformed_one_is_reported() -> None:
    assert decode(200).cold_left_s is None
    found = decode(200, ("X-Cold-Ms", "1500"))
    assert (found.cold_left_s, found.is_cold_unreadable) == (1.5, False)
    for text in BAD:
        found = decode(200, ("X-Cold-Ms", text))
        assert (found.cold_left_s, found.is_cold_unreadable) == (None, True)
        assert not found.unreadable
