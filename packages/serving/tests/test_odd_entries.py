"""Odd entries of another writer among those of backend servers."""

from __future__ import annotations

import json

from test_plain_calls import answers

from fordhatch.adapter import BACKENDS_TABLE
from fordhatch_standins import entry_fields


def entry(**changes: object) -> bytes:
    return json.dumps({**entry_fields("app", "127.0.0.1:9"), **changes}).encode()


ODD = {
    "very deep": 100_000 * b"[",
    "very deep in a field": b'{"service": ' + 100_000 * b'{"a":',
    "too large": entry(slots=10**400),
    "too many digits": b'{"slots": 1' + 5000 * b"0" + b"}",
    "infinite": b'{"slots": 1e999}',
    "port out of range": entry(address="127.0.0.1:65536"),
    "long port": entry(address="127.0.0.1:" + 5000 * "9"),
    "port behind zeros": entry(address="127.0.0.1:0655350"),
    "no JSON": b"\xff",
}


# Guards against a table that is followed no more, and against requests that fail, for
# an entry of another writer.
async def test_odd_entries_leave_the_others_in_use(site) -> None:
    for number, value in enumerate(ODD.values()):
        site.model.put(BACKENDS_TABLE, f"odd-{number}", value)
    good = await site.add_backend(answers)
    for _ in range(10):
        got = await site.ask("/once/1")
        assert (got.status, got.body) == (200, b"whole body")
    for number, value in enumerate(ODD.values()):
        site.model.put(BACKENDS_TABLE, f"odd-{number}", value + b" ")
    later = await site.add_backend(answers, zone="z2")
    await site.until(lambda: len(site.view.directory.of_service("app")) == 2)
    assert (len(good.seen), later.seen) == (10, [])
