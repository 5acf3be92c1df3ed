"""Separate processes: the HTTP interfaces, bad input and a graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator

import pytest_asyncio
from demo import TOKENS, expected
from fleet import API_KEY, BIN, OPERATOR_TOKEN, ZONES, Fleet, declared_state

from fordhatch.core import ResultCode
from fordhatch_standins import answer_text

KEY = {"Authorization": f"Bearer {API_KEY}"}
CHAT = "/v1/chat/completions"


def chat_body(**fields) -> bytes:
    message = {"role": "user", "content": "dent"}
    body = {"model": "estimates", "messages": [message], "max_tokens": TOKENS}
    return json.dumps({**body, **fields}).encode()


BAD_REQUESTS = [
    (CHAT, b"{", KEY, ResultCode.BAD_REQUEST),
    (CHAT, b"[]", KEY, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(messages=[]), KEY, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(messages=[{"content": 3}]), KEY, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(max_tokens=0), KEY, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(stream="yes"), KEY, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(model="no-such"), KEY, ResultCode.UNKNOWN_MODEL),
    (CHAT, chat_body(model="yard"), KEY, ResultCode.UNKNOWN_MODEL),
    (CHAT, chat_body(), {}, ResultCode.UNAUTHENTICATED),
    (CHAT, chat_body(), {"Authorization": "Bearer no"}, ResultCode.UNAUTHENTICATED),
    (CHAT, chat_body(), {**KEY, "X-Timeout-S": "soon"}, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(), {**KEY, "X-Timeout-S": "1e9"}, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(), {**KEY, "X-Repeatable": "perhaps"}, ResultCode.BAD_REQUEST),
    (CHAT, chat_body(), {**KEY, "Idempotency-Key": "k" * 300}, ResultCode.BAD_REQUEST),
    (CHAT, b"x" * 3_000_000, KEY, ResultCode.BODY_TOO_LARGE),
    ("/services/no-such/x", b"{}", KEY, ResultCode.UNKNOWN_MODEL),
    ("/services/estimates/x", b"{}", KEY, ResultCode.UNKNOWN_MODEL),
    ("/services/yard/x", b"{}", {}, ResultCode.UNAUTHENTICATED),
    ("/elsewhere", b"{}", KEY, ResultCode.NOT_FOUND),
]


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Start two nodes, a group of four engines and a plain service."""
    async with Fleet.create() as started:
        await started.start_standins(engines=4, spare=0)
        for index in range(2):
            await started.start_node(started.settings(index, drain_grace_s=5.0))
        status, _ = await started.apply(started.nodes[0], declared_state(1), 0, "first")
        assert status == 200
        await started.until_converged(started.nodes[1], 2)
        yield started


async def post(fleet: Fleet, path: str, content: bytes, headers: dict, node: int = 0):
    url = fleet.nodes[node].url + path
    async with fleet.session.post(url, data=content, headers=headers) as reply:
        return reply.status, dict(reply.headers), await reply.text()


async def check_bad_input(fleet: Fleet) -> None:
    for path, content, headers, code in BAD_REQUESTS:
        status, sent, text = await post(fleet, path, content, headers)
        error = json.loads(text)["error"]
        assert error["code"] == code, (path, content[:60], text)
        assert (error["ran"], sent["X-Ran"]) == ("no", "no")
        assert sent["X-Result-Code"] == str(int(code))
        assert 400 <= status < 500
        assert error["message"]
    assert (await fleet.counts())["runs"] == {}


async def check_operators(fleet: Fleet) -> None:
    url = fleet.nodes[0].operators_url
    for headers in ({}, {"Authorization": "Bearer no"}, KEY):
        for path in ("/config", "/status", "/audit", "/groups", "/nodes"):
            async with fleet.session.get(url + path, headers=headers) as reply:
                assert reply.status == 401
        async with fleet.session.put(url + "/config", headers=headers) as reply:
            assert reply.status == 401
    # The operators' interface is not served on the callers' address.
    token = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with fleet.session.get(
        f"{fleet.nodes[0].url}/config", headers=token
    ) as reply:
        assert reply.status == 404
    found = await fleet.read(fleet.nodes[0], "/config?min_revision=x")
    assert found["error"]["code"] == ResultCode.BAD_REQUEST
    nodes = (await fleet.read(fleet.nodes[0], "/nodes"))["nodes"]
    assert [n["answers"] for n in nodes] == [True, True]
    assert sum(n["planner"] for n in nodes) == 1
    backends = (await fleet.read(fleet.nodes[0], "/backends"))["backends"]
    assert len(backends) == 5


