"""Guards against wrongly computed cost slopes in the documentation."""

import pytest

from kumquat_lab.slope_series import Series, retained_bytes


def test_slope_and_base_of_linear_series():
    points = tuple((size, 40.0 + 3.5 * size) for size in (10, 20, 80))
    series = Series("cost", "hosts", "us", points)
    assert series.slope == pytest.approx(3.5)
    assert series.base == pytest.approx(40.0)


def test_slope_of_constant_series_is_zero():
    series = Series("cost", "hosts", "us", ((1, 7.0), (2, 7.0), (3, 7.0)))
    assert series.slope == pytest.approx(0.0)
    assert series.base == pytest.approx(7.0)


def test_freed_memory_is_not_counted():
    def create() -> bytes:
        temporary = bytearray(10_000_000)
        return bytes(temporary[:100_000])

    assert 100_000 <= retained_bytes(create) < 200_000
