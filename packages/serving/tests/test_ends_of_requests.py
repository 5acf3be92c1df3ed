"""Each accepted request ends in exactly one line of the log, whoever ends it."""

from __future__ import annotations

import asyncio
import threading
import time
from types import SimpleNamespace

import eliot
import pytest
from serving_site import CALL_HEADERS, ServingSite

from fordhatch.core import MemoryAccount, Timer
from fordhatch.serving import (
    AcceptedRequest,
    Dispatch,
    RequestsInProgress,
    _requests_in_progress,
)
from fordhatch.serving._accepted_request import EndedBy
from fordhatch_standins import http_answer

LAST_EVENTS = ("request_done", "request_refused")


@pytest.fixture
def lines():
    found: list[dict[str, object]] = []
    eliot.add_destinations(found.append)
    # The first destination gets what was logged before.
    found.clear()
    yield found
    eliot.remove_destination(found.append)


def last_lines(lines: list[dict], request_id: str) -> list[dict]:
    named = [line for line in lines if line.get("request") == request_id]
    return [line for line in named if line["message_type"] in LAST_EVENTS]


async def only_line(site: ServingSite, lines: list[dict], request_id: str) -> dict:
    """Return the last line of a request, once nothing is in progress any more."""
    await site.until(lambda: last_lines(lines, request_id) and not site.state.in_flight)
    found = last_lines(lines, request_id)
    assert len(found) == 1, found
    return found[0]


async def answers(request, writer) -> None:
    writer.write(http_answer(request, b"whole"))


async def never_answers(request, writer) -> None:
    await asyncio.sleep(30)


@pytest.mark.parametrize(
    ("path", "changes", "event", "detail"),
    [
        ("/get/1", {}, "request_done", ("ended_by", "backend")),
        ("/stream/1", {}, "request_done", ("ended_by", "node")),
        ("/nowhere/1", {}, "request_refused", ("code", "NOT_FOUND")),
        ("/get/1", {"Api-Key": "x"}, "request_refused", ("code", "UNAUTHENTICATED")),
        ("/get/1", {"body": "large"}, "request_refused", ("code", "BODY_TOO_LARGE")),
    ],
)
async def test_an_answer_or_refusal_ends_in_one_line(
    site, lines, path: str, changes: dict, event: str, detail: tuple[str, str]
) -> None:
    await site.add_backend(answers)
    headers = dict(changes)
    body = b"a" * 200_000 if headers.pop("body", "") else b""
    await site.ask(path, body=body, **{"X-Attempt-Id": "r-1", **headers})
    line = await only_line(site, lines, "r-1")
    assert line["message_type"] == event
    assert line[detail[0]] == detail[1]


# Guards against callers that leave without a line that names their request.
@pytest.mark.parametrize("moment", ["body", "answer"])
async def test_a_caller_that_leaves_ends_in_one_line(site, lines, moment: str) -> None:
    backend = await site.add_backend(never_answers)
    host, _, port = site.address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    head = "POST /get/1 HTTP/1.1\r\nX-Attempt-Id: r-1\r\nContent-Length: 3\r\n"
    fields = "".join(f"{name}: {value}\r\n" for name, value in CALL_HEADERS.items())
    body = "abc" if moment == "answer" else "a"
    writer.write(f"{head}{fields}\r\n{body}".encode())
    if moment == "answer":
        await site.until(lambda: len(backend.seen) == 1)
    else:
        await site.until(lambda: site.state.in_flight == 1)
    writer.close()
    line = await only_line(site, lines, "r-1")
    assert (line["ended_by"], line["outcome"]) == ("caller", "caller_gone")


# Guards against requests that end with anything unexpected and are named by no line.
@pytest.mark.parametrize(
    "raised",
    [RuntimeError("x"), TimeoutError(), asyncio.CancelledError(), ConnectionError()],
    ids=repr,
)
async def test_anything_raised_ends_in_one_line(
    site, lines, monkeypatch: pytest.MonkeyPatch, raised: BaseException
) -> None:
    async def fail(*_: object) -> None:
        raise raised

    monkeypatch.setattr(Dispatch, "serve", fail)
    asking = site.ask("/get/1", **{"X-Attempt-Id": "r-1"})
    # What the caller gets is checked elsewhere.
    await asyncio.gather(asking, return_exceptions=True)
    line = await only_line(site, lines, "r-1")
    assert line["ended_by"] == "error"
    assert "error" in line


# Guards against requests that the end of the process cuts and no line names.
async def test_the_end_of_the_process_ends_requests_in_one_line(site, lines) -> None:
    backend = await site.add_backend(never_answers)
    asking = asyncio.ensure_future(site.ask("/get/1", **{"X-Attempt-Id": "r-1"}))
    await site.until(lambda: len(backend.seen) == 1)
    site.state.requests.end_all()
    assert (await asking).status == 502
    line = await only_line(site, lines, "r-1")
    assert (line["ended_by"], line["outcome"]) == ("stop", "node_stopped")


async def test_a_request_without_an_id_gets_one(site, lines) -> None:
    await site.add_backend(answers)
    await site.ask("/get/1", **{"X-Attempt-Id": ""})
    ids = [line["request"] for line in lines if line["message_type"] == "request_done"]
    assert len(ids) == 1
    assert ids[0].startswith("req-")


# Guards against a request without a line: the event loop is about to log its end while
# another thread ends the process.
def test_the_end_of_the_process_waits_for_a_line_that_is_being_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged, has_begun = [], threading.Event()

    def log_slowly(accepted: AcceptedRequest, *_: object) -> None:
        has_begun.set()
        time.sleep(0.2)
        logged.append(accepted)

    monkeypatch.setattr(_requests_in_progress, "log_end", log_slowly)
    requests = RequestsInProgress(Timer(), lambda: 1, MemoryAccount(Timer()))
    reply = SimpleNamespace(is_over=True, is_whole=False, outcome="complete")
    accepted = AcceptedRequest("r-1", None, reply, 0.0)
    requests._accepted.add(accepted)
    end = (accepted, EndedBy.NODE, "", 1.0)
    event_loop = threading.Thread(target=requests._record_end, args=end)
    event_loop.start()
    has_begun.wait()
    requests.log_unended(1.0)
    assert logged == [accepted]
    event_loop.join()
