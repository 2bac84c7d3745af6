"""Guards against a goodput bound that a real schedule can exceed."""

import heapq

from hypothesis import given, settings, strategies as st

from kumquat_lab.caller import ModelCall
from kumquat_lab.client_accounts import CLIENT_ACCOUNTS, EngineCounts, engine_configs
from kumquat_lab.limit import PoolResources, WindowedWork, min_failures
from kumquat_lab.scenarios import (
    ScenarioName,
    ScenarioOptions,
    build_scenario,
    goodput_limit,
)
from kumquat_lab.stack import StackConfig, StackPlan

ITEMS = st.lists(
    st.tuples(
        st.floats(0, 5),
        st.floats(0.05, 1.5),
        st.floats(0, 3),
    ),
    max_size=14,
)


def make_work(begin_s: float, work_s: float, slack_s: float) -> WindowedWork:
    return WindowedWork(begin_s, begin_s + work_s + slack_s, work_s)


def failures_of_earliest_deadline_first(work: list[WindowedWork], engines: int) -> int:
    """Leave out each item that cannot end in time."""
    free = [0.0] * engines
    failures = 0
    for item in sorted(work, key=lambda entry: (entry.begin_s, entry.end_s)):
        start_s = max(free[0], item.begin_s)
        if start_s + item.work_s > item.end_s + 1e-9:
            failures += 1
        else:
            heapq.heapreplace(free, start_s + item.work_s)
    return failures


@settings(max_examples=150, deadline=None, derandomize=True)
@given(items=ITEMS, engines=st.integers(1, 3))
def test_no_schedule_has_fewer_failures_than_the_bound(items, engines):
    work = [make_work(*item) for item in items]
    bound = min_failures(work, engines)
    assert bound <= failures_of_earliest_deadline_first(work, engines)


def test_burst_beyond_the_engine_time_must_fail():
    work = [WindowedWork(0.0, 3.0, 1.0)] * 10
    assert min_failures(work, 1) == 7
    assert min_failures(work, 2) == 4


def test_failures_of_separate_bursts_add_up():
    burst = [WindowedWork(0.0, 2.0, 1.0)] * 5
    later = [WindowedWork(10.0, 12.0, 1.0)] * 4
    assert min_failures(burst + later, 1) == 3 + 2


def test_largest_items_are_left_out_first():
    work = [WindowedWork(0.0, 2.0, 2.0)] + [WindowedWork(0.0, 2.0, 0.5)] * 4
    assert min_failures(work, 1) == 1


def make_plan() -> StackPlan:
    config = StackConfig(prefill_engines=2, decode_engines=4, first_port=20000)
    return StackPlan.from_config(config)


def test_arrivals_depend_on_the_seed_alone():
    plan = make_plan()
    options = ScenarioOptions(seed=3, seconds=2.0)
    first = build_scenario(ScenarioName.STEADY, options, plan)
    again = build_scenario(ScenarioName.STEADY, options, plan)
    other = build_scenario(
        ScenarioName.STEADY, ScenarioOptions(seed=4, seconds=2.0), plan
    )
    assert first == again
    assert first.arrivals != other.arrivals


def test_limit_under_overload_follows_capacity_and_not_the_offered_load():
    plan = make_plan()
    seconds, account = 6.0, CLIENT_ACCOUNTS[0]
    options = ScenarioOptions(seconds=seconds, load=1.0)
    full = build_scenario(ScenarioName.OVERLOAD, options, plan)
    capacity_per_s = (
        sum(
            a.account is account and isinstance(a.call, ModelCall)
            for a in full.arrivals
        )
        / seconds
    )
    scenario = build_scenario(
        ScenarioName.OVERLOAD, ScenarioOptions(seconds=seconds, load=8.0), plan
    )
    bound = goodput_limit(scenario, plan)[account.name]
    window_s = seconds + account.work[0].ttft_target_ms / 1000
    places = 4 * 20
    # The bound may choose the shortest answers, 100 tokens at a mean of 150.
    assert bound < places + 1.5 * capacity_per_s * window_s


def test_requests_in_progress_at_the_end_of_a_window_need_not_be_done():
    work = [WindowedWork(0.0, 3.0, 1.0)] * 10
    assert min_failures(work, 1, unfinished=4) == 3


def test_resources_count_engines_of_each_role():
    engines = engine_configs(CLIENT_ACCOUNTS[0], EngineCounts(2, 4), list(range(9)), "")
    resources = PoolResources.from_engines(engines)
    assert (resources.prefill_engines, resources.decode_engines) == (2, 4)
