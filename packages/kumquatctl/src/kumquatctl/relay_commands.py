"""Commands for relay hosts on the users' platform.

Relay hosts have no admin listener: the platform writes the configuration into
its store and stops hosts itself. These commands read only the settings, logs
and metrics of hosts.
"""

import asyncio
import sys
from collections.abc import Iterator, Sequence
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from heapq import merge
from pathlib import Path
from typing import Annotated

import aiohttp
import typer
from prometheus_client.parser import text_string_to_metric_families

from kumquat_core.http_client import TRANSPORT_ERRORS
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_relay.relay_settings import load_relay_options

from .configuration_differences import compare_configurations
from .configuration_file import (
    DEFAULT_PARSER,
    PARSER_VARIABLE,
    find_parser,
    read_configuration,
)
from .configuration_findings import FindingKind, check_configuration
from .log_lines import LogLine, read_lines
from .output import (
    EXIT_INCOMPLETE,
    console,
    exit_status_of,
    fail,
    print_json,
    print_table,
)
from .relay_losses import LossAccount, account_for

__all__ = ["app"]

# Hosts respond within milliseconds; a paused host does not respond at all.
TIMEOUT_S = 2.0
PREFIX = "kumquat_relay_"
# Fields by which each table of `losses` groups its counts.
_LOSS_TABLES = (
    ("outcome", "reason", "route"),
    ("outcome", "engine"),
    ("host", "failure_domain"),
    ("second",),
)

app = typer.Typer(
    name="relay",
    no_args_is_help=True,
    help=(
        "Look at relay hosts on the users' platform.\n\n"
        "The platform itself changes the configuration, drains and stops hosts; "
        "`kumquatctl explain ID --log FILE` explains a request."
    ),
)

JsonOption = Annotated[
    bool, typer.Option("--json", help="Print one JSON document instead of a table.")
]


@dataclass(frozen=True)
class RelayStatus:
    """Metrics of one host; None where a metric or the host is unavailable."""

    address: str
    version: int | None = None
    engines: int | None = None
    in_progress: int | None = None
    waiting: int | None = None
    held_places: int | None = None
    failed_polls: int | None = None
    problem: str = ""


@app.command("check-settings")
def check_settings(
    settings_file: Annotated[
        Path,
        typer.Argument(metavar="FILE", help="Settings as the platform fills them."),
    ],
    as_json: JsonOption = False,
) -> None:
    """Check the settings of a relay host; report all errors at once."""
    try:
        options = load_relay_options(settings_file)
    except RouterError as error:
        fail(error, as_json=as_json)
    document = asdict(options)
    if as_json:
        print_json(document)
        return
    rows = [(name, _text(value)) for name, value in document.items()]
    print_table(f"{settings_file}: valid", ("option", "value"), rows)


@app.command("check-configuration")
def check_configuration_file(
    configuration_file: Annotated[
        Path, typer.Argument(metavar="FILE", help="Configuration document to submit.")
    ],
    in_force_file: Annotated[
        Path | None,
        typer.Option("--in-force", metavar="FILE", help="Document that hosts have."),
    ] = None,
    parser: Annotated[
        str,
        typer.Option(
            envvar=PARSER_VARIABLE,
            metavar="MODULE:FUNCTION",
            help="Parser of the platform's documents.",
        ),
    ] = DEFAULT_PARSER,
    as_json: JsonOption = False,
) -> None:
    """Check a configuration before it is submitted; change nothing.

    The exit status is 0 unless requests would fail or hosts would ignore the
    document.
    """
    try:
        parse = find_parser(parser)
        table = read_configuration(configuration_file, parse)
        findings = check_configuration(table)
        if in_force_file is not None:
            in_force = read_configuration(in_force_file, parse)
            findings += compare_configurations(table, in_force)
    except RouterError as error:
        fail(error, as_json=as_json)
    errors = sum(finding.kind is FindingKind.ERROR for finding in findings)
    rows = [(item.kind.value, item.subject, item.detail) for item in findings]
    columns = ("kind", "subject", "detail")
    if as_json:
        items = [dict(zip(columns, row, strict=True)) for row in rows]
        document = {"version": table.version, "errors": errors, "findings": items}
        print_json(document)
    else:
        title = f"{configuration_file}: version {table.version}, {errors} errors"
        print_table(title, columns, rows)
    if errors:
        raise typer.Exit(exit_status_of(ResultCode.INVALID_FIELD))


