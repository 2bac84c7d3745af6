"""Validation of a ticket that reports all errors at once.

``ObjectModel`` checks the state of an object only when its other fields are
valid, and the errors lack ``state`` in their path. This module validates the
envelope and each state separately and reports each error with its path, the
value found and the expected form.
"""

import difflib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from .configuration import Configuration
from .ticket_models import STATE_MODELS_BY_KIND, ObjectModel, TicketModel

__all__ = [
    "FieldError",
    "check_ticket",
    "check_ticket_text",
    "field_errors",
    "missing_references",
]

MAX_VALUE_CHARACTERS = 80
HIDDEN = "(hidden)"
MISSING = "(missing)"

# An API key pasted in place of its hash must not appear in terminal logs.
SECRET_FIELDS = ("api_key", "peer_key")

_DESCRIPTIONS_BY_PATTERN = {
    r"^[\w.@*-]+$": "a name of letters, digits and . _ @ * -",
    r"^[\w-]+$": "a name of letters, digits, _ and -",
    r"^[0-9a-f]{64}$": "64 hexadecimal digits, as `kumquatctl hash-key` prints them",
    r"^https?://": "a URL that begins with http:// or https://",
    r"^https?://[^/]+": "a URL that begins with http:// or https:// and a host",
    r"^[0-9a-fA-F.:]+$": "an IP address",
}


@dataclass(frozen=True)
class FieldError:
    """One error of a document: its path, the value found, what is expected."""

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.expected} (got {self.value})"


def check_ticket_text(text: str) -> Result[TicketModel, tuple[FieldError, ...]]:
    """Return the ticket of a JSON text, or all errors in it."""
    try:
        document = json.loads(text)
    except json.JSONDecodeError as error:
        path = f"line {error.lineno}, column {error.colno}"
        found = _shorten(text[error.pos : error.pos + 20] or "end of file")
        return Failure((FieldError(path, found, f"JSON; {error.msg}"),))
    except (ValueError, RecursionError) as error:
        # Numbers of thousands of digits, and nesting without end.
        found = _shorten(text[:MAX_VALUE_CHARACTERS])
        return Failure((FieldError("(ticket)", found, f"JSON; {error}"),))
    return check_ticket(document)


def check_ticket(document: Any) -> Result[TicketModel, tuple[FieldError, ...]]:
    """Return the ticket of a decoded JSON document, or all errors in it."""
    if not isinstance(document, dict):
        expected = 'an object {"number", "author", "objects"}'
        return Failure((FieldError("(ticket)", _shorten(document), expected),))
    items = document.get("objects")
    objects = items if isinstance(items, list) else []
    errors = [
        *_envelope_errors(document, objects),
        *_state_errors(objects),
        *_duplicate_errors(objects),
    ]
    if errors:
        return Failure(tuple(errors))
    return Success(TicketModel.model_validate(document))


def _envelope_errors(document: dict[str, Any], objects: list[Any]) -> list[FieldError]:
    """Validate the ticket with all states replaced by null."""
    envelope = dict(document)
    if objects:
        envelope["objects"] = [_clear_state(item) for item in objects]
    try:
        TicketModel.model_validate(envelope)
    except ValidationError as error:
        found = field_errors(error, TicketModel)
        return [item for item in found if not _is_secondary_error(item, objects)]
    return []


def _is_secondary_error(error: FieldError, objects: list[Any]) -> bool:
    """Return whether an error only results from another reported error.

    Pydantic counts only valid objects for the minimum number of objects, and
    ``_duplicate_errors`` reports duplicates with their path.
    """
    return error.path == "(file)" or (error.path == "objects" and bool(objects))


def _clear_state(item: Any) -> Any:
    if isinstance(item, dict) and isinstance(item.get("state"), dict):
        return {**item, "state": None}
    return item


def _state_errors(objects: list[Any]) -> list[FieldError]:
    """Validate the state of each object by its kind."""
    errors: list[FieldError] = []
    for index, item in enumerate(objects):
        if not isinstance(item, dict) or not isinstance(item.get("state"), dict):
            continue
        state_model = STATE_MODELS_BY_KIND.get(str(item.get("kind")))
        if state_model is None:
            continue
        try:
            state_model.model_validate(item["state"])
        except ValidationError as error:
            prefix = f"objects[{index}].state"
            errors.extend(field_errors(error, state_model, prefix))
    return errors


