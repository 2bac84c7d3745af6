"""Guards against overcommitted memory, lost requests and late results."""

import asyncio
from dataclasses import replace

from hypothesis import given, settings, strategies as st
from scheduling_builders import (
    CONFIGURATION,
    SHARD_ID,
    TENANTS,
    SchedulerHarness,
)

from kumquat_core.peer_messages import HeldGrant, PrefillDone, SlowStep
from kumquat_core.result_codes import ResultCode
from kumquat_core.rule_set import RuleSet
from kumquat_lab.sample_engines import make_engine

INTERACTIVE = {
    "class_name": "interactive",
    "ttft_deadline_ms": 1000,
    "patience_ms": 2000,
}


def run(scenario) -> None:
    asyncio.run(scenario())


def test_no_prefill_starts_without_a_decode_slot():
    async def scenario():
        harness = SchedulerHarness(
            make_engine("p1"), make_engine("p2"), make_engine("d1", total_pieces=2)
        )
        await harness.admit(1)
        await harness.admit(2)
        assert list(harness.grants) == [1]
        await harness.finish_request(1)
        assert list(harness.grants) == [1, 2]

    run(scenario)


def test_urgent_request_is_granted_before_patient_ones():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        await harness.admit(1)
        await harness.admit(2)
        await harness.admit(3, **INTERACTIVE)
        await harness.finish_prefill(1)
        assert list(harness.grants) == [1, 3]

    run(scenario)


def test_request_that_cannot_meet_its_target_is_refused_on_arrival():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        # Each prefill takes 1 s, so the fifth request starts too late.
        await harness.admit(1, prompt_tokens=10000)
        await harness.finish_prefill(1, 1000.0)
        for number in (2, 3, 4):
            await harness.admit(number, prompt_tokens=10000)
        await harness.admit(5, **INTERACTIVE)
        refusal = harness.refusals[5]
        assert refusal.code == ResultCode.NO_CAPACITY_IN_TIME
        assert refusal.retry_after_ms >= 100
        assert 5 not in harness.grants

    run(scenario)


def test_queued_long_prefill_is_displaced_by_a_short_one():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        digest = {"class_name": "digest", "prompt_tokens": 10000}
        check = INTERACTIVE | {"prompt_tokens": 100}
        await harness.admit(1, **digest)
        await harness.finish_prefill(1, 1000.0)
        await harness.admit(2, **check)
        await harness.finish_prefill(2, 10.0)
        await harness.admit(3, prompt_tokens=100)
        await harness.admit(4, **digest, ttft_deadline_ms=1600)
        await harness.admit(5, **check)
        assert harness.refusals[4].code == ResultCode.NO_CAPACITY_IN_TIME
        assert 5 not in harness.refusals

    run(scenario)


def test_late_request_is_refused_before_its_patience_ends_under_overload():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        await harness.admit(0, prompt_tokens=10000)
        await harness.finish_prefill(0, 1000.0)
        await harness.admit(1, prompt_tokens=10000)
        await harness.admit(2, prompt_tokens=10000, ttft_deadline_ms=3000)
        for number in range(3, 20):
            await harness.admit(number, prompt_tokens=10000)
        assert 2 not in harness.refusals
        await harness.advance(2.5)
        assert harness.refusals[2].code == ResultCode.NO_CAPACITY_IN_TIME

    run(scenario)


def test_queued_request_is_refused_when_its_patience_ends():
    async def scenario():
        harness = SchedulerHarness(
            make_engine("p1"),
            make_engine("d1"),
            rules=RuleSet(early_refusal=False),
        )
        await harness.admit(1)
        await harness.admit(2, **INTERACTIVE)
        await harness.advance(2.1)
        assert harness.refusals[2].code == ResultCode.NO_CAPACITY_IN_TIME

    run(scenario)


def test_large_request_is_not_starved_by_smaller_ones():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1", total_pieces=8))
        for number in (0, 1):
            await harness.admit(number)
            await harness.finish_prefill(number)
        await harness.admit(100, max_tokens=6000)  # needs 7 of 8 pieces
        for number in range(2, 60):
            await harness.admit(number, ttft_deadline_ms=15000)
            await harness.finish_prefill(number)
            await harness.finish_request(number - 2)
            await harness.advance(0.2)
        assert 100 in harness.grants

    run(scenario)


