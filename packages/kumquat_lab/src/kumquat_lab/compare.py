"""Compares routing policies under the same arrivals and faults.

Each policy gets a stack of its own: engines, platform and entry hosts start
anew, so no cache or account carries over. The policies run one after
another, or side by side with a load client process for each; then the load
of the machine is the same for all of them, but higher.
"""

import asyncio
import contextlib
import fcntl
import json
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import typer

from .load import run_load, summarize
from .processes import ChildProcess, ProcessGroup
from .scenarios import (
    Scenario,
    ScenarioName,
    ScenarioOptions,
    build_scenario,
    goodput_limit,
)
from .stack import StackConfig, StackPlan, running_stack, with_policy

__all__ = [
    "POLICIES",
    "compare_policies",
    "compare_side_by_side",
    "measuring_lock",
    "write_json",
]

POLICIES = ("kumquat", "round_robin", "least_reported_load", "two_choices")


async def compare_policies(
    name: ScenarioName,
    options: ScenarioOptions,
    policies: Sequence[str],
    config: StackConfig,
) -> dict[str, Any]:
    """Run a scenario with each policy in turn and return the figures."""
    plan = StackPlan.from_config(config)
    scenario = build_scenario(name, options, plan)
    bounds = goodput_limit(scenario, plan)
    limit_per_s = sum(bounds.values()) / options.seconds
    document: dict[str, Any] = {
        "scenario": name.value,
        "seed": options.seed,
        "seconds": options.seconds,
        "load": options.load_of(name),
        "options": vars(options),
        "stack": config.model_dump(),
        "limit": {
            "goodput_per_s": round(limit_per_s, 3),
            "good_requests_by_firm": bounds,
        },
        "policies": {},
    }
    runner = _Runner(config, limit_per_s)
    for policy in policies:
        document["policies"][policy] = await runner.run(scenario, policy)
    if name is ScenarioName.STRAGGLER:
        await _run_without_stragglers(document, scenario, runner)
    return document


async def compare_side_by_side(
    name: ScenarioName,
    options: ScenarioOptions,
    policies: Sequence[str],
    config: StackConfig,
) -> dict[str, Any]:
    """Run a scenario with all policies at once, a process for each."""
    with tempfile.TemporaryDirectory(prefix="kumquat-compare-") as folder:
        directory = Path(folder)
        processes = ProcessGroup(directory)
        try:
            children = [
                await processes.start(
                    policy,
                    "kumquat_lab",
                    *_arguments(name, options, config, policy, directory),
                )
                for policy in policies
            ]
            for child in children:
                await _wait_for_success(child)
        finally:
            await processes.stop()
        documents = [
            json.loads((directory / f"{policy}.json").read_text())
            for policy in policies
        ]
    return _merged(documents)


def _arguments(
    name: ScenarioName,
    options: ScenarioOptions,
    config: StackConfig,
    policy: str,
    directory: Path,
) -> list[str]:
    values = {
        "scenario": name.value,
        "policies": policy,
        "json": directory / f"{policy}.json",
        "hosts": config.hosts_per_firm,
        "prefill-engines": config.prefill_engines,
        "decode-engines": config.decode_engines,
        **{key.replace("_", "-"): value for key, value in vars(options).items()},
    }
    pairs = [(f"--{key}", str(value)) for key, value in values.items()]
    return ["compare", *(text for pair in pairs for text in pair)]


async def _wait_for_success(child: ChildProcess) -> None:
    status = await child.process.wait()
    output = child.log_path.read_text()
    typer.echo(output, err=True, nl=False)
    if status != 0:
        raise RuntimeError(f"the run of {child.name} ended with status {status}")


def _merged(documents: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Join the documents of single policies into one."""
    merged = dict(documents[0])
    for key in ("policies", "without_stragglers"):
        if key in merged:
            merged[key] = {
                policy: figures
                for document in documents
                for policy, figures in document[key].items()
            }
    return merged


@contextlib.asynccontextmanager
async def measuring_lock(path: Path | None) -> AsyncIterator[None]:
    """Hold a lock file, so that measurements on one machine take turns."""
    if path is None:
        yield
        return
    with path.open("a") as lock_file:
        await asyncio.to_thread(fcntl.flock, lock_file, fcntl.LOCK_EX)
        yield


@dataclass(frozen=True)
class _Runner:
    """Runs scenarios on stacks of one size."""

    config: StackConfig
    limit_per_s: float

    async def run(self, scenario: Scenario, policy: str) -> dict[str, Any]:
        """Run a scenario with one policy on a new stack."""
        config = with_policy(self.config, policy)
        async with running_stack(config) as stack:
            result = await run_load(stack, scenario)
        figures = summarize(result, scenario.options.seconds, self.limit_per_s)
        typer.echo(
            f"{scenario.name:9} {policy:20} "
            f"goodput {figures['goodput_per_s']:7.2f}/s "
            f"= {figures['goodput_of_limit']:.3f} of the limit, "
            f"prefill wasted {figures['prefill_wasted']:.3f}",
            err=True,
        )
        return figures


async def _run_without_stragglers(
    document: dict[str, Any],
    scenario: Scenario,
    runner: _Runner,
) -> None:
    """Repeat the same arrivals without faults, and compare p99 TTFT."""
    calm = Scenario(scenario.name, scenario.options, scenario.arrivals, ())
    document["without_stragglers"] = {}
    for policy, figures in document["policies"].items():
        reference = await runner.run(calm, policy)
        document["without_stragglers"][policy] = reference
        figures["p99_ttft_ratio"] = {
            class_name: round(
                values["p99"] / reference["ttft_ms"][class_name]["p99"], 3
            )
            for class_name, values in figures["ttft_ms"].items()
            if class_name in reference["ttft_ms"]
        }


def write_json(document: dict[str, Any], path: Path | None) -> None:
    """Write a document to a file, or to standard output."""
    text = json.dumps(document, indent=2)
    if path is None:
        typer.echo(text)
    else:
        path.write_text(text + "\n")
