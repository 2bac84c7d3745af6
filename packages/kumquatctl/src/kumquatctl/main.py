"""Command line of the operator tool: commands, options and settings."""

import asyncio
import getpass
import hashlib
import sys
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
from returns.result import Failure

from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.ticket_checks import check_ticket_text
from kumquat_core.ticket_models import TicketModel

from . import (
    apply_command,
    host_commands,
    relay_commands,
    request_commands,
    ticket_commands,
)
from .log_lines import LogLine, read_lines
from .log_timeline import select_lines, show_timeline
from .output import fail, fail_with_errors, print_json
from .platform_access import Platform, open_platform
from .tool_settings import ENVIRONMENT_VARIABLE, ToolSettings, load_tool_settings

__all__ = ["ToolContext", "app"]

Value = TypeVar("Value")

app = typer.Typer(
    name="kumquatctl",
    no_args_is_help=True,
    rich_markup_mode="rich",
    pretty_exceptions_show_locals=False,
    help=(
        "Operate kumquatrouter: change its configuration by tickets, inspect "
        "hosts and requests, drain hosts.\n\n"
        "Exit status: 0 success, 2 wrong usage, 3 some hosts did not respond or "
        "are not ready yet, otherwise the first two digits of the result code "
        "(12 refused, 14 ticket, 16 settings)."
    ),
)

app.add_typer(relay_commands.app)

Connect = Callable[[ToolSettings], AbstractAsyncContextManager[Platform]]


@dataclass(frozen=True)
class ToolContext:
    """Settings path and client factory; tests replace ``connect``."""

    settings_path: Path | None
    connect: Connect = open_platform


JsonOption = Annotated[
    bool, typer.Option("--json", help="Print one JSON document instead of a table.")
]
TicketFile = Annotated[
    str, typer.Argument(metavar="FILE", help="Ticket file in JSON; - reads stdin.")
]


@app.callback()
def configure(
    context: typer.Context,
    settings: Annotated[
        Path | None,
        typer.Option(
            "--settings",
            "-s",
            envvar=ENVIRONMENT_VARIABLE,
            help="Settings of this tool (JSON).",
        ),
    ] = None,
) -> None:
    """Store the options that precede the command."""
    if context.obj is None:
        context.obj = ToolContext(settings)


@app.command()
def validate(ticket_file: TicketFile, as_json: JsonOption = False) -> None:
    """Validate a ticket file without any connection; report every error."""
    ticket = _read_ticket(ticket_file, as_json)
    ticket_commands.show_valid(ticket, as_json)


@app.command()
def diff(
    context: typer.Context, ticket_file: TicketFile, as_json: JsonOption = False
) -> None:
    """Show which fields a ticket would change, before and after."""
    ticket = _read_ticket(ticket_file, as_json)
    _run(context, as_json, lambda p: ticket_commands.diff(p, ticket, as_json))


@app.command()
def plan(
    context: typer.Context, ticket_file: TicketFile, as_json: JsonOption = False
) -> None:
    """Show whether a ticket would be accepted and what it would change."""
    ticket = _read_ticket(ticket_file, as_json)
    _run(context, as_json, lambda p: ticket_commands.plan(p, ticket, as_json))


