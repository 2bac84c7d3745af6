"""Validation of the bodies and headers of callers' requests."""

from collections.abc import Mapping
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from kumquat_core.result_codes import ResultCode, RouterError

__all__ = [
    "DEFAULT_MAX_TOKENS",
    "CompletionModel",
    "parse_completion",
    "parse_deadline_ms",
]

DEFAULT_MAX_TOKENS = 256
MAX_ERRORS_SHOWN = 5
MAX_DEADLINE_MS = 24 * 3600 * 1000


class CompletionModel(BaseModel):
    """Body of ``POST /v1/completions``; unknown fields are ignored.

    ``user``, ``temperature`` and other fields of the published API have no
    effect in the router.
    """

    model_config = ConfigDict(extra="ignore", strict=True)

    model: Annotated[str, Field(min_length=1, max_length=128)]
    prompt: Annotated[str, Field(min_length=1)]
    max_tokens: Annotated[int, Field(gt=0)] | None = None
    stream: bool = False


def parse_completion(body: bytes) -> CompletionModel:
    """Return the validated body.

    Raises ``RouterError`` with ``MALFORMED_BODY`` or ``INVALID_FIELD``; the
    detail names the fields but contains no values, which may be prompt text.
    """
    try:
        return CompletionModel.model_validate_json(body)
    except ValidationError as error:
        items = error.errors(include_url=False, include_input=False)
        if items[0]["type"] == "json_invalid":
            raise RouterError(ResultCode.MALFORMED_BODY, items[0]["msg"]) from None
        lines = [
            f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
            for item in items[:MAX_ERRORS_SHOWN]
        ]
        raise RouterError(ResultCode.INVALID_FIELD, "; ".join(lines)) from None


def parse_deadline_ms(headers: Mapping[str, str]) -> int | None:
    """Return the value of ``X-Deadline-Ms`` in milliseconds, or None.

    Raises ``RouterError`` with ``INVALID_FIELD``.
    """
    text = headers.get("X-Deadline-Ms")
    if text is None:
        return None
    if (
        not text.isascii()
        or not text.isdigit()
        or len(text) > len(str(MAX_DEADLINE_MS))
    ):
        raise RouterError(ResultCode.INVALID_FIELD, "X-Deadline-Ms: not a number")
    value = int(text)
    if not 0 < value <= MAX_DEADLINE_MS:
        raise RouterError(ResultCode.INVALID_FIELD, "X-Deadline-Ms: out of range")
    return value
