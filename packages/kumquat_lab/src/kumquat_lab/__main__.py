"""Command line of the development tools: ``python -m kumquat_lab``."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
import uvloop

from kumquat_core.log_events import configure_logging

from .backend_server import BackendHostConfig, run_backends
from .bench import BENCH_RUNS, run_bench, write_results
from .check_model import run_checks
from .compare import (
    POLICIES,
    compare_policies,
    compare_side_by_side,
    measuring_lock,
    write_json,
)
from .cost_model import EngineHostConfig
from .decision_cost import run_decision_cost
from .demo import run_demo
from .doc_tables import render_page
from .engine import run_engines
from .load import load_running_stack
from .platform import PlatformConfig, run_platform
from .router_cost import COST_PARTS, measure_cost
from .scenarios import ScenarioName, ScenarioOptions
from .slopes import run_slopes
from .stack import StackConfig
from .torture import run_torture
from .up import run_up

Result = TypeVar("Result")

app = typer.Typer(
    help="Stand-ins, load tool and experiments for kumquatrouter.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

ConfigFile = Annotated[Path, typer.Option("--config", help="JSON configuration file")]


LockFile = Annotated[
    Path | None, typer.Option("--lock", help="lock file held during each run")
]

EXIT_INTERRUPTED = 130


def _run_tool(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a tool; SIGTERM cancels it, so that it ends its processes."""

    async def supervise() -> Result:
        task = asyncio.ensure_future(main)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        return uvloop.run(supervise())
    except (asyncio.CancelledError, KeyboardInterrupt) as error:
        raise typer.Exit(EXIT_INTERRUPTED) from error


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
    """Run emulated backend servers, several in one process."""
    configure_logging("info")
    model = BackendHostConfig.model_validate_json(config.read_text())
    _run_until_stopped(run_backends(model))


@app.command()
def platform(config: ConfigFile) -> None:
    """Run the emulated platform."""
    configure_logging("info")
    model = PlatformConfig.model_validate_json(config.read_text())
    _run_until_stopped(run_platform(model))


@app.command()
def demo(
    hosts: Annotated[int, typer.Option(help="entry hosts for each firm")] = 3,
    seed: Annotated[int, typer.Option(help="seed of the requests")] = 1,
) -> None:
    """Run one request of every kind of both firms and check each answer."""
    config = StackConfig(hosts_per_firm=hosts, seed=seed)
    if not _run_tool(run_demo(config)):
        raise typer.Exit(1)


@app.command()
def up(config: ConfigFile) -> None:
    """Run the whole set until interrupted and print commands to try it."""
    model = StackConfig.model_validate_json(config.read_text())
    _run_until_stopped(run_up(model))


@app.command(name="check-model")
def check_model() -> None:
    """Explore the specifications of the protocols exhaustively."""
    if not run_checks():
        raise typer.Exit(1)


@app.command("doc-tables")
def doc_tables(
    page: Annotated[Path, typer.Argument()] = Path("docs/configuration.md"),
) -> None:
    """Rewrite the generated tables of the configuration page."""
    page.write_text(render_page(page.read_text()))


@app.command()
def load(
    config: ConfigFile,
    scenario: Annotated[ScenarioName, typer.Option(help="kind of load and faults")],
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=1, max=120)] = 10.0,
    multiple: Annotated[
        float, typer.Option("--load", help="multiple of capacity; 0: the scenario's")
    ] = 0.0,
    json_file: Annotated[Path | None, typer.Option("--json", help="result")] = None,
) -> None:
    """Send a scenario to the stack that ``up`` runs with the same config."""
    model = StackConfig.model_validate_json(config.read_text())
    options = ScenarioOptions(seed=seed, seconds=seconds, load=multiple)
    write_json(_run_tool(load_running_stack(model, scenario, options)), json_file)


