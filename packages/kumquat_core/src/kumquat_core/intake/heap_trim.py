"""Returns the memory of past load to the system.

Load pattern: the memory of requests is reused from one request to the next.
After a crowd of large requests most of it is free, and the allocator keeps it
in parts of pages that it has not returned.
"""

import ctypes
import logging

from ..log_events import log_event
from .byte_budget import ByteBudget
from .intake_limits import MB

__all__ = ["HeapTrim"]

# The load must have fallen by this much, and by this part of its peak. A trim
# takes some milliseconds.
MIN_FREED_BYTES = 4 * MB
MIN_FREED_SHARE = 0.5
# Nothing is kept at the end of the heap.
PAD_BYTES = 0

logger = logging.getLogger(__name__)


class HeapTrim:
    """Trims the heap after the load of callers has fallen.

    Does nothing with an allocator that offers no trim.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._trim = getattr(ctypes.CDLL(None), "malloc_trim", None)

    async def check(self) -> None:
        """Trim the heap if the load has fallen since the last trim."""
        budget = self._budget
        freed = budget.peak_bytes - budget.total_bytes
        if freed < max(MIN_FREED_BYTES, budget.peak_bytes * MIN_FREED_SHARE):
            return
        budget.peak_bytes = budget.total_bytes
        if self._trim is not None:
            self._trim(PAD_BYTES)
            log_event(logger, "heap_trimmed", level=logging.DEBUG, freed=freed)
