"""Guards against faults of the small decisions of the relay."""

import asyncio
from itertools import pairwise

import pytest

from kumquat_core.clock import ManualClock
from kumquat_core.settings import Address
from kumquat_relay.caller_request import CallerRequest, RequestFacts
from kumquat_relay.engine_health import EngineHealth, Failure
from kumquat_relay.engine_registry import EngineRegistry, EngineRole
from kumquat_relay.event_stream import EventSplitter
from kumquat_relay.order_lease import OrderLease
from kumquat_relay.owner_choice import OwnerChoice
from kumquat_relay.prefill_lapses import PrefillLapses
from kumquat_relay.protocols import LeaseState, WriteConflictError
from kumquat_relay.request_age import RequestAge
from kumquat_relay.retry_share import RetryShare, RetryTerms
from kumquat_relay.return_times import ReturnTimes
from kumquat_relay.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    WeightedService,
)
from kumquat_relay.shutdown import Shutdown
from kumquat_relay.stage_plan import Demand, StagePlan, best_readers

from .builders import SPEC, engine

ROUTE = Route(
    "r",
    "shop.example",
    "/a/",
    RouteKind.STREAM,
    (WeightedService("one", 90), WeightedService("two", 10)),
    timeout_ms=14_000,
    objective_ms=900,
    priority=1,
    max_engines=2,
)


def table(*prefixes: str) -> RouteTable:
    routes = tuple(
        Route(
            prefix,
            "Shop.example",
            prefix,
            RouteKind.ONCE,
            (WeightedService("s", 1),),
            800,
            150,
            2,
            1,
        )
        for prefix in prefixes
    )
    return RouteTable(1, routes, {}, CallerLimits(1, 1, 1, 1))


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/a/x", "/a/"),
        ("/a/b/x", "/a/b/"),
        ("/a/b?q=/a/b/c/", "/a/"),
        ("/ab/x", None),
        ("/a", None),
    ],
)
def test_the_longest_prefix_of_the_path_selects(
    target: str, expected: str | None
) -> None:
    route = table("/a/", "/a/b/").match("shop.example:80", target)
    assert (route.prefix if route else None) == expected


def test_a_split_route_keeps_its_shares_and_its_choice() -> None:
    chosen = [ROUTE.service_for(f"id{index}") for index in range(2000)]
    assert 0.07 < chosen.count("two") / 2000 < 0.13
    assert chosen == [ROUTE.service_for(f"id{index}") for index in range(2000)]


def request(deadline_ms: int | None) -> CallerRequest:
    facts = RequestFacts("id", "h", (), deadline_ms, None, None)
    return CallerRequest(facts, "POST", "/a/", b"", ROUTE, "one", 10.0)


def test_the_deadline_is_never_longer_than_the_route_allows() -> None:
    assert request(60_000).left_ms(10.0) == 14_000
    assert request(None).left_ms(10.0) == 14_000
    assert request(500).left_ms(10.2) == 300
    assert request(500).left_ms(11.0) == 0


def test_different_waiting_times_do_not_make_first_attempts_late() -> None:
    ages = RequestAge()
    assert ages.objective_left_ms(request(14_000)) == 900
    assert ages.objective_left_ms(request(11_700)) == 900
    assert ages.objective_left_ms(request(9_000)) == 900 - 5_000


def test_a_host_keeps_to_its_share_in_any_window() -> None:
    clock = ManualClock()
    share = RetryShare(clock, RetryTerms(0.2, 10.0, 58.0))
    share.host_count = 8
    spent = sum(share.try_spend("s") for _ in range(100))
    assert spent <= 58 / 8
    clock.advance(5.0)
    assert not share.try_spend("s")
    clock.advance(5.1)
    assert share.try_spend("s")


def test_requests_earn_repeats() -> None:
    share = RetryShare(ManualClock(), RetryTerms(0.2, 10.0, 0.0))
    for _ in range(100):
        share.count_request("s")
    assert 10 <= sum(share.try_spend("s") for _ in range(100)) <= 20


def test_refused_callers_return_one_after_the_other() -> None:
    times = ReturnTimes()
    returns = [times.next_return_s(0.5, 24, 30.0, 100.0) for _ in range(8)]
    gaps = [later - earlier for earlier, later in pairwise(returns)]
    assert returns[0] == pytest.approx(4.0)
    assert min(gaps) > 0.2


def test_refused_callers_return_while_they_have_time_left() -> None:
    times = ReturnTimes()
    returns = [times.next_return_s(9.0, 24, 6.0, 100.0) for _ in range(8)]
    assert max(returns) <= 2.0
    assert times.next_return_s(9.0, 24, -1.0, 100.0) == 0.0