@app.command()
def losses(
    logs: Annotated[
        list[str],
        typer.Argument(metavar="LOG...", help="Log files of all hosts; - is stdin."),
    ],
    most: Annotated[int, typer.Option(help="Rows of each table.", min=1)] = 12,
    as_json: JsonOption = False,
) -> None:
    """Count the requests that were not served on time, and why."""
    with ExitStack() as stack:
        try:
            sources = [_open_log(stack, name) for name in logs]
            account = account_for(merge(*sources, key=lambda line: line.time))
        except (OSError, UnicodeDecodeError) as error:
            detail = f"cannot read logs: {error}"
            fail(RouterError(ResultCode.INVALID_FIELD, detail), as_json=as_json)
    if as_json:
        print_json(_account_document(account))
        return
    lost = account.requests - account.served
    console().print(f"{account.requests} requests, {account.served} served on time")
    for names in _LOSS_TABLES:
        rows = [(*key, count) for key, count in account.by(*names)]
        title = f"{lost} losses by {', '.join(names)}"
        print_table(title, (*names, "count"), rows[:most])


def _open_log(stack: ExitStack, name: str) -> Iterator[LogLine]:
    """Return the lines of a log file without loading it into memory."""
    if name == "-":
        return read_lines(sys.stdin, "stdin")
    return read_lines(stack.enter_context(Path(name).open()), Path(name).stem)


def _account_document(account: LossAccount) -> dict[str, object]:
    return {
        "requests": account.requests,
        "served": account.served,
        "losses": [
            {**asdict(loss), "count": count}
            for loss, count in account.losses.most_common()
        ],
    }


@app.command()
def status(
    addresses: Annotated[
        list[str], typer.Argument(metavar="HOST:PORT...", help="Metrics addresses.")
    ],
    as_json: JsonOption = False,
) -> None:
    """Show the configuration version, engines and load that hosts report."""
    statuses = asyncio.run(_statuses(addresses))
    if as_json:
        print_json([asdict(item) for item in statuses])
    else:
        columns = (
            "host",
            "version",
            "engines",
            "in progress",
            "waiting",
            "held places",
            "failed polls",
            "problem",
        )
        rows = [
            ["-" if value is None else value for value in asdict(item).values()]
            for item in statuses
        ]
        print_table("Relay hosts", columns, rows)
    if any(item.problem for item in statuses):
        raise typer.Exit(EXIT_INCOMPLETE)


async def _statuses(addresses: Sequence[str]) -> list[RelayStatus]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return list(
            await asyncio.gather(*(_status(session, item) for item in addresses))
        )


async def _status(session: aiohttp.ClientSession, address: str) -> RelayStatus:
    try:
        async with session.get(f"http://{address}/metrics") as response:
            text = await response.text()
    except (*TRANSPORT_ERRORS, ValueError) as error:
        return RelayStatus(address, problem=type(error).__name__)
    if response.status != 200:
        return RelayStatus(address, problem=f"status {response.status}")
    return _read_metrics(address, text)


def _read_metrics(address: str, text: str) -> RelayStatus:
    values: dict[str, int] = {}
    failed_polls = 0
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix(PREFIX)
            if name == "store_polls_total" and sample.labels.get("good") == "false":
                failed_polls += int(sample.value)
            elif not sample.labels:
                values[name] = int(sample.value)
    if "engines" not in values:
        return RelayStatus(address, problem="no metrics of a relay")
    return RelayStatus(
        address,
        version=values.get("configuration_version"),
        engines=values.get("engines"),
        in_progress=values.get("requests_in_progress"),
        waiting=values.get("waiting"),
        held_places=values.get("held_places"),
        failed_polls=failed_polls,
    )


def _text(value: object) -> str:
    """Format an option for a table; addresses as ``IP:PORT``."""
    if isinstance(value, dict) and set(value) == {"ip", "port"}:
        return f"{value['ip']}:{value['port']}"
    return str(value)
