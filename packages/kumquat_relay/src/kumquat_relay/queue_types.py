"""Parameters, decisions and requests of the admission queue."""

from dataclasses import dataclass, field

from kumquat_core.peer_messages import RunRequest

from .engine_load import DEFAULT_MAX_GAP_S
from .engine_registry import EngineEntry
from .relay_rules import ALL_RULES, RelayRules

__all__ = [
    "QUARANTINED",
    "TRIAL_DEFERRED",
    "Decision",
    "Granted",
    "QueueParameters",
    "Refused",
    "QueuedRequest",
]

# Reason of the refusal of a request whose prompt parts crash engines.
QUARANTINED = "prompt_quarantined"
# Reason of the refusal of a suspect request while all engines have many runs.
TRIAL_DEFERRED = "trial_deferred"


@dataclass(frozen=True)
class QueueParameters:
    """Parameters of the admission queue; times in seconds.

    ``full_backoff_s``: how long an engine that refused a run for lack of
    capacity gets no grants; doubles per refusal in a row, up to eightfold.
    ``unconfirmed_timeout_s``: a run that its host has not reported for this
    long is removed.
    ``max_prefill_backlog_s``: a slot is granted only if the prefill engine
    finishes the prompts ahead within this time, so that slots are not idle.
    ``start_s``: least time from the grant to the first event that is planned
    for a request. ``first_event_s``: the part of it after the prefill.
    ``max_late_share``: late requests may be queued up to this fraction of the
    number of slots.
    ``saturation_window_s``: how long late requests are refused on arrival
    after one on time was refused for lack of slots.
    ``max_gap_s``: longest pause of running streams that a local prefill may
    cause, if the route of the request sets no limit.
    ``stall_penalty_s``: how long engines without stalled runs are preferred
    to one that has reported a stall.
    ``late_reserve``: fraction of the slots that late requests leave free.
    ``local_prefill_lead_s``: a decode engine prefills the prompt of a request
    that would be late after this time, if no prefill engine can begin.
    ``local_prefill_reserve``: fraction of the slots that must be free for it.
    ``rules``: the enabled mechanisms.
    """

    # An engine with twelve slots finishes a run every 0.15 s.
    full_backoff_s: float = 0.15
    # Three periods of the run reports.
    unconfirmed_timeout_s: float = 1.6
    # Prefill time of one prompt of typical size.
    max_prefill_backlog_s: float = 0.12
    # A typical prefill takes 0.1 s and the first event follows within 0.1 s.
    start_s: float = 0.2
    first_event_s: float = 0.1
    max_late_share: float = 0.5
    saturation_window_s: float = 1.0
    max_gap_s: float = DEFAULT_MAX_GAP_S
    # A stall that lasts is reported again within this time.
    stall_penalty_s: float = 0.6
    late_reserve: float = 0.1
    # Twice the time between two queue events during a load peak.
    local_prefill_lead_s: float = 0.1
    # When slots are scarce, local prefills lower the total throughput.
    local_prefill_reserve: float = 0.25
    rules: RelayRules = ALL_RULES


@dataclass(frozen=True)
class Granted:
    """A granted slot at a decode engine.

    Without a prefill engine the decode engine prefills the prompt itself.
    ``waited_s`` is the time in the queue, ``free_slots`` what is left.
    """

    request_id: str
    decode: EngineEntry
    prefill: EngineEntry | None
    waited_s: float
    free_slots: int


@dataclass(frozen=True)
class Refused:
    """The refusal of a request that has not run.

    ``waiting`` and ``free_slots`` are the counts after the refusal.
    """

    request_id: str
    reason: str
    retry_after_s: float
    waiting: int
    free_slots: int


Decision = Granted | Refused


@dataclass
class QueuedRequest:
    """A request without a slot; times are monotonic seconds.

    Its response is on time if it is granted a slot by ``latest_start_s``; the
    caller disconnects if it gets none by ``patience_deadline_s``.
    ``expected_tokens`` of ``request`` is the planned length of the response
    and ``declared_tokens`` the length that the caller declared.
    """

    request: RunRequest
    host_id: str
    arrived_s: float
    latest_start_s: float
    patience_deadline_s: float
    excluded: set[str] = field(default_factory=set)
    blocked_engines: set[str] = field(default_factory=set)
    declared_tokens: int = 0

    @property
    def queue_deadline_s(self) -> float:
        """Return when the request is refused if it still has no slot.

        A request that arrived on time gains nothing by waiting until it is
        late: it can retry after the load peak.
        """
        if self.arrived_s <= self.latest_start_s:
            return self.latest_start_s
        return self.patience_deadline_s

    def sort_key(self, now_s: float) -> tuple[bool, int, float]:
        """Order by on time before late, then priority, then latest start."""
        return (self.is_late(now_s), self.request.priority, self.latest_start_s)

    def is_late(self, now_s: float) -> bool:
        """Return whether the response can no longer be on time."""
        return now_s > self.latest_start_s
