"""Load client: sends the arrivals of a scenario and evaluates the outcomes.

A request is good when its response is complete and correct, its first token
came within the TTFT target of its class and its mean time between tokens is
within the TBT target. A seeded random choice among the entry hosts of the
client account stands for the load balancer.
"""

import asyncio
import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import numpy as np

from kumquat_core.http_client import create_session

from .arrivals import Arrival
from .caller import CallOutcome, ModelCall, PlainCall, call_model, call_plain
from .emulated_responses import response_seed
from .processes import ProcessGroup
from .scenarios import (
    FaultEvent,
    Scenario,
    ScenarioName,
    ScenarioOptions,
    build_scenario,
    goodput_limit,
)
from .stack import Stack, StackConfig, StackPlan

__all__ = ["LoadResult", "load_running_stack", "run_load", "summarize"]

CLEANUP_WAIT_S = 1.0
START_DELAY_S = 0.5
NOT_RUN = "not_run"
PERCENTILES = (50, 95, 99)


@dataclass
class LoadResult:
    """Outcomes of a run and the counts of the back ends after it."""

    outcomes: list[tuple[Arrival, CallOutcome]] = field(default_factory=list)
    engine_counts: dict[str, Any] = field(default_factory=dict)
    executions_by_body: Counter[str] = field(default_factory=Counter)
    held_pieces_after_settling: int = 0
    held_requests: list[str] = field(default_factory=list)
    lateness_p99_ms: float = 0.0
    host_cpu_s: float = 0.0


async def run_load(stack: Stack, scenario: Scenario) -> LoadResult:
    """Run a scenario against a running stack."""
    rng = random.Random(f"{scenario.options.seed}/balancer")
    result = LoadResult()
    lateness: list[float] = []
    begin_s = time.monotonic() + START_DELAY_S

    async def send(session: aiohttp.ClientSession, arrival: Arrival, url: str) -> None:
        await asyncio.sleep(begin_s + arrival.at_s - time.monotonic())
        lateness.append(time.monotonic() - begin_s - arrival.at_s)
        match arrival.call:
            case ModelCall() as call:
                outcome = await call_model(session, url, call)
            case PlainCall() as plain:
                outcome = await call_plain(session, url, plain)
        result.outcomes.append((arrival, outcome))

    cpu_before_s = _hosts_cpu_s(stack)
    async with create_session(2.0) as session, asyncio.TaskGroup() as group:
        for event in scenario.faults:
            group.create_task(_inject_fault(stack, event, begin_s))
        for arrival in scenario.arrivals:
            host = rng.choice(stack.plan.hosts_of(arrival.account))
            group.create_task(send(session, arrival, host.caller_url))
    result.host_cpu_s = _hosts_cpu_s(stack) - cpu_before_s
    await asyncio.sleep(CLEANUP_WAIT_S)
    await _collect(stack, result)
    result.lateness_p99_ms = float(np.percentile(lateness, 99)) * 1000
    return result


async def load_running_stack(
    config: StackConfig, name: ScenarioName, options: ScenarioOptions
) -> dict[str, Any]:
    """Run a scenario against the stack that ``up`` runs with this config.

    Raises ``ValueError`` when the config leaves the ports open.
    """
    if not config.first_port:
        raise ValueError("first_port must be set to find a running stack")
    plan = StackPlan.from_config(config)
    scenario = build_scenario(name, options, plan)
    limit = sum(goodput_limit(scenario, plan).values()) / options.seconds
    async with create_session(2.0) as session:
        directory = Path(tempfile.gettempdir())
        stack = Stack(plan, directory, ProcessGroup(directory), session)
        result = await run_load(stack, scenario)
    return summarize(result, options.seconds, limit)


def _hosts_cpu_s(stack: Stack) -> float:
    """Return the processor time of the entry hosts started here."""
    children = stack.processes.children_by_name
    names = [host.host_id for host in stack.plan.hosts if host.host_id in children]
    return sum(children[name].cpu_s() for name in names)


async def _inject_fault(stack: Stack, event: FaultEvent, begin_s: float) -> None:
    await asyncio.sleep(begin_s + event.at_s - time.monotonic())
    await stack.call("POST", f"{_target_url(stack, event.target)}/faults", event.body)


def _target_url(stack: Stack, target: str) -> str:
    if target == "platform":
        return stack.plan.platform_url
    ports = {engine.engine_id: engine.port for engine in stack.plan.engines}
    ports |= {server.server_id: server.port for server in stack.plan.servers}
    return f"http://127.0.0.1:{ports[target]}"


async def _collect(stack: Stack, result: LoadResult) -> None:
    for engine in stack.plan.engines:
        url = f"http://127.0.0.1:{engine.port}"
        report = await stack.call("GET", f"{url}/v1/report?fresh=1")
        result.held_pieces_after_settling += report["held_pieces"]
        result.held_requests += [item["request_id"] for item in report["requests"]]
        result.engine_counts[engine.engine_id] = await stack.call(
            "GET", f"{url}/counts"
        )
    for server in stack.plan.servers:
        url = f"http://127.0.0.1:{server.port}/executions"
        document = await stack.call("GET", url)
        result.executions_by_body.update(document["by_body"])


