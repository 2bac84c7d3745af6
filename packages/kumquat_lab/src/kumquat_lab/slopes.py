"""Measures how costs grow with the sizes that ``docs/CAPACITY.md`` uses.

Short loops over the real code, at three sizes each, measure bytes, processor
time and memory per message, host, engine, account, ticket, token and stream.
The memory of the interpreter and its libraries does not depend on any size and
is measured in separate processes.
"""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from .slope_control import control_series
from .slope_series import Series
from .slope_traffic import traffic_series

__all__ = ["run_slopes"]

_LIBRARIES = (
    "aiohttp, aiomisc, msgpack, prometheus_client, pydantic, returns, uvloop, xxhash"
)
_IMPORTS = {
    "bare interpreter": "sys",
    "asyncio": "asyncio",
    "house libraries": _LIBRARIES,
    "entry host": "kumquatrouter.entry_host",
    "entry host and command line": "kumquatrouter.main",
}
_REPORT_RSS = (
    "import {modules}\n"
    "status = open('/proc/self/status').read()\n"
    "print(status.split('VmRSS:')[1].split()[0])\n"
)
KIB = 1024


def run_slopes(seed: int, json_file: Path | None) -> None:
    """Run all measurements, print tables, and write JSON to a file if set."""
    series = [*control_series(seed), *traffic_series()]
    imports = {name: _resident_bytes(modules) for name, modules in _IMPORTS.items()}
    _print_series(series)
    _print_imports(imports)
    if json_file is not None:
        document: dict[str, Any] = {
            "seed": seed,
            "series": [item.to_document() for item in series],
            "resident_bytes_after_import": imports,
        }
        json_file.write_text(json.dumps(document, indent=2) + "\n")


def _resident_bytes(modules: str) -> int:
    """Return the resident memory of a process that imports modules."""
    program = _REPORT_RSS.format(modules=modules)
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return int(result.stdout) * KIB


def _print_series(series: list[Series]) -> None:
    table = Table(title="Slopes", title_justify="left")
    for column in ("what", "by", "unit"):
        table.add_column(column)
    for column in ("sizes", "values", "slope", "base"):
        table.add_column(column, justify="right")
    for item in series:
        table.add_row(
            item.name,
            item.size_name,
            item.unit,
            " ".join(f"{x:g}" for x, _ in item.points),
            " ".join(f"{y:,.1f}" for _, y in item.points),
            f"{item.slope:,.4f}",
            f"{item.base:,.1f}",
        )
    Console(width=150).print(table)


def _print_imports(imports: dict[str, int]) -> None:
    table = Table(title="Resident memory after import", title_justify="left")
    table.add_column("process")
    table.add_column("MB", justify="right")
    for name, size in imports.items():
        table.add_row(name, f"{size / 1e6:.1f}")
    Console(width=150).print(table)
