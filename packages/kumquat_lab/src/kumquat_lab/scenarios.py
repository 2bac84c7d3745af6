"""Builds scenarios: arrivals and faults, determined by a seed."""

import dataclasses
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .arrivals import Arrival, make_model_call, make_plain_call, poisson_times
from .caller import ModelCall
from .client_accounts import CLIENT_ACCOUNTS, ClientAccount
from .cost_model import EngineConfig
from .limit import PoolResources, capacity_per_s, compute_demands, max_good_requests
from .stack import StackPlan

__all__ = [
    "FaultEvent",
    "Scenario",
    "ScenarioName",
    "ScenarioOptions",
    "build_scenario",
    "goodput_limit",
    "straggler_events",
]

CAPACITY_SAMPLE = 400
PLAIN_PER_S = 4.0
CREST_BURST_S = 1.5
CREST_BASE_LOAD = 0.4
CANCEL_SHARE = 0.3
CANCEL_BEFORE_S = 1.5


class ScenarioName(StrEnum):
    """Names of the scenarios."""

    STEADY = "steady"
    CREST = "crest"
    STRAGGLER = "straggler"
    OVERLOAD = "overload"
    CANCEL = "cancel"
    OUTAGE = "outage"


DEFAULT_LOADS = {
    ScenarioName.STEADY: 0.8,
    ScenarioName.CREST: CREST_BASE_LOAD,
    ScenarioName.STRAGGLER: 0.6,
    ScenarioName.OVERLOAD: 2.0,
    ScenarioName.CANCEL: 0.7,
    ScenarioName.OUTAGE: 0.7,
}


@dataclass(frozen=True)
class ScenarioOptions:
    """Parameters of a run; ``load`` is a multiple of capacity.

    ``crest_height`` is the arrival rate of the burst as a multiple of
    capacity. ``stragglers`` engines of each pool are slow at any time, each
    for ``straggler_window_s``.
    """

    seed: int = 1
    seconds: float = 20.0
    load: float = 0.0
    crest_height: float = 5.0
    stragglers: int = 1
    straggler_slowdown: float = 10.0
    straggler_window_s: float = 2.0

    def load_of(self, name: ScenarioName) -> float:
        """Return the load, or the scenario's own if none is set."""
        return self.load or DEFAULT_LOADS[name]


@dataclass(frozen=True)
class FaultEvent:
    """A fault that begins at ``at_s``; ``body`` is sent to ``/faults``."""

    at_s: float
    target: str
    body: dict[str, Any]


@dataclass(frozen=True)
class Scenario:
    """Arrivals in the order of their times, and fault events."""

    name: ScenarioName
    options: ScenarioOptions
    arrivals: tuple[Arrival, ...]
    faults: tuple[FaultEvent, ...]


def build_scenario(
    name: ScenarioName, options: ScenarioOptions, plan: StackPlan
) -> Scenario:
    """Return the scenario for a seed and the engines of a plan."""
    arrivals: list[Arrival] = []
    for account in CLIENT_ACCOUNTS:
        rng = random.Random(f"{options.seed}/{name}/{account.name}")
        resources = PoolResources.from_engines(plan.engines_by_firm[account.name])
        arrivals += _model_arrivals(name, options, account, resources, rng)
        arrivals += _plain_arrivals(options, account, rng)
    arrivals.sort(key=lambda item: item.at_s)
    return Scenario(name, options, tuple(arrivals), _faults(name, options, plan))


def _model_arrivals(
    name: ScenarioName,
    options: ScenarioOptions,
    account: ClientAccount,
    resources: PoolResources,
    rng: random.Random,
) -> list[Arrival]:
    capacity = _capacity(account, resources)
    rate = capacity * options.load_of(name)
    times = poisson_times(rng, rate, 0.0, options.seconds)
    if name is ScenarioName.CREST:
        begin_s = options.seconds / 4
        burst_rate = capacity * options.crest_height
        times += poisson_times(rng, burst_rate, begin_s, begin_s + CREST_BURST_S)
    arrivals = []
    for at_s in sorted(times):
        call = _choose_call(rng, account)
        if name is ScenarioName.CANCEL and rng.random() < CANCEL_SHARE:
            call = _with_cancel(rng, call)
        arrivals.append(Arrival(at_s, account, call))
    return arrivals


def _capacity(account: ClientAccount, resources: PoolResources) -> float:
    rng = random.Random(f"capacity/{account.name}")
    calls = [(0.0, _choose_call(rng, account)) for _ in range(CAPACITY_SAMPLE)]
    return capacity_per_s(compute_demands(account, calls, resources), resources)


def _choose_call(rng: random.Random, account: ClientAccount) -> ModelCall:
    shares = [work.share for work in account.work]
    work = rng.choices(account.work, shares)[0]
    return make_model_call(rng, account, work)


def _with_cancel(rng: random.Random, call: ModelCall) -> ModelCall:
    """Return a call whose caller disconnects before or at a random token."""
    if rng.random() < 0.5:
        after_s = rng.uniform(0.0, CANCEL_BEFORE_S)
        return dataclasses.replace(call, cancel_after_s=after_s)
    after_tokens = rng.randrange(1, call.max_tokens)
    return dataclasses.replace(call, cancel_after_tokens=after_tokens)


def _plain_arrivals(
    options: ScenarioOptions, account: ClientAccount, rng: random.Random
) -> list[Arrival]:
    times = poisson_times(rng, PLAIN_PER_S, 0.0, options.seconds)
    return [
        Arrival(at_s, account, make_plain_call(rng, account, index))
        for index, at_s in enumerate(times)
    ]


def _faults(
    name: ScenarioName, options: ScenarioOptions, plan: StackPlan
) -> tuple[FaultEvent, ...]:
    match name:
        case ScenarioName.STRAGGLER:
            events = []
            for engines in plan.engines_by_firm.values():
                events += straggler_events(options, engines)
            return tuple(events)
        case ScenarioName.OUTAGE:
            half_s = options.seconds / 2
            body = {"outage_s": half_s}
            return (FaultEvent(options.seconds / 4, "platform", body),)
        case _:
            return ()


def straggler_events(
    options: ScenarioOptions, engines: Sequence[EngineConfig]
) -> list[FaultEvent]:
    """Return events that slow down random engines, window after window."""
    ids = sorted(engine.engine_id for engine in engines)
    rng = random.Random(f"{options.seed}/stragglers/{ids[0]}")
    events = []
    at_s = 0.0
    while at_s < options.seconds:
        body = {
            "slowdown": options.straggler_slowdown,
            "for_s": options.straggler_window_s,
        }
        chosen = rng.sample(ids, min(options.stragglers, len(ids)))
        events += [FaultEvent(at_s, engine_id, body) for engine_id in chosen]
        at_s += options.straggler_window_s
    return events


def goodput_limit(scenario: Scenario, plan: StackPlan) -> dict[str, int]:
    """Return the bound of good requests for each client account.

    Requests that the caller cancels and the work that they cause do not count.
    """
    bounds = {}
    for account in CLIENT_ACCOUNTS:
        resources = PoolResources.from_engines(plan.engines_by_firm[account.name])
        calls = [
            (arrival.at_s, arrival.call)
            for arrival in scenario.arrivals
            if arrival.account is account
            and isinstance(arrival.call, ModelCall)
            and not arrival.call.cancels
        ]
        demands = compute_demands(account, calls, resources)
        bounds[account.name] = max_good_requests(demands, resources)
    return bounds