def test_an_engine_that_restarts_is_not_taken_for_the_old_one() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), 5)
    assert registry.remove("e", 6, now_s=100.0)
    assert not registry.put(engine("e"), 5)
    assert registry.get("e") is None
    assert registry.put(engine("e"), 7)


def test_entries_that_lapsed_with_the_store_may_return() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), 5)
    registry.store_returned(100.0)
    registry.remove("e", 6, now_s=100.5)
    assert list(registry.usable("advice"))
    registry.put(engine("e"), 7)
    assert registry.expire(103.0) == []
    registry.remove("e", 8, now_s=103.0)
    assert registry.get("e") is None


def test_an_entry_that_does_not_return_is_gone() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), 5)
    registry.store_returned(100.0)
    registry.remove("e", 6, now_s=100.5)
    assert registry.expire(101.0) == []
    assert registry.expire(102.5) == ["e"]


def test_error_answers_alone_do_not_avoid_an_engine() -> None:
    """One request in seven fails at a sound engine."""
    health = EngineHealth(ManualClock())
    for index in range(70):
        if index % 7 == 0:
            assert not health.failed("e", Failure.ERROR_ANSWER)
        else:
            health.succeeded("e")
    assert not health.is_avoided("e")


def test_an_avoided_engine_gets_one_trial_at_a_time() -> None:
    clock = ManualClock()
    health = EngineHealth(clock)
    assert health.failed("e", Failure.UNREACHABLE)
    assert health.is_avoided("e")
    clock.advance(0.8)
    assert not health.is_avoided("e")
    health.begin("e")
    assert health.is_avoided("e")
    assert health.succeeded("e")
    assert not health.is_avoided("e")


def test_results_that_lapse_are_not_named_for_a_while() -> None:
    clock = ManualClock()
    lapses = PrefillLapses(clock)
    address = Address("10.0.0.1", 80)
    assert not lapses.expected(address)
    lapses.note(address)
    assert lapses.expected(address)
    clock.advance(2.1)
    assert not lapses.expected(address)


def test_a_partial_event_is_not_passed_on() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == 1
    splitter.restart()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.events == 2


def test_another_host_becomes_owner_until_the_first_answers() -> None:
    clock = ManualClock()
    hosts = ["a", "b", "c"]
    choice = OwnerChoice("c", clock, lambda: dict.fromkeys(hosts, 1.0))
    first = choice.first("s")
    others = [host for host in hosts if host != first]
    if first == "c":
        pytest.skip("the hash makes this host the owner")
    assert choice.unreachable(first)
    assert choice.owner("s") in others
    assert choice.to_probe("s") is None
    clock.advance(1.1)
    assert choice.to_probe("s") == first
    assert choice.reachable(first)
    assert choice.owner("s") == first


def test_weak_hosts_own_no_queue() -> None:
    """A host with half a core fell behind as the owner of eighty hosts."""
    strengths = {f"weak{index}": 0.5 for index in range(20)} | {"strong": 2.1}
    choice = OwnerChoice("weak0", ManualClock(), lambda: strengths, 0.5)
    assert choice.owner("s") == "strong"
    choice.unreachable("strong")
    assert choice.owner("s") == "weak0"


def test_a_host_without_the_store_hands_its_queue_on() -> None:
    choice = OwnerChoice("c", ManualClock(), lambda: dict.fromkeys("abc", 1.0))
    first = choice.first("s")
    choice.set_outdated(first, True)
    assert choice.owner("s") != first
    for host in ("a", "b", "c"):
        choice.set_outdated(host, True)
    assert choice.owner("s") == first


def test_most_engines_run_streams_when_answers_are_as_long_as_prompts() -> None:
    demand = Demand(17_000.0, 20_000.0)
    assert best_readers(3, SPEC, demand) == 1
    assert best_readers(9, SPEC, demand) < 9 / 2
    assert best_readers(1, SPEC, demand) == 0


def test_a_role_without_an_engine_is_filled() -> None:
    plan = StagePlan()
    engines = [engine("a", EngineRole.PREFILL), engine("b", EngineRole.PREFILL)]
    assert plan.propose(engines, SPEC, Demand(), {}, 100.0) is None
    change = plan.propose(engines, SPEC, Demand(), {"a": 2}, 102.6)
    assert change is not None
    assert change.engine.id == "b"
    assert change.role is EngineRole.DECODE


def test_a_small_gain_changes_no_role() -> None:
    plan = StagePlan()
    engines = [
        engine("a", EngineRole.PREFILL),
        engine("b"),
        engine("c"),
    ]
    for now_s in (0.0, 10.0):
        assert plan.propose(engines, SPEC, Demand(), {}, now_s) is None


