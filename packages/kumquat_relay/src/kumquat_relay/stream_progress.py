"""The state of a stream across its runs, and its outcome."""

from dataclasses import dataclass, field

from kumquat_core.result_codes import ResultCode

from .caller_response import CallerResponse
from .engine_registry import EngineEntry
from .event_stream import EventSplitter
from .protocols import PrefillResult
from .response_sink import ResponseSink

__all__ = ["COMPLETE", "CompletionReport", "StreamOutcome", "StreamProgress"]

# The reason of the outcome of a complete response.
COMPLETE = "complete"
# An engine that crashes under a prompt part does so within this time after the
# first event.
ANSWER_START_S = 0.5


@dataclass(frozen=True)
class StreamOutcome:
    """How a stream ended.

    ``response`` is the response to send if none was started, else None.
    """

    code: ResultCode
    reason: str
    response: CallerResponse | None = None


@dataclass
class StreamProgress:
    """The state of a stream across all its runs.

    ``runs`` counts the runs that an engine may have started, ``rejections``
    the attempts that were provably not executed. ``reservation_id`` names an
    unused reservation at ``reservation_engine``; ``events_before`` is the
    number of events that earlier runs produced.
    The grant allows the prompt parts in ``trial_parts`` to be tried;
    ``own_suspects`` are those under which a run of this stream ended.
    ``answer_began_s`` is the time of the first event of the current run.
    Engines in ``excluded`` failed the request and are used only if no other
    is left; this host sends nothing to those in ``blocked_engines``.
    """

    sink: ResponseSink
    splitter: EventSplitter = field(default_factory=EventSplitter)
    rejections: int = 0
    runs: int = 0
    sends: int = 0
    excluded: set[str] = field(default_factory=set)
    blocked_engines: set[str] = field(default_factory=set)
    trial_parts: tuple[str, ...] = ()
    own_suspects: set[str] = field(default_factory=set)
    answer_recorded: bool = False
    answer_began_s: float | None = None
    prefill: PrefillResult | None = None
    prefilled_s: float = float("-inf")
    reservation_id: str = ""
    reservation_engine: EngineEntry | None = None
    prefills: int = 0
    events_before: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    max_gap_s: float = 0.0

    def is_answering(self, now_s: float) -> bool:
        """Tell whether the engine has survived the start of its answer."""
        began_s = self.answer_began_s
        return began_s is not None and now_s - began_s >= ANSWER_START_S

    def record_event_time(self, now_s: float) -> None:
        """Record the time at which events were received."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self.answer_began_s is None:
            self.answer_began_s = now_s
        if self.last_event_s:
            self.max_gap_s = max(self.max_gap_s, now_s - self.last_event_s)
        self.last_event_s = now_s


@dataclass
class CompletionReport:
    """What the owner is told about a run when its slot is released.

    ``full_engine`` rejected the run for lack of capacity. ``failed_engine``
    failed it: it could not be reached if ``unreachable`` is set, and sent an
    error if ``error_response`` is. ``generated_tokens`` is the length of a
    complete response, else 0.
    """

    gap_ms: float = 0.0
    full_engine: str = ""
    failed_engine: str = ""
    unreachable: bool = False
    error_response: bool = False
    generated_tokens: int = 0
