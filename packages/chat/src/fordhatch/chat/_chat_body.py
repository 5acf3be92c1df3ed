"""The body of a chat completion, checked."""

from __future__ import annotations

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode

MOST_TOKENS = 32768
"""Longest answer that a caller may ask for."""

DEFAULT_TOKENS = 16
"""Length of an answer whose caller names none, as is usual for this interface."""

CHARACTERS_PER_TOKEN = 4
"""Usual for English text; the engines' queues reckon with the prompt's length."""


def bad_request(message: str) -> Failure:
    """Return the failure of a request that is malformed."""
    return Failure.from_code(ResultCode.BAD_REQUEST, message, ran=Ran.NO)


@attrs.frozen
class ChatBody:
    """What a caller asks a model for."""

    application: str
    messages: list[dict[str, Any]]
    max_tokens: int
    is_streamed: bool

    @classmethod
    def from_json(cls, content: bytes) -> Result[ChatBody, Failure]:
        """Return the body, or what is wrong with it."""
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
        if not is_number or not 1 <= tokens <= MOST_TOKENS:
            return Err(bad_request(f"'max_tokens' must be from 1 to {MOST_TOKENS}"))
        if not isinstance(body.get("stream", False), bool):
            return Err(bad_request("'stream' must be true or false"))
        return Ok(cls(body["model"], messages, tokens, body.get("stream", False)))

    @property
    def prompt_tokens(self) -> int:
        """About how many tokens the prompt has."""
        length = sum(len(entry["content"]) for entry in self.messages)
        return max(length // CHARACTERS_PER_TOKEN, 1)

    def for_engine(self, adapter: str) -> bytes:
        """Return the body that the engine gets."""
        fields: dict[str, Any] = {
            "messages": self.messages,
            "max_tokens": self.max_tokens,
        }
        if adapter:
            fields["adapter"] = adapter
        return json.dumps(fields).encode()
