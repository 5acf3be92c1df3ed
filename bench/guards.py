"""Removes each guard in a copy of the sources and checks that its test fails.

A guard is code that upholds a guarantee. If its test passes without the guard, the test
does not prove the guard and the run fails. The results go into
``bench/results/guards.md``, which ``docs/PROOFS.md`` cites.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from crash_guards import CRASH_GUARDS
from entry_guards import ENTRY_GUARDS
from guards_types import Guard
from head_guards import HEAD_GUARDS
from hedge_guards import HEDGE_GUARDS
from order_guards import ORDER_GUARDS
from own_guards import OWN_GUARDS
from platform_guards import PLATFORM_GUARDS
from pressure_guards import PRESSURE_GUARDS
from retry_guards import RETRY_GUARDS
from scarcity_guards import SCARCITY_GUARDS
from store_guards import STORE_GUARDS
from zone_guards import ZONE_GUARDS

ROOT = Path(__file__).parent.parent
MAX_PARALLEL = 4


def check(guard: Guard) -> str:
    """Remove a guard in a copy of the sources and run its test.

    Returns:
        ``red`` if the test failed, otherwise the reason why the guard is not proved.
    """
    package, _, name = guard.module.partition("/")
    folder = "platform" if package == "adapter" else f"packages/{package}"
    source = ROOT / folder / "src"
    with tempfile.TemporaryDirectory(prefix="fordhatch-guard-") as directory:
        copy = Path(directory) / "src"
        shutil.copytree(source, copy)
        path = copy / "fordhatch" / package / name
        text = path.read_text()
        if text.count(guard.present) != 1:
            return f"the guard stands {text.count(guard.present)} times"
        path.write_text(text.replace(guard.present, guard.absent))
        command = [sys.executable, "-m", "pytest", "-x", *guard.test.split()]
        done = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(copy)},
            capture_output=True,
            text=True,
            timeout=240,
            check=False,
        )
    return "red" if done.returncode == 1 else f"pytest exit {done.returncode}"


def main() -> None:
    """Check all guards and write the table of results.

    An argument restricts the run to guards that contain this text in their promise or
    module; the table is then not written.
    """
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    guards = [
        g
        for g in [
            *OWN_GUARDS,
            *PLATFORM_GUARDS,
            *ENTRY_GUARDS,
            *CRASH_GUARDS,
            *PRESSURE_GUARDS,
            *STORE_GUARDS,
            *ZONE_GUARDS,
            *SCARCITY_GUARDS,
            *HEDGE_GUARDS,
            *HEAD_GUARDS,
            *ORDER_GUARDS,
            *RETRY_GUARDS,
        ]
        if wanted in f"{g.promise} {g.module}"
    ]
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        outcomes = list(pool.map(check, guards))
    lines = [
        "# Guards taken out",
        "",
        "Written by `make prove-guards`: each guard is taken out in a copy and its",
        "test run. `red` means that the test noticed.",
        "",
        "| guard | module | test | without the guard |",
        "|---|---|---|---|",
    ]
    for guard, outcome in zip(guards, outcomes, strict=True):
        test = guard.test.removeprefix("packages/")
        lines.append(f"| {guard.promise} | {guard.module} | `{test}` | {outcome} |")
        print(f"{outcome:20} {guard.promise}", flush=True)
    if not wanted:
        results = ROOT / "bench" / "results"
        results.mkdir(exist_ok=True)
        (results / "guards.md").write_text("\n".join(lines) + "\n")
    red = outcomes.count("red")
    print(f"{red} of {len(outcomes)} guards are proved by their test")
    sys.exit(0 if red == len(outcomes) else 1)


if __name__ == "__main__":
    main()
