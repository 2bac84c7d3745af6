"""Commands that generate load, compare policies and measure costs."""

from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop

from .bench import BENCH_RUNS, run_bench, write_results
from .command_runners import ConfigFile, JsonFile, LockFile, run_command
from .compare import (
    POLICIES,
    compare_policies,
    compare_side_by_side,
    measurement_lock,
    write_json,
)
from .decision_cost import run_decision_cost
from .load import load_running_stack
from .relay_decision_cost import run_relay_decisions
from .router_cost import COST_PARTS, measure_cost
from .scenarios import ScenarioName, ScenarioOptions
from .slopes import run_slopes
from .stack import StackConfig

__all__ = ["app"]

app = typer.Typer()


@app.command()
def load(
    config: ConfigFile,
    scenario: Annotated[ScenarioName, typer.Option(help="kind of load and faults")],
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=1, max=120)] = 10.0,
    multiple: Annotated[
        float, typer.Option("--load", help="multiple of capacity; 0: the scenario's")
    ] = 0.0,
    json_file: JsonFile = None,
) -> None:
    """Send the load of a scenario to a stack started by ``up``."""
    model = StackConfig.model_validate_json(config.read_text())
    options = ScenarioOptions(seed=seed, seconds=seconds, load=multiple)
    write_json(run_command(load_running_stack(model, scenario, options)), json_file)


@app.command()
def compare(
    scenario: Annotated[ScenarioName, typer.Option(help="kind of load and faults")],
    policies: Annotated[str, typer.Option(help="comma-separated")] = ",".join(POLICIES),
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=1, max=120)] = 12.0,
    json_file: JsonFile = None,
    load: Annotated[
        float, typer.Option(help="multiple of capacity; 0: the scenario's own")
    ] = 0.0,
    crest_height: Annotated[
        float, typer.Option(help="arrival rate of the burst, multiple of capacity")
    ] = 5.0,
    stragglers: Annotated[int, typer.Option(help="slow engines of a pool")] = 1,
    straggler_slowdown: float = 10.0,
    straggler_window_s: float = 2.0,
    hosts: Annotated[int, typer.Option(help="entry hosts for each client account")] = 2,
    prefill_engines: Annotated[int, typer.Option(help="for each client account")] = 2,
    decode_engines: Annotated[int, typer.Option(help="for each client account")] = 4,
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
        async with measurement_lock(lock):
            return await run(scenario, options, names, config)

    document = run_command(run_locked())
    write_json(document, json_file)


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
    run_command(run_bench(directory, seed, seconds, runs.split(","), lock))


@app.command()
def cost(
    seed: int = 1,
    parts: Annotated[str, typer.Option(help="comma-separated")] = ",".join(COST_PARTS),
    json_file: JsonFile = None,
    lock: LockFile = None,
) -> None:
    """Measure the latency, processor time and memory of an entry host."""
    write_json(run_command(measure_cost(seed, parts.split(","), lock)), json_file)


@app.command("decision-cost")
def decision_cost(
    seed: Annotated[int, typer.Option(help="seed of the requests")] = 1,
) -> None:
    """Print the time of one scheduling decision by number of engines."""
    uvloop.run(run_decision_cost(seed))


@app.command()
def slopes(
    seed: int = 1,
    json_file: JsonFile = None,
) -> None:
    """Measure how costs grow with the numbers of hosts, engines and others."""
    run_slopes(seed, json_file)


@app.command("relay-decisions")
def relay_decisions() -> None:
    """Print the time of an event at the owner of a relay service."""
    run_relay_decisions()
