from __future__ import annotations

import pytest
from multidict import CIMultiDict

from fordhatch.adapter import (
    answer_headers,
    caller_fields,
    client_headers,
    decode_answer,
    encode_call,
    refusal_headers,
)
from fordhatch.catalog import RefusalKind

CALL = CIMultiDict(
    [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", "9c41"),
        ("X-Model", "m"),
        ("X-Token-Count", "1460,80"),
        ("X-Prompt-Prefix", "5c1e:800"),
        ("X-Deadline-Ms", "8000"),
        ("Api-Key", "secret"),
        ("X-Tenant", "somebody-else"),
        ("X-Expect-Instance", "i-0"),
        ("X-Urgency-Class", "0"),
        ("Connection", "keep-alive, X-Hop, X-Model"),
        ("X-Hop", "1"),
        ("Transfer-Encoding", "chunked"),
        ("X-Own", "stays"),
    ]
)


def test_caller_fields_are_decoded() -> None:
    fields = caller_fields(CALL)
    assert fields.request_id == "9c41"
    assert fields.deadline_s == 8.0
    assert fields.api_keys == ("secret",)
    assert (fields.prompt_tokens, fields.max_output_tokens) == (1460, 80)


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("", ()),
        ("5c1e:800", ()),
        ("5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
        ("5C1E:800, 5c1e:1,:3,91bd,e440:250", ("5c1e", "91bd")),
        (",".join(f"{n:x}:1" for n in range(99)), tuple(f"{n:x}" for n in range(32))),
    ],
)
def test_all_parts_of_a_prompt_but_the_last_are_shared(text, parts) -> None:
    fields = caller_fields(CIMultiDict({"X-Prompt-Prefix": text}))
    assert fields.shared_parts == parts


@pytest.mark.parametrize("text", ["", "-5", "soon", "1e3"])
def test_a_malformed_deadline_is_ignored(text: str) -> None:
    assert caller_fields(CIMultiDict({"X-Deadline-Ms": text})).deadline_s is None


def test_only_end_to_end_headers_are_forwarded() -> None:
    names = {name.lower() for name, _ in client_headers(CALL.items())}
    assert names == {
        "host",
        "x-attempt-id",
        # Named by Connection, but the backend server needs the caller's value.
        "x-model",
        "x-token-count",
        "x-prompt-prefix",
        "x-own",
    }


def test_the_system_sets_its_own_headers() -> None:
    sent = encode_call(
        client_headers(CALL.items()),
        registered_id="i-7",
        workspace="hule",
        left_s=1.2345,
        urgency=2,
        last_event_id="12",
    )
    assert sent["X-Expect-Instance"] == "i-7"
    assert sent.getall("X-Tenant") == ["hule"]
    assert sent["X-Deadline-Ms"] == "1234"
    assert sent["X-Urgency-Class"] == "2"
    assert sent["Last-Event-Id"] == "12"
    assert "Api-Key" not in sent


def test_without_a_workspace_the_tenant_header_is_not_sent() -> None:
    sent = encode_call(
        client_headers(CALL.items()), registered_id="i", workspace=None, left_s=1
    )
    assert "X-Tenant" not in sent


@pytest.mark.parametrize(
    ("status", "headers", "refusal"),
    [
        (503, {"X-Not-Executed": "1"}, RefusalKind.NOT_EXECUTED),
        (400, {"X-Not-Executed": "1"}, RefusalKind.NOT_EXECUTED),
        (429, {"X-Not-Executed": "1"}, RefusalKind.NOT_EXECUTED),
        (200, {"X-Not-Executed": "1"}, RefusalKind.CONTRADICTED),
        (500, {"X-Not-Executed": "1"}, RefusalKind.CONTRADICTED),
        (421, {}, RefusalKind.OTHER_BACKEND),
        (503, {}, RefusalKind.NONE),
        (500, {"X-Server-Seal": "s"}, RefusalKind.NONE),
    ],
)
def test_only_a_proof_counts_as_not_run(status, headers, refusal) -> None:
    assert decode_answer(status, CIMultiDict(headers)).refusal is refusal


def test_an_encoded_body_is_detected() -> None:
    found = decode_answer(200, CIMultiDict({"Content-Encoding": "gzip"}))
    assert found.has_encoding


def test_answers_lose_hop_by_hop_headers() -> None:
    kept = answer_headers(
        [("Connection", "close"), ("X-Server-Seal", "s"), ("Content-Length", "3")]
    )
    assert kept == [("X-Server-Seal", "s")]


def test_a_refusal_has_the_request_id_and_retry_after() -> None:
    assert refusal_headers("9c41", 0.25) == {
        "X-Attempt-Id": "9c41",
        "Retry-After": "0.250",
    }


@pytest.mark.parametrize(
    ("text", "tokens"),
    [("70", 70), (" 0 ", 0), ("", None), ("-1", None), ("7.5", None), ("²", None),
     ("1e300", None), ("9" * 400, None), ("nan", None)],
)  # fmt: skip
def test_a_malformed_length_hint_counts_as_absent(text: str, tokens: int) -> None:
    fields = caller_fields(CIMultiDict({"X-Length-Hint": text}))
    assert fields.length_hint_tokens == tokens
    assert caller_fields(CALL).length_hint_tokens is None