class LeaseStore:
    """The lease part of a store, with a clock of its own."""

    def __init__(self) -> None:
        self.holder, self.version = "", 0
        self.used_until_ms: int | None = None
        self.now_s = 5000.0

    async def read_lease(self, name: str) -> LeaseState:
        store_ms = int(self.now_s * 1000)
        return LeaseState(self.holder, self.version, self.used_until_ms, store_ms)

    async def take_lease(
        self, name: str, holder: str, used_until_ms: int, expected: int
    ) -> int:
        if expected != self.version:
            raise WriteConflictError
        self.holder, self.version = holder, self.version + 1
        self.used_until_ms = used_until_ms
        return self.version


class LeaseWorld:
    def __init__(self) -> None:
        self.store = LeaseStore()
        self._began_s = self.store.now_s

    @property
    def now_s(self) -> float:
        return self.store.now_s - self._began_s

    @now_s.setter
    def now_s(self, value: float) -> None:
        self.store.now_s = self._began_s + value

    def lease(self, holder: str) -> OrderLease:
        return OrderLease("l", holder, self.store, 3.0, lambda: self.now_s)  # type: ignore[arg-type]


def test_holders_take_no_turns_within_a_lease() -> None:
    world = LeaseWorld()
    first, second = world.lease("a"), world.lease("b")
    assert asyncio.run(first.acquire())
    last_use_s = 1.0
    world.now_s = 0.5
    assert not asyncio.run(second.acquire())
    assert first.usable()
    world.now_s = last_use_s
    assert not first.usable()
    while not asyncio.run(second.acquire()):
        world.now_s += 0.1
    assert world.now_s >= last_use_s + 3.0


def test_a_holder_that_was_frozen_finds_its_lease_over() -> None:
    world = LeaseWorld()
    first, second = world.lease("a"), world.lease("b")
    asyncio.run(first.acquire())
    asyncio.run(second.acquire())
    world.now_s = 6.0
    assert asyncio.run(second.acquire())
    world.now_s = 10.0
    assert not first.usable()
    assert not asyncio.run(first.acquire())
    world.now_s = 10.7
    assert asyncio.run(first.acquire())


def test_a_lease_that_was_taken_during_the_wait_is_not_used() -> None:
    world = LeaseWorld()
    first, second, third = (world.lease(name) for name in "abc")
    asyncio.run(first.acquire())
    asyncio.run(second.acquire())
    world.now_s = 2.0
    asyncio.run(third.acquire())
    world.now_s = 5.0
    assert not asyncio.run(second.acquire())


def test_a_waiting_holder_writes_nothing() -> None:
    """Two hosts took the lease from each other twice a second."""
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    second = world.lease("b")
    asyncio.run(second.acquire())
    version = world.store.version
    world.now_s = 1.0
    assert not asyncio.run(second.acquire())
    assert world.store.version == version


def test_an_idle_lease_is_used_at_once() -> None:
    """A new owner waited 4.6 s for the lease of a stopped host (inc-6113)."""
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.now_s = 4.7
    assert asyncio.run(world.lease("b").acquire())


def test_a_lease_waits_only_for_what_is_left_of_the_last_use() -> None:
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.now_s = 3.0
    second = world.lease("b")
    assert not asyncio.run(second.acquire())
    world.now_s = 4.7
    assert asyncio.run(second.acquire())


def test_a_lease_with_an_unknown_end_waits_the_longest() -> None:
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.store.used_until_ms = None
    world.now_s = 60.0
    second = world.lease("b")
    assert not asyncio.run(second.acquire())
    world.now_s = 64.0
    assert not asyncio.run(second.acquire())
    world.now_s = 64.7
    assert asyncio.run(second.acquire())


def test_a_store_clock_that_began_anew_delays_no_lease_for_long() -> None:
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.store.used_until_ms = 10**9
    second = world.lease("b")
    assert not asyncio.run(second.acquire())
    world.now_s = 4.7
    assert asyncio.run(second.acquire())


def test_a_stream_that_would_be_cut_is_refused_in_time() -> None:
    """A stream taken six seconds after SIGTERM was cut (fresh-c5eb)."""
    clock = ManualClock()
    shutdown = Shutdown(clock, grace_s=8.0)
    shutdown.begin()
    assert not shutdown.refuses_streams
    clock.advance(2.1)
    assert shutdown.refuses_streams
    assert shutdown.left_s == pytest.approx(8.0 - 2.1 - 0.7)


def test_a_host_ends_when_idle_and_at_the_latest_before_the_kill() -> None:
    clock = ManualClock()
    shutdown = Shutdown(clock, grace_s=8.0)
    shutdown.begin()
    assert not shutdown.may_end()
    clock.advance(2.6)
    assert shutdown.may_end()
    with shutdown.request():
        assert not shutdown.may_end()
        clock.advance(5.0)
        assert shutdown.may_end()
