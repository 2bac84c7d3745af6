"""Settings of the operator tool, read from a JSON file.

The option ``--settings`` or the environment variable names the file. It
contains the addresses of the platform's services and of the entry hosts'
admin listeners, and no secrets.
"""

import json
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from kumquat_core.ticket_checks import FieldError, field_errors

__all__ = ["ENVIRONMENT_VARIABLE", "ToolSettings", "load_tool_settings"]

ENVIRONMENT_VARIABLE = "KUMQUATCTL_SETTINGS"

Url = Annotated[str, Field(pattern=r"^https?://[^/]+")]
Seconds = Annotated[float, Field(gt=0)]


class ToolSettings(BaseModel):
    """Addresses and timeout of the operator tool.

    The admin URL of a host is its entry in ``admin_urls_by_host``; without an
    entry, its address in the host list with ``admin_port``.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    table_service_url: Url
    object_store_url: Url
    host_list_url: Url
    admin_port: Annotated[int, Field(ge=1, le=65535)] | None = None
    admin_urls_by_host: dict[str, Url] = Field(default_factory=dict)
    timeout_s: Seconds = 2.0


def load_tool_settings(
    path: Path,
) -> Result[ToolSettings, tuple[FieldError, ...]]:
    """Return the settings from a file, or all errors in it."""
    try:
        return Success(ToolSettings.model_validate(json.loads(path.read_text())))
    except OSError as error:
        return Failure(
            (FieldError(str(path), str(error.strerror), "a readable JSON file"),)
        )
    except ValidationError as error:
        return Failure(tuple(field_errors(error, ToolSettings)))
    except ValueError as error:
        return Failure((FieldError(str(path), "other text", f"JSON; {error}"),))
