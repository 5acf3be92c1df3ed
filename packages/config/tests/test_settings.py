from __future__ import annotations

import json

from fordhatch.config import Settings, hash_key
from fordhatch.core import ResultCode

GOOD = {
    "node_id": "entry-1",
    "region": "gulf-south",
    "zone": "savannah-yard",
    "callers": {"host": "127.0.0.1", "port": 7001},
    "operators": {"host": "127.0.0.1", "port": 7002},
    "peers": {"host": "127.0.0.1", "port": 7003},
    "shared_key": "sixteen characters",
    "operator_tokens": {"maria": hash_key("token")},
    "platform_url": "http://127.0.0.1:9000",
}


def mistakes(**changes) -> set:
    document = {k: v for k, v in {**GOOD, **changes}.items() if v is not None}
    read = Settings.from_json(json.dumps(document).encode())
    return {(m.path, m.code) for m in read.unwrap_err()}


def test_good_settings_have_defaults() -> None:
    settings = Settings.from_json(json.dumps(GOOD).encode()).unwrap()
    assert settings.timing.permit_s > settings.timing.probe_interval_s
    assert str(settings.peers) == "127.0.0.1:7003"


def test_every_mistake_is_named_with_its_path() -> None:
    found = mistakes(
        region=None, colour="red", shared_key="short", callers={"host": "a"}
    )
    assert found == {
        ("$", ResultCode.SETTING_MISSING),
        ("$", ResultCode.SETTING_UNKNOWN),
        ("$.shared_key", ResultCode.SETTING_INVALID),
        ("$.callers", ResultCode.SETTING_MISSING),
    }


def test_contradictions_are_named() -> None:
    assert mistakes(timing={"permit_s": 0.5}) == {
        ("$.timing.permit_s", ResultCode.SETTING_INVALID)
    }
    assert mistakes(limits={"default_timeout_s": 900.0}) == {
        ("$.limits.default_timeout_s", ResultCode.SETTING_INVALID)
    }


def test_what_is_not_json_is_refused() -> None:
    read = Settings.from_json(b"{")
    assert read.unwrap_err()[0].code is ResultCode.SETTINGS_UNREADABLE


def test_operator_is_known_by_token_only() -> None:
    settings = Settings.from_json(json.dumps(GOOD).encode()).unwrap()
    assert settings.operator_of("token") == "maria"
    assert settings.operator_of("") is None
    assert settings.operator_of(GOOD["operator_tokens"]["maria"]) is None
