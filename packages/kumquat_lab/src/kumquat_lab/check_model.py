"""Checks all specifications: ``python -m kumquat_lab check-model``.

The bounds of the models make every state space finite. A search that reaches
its limit of states fails the check, because it proves nothing. A mutant of a
protocol in which the checker finds no violation fails the check too.
"""

import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from .model_checks import CheckResult, Specification, run_check
from .model_mutants import Mutant, all_mutants, mutant_specification
from .spec_memory import MemoryModel, memory_specification
from .spec_requests import RequestsModel, requests_specification
from .spec_tickets import Outage, TicketsModel, tickets_specification

__all__ = ["run_checks", "specifications"]

# Models run in parallel; the largest takes half of the total time.
MAX_WORKERS = 3

# The largest model has 220,645 states.
MAX_REQUESTS_STATES = 300_000

REQUESTS_MODELS = (
    RequestsModel(calls=2, checks_fencing=True, faults=2, crashes=2),
    RequestsModel(calls=2, checks_fencing=True, faults=1, crashes=1, attempts=2),
    RequestsModel(calls=3, checks_fencing=True, faults=1, crashes=1),
    RequestsModel(calls=2, checks_fencing=False, faults=2, crashes=2),
    RequestsModel(calls=2, checks_fencing=False, faults=2, crashes=1, attempts=2),
    RequestsModel(calls=3, checks_fencing=False, faults=1, crashes=2),
    RequestsModel(calls=3, checks_fencing=False, faults=2, crashes=1),
)
TICKETS_MODELS = (
    TicketsModel(numbers=(2, 1), faults=2),
    TicketsModel(numbers=(2, 1), outage=Outage.PERMANENT),
    TicketsModel(numbers=(2, 1, 1), faults=1),
    TicketsModel(numbers=(3, 2, 1), faults=0),
    TicketsModel(numbers=(2, 1), hosts=3, faults=0),
)
MEMORY_MODELS = (
    MemoryModel(pieces=1, crashes=2, faults=1),
    MemoryModel(pieces=2, crashes=1, faults=1),
)


def specifications() -> Iterator[Specification]:
    """Yield the specifications that ``check-model`` checks."""
    for model in REQUESTS_MODELS:
        yield requests_specification(model, MAX_REQUESTS_STATES)
    yield from map(tickets_specification, TICKETS_MODELS)
    yield from map(memory_specification, MEMORY_MODELS)


def run_checks() -> bool:
    """Check all specifications and mutants; return whether all passed."""
    began_s = time.perf_counter()
    results = []
    with ProcessPoolExecutor(MAX_WORKERS) as pool:
        for result in pool.map(_check_at_index, range(len(list(specifications())))):
            _print_result(result)
            results.append(result)
        detected = list(pool.map(_detects_mutant, all_mutants()))
    states = sum(result.states for result in results)
    seconds = time.perf_counter() - began_s
    passed = all(result.passed for result in results) and all(detected)
    verdict = "passed" if passed else "FAILED"
    print(
        f"{verdict}: {len(results)} models, {states} states, "
        f"{sum(detected)} of {len(detected)} mutants caught, {seconds:.1f} s"
    )
    return passed


def _detects_mutant(mutant: Mutant) -> bool:
    """Check a mutant, print and return whether its violation was found."""
    trace = run_check(mutant_specification(mutant)).violations.get(mutant.violated)
    verdict = "NOT caught" if trace is None else f"caught after {len(trace)} steps"
    print(f"mutant {mutant.protocol}/{mutant.name}: {verdict}", flush=True)
    return trace is not None


def _check_at_index(index: int) -> CheckResult:
    """Check the specification at an index; only the index can be pickled."""
    return run_check(list(specifications())[index])


def _print_result(result: CheckResult) -> None:
    print(_result_line(result), flush=True)
    for name, labels in result.violations.items():
        print(f"  {name} is violated after:")
        print("".join(f"    {label}\n" for label in labels), end="")


def _result_line(result: CheckResult) -> str:
    if result.violations:
        verdict = "violated"
    else:
        verdict = "holds" if result.exhaustive else "not exhaustive"
    return (
        f"{result.name}: {verdict}, {result.states} states "
        f"(limit {result.max_states}), {result.seconds:.1f} s"
    )
