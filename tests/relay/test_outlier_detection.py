"""Guards against engines that fail some of their runs and keep getting more.

Three of thirty engines responded with errors to 141 runs in ten seconds, about
half of the runs sent to them, each after its prompt had been prefilled. Each
host saw too few of the failures to avoid the engine: of 61 hosts only one
avoided one of the three.
"""

import asyncio

import pytest

from kumquat_core.clock import ManualClock
from kumquat_core.peer_messages import RunEnded, RunGrant
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.engine_probe import EngineProbe
from kumquat_relay.engine_registry import EngineRegistry, EngineRole
from kumquat_relay.limit_owner import LimitOwner
from kumquat_relay.outlier_detection import (
    MIN_FAILURES,
    WINDOW_S,
    OutcomeWindow,
    is_outlier,
)
from kumquat_relay.queue_owner import STARTUP_PAUSE_S, QueueOwner
from kumquat_relay.relay_rules import RelayRules
from kumquat_relay.store_version import StoreVersion

from .builders import SERVICE, SPEC, QueueHarness, engine, granted, run_request
from .quarantine_fleet import quarantine_of

ENGINES = 10
FAULTY_ENGINES = {"d0"}


def outcome_window(failures: int, runs: int) -> OutcomeWindow:
    result = OutcomeWindow()
    for index in range(runs):
        result.observe(index < failures, f"h{index % 4}", 100.0)
    return result


@pytest.mark.parametrize(
    ("own", "peers", "expected"),
    [
        ((3, 5), [(0, 10), (0, 10)], True),
        ((2, 2), [(0, 10), (0, 10)], False),
        ((3, 20), [(0, 10), (0, 10)], False),
        ((10, 20), [(0, 20), (1, 20)], True),
        ((10, 20), [(9, 20), (11, 20)], False),
        ((3, 3), [], True),
    ],
)
def test_an_outlier_fails_significantly_more_often_than_its_peers(
    own: tuple[int, int], peers: list[tuple[int, int]], expected: bool
) -> None:
    peer_windows = [outcome_window(*counts) for counts in peers]
    assert is_outlier(outcome_window(*own), peer_windows, 100.0) is expected


def test_failures_reported_by_one_of_several_hosts_do_not_make_an_outlier() -> None:
    """A host disconnected from an engine reports each run as failed."""
    disconnected, single_host = OutcomeWindow(), OutcomeWindow()
    for _ in range(8):
        disconnected.observe(True, "disconnected", 100.0)
        single_host.observe(True, "h", 100.0)
    disconnected.observe(False, "connected", 100.0)
    assert not is_outlier(disconnected, [outcome_window(0, 10)], 100.0)
    assert is_outlier(single_host, [outcome_window(0, 10)], 100.0)


def test_failures_older_than_the_window_are_ignored() -> None:
    assert not is_outlier(outcome_window(5, 5), [], 100.0 + WINDOW_S + 0.1)


def test_an_outlier_gets_runs_only_when_the_other_engines_are_full() -> None:
    world = QueueHarness(decode_engines=2, slots=2)
    world.add(run_request("failed"))
    for _ in range(4):
        world.queue.ledger.record_outcome("d0", "failed", True, world.now_s)
    world.end("failed")
    engines = []
    for index in range(3):
        request_id = f"r{index}"
        assert granted(world.add(run_request(request_id))) == [request_id]
        world.finish_prefill(request_id)
        engines.append(world.queue.ledger.decode_engine_of(request_id))
    assert engines == ["d1", "d1", "d0"]


class OwnerClusterState(ClusterState):
    """Cluster state of an owner that knows one service."""

    def engine_spec(self, service: str) -> object:
        return SPEC


async def _failed_runs(hosts: int, rules: RelayRules, runs: int) -> int:
    """Return how many runs of all hosts fail at an engine that fails half.

    The runs take place one after the other.
    """
    clock = ManualClock(100.0)
    health = EngineHealth(clock, rules)
    cluster_state = OwnerClusterState(clock, health)
    registry: EngineRegistry = cluster_state.registry
    for index in range(ENGINES):
        registry.put(engine(f"d{index}"), StoreVersion(1, index + 1))
    registry.put(engine("p0", EngineRole.PREFILL), StoreVersion(1, 100))
    probe = EngineProbe(None, health, registry)
    limits = LimitOwner(clock, cluster_state)
    quarantine = quarantine_of("h0", clock, registry)
    owner = QueueOwner(
        "h0",
        clock,
        cluster_state,
        health,
        probe,
        limits,
        quarantine.prompts,
        quarantine.observer,
        rules=rules,
    )
    first = asyncio.ensure_future(
        owner.admit(run_request("first", objective_ms=60_000), "h0")
    )
    await asyncio.sleep(0)
    # A new owner grants nothing until the hosts have reported their runs.
    clock.advance(STARTUP_PAUSE_S)
    owner.engines_changed()
    await first
    failed = sent = 0
    for number in range(runs):
        clock.advance(0.05)
        owner.drop_expired()
        request = run_request(f"r{number}", objective_ms=60_000)
        grant = await owner.admit(request, f"h{number % hosts}")
        assert isinstance(grant, RunGrant)
        fails = grant.decode_engine in FAULTY_ENGINES and sent % 2 == 0
        sent += grant.decode_engine in FAULTY_ENGINES
        failed += fails
        ended = RunEnded(request.request_id, SERVICE, gap_ms=0.0 if fails else 50.0)
        if fails:
            ended = RunEnded(
                request.request_id,
                SERVICE,
                failed_engine=grant.decode_engine,
                error_response=True,
            )
        owner.on_run_ended(ended)
    return failed


@pytest.mark.parametrize("hosts", [6, 60, 400])
def test_the_owner_combines_the_outcomes_reported_by_all_hosts(hosts: int) -> None:
    """The number of failed runs does not grow with the number of hosts."""
    failed = asyncio.run(_failed_runs(hosts, RelayRules(), runs=300))
    rules = RelayRules.without(["failure_shares"])
    without = asyncio.run(_failed_runs(hosts, rules, runs=300))
    # The outlier is detected after a few failures, and again each time its
    # failures have left the window.
    assert failed <= (MIN_FAILURES + 1) * (1 + 300 * 0.05 / WINDOW_S)
    assert failed < without / 2
