"""Guards against streams that are cut by a planned stop."""

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.shutdown import Shutdown


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
