"""Shared parts of the specifications for the model checker.

A specification has a function that returns the transitions of a state.
``minicheck`` explores the state space exhaustively, breadth first. A check
passes only when the complete state space was explored: a search that
``minicheck`` ends at its limit of states proves nothing.
"""

import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol, check_liveness, check_safety

__all__ = ["CheckResult", "Specification", "Step", "Steps", "run_check"]


class Step(NamedTuple):
    """A labelled transition to a state."""

    label: str
    state: Any


Steps = list[Step]


@dataclass(frozen=True)
class Specification:
    """A model, its invariants, and optionally a goal.

    The goal must be reachable from every reachable state, which shows that
    the system never gets stuck permanently. ``minicheck`` explores at most
    200,000 states for a goal.
    """

    name: str
    fields: tuple[str, ...]
    initial: tuple[Hashable, ...]
    steps: Callable[[Any], Steps]
    invariants: dict[str, Callable[[dict[str, Any]], bool]]
    goal: Callable[[dict[str, Any]], bool] | None = None
    max_states: int = 200_000


@dataclass(frozen=True)
class CheckResult:
    """Result of a check; ``violations`` has a trace of labels by property."""

    name: str
    states: int
    max_states: int
    exhaustive: bool
    violations: dict[str, list[str]]
    seconds: float

    @property
    def passed(self) -> bool:
        """Tell whether all properties hold in the complete state space."""
        return self.exhaustive and not self.violations


def run_check(specification: Specification) -> CheckResult:
    """Explore the state space and return the result with any violations."""
    began_s = time.perf_counter()
    protocol = Protocol(
        name=specification.name,
        candidate=False,
        fields=specification.fields,
        initial=specification.initial,
        transitions=specification.steps,
        invariants=specification.invariants,
        goal=specification.goal,
    )
    report = check_safety(protocol, max_states=specification.max_states)
    violations = {
        name: _labels(found["counterexample"])
        for name, found in report["properties"].items()
        if found["holds"] is False
    }
    exhaustive = bool(report["exhaustive"])
    if specification.goal is not None and exhaustive:
        liveness = check_liveness(protocol)
        if liveness["holds"] is None:
            exhaustive = False
        elif not liveness["holds"]:
            violations["goal_stays_reachable"] = _labels(liveness["counterexample"])
    return CheckResult(
        specification.name,
        report["reachable_states"],
        specification.max_states,
        exhaustive,
        violations,
        time.perf_counter() - began_s,
    )


def _labels(counterexample: list[dict[str, Any]]) -> list[str]:
    """Return the labels of a trace, without its initial state."""
    return [str(item["label"]) for item in counterexample[1:]]
