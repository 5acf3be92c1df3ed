"""Decoding of backend servers' reports, and matching them with known starts."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict

from fordhatch.adapter import BackendReport, ReplyKind, decode_report
from fordhatch.catalog import BackendServer, BackendState, incarnation_id
from fordhatch.registry import Responder, identify

BORN_MS = 1_760_000_000_000


def backend_born_at(born_ms: int) -> BackendServer:
    return BackendServer(
        incarnation_id("i-1", born_ms),
        "llm",
        "10.0.0.1:80",
        "z1",
        BackendState.READY,
        11,
        born_ms=born_ms,
    )


def is_sign_of_life(backend: BackendServer, report: BackendReport) -> bool:
    return identify(backend, report) in (Responder.THIS_START, Responder.UNNAMED)


@pytest.mark.parametrize(
    ("known_ms", "reported_ms", "matches"),
    [
        (BORN_MS, BORN_MS, True),
        (BORN_MS, BORN_MS + 1, False),
        (BORN_MS, 0, True),
        (0, BORN_MS, True),
        (0, 0, True),
    ],
)
def test_a_report_of_another_start_is_no_sign_of_life(
    known_ms: int, reported_ms: int, matches: bool
) -> None:
    report = BackendReport(born_ms=reported_ms)
    assert is_sign_of_life(backend_born_at(known_ms), report) is matches


def test_a_report_of_another_id_is_no_sign_of_life() -> None:
    report = BackendReport(ReplyKind.MISDIRECTED, born_ms=BORN_MS)
    assert not is_sign_of_life(backend_born_at(BORN_MS), report)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[]",
        b"[" * 100_000,
        b'{"pace": "slow"}',
        b'{"pace": Infinity}',
        b'{"pace": 1e999}',
        b'{"pace": -3}',
        b'{"pace": null, "born": "x"}',
        b'{"born": 1.5}',
    ],
)
def test_a_malformed_report_is_a_sign_of_life_only(body: bytes) -> None:
    found = decode_report(200, CIMultiDict(), body)
    assert is_sign_of_life(backend_born_at(BORN_MS), found)
    assert 0.0 < found.pace < 10.0
    assert found.born_ms == 0


def test_a_complete_report_has_pace_and_start() -> None:
    found = decode_report(200, CIMultiDict(), b'{"pace": 2.5, "born": %d}' % BORN_MS)
    assert (found.pace, found.born_ms) == (2.5, BORN_MS)
