"""Guards against streams that are cut off by a graceful shutdown."""

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.shutdown import ExitReason, Shutdown


def test_streams_that_would_be_cut_off_are_refused() -> None:
    """A stream accepted six seconds after SIGTERM was cut off."""
    clock = ManualClock()
    shutdown = Shutdown(clock, grace_s=8.0)
    shutdown.begin()
    assert not shutdown.refuses_streams
    clock.advance(2.1)
    assert shutdown.refuses_streams
    assert shutdown.left_s == pytest.approx(8.0 - 2.1 - 0.7)


def test_a_host_exits_when_idle_and_always_before_it_is_killed() -> None:
    clock = ManualClock()
    shutdown = Shutdown(clock, grace_s=8.0)
    shutdown.begin()
    assert shutdown.exit_reason() is None
    clock.advance(2.6)
    assert shutdown.exit_reason() is ExitReason.IDLE
    with shutdown.track_request():
        assert shutdown.exit_reason() is None
        clock.advance(5.0)
        assert shutdown.exit_reason() is ExitReason.GRACE_OVER
