"""Which process an answer from the address of a backend server proves."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict

from fordhatch.adapter import decode_report
from fordhatch.catalog import (
    BackendServer,
    BackendState,
    GroupMembership,
    MemberState,
    incarnation_id,
)
from fordhatch.registry import Responder, identify

BORN_MS = 1_760_000_000_000
THIS, OTHER = Responder.THIS_START, Responder.OTHER_PROCESS
UNNAMED, UNKNOWN = Responder.UNNAMED, Responder.UNKNOWN

MEMBER = b'{"group": {"name": "m.7", "epoch": 7, "rank": 1, "state": "ready"}}'
PLACE = GroupMembership("m.7", 7, 1, MemberState.OPEN)


def server(born_ms: int = 0, place: GroupMembership | None = None) -> BackendServer:
    return BackendServer(
        incarnation_id("i-1", born_ms),
        "app",
        "10.0.0.1:80",
        "z1",
        BackendState.READY,
        6,
        membership=place,
        born_ms=born_ms,
    )


def responder(
    backend: BackendServer, status: int, body: bytes = b"", name: str = ""
) -> Responder:
    headers = CIMultiDict({"X-Runner-Id": name} if name else {})
    return identify(backend, decode_report(status, headers, body))


# Rows of the table in docs/design/0020-what-an-answer-proves.md.
@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (200, UNNAMED),
        (204, UNNAMED),
        (302, UNNAMED),
        (400, UNNAMED),
        (404, UNNAMED),
        (429, UNNAMED),
        (421, OTHER),
        (500, UNKNOWN),
        (502, UNKNOWN),
        (503, UNKNOWN),
        (504, UNKNOWN),
    ],
)
@pytest.mark.parametrize("born_ms", [0, BORN_MS])
def test_a_nameless_answer(status: int, expected: Responder, born_ms: int) -> None:
    assert responder(server(born_ms), status) is expected


def test_a_server_that_says_it_is_and_is_not_the_one_proves_nothing() -> None:
    assert responder(server(), 421, name="i-1") is UNKNOWN
    assert responder(server(BORN_MS), 421, name="i-1") is UNKNOWN
    assert responder(server(), 421, name="i-2") is OTHER


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_an_id_proves_its_server_where_every_start_has_its_own(status: int) -> None:
    assert responder(server(), status, name="i-1") is THIS
    assert responder(server(), status, name="i-2") is OTHER


# Guards against a later start under the same id that is taken for the earlier one.
@pytest.mark.parametrize(
    ("reported_ms", "expected"),
    [
        (BORN_MS, THIS),
        (BORN_MS + 1, OTHER),
        (BORN_MS - 1, UNKNOWN),
        (0, UNNAMED),
    ],
)
@pytest.mark.parametrize("name", ["", "i-1"])
def test_where_ids_start_again_only_the_start_proves(
    reported_ms: int, expected: Responder, name: str
) -> None:
    body = b'{"born": %d}' % reported_ms if reported_ms else b"{}"
    assert responder(server(BORN_MS), 200, body, name) is expected


def test_another_id_is_another_process_whatever_start_it_names() -> None:
    body = b'{"born": %d}' % BORN_MS
    assert responder(server(BORN_MS), 200, body, "i-2") is OTHER


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b'{"born": "x"}',
        b'{"born": 1.5}',
        b'{"group": 3}',
        b'{"group": {"name": "m.7"}}',
        b'{"group": {"name": "m.7", "epoch": 7, "rank": 1, "state": "?"}}',
    ],
)
def test_a_malformed_report_names_nobody(body: bytes) -> None:
    assert responder(server(0, PLACE), 200, body) is UNNAMED
    assert responder(server(BORN_MS, PLACE), 200, body) is UNNAMED


def test_a_group_proves_its_member_where_every_start_has_an_id_of_its_own() -> None:
    assert responder(server(0, PLACE), 200, MEMBER) is THIS
    assert responder(server(0), 200, MEMBER) is UNNAMED
    # After a restart under the same id a late order may have formed the same group.
    assert responder(server(BORN_MS, PLACE), 200, MEMBER) is UNNAMED


def test_another_group_proves_nothing_as_reports_lag_behind() -> None:
    earlier = GroupMembership("m.6", 6, 1, MemberState.OPEN)
    assert responder(server(0, earlier), 200, MEMBER) is UNNAMED