def met_targets(arrival: Arrival, outcome: CallOutcome) -> bool:
    """Tell whether a model request met both targets with a correct response.

    A caller set to disconnect may get a complete short response first; the
    limit leaves these requests out, so they never count as good.
    """
    if not isinstance(arrival.call, ModelCall) or arrival.call.cancels:
        return False
    if outcome.kind != "ok":
        return False
    work = arrival.account.find_work(outcome.class_name)
    in_time = outcome.ttft_ms <= work.ttft_target_ms
    return in_time and outcome.tbt_ms <= work.tbt_target_ms


def summarize(result: LoadResult, seconds: float, limit_per_s: float) -> dict[str, Any]:
    """Return the results of one run."""
    outcomes = result.outcomes
    goodput = sum(met_targets(*item) for item in outcomes) / seconds
    refused = Counter(o.code for _, o in outcomes if o.kind in ("refused", "failed"))
    return {
        "goodput_per_s": round(goodput, 3),
        "goodput_of_limit": round(goodput / limit_per_s, 4) if limit_per_s else None,
        "goodput_per_s_by_class": _goodput_by_class(outcomes, seconds),
        "prefill_wasted": round(_prefill_wasted(result), 4),
        "ttft_ms": _percentiles(outcomes, "ttft_ms"),
        "tbt_ms": _percentiles(outcomes, "tbt_ms"),
        "refused_by_code": {str(code): n for code, n in sorted(refused.items())},
        "refused_untruthfully": _untruthful_refusals(result),
        "retries": _repeated_prefills(result),
        "doubled": sum(n - 1 for n in result.executions_by_body.values() if n > 1),
        "damaged": sum(o.kind == "damaged" for _, o in outcomes),
        "lost": sum(o.kind == "lost" for _, o in outcomes) + _lost_plain(result),
        "held_after_1s": result.held_pieces_after_settling,
        "requests": len(outcomes),
        "outcomes_by_class": _kinds_by_class(outcomes),
        "client_lateness_p99_ms": round(result.lateness_p99_ms, 1),
        "host_cpu_s": round(result.host_cpu_s, 2),
    }


def _goodput_by_class(
    outcomes: list[tuple[Arrival, CallOutcome]], seconds: float
) -> dict[str, float]:
    counts: Counter[str] = Counter()
    for arrival, outcome in outcomes:
        if isinstance(arrival.call, ModelCall):
            counts[outcome.class_name] += met_targets(arrival, outcome)
    return {name: round(count / seconds, 3) for name, count in sorted(counts.items())}


def _kinds_by_class(
    outcomes: list[tuple[Arrival, CallOutcome]],
) -> dict[str, dict[str, int]]:
    kinds: dict[str, dict[str, int]] = {}
    for _, outcome in outcomes:
        of_class = kinds.setdefault(outcome.class_name, {})
        of_class[outcome.kind] = of_class.get(outcome.kind, 0) + 1
    return dict(sorted(kinds.items()))


def _prefill_wasted(result: LoadResult) -> float:
    """Return the share of prefill time whose result was never transferred."""
    busy = [counts["busy_s"] for counts in result.engine_counts.values()]
    spent_s = sum(item["prefill"] for item in busy)
    used_s = sum(item["prefill_used"] for item in busy)
    return (spent_s - used_s) / spent_s if spent_s else 0.0


def _prefills_by_seed(result: LoadResult) -> Counter[int]:
    seeds: Counter[int] = Counter()
    for counts in result.engine_counts.values():
        seeds.update({int(k): n for k, n in counts["prefill_seeds"].items()})
    return seeds


def _repeated_prefills(result: LoadResult) -> int:
    seeds = _prefills_by_seed(result)
    return seeds.total() - len(seeds)


def _untruthful_refusals(result: LoadResult) -> int:
    """Count refusals as not run whose work an engine or server began."""
    seeds = _prefills_by_seed(result)
    count = 0
    for arrival, outcome in result.outcomes:
        if outcome.execution != NOT_RUN:
            continue
        match arrival.call:
            case ModelCall(model=model, prompt=prompt):
                count += seeds[response_seed(model, prompt)] > 0
            case PlainCall(body=body):
                count += result.executions_by_body[body.decode()] > 0
    return count


def _lost_plain(result: LoadResult) -> int:
    """Count the calls reported as done that no server executed."""
    return sum(
        isinstance(arrival.call, PlainCall)
        and outcome.kind == "ok"
        and result.executions_by_body[arrival.call.body.decode()] == 0
        for arrival, outcome in result.outcomes
    )


def _percentiles(
    outcomes: list[tuple[Arrival, CallOutcome]], name: str
) -> dict[str, dict[str, float]]:
    values: dict[str, list[float]] = {}
    for _, outcome in outcomes:
        value = getattr(outcome, name)
        if value > 0 and outcome.kind in ("ok", "failed", "cancelled"):
            values.setdefault(outcome.class_name, []).append(value)
    return {
        class_name: {
            f"p{p}": round(float(np.percentile(items, p)), 1) for p in PERCENTILES
        }
        for class_name, items in sorted(values.items())
    }