@app.command()
def apply(
    context: typer.Context,
    ticket_file: TicketFile,
    wait: Annotated[
        bool,
        typer.Option("--wait", help="Wait until every live host has applied it."),
    ] = False,
    wait_limit_s: Annotated[
        float,
        typer.Option("--wait-limit", help="Longest wait in seconds.", min=0),
    ] = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Apply a ticket. Applying the same file again changes nothing."""
    ticket = _read_ticket(ticket_file, as_json)
    limit_s = wait_limit_s if wait else None
    _run(
        context,
        as_json,
        lambda p: apply_command.apply(p, ticket, limit_s, as_json),
    )


@app.command()
def history(
    context: typer.Context,
    limit: Annotated[int, typer.Option(help="Newest tickets to show.", min=1)] = 20,
    name: Annotated[
        str, typer.Option("--object", help="Only tickets that touch KIND/NAME.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """List accepted tickets, the newest first."""
    _run(context, as_json, lambda p: ticket_commands.history(p, limit, name, as_json))


@app.command()
def status(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show all live hosts: readiness, ticket position, requests, store."""
    _run(context, as_json, lambda p: host_commands.status(p, as_json))


@app.command()
def explain(
    context: typer.Context,
    request_id: Annotated[
        str, typer.Argument(help="From the X-Request-Id header of a response.")
    ],
    logs: Annotated[
        list[str] | None,
        typer.Option(
            "--log",
            "-l",
            metavar="FILE",
            help=(
                "Read log files of hosts instead of querying hosts; - reads stdin. "
                "Repeat the option for each file."
            ),
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show each decision about a request and the inputs it was based on."""
    if logs:
        _explain_from_logs(request_id, logs, as_json)
        return
    _run(context, as_json, lambda p: host_commands.explain(p, request_id, as_json))


@app.command("requests")
def show_request(
    context: typer.Context,
    tenant: Annotated[str, typer.Argument(help="Tenant, for example madafu.")],
    service: Annotated[str, typer.Argument(help="Plain service, for example orders.")],
    key: Annotated[
        str,
        typer.Argument(
            help="The caller's Idempotency-Key, or the request id if it sent none."
        ),
    ],
    as_json: JsonOption = False,
) -> None:
    """Show the recorded outcome of a non-repeatable request."""
    _run(
        context,
        as_json,
        lambda p: request_commands.show(p, tenant, service, key, as_json),
    )


HostArgument = Annotated[str, typer.Argument(help="Host id, as `status` shows it.")]


@app.command()
def drain(
    context: typer.Context, host_id: HostArgument, as_json: JsonOption = False
) -> None:
    """Make a host not ready; requests in progress run to their end."""
    _run(context, as_json, lambda p: host_commands.drain(p, host_id, True, as_json))


@app.command()
def undrain(
    context: typer.Context, host_id: HostArgument, as_json: JsonOption = False
) -> None:
    """Let a drained host accept new requests again."""
    _run(context, as_json, lambda p: host_commands.drain(p, host_id, False, as_json))


@app.command("hash-key")
def hash_key(as_json: JsonOption = False) -> None:
    """Print the SHA-256 of an API key read from standard input.

    The hash goes into the field [bold]api_key_sha256[/] of a tenant. The key
    itself is neither printed nor stored.
    """
    if sys.stdin.isatty():
        key = getpass.getpass("API key: ")
    else:
        key = sys.stdin.read().rstrip("\r\n")
    if not key:
        detail = "no key on standard input; try: printf %s KEY | kumquatctl hash-key"
        fail(RouterError(ResultCode.INVALID_FIELD, detail), as_json=as_json)
    digest = hashlib.sha256(key.encode()).hexdigest()
    if as_json:
        print_json({"api_key_sha256": digest})
    else:
        typer.echo(digest)


def _explain_from_logs(request_id: str, logs: list[str], as_json: bool) -> None:
    """Print the timeline of a request from log files of all hosts."""
    lines: list[LogLine] = []
    for name in logs:
        try:
            text = sys.stdin.read() if name == "-" else Path(name).read_text()
        except (OSError, UnicodeDecodeError) as error:
            detail = f"cannot read {name}: {error}"
            fail(RouterError(ResultCode.INVALID_FIELD, detail), as_json=as_json)
        lines += read_lines(text.splitlines(), Path(name).stem)
    found = select_lines(request_id, lines)
    if not found:
        detail = f"none of {len(lines)} log lines names request {request_id}"
        fail(RouterError(ResultCode.INVALID_FIELD, detail), as_json=as_json)
    show_timeline(request_id, found, as_json)


def _read_ticket(ticket_file: str, as_json: bool) -> TicketModel:
    """Return the ticket of a file; exits with all errors if it is invalid."""
    try:
        from_stdin = ticket_file == "-"
        text = sys.stdin.read() if from_stdin else Path(ticket_file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        detail = f"cannot read {ticket_file}: {error}"
        fail(RouterError(ResultCode.TICKET_INVALID, detail), as_json=as_json)
    result = check_ticket_text(text)
    if isinstance(result, Failure):
        errors = result.failure()
        detail = f"{ticket_file}: {len(errors)} error(s)"
        fail_with_errors(ResultCode.TICKET_INVALID, detail, errors, as_json=as_json)
    return result.unwrap()


def _run(
    context: typer.Context,
    as_json: bool,
    command: Callable[[Platform], Awaitable[Any]],
) -> None:
    """Run a command with open connections; exits with its error, if any."""
    tool: ToolContext = context.obj
    settings = _settings_of(tool, as_json)

    async def run_connected() -> None:
        async with tool.connect(settings) as platform:
            await command(platform)

    try:
        asyncio.run(run_connected())
    except RouterError as error:
        fail(error, as_json=as_json)


def _settings_of(tool: ToolContext, as_json: bool) -> ToolSettings:
    """Return the tool's settings; exits with all errors if they are wrong."""
    if tool.settings_path is None:
        detail = "this command needs the tool's settings"
        fail(RouterError(ResultCode.SETTINGS_INVALID, detail), as_json=as_json)
    result = load_tool_settings(tool.settings_path)
    if isinstance(result, Failure):
        detail = str(tool.settings_path)
        fail_with_errors(
            ResultCode.SETTINGS_INVALID, detail, result.failure(), as_json=as_json
        )
    return result.unwrap()
