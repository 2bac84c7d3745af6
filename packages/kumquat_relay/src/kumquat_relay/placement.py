"""Which engines a waiting request gets, in one pass over the queue.

Load pattern: at a peak many requests wait for few engines, so most of them
are looked at in vain at each event. The engines are listed once for a pass,
and a request that is as large as one that did not fit is not tried again.

The prompt goes to the reader that can begin first; the run goes to the
engine on which a further run is fastest and fits until its end. Engines that
fail more often than the others come last.
"""

from collections.abc import Mapping
from itertools import islice

from kumquat_core.peer_messages import RunRequest

from .engine_load import EngineLoad
from .failure_share import failing_ids
from .priority_reserve import KeptRoom
from .queue_types import QueueTerms, Waiting
from .run_ledger import RunLedger

__all__ = ["Placement"]


class Placement:
    """The engines as they are during one pass, which may grant places.

    ``bars`` states until when engines want nothing from a host, by host id
    and engine id.
    """

    def __init__(
        self,
        ledger: RunLedger,
        terms: QueueTerms,
        bars: Mapping[str, Mapping[str, float]],
        now_s: float,
    ) -> None:
        self._ledger = ledger
        self._terms = terms
        self._now_s = now_s
        self._bars = {
            host_id: {
                engine_id
                for engine_id, until_s in until_by_id.items()
                if now_s < until_s
            }
            for host_id, until_by_id in bars.items()
        }
        self.readers = ledger.readers()
        self.decoders = ledger.decode_loads()
        self.all_places = sum(load.places for load in self.decoders)
        self._free_places = sum(max(0, load.free_places()) for load in self.decoders)
        self._backlogs_ms = {
            load.entry.id: load.read_backlog_ms() for load in self.readers
        }
        self._failing_ids = self._failing(self.readers) | self._failing(self.decoders)
        self._order_readers()
        # Sizes of requests that may use all engines and fitted into none.
        self._unfit: list[tuple[int, int]] = []

    def free_places(self) -> int:
        """Return the places that no run holds."""
        return self._free_places

    def granted(self, reader: EngineLoad | None) -> None:
        """Note that a place was granted in this pass."""
        self._free_places -= 1
        if reader is not None:
            self._backlogs_ms[reader.entry.id] = reader.read_backlog_ms()
            self._order_readers()

    def _failing(self, loads: list[EngineLoad]) -> set[str]:
        """Return the engines that stand out among those of their role."""
        if not self._terms.rules.failure_shares:
            return set()
        return failing_ids(
            {load.entry.id: load.failures for load in loads}, self._now_s
        )

    def _order_readers(self) -> None:
        self.readers = sorted(
            self.readers,
            key=lambda load: (
                load.entry.id in self._failing_ids,
                self._backlogs_ms[load.entry.id],
            ),
        )

    def usable_decoders(self, waiting: Waiting) -> list[EngineLoad]:
        """Return the decode engines to which the host may send."""
        return self._usable(self.decoders, waiting)

    def first_reader(self, waiting: Waiting) -> EngineLoad | None:
        """Return the prefill engine that can begin first, if there is one.

        A prompt may be read again, so one that failed is used again when it
        is the only one.
        """
        readers = self._usable(self.readers, waiting)
        for load in readers:
            if load.entry.id not in waiting.excluded:
                return load
        return readers[0] if readers else None

    def read_ahead_s(self, reader: EngineLoad | None) -> float:
        """Return the time until the prompts granted to a reader are read."""
        return self._backlogs_ms[reader.entry.id] / 1000 if reader else 0.0

    def decoder(self, waiting: Waiting, *, reads: bool) -> EngineLoad | None:
        """Return the fitting engine on which a further run goes fastest.

        ``reads`` leaves out engines that have just read a prompt themselves.
        """
        request = waiting.request
        size = (request.prompt_tokens, request.expected_tokens)
        if any(size[0] >= unfit[0] and size[1] >= unfit[1] for unfit in self._unfit):
            return None
        loads = [
            load
            for load in self._usable(self.decoders, waiting)
            if load.entry.id not in waiting.excluded and load.free_places() > 0
        ]
        loads.sort(key=self._cost)
        for load in loads:
            if reads and (self._catches_up(load) or self.disturbs(load, request)):
                continue
            if load.fits(*size, self._now_s, self._ledger.estimate.error):
                return load
        if not reads and not waiting.excluded and not self._barred(waiting):
            self._unfit.append(size)
        return None

    def _catches_up(self, load: EngineLoad) -> bool:
        """Tell whether streams still make up for a prompt read beside them."""
        return self._terms.rules.own_read_pacing and self._now_s < load.reads_again_s

    def has_room_for(self, kept: KeptRoom) -> bool:
        """Tell whether the room stays when one more request is granted.

        Each engine counts for one request that fits there.
        """
        error = self._ledger.estimate.error
        fitting = (
            load
            for load in self.decoders
            if load.fits(kept.prompt_tokens, kept.output_tokens, self._now_s, error)
        )
        needed = kept.requests + 1
        return len(list(islice(fitting, needed))) == needed

    def disturbs(self, load: EngineLoad, request: RunRequest) -> bool:
        """Tell whether reading a prompt pauses running streams too long."""
        if not load.runs_by_id:
            return False
        max_gap_s = request.max_gap_ms / 1000 or self._terms.max_gap_s
        pause_s = load.pause_s(request.prompt_tokens)
        return pause_s > load.longest_own_read_s(max_gap_s)

    def _cost(self, load: EngineLoad) -> tuple[bool, bool, float]:
        stalls = self._now_s < load.stalled_until_s
        fails = load.entry.id in self._failing_ids
        return fails, stalls, load.token_ms * (1 + len(load.runs_by_id) / load.places)

    def _barred(self, waiting: Waiting) -> set[str]:
        return waiting.barred | self._bars.get(waiting.host_id, set())

    def _usable(self, loads: list[EngineLoad], waiting: Waiting) -> list[EngineLoad]:
        barred = self._barred(waiting)
        if not barred:
            return loads
        return [load for load in loads if load.entry.id not in barred]
