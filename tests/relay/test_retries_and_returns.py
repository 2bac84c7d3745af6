"""Guards against too many repeats and returns at the wrong time."""

from itertools import pairwise

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.retry_share import RetryShare, RetryTerms
from kumquat_relay.return_times import ReturnTimes


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
    returns = [times.next_return_s(0.5, 24, 3.5, 30.0, 100.0) for _ in range(8)]
    gaps = [later - earlier for earlier, later in pairwise(returns)]
    assert returns[0] == pytest.approx(4.0)
    assert min(gaps) > 0.2


def test_refused_callers_return_while_they_have_time_left() -> None:
    times = ReturnTimes()
    returns = [times.next_return_s(9.0, 24, 3.5, 6.0, 100.0) for _ in range(8)]
    assert max(returns) <= 2.0
    assert times.next_return_s(9.0, 24, 3.5, -1.0, 100.0) == 0.0
