"""Command line of the development tools: ``python -m kumquat_lab``."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop

from kumquat_core.log_events import configure_logging

from .backend_server import BackendConfig, run_backend
from .cost_model import EngineHostConfig
from .engine import run_engines
from .platform import PlatformConfig, run_platform

app = typer.Typer(
    help="Stand-ins, load tool and experiments for kumquatrouter.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

ConfigFile = Annotated[Path, typer.Option("--config", help="JSON configuration file")]


def _run_until_stopped(main: Coroutine[Any, Any, None]) -> None:
    """Run a server; SIGINT and SIGTERM end it with exit status 0."""

    async def supervise() -> None:
        task = asyncio.ensure_future(main)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    uvloop.run(supervise())


@app.command()
def engine(config: ConfigFile) -> None:
    """Run emulated engines, several in one process."""
    configure_logging("info")
    model = EngineHostConfig.model_validate_json(config.read_text())
    _run_until_stopped(run_engines(model))


@app.command()
def backend(config: ConfigFile) -> None:
    """Run one emulated backend server."""
    configure_logging("info")
    model = BackendConfig.model_validate_json(config.read_text())
    _run_until_stopped(run_backend(model))


@app.command()
def platform(config: ConfigFile) -> None:
    """Run the emulated platform."""
    configure_logging("info")
    model = PlatformConfig.model_validate_json(config.read_text())
    _run_until_stopped(run_platform(model))


if __name__ == "__main__":
    app()
