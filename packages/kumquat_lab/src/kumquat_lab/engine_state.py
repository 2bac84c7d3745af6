"""State of an emulated engine: memory, prefill results, cache and link.

Nothing here waits: each operation takes the current time in seconds, so
tests can pass their own times. Allocated pieces never exceed the engine's
memory. A prefill result is evicted ``evict_after_s`` after it was stored,
unless a transfer has begun; then it stays until the transfer ends.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = [
    "CacheEvents",
    "EngineMemory",
    "EngineError",
    "HeldMemory",
    "Link",
    "PrefillResults",
    "PrefixCache",
    "StoredPrefill",
]

MAX_STORED_EVENTS = 2000


class EngineError(Exception):
    """An error response of the engine with its HTTP status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


@dataclass
class HeldMemory:
    """Memory allocated to one request."""

    pieces: int
    since_s: float


class EngineMemory:
    """Pieces allocated to each request id."""

    def __init__(self, total_pieces: int, max_requests: int) -> None:
        self.total_pieces = total_pieces
        self.max_requests = max_requests
        self.held_by_request_id: dict[str, HeldMemory] = {}
        self.held_pieces = 0

    def allocate(self, request_id: str, pieces: int, now_s: float) -> None:
        """Allocate memory, or set the amount of a request that holds some."""
        held = self.held_by_request_id.get(request_id)
        current = held.pieces if held else 0
        if held is None and len(self.held_by_request_id) >= self.max_requests:
            raise EngineError(507, "too many requests")
        if self.held_pieces - current + pieces > self.total_pieces:
            raise EngineError(507, "not enough free pieces")
        self.held_pieces += pieces - current
        since_s = held.since_s if held else now_s
        self.held_by_request_id[request_id] = HeldMemory(pieces, since_s)

    def free(self, request_id: str) -> bool:
        """Free the memory of a request; return whether it had any."""
        held = self.held_by_request_id.pop(request_id, None)
        if held is None:
            return False
        self.held_pieces -= held.pieces
        return True


@dataclass
class StoredPrefill:
    """The KV cache of a prompt in the memory of a prefill engine."""

    request_id: str
    model: str
    prompt: str
    tokens: int
    pieces: int
    stored_s: float
    spent_s: float = 0.0
    transferring: bool = False


@dataclass
class PrefillResults:
    """Finished prefills; the oldest are evicted when memory is short."""

    memory: EngineMemory
    evict_after_s: float
    results_by_id: "OrderedDict[str, StoredPrefill]" = field(
        default_factory=OrderedDict
    )
    evicted: int = 0

    def store(self, prefill_id: str, result: StoredPrefill) -> None:
        """Store a result; raise status 507 if it does not fit."""
        self.evict(result.stored_s)
        while True:
            try:
                self.memory.allocate(prefill_id, result.pieces, result.stored_s)
                break
            except EngineError:
                if not self._evict_oldest():
                    raise
        self.results_by_id[prefill_id] = result

    def begin_transfer(self, prefill_id: str, now_s: float) -> StoredPrefill:
        """Mark a result as in transfer; raise status 410 once evicted."""
        self.evict(now_s)
        result = self.results_by_id.get(prefill_id)
        if result is None:
            raise EngineError(410, "prefill result evicted")
        result.transferring = True
        return result

    def remove(self, prefill_id: str) -> None:
        """Free a result; do nothing if it was already freed."""
        if self.results_by_id.pop(prefill_id, None) is not None:
            self.memory.free(prefill_id)

    def remove_request(self, request_id: str) -> None:
        """Free all results of a request."""
        for prefill_id, result in list(self.results_by_id.items()):
            if result.request_id == request_id:
                self.remove(prefill_id)

    def evict(self, now_s: float) -> None:
        """Free the expired results that are not in transfer."""
        limit_s = now_s - self.evict_after_s
        for prefill_id, result in list(self.results_by_id.items()):
            if not result.transferring and result.stored_s <= limit_s:
                self.remove(prefill_id)
                self.evicted += 1

    def _evict_oldest(self) -> bool:
        for prefill_id, result in self.results_by_id.items():
            if not result.transferring:
                self.remove(prefill_id)
                self.evicted += 1
                return True
        return False


class Link:
    """A link of limited rate; transfers run one by one in arrival order."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._busy_until_s = 0.0

    def reserve(self, size_bytes: float, now_s: float) -> float:
        """Return the time at which a transfer that begins now is done."""
        begin_s = max(now_s, self._busy_until_s)
        self._busy_until_s = begin_s + size_bytes / self._bytes_per_s
        return self._busy_until_s


class CacheEvents:
    """Events of the prefix cache, published with a delay and losses."""

    def __init__(self, delay_s: float, loss: float, rng: random.Random) -> None:
        self._delay_s = delay_s
        self._loss = loss
        self._rng = rng
        self._sequence = 0
        self._events: deque[tuple[float, int, str, int]] = deque(
            maxlen=MAX_STORED_EVENTS
        )

    def add(self, kind: str, prefix: int, now_s: float) -> None:
        """Record an event; some get a number but are never published."""
        self._sequence += 1
        if self._rng.random() >= self._loss:
            visible_s = now_s + self._delay_s
            self._events.append((visible_s, self._sequence, kind, prefix))

    def published_after(self, sequence: int, now_s: float) -> list[dict[str, object]]:
        """Return the published events with a higher number."""
        return [
            {"sequence": number, "kind": kind, "prefix": prefix}
            for visible_s, number, kind, prefix in self._events
            if number > sequence and visible_s <= now_s
        ]


class PrefixCache:
    """Blocks of prompts, the least recently used evicted first."""

    def __init__(self, capacity: int, events: CacheEvents) -> None:
        self._capacity = capacity
        self._events = events
        self._blocks: OrderedDict[tuple[str, int], None] = OrderedDict()

    def match(self, model: str, hashes: Sequence[int]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block in hashes:
            if (model, block) not in self._blocks:
                break
            count += 1
        return count

    def store(self, model: str, hashes: Sequence[int], now_s: float) -> None:
        """Cache the blocks of a prompt and mark them as used."""
        # The last blocks go first, so that eviction removes a prompt from
        # its end and keeps the leading blocks usable.
        for block in reversed(hashes[: self._capacity]):
            if (model, block) not in self._blocks:
                self._events.add("stored", block, now_s)
            self._blocks[model, block] = None
            self._blocks.move_to_end((model, block))
        while len(self._blocks) > self._capacity:
            (_, evicted), _ = self._blocks.popitem(last=False)
            self._events.add("evicted", evicted, now_s)