async def check_answers(fleet: Fleet) -> None:
    for node in (0, 1):
        status, _, text = await post(fleet, CHAT, chat_body(), KEY, node)
        assert status == 200
        answer = json.loads(text)["choices"][0]["message"]["content"]
        assert answer == expected("dent")
    status, _, text = await post(fleet, "/services/yard/status/7?x=1", b"{}", KEY, 1)
    assert json.loads(text)["path"] == "/status/7"


async def fordhatch(fleet: Fleet, *command: str) -> tuple[int, str]:
    """Run the command line against the first node; return its status and output."""
    url = fleet.nodes[0].operators_url
    process = await asyncio.create_subprocess_exec(
        BIN / "fordhatch",
        *command,
        f"--url={url}",
        f"--token={OPERATOR_TOKEN}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def check_zones(fleet: Fleet) -> None:
    """Evacuate the zone of all backend servers by command, and restore it."""
    status, output = await fordhatch(fleet, "evacuate", "no-such-zone")
    assert (status, "ZONE_UNKNOWN" in output) == (4, True)
    for command, state, expected_status in (
        ("evacuate", "evacuated", 503),
        ("restore", "in use", 200),
    ):
        status, output = await fordhatch(fleet, command, ZONES[0])
        assert (status, state in output) == (0, True), output
        async with asyncio.timeout(20.0):
            while True:
                answers = [
                    await post(fleet, CHAT, chat_body(), KEY, node) for node in (0, 1)
                ]
                if {status for status, _, _ in answers} == {expected_status}:
                    break
        if expected_status != 200:
            for _, headers, text in answers:
                assert json.loads(text)["error"]["code"] == ResultCode.ZONE_EVACUATED
                assert headers["Retry-After"]
        _, output = await fordhatch(fleet, "get", "zones", "--output=json")
        (zone,) = (z for z in json.loads(output)["zones"] if z["zone"] == ZONES[0])
        assert (zone["state"], zone["operator"]) == (state, "ops")
        assert zone["since_s"] is not None
        _, output = await fordhatch(fleet, "get", "zones")
        (line,) = (n for n in output.splitlines() if n.startswith(ZONES[0]))
        assert state in line
        assert "Z  ops" in line, output
    outcomes = [
        r["outcome"] for r in (await fleet.read(fleet.nodes[0], "/audit"))["audit"]
    ]
    assert outcomes == ["accepted", "evacuated", "restored"]


async def check_shutdown(fleet: Fleet) -> None:
    draining = fleet.nodes[0]
    body = chat_body(max_tokens=500, stream=True)
    url = draining.url + CHAT
    async with fleet.session.post(url, data=body, headers=KEY) as reply:
        await reply.content.readany()
        draining.send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        async with fleet.session.get(draining.url + "/ready") as ready:
            assert ready.status == 503
        status, headers, _ = await post(fleet, CHAT, chat_body(), KEY)
        assert status == 200, (
            "a draining node refused a request that it could still serve"
        )
        assert headers["Connection"] == "close"
        remainder = (await reply.read()).decode()
    assert remainder.rstrip().endswith("data: [DONE]")
    assert answer_text(body, 99) in remainder
    assert await asyncio.wait_for(draining.process.wait(), 20.0) == 0
    status, _, _ = await post(fleet, CHAT, chat_body(), KEY, 1)
    assert status == 200


async def test_separate_processes_from_bad_input_to_shutdown(fleet) -> None:
    await check_bad_input(fleet)
    await check_operators(fleet)
    await check_answers(fleet)
    await check_zones(fleet)
    await check_shutdown(fleet)
    assert (await fleet.counts())["violations"] == []
