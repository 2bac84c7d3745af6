"""Runs coroutines as commands or servers, and declares shared options."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
import uvloop

__all__ = ["ConfigFile", "JsonFile", "LockFile", "run_command", "run_server"]

ConfigFile = Annotated[Path, typer.Option("--config", help="JSON configuration file")]

JsonFile = Annotated[Path | None, typer.Option("--json", help="result")]

LockFile = Annotated[
    Path | None, typer.Option("--lock", help="lock file held during each run")
]

Result = TypeVar("Result")

EXIT_INTERRUPTED = 130


def run_command(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a command; SIGTERM cancels it, so that it ends its processes."""

    async def supervise() -> Result:
        task = asyncio.ensure_future(main)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        return uvloop.run(supervise())
    except (asyncio.CancelledError, KeyboardInterrupt) as error:
        raise typer.Exit(EXIT_INTERRUPTED) from error


def run_server(main: Coroutine[Any, Any, None]) -> None:
    """Run a server; SIGINT and SIGTERM end it with exit status 0."""

    async def supervise() -> None:
        task = asyncio.ensure_future(main)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    uvloop.run(supervise())
