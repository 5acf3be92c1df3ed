"""``fordhatch``: the operators' command line.

Exit status: 0 success, 1 mistakes in a file, 2 wrong usage, 3 conflict with another
operator's file that was accepted first, 4 a node or the platform is unreachable or
refused the call, 5 unknown outcome (retry the same command).
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

from cyclopts import App, Parameter
from result import Result

from fordhatch.config import (
    OPERATORS_SCHEMA,
    OperatorsFile,
    describe_changes,
    schema_text,
)
from fordhatch.core import Failure, Ran, ResultCode

from ._client import OperatorClient
from ._columns import COLUMNS
from ._explain import LogLine, explain, read_lines
from ._losses import TABLES, Losses, find_losses
from ._table import print_json, print_table

EXIT_MISTAKES = 1
EXIT_CONFLICT = 3
EXIT_REFUSED = 4
EXIT_UNKNOWN = 5

EPILOGUE = "\n\n".join(
    (
        "Examples:",
        "fordhatch validate examples/pruitt.json",
        "fordhatch diff examples/pruitt.json",
        "fordhatch apply examples/pruitt.json --base 3",
        "fordhatch get groups --output json",
        "fordhatch evacuate savannah-yard",
        "fordhatch restore savannah-yard",
        "fordhatch get zones",
        "fordhatch status",
        "fordhatch explain 9c41d07be2a35f68 node-*.log",
        "fordhatch losses node-*.log --plot losses.png",
    )
)
"""Shown below the commands; blank lines keep each example on its own line."""

T = TypeVar("T")

app = App(
    name="fordhatch",
    help="Apply declarative files and read back what is in force.",
    help_epilogue=EPILOGUE,
)

app.register_install_completion_command()

Url = Annotated[str, Parameter(env_var="FORDHATCH_URL", help="Operators' address.")]
Token = Annotated[str, Parameter(env_var="FORDHATCH_TOKEN", help="Operator's token.")]
Output = Annotated[
    Literal["table", "json"],
    Parameter(name=("--output", "-o"), help="A table for people, JSON for programs."),
]

DEFAULT_URL = "http://127.0.0.1:7002"


def _run_call(work: Coroutine[Any, Any, Result[T, Failure]]) -> T:
    done = asyncio.run(work)
    if done.is_err():
        _fail(done.unwrap_err())
    return done.unwrap()


def _fail(failure: Failure) -> None:
    print(
        f"fordhatch: {failure.message} "
        f"(code {int(failure.code)} {failure.code.name}, ran={failure.ran.value})",
        file=sys.stderr,
    )
    if failure.code is ResultCode.CONFIG_CONFLICT:
        sys.exit(EXIT_CONFLICT)
    if failure.code is ResultCode.CONFIG_INVALID:
        sys.exit(EXIT_MISTAKES)
    sys.exit(EXIT_UNKNOWN if failure.ran is Ran.MAYBE else EXIT_REFUSED)


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"fordhatch: {error}", file=sys.stderr)
        sys.exit(EXIT_MISTAKES)


def _check(path: Path) -> bytes:
    """Return the bytes of a valid file; print all mistakes and exit otherwise."""
    content = _read_file(path)
    read = OperatorsFile.from_json(content)
    if read.is_err():
        for mistake in read.unwrap_err():
            print(f"{path}: {mistake}", file=sys.stderr)
        sys.exit(EXIT_MISTAKES)
    return content


@app.command
def validate(file: Path) -> None:
    """Check a file in full, without any node."""
    _check(file)
    print(f"{file}: valid")


@app.command
def schema() -> None:
    """Print the JSON Schema of operators' files."""
    print(schema_text(OPERATORS_SCHEMA))


@app.command(name="hash-key")
def hash_key_command() -> None:
    """Read a key or token from standard input and print the form that files hold."""
    secret = sys.stdin.readline().rstrip("\n")
    print("sha256:" + hashlib.sha256(secret.encode()).hexdigest())


@app.command
def diff(file: Path, *, url: Url = DEFAULT_URL, token: Token = "") -> None:
    """Show what applying a file would change."""
    content = _check(file)
    active = _run_call(OperatorClient(url, token).get("/config"))
    lines = describe_changes(active["config"], json.loads(content))
    print(f"base revision {active['revision']}, {len(lines)} changes")
    for line in lines:
        print(line)


@app.command
def apply(
    file: Path,
    *,
    base: int | None = None,
    apply_id: str | None = None,
    url: Url = DEFAULT_URL,
    token: Token = "",
    output: Output = "table",
) -> None:
    """Apply a file as a whole.

    Parameters
    ----------
    file
        The file; it replaces the whole declared state.
    base
        Revision that the file was written against; the one in force by default.
        Another operator's file accepted since then makes the apply fail.
    apply_id
        Names this apply; repeating it with the same name is harmless.
    """
    content = _check(file)
    client = OperatorClient(url, token)
    if base is None:
        base = _run_call(client.get("/config"))["revision"]
    name = apply_id or f"apply-{os.urandom(10).hex()}"
    done = _run_call(client.put("/config", content, base_revision=base, apply_id=name))
    if output == "json":
        print_json(done)
        return
    print(f"accepted as revision {done['revision']}, {len(done['changes'])} changes")


