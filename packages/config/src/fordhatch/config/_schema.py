"""Validation of JSON documents against the committed schemas.

All mistakes of a document are reported at once.
"""

from __future__ import annotations

import json
from functools import cache
from importlib import resources

import attrs
import jsonschema
from result import Err, Ok, Result

from fordhatch.core import ResultCode

OPERATORS_SCHEMA = "operators.schema.json"
"""Schema of the operators' files."""

SETTINGS_SCHEMA = "settings.schema.json"
"""Schema of the node settings."""

_CODE_BY_KEYWORD = {
    "additionalProperties": ResultCode.SETTING_UNKNOWN,
    "required": ResultCode.SETTING_MISSING,
}


@attrs.frozen
class Mistake:
    """One mistake in a JSON document."""

    path: str
    """JSON path of the mistake, such as ``$.services[2].groups``."""
    code: ResultCode
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message} (code {int(self.code)})"

    def to_json(self) -> dict[str, object]:
        """Return the mistake in the form used in error bodies."""
        return {"path": self.path, "code": int(self.code), "message": self.message}


@cache
def schema_text(name: str) -> str:
    """Return a committed schema as text."""
    return resources.files("fordhatch.config").joinpath(name).read_text()


@cache
def _validator(name: str) -> jsonschema.protocols.Validator:
    return jsonschema.Draft202012Validator(json.loads(schema_text(name)))


def parse_document(content: bytes, schema: str) -> Result[dict, list[Mistake]]:
    """Parse JSON and check it against a schema.

    Args:
        content: The bytes of the file.
        schema: Name of the schema.

    Returns:
        The document, or all mistakes in path order.
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        return Err([Mistake("$", ResultCode.SETTINGS_UNREADABLE, str(error))])
    errors = sorted(
        _validator(schema).iter_errors(document), key=lambda e: [*map(str, e.path)]
    )
    if errors:
        return Err([_to_mistake(error) for error in errors])
    return Ok(document)


def _to_mistake(error: jsonschema.ValidationError) -> Mistake:
    code = _CODE_BY_KEYWORD.get(error.validator, ResultCode.SETTING_INVALID)
    return Mistake(error.json_path, code, error.message)
