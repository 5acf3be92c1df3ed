"""Requests of the soak test's callers on both interfaces, and their right answers."""

from __future__ import annotations

import hashlib
import json
from typing import Any, Protocol

import attrs
from demo import chat_body
from fleet import API_KEY
from soak_exchanges import Exchange
from soak_ledger import body_text, streamed_text

from fordhatch_standins import answer_text, event_bytes

TOKENS_PER_EVENT = 5

MODEL, ENGINE_SERVICE, PLAIN_SERVICE = "estimator@2026-11", "a100", "yard-app"
HOST, PLATFORM_KEY = "soak.example", "soak-key"
STREAM_PATH, PLAIN_PATH = "/stream/1", "/plain/1"


@attrs.frozen
class Message:
    """A request as it is sent."""

    path: str
    headers: dict[str, str]
    body: bytes

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        headers = {**self.headers, "Content-Length": str(len(self.body))}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        return f"POST {self.path} HTTP/1.1\r\n{lines}\r\n".encode() + self.body


class Dialect(Protocol):
    """How requests and answers look on one interface."""

    kinds: tuple[str, ...]

    def message(self, exchange: Exchange, kind: str, events: int) -> Message:
        """Return a request for an answer with a number of events."""

    def fault(self, exchange: Exchange, message: Message, events: int) -> str:
        """Return what is wrong with the content of a whole answer, or empty."""


class OwnDialect:
    """Requests on fordhatch's own interface."""

    kinds = ("stream", "stream", "chat", "plain")

    def message(self, exchange: Exchange, kind: str, events: int) -> Message:
        """Return a chat completion, or a call of the plain service."""
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Authorization": f"Bearer {API_KEY}",
            "X-Timeout-S": f"{exchange.timeout_s:g}",
        }
        if kind == "plain":
            body: dict[str, Any] = {"text": exchange.text}
            path = f"/services/yard{PLAIN_PATH}"
        else:
            body = chat_body(exchange.text, stream=exchange.is_stream)
            body["max_tokens"] = events * TOKENS_PER_EVENT
            path = "/v1/chat/completions"
        return Message(path, headers, json.dumps(body).encode())

    def fault(self, exchange: Exchange, message: Message, events: int) -> str:
        """Compare the answer with the only right one."""
        content = exchange.body.decode()
        if message.path.endswith(PLAIN_PATH):
            return _plain_fault(content, message)
        text = streamed_text(content) if exchange.is_stream else body_text(content)
        prompt = exchange.text.encode()
        wanted = "".join(answer_text(prompt, index) for index in range(events))
        return "" if text == wanted else f"wrong answer {text!r:.80}"


class PlatformDialect:
    """Requests as the platform's callers send them."""

    kinds = ("stream", "stream", "plain")

    def message(self, exchange: Exchange, kind: str, events: int) -> Message:
        """Return a stream of a model, or a call of the plain service."""
        headers = {
            "Host": HOST,
            "Api-Key": PLATFORM_KEY,
            "X-Attempt-Id": exchange.known_id,
            "X-Deadline-Ms": f"{1000 * exchange.timeout_s:.0f}",
        }
        if kind == "plain":
            body: dict[str, Any] = {"text": exchange.text}
            return Message(PLAIN_PATH, headers, json.dumps(body).encode())
        headers["X-Model"] = MODEL
        headers["X-Token-Count"] = f"20,{events * TOKENS_PER_EVENT}"
        body = {"messages": [{"role": "user", "content": exchange.text}]}
        return Message(STREAM_PATH, headers, json.dumps(body).encode())

    def fault(self, exchange: Exchange, message: Message, events: int) -> str:
        """Compare the answer with the only right one."""
        if message.path == PLAIN_PATH:
            return _plain_fault(exchange.body.decode("latin-1"), message)
        wanted = b"".join(event_bytes(message.body, index) for index in range(events))
        if exchange.body == wanted:
            return ""
        return f"wrong answer {exchange.body.decode('latin-1')!r:.80}"


def _plain_fault(content: str, message: Message) -> str:
    digest = hashlib.sha256(message.body).hexdigest()
    wanted = json.dumps({"path": PLAIN_PATH, "body": digest})
    return "" if content == wanted else f"wrong answer {content!r:.80}"


def platform_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one route to each kind of service."""
    usual = {"host": HOST, "timeout-ms": 15_000, "goal-ms": 400, "attempts": 3}
    engine = {
        "slots": 13,
        "stride": TOKENS_PER_EVENT,
        "step_ms": 2.0,
        "per_seq_ms": 0.482,
        "read_per_s": 46000.0,
        "loads-per-s": 4.0,
        "loads_at_once": 8,
        "keeps": 1,
        "form-ms": 300.0,
        "models": [
            {
                "name": MODEL,
                "size": 4,
                "share": 1.0,
                "pace": 1.0,
                "load-s": 0.5,
                "warm-s": 0.2,
            }
        ],
    }
    return {
        "version": version,
        "routes": [
            {
                **usual,
                "name": "plain",
                "prefix": "/plain/",
                "kind": "idempotent",
                "service": PLAIN_SERVICE,
            },
            {
                **usual,
                "name": "stream",
                "prefix": "/stream/",
                "kind": "streaming",
                "resumable": True,
                "service": ENGINE_SERVICE,
            },
        ],
        "services": [
            {"name": PLAIN_SERVICE, "max-conns": 100},
            {"name": ENGINE_SERVICE, "max-conns": 100, "engine": engine},
        ],
        "tenants": [{"name": "soak", "api-keys": [PLATFORM_KEY]}],
        "limits": {"max-body-bytes": 100_000 + version},
    }
