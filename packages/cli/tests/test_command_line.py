"""The operators' commands, run as processes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

EXAMPLES = Path(__file__).parents[3] / "examples"
FORDHATCH = Path(sys.executable).parent / "fordhatch"


def run(*args: str, text: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [FORDHATCH, *args], input=text, capture_output=True, text=True, check=False
    )


@pytest.mark.parametrize("name", ["pruitt.json", "heredia.json"])
def test_examples_validate(name: str) -> None:
    done = run("validate", str(EXAMPLES / name))
    assert done.returncode == 0
    assert "valid" in done.stdout


def test_validate_reports_all_mistakes(tmp_path: Path) -> None:
    document = json.loads((EXAMPLES / "pruitt.json").read_text())
    document["surprise"] = 1
    document["model_services"][0]["groups"] = "many"
    del document["workspaces"][1]["api_keys"]
    path = tmp_path / "bad.json"
    path.write_text(json.dumps(document))
    done = run("validate", str(path))
    assert done.returncode == 1
    for place in ("surprise", "$.model_services[0].groups", "$.workspaces[1]"):
        assert place in done.stderr
    assert len(done.stderr.strip().splitlines()) == 3


def test_missing_file_and_unreachable_node_have_their_exit_status() -> None:
    assert run("validate", "no-such-file.json").returncode == 1
    done = run("get", "groups", "--url", "http://127.0.0.1:1")
    assert done.returncode == 4
    assert "ran=no" in done.stderr


def test_schema_is_json_and_hash_key_prints_the_form_used_in_files() -> None:
    assert json.loads(run("schema").stdout)["title"]
    hashed = run("hash-key", text="savannah-depot-example-key\n").stdout.strip()
    assert hashed in (EXAMPLES / "pruitt.json").read_text()


def test_help_shows_examples() -> None:
    assert "fordhatch apply examples/pruitt.json" in run("--help").stdout
