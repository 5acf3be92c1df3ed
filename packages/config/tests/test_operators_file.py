"""Validation of operators' files and description of changes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from fordhatch.config import OperatorsFile, describe_changes
from fordhatch.core import ResultCode

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["pruitt.json", "heredia.json"])
def test_examples_are_valid_and_have_the_current_size(name: str) -> None:
    declared = OperatorsFile.from_json((EXAMPLES / name).read_bytes()).unwrap()
    service = declared.model_services[0]
    assert 45 <= service.groups * service.group_size <= 50
    assert declared.plain_services[0].max_connections > 0
    assert len(declared.workspaces) == 10


def test_all_mistakes_are_reported() -> None:
    document = json.loads((EXAMPLES / "pruitt.json").read_text())
    document["surprise"] = 1
    del document["models"][0]["versions"]
    document["model_services"][0]["groups"] = -1
    mistakes = OperatorsFile.from_json(json.dumps(document).encode()).unwrap_err()
    found = {(m.path, m.code) for m in mistakes}
    assert found == {
        ("$", ResultCode.SETTING_UNKNOWN),
        ("$.models[0]", ResultCode.SETTING_MISSING),
        ("$.model_services[0].groups", ResultCode.SETTING_INVALID),
    }


def test_all_unresolved_references_are_reported() -> None:
    document = json.loads((EXAMPLES / "pruitt.json").read_text())
    document["model_services"][0]["version"] = "no-such"
    document["model_services"][0]["accelerator"] = "no-such"
    document["applications"][2]["service"] = "no-such"
    document["workspaces"][0]["applications"].append("no-such")
    mistakes = OperatorsFile.from_json(json.dumps(document).encode()).unwrap_err()
    assert [m.path for m in mistakes] == [
        "$.model_services[0].version",
        "$.model_services[0].accelerator",
        "$.applications[2].service",
        "$.workspaces[0].applications",
    ]


def test_a_service_needs_an_accelerator_that_runs_its_model() -> None:
    document = json.loads((EXAMPLES / "pruitt.json").read_text())
    document["accelerators"][0]["models"][0]["model"] = "another"
    mistakes = OperatorsFile.from_json(json.dumps(document).encode()).unwrap_err()
    assert [m.path for m in mistakes] == ["$.model_services[0].accelerator"]


def test_a_file_of_the_previous_format_is_refused() -> None:
    document = json.loads((EXAMPLES / "pruitt.json").read_text())
    document["format"] = 1
    mistakes = OperatorsFile.from_json(json.dumps(document).encode()).unwrap_err()
    assert [m.path for m in mistakes] == ["$.format"]


def test_changes_match_named_entries_in_any_order() -> None:
    old = {"services": [{"name": "a", "groups": 1}, {"name": "b", "groups": 2}]}
    new = {"services": [{"name": "b", "groups": 3}, {"name": "a", "groups": 1}]}
    assert describe_changes(old, new) == ["$.services[b].groups: 2 -> 3"]
