"""Decisions about the memory of callers' requests, without a network."""

from kumquat_core.intake.byte_budget import ByteBudget, Cause, Holding
from kumquat_core.intake.closing_order import choose_closed
from kumquat_core.intake.head_meter import HeadMeter
from kumquat_core.intake.intake_limits import IntakeLimits

KB = 1024
MB = 1024 * KB
LIMITS = IntakeLimits(12 * MB, 3 * MB, 100)


def opened(budget: ByteBudget, size: int, now_s: float = 0.0) -> Holding:
    """Return a request that takes a size or waits for it."""
    holding = budget.open(now_s)
    budget.take(holding, size, now_s)
    return holding


def test_small_requests_are_served_while_large_ones_fill_their_part() -> None:
    budget = ByteBudget(LIMITS)
    large = [opened(budget, 4 * MB) for _ in range(4)]
    assert [bool(item.taken) for item in large] == [True, True, False, False]
    small = [opened(budget, 16 * KB) for _ in range(200)]
    assert all(item.taken for item in small)


def test_a_single_body_over_the_budget_is_served() -> None:
    """Guards against memory bounds that forbid what the limits allow."""
    budget = ByteBudget(LIMITS)
    assert opened(budget, 20 * MB).taken
    assert not opened(budget, MB).taken


def test_stalled_bodies_make_room_and_others_go_on() -> None:
    budget = ByteBudget(LIMITS)
    stalled, moving = opened(budget, 4 * MB), opened(budget, 4 * MB)
    waiting = opened(budget, 4 * MB)
    for step in range(12):
        now_s = 0.1 * step
        # Single bytes are no progress.
        budget.record_progress(stalled, 1, now_s)
        budget.record_progress(moving, 32 * KB, now_s)
        resolution = budget.resolve(now_s)
        if resolution.refused:
            break
    assert resolution.refused == (stalled,)
    assert resolution.granted == (waiting,)
    assert stalled.refused is Cause.BODY_STALLED


def test_without_pressure_a_stalled_body_is_left_alone() -> None:
    budget = ByteBudget(LIMITS)
    opened(budget, 4 * MB)
    for step in range(100):
        assert budget.resolve(0.1 * step).refused == ()


def test_growing_bodies_that_block_each_other_lose_the_least_advanced() -> None:
    """Guards against bodies without a length that all wait for each other."""
    budget = ByteBudget(LIMITS)
    bodies = [opened(budget, 3 * MB) for _ in range(3)]
    for number, body in enumerate(bodies):
        budget.record_progress(body, (3 - number) * MB, 0.0)
        assert not budget.take(body, 4 * MB, 0.0)
    resolution = budget.resolve(0.1)
    assert resolution.refused == (bodies[2],)
    assert resolution.granted == (bodies[0], bodies[1])


def test_what_waits_too_long_or_is_too_much_is_refused() -> None:
    budget = ByteBudget(LIMITS)
    running = [opened(budget, 4 * MB) for _ in range(2)]
    for holding in running:
        budget.begin_run(holding, 4 * MB)
    waiting = [opened(budget, 4 * MB) for _ in range(100)]
    refused = [item for item in waiting if item.refused is Cause.NO_MEMORY]
    assert refused and len(refused) < 100
    for step in range(40):
        budget.resolve(0.1 * step)
    assert all(item.refused is Cause.NO_MEMORY for item in waiting)
    assert not any(item.refused for item in running)
    for holding in running:
        budget.close(holding)
        budget.close(holding)
    assert budget.total_bytes == 0


def test_a_pause_of_the_host_is_no_stall() -> None:
    """Guards against refusals of sound bodies after the process stood."""
    budget = ByteBudget(LIMITS)
    bodies = [opened(budget, 4 * MB) for _ in range(3)]
    budget.resolve(0.1)
    bodies[2].waits_since_s = 5.0
    assert budget.resolve(5.0).refused == ()


def test_unread_responses_are_ended_once_their_memory_is_needed() -> None:
    budget = ByteBudget(LIMITS)
    for _ in range(3):
        budget.begin_answer(budget.open(0.0), 4 * MB, 0.0)
    assert budget.resolve(0.1).refused == ()
    assert not budget.under_pressure
    read = budget.open(0.2)
    budget.begin_answer(read, 4 * MB, 0.2)
    refused = []
    for step in range(2, 12):
        budget.record_progress(read, 64 * KB, 0.1 * step)
        refused += budget.resolve(0.1 * step).refused
    assert [item.refused for item in refused] == [Cause.RESPONSE_UNREAD]
    assert read.refused is None


def test_heads_and_empty_lines_end_at_their_limits() -> None:
    meter = HeadMeter()
    assert not meter.exceeds(b"x" * 20_000 + b"\r\n\r\n", 16_384)
    assert meter.add(b"GET / HTTP/1.1\r\n" + b"x" * 16_000)
    assert not meter.exceeds(b"x" * 300, 16_384)
    assert meter.exceeds(b"x" * 400, 16_384)
    meter.end_head()
    # Guards against a body that counts as head as the end came in two reads.
    for cut in range(1, 4):
        assert meter.add(b"POST / HTTP/1.1\r\nHost: a" + b"\r\n\r\n"[:cut])
        assert not meter.exceeds(b"\r\n\r\n"[cut:] + bytes(100_000), 16_384)
        meter.end_head()
    assert all(meter.add(b"\r\n" * 64) for _ in range(8))
    assert not meter.add(b"\r\n")


def test_idle_connections_are_closed_before_heads_and_no_others() -> None:
    class Ranked:
        def __init__(self, rank: tuple[int, float] | None) -> None:
            self.closing_rank = rank

    ranks = [(1, 1.0), None, (0, 7.0), (0, 5.0)]
    closed = choose_closed([Ranked(rank) for rank in ranks], 3)
    assert [item.closing_rank for item in closed] == [(0, 5.0), (0, 7.0), (1, 1.0)]


def test_limits_follow_the_stated_memory_and_descriptors() -> None:
    smallest = IntakeLimits.from_config(88, 1638)
    assert smallest.budget_bytes - smallest.small_reserve_bytes > 2 * 4 * MB
    assert smallest.budget_bytes < 88 * MB / 4
    assert IntakeLimits.from_config(150, 1638).max_connections == 1078
    assert IntakeLimits.from_config().budget_bytes == 512 * MB
