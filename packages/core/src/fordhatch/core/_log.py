"""Structured logging through eliot, written as one key=value line per event."""

from __future__ import annotations

import json
import sys
import time
from typing import TextIO

import eliot

from ._line_writer import LineWriter

REQUIRED_EVENTS = frozenset(("request_done", "request_refused", "relayed_request_done"))
"""Events with which requests end; the rate of lines does not limit them."""

_ELIOT_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type")


def log_event(event: str, **fields: object) -> None:
    """Log one event.

    Args:
        event: Name of the event; every name is listed in ``docs/LOGS.md``.
        **fields: Fields of the event; never secrets or prompts.
    """
    eliot.log_message(message_type=event, **fields)


def configure_logging(node_id: str, stream: TextIO = sys.stderr) -> None:
    """Write every event as one key=value line to ``stream``.

    Args:
        node_id: Node name written into every line.
        stream: Destination of the lines.
    """

    def write(message: dict[str, object]) -> None:
        stream.write(format_line(node_id, message) + "\n")
        stream.flush()

    eliot.add_destinations(write)


def configure_line_log(node_id: str, writer: LineWriter) -> None:
    """Write every event as one key=value line through a non-blocking writer.

    Args:
        node_id: Node name written into every line.
        writer: Destination of the lines.
    """

    def write(message: dict[str, object]) -> None:
        is_required = message.get("message_type") in REQUIRED_EVENTS
        writer.write(format_line(node_id, message), is_required=is_required)

    eliot.add_destinations(write)


def format_line(node_id: str, message: dict[str, object]) -> str:
    """Format an eliot message as a key=value line."""
    timestamp_s = float(message.get("timestamp", 0.0))  # type: ignore[arg-type]
    stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(timestamp_s))
    parts = [
        f"time={stamp}.{int(timestamp_s % 1 * 1000):03d}Z",
        f"node={node_id}",
        f"event={message.get('message_type', 'traceback')}",
    ]
    parts.extend(
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in _ELIOT_FIELDS
    )
    return " ".join(parts)


def _format_value(value: object) -> str:
    try:
        text = str(value)
    except Exception:
        # Otherwise the whole line would be lost.
        text = f"unprintable:{type(value).__name__}"
    if text and not any(c in ' "=\n\\' for c in text):
        return text
    return json.dumps(text)
