"""``fordhatchd``: the daemon that every entry instance runs."""

from __future__ import annotations

import sys
from pathlib import Path

from cyclopts import App

from fordhatch.config import SETTINGS_SCHEMA, Settings, schema_text
from fordhatch.node import run_logged, run_on_platform

from ._daemon import Daemon

app = App(name="fordhatchd", help="Serve callers in front of replica groups.")

EXIT_BAD_SETTINGS = 2
"""Exit status where the settings have mistakes."""


@app.default
def run(settings: Path) -> None:
    """Run a node until it is told to stop with SIGTERM.

    Parameters
    ----------
    settings
        File with the node's settings, in JSON.
    """
    try:
        content = settings.read_bytes()
    except OSError as error:
        print(f"fordhatchd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    read = Settings.from_json(content)
    if read.is_err():
        for mistake in read.unwrap_err():
            print(f"fordhatchd: {settings}: {mistake}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    checked = read.unwrap()

    async def life() -> None:
        await Daemon.from_settings(checked).run()

    run_logged(checked.node_name, life)


@app.command
def on_platform() -> None:
    """Run a node with the settings file that the platform names."""
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
