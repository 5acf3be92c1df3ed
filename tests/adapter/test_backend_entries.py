"""Decoding of backend servers' entries, valid and malformed."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordhatch.adapter import DecodeError, decode_backend
from fordhatch.catalog import BackendServer, BackendState, MemberState
from fordhatch_standins import backend_entry, entry_fields

PLACE = {"name": "m.5", "epoch": 5, "rank": 0, "state": "open"}
COMPLETE_ENTRY = entry_fields(
    "a",
    "10.0.0.1:80",
    domain="d0",
    staged=["m"],
    models=[{"name": "m", "version": 1, "adapters": []}],
    group=PLACE,
    born=1_760_000_000_123,
)


def entry_with(**changes: object) -> bytes:
    return json.dumps({**COMPLETE_ENTRY, **changes}).encode()


def entry_without(name: str) -> bytes:
    return json.dumps({k: v for k, v in COMPLETE_ENTRY.items() if k != name}).encode()


def entry_with_place(**changes: object) -> bytes:
    return entry_with(group={**PLACE, **changes})


MALFORMED_ENTRIES = {
    "not UTF-8": b"\xff\xfe\x80",
    "empty": b"",
    "not JSON": b"{",
    "not an object": b"[1]",
    "nested too deep": b"[" * 100_000,
    "nested too deep in a field": b'{"service": ' + b'{"a":' * 100_000,
    "without a service": entry_without("service"),
    "without an address": entry_without("address"),
    "without a zone": entry_without("zone"),
    "without a state": entry_without("state"),
    "without slots": entry_without("slots"),
    "without a version": entry_without("version"),
    "without a sequence number": entry_without("seq"),
    "service of another type": entry_with(service=5),
    "service null": entry_with(service=None),
    "service empty": entry_with(service=""),
    "address without a port": entry_with(address="10.0.0.1"),
    "address with a host name": entry_with(address="localhost:80"),
    "address with port 0": entry_with(address="10.0.0.1:0"),
    "address with a port out of range": entry_with(address="10.0.0.1:70000"),
    "address with a port behind zeros": entry_with(address="10.0.0.1:0655350"),
    "address with a port of many digits": entry_with(address="10.0.0.1:" + 5000 * "0"),
    "address with a path": entry_with(address="10.0.0.1:80/x"),
    "unknown state": entry_with(state="dancing"),
    "slots not a number": entry_with(slots="13"),
    "slots not an integer": entry_with(slots=13.5),
    "slots true": entry_with(slots=True),
    "slots negative": entry_with(slots=-1),
    "slots infinite": b'{"slots": Infinity,' + entry_with()[1:],
    "slots overflowing to infinity": entry_with(slots=0).replace(
        b'"slots": 0', b'"slots": 1e999'
    ),
    "slots huge": entry_with(slots=10**400),
    "slots NaN": entry_with(slots=0).replace(b'"slots": 0', b'"slots": NaN'),
    "text with a line break": entry_with(zone="a\nb"),
    "text with a lone surrogate": entry_with(zone="\ud800"),
    "staged not a list": entry_with(staged="m"),
    "staged of numbers": entry_with(staged=[1]),
    "models null": entry_with(models=None),
    "staged null": entry_with(staged=None),
    "a model without a name": entry_with(models=[{"version": 1}]),
    "group not an object": entry_with(group="m.5"),
    "group without a name": entry_with_place(name=None),
    "group with a rank of text": entry_with_place(rank="0"),
    "group with an infinite epoch": entry_with_place(epoch=0).replace(
        b'"epoch": 0', b'"epoch": 1e999'
    ),
    "group with an unknown state": entry_with_place(state="dancing"),
    "start not an integer": entry_with(born=1.5),
    "start of text": entry_with(born="1760000000123"),
    "start null": entry_with(born=None),
    "start negative": entry_with(born=-1),
}


def test_a_complete_entry_identifies_one_start_of_a_backend_server() -> None:
    found = decode_backend("i-1", entry_with())
    assert found.registered_id == "i-1"
    assert found.born_ms == 1_760_000_000_123
    assert found.version == "v1"
    assert found.backend_id != "i-1"
    assert found.membership.key == ("m.5", 5)
    assert found.membership.state is MemberState.OPEN


def test_a_malformed_cold_time_does_not_reject_the_entry() -> None:
    assert (
        decode_backend("i-1", entry_with(**{"cold-left-ms": 2500})).cold_left_s == 2.5
    )
    for value in (-1, "soon", None, True, 1e300, 10**400, [3]):
        found = decode_backend("i-1", entry_with(**{"cold-left-ms": value}))
        assert found.cold_left_s is None
    with pytest.raises(DecodeError):
        decode_backend("i-1", entry_without("cold-left-ms"))


def test_an_entry_without_a_start_time_is_identified_by_its_key() -> None:
    found = decode_backend("i-1", backend_entry("a", "10.0.0.1:80", state="draining"))
    assert found.backend_id == found.registered_id == "i-1"
    assert found.state is BackendState.DRAINING


@pytest.mark.parametrize("name", MALFORMED_ENTRIES)
def test_a_malformed_entry_is_rejected(name: str) -> None:
    with pytest.raises(DecodeError):
        decode_backend("i-1", MALFORMED_ENTRIES[name])


@pytest.mark.parametrize("key", ["", "i 1", "i-1\r\nX-Tenant: t", "i-\u00e9"])
def test_a_key_that_is_not_a_valid_header_is_rejected(key: str) -> None:
    with pytest.raises(DecodeError):
        decode_backend(key, entry_with())


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(name=st.sampled_from([*COMPLETE_ENTRY, "born", "other"]), value=JSON)
def test_any_value_of_any_field_is_decoded_or_rejected(
    name: str, value: object
) -> None:
    try:
        found = decode_backend("i-1", entry_with(**{name: value}))
    except DecodeError:
        return
    assert isinstance(found, BackendServer)
    assert found.registered_id == "i-1"
    assert 0 <= found.slots < 2**63
    assert (found.zone + found.service + found.domain).isprintable()


@given(place=st.dictionaries(st.sampled_from([*PLACE, "x"]), JSON))
def test_any_place_in_a_group_is_decoded_or_rejected(place: dict[str, object]) -> None:
    try:
        found = decode_backend("i-1", entry_with(group=place))
    except DecodeError:
        return
    assert found.membership.rank >= 0


@given(value=st.binary())
def test_arbitrary_bytes_are_rejected(value: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_backend("i-1", value)


@given(cut=st.integers(0, len(entry_with()) - 1), other=st.integers(0, 255))
def test_an_entry_with_one_byte_changed_is_decoded_or_rejected(
    cut: int, other: int
) -> None:
    value = bytearray(entry_with())
    value[cut] = other
    try:
        found = decode_backend("i-1", bytes(value))
    except DecodeError:
        return
    assert found.registered_id == "i-1"
