"""Tests that polls of the store are rare and still detect a loss in time."""

import asyncio

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.poll_times import RECENT_VERSION_TIMEOUT_S, PollTimes
from kumquat_relay.protocols import StateKind

from .relay_harness import RelayHarness, configuration, run_scenario

CONFIGURATION, ENGINES = StateKind.CONFIGURATION, StateKind.ENGINES


@pytest.mark.parametrize("notice_s", [1.0, 3.0, 5.0])
def test_unresponsive_connection_is_detected_in_time(notice_s: float) -> None:
    times = PollTimes(notice_s, lambda: False, lambda: False)
    for kind in (CONFIGURATION, ENGINES):
        assert 0.0 < times.wait_s(kind) < notice_s


def test_hosts_with_a_recent_owner_version_poll_the_configuration_less() -> None:
    """Polls without a change can be two thirds of all calls to the store.

    That was so for 195 hosts without changes of the configuration.
    """
    times = PollTimes(5.0, lambda: False, lambda: True)
    assert times.wait_s(CONFIGURATION) == RECENT_VERSION_TIMEOUT_S
    assert times.wait_s(ENGINES) < 5.0
    owner = PollTimes(5.0, lambda: True, lambda: True)
    assert owner.wait_s(CONFIGURATION) <= 2.0


def test_owner_version_expires_when_owners_are_unreachable() -> None:
    clock = ManualClock(100.0)
    cluster_state = ClusterState(clock, EngineHealth(clock))
    assert not cluster_state.has_recent_owner_version()
    cluster_state.record_owner_version(-1)
    assert cluster_state.has_recent_owner_version()
    clock.advance(3.5)
    assert not cluster_state.has_recent_owner_version()


def test_host_behind_its_owner_polls_again() -> None:
    """The connection of its poll for the configuration is unresponsive."""

    async def scenario(harness: RelayHarness) -> None:
        cluster_state = harness.host._parts.cluster_state
        # A poll that begins after the change would return it at once.
        await harness.wait_until(lambda: harness.store.waiting_polls["op"] > 0)
        # The change reaches the store without ending the waiting polls.
        changed, harness.store._changed = harness.store._changed, asyncio.Event()
        harness.store.put("op", "config", configuration(8))
        await asyncio.sleep(0.7)
        assert cluster_state.version == 3
        cluster_state.record_owner_version(8)
        await harness.wait_until(lambda: cluster_state.version == 8)
        changed.set()

    run_scenario(scenario)


def test_host_that_is_not_behind_does_not_poll_again() -> None:
    async def scenario(harness: RelayHarness) -> None:
        cluster_state = harness.host._parts.cluster_state
        repolls = []
        cluster_state.on_newer_version = lambda: repolls.append(True)
        cluster_state.record_owner_version(cluster_state.version)
        cluster_state.record_owner_version(1)
        assert repolls == []
        cluster_state.record_owner_version(9)
        cluster_state.record_owner_version(9)
        assert repolls == [True]

    run_scenario(scenario)


def test_idle_hosts_receive_many_new_engines_with_one_poll() -> None:
    """Otherwise each engine that registers ends a poll of every host."""
    idle_host = PollTimes(5.0, lambda: False, lambda: True, lambda: True)
    active_host = PollTimes(5.0, lambda: False, lambda: True, lambda: False)
    owner_host = PollTimes(5.0, lambda: True, lambda: True, lambda: True)
    assert active_host.pause_s(ENGINES) == owner_host.pause_s(ENGINES) <= 0.2
    # A leaving engine must get no new work after two seconds.
    assert active_host.pause_s(ENGINES) < idle_host.pause_s(ENGINES) < 2.0
    assert idle_host.pause_s(CONFIGURATION) == 0.0
