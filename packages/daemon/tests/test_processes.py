"""Real processes: the HTTP interfaces, bad input, and a shutdown that cuts nothing."""

from __future__ import annotations

import asyncio
import json
import signal

from demo import API_KEY, REGION, ZONES, declared_state, expected
from fleet import OPERATOR_TOKEN, Fleet

from fordhatch.core import ResultCode
from fordhatch_standins import token_text

KEY = {"Authorization": f"Bearer {API_KEY}"}
CHAT = "/v1/chat/completions"


def chat_body(**fields) -> dict:
    message = {"role": "user", "content": "dent"}
    return {"model": "estimates", "messages": [message], "max_tokens": 24, **fields}


class Site:
    """Two nodes, one group of four and a plain service."""

    async def __aenter__(self) -> Site:
        self.fleet = await Fleet.from_directory().__aenter__()
        fleet = self.fleet
        await fleet.start_platform(list_lag_s=0.1)
        for index in range(4):
            await fleet.start_backend("engine", f"gpu-{index + 1}", step_s=0.02)
        await fleet.start_backend("plain", "yard-1", service="yard-app")
        timing = {"drain_grace_s": 1.0}
        self.nodes = await fleet.start_nodes(2, REGION, ZONES, timing)
        for node in self.nodes:
            await fleet.wait_http(f"{node.operators_url}/metrics")
        declared = declared_state()
        declared["model_services"][0]["groups"] = 1
        status, _ = await fleet.apply(self.nodes[0], declared, 0, "first")
        assert status == 200
        for _ in range(300):
            found = await fleet.read(self.nodes[1], "/status")
            if found.get("converged") and found["nodes_in_force"] == 2:
                return self
            await asyncio.sleep(0.1)
        raise AssertionError(f"does not serve: {found}")

    async def __aexit__(self, *error) -> None:
        await self.fleet.__aexit__(*error)

    async def post(self, path: str, content: bytes, headers: dict, node: int = 0):
        url = self.nodes[node].url + path
        async with self.fleet.session.post(url, data=content, headers=headers) as reply:
            return reply.status, dict(reply.headers), await reply.text()

    async def executions(self) -> int:
        total = 0
        for name in ("gpu-1", "gpu-2", "gpu-3", "gpu-4", "yard-1"):
            counts = await self.fleet.get(f"{self.fleet.children[name].url}/counts")
            total += sum(counts["executions"].values())
        return total


def encoded(**fields) -> bytes:
    return json.dumps(chat_body(**fields)).encode()


BAD_REQUESTS = [
    (CHAT, b"{", KEY, ResultCode.BAD_REQUEST),
    (CHAT, b"[]", KEY, ResultCode.BAD_REQUEST),
    (CHAT, encoded(messages=[]), KEY, ResultCode.BAD_REQUEST),
    (CHAT, encoded(messages=[{"content": 3}]), KEY, ResultCode.BAD_REQUEST),
    (CHAT, encoded(max_tokens=0), KEY, ResultCode.BAD_REQUEST),
    (CHAT, encoded(stream="yes"), KEY, ResultCode.BAD_REQUEST),
    (CHAT, encoded(model="no-such"), KEY, ResultCode.UNKNOWN_MODEL),
    (CHAT, encoded(model="yard"), KEY, ResultCode.UNKNOWN_MODEL),
    (CHAT, encoded(), {}, ResultCode.UNAUTHENTICATED),
    (CHAT, encoded(), {"Authorization": "Bearer no"}, ResultCode.UNAUTHENTICATED),
    (CHAT, encoded(), {**KEY, "X-Timeout-S": "soon"}, ResultCode.BAD_REQUEST),
    (CHAT, encoded(), {**KEY, "X-Timeout-S": "1e9"}, ResultCode.BAD_REQUEST),
    (CHAT, encoded(), {**KEY, "X-Repeatable": "perhaps"}, ResultCode.BAD_REQUEST),
    (CHAT, encoded(), {**KEY, "Idempotency-Key": "k" * 300}, ResultCode.BAD_REQUEST),
    (CHAT, b"x" * 3_000_000, KEY, ResultCode.BODY_TOO_LARGE),
    ("/services/no-such/x", b"{}", KEY, ResultCode.UNKNOWN_MODEL),
    ("/services/estimates/x", b"{}", KEY, ResultCode.UNKNOWN_MODEL),
    ("/services/yard/x", b"{}", {}, ResultCode.UNAUTHENTICATED),
    ("/elsewhere", b"{}", KEY, ResultCode.NOT_FOUND),
]


async def check_bad_input(site: Site) -> None:
    for path, content, headers, code in BAD_REQUESTS:
        status, sent, text = await site.post(path, content, headers)
        error = json.loads(text)["error"]
        assert error["code"] == code, (path, content[:60], text)
        assert (error["ran"], sent["X-Ran"]) == ("no", "no")
        assert sent["X-Result-Code"] == str(int(code))
        assert 400 <= status < 500
        assert error["message"]
    assert await site.executions() == 0


async def check_operators(site: Site) -> None:
    url = site.nodes[0].operators_url
    for headers in ({}, {"Authorization": "Bearer no"}, KEY):
        for path in ("/config", "/status", "/audit", "/groups"):
            async with site.fleet.session.get(url + path, headers=headers) as reply:
                assert reply.status == 401
        async with site.fleet.session.put(url + "/config", headers=headers) as reply:
            assert reply.status == 401
    # Operators' calls are not served on the callers' address.
    token = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with site.fleet.session.get(
        f"{site.nodes[0].url}/config", headers=token
    ) as reply:
        assert reply.status == 404
    found = await site.fleet.read(site.nodes[0], "/config?min_revision=x")
    assert found["error"]["code"] == ResultCode.BAD_REQUEST


async def check_answers(site: Site) -> None:
    for node in (0, 1):
        status, _, text = await site.post(CHAT, encoded(), KEY, node)
        assert status == 200
        answer = json.loads(text)["choices"][0]["message"]["content"]
        assert answer == expected("dent")
    status, _, text = await site.post("/services/yard/status/7?x=1", b"{}", KEY, 1)
    assert json.loads(text)["path"] == "/status/7"


async def check_shutdown(site: Site) -> None:
    leaving = site.nodes[0]
    body = encoded(max_tokens=200, stream=True)
    url = leaving.url + CHAT
    async with site.fleet.session.post(url, data=body, headers=KEY) as reply:
        await reply.content.readany()
        leaving.send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        status, headers, _ = await site.post(CHAT, encoded(), KEY)
        assert status == 200, "a leaving node refused what it could still serve"
        assert headers["Connection"] == "close"
        async with site.fleet.session.get(leaving.url + "/ready") as ready:
            assert ready.status == 503
        rest = (await reply.read()).decode()
    assert rest.rstrip().endswith("data: [DONE]")
    last = token_text("dent", "", 199)
    assert last in rest
    assert await asyncio.wait_for(leaving.process.wait(), 20.0) == 0
    status, _, _ = await site.post(CHAT, encoded(), KEY, 1)
    assert status == 200


async def test_separate_processes_from_bad_input_to_shutdown() -> None:
    async with Site() as site:
        await check_bad_input(site)
        await check_operators(site)
        await check_answers(site)
        await check_shutdown(site)
