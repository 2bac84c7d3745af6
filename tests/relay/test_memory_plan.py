"""Guards against memory plans that differ from the sum over all runs."""

from hypothesis import given, strategies as st

from kumquat_relay.memory_plan import MemoryPlan, PlannedRun

NOW_S = 100.0
RATE = 300.0

runs = st.lists(
    st.builds(
        PlannedRun,
        tokens=st.floats(0, 20_000),
        end_s=st.floats(NOW_S, NOW_S + 30),
        grows=st.booleans(),
    ),
    max_size=12,
)


def used(planned: list[PlannedRun], at_s: float) -> float:
    """Return the sum over all runs that last until then."""
    grown = RATE * (at_s - NOW_S)
    return sum(run.tokens + grown * run.grows for run in planned if run.end_s >= at_s)


@given(runs, st.integers(0, 9000), st.integers(1, 9000), st.floats(0, 2))
def test_a_plan_equals_the_sum_over_all_runs(
    planned: list[PlannedRun], prompt: int, expected: int, wait_s: float
) -> None:
    plan = MemoryPlan(planned, NOW_S, RATE)
    begins_s = NOW_S + wait_s
    end_s = begins_s + expected / RATE
    peaks = [used(planned, end_s) + prompt + expected]
    for run in planned:
        if run.end_s < end_s:
            made = max(0.0, run.end_s - begins_s) * RATE
            peaks.append(used(planned, run.end_s) + prompt + made)
    peak = plan.peak_with(prompt, expected, begins_s)
    assert abs(peak - max(peaks)) < 1e-6 * max(peaks)


@given(runs)
def test_the_first_end_is_the_earliest(planned: list[PlannedRun]) -> None:
    ends_s = [run.end_s for run in planned]
    plan = MemoryPlan(planned, NOW_S, RATE)
    assert plan.first_end_s == min(ends_s, default=float("inf"))
