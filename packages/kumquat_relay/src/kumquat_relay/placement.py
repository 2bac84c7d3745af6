"""Selects engines for queued requests during one pass over the queue.

Load pattern: during a load peak many requests wait for few engines, so most
of them get nothing in a pass. Engines are listed once per pass, and a request
at least as large as one that did not fit is not tried.

The prompt goes to the prefill engine that can begin first. The run goes to
the decode engine that would process it fastest and has the memory until its
end. Engines that fail more often than the others are selected last.
"""

from collections.abc import Mapping
from itertools import islice

from kumquat_core.peer_messages import RunRequest

from .engine_load import EngineLoad
from .outlier_detection import outlier_ids
from .priority_reserve import ReservedCapacity
from .queue_types import QueuedRequest, QueueParameters
from .run_ledger import RunLedger
from .server_limits import ServerLimits
from .suspect_trials import SuspectTrials

__all__ = ["Placement"]


class Placement:
    """A view of the engines for one pass, updated as slots are granted.

    ``blocks`` holds, by host id and engine id, until when the engine asked
    the host to send it nothing. ``trials`` are the requests with suspect
    prompt parts that are running.
    """

    def __init__(
        self,
        ledger: RunLedger,
        parameters: QueueParameters,
        blocks: Mapping[str, Mapping[str, float]],
        limits: ServerLimits,
        trials: SuspectTrials,
        now_s: float,
    ) -> None:
        self._limits = limits
        self._trials = trials
        self._trial_engine_ids = trials.engine_ids()
        self._ledger = ledger
        self._parameters = parameters
        self._now_s = now_s
        self._blocks = {
            host_id: {
                engine_id
                for engine_id, until_s in until_by_id.items()
                if now_s < until_s
            }
            for host_id, until_by_id in blocks.items()
        }
        self.prefill_engines = ledger.prefill_loads()
        self.decode_engines = ledger.decode_loads()
        self.all_slots = sum(load.slots for load in self.decode_engines)
        self._free_slots = sum(
            max(0, load.free_slots()) for load in self.decode_engines
        )
        self._backlogs_ms = {
            load.entry.id: load.prefill_backlog_ms() for load in self.prefill_engines
        }
        self._outlier_ids = self._find_outliers(
            self.prefill_engines
        ) | self._find_outliers(self.decode_engines)
        self._sort_prefill_engines()
        # Sizes of requests that may use every engine but fitted none.
        self._unplaced_sizes: list[tuple[int, int]] = []

    def free_slots(self) -> int:
        """Return the number of slots that no run holds."""
        return self._free_slots

    def permitted_slots(self) -> int:
        """Return the number of free slots that requests may use now."""
        return sum(
            int(
                min(
                    max(0, load.free_slots()),
                    self._limits.permits_left(load.entry.id, self._now_s),
                )
            )
            for load in self.decode_engines
        )

    def record_grant(self, prefill_engine: EngineLoad | None) -> None:
        """Update the view after a grant in this pass."""
        self._free_slots -= 1
        if prefill_engine is not None:
            self._backlogs_ms[prefill_engine.entry.id] = (
                prefill_engine.prefill_backlog_ms()
            )
            self._sort_prefill_engines()

    def _find_outliers(self, loads: list[EngineLoad]) -> set[str]:
        """Return the ids of engines that fail more often than their peers."""
        if not self._parameters.rules.failure_shares:
            return set()
        return outlier_ids(
            {load.entry.id: load.outcomes for load in loads}, self._now_s
        )

    def _sort_prefill_engines(self) -> None:
        self.prefill_engines = sorted(
            self.prefill_engines,
            key=lambda load: (
                load.entry.id in self._outlier_ids,
                self._backlogs_ms[load.entry.id],
            ),
        )

    def usable_decode_engines(self, queued: QueuedRequest) -> list[EngineLoad]:
        """Return the decode engines to which the host may send requests."""
        return self._not_blocked(self.decode_engines, queued)

    def usable_prefill_engines(self, queued: QueuedRequest) -> list[EngineLoad]:
        """Return the prefill engines to which the host may send requests."""
        return self._not_blocked(self.prefill_engines, queued)

    def first_prefill_engine(self, queued: QueuedRequest) -> EngineLoad | None:
        """Return the prefill engine that can begin first, if there is one.

        An engine that failed the request is returned only if there is no
        other, since repeating a prefill is safe.
        """
        prefill_engines = [
            load
            for load in self.usable_prefill_engines(queued)
            if self._limits.may_send(load.entry.id, self._now_s)
        ]
        for load in prefill_engines:
            if load.entry.id not in queued.excluded:
                return load
        return prefill_engines[0] if prefill_engines else None

    def prefill_backlog_s(self, prefill_engine: EngineLoad | None) -> float:
        """Return the time until an engine has prefilled its granted prompts.

        0 without a prefill engine.
        """
        return (
            self._backlogs_ms[prefill_engine.entry.id] / 1000 if prefill_engine else 0.0
        )

    def select_decode_engine(
        self, queued: QueuedRequest, *, local_prefill: bool
    ) -> EngineLoad | None:
        """Return the best engine with capacity for a request, if any.

        ``local_prefill``: the engine has to prefill the prompt too, so it
        must have recovered from the last one and keep the pause limit.
        """
        request = queued.request
        size = (request.prompt_tokens, request.expected_tokens)
        if any(
            size[0] >= unplaced[0] and size[1] >= unplaced[1]
            for unplaced in self._unplaced_sizes
        ):
            return None
        loads = [
            load
            for load in self._not_blocked(self.decode_engines, queued)
            if load.entry.id not in queued.excluded
            and load.free_slots() > 0
            and self._limits.may_send(load.entry.id, self._now_s)
        ]
        if request.suspect_parts:
            loads = self._trial_loads(loads, request.suspect_parts)
        else:
            loads.sort(key=self._preference)
        for load in loads:
            if local_prefill and (
                self._is_recovering(load) or self.exceeds_pause_limit(load, request)
            ):
                continue
            if load.fits(*size, self._now_s, self._ledger.output_length.error):
                return load
        if (
            not local_prefill
            and not queued.excluded
            and not request.suspect_parts
            and not self._blocked_engines(queued)
        ):
            self._unplaced_sizes.append(size)
        return None

    def _trial_loads(
        self, loads: list[EngineLoad], parts: tuple[str, ...]
    ) -> list[EngineLoad]:
        """Return the engines for a trial, those with the fewest runs first.

        A crash would end the other runs of the engine. One at an address where
        none crashed before tells more.
        """
        crashed = self._trials.history_of(parts).addresses
        elsewhere = any(
            load.entry.address.text not in crashed for load in self.decode_engines
        )
        share = self._trials.max_load_share(parts, self._now_s)
        loads = [
            load
            for load in loads
            if load.entry.id not in self._trial_engine_ids
            and len(load.runs_by_id) <= share * load.slots
            and not (elsewhere and load.entry.address.text in crashed)
        ]
        loads.sort(key=lambda load: (len(load.runs_by_id), self._preference(load)))
        return loads

    def _is_recovering(self, load: EngineLoad) -> bool:
        """Return whether streams still recover from a local prefill."""
        return (
            self._parameters.rules.own_read_pacing
            and self._now_s < load.next_local_prefill_s
        )

    def leaves_reserved(self, reserved: ReservedCapacity) -> bool:
        """Return whether one more grant leaves the reserved capacity free.

        Each engine counts as capacity for one request if that fits there.
        """
        error = self._ledger.output_length.error
        fitting = (
            load
            for load in self.decode_engines
            if load.fits(
                reserved.prompt_tokens, reserved.output_tokens, self._now_s, error
            )
        )
        needed = reserved.requests + 1
        return len(list(islice(fitting, needed))) == needed

    def exceeds_pause_limit(self, load: EngineLoad, request: RunRequest) -> bool:
        """Return whether a local prefill pauses running streams too long."""
        if not load.runs_by_id:
            return False
        max_gap_s = request.max_gap_ms / 1000 or self._parameters.max_gap_s
        pause_s = load.expected_pause_s(request.prompt_tokens)
        return pause_s > load.max_local_prefill_s(max_gap_s)

    def needs_prefill_engine(self, queued: QueuedRequest) -> bool:
        """Return whether no decode engine may prefill the prompt itself."""
        return all(
            self.exceeds_pause_limit(load, queued.request)
            for load in self.usable_decode_engines(queued)
        )

    def _preference(self, load: EngineLoad) -> tuple[bool, bool, bool, float]:
        """Return the sort key of a decode engine; the lowest is preferred."""
        is_stalled = self._now_s < load.stalled_until_s
        is_outlier = load.entry.id in self._outlier_ids
        return (
            load.entry.id in self._trial_engine_ids,
            is_outlier,
            is_stalled,
            load.token_ms * (1 + len(load.runs_by_id) / load.slots),
        )

    def _blocked_engines(self, queued: QueuedRequest) -> set[str]:
        return queued.blocked_engines | self._blocks.get(queued.host_id, set())

    def _not_blocked(
        self, loads: list[EngineLoad], queued: QueuedRequest
    ) -> list[EngineLoad]:
        blocked_engines = self._blocked_engines(queued)
        if not blocked_engines:
            return loads
        return [load for load in loads if load.entry.id not in blocked_engines]