def _duplicate_errors(objects: list[Any]) -> list[FieldError]:
    """Return an error for each object that occurs a second time."""
    errors = []
    first_index_by_key: dict[tuple[str, str], int] = {}
    for index, item in enumerate(objects):
        if not isinstance(item, dict):
            continue
        key = (str(item.get("kind")), str(item.get("name")))
        first = first_index_by_key.setdefault(key, index)
        if first != index:
            expected = f"each object once; objects[{first}] is the same one"
            errors.append(FieldError(f"objects[{index}]", "/".join(key), expected))
    return errors


def field_errors(
    error: ValidationError, model: type[BaseModel], prefix: str = ""
) -> list[FieldError]:
    """Convert a validation error; the paths are relative to ``prefix``."""
    return [
        _field_error(item, model, prefix) for item in error.errors(include_url=False)
    ]


def _field_error(item: Any, model: type[BaseModel], prefix: str) -> FieldError:
    path = _path_of(item["loc"], prefix)
    if any(secret in path for secret in SECRET_FIELDS):
        value = HIDDEN
    elif item["type"] == "missing":
        value = MISSING
    else:
        value = _shorten(item["input"])
    expected = str(item["msg"])
    if item["type"] == "extra_forbidden":
        expected = _unknown_field(str(item["loc"][-1]), item["loc"], model)
    elif item["type"] == "string_pattern_mismatch":
        expected = _DESCRIPTIONS_BY_PATTERN.get(item["ctx"]["pattern"], expected)
    return FieldError(path, value, expected)


def _unknown_field(name: str, loc: tuple[Any, ...], model: type[BaseModel]) -> str:
    known = list(_model_at(model, loc[:-1]).model_fields)
    close_matches = difflib.get_close_matches(name, known, n=1)
    if close_matches:
        return f"no such field; did you mean {close_matches[0]}?"
    return "no such field; known fields: " + ", ".join(known)


def _model_at(model: type[BaseModel], loc: Iterable[Any]) -> type[BaseModel]:
    """Return the model of the nested object at a path."""
    for part in loc:
        if part == "objects":
            return ObjectModel
        field = model.model_fields.get(str(part))
        if field is not None and isinstance(field.annotation, type):
            model = field.annotation
    return model


def _path_of(loc: Iterable[Any], prefix: str) -> str:
    """Return a Pydantic location as a path like ``objects[0].state.url``."""
    path = prefix
    for part in loc:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else str(part)
    return path or "(file)"


def _shorten(value: Any) -> str:
    text = json.dumps(value, default=str)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."


def missing_references(configuration: Configuration) -> list[str]:
    """Return a line for each reference to an object that does not exist.

    Such a state is accepted because tickets may arrive in any order, but the
    affected objects receive no work until the reference can be resolved.
    """
    lines: list[str] = []

    def check_reference(
        referrer: str, kind: str, name: str, known: Mapping[str, Any]
    ) -> None:
        if name and name not in known:
            lines.append(f"{referrer} refers to {kind}/{name}, which does not exist")

    for pool in configuration.pools_by_name.values():
        for model in pool.models:
            check_reference(
                f"pool/{pool.name}", "model", model, configuration.models_by_name
            )
    for engine in configuration.engines_by_id.values():
        referrer = f"engine/{engine.id}"
        check_reference(referrer, "pool", engine.pool, configuration.pools_by_name)
        for model in engine.models:
            check_reference(referrer, "model", model, configuration.models_by_name)
    for server in configuration.backend_servers_by_id.values():
        referrer = f"backend_server/{server.id}"
        check_reference(
            referrer, "service", server.service, configuration.services_by_name
        )
    for tenant in configuration.tenants_by_name.values():
        referrer = f"tenant/{tenant.name}"
        check_reference(
            referrer, "class", tenant.default_class, configuration.classes_by_name
        )
    for rule in configuration.rules_by_name.values():
        referrer = f"rule/{rule.name}"
        if rule.tenant != "*":
            check_reference(
                referrer, "tenant", rule.tenant, configuration.tenants_by_name
            )
        check_reference(
            referrer, "service", rule.service, configuration.services_by_name
        )
        check_reference(referrer, "model", rule.model, configuration.models_by_name)
        check_reference(referrer, "pool", rule.pool, configuration.pools_by_name)
    return lines