@app.command()
def compare(
    scenario: Annotated[ScenarioName, typer.Option(help="kind of load and faults")],
    policies: Annotated[str, typer.Option(help="comma-separated")] = ",".join(POLICIES),
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=1, max=120)] = 12.0,
    json_file: Annotated[Path | None, typer.Option("--json", help="result")] = None,
    load: Annotated[
        float, typer.Option(help="multiple of capacity; 0: the scenario's own")
    ] = 0.0,
    crest_height: Annotated[
        float, typer.Option(help="arrival rate of the burst, multiple of capacity")
    ] = 5.0,
    stragglers: Annotated[int, typer.Option(help="slow engines of a pool")] = 1,
    straggler_slowdown: float = 10.0,
    straggler_window_s: float = 2.0,
    hosts: Annotated[int, typer.Option(help="entry hosts for each firm")] = 2,
    prefill_engines: Annotated[int, typer.Option(help="for each firm")] = 2,
    decode_engines: Annotated[int, typer.Option(help="for each firm")] = 4,
    side_by_side: Annotated[
        bool, typer.Option("--side-by-side", help="all policies at once")
    ] = False,
    lock: LockFile = None,
) -> None:
    """Compare routing policies under the same arrivals and faults."""
    options = ScenarioOptions(
        seed=seed,
        seconds=seconds,
        load=load,
        crest_height=crest_height,
        stragglers=stragglers,
        straggler_slowdown=straggler_slowdown,
        straggler_window_s=straggler_window_s,
    )
    config = StackConfig(
        hosts_per_firm=hosts,
        prefill_engines=prefill_engines,
        decode_engines=decode_engines,
        seed=seed,
        log_level="error",
    )
    names = policies.split(",")
    run = compare_side_by_side if side_by_side else compare_policies

    async def run_locked() -> dict[str, Any]:
        async with measuring_lock(lock):
            return await run(scenario, options, names, config)

    document = _run_tool(run_locked())
    write_json(document, json_file)


@app.command()
def torture(
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=1, max=120)] = 30.0,
    hosts: Annotated[int, typer.Option(help="entry hosts for each firm")] = 4,
    json_file: Annotated[Path | None, typer.Option("--json", help="result")] = None,
) -> None:
    """Run random faults under load; exit status 1 on a violated invariant."""
    result = uvloop.run(run_torture(seed, seconds, hosts))
    write_json(asdict(result), json_file)
    if result.violated:
        raise typer.Exit(1)


@app.command()
def bench(
    directory: Annotated[Path, typer.Option(help="for results")] = Path("bench"),
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=1, max=60)] = 10.0,
    runs: Annotated[str, typer.Option(help="comma-separated")] = ",".join(
        run.label for run in BENCH_RUNS
    ),
    lock: LockFile = None,
    only_write: Annotated[
        bool, typer.Option("--only-write", help="write the table, run nothing")
    ] = False,
) -> None:
    """Run all scenarios and write a table and plots."""
    if only_write:
        write_results(directory)
        return
    _run_tool(run_bench(directory, seed, seconds, runs.split(","), lock))


@app.command()
def cost(
    seed: int = 1,
    parts: Annotated[str, typer.Option(help="comma-separated")] = ",".join(COST_PARTS),
    json_file: Annotated[Path | None, typer.Option("--json", help="result")] = None,
    lock: LockFile = None,
) -> None:
    """Measure what an entry host costs in time, processor and memory."""
    write_json(_run_tool(measure_cost(seed, parts.split(","), lock)), json_file)


@app.command("decision-cost")
def decision_cost(
    seed: Annotated[int, typer.Option(help="seed of the requests")] = 1,
) -> None:
    """Print the time of one scheduling decision by number of engines."""
    uvloop.run(run_decision_cost(seed))


@app.command()
def slopes(
    seed: int = 1,
    json_file: Annotated[Path | None, typer.Option("--json", help="result")] = None,
) -> None:
    """Measure how costs grow with the number of hosts, engines and so on."""
    run_slopes(seed, json_file)


if __name__ == "__main__":
    app()
