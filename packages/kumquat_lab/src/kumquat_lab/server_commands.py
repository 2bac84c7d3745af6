"""Commands that run emulated components and complete stacks."""

from typing import Annotated

import typer

from kumquat_core.log_events import configure_logging

from .backend_server import BackendHostConfig, run_backends
from .command_runners import ConfigFile, run_command, run_server
from .cost_model import EngineHostConfig
from .demo import run_demo
from .engine import run_engines
from .platform import PlatformConfig, run_platform
from .stack import StackConfig
from .up import run_up

__all__ = ["app"]

app = typer.Typer()


@app.command()
def engine(config: ConfigFile) -> None:
    """Run emulated engines, several in one process."""
    configure_logging("info")
    model = EngineHostConfig.model_validate_json(config.read_text())
    run_server(run_engines(model))


@app.command()
def backend(config: ConfigFile) -> None:
    """Run emulated backend servers, several in one process."""
    configure_logging("info")
    model = BackendHostConfig.model_validate_json(config.read_text())
    run_server(run_backends(model))


@app.command()
def platform(config: ConfigFile) -> None:
    """Run the emulated platform."""
    configure_logging("info")
    model = PlatformConfig.model_validate_json(config.read_text())
    run_server(run_platform(model))


@app.command()
def demo(
    hosts: Annotated[int, typer.Option(help="entry hosts for each client account")] = 3,
    seed: Annotated[int, typer.Option(help="seed of the requests")] = 1,
) -> None:
    """Send a request of every kind and check each response."""
    config = StackConfig(hosts_per_firm=hosts, seed=seed)
    if not run_command(run_demo(config)):
        raise typer.Exit(1)


@app.command()
def up(config: ConfigFile) -> None:
    """Run a complete stack until interrupted and print example commands."""
    model = StackConfig.model_validate_json(config.read_text())
    run_server(run_up(model))
