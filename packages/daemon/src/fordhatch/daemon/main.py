"""``fordhatchd``: the daemon that every entry instance runs."""

from __future__ import annotations

import sys
from pathlib import Path

from cyclopts import App

from fordhatch.config import SETTINGS_SCHEMA, Settings, schema_text
from fordhatch.node import ProcessEnd, run_logged, run_on_platform

from ._daemon import Daemon

app = App(name="fordhatchd", help="Serve callers in front of replica groups.")

EXIT_BAD_SETTINGS = 2
"""Exit status if the settings can't be read or are invalid."""


@app.default
def run(settings: Path) -> None:
    """Run a node until it receives SIGTERM.

    Parameters
    ----------
    settings
        JSON file with the node's settings.
    """
    try:
        content = settings.read_bytes()
    except OSError as error:
        print(f"fordhatchd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    parsed = Settings.from_json(content)
    if parsed.is_err():
        for problem in parsed.unwrap_err():
            print(f"fordhatchd: {settings}: {problem}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    valid_settings = parsed.unwrap()

    async def serve(end: ProcessEnd) -> None:
        await Daemon.from_settings(valid_settings).run(end)

    run_logged(valid_settings.node_name, serve)


@app.command
def on_platform() -> None:
    """Run a node with the settings file that the platform specifies."""
    run_on_platform()


@app.command
def schema() -> None:
    """Print the JSON Schema of the settings."""
    print(schema_text(SETTINGS_SCHEMA))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
