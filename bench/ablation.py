"""Switches each mechanism off, in a copy, and measures what it is worth.

A mechanism is off when it is replaced by its simpler self: a changed line of the
sources, as the guards are taken out. Plays days of the users' bench, with the same
seeds for all variants, and prints a table; the entries that the bench writes go into
``journal/``.
"""

from __future__ import annotations

import re
import shutil
import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import attrs
from cyclopts import App, Parameter

app = App(name="ablation", help="What each mechanism is worth.")

ROOT = Path(__file__).parent.parent

ONE_DAY_LIMIT_S = 900.0
"""A day of a small site takes under a minute, one of a grown site some minutes."""


@attrs.frozen
class Mechanism:
    """A mechanism, and the line that switches it off."""

    name: str
    path: str
    """From the root of the repository."""
    on: str
    off: str


SERVING = "packages/serving/src/fordhatch/serving"
PLACEMENT = "packages/placement/src/fordhatch/placement"
REGISTRY = "packages/registry/src/fordhatch/registry"

MECHANISMS = (
    Mechanism("everything on", "README.md", "", ""),
    Mechanism(
        "callers' port opened early",
        "deploy/entry.py",
        "callers_socket = open_callers_port()\n",
        "callers_socket = None\n",
    ),
    Mechanism(
        "generated code from the cache",
        "deploy/entry.py",
        "compile_cache.use()\n",
        "",
    ),
    Mechanism(
        "evidence of an outage for all",
        f"{SERVING}/_knowledge.py",
        "    if is_system_wide_outage and not bounds.is_revocation_strict:\n",
        "    if False:\n",
    ),
    Mechanism(
        "groups recorded for nodes that start",
        f"{REGISTRY}/_store_view.py",
        "                directory.restore(members_of(shared.records.values()))\n",
        "                pass\n",
    ),
    Mechanism(
        "formations ask their members first",
        f"{PLACEMENT}/_group_builder.py",
        "            self.supervisor.losses.check(member)\n",
        "            pass\n",
    ),
    Mechanism(
        "members of released groups leave",
        f"{PLACEMENT}/_planner.py",
        "        self.dissolutions.order_remaining_to_leave("
        "self.formations.member_ids())\n",
        "",
    ),
    Mechanism(
        "own finding of a lost group is kept",
        f"{SERVING}/groups/_stall_watch.py",
        "        if key in self._found_lost:\n            return True\n",
        "",
    ),
    Mechanism(
        "groups give way for a slow member",
        f"{PLACEMENT}/_group_supervisor.py",
        "        if pace < MAX_MEMBER_PACE:\n",
        "        if True:\n",
    ),
    Mechanism(
        "requests wait for a group on its way",
        f"{SERVING}/streams/_stream_call.py",
        "            hold_s = self._group_wait(stream).hold_s\n",
        "            hold_s = 0.0\n",
    ),
    Mechanism(
        "weights staged ahead",
        f"{PLACEMENT}/_planner.py",
        "        self.staging.step(layout, free, grouped, are_loads_free=first)\n",
        "        if first:\n"
        "            self.staging.step(layout, free, [], are_loads_free=first)\n",
    ),
    Mechanism(
        "models exchange groups",
        f"{PLACEMENT}/_group_builder.py",
        "            remaining = self._convert(layout, remaining, kept)\n",
        "            pass\n",
    ),
    Mechanism(
        "second runs of broken streams",
        f"{SERVING}/streams/_stream_call.py",
        "MAX_SENDS = 6\n",
        "MAX_SENDS = 1\n",
    ),
    Mechanism(
        "availability zones weighed",
        f"{SERVING}/groups/_head_choice.py",
        "        if head.zone != self.zone:\n            cost += other_zone\n",
        "        if False:\n            cost += other_zone\n",
    ),
)
"""What is switched off, one at a time."""


