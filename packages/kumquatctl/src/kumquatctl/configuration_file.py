"""Reads configuration documents with the parser of the hosts' platform.

The format of the documents belongs to the platform, whose adapter is no
dependency of this tool. So the parser is named and imported when it is needed,
and the tool reads exactly what the hosts read.
"""

import importlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_relay.routes import RouteTable

__all__ = [
    "DEFAULT_PARSER",
    "PARSER_VARIABLE",
    "find_parser",
    "read_configuration",
]

PARSER_VARIABLE = "KUMQUATCTL_CONFIGURATION_PARSER"
DEFAULT_PARSER = "kumquat_platform.documents:parse_configuration"

Parser = Callable[[bytes], RouteTable]


def find_parser(name: str) -> Parser:
    """Import the function that ``MODULE:FUNCTION`` names.

    Raises ``RouterError`` with ``SETTINGS_INVALID`` if there is none.
    """
    module, _, function = name.partition(":")
    try:
        parser: Any = getattr(importlib.import_module(module), function)
    except (ImportError, AttributeError, ValueError) as error:
        detail = f"no parser {name}: {error}; put its directory on PYTHONPATH"
        raise RouterError(ResultCode.SETTINGS_INVALID, detail) from error

    def parse(data: bytes) -> RouteTable:
        table = parser(data)
        if not isinstance(table, RouteTable):
            raise RouterError(ResultCode.SETTINGS_INVALID, f"no parser: {name}")
        return table

    return parse


def read_configuration(path: Path, parse: Parser) -> RouteTable:
    """Return the configuration in a file.

    Raises ``RouterError`` with ``INVALID_FIELD`` if hosts would reject it.
    """
    try:
        return parse(path.read_bytes())
    except (OSError, ValueError) as error:
        raise RouterError(ResultCode.INVALID_FIELD, f"{path}: {error}") from error
