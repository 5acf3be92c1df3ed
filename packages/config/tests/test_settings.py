"""Validation of node settings."""

from __future__ import annotations

import json

from fordhatch.config import Settings, hash_key
from fordhatch.core import ResultCode

VALID = {
    "node_name": "entry-1",
    "region": "gulf-south",
    "zone": "savannah-yard",
    "callers": {"host": "127.0.0.1", "port": 7001},
    "operators": {"host": "127.0.0.1", "port": 7002},
    "peers": {"host": "127.0.0.1", "port": 7003},
    "operator_tokens": {"maria": hash_key("token")},
    "store": {"host": "127.0.0.1", "port": 9000},
}


def mistakes(**changes) -> set:
    document = {k: v for k, v in {**VALID, **changes}.items() if v is not None}
    parsed = Settings.from_json(json.dumps(document).encode())
    return {(m.path, m.code) for m in parsed.unwrap_err()}


def test_valid_settings_have_defaults() -> None:
    settings = Settings.from_json(json.dumps(VALID).encode()).unwrap()
    assert settings.timing.drain_limit_s > settings.timing.drain_grace_s
    node = settings.to_node_settings()
    assert (node.node_name, node.peer_address) == ("entry-1", "127.0.0.1:7003")
    assert node.store.address == "127.0.0.1:9000"
    assert node.bounds.grace_s == settings.timing.drain_limit_s
    assert str(settings.peers) == "127.0.0.1:7003"


def test_every_mistake_is_reported_with_its_path() -> None:
    found = mistakes(region=None, colour="red", zone="", callers={"host": "a"})
    assert found == {
        ("$", ResultCode.SETTING_MISSING),
        ("$", ResultCode.SETTING_UNKNOWN),
        ("$.zone", ResultCode.SETTING_INVALID),
        ("$.callers", ResultCode.SETTING_MISSING),
    }


def test_contradictions_are_reported() -> None:
    assert mistakes(timing={"drain_grace_s": 700.0}) == {
        ("$.timing.drain_grace_s", ResultCode.SETTING_INVALID)
    }
    assert mistakes(limits={"default_timeout_s": 900.0}) == {
        ("$.limits.default_timeout_s", ResultCode.SETTING_INVALID)
    }


def test_invalid_json_is_refused() -> None:
    parsed = Settings.from_json(b"{")
    assert parsed.unwrap_err()[0].code is ResultCode.SETTINGS_UNREADABLE


def test_operator_is_identified_by_token_only() -> None:
    settings = Settings.from_json(json.dumps(VALID).encode()).unwrap()
    assert settings.operator_of("token") == "maria"
    assert settings.operator_of("") is None
    assert settings.operator_of(VALID["operator_tokens"]["maria"]) is None
