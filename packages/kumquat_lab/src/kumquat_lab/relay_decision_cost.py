"""Measures the processor time that the owner of a relay service needs.

An event is the end of a run followed by a new request while all slots are
held: the owner frees a slot, grants it to the most urgent waiting request and
decides on the new one. The measurement varies the numbers of engines and of
waiting requests and uses the same queue as the hosts.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass

from rich.console import Console

from kumquat_core.clock import ManualClock
from kumquat_core.peer_messages import HeldRun, RunRequest
from kumquat_core.settings import Address
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.engine_registry import EngineEntry, EngineRegistry, EngineRole
from kumquat_relay.retry_schedule import RetrySchedule
from kumquat_relay.routes import EngineSpec
from kumquat_relay.store_version import StoreVersion
from kumquat_relay.stream_queue import StreamQueue

__all__ = ["RelayDecisionCost", "measure_relay_decisions", "run_relay_decisions"]

SERVICE = "service"
HOST = "host"
ENGINE_COUNTS = (10, 100, 500)
WAITING_COUNTS = (0, 100, 1000)
EVENTS = 200
# One engine in this many is a prefill engine.
ENGINES_PER_PREFILL_ENGINE = 5
SLOTS = 12
PROMPT_TOKENS = 5000
OUTPUT_TOKENS = 5500
SPEC = EngineSpec(SLOTS, 144_611, 89, 0.5, 6.0, 2000)
# Waiting requests are never late. New ones can only just be served in time.
LONG_OBJECTIVE_MS = 60_000
OBJECTIVE_MS = 900
EVENT_PERIOD_S = 0.001


@dataclass(frozen=True)
class RelayDecisionCost:
    """Processor time of one event in milliseconds."""

    engines: int
    waiting: int
    event_ms: float


def _request(request_id: str, objective_ms: int) -> RunRequest:
    return RunRequest(
        request_id,
        SERVICE,
        PROMPT_TOKENS,
        OUTPUT_TOKENS,
        1,
        objective_ms,
        2 * LONG_OBJECTIVE_MS,
        2 * LONG_OBJECTIVE_MS,
    )


def _registry(engines: int) -> EngineRegistry:
    registry = EngineRegistry()
    for index in range(engines):
        role = (
            EngineRole.DECODE
            if index % ENGINES_PER_PREFILL_ENGINE
            else EngineRole.PREFILL
        )
        entry = EngineEntry(
            f"e{index}", SERVICE, Address("10.0.0.1", index + 1), "a", 0, False, role
        )
        registry.put(entry, StoreVersion(1, index + 1))
    return registry


def _held_runs(registry: EngineRegistry) -> Iterator[HeldRun]:
    """Yield runs that hold all slots, started one after the other."""
    for entry in registry.usable(SERVICE, EngineRole.DECODE):
        for slot in range(SLOTS):
            age_ms = 100 + 250 * slot
            yield HeldRun(
                f"{entry.id}-{slot}", entry.id, PROMPT_TOKENS, OUTPUT_TOKENS, age_ms
            )


def measure_relay_decisions(engines: int, waiting: int) -> RelayDecisionCost:
    """Return the mean processor time per event."""
    clock = ManualClock(100.0)
    registry = _registry(engines)
    queue = StreamQueue(SERVICE, registry, EngineHealth(clock), RetrySchedule())
    queue.ledger.refresh(SPEC)
    for index in range(waiting):
        queue.add(_request(f"w{index}", LONG_OBJECTIVE_MS), HOST, clock.monotonic())
    held = list(_held_runs(registry))
    queue.ledger.reconcile(HOST, held, clock.monotonic())
    began_s = time.process_time()
    for index in range(EVENTS):
        clock.advance(EVENT_PERIOD_S)
        now_s = clock.monotonic()
        queue.ended(held[index % len(held)].request_id, 50.0, now_s)
        queue.advance(now_s)
        queue.add(_request(f"a{index}", OBJECTIVE_MS), HOST, now_s)
    event_ms = (time.process_time() - began_s) / EVENTS * 1000
    return RelayDecisionCost(engines, queue.waiting_count, event_ms)


def run_relay_decisions() -> None:
    """Print one line per combination of engines and waiting requests."""
    console = Console()
    for engines in ENGINE_COUNTS:
        for waiting in WAITING_COUNTS:
            cost = measure_relay_decisions(engines, waiting)
            console.print(
                f"engines={cost.engines} waiting={cost.waiting} "
                f"event_ms={cost.event_ms:.3f}"
            )