def test_batch_stays_within_the_tbt_target_of_its_strictest_class():
    async def scenario():
        # A step takes 10 ms plus 1 ms per request: 5 requests meet 15 ms.
        harness = SchedulerHarness(
            *(make_engine(f"p{i}") for i in range(9)), make_engine("d1")
        )
        classes = dict(CONFIGURATION.classes_by_name)
        classes["strict"] = replace(classes["interactive"], tbt_target_ms=15)
        harness.scheduler.update_configuration(
            replace(CONFIGURATION, classes_by_name=classes)
        )
        await harness.admit(0, class_name="strict")
        for number in range(1, 9):
            await harness.admit(number)
        assert len(harness.grants) == 5

    run(scenario)


def test_undeliverable_grant_is_released():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        await harness.admit(1)
        await harness.admit(2)
        done = PrefillDone("h.1.1", SHARD_ID, 100.0, 0)
        harness.scheduler.prefill_done(done)  # grants 2
        harness.tasks[2].cancel()
        await harness.run_event_loop()
        assert not harness.grants.get(2)
        assert harness.free_pieces() == 38

    run(scenario)


def test_tenant_at_its_limit_is_refused_until_a_request_ends():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        tenants = {"madafu": replace(TENANTS["madafu"], max_concurrent=1)}
        harness.scheduler.update_configuration(
            replace(CONFIGURATION, tenants_by_name=tenants)
        )
        await harness.admit(1)
        await harness.admit(2)
        assert harness.refusals[2].code == ResultCode.TENANT_LIMIT
        await harness.finish_request(1)
        await harness.admit(3)
        assert 3 in harness.grants

    run(scenario)


def test_overload_by_one_tenant_leaves_the_other_its_share():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1", max_requests=1))
        for number in range(20):
            await harness.admit(number)
        for number in range(20, 24):
            await harness.admit(number, tenant="hagestad", ttft_deadline_ms=25000)
        for _ in range(9):
            latest = list(harness.grants)[-1]
            await harness.finish_prefill(latest)
            await harness.finish_request(latest)
        others = [number for number in harness.grants if number >= 20]
        assert len(others) == 4

    run(scenario)


def test_grants_of_a_dead_process_are_released():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        await harness.admit(1)
        await harness.admit(2)  # waits for the prefill engine
        cancels = harness.scheduler.remove_host_process("h", 1)
        await harness.run_event_loop()
        assert cancels == [("p1", "h.1.1"), ("d1", "h.1.1")]
        assert harness.free_pieces() == 40
        assert 2 not in harness.grants

    run(scenario)


def test_new_owner_records_the_grants_that_hosts_still_hold():
    async def scenario():
        harness = SchedulerHarness(make_engine("p1"), make_engine("d1"))
        harness.scheduler.track_grant(HeldGrant("old.1.1", "p1", "d1", 2, True))
        harness.scheduler.track_grant(HeldGrant("old.1.2", "", "d1", 3, False))
        assert harness.free_pieces() == 35
        await harness.admit(1)
        assert not harness.grants  # p1 is busy with a reported prefill
        assert len(harness.scheduler.held_grants()) == 2
        harness.scheduler.cancel("old.1.1")
        harness.scheduler.cancel("old.1.2")
        await harness.run_event_loop()
        assert 1 in harness.grants
        assert harness.free_pieces() == 38

    run(scenario)


def test_overdue_prefill_shifts_load_to_other_engines_before_it_ends():
    async def scenario():
        harness = SchedulerHarness(
            make_engine("p1"), make_engine("p2"), make_engine("d1")
        )
        await harness.admit(1)
        await harness.admit(2)
        slow = harness.grants[1].prefill_engine
        await harness.finish_prefill(2)
        await harness.advance(0.4)
        # Cancelled while overdue: the engine must not look idle and fast.
        await harness.finish_request(1, code=ResultCode.CALLER_GONE.value)
        for number in range(3, 7):
            await harness.admit(number)
            assert harness.grants[number].prefill_engine != slow
            await harness.finish_prefill(number)
            await harness.finish_request(number)
        await harness.advance(10.0)
        await harness.admit(7)
        await harness.admit(8)
        assert slow in {harness.grants[n].prefill_engine for n in (7, 8)}

    run(scenario)


