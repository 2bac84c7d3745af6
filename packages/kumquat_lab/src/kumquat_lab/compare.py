"""Compares routing policies under the same arrivals and faults.

Each policy gets a stack of its own: engines, platform and entry hosts start
anew, so no cache or account carries over. The policies run one after
another, so that they do not compete for the machine.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import typer

from .load import run_load, summarize
from .scenarios import (
    Scenario,
    ScenarioName,
    ScenarioOptions,
    build_scenario,
    goodput_limit,
)
from .stack import StackConfig, StackPlan, running_stack, with_policy

__all__ = ["POLICIES", "compare_policies", "write_json"]

POLICIES = ("kumquat", "round_robin", "least_reported_load", "two_choices")


async def compare_policies(
    name: ScenarioName,
    options: ScenarioOptions,
    policies: Sequence[str],
    config: StackConfig,
) -> dict[str, Any]:
    """Run a scenario with each policy and return the figures."""
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
    for policy in policies:
        document["policies"][policy] = await _run(scenario, config, policy, limit_per_s)
    if name is ScenarioName.STRAGGLER:
        await _run_without_stragglers(document, scenario, config, limit_per_s)
    return document


async def _run(
    scenario: Scenario, config: StackConfig, policy: str, limit_per_s: float
) -> dict[str, Any]:
    async with running_stack(with_policy(config, policy)) as stack:
        result = await run_load(stack, scenario)
    figures = summarize(result, scenario.options.seconds, limit_per_s)
    typer.echo(
        f"{scenario.name:9} {policy:20} goodput {figures['goodput_per_s']:7.2f}/s "
        f"= {figures['goodput_of_limit']:.3f} of the limit, "
        f"prefill wasted {figures['prefill_wasted']:.3f}",
        err=True,
    )
    return figures


async def _run_without_stragglers(
    document: dict[str, Any],
    scenario: Scenario,
    config: StackConfig,
    limit_per_s: float,
) -> None:
    """Repeat the same arrivals without faults, and compare p99 TTFT."""
    calm = Scenario(scenario.name, scenario.options, scenario.arrivals, ())
    document["without_stragglers"] = {}
    for policy, figures in document["policies"].items():
        reference = await _run(calm, config, policy, limit_per_s)
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