def copy_with(mechanism: Mechanism, folder: Path) -> Path:
    """Return a copy of the committed sources with a mechanism switched off.

    Raises:
        ValueError: If the line that is to be replaced does not stand there once.
    """
    copy = folder / re.sub(r"\W+", "-", mechanism.name)
    if copy.exists():
        shutil.rmtree(copy)
    subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    path = copy / mechanism.path
    text = path.read_text()
    if mechanism.on and text.count(mechanism.on) != 1:
        raise ValueError(f"{mechanism.name}: stands {text.count(mechanism.on)} times")
    if mechanism.on:
        path.write_text(text.replace(mechanism.on, mechanism.off))
    return copy


def play(program: Path, site: Path, copy: Path, day: str, seed: int) -> float | None:
    """Play a day in a copy; returns its worth, None if it has none."""
    why = f"ablation: {copy.name.replace('-', ' ')} (off, but for everything on)"
    command = [program, "run", site, day, "--seed", str(seed), "--why", why]
    try:
        done = subprocess.run(
            command,
            cwd=copy,
            capture_output=True,
            text=True,
            timeout=ONE_DAY_LIMIT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return None
    found = re.search(r"^worth (\d\.\d+) =", done.stdout, re.MULTILINE)
    return float(found.group(1)) if found else None


def keep_journal(copy: Path) -> None:
    """Take the entries that the bench wrote in a copy."""
    for source in (copy / "journal").rglob("*"):
        target = ROOT / "journal" / source.relative_to(copy / "journal")
        if source.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, target)


def row(name: str, worths: list[float], base: list[float]) -> str:
    """Return a mechanism's row: its mean, and what it is worth pair by pair."""
    if not worths or len(worths) != len(base):
        return f"| {name} | - | - | - |"
    gains = [b - w for w, b in zip(worths, base, strict=True)]
    spread = f"{min(gains):+.3f} to {max(gains):+.3f}"
    mean = statistics.mean(worths)
    return f"| {name} | {mean:.3f} | {statistics.mean(gains):+.3f} | {spread} |"


@app.default
def main(
    program: Path,
    site: Path,
    folder: Path,
    *,
    day: Annotated[list[str], Parameter(help="A standard day, once for each.")],
    seed: Annotated[list[int], Parameter(help="A seed, once for each.")],
    word: Annotated[str, Parameter(help="Only mechanisms that have it.")] = "",
    jobs: int = 4,
) -> None:
    """Print what each mechanism is worth on some days, off against on.

    Parameters
    ----------
    program
        The bench's program.
    site
        A site file.
    folder
        Where the copies go; not below the system's temporary folder.
    day
        Days of the site file.
    seed
        Seeds; each variant plays each day with each of them.
    word
        Only mechanisms whose name has it, and everything on.
    jobs
        Days played at a time.
    """
    folder.mkdir(parents=True, exist_ok=True)
    chosen = [m for m in MECHANISMS if word in m.name or not m.on]
    copies = [copy_with(m, folder) for m in chosen]
    runs = [(c, d, s) for d in day for s in seed for c in copies]
    for copy in copies:
        subprocess.run([program, "build"], cwd=copy, capture_output=True, check=True)
    with ThreadPoolExecutor(jobs) as pool:
        worths = list(pool.map(lambda r: play(program, site, *r), runs))
    print("| switched off | mean worth | what it is worth | pair by pair |")
    print("|---|---|---|---|")
    by_copy = {
        copy: [w for w, (c, _, _) in zip(worths, runs, strict=True) if c is copy]
        for copy in copies
    }
    base = by_copy[copies[0]]
    for mechanism, copy in zip(chosen, copies, strict=True):
        pairs = [(w, b) for w, b in zip(by_copy[copy], base, strict=True) if w and b]
        print(row(mechanism.name, [w for w, _ in pairs], [b for _, b in pairs]))
        keep_journal(copy)


if __name__ == "__main__":
    app()