def test_slow_decode_step_shifts_load_before_the_stream_ends():
    async def scenario():
        harness = SchedulerHarness(
            make_engine("p1"), make_engine("d1"), make_engine("d2")
        )
        await harness.admit(1)
        await harness.finish_prefill(1)
        slow = harness.grants[1].decode_engine
        harness.scheduler.slow_step(SlowStep("h.1.1", SHARD_ID, 300.0))
        for number in range(2, 6):
            await harness.admit(number)
            await harness.finish_prefill(number)
            assert harness.grants[number].decode_engine != slow

    run(scenario)


def test_failed_engine_does_not_attract_all_requests():
    async def scenario():
        harness = SchedulerHarness(
            make_engine("p1"), make_engine("p2"), make_engine("d1")
        )
        await harness.admit(1)
        failed = harness.grants[1].prefill_engine
        await harness.finish_request(
            1, code=ResultCode.ENGINE_FAILED.value, failed_engine=failed
        )
        await harness.admit(2)
        assert harness.grants[2].prefill_engine != failed

    run(scenario)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["admit", "prefilled", "released", "cancel", "wait"]),
        st.integers(0, 11),
        st.integers(1, 7000),
    ),
    max_size=60,
)


@given(ACTIONS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_ledger_stays_consistent_for_any_order_of_messages(actions):
    """Memory is never overcommitted, each request gets a result, and all
    memory is free at the end.
    """

    async def scenario():
        harness = SchedulerHarness(
            make_engine("p1"),
            make_engine("p2"),
            make_engine("d1", total_pieces=8, max_requests=3),
            make_engine("d2", total_pieces=5),
        )
        started = set()
        for action, number, tokens in actions:
            if action == "admit" and number not in started:
                started.add(number)
                await harness.admit(number, max_tokens=tokens)
            elif action == "prefilled":
                await harness.finish_prefill(number)
            elif action == "released":
                await harness.finish_request(number)
            elif action == "cancel":
                harness.scheduler.cancel(f"h.1.{number}")
                await harness.run_event_loop()
            elif action == "wait":
                await harness.advance(tokens / 1000)
            for engine_id in ("d1", "d2"):
                state = harness.scheduler._ledger.states_by_id[engine_id]
                held = state.reservations.reservations_by_request_id.values()
                assert (
                    sum(item.pieces for item in held) == state.reservations.held_pieces
                )
                assert state.reservations.held_pieces <= state.engine.total_pieces
                assert len(held) <= state.engine.max_requests
        await harness.advance(31.0)
        assert started == harness.grants.keys() | harness.refusals.keys()
        for number in started:
            await harness.finish_request(number)
        assert harness.free_pieces() == 13
        for state in harness.scheduler._ledger.states_by_id.values():
            assert state.is_empty

    run(scenario)


def test_pause_of_a_prefill_engine_refuses_no_request_in_calm():
    """One prefill that had paused for 1.3 s made the mean prefill time look
    like an overload, so that requests after it were refused at once."""

    async def scenario():
        harness = SchedulerHarness(
            make_engine("p1"), make_engine("d1", total_pieces=400)
        )
        admitted = finished = 0

        async def admit() -> None:
            nonlocal admitted
            admitted += 1
            await harness.admit(admitted, prompt_tokens=200, **INTERACTIVE)

        async def finish(prefill_ms: float) -> None:
            nonlocal finished
            if len(harness.grants) > finished:
                number = list(harness.grants)[finished]
                finished += 1
                await harness.finish_prefill(number, prefill_ms)
                await harness.finish_request(number)

        async def serve(count: int) -> None:
            """Admit a request every 40 ms; a prefill takes 20 ms."""
            for _ in range(count):
                await admit()
                for _ in range(2):
                    await harness.advance(0.02)
                    await finish(20.0)

        await serve(50)
        await admit()
        for _ in range(32):
            await harness.advance(0.04)
            await admit()
        await finish(1300.0)
        # The next prefill was at the engine already and waited for this one.
        await harness.advance(0.02)
        await finish(1300.0)
        await serve(50)
        assert harness.refusals == {}

    run(scenario)
