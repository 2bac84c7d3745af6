"""Command line of the entry-host process."""

import asyncio
import json
import logging
import signal
import sys
from dataclasses import replace
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from kumquat_core.exit_signals import ignore_stop_signals
from kumquat_core.log_events import configure_logging, log_event
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Options, SettingsModel, load_options
from kumquat_core.settings_checks import check_settings

from .entry_host import EntryHost

__all__ = ["app"]

app = typer.Typer(
    help="Entry-host process of kumquatrouter.",
    no_args_is_help=True,
    add_completion=True,
)

logger = logging.getLogger(__name__)

EXIT_DRAIN_CUT_SHORT = 3
EXIT_SETTINGS_INVALID = 2

SettingsOption = Annotated[
    Path, typer.Option("--settings", help="Settings file in JSON.")
]
SettingsArgument = Annotated[Path, typer.Argument(help="Settings file in JSON.")]


def _load(path: Path) -> Options:
    """Return the options of a settings file; exit when it is not valid."""
    try:
        return load_options(path)
    except RouterError as error:
        typer.echo(f"{path}: settings are not valid ({error.code.value})", err=True)
        typer.echo(error.detail, err=True)
        raise typer.Exit(EXIT_SETTINGS_INVALID) from error


@app.command()
def run(settings: SettingsOption) -> None:
    """Run an entry host until SIGTERM or SIGINT."""
    options = _load(settings)
    configure_logging(options.log_level)
    sys.exit(uvloop.run(_run_to_exit(options, settings)))


@app.command("check-config")
def check_config(settings: SettingsArgument) -> None:
    """Check a settings file and its key file; report every error at once."""
    errors = check_settings(settings)
    for error in errors:
        typer.echo(f"{error.path}", err=True)
        typer.echo(f"  found     {error.value}", err=True)
        typer.echo(f"  expected  {error.expected}", err=True)
    if errors:
        code = ResultCode.SETTINGS_INVALID.value
        typer.echo(f"{settings}: {len(errors)} error(s) ({code})", err=True)
        raise typer.Exit(EXIT_SETTINGS_INVALID)
    typer.echo(f"{settings}: valid, host {load_options(settings).host_id}")


@app.command("settings-schema")
def settings_schema() -> None:
    """Print the JSON schema of the settings file."""
    typer.echo(json.dumps(SettingsModel.model_json_schema(), indent=2))


async def _start(host: EntryHost, stop_requested: asyncio.Event) -> bool:
    """Start a host; return False when it was told to stop meanwhile.

    A start takes long while the store is away. No caller is connected yet.
    """
    start = asyncio.ensure_future(host.start())
    stop = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait({start, stop}, return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    if start.done():
        await start
        return True
    start.cancel()
    await asyncio.gather(start, return_exceptions=True)
    await host.stop("stopped_at_start")
    return False


async def _run_to_exit(options: Options, settings: Path) -> int:
    """Run until a signal; ignore those that arrive after the stop."""
    exit_code = await _run(options, settings)
    ignore_stop_signals(asyncio.get_running_loop())
    return exit_code


def _reload(host: EntryHost, options: Options, settings: Path) -> Options:
    """Follow a changed drain limit and return the options in force.

    All other settings are followed at the next start only. The options stay
    when the file is not valid.
    """
    try:
        limit_s = load_options(settings).limits.drain_limit_s
    except RouterError as error:
        log_event(logger, "reload_failed", level=logging.ERROR, detail=error.detail)
        return options
    if limit_s == options.limits.drain_limit_s:
        log_event(logger, "reload_not_supported")
        return options
    host.change_drain_limit(limit_s)
    return replace(options, limits=replace(options.limits, drain_limit_s=limit_s))


async def _run(options: Options, settings: Path) -> int:
    """Run until a signal and drain; a second signal ends the drain early.

    Returns the exit code of the process.
    """
    loop = asyncio.get_running_loop()
    first_signal, second_signal = asyncio.Event(), asyncio.Event()

    def on_signal() -> None:
        (second_signal if first_signal.is_set() else first_signal).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)

    def on_reload() -> None:
        nonlocal options
        options = _reload(host, options, settings)

    # The default of SIGHUP would end the process with requests in progress,
    # so its handler comes first. It runs when the host has been created.
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    host = EntryHost.from_config(options)
    if not await _start(host, first_signal):
        return 0
    await first_signal.wait()
    drain = asyncio.ensure_future(host.drain())
    cut_short = asyncio.ensure_future(second_signal.wait())
    done, _ = await asyncio.wait(
        {drain, cut_short}, return_when=asyncio.FIRST_COMPLETED
    )
    finished = drain in done and drain.result()
    reason = "drained" if finished else "drain_limit"
    if drain not in done:
        reason = "second_signal"
    if not finished:
        log_event(logger, "drain_cut_short", level=logging.WARNING, reason=reason)
    drain.cancel()
    cut_short.cancel()
    await host.stop(reason)
    return 0 if finished else EXIT_DRAIN_CUT_SHORT


if __name__ == "__main__":
    app()
