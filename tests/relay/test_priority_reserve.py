"""Guards against overloads in which the most urgent requests are served least.

Urgent requests can wait for half a second, the others for nearly two, so each
place that became free went to one of these: 9 of 100 urgent requests and 29 of
100 others were served (a drawn deployment with long runs in few places).
"""

import pytest

from kumquat_relay.priority_reserve import (
    MAX_PART,
    NO_ROOM,
    KeptRoom,
    PriorityReserve,
)
from kumquat_relay.queue_types import QueueTerms
from kumquat_relay.relay_rules import RelayRules

from .replay import Kind, Outcome, Replay, burst

URGENT, USUAL, PATIENT = 0, 1, 2
KINDS = (Kind(URGENT, 0.8, 2.2), Kind(USUAL, 1.0, 1.0), Kind(PATIENT, 2.0, 3.4))


def play(*disabled: str, decoders: int, base: float, peak: float) -> Outcome:
    outcome = Outcome()
    for seed in range(1, 6):
        terms = QueueTerms(rules=RelayRules.without(disabled))
        replay = Replay(
            terms,
            seed,
            callers_return=True,
            decoders=decoders,
            readers=2,
            memory_tokens=60_729,
            places=64,
            token_s=0.004,
            mean_output_log=6.76,
            kinds=KINDS,
        )
        outcome.add(replay.run(burst(seed, base, peak)))
    return outcome


def share(outcome: Outcome, priority: int) -> float:
    asked = outcome.asked_by_priority[priority]
    return outcome.on_time_by_priority[priority] / asked


@pytest.mark.parametrize(("decoders", "base", "peak"), [(4, 8, 18), (3, 6.5, 14)])
def test_urgent_requests_are_served_first_in_an_overload(
    decoders: int, base: float, peak: float
) -> None:
    """Most of a peak of twice the capacity is refused, but not the urgent."""
    kept = play(decoders=decoders, base=base, peak=peak)
    without = play("priority_reserve", decoders=decoders, base=base, peak=peak)
    assert share(kept, URGENT) > share(without, URGENT)
    assert share(kept, URGENT) >= share(kept, PATIENT)
    # None is starved: the rules of the platform ask for a quarter.
    assert share(kept, PATIENT) >= 0.25 * share(kept, URGENT)


def reserve_after(refusals: int, now_s: float = 100.0) -> PriorityReserve:
    reserve = PriorityReserve()
    for priority in (URGENT, PATIENT):
        reserve.observe(priority, 5000, 1000)
    for _ in range(refusals):
        reserve.refused(URGENT, 8, now_s)
    return reserve


def test_nothing_is_kept_while_nobody_is_refused() -> None:
    assert reserve_after(0).kept_from(PATIENT, 100.0, late=True) is NO_ROOM


def test_room_is_kept_from_the_less_urgent_only_and_for_a_while() -> None:
    reserve = reserve_after(1)
    kept = KeptRoom(1, 5000, 1000)
    assert reserve.kept_from(PATIENT, 100.0, late=False) == kept
    assert reserve.kept_from(URGENT, 100.0, late=False) is NO_ROOM
    assert reserve.kept_from(URGENT, 100.0, late=True) == kept
    assert reserve.kept_from(PATIENT, 110.0, late=False) is NO_ROOM


def test_the_room_is_bounded_by_the_engines() -> None:
    kept = reserve_after(50).kept_from(PATIENT, 100.0, late=False)
    assert kept.requests == 8 * MAX_PART


def test_a_kind_that_is_hardly_served_is_not_restrained() -> None:
    reserve = reserve_after(1)
    for _ in range(40):
        reserve.refused(PATIENT, 8, 100.0)
    assert reserve.kept_from(PATIENT, 100.0, late=False) is NO_ROOM
