"""Guards against polls that cost too much or notice a loss too late."""

import asyncio

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.beliefs import Beliefs
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.poll_times import HINTED_WAIT_S, PollTimes
from kumquat_relay.protocols import StateKind

from .relay_world import RelayWorld, configuration, play

CONFIGURATION, ENGINES = StateKind.CONFIGURATION, StateKind.ENGINES


@pytest.mark.parametrize("notice_s", [1.0, 3.0, 5.0])
def test_a_silent_connection_is_noticed_in_time(notice_s: float) -> None:
    times = PollTimes(notice_s, lambda: False, lambda: False)
    for kind in (CONFIGURATION, ENGINES):
        assert 0.0 < times.wait_s(kind) < notice_s


def test_hosts_that_hear_from_owners_poll_the_configuration_less() -> None:
    """195 hosts made 12,500 calls to the store on a quiet day, two thirds of
    them polls that ended without a change (madafu-route-large quiet-1)."""
    times = PollTimes(5.0, lambda: False, lambda: True)
    assert times.wait_s(CONFIGURATION) == HINTED_WAIT_S
    assert times.wait_s(ENGINES) < 5.0
    owner = PollTimes(5.0, lambda: True, lambda: True)
    assert owner.wait_s(CONFIGURATION) <= 2.0


def test_hints_lapse_when_owners_are_out_of_reach() -> None:
    clock = ManualClock(100.0)
    beliefs = Beliefs(clock, EngineHealth(clock))
    assert not beliefs.hinted()
    beliefs.peer_version(-1)
    assert beliefs.hinted()
    clock.advance(3.5)
    assert not beliefs.hinted()


def test_a_host_behind_its_owner_polls_anew() -> None:
    """The poll of the configuration had fallen silent."""

    async def script(world: RelayWorld) -> None:
        beliefs = world.host._parts.beliefs
        # The change reaches the store without ending the polls that wait.
        changed, world.store._changed = world.store._changed, asyncio.Event()
        world.store.put("op", "config", configuration(8))
        await asyncio.sleep(0.7)
        assert beliefs.version == 3
        beliefs.peer_version(8)
        await world.until(lambda: beliefs.version == 8)
        changed.set()

    play(script)


def test_a_host_that_is_not_behind_does_not_poll_anew() -> None:
    async def script(world: RelayWorld) -> None:
        beliefs = world.host._parts.beliefs
        renewed = []
        beliefs.on_behind = lambda: renewed.append(True)
        beliefs.peer_version(beliefs.version)
        beliefs.peer_version(1)
        assert renewed == []
        beliefs.peer_version(9)
        beliefs.peer_version(9)
        assert renewed == [True]

    play(script)


def test_idle_hosts_take_many_new_engines_with_one_poll() -> None:
    """Each engine that registered ended a poll of every host."""
    rests = PollTimes(5.0, lambda: False, lambda: True, lambda: True)
    works = PollTimes(5.0, lambda: False, lambda: True, lambda: False)
    owns = PollTimes(5.0, lambda: True, lambda: True, lambda: True)
    assert works.pause_s(ENGINES) == owns.pause_s(ENGINES) <= 0.2
    # Work must leave a leaving engine within two seconds.
    assert works.pause_s(ENGINES) < rests.pause_s(ENGINES) < 2.0
    assert rests.pause_s(CONFIGURATION) == 0.0
