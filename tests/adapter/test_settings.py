from __future__ import annotations

import pytest

from fordhatch.adapter import DecodeError, decode_settings

SETTINGS = """
node-name = "front-a-1"
role = "entry"
ip = "10.1.0.40"
zone = "mobile-yard"
region = "gulf-south"
port-range = [7340,7355]
bootstrap = true
heartbeat-ms = 1200
a-field-of-next-year = 7
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
memory-mb = 300
max-fds = 4100
[bounds]
stable-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
outer-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 136
stall-ms = 5000
require-fence = false
ceiling-window-s = 5
ceiling-over = 1.1
pass-ms = 120
[platform]
address = "10.200.1.7:8223"
writes-per-s = 400
reads-per-s = 2000
row-bytes = 65536
history-s = 20
"""


def test_times_are_converted_to_seconds_and_unknown_fields_are_ignored() -> None:
    settings = decode_settings(SETTINGS)
    assert settings.bounds.revoke_s == 5.0
    assert settings.bounds.drain_s == 2.0
    assert settings.heartbeat_s == pytest.approx(1.2)
    assert settings.is_first_start
    assert settings.peer_address.endswith(":7340")
    assert settings.store.address == "10.200.1.7:8223"


def test_the_time_of_an_evacuation_has_a_default() -> None:
    """Earlier deployments do not declare it."""
    assert decode_settings(SETTINGS).bounds.evacuate_s == 5.0
    declared = SETTINGS.replace("revoke-ms", "evacuate-ms = 1500\nrevoke-ms")
    assert decode_settings(declared).bounds.evacuate_s == 1.5


def test_all_mistakes_are_reported_at_once() -> None:
    broken = (
        SETTINGS.replace("revoke-ms = 5000", 'revoke-ms = "long"')
        .replace('zone = "mobile-yard"', "")
        .replace("8220", "none")
        .replace("grace-s = 8", "grace-s = -8")
    )
    with pytest.raises(DecodeError) as caught:
        decode_settings(broken)
    assert caught.value.mistakes == [
        "zone: missing",
        "listen.ready: expected HOST:PORT",
        "bounds.grace-s: must not be negative",
        "bounds.revoke-ms: expected a number, got str",
    ]


def test_bounds_for_cold_backend_servers_have_defaults() -> None:
    bounds = decode_settings(SETTINGS).bounds
    assert (bounds.cold_overrun, bounds.cold_slack) == (1.5, 5.0)
    line = "cold-overrun = 2\ncold-slack = 3\npass-ms"
    bounds = decode_settings(SETTINGS.replace("pass-ms", line)).bounds
    assert (bounds.cold_overrun, bounds.cold_slack) == (2.0, 3.0)


def test_content_that_is_not_toml_is_rejected() -> None:
    with pytest.raises(DecodeError, match="not valid TOML"):
        decode_settings("node-name = ")
