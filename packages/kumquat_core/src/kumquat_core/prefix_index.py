"""Estimates of which prefill engine caches which prompt prefix.

An estimate is based on the requests that the router itself sent. It is
corrected by cache events, which are late and have gaps, and by the number of
cached tokens that a finished prefill reports. A wrong estimate costs time but
never affects the response.

Each block hash covers the prompt up to the end of its block, so the cached
blocks of one prompt are its leading blocks, and their number is found by
bisection.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["PrefixIndex"]

INITIAL_BLOCKS = 4096
MIN_BLOCKS = 64
MAX_BLOCKS = 16384
SHRINK_FACTOR = 0.9

# An event can be older than the router's last request with the same block.
MAX_EVENT_LAG_S = 2.0


@dataclass
class _CacheEstimate:
    """Estimated contents and size of the cache of one engine."""

    sent_s_by_block: OrderedDict[int, float] = field(default_factory=OrderedDict)
    capacity_blocks: int = INITIAL_BLOCKS
    last_sequence: int = 0


class PrefixIndex:
    """Estimated cache contents by engine, least recently used block first."""

    def __init__(self) -> None:
        self._caches_by_engine_id: dict[str, _CacheEstimate] = {}

    def record_sent(self, engine_id: str, blocks: Sequence[int], now_s: float) -> None:
        """Record that a prompt with these blocks was sent to an engine."""
        cache = self._caches_by_engine_id.setdefault(engine_id, _CacheEstimate())
        # The first block becomes the most recently used one, so that the last
        # blocks of a prompt are removed before the first ones.
        for block in reversed(blocks):
            cache.sent_s_by_block[block] = now_s
            cache.sent_s_by_block.move_to_end(block)
        self._trim(cache)

    def matched_blocks(self, engine_id: str, blocks: Sequence[int]) -> int:
        """Return how many leading blocks an engine is estimated to cache."""
        cache = self._caches_by_engine_id.get(engine_id)
        if cache is None or not blocks:
            return 0
        known = cache.sent_s_by_block
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high) // 2
            if blocks[middle] in known:
                low = middle + 1
            else:
                high = middle
        return low

    def adjust_capacity(
        self, engine_id: str, expected_blocks: int, cached_blocks: float
    ) -> None:
        """Adjust the estimated cache size after a finished prefill.

        Fewer cached blocks than expected mean that the engine evicts earlier
        than estimated; the size is then reduced. Otherwise it grows by one
        block.
        """
        cache = self._caches_by_engine_id.get(engine_id)
        if cache is None or not expected_blocks:
            return
        if cached_blocks < expected_blocks - 1:
            used = min(cache.capacity_blocks, len(cache.sent_s_by_block))
            cache.capacity_blocks = max(MIN_BLOCKS, int(used * SHRINK_FACTOR))
            self._trim(cache)
        else:
            cache.capacity_blocks = min(MAX_BLOCKS, cache.capacity_blocks + 1)

    def apply_event(
        self, engine_id: str, sequence: int, kind: str, block: int, now_s: float
    ) -> None:
        """Apply a cache event; an older or repeated one is ignored.

        After a gap in the sequence numbers, blocks that were not sent within
        ``MAX_EVENT_LAG_S`` are removed, because their evictions may be among
        the missing events.
        """
        cache = self._caches_by_engine_id.setdefault(engine_id, _CacheEstimate())
        if sequence <= cache.last_sequence:
            return
        if cache.last_sequence and sequence > cache.last_sequence + 1:
            self._remove_older(cache, now_s - MAX_EVENT_LAG_S)
        cache.last_sequence = sequence
        sent_s = cache.sent_s_by_block.get(block)
        if kind == "stored" and sent_s is None:
            cache.sent_s_by_block[block] = now_s - MAX_EVENT_LAG_S
            self._trim(cache)
        elif (
            kind == "evicted"
            and sent_s is not None
            and sent_s <= now_s - MAX_EVENT_LAG_S
        ):
            del cache.sent_s_by_block[block]

    def last_sequence(self, engine_id: str) -> int:
        """Return the sequence number of the last applied event, or 0."""
        cache = self._caches_by_engine_id.get(engine_id)
        return 0 if cache is None else cache.last_sequence

    @staticmethod
    def _trim(cache: _CacheEstimate) -> None:
        """Remove the least recently used blocks beyond the capacity."""
        while len(cache.sent_s_by_block) > cache.capacity_blocks:
            cache.sent_s_by_block.popitem(last=False)

    @staticmethod
    def _remove_older(cache: _CacheEstimate, limit_s: float) -> None:
        """Remove the blocks that were last sent before ``limit_s``."""
        old = [b for b, sent_s in cache.sent_s_by_block.items() if sent_s < limit_s]
        for block in old:
            del cache.sent_s_by_block[block]
