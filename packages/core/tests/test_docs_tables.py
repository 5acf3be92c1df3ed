from __future__ import annotations

import ast
import re
from pathlib import Path

from fordhatch.core import format_line, metrics

ROOT = Path(__file__).parents[3]
EVENT = re.compile(r'(?:log_event|self\._log)\(\s*"(\w+)"(?:\s+if[^,]*else\s+"(\w+)")?')
WRITTEN_DIRECTLY = {"lines_dropped"}  # the line writer cannot log through itself
SECRET_FIELDS = {"body", "prompt", "api_key", "token_text", "headers", "content"}


def sources() -> list[str]:
    found = [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("platform/**/*.py")]
    return [p.read_text() for p in found]


def test_every_log_event_is_documented() -> None:
    pairs = [pair for text in sources() for pair in EVENT.findall(text)]
    in_code = {name for pair in pairs for name in pair if name} | WRITTEN_DIRECTLY
    table = (ROOT / "docs" / "LOGS.md").read_text()
    in_docs = set(re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE))
    assert in_docs == in_code


def test_every_metric_is_documented() -> None:
    in_code = {
        metric.name + ("_total" if metric.type == "counter" else "")
        for metric in metrics.REGISTRY.collect()
    }
    table = (ROOT / "docs" / "METRICS.md").read_text()
    in_docs = set(re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE))
    assert in_docs == in_code


def test_no_log_event_contains_a_secret_or_a_prompt() -> None:
    calls = [
        node
        for text in sources()
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Call)
        and getattr(node.func, "id", getattr(node.func, "attr", "")) == "log_event"
    ]
    assert calls
    for call in calls:
        named = {keyword.arg for keyword in call.keywords}
        assert not named & SECRET_FIELDS, ast.unparse(call)
        # Every line starts with these fields; a duplicate would make them ambiguous.
        assert not named & {"node", "time", "event"}, ast.unparse(call)


def test_a_log_line_is_a_single_line_of_key_value_pairs() -> None:
    message = {
        "timestamp": 0.5,
        "message_type": "group_seen",
        "task_uuid": "u",
        "task_level": [1],
        "group": "g-1",
        "unfit": 'gpu 1="x"\n',
    }
    line = format_line("node-1", message)
    assert line == (
        "time=1970-01-01T00:00:00.500Z node=node-1 event=group_seen group=g-1 "
        'unfit="gpu 1=\\"x\\"\\n"'
    )
