"""Terms, decisions and waiting requests of the queue for model engines."""

from dataclasses import dataclass, field

from kumquat_core.peer_messages import RunRequest

from .engine_load import MAX_GAP_S
from .engine_registry import EngineEntry
from .relay_rules import ALL_RULES, RelayRules

__all__ = ["Decision", "Granted", "QueueTerms", "Refused", "Waiting"]


@dataclass(frozen=True)
class QueueTerms:
    """Figures of the queue; times in seconds.

    ``full_pause_s``: no grant for an engine that refused for lack of room.
    ``unconfirmed_s``: a grant that no host reports as held is dropped.
    ``read_ahead_s``: a place is granted only when the prompts ahead at the
    prefill engine are read within this time, so that places do not wait.
    ``max_gap_s``: a decode engine reads no prompt that pauses its runs longer,
    where the route of a request does not state it.
    ``relief_s``: a decode engine reads the prompt of a request that would be
    late after this time, if no prefill engine can begin.
    ``relief_reserve``: part of the places that must be free for that.
    ``late_reserve``: part of the places that late requests leave free.
    ``rules``: the mechanisms that are in force.
    """

    # A run ends every 0.15 s at an engine with twelve places.
    full_pause_s: float = 0.15
    # Three reports of held runs.
    unconfirmed_s: float = 1.6
    # One prompt of a usual size.
    read_ahead_s: float = 0.12
    # A usual prompt is read in 0.1 s and its first event follows within 0.1 s.
    start_s: float = 0.2
    first_event_s: float = 0.1
    # Late requests may wait together for this share of the places.
    late_share: float = 0.5
    # Late requests do not wait while others on time are refused.
    saturated_s: float = 1.0
    max_gap_s: float = MAX_GAP_S
    # Stalls are reported again while they last.
    stall_s: float = 0.6
    late_reserve: float = 0.1
    # Twice the time between two events of the queue at a peak.
    relief_s: float = 0.1
    # Where places are short, reading beside runs serves fewer in all.
    relief_reserve: float = 0.25
    rules: RelayRules = ALL_RULES


@dataclass(frozen=True)
class Granted:
    """A place at a decode engine.

    Without a prefill engine the decode engine reads the prompt.
    """

    request_id: str
    decode: EngineEntry
    prefill: EngineEntry | None
    waited_s: float
    free_places: int


@dataclass(frozen=True)
class Refused:
    """No place for a request that has not run."""

    request_id: str
    reason: str
    retry_after_s: float
    waiting: int
    free_places: int


Decision = Granted | Refused


@dataclass
class Waiting:
    """A request without a place; times are steady seconds."""

    request: RunRequest
    host_id: str
    arrived_s: float
    on_time_until_s: float
    leaves_s: float
    excluded: set[str] = field(default_factory=set)
    barred: set[str] = field(default_factory=set)
    stated_tokens: int = 0

    @property
    def give_up_s(self) -> float:
        """Return when waiting is in vain.

        A request that came in time has nothing to gain from waiting longer
        than that: it can return when the peak is over.
        """
        if self.arrived_s <= self.on_time_until_s:
            return self.on_time_until_s
        return self.leaves_s

    def is_late(self, now_s: float) -> bool:
        """Tell whether the request can no longer be on time."""
        return now_s > self.on_time_until_s
