"""Compares routing policies under the same arrivals and faults.

Each policy runs on a new stack of engines, platform and entry hosts, so no
cached prefix and no scheduler state is shared. The policies run one after
another, or concurrently with a load client process for each. Concurrent runs
share the load of the machine equally, but it is higher.
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
    "measurement_lock",
    "write_json",
]

POLICIES = ("kumquat", "round_robin", "least_reported_load", "two_choices")


async def compare_policies(
    name: ScenarioName,
    options: ScenarioOptions,
    policies: Sequence[str],
    config: StackConfig,
) -> dict[str, Any]:
    """Run a scenario with each policy in turn and return the results."""
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
    runner = _ScenarioRunner(config, limit_per_s)
    for policy in policies:
        document["policies"][policy] = await runner.run(scenario, policy)
    if name is ScenarioName.STRAGGLER:
        await _compare_without_stragglers(document, scenario, runner)
    return document


async def compare_side_by_side(
    name: ScenarioName,
    options: ScenarioOptions,
    policies: Sequence[str],
    config: StackConfig,
) -> dict[str, Any]:
    """Run a scenario with all policies concurrently, a process for each."""
    with tempfile.TemporaryDirectory(prefix="kumquat-compare-") as folder:
        directory = Path(folder)
        processes = ProcessGroup(directory)
        try:
            children = [
                await processes.start(
                    policy,
                    "kumquat_lab",
                    *_command_arguments(name, options, config, policy, directory),
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
    return _merge_documents(documents)


def _command_arguments(
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


def _merge_documents(documents: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Merge the result documents of single policies into one."""
    merged = dict(documents[0])
    for key in ("policies", "without_stragglers"):
        if key in merged:
            merged[key] = {
                policy: metrics
                for document in documents
                for policy, metrics in document[key].items()
            }
    return merged


@contextlib.asynccontextmanager
async def measurement_lock(path: Path | None) -> AsyncIterator[None]:
    """Hold a lock file that allows one measurement at a time.

    Does nothing without a path.
    """
    if path is None:
        yield
        return
    with path.open("a") as lock_file:
        await asyncio.to_thread(fcntl.flock, lock_file, fcntl.LOCK_EX)
        yield


@dataclass(frozen=True)
class _ScenarioRunner:
    """Runs scenarios on new stacks of one configuration."""

    config: StackConfig
    limit_per_s: float

    async def run(self, scenario: Scenario, policy: str) -> dict[str, Any]:
        """Run a scenario with one policy on a new stack."""
        config = with_policy(self.config, policy)
        async with running_stack(config) as stack:
            result = await run_load(stack, scenario)
        metrics = summarize(result, scenario.options.seconds, self.limit_per_s)
        typer.echo(
            f"{scenario.name:9} {policy:20} "
            f"goodput {metrics['goodput_per_s']:7.2f}/s "
            f"= {metrics['goodput_of_limit']:.3f} of the limit, "
            f"prefill wasted {metrics['prefill_wasted']:.3f}",
            err=True,
        )
        return metrics


async def _compare_without_stragglers(
    document: dict[str, Any],
    scenario: Scenario,
    runner: _ScenarioRunner,
) -> None:
    """Run the same arrivals without faults and compare the p99 TTFT."""
    without_faults = Scenario(scenario.name, scenario.options, scenario.arrivals, ())
    document["without_stragglers"] = {}
    for policy, metrics in document["policies"].items():
        reference_metrics = await runner.run(without_faults, policy)
        document["without_stragglers"][policy] = reference_metrics
        metrics["p99_ttft_ratio"] = {
            class_name: round(
                values["p99"] / reference_metrics["ttft_ms"][class_name]["p99"], 3
            )
            for class_name, values in metrics["ttft_ms"].items()
            if class_name in reference_metrics["ttft_ms"]
        }


def write_json(document: dict[str, Any], path: Path | None) -> None:
    """Write a document to a file, or to standard output without a path."""
    text = json.dumps(document, indent=2)
    if path is None:
        typer.echo(text)
    else:
        path.write_text(text + "\n")
