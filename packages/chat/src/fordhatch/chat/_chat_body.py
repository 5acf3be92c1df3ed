"""Parsing and validation of the body of a chat completion request."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.catalog import MAX_SHARED_PARTS
from fordhatch.core import Failure, Ran, ResultCode

MAX_OUTPUT_TOKENS = 32768
"""Largest ``max_tokens`` that a caller may request."""

DEFAULT_TOKENS = 16
"""``max_tokens`` of a request without it, the usual default of this interface."""

CHARACTERS_PER_TOKEN = 4
"""Usual for English text; estimates a prompt's length for the engines' queues."""

NAME_BYTES = 16
"""Length of a message's digest, as which it is compared with others."""


def bad_request(message: str) -> Failure:
    """Return the failure for a malformed request."""
    return Failure.from_code(ResultCode.BAD_REQUEST, message, ran=Ran.NO)


@attrs.frozen
class ChatBody:
    """A chat completion request."""

    application: str
    messages: list[dict[str, Any]]
    max_tokens: int
    is_streamed: bool

    @classmethod
    def from_json(cls, content: bytes) -> Result[ChatBody, Failure]:
        """Parse a request's body, or return a failure that names the first error."""
        try:
            body = json.loads(content)
        except (ValueError, RecursionError) as error:
            return Err(bad_request(f"the body is not JSON: {error}"))
        if not isinstance(body, dict):
            return Err(bad_request("the body is not an object"))
        if not isinstance(body.get("model"), str):
            return Err(bad_request("'model' must be a string"))
        messages = body.get("messages")
        if not isinstance(messages, list) or not messages:
            text = "'messages' must be a list with at least one entry"
            return Err(bad_request(text))
        for index, entry in enumerate(messages):
            if not isinstance(entry, dict) or not isinstance(entry.get("content"), str):
                text = f"'messages[{index}].content' must be a string"
                return Err(bad_request(text))
        tokens = body.get("max_tokens", DEFAULT_TOKENS)
        is_number = isinstance(tokens, int) and not isinstance(tokens, bool)
        if not is_number or not 1 <= tokens <= MAX_OUTPUT_TOKENS:
            return Err(
                bad_request(f"'max_tokens' must be from 1 to {MAX_OUTPUT_TOKENS}")
            )
        if not isinstance(body.get("stream", False), bool):
            return Err(bad_request("'stream' must be true or false"))
        return Ok(cls(body["model"], messages, tokens, body.get("stream", False)))

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt in tokens, at least 1."""
        length = sum(len(entry["content"]) for entry in self.messages)
        return max(length // CHARACTERS_PER_TOKEN, 1)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the messages that other conversations may have: all but the last."""
        shared = self.messages[:-1][:MAX_SHARED_PARTS]
        return tuple(dict.fromkeys(map(_message_name, shared)))

    def to_engine_body(self, adapter: str) -> bytes:
        """Return the body to send to the engine."""
        fields: dict[str, Any] = {
            "messages": self.messages,
            "max_tokens": self.max_tokens,
        }
        if adapter:
            fields["adapter"] = adapter
        return json.dumps(fields).encode()


def _message_name(message: dict[str, Any]) -> str:
    text = json.dumps([str(message.get("role", "")), message["content"]])
    return hashlib.blake2b(text.encode(), digest_size=NAME_BYTES).hexdigest()
