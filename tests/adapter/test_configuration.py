from __future__ import annotations

import json

import pytest

from fordhatch.adapter import DecodeError, decode_backend, decode_configuration
from fordhatch.catalog import BackendState, MemberState, RouteKind
from fordhatch_standins import backend_entry

ROUTE = {
    "name": "r-1",
    "host": "Ficu95.example",
    "prefix": "/lohu930/",
    "kind": "streaming",
    "timeout-ms": 8000,
    "goal-ms": 500,
    "priority": 1,
    "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    "attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "max-gap-ms": 300,
}
ENGINE = {
    "slots": 13,
    "kv-capacity": 700000,
    "stride": 5,
    "models": [{"name": "m", "size": 4, "share": 0.67, "load-s": 16, "warm-s": 1.6}],
    "step_ms": 6.07,
    "per_seq_ms": 0.482,
    "context_per_k": 0.00976,
    "read_per_s": 46000.0,
    "pairs_per_m": 0.7,
    "chunk": 2048,
    "loads-per-s": 4.0,
    "loads_at_once": 6,
    "usual": {"prompt": 1076, "answer": 116},
    "keeps": 1,
    "form-ms": 300.0,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "a", "health-path": "/health", "max-conns": 474, "engine": ENGINE},
        {"name": "b", "health-path": "/health", "max-conns": 110},
    ],
    "tenants": [{"name": "t", "api-keys": ["k1", "k2"], "priority": 3}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 5000,
        "idle-timeout-ms": 30000,
    },
}


def encoded(**changes: object) -> bytes:
    return json.dumps({**CONFIGURATION, **changes}).encode()


def test_a_configuration_is_decoded_into_routes_services_and_workspaces() -> None:
    found = decode_configuration(encoded())
    (route,) = found.routes
    assert route.host == "ficu95.example"
    assert route.kind is RouteKind.STREAMING
    assert route.is_repeatable
    assert route.timeout_s == 8.0
    assert route.max_gap_s == pytest.approx(0.3)
    assert [(t.service, t.weight) for t in route.targets] == [("a", 90), ("b", 10)]
    engine = found.services["a"].engine
    assert engine.form_s == pytest.approx(0.3)
    assert engine.model("m").size == 4
    assert found.services["b"].engine is None
    assert found.workspace_by_key["k2"].name == "t"
    assert found.workspace_by_key["k2"].priority == 3


def test_limits_of_cold_backend_servers_are_decoded_and_absent_by_default() -> None:
    service = {"name": "b", "cold-s": 3, "cold-per-s": 17}
    found = decode_configuration(encoded(services=[service, {"name": "c"}])).services
    assert (found["b"].cold_s, found["b"].cold_per_s) == (3.0, 17.0)
    assert (found["c"].cold_s, found["c"].cold_per_s) == (0.0, 0.0)


def test_routes_with_several_priorities_give_a_service_urgency_classes() -> None:
    assert not decode_configuration(encoded()).has_urgency_classes("a")
    other = {**ROUTE, "name": "r-2", "prefix": "/x/", "priority": 2, "service": "a"}
    del other["split"]
    found = decode_configuration(encoded(routes=[ROUTE, other]))
    assert found.has_urgency_classes("a")
    assert not found.has_urgency_classes("b")
    assert not found.has_urgency_classes("unknown")


def test_without_tenants_no_api_key_is_required() -> None:
    data = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
    assert decode_configuration(json.dumps(data).encode()).workspace_by_key is None


def test_each_mistake_has_the_path_of_its_field() -> None:
    route = {**ROUTE, "kind": "sometimes", "timeout-ms": "8 s"}
    with pytest.raises(DecodeError) as caught:
        decode_configuration(encoded(routes=[route]))
    text = str(caught.value)
    assert "routes[0].kind: unknown kind 'sometimes'" in text
    assert "routes[0].timeout-ms: expected a number" in text


@pytest.mark.parametrize("content", [b"{", b"[]", b'"x"'])
def test_a_value_that_is_not_a_json_object_is_rejected(content: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_configuration(content)


def test_a_backend_entry_has_its_place_in_a_group() -> None:
    entry = backend_entry(
        "a",
        "10.0.0.1:80",
        state="draining",
        domain="d0",
        staged=["m"],
        models=[{"name": "m", "version": 1, "adapters": []}],
        group={"name": "m.5", "epoch": 5, "rank": 0, "state": "open"},
    )
    found = decode_backend("i-1", entry)
    assert found.state is BackendState.DRAINING
    assert found.membership.key == ("m.5", 5)
    assert found.membership.state is MemberState.OPEN
    assert found.staged_models == ("m",)
    assert found.is_open_head
