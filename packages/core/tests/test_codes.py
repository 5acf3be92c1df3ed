from __future__ import annotations

from pathlib import Path

import pytest

from fordhatch.core import CODE_TABLE, Failure, Ran, ResultCode, code_table_markdown

DOCS = Path(__file__).parents[3] / "docs"


def test_every_code_has_a_row() -> None:
    assert set(CODE_TABLE) == set(ResultCode)


def test_docs_contain_the_code_table() -> None:
    assert code_table_markdown() in (DOCS / "RESULT-CODES.md").read_text()


@pytest.mark.parametrize("code", [c for c in ResultCode if c is not ResultCode.OK])
def test_failure_body_contains_code_and_ran(code: ResultCode) -> None:
    body = Failure.from_code(code).to_json()["error"]
    assert body["code"] == int(code)
    assert body["ran"] in {Ran.NO, Ran.MAYBE}
