"""Output of the commands: tables, JSON, errors and exit statuses.

The exit status is 0 on success, 2 for wrong usage, 3 when some hosts did not
respond or are not ready yet, and otherwise the first two digits of the result
code: 11 bad input, 12 refused before it ran, 13 failed after it may have run,
14 tickets, 15 peer protocol, 16 settings.
"""

import json
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from typing import Any, NoReturn

import typer
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from kumquat_core.result_codes import ResultCode, RouterError, spec_of
from kumquat_core.ticket_checks import FieldError

__all__ = [
    "EXIT_INCOMPLETE",
    "console",
    "exit_status_of",
    "fail",
    "fail_with_errors",
    "print_json",
    "print_table",
]

EXIT_INCOMPLETE = 3

_HINTS_BY_CODE = {
    ResultCode.STORE_UNAVAILABLE: (
        "A platform service did not respond; check the URLs in the tool's settings. "
        "Every command is safe to repeat, also `apply` with the same file."
    ),
    ResultCode.TICKET_CONFLICT: (
        "Another ticket has this number. `kumquatctl history` shows it; give "
        "the ticket a higher number and run `kumquatctl diff` again."
    ),
    ResultCode.TICKET_SUPERSEDED: (
        "Everything in this ticket was already set by tickets of higher numbers. "
        "`kumquatctl plan` shows the next free number."
    ),
    ResultCode.TICKET_INVALID: "Correct the fields above; nothing was sent.",
    ResultCode.SETTINGS_INVALID: (
        "Give the tool's settings file by --settings FILE or the environment "
        "variable KUMQUATCTL_SETTINGS; docs/configuration.md describes it."
    ),
}


def console(*, stderr: bool = False) -> Console:
    """Return a console on the current standard streams."""
    return Console(stderr=stderr, highlight=False, soft_wrap=True)


def exit_status_of(code: ResultCode) -> int:
    """Return the exit status of a result code: its first two digits."""
    return code.value // 100


def print_json(document: Any) -> None:
    """Print a JSON document on standard output."""
    typer.echo(json.dumps(document, indent=2, default=str))


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print a table; markup in cells is shown literally."""
    table = Table(title=title, title_justify="left", show_lines=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(escape(str(cell)) for cell in row))
    Console(highlight=False).print(table)


def fail(error: RouterError, *, as_json: bool) -> NoReturn:
    """Print an error and exit with the status of its code."""
    _fail(error.code, error.detail, (), as_json)


def fail_with_errors(
    code: ResultCode, detail: str, errors: Sequence[FieldError], *, as_json: bool
) -> NoReturn:
    """Print all errors of a document and exit with the status of the code."""
    _fail(code, detail, errors, as_json)


def _fail(
    code: ResultCode, detail: str, errors: Sequence[FieldError], as_json: bool
) -> NoReturn:
    message = spec_of(code).text
    if as_json:
        document = {
            "code": code.value,
            "name": code.name,
            "message": message,
            "detail": detail,
            "errors": [asdict(error) for error in errors],
        }
        print_json({"error": document})
        raise typer.Exit(exit_status_of(code))
    screen = console(stderr=True)
    screen.print(f"[bold red]error {code.value}[/] {code.name}: {escape(message)}")
    if detail:
        screen.print(f"  {escape(detail)}")
    for error in errors:
        screen.print(f"  [bold]{escape(error.path)}[/]")
        screen.print(f"    found     {escape(error.value)}")
        screen.print(f"    expected  {escape(error.expected)}")
    hint = _HINTS_BY_CODE.get(code)
    if hint:
        screen.print(f"  {hint}")
    raise typer.Exit(exit_status_of(code))
