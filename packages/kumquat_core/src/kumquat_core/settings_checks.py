"""Checks of a settings file that report every error at once.

``load_options`` reads the key file only if the settings are valid; this check
reports the errors of both files.
"""

import json
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from .settings import SettingsModel
from .ticket_checks import HIDDEN, FieldError, field_errors

__all__ = ["check_settings"]

# A shorter key can be guessed from a recorded handshake.
MIN_PEER_KEY_BYTES = 16


def check_settings(path: Path) -> list[FieldError]:
    """Return all errors of a settings file and of its peer key file."""
    try:
        document = json.loads(path.read_text())
    except OSError as error:
        return [FieldError(str(path), str(error.strerror), "a readable JSON file")]
    except ValueError as error:
        return [FieldError(str(path), "other text", f"JSON; {error}")]
    errors: list[FieldError] = []
    try:
        SettingsModel.model_validate(document)
    except ValidationError as error:
        errors.extend(field_errors(error, SettingsModel))
    return errors + _key_errors(path.parent, document)


def _key_errors(folder: Path, document: Any) -> list[FieldError]:
    """Return the errors of the peer key file, if the settings name one."""
    name = document.get("peer_key_file") if isinstance(document, dict) else None
    if not isinstance(name, str):
        return []
    try:
        key = (folder / name).read_bytes().strip()
    except OSError as error:
        found = f"{name}: {error.strerror}"
        return [FieldError("peer_key_file", found, "a readable file with the key")]
    if len(key) < MIN_PEER_KEY_BYTES:
        expected = f"a key of at least {MIN_PEER_KEY_BYTES} bytes"
        return [FieldError("peer_key_file", HIDDEN, expected)]
    return []
