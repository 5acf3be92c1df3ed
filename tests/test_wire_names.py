"""Only the adapter and the stand-ins contain the platform's wire names."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]

WIRE_NAMES = re.compile(
    r"x-attempt-id|x-deadline-ms|x-server-seal|x-expect-instance|x-not-executed"
    r"|x-weight-versions|x-prompt-prefix|x-token-count|x-urgency-class|x-tenant"
    r"|last-event-id|rows-(tx|get|feed|parts)|cold-(left-ms|per-s|overrun|slack)|x-cold-ms|expected-rev|set-keys"
    r"|server-limit|server-leaving|timeout-ms|goal-ms|max-gap-ms|api-keys|close-mode|kv-capacity|revoke-ms"
    r"|fleetbench",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_adapter() -> None:
    found = []
    for path in [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("deploy/*.py")]:
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if WIRE_NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert not found, "\n".join(found)


def test_the_adapter_does_not_shadow_the_standard_library() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()
