"""The state of a stream across its runs, and its outcome."""

from dataclasses import dataclass, field, replace

from kumquat_core.result_codes import ResultCode

from .caller_response import CallerResponse
from .engine_registry import EngineEntry
from .event_stream import EventSplitter
from .protocols import PrefillResult
from .response_sink import ResponseSink

__all__ = [
    "COMPLETE",
    "CompletionReport",
    "RunCounts",
    "StreamOutcome",
    "StreamPace",
    "StreamProgress",
]

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
class RunCounts:
    """What was sent for a stream.

    ``runs`` counts the runs that an engine may have started, ``prefills`` the
    prefills, and ``sends`` the sends of runs. ``standbys`` counts the further
    runs that were prepared while one was silent.
    """

    runs: int = 0
    sends: int = 0
    prefills: int = 0
    standbys: int = 0


@dataclass
class StreamPace:
    """When events were received, in monotonic seconds."""

    first_event_s: float | None = None
    last_event_s: float = 0.0
    max_gap_s: float = 0.0

    def record_event_time(self, now_s: float) -> None:
        """Record the time at which events were received."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self.last_event_s:
            self.max_gap_s = max(self.max_gap_s, now_s - self.last_event_s)
        self.last_event_s = now_s


@dataclass
class StreamProgress:
    """The state of a stream across all its runs.

    ``slot_id`` identifies the slot of its run at the owner of the service.
    ``rejections`` counts the attempts that were provably not executed.
    ``reservation_id`` names an unused reservation at ``reservation_engine``;
    ``events_before`` is the number of events that earlier runs produced.
    The grant allows the prompt parts in ``trial_parts`` to be tried;
    ``own_suspects`` are those under which a run of this stream ended.
    ``answer_began_s`` is the time of the first event of the current run.
    ``is_standby`` is set while the run of another state is silent.
    Engines in ``excluded`` failed the request and are used only if no other
    is left; this host sends nothing to those in ``blocked_engines``.
    """

    sink: ResponseSink
    slot_id: str
    splitter: EventSplitter = field(default_factory=EventSplitter)
    counts: RunCounts = field(default_factory=RunCounts)
    is_standby: bool = False
    rejections: int = 0
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
    events_before: int = 0
    pace: StreamPace = field(default_factory=StreamPace)

    @property
    def first_event_s(self) -> float | None:
        """Return the time of the first event of the stream, if any."""
        return self.pace.first_event_s

    def for_standby(self, request_id: str, silent_engine: str) -> "StreamProgress":
        """Return the state for a run that begins beside a silent one.

        Both share the response to the caller, its pace and the counts.
        """
        self.counts.standbys += 1
        return replace(
            self,
            slot_id=f"{request_id}~{self.counts.standbys}",
            is_standby=True,
            splitter=self.splitter.fork(),
            rejections=0,
            excluded=self.excluded | {silent_engine},
            blocked_engines=set(self.blocked_engines),
            own_suspects=set(self.own_suspects),
            answer_began_s=None,
            prefill=None,
            reservation_id="",
            reservation_engine=None,
        )

    def adopt(self, standby: "StreamProgress") -> None:
        """Go on with the run that began beside a silent one."""
        self.slot_id = standby.slot_id
        self.splitter = standby.splitter
        self.events_before = standby.events_before
        self.excluded = standby.excluded
        self.blocked_engines = standby.blocked_engines
        self.own_suspects = standby.own_suspects
        self.trial_parts = standby.trial_parts
        self.answer_began_s = None
        self.prefill, self.prefilled_s = standby.prefill, standby.prefilled_s
        self.reservation_id = standby.reservation_id
        self.reservation_engine = standby.reservation_engine

    def is_answering(self, now_s: float) -> bool:
        """Tell whether the engine has survived the start of its answer."""
        began_s = self.answer_began_s
        return began_s is not None and now_s - began_s >= ANSWER_START_S

    def record_event_time(self, now_s: float) -> None:
        """Record the time at which events were received."""
        if self.answer_began_s is None:
            self.answer_began_s = now_s
        self.pace.record_event_time(now_s)


@dataclass
class CompletionReport:
    """What the owner is told about a run when its slot is released.

    ``full_engine`` rejected the run for lack of capacity. ``failed_engine``
    failed it: it could not be reached if ``unreachable`` is set, and sent an
    error if ``error_response`` is, and fell silent if ``silent`` is.
    ``generated_tokens`` is the length of a complete response, else 0.
    """

    gap_ms: float = 0.0
    full_engine: str = ""
    failed_engine: str = ""
    unreachable: bool = False
    error_response: bool = False
    silent: bool = False
    generated_tokens: int = 0
