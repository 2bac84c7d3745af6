"""Guards against permissions that are used after a machine was suspended."""

import time

import pytest

from kumquat_core.clock import SystemClock


def test_the_steady_clock_counts_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    """Deadlines and pauses stood still while the machine was suspended, and
    engines were handed time that the caller no longer had."""
    read = []

    def clock_gettime(clock_id: int) -> float:
        read.append(clock_id)
        return 7.0

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    assert SystemClock().monotonic() == 7.0
    assert read == [time.CLOCK_BOOTTIME]
