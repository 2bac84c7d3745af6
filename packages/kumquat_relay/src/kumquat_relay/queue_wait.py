"""Expected waits of queued requests for slots, prefills and permits.

Load pattern: during a load peak most requests cannot begin within their
objective. The expected wait shows which of them can be refused on arrival.
"""

from collections.abc import Collection
from dataclasses import dataclass

from .placement import Placement
from .queue_types import QueuedRequest, QueueParameters
from .run_ledger import RunLedger
from .server_limits import ServerLimits

__all__ = ["QueueWait", "RetryBasis"]

# A request that has waited for longer than a prefill takes while slots are
# free is waiting for memory.
MAX_SLOT_WAIT_S = 0.15


@dataclass(frozen=True)
class RetryBasis:
    """What the schedule of retries rests on; times in seconds.

    From ``wait_s`` on, ``slots`` slots become free every ``slot_s``.
    """

    wait_s: float
    slots: int
    slot_s: float


class QueueWait:
    """Computes waits, in seconds, from the state of engines and queue."""

    def __init__(
        self, ledger: RunLedger, parameters: QueueParameters, limits: ServerLimits
    ) -> None:
        self._ledger = ledger
        self._parameters = parameters
        self._limits = limits

    def retry_basis(self, reason: str, waiting: int, now_s: float) -> RetryBasis:
        """Return from when on how many refused requests may return.

        ``waiting`` requests are queued.
        """
        wait_s = self._ledger.nth_free_slot_s(waiting, now_s)
        if reason == "no_engine":
            wait_s = max(wait_s, self._ledger.role_change_wait_s(now_s))
        slots = self._ledger.all_slots()
        slot_s = self._ledger.performance.slot_s.value
        engine_ids = [load.entry.id for load in self._ledger.decode_loads()]
        rate_per_s = self._limits.rate_per_s(engine_ids)
        if 0 < rate_per_s < slots / slot_s:
            # Retries use up the limits of the engines, not their slots.
            limit_wait_s = self._limits.wait_s(engine_ids, waiting + 1, now_s)
            return RetryBasis(max(wait_s, limit_wait_s), 1, 1 / rate_per_s)
        return RetryBasis(wait_s, slots, slot_s)

    def expected_wait_s(
        self,
        queued: QueuedRequest,
        queue: Collection[QueuedRequest],
        placement: Placement,
        now_s: float,
    ) -> float:
        """Return the expected wait, after all requests served before it."""
        ahead = _requests_ahead(queued, queue, now_s)
        prefill_s = self._prefill_wait_s(queued, placement, ahead, now_s)
        is_memory_full = self._is_memory_full(queue, now_s)
        free_count = 0 if is_memory_full else placement.permitted_slots()
        if len(ahead) < free_count:
            return prefill_s
        return max(
            prefill_s, self._ledger.nth_free_slot_s(len(ahead) - free_count, now_s)
        )

    def limit_wait_s(
        self,
        queued: QueuedRequest,
        queue: Collection[QueuedRequest],
        placement: Placement,
        now_s: float,
    ) -> float:
        """Return the wait for permits of engines that have named limits."""
        if not self._limits.limits():
            return 0.0
        position = len(_requests_ahead(queued, queue, now_s)) + 1
        decode_ids = [load.entry.id for load in placement.usable_decode_engines(queued)]
        wait_s = self._limits.wait_s(decode_ids, position, now_s)
        if placement.needs_prefill_engine(queued):
            loads = placement.usable_prefill_engines(queued)
            prefill_ids = [load.entry.id for load in loads]
            wait_s = max(wait_s, self._limits.wait_s(prefill_ids, position, now_s))
        return wait_s

    def _is_memory_full(self, queue: Collection[QueuedRequest], now_s: float) -> bool:
        """Return whether queued requests wait for memory, not for a slot."""
        waits_s = [now_s - item.arrived_s for item in queue]
        return (
            max(waits_s, default=0.0)
            > self._parameters.max_prefill_backlog_s + MAX_SLOT_WAIT_S
        )

    def _prefill_wait_s(
        self,
        queued: QueuedRequest,
        placement: Placement,
        ahead: list[QueuedRequest],
        now_s: float,
    ) -> float:
        """Return the expected wait until the prompts ahead are prefilled."""
        tokens = sum(item.request.prompt_tokens for item in ahead)
        prefill_engine = placement.first_prefill_engine(queued)
        if prefill_engine is not None:
            prefill_engines = len(placement.prefill_engines)
            excess_backlog_ms = (
                prefill_engine.prefill_backlog_ms()
                - self._parameters.max_prefill_backlog_s * 1000
            )
            prefill_ms = (
                tokens / prefill_engine.prefill_tokens_per_ms / max(1, prefill_engines)
            )
            return max(0.0, excess_backlog_ms + prefill_ms) / 1000
        loads = placement.decode_engines
        if not loads:
            return 0.0
        first = min(loads, key=lambda load: load.next_local_prefill_s)
        local_prefill_delay_s = max(0.0, first.next_local_prefill_s - now_s)
        return local_prefill_delay_s + first.local_prefill_s(tokens) / len(loads)


def _requests_ahead(
    queued: QueuedRequest, queue: Collection[QueuedRequest], now_s: float
) -> list[QueuedRequest]:
    """Return the other requests that are served before a request."""
    sort_key = queued.sort_key(now_s)
    return [
        item
        for item in queue
        if item is not queued and item.sort_key(now_s) <= sort_key
    ]
