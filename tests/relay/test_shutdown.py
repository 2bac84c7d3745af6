"""Guards against requests that are cut off by a graceful shutdown."""

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.shutdown import ExitReason, Shutdown

GRACE_S = 8.0
# Left for the work of a request at SIGTERM: the grace period less the time for
# the exit and for sending the response.
WORK_S = GRACE_S - 0.7 - 0.1


def begun(grace_s: float = GRACE_S) -> tuple[ManualClock, Shutdown]:
    clock = ManualClock()
    shutdown = Shutdown(clock, grace_s)
    shutdown.begin()
    return clock, shutdown


def test_a_host_that_is_not_stopping_accepts_every_request() -> None:
    assert Shutdown(ManualClock(), GRACE_S).accepts(1000.0)


@pytest.mark.parametrize("longest_s", [0.1, 2.0, 6.0, 14.0])
def test_only_requests_that_surely_end_before_the_exit_are_accepted(
    longest_s: float,
) -> None:
    """A request of 2 s was accepted 6 s after SIGTERM, since it usually took
    0.9 s, and cut off. Streams were accepted whatever they may last."""
    clock, shutdown = begun()
    for _ in range(80):
        accepted = shutdown.accepts(longest_s)
        assert not accepted or shutdown.elapsed_s + longest_s <= WORK_S
        if longest_s <= WORK_S - 2.5:
            assert accepted == (shutdown.elapsed_s < 2.5)
        clock.advance(0.1)


def test_requests_that_never_pause_do_not_delay_the_exit() -> None:
    """Each request was followed by half a second of waiting, so callers that
    never paused kept the host until the platform killed it."""
    clock, shutdown = begun()
    with shutdown.track_work():
        clock.advance(2.4)
        assert shutdown.exit_reason() is None
        clock.advance(0.6)
        assert not shutdown.accepts(0.1)
        assert shutdown.exit_reason() is None
    assert shutdown.exit_reason() is ExitReason.WORK_DONE


def test_a_host_exits_when_idle_and_always_before_it_is_killed() -> None:
    clock, shutdown = begun()
    assert shutdown.exit_reason() is None
    clock.advance(2.6)
    assert shutdown.exit_reason() is ExitReason.IDLE
    with shutdown.track_work():
        assert shutdown.exit_reason() is None
        clock.advance(5.0)
        assert shutdown.exit_reason() is ExitReason.GRACE_OVER


def test_a_changed_grace_period_is_followed() -> None:
    clock, shutdown = begun()
    with shutdown.track_work():
        clock.advance(1.0)
        assert shutdown.accepts(6.0)
        shutdown.grace_s = 4.0
        assert not shutdown.accepts(6.0)
        clock.advance(2.4)
        assert shutdown.exit_reason() is ExitReason.GRACE_OVER
        shutdown.grace_s = 6.0
        assert shutdown.exit_reason() is None
        assert shutdown.left_s == pytest.approx(6.0 - 0.7 - 3.4)


def test_a_grace_period_shorter_than_the_detection_ends_in_time() -> None:
    clock, shutdown = begun(grace_s=1.5)
    assert not shutdown.accepts(1.0)
    clock.advance(0.9)
    assert shutdown.exit_reason() is ExitReason.GRACE_OVER
