"""Guards against slopes that a page quotes but that were fitted wrongly."""

import pytest

from kumquat_lab.slope_series import Series, held_bytes


def test_slope_and_base_of_a_line():
    points = tuple((size, 40.0 + 3.5 * size) for size in (10, 20, 80))
    series = Series("cost", "hosts", "us", points)
    assert series.slope == pytest.approx(3.5)
    assert series.base == pytest.approx(40.0)


def test_constant_cost_has_no_slope():
    series = Series("cost", "hosts", "us", ((1, 7.0), (2, 7.0), (3, 7.0)))
    assert series.slope == pytest.approx(0.0)
    assert series.base == pytest.approx(7.0)


def test_memory_that_is_freed_again_does_not_count():
    def create() -> bytes:
        passing = bytearray(10_000_000)
        return bytes(passing[:100_000])

    assert 100_000 <= held_bytes(create) < 200_000
