"""Series of measurements over a size, and their slopes.

A time is the minimum processor time of this process over several repetitions,
which reduces the influence of other load on the machine. Memory is as counted
by ``tracemalloc``, without the free lists of the interpreter and without
buffers of the kernel.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Series", "retained_bytes", "min_time_us"]

REPETITIONS = 5


@dataclass(frozen=True)
class Series:
    """Values over a size; ``unit`` is that of a value.

    The slope is the least-squares increase of the value for each further
    unit of size, and the base is the fitted value at size 0.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Return the increase of the value for one unit of size."""
        mean_x, mean_y = self._means()
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        if spread == 0:
            return 0.0
        product = sum((x - mean_x) * (y - mean_y) for x, y in self.points)
        return product / spread

    @property
    def base(self) -> float:
        """Return the fitted value at size 0."""
        mean_x, mean_y = self._means()
        return mean_y - self.slope * mean_x

    def to_document(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "name": self.name,
            "size": self.size_name,
            "unit": self.unit,
            "points": [{"size": x, "value": round(y, 3)} for x, y in self.points],
            "slope": round(self.slope, 5),
            "base": round(self.base, 3),
        }

    def _means(self) -> tuple[float, float]:
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        return mean_x, mean_y


def min_time_us(action: Callable[[], object], loops: int) -> float:
    """Return the minimum processor time of an action in microseconds."""
    best_ns: float | None = None
    for _ in range(REPETITIONS):
        began_ns = time.process_time_ns()
        for _ in range(loops):
            action()
        spent_ns = (time.process_time_ns() - began_ns) / loops
        best_ns = spent_ns if best_ns is None else min(best_ns, spent_ns)
    assert best_ns is not None
    return best_ns / 1000


def retained_bytes(create: Callable[[], object]) -> int:
    """Return the memory, in bytes, that the result of ``create`` holds."""
    gc.collect()
    tracemalloc.start()
    try:
        kept: Sequence[object] = [create()]
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
        return size
    finally:
        tracemalloc.stop()
