"""Entries of backend servers, whoever has made them."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordhatch.adapter import DecodeError, decode_backend
from fordhatch.catalog import BackendServer, BackendState, MemberState
from fordhatch_standins import backend_entry, entry_fields

PLACE = {"name": "m.5", "epoch": 5, "rank": 0, "state": "open"}
WHOLE = entry_fields(
    "a",
    "10.0.0.1:80",
    domain="d0",
    staged=["m"],
    models=[{"name": "m", "version": 1, "adapters": []}],
    group=PLACE,
    born=1_760_000_000_123,
)


def changed(**changes: object) -> bytes:
    return json.dumps({**WHOLE, **changes}).encode()


def without(name: str) -> bytes:
    return json.dumps({k: v for k, v in WHOLE.items() if k != name}).encode()


def placed(**changes: object) -> bytes:
    return changed(group={**PLACE, **changes})


SPOILED = {
    "no text": b"\xff\xfe\x80",
    "empty": b"",
    "no JSON": b"{",
    "no table": b"[1]",
    "too deep": b"[" * 100_000,
    "too deep inside": b'{"service": ' + b'{"a":' * 100_000,
    "without its service": without("service"),
    "without its address": without("address"),
    "without its zone": without("zone"),
    "without its state": without("state"),
    "without its slots": without("slots"),
    "without its software": without("version"),
    "without its counter": without("seq"),
    "service of another type": changed(service=5),
    "service missing as null": changed(service=None),
    "service empty": changed(service=""),
    "address without a port": changed(address="10.0.0.1"),
    "address with a name": changed(address="localhost:80"),
    "address with port 0": changed(address="10.0.0.1:0"),
    "address with too high a port": changed(address="10.0.0.1:70000"),
    "address with more": changed(address="10.0.0.1:80/x"),
    "a state that nobody names": changed(state="dancing"),
    "slots not a number": changed(slots="13"),
    "slots not whole": changed(slots=13.5),
    "slots true": changed(slots=True),
    "slots negative": changed(slots=-1),
    "slots infinite": b'{"slots": Infinity,' + changed()[1:],
    "slots not finite by size": changed(slots=0).replace(
        b'"slots": 0', b'"slots": 1e999'
    ),
    "slots huge": changed(slots=10**400),
    "slots not a number by name": changed(slots=0).replace(
        b'"slots": 0', b'"slots": NaN'
    ),
    "text with a line break": changed(zone="a\nb"),
    "text with half a character": changed(zone="\ud800"),
    "staged no list": changed(staged="m"),
    "staged of numbers": changed(staged=[1]),
    "models null": changed(models=None),
    "staged null": changed(staged=None),
    "a model without a name": changed(models=[{"version": 1}]),
    "group no table": changed(group="m.5"),
    "group without a name": placed(name=None),
    "group with a rank of text": placed(rank="0"),
    "group with an infinite epoch": placed(epoch=0).replace(
        b'"epoch": 0', b'"epoch": 1e999'
    ),
    "a place in a state that nobody names": placed(state="dancing"),
    "start not whole": changed(born=1.5),
    "start of text": changed(born="1760000000123"),
    "start null": changed(born=None),
    "start negative": changed(born=-1),
}


def test_a_whole_entry_names_one_start_of_a_backend_server() -> None:
    found = decode_backend("i-1", changed())
    assert found.registered_id == "i-1"
    assert found.born_ms == 1_760_000_000_123
    assert found.backend_id != "i-1"
    assert found.membership.key == ("m.5", 5)
    assert found.membership.state is MemberState.OPEN


def test_an_entry_that_does_not_tell_its_start_is_known_by_its_id() -> None:
    found = decode_backend("i-1", backend_entry("a", "10.0.0.1:80", state="draining"))
    assert found.backend_id == found.registered_id == "i-1"
    assert found.state is BackendState.DRAINING


@pytest.mark.parametrize("name", SPOILED)
def test_a_spoiled_entry_names_nobody(name: str) -> None:
    with pytest.raises(DecodeError):
        decode_backend("i-1", SPOILED[name])


@pytest.mark.parametrize("key", ["", "i 1", "i-1\r\nX-Tenant: t", "i-\u00e9"])
def test_a_key_that_is_no_header_names_nobody(key: str) -> None:
    with pytest.raises(DecodeError):
        decode_backend(key, changed())


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(name=st.sampled_from([*WHOLE, "born", "other"]), value=JSON)
def test_any_value_of_any_field_is_read_or_refused(name: str, value: object) -> None:
    try:
        found = decode_backend("i-1", changed(**{name: value}))
    except DecodeError:
        return
    assert isinstance(found, BackendServer)
    assert found.registered_id == "i-1"
    assert 0 <= found.slots < 2**63
    assert (found.zone + found.service + found.domain).isprintable()


@given(place=st.dictionaries(st.sampled_from([*PLACE, "x"]), JSON))
def test_any_place_in_a_group_is_read_or_refused(place: dict[str, object]) -> None:
    try:
        found = decode_backend("i-1", changed(group=place))
    except DecodeError:
        return
    assert found.membership.rank >= 0


@given(value=st.binary())
def test_any_bytes_are_read_or_refused(value: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_backend("i-1", value)


@given(cut=st.integers(0, len(changed()) - 1), other=st.integers(0, 255))
def test_an_entry_with_one_byte_changed_is_read_or_refused(
    cut: int, other: int
) -> None:
    value = bytearray(changed())
    value[cut] = other
    try:
        found = decode_backend("i-1", bytes(value))
    except DecodeError:
        return
    assert found.registered_id == "i-1"