@app.command
def get(
    what: Literal["config", "services", "groups", "backends", "nodes", "zones"],
    *,
    min_revision: int = 0,
    url: Url = DEFAULT_URL,
    token: Token = "",
    output: Output = "table",
) -> None:
    """Read back what is in force.

    Parameters
    ----------
    what
        What to read.
    min_revision
        Wait until at least this revision is in force on the node asked.
    """
    client = OperatorClient(url, token)
    found = _run_call(client.get(f"/{what}", min_revision=min_revision))
    if output == "json" or what == "config":
        print_json(found)
        return
    print(f"revision {found['revision']}")
    print_table(COLUMNS[what], found[what])


@app.command
def evacuate(
    zone: str, *, url: Url = DEFAULT_URL, token: Token = "", output: Output = "table"
) -> None:
    """Send no more requests to the backend servers of an availability zone.

    Streams in progress run to completion. Repeating the command is harmless.

    Parameters
    ----------
    zone
        The zone, as ``fordhatch get zones`` shows it.
    """
    _change_zone(OperatorClient(url, token), zone, "evacuated", output)


@app.command
def restore(
    zone: str, *, url: Url = DEFAULT_URL, token: Token = "", output: Output = "table"
) -> None:
    """Use the backend servers of an evacuated availability zone again.

    Parameters
    ----------
    zone
        The zone, as ``fordhatch get zones`` shows it.
    """
    _change_zone(OperatorClient(url, token), zone, "in_use", output)


def _change_zone(client: OperatorClient, zone: str, state: str, output: str) -> None:
    done = _run_call(client.put("/zones", b"", zone=zone, state=state))
    if output == "json":
        print_json(done)
        return
    print(f"zone {zone}: {state.replace('_', ' ')}, by {done['operator']}")


@app.command
def audit(
    *, url: Url = DEFAULT_URL, token: Token = "", output: Output = "table"
) -> None:
    """Show who applied what, when, on which revision, and what came of it."""
    client = OperatorClient(url, token)
    records: list[dict[str, Any]] = []
    after = ""
    while True:
        page = _run_call(client.get("/audit", after=after))
        records.extend(page["audit"])
        after = page["next"]
        if not after:
            break
    if output == "json":
        print_json(records)
        return
    rows = [{**row, "changes": len(row["changes"])} for row in records]
    rows.sort(key=lambda row: row["at_s"])
    columns = ("at_s", "operator", "base_revision", "revision", "changes", "outcome")
    print_table(columns, rows)


@app.command(name="explain")
def explain_command(
    request_id: str, logs: list[Path], *, output: Output = "table"
) -> None:
    """Show what collected logs say of a request, and where to look next.

    Parameters
    ----------
    request_id
        The id of the caller's try.
    logs
        Log files of every node.
    """
    lines: list[LogLine] = []
    for path in logs:
        lines.extend(read_lines(_read_file(path).decode(errors="replace").splitlines()))
    found = explain(request_id, lines)
    if found is None:
        print(f"fordhatch: no event of request {request_id}", file=sys.stderr)
        sys.exit(EXIT_MISTAKES)
    if output == "json":
        print_json(found.to_json())
        return
    print(f"request {request_id}: {found.outcome}")
    for title, events in (
        ("its own events", found.request_events),
        (
            "what happened to the groups and backend servers it was sent to",
            found.related,
        ),
        ("what happened to its node", found.node),
    ):
        print(f"\n{title}:")
        for line in events:
            print(f"  {line}")
    if found.advice:
        print(f"\n{found.advice}")


@app.command(name="losses")
def losses_command(
    logs: list[Path], *, output: Output = "table", plot: Path | None = None
) -> None:
    """Show which requests were lost or late: by cause, route, workspace and second.

    Parameters
    ----------
    logs
        Log files of every node.
    output
        A table for people, JSON for programs.
    plot
        A picture of the causes over time; needs the library matplotlib.
    """
    texts = (
        text
        for path in logs
        for text in _read_file(path).decode(errors="replace").splitlines()
    )
    found = find_losses(texts)
    if plot is not None:
        _plot_losses(found, plot)
    if output == "json":
        print_json(found.to_json())
        return
    print(
        f"{len(found.losses)} of {found.requests} requests lost or late; "
        f"{found.foreign_lines} lines are no events"
    )
    for name, key in TABLES.items():
        print()
        rows = [{name: value, **counts} for value, counts in found.by(key)]
        if name == "second":
            rows.sort(key=lambda row: row["second"])
        print_table((name, "refused", "failed", "late"), rows)


def _plot_losses(found: Losses, path: Path) -> None:
    try:
        from ._losses_plot import plot_losses  # noqa: PLC0415
    except ImportError as error:
        print(f"fordhatch: --plot: {error}", file=sys.stderr)
        sys.exit(EXIT_MISTAKES)
    plot_losses(found, path)


@app.command
def status(
    *,
    min_revision: int = 0,
    url: Url = DEFAULT_URL,
    token: Token = "",
    output: Output = "table",
) -> None:
    """Show on how many nodes the declared state is in force, and what serves."""
    client = OperatorClient(url, token)
    found = _run_call(client.get("/status", min_revision=min_revision))
    if output == "json":
        print_json(found)
        return
    print(
        f"revision {found['revision']} in force on {found['nodes_in_force']} of "
        f"{found['nodes_known']} nodes, {found['nodes_ready']} ready, "
        f"{'converged' if found['converged'] else 'not converged'}"
    )
    print_table(COLUMNS["services"], found["services"])


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
