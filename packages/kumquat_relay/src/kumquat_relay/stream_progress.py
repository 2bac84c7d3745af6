"""What has happened to a stream so far, and how it ended."""

from dataclasses import dataclass, field

from kumquat_core.result_codes import ResultCode

from .answer_sink import AnswerSink
from .engine_registry import EngineEntry
from .event_stream import EventSplitter
from .protocols import PrefillResult
from .relay_answers import Answer

__all__ = ["EndNotice", "StreamOutcome", "StreamProgress"]


@dataclass(frozen=True)
class StreamOutcome:
    """How a stream ended; ``answer`` is set when nothing was passed on."""

    code: ResultCode
    reason: str
    answer: Answer | None = None


@dataclass
class StreamProgress:
    """What has happened to a stream so far.

    ``runs`` counts the engines that may have worked on it, ``not_run`` the
    attempts that provably did not run. ``hold`` is an unused reservation,
    ``events_before`` the number of events that earlier runs made.
    Engines in ``excluded`` failed the request and are used when no other is
    left, those in ``barred`` get nothing from this host.
    """

    sink: AnswerSink
    splitter: EventSplitter = field(default_factory=EventSplitter)
    not_run: int = 0
    runs: int = 0
    sends: int = 0
    excluded: set[str] = field(default_factory=set)
    barred: set[str] = field(default_factory=set)
    prefill: PrefillResult | None = None
    prefilled_s: float = float("-inf")
    hold: str = ""
    hold_entry: EngineEntry | None = None
    prefills: int = 0
    events_before: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    max_gap_s: float = 0.0


@dataclass
class EndNotice:
    """What the owner learns when a place is given back."""

    gap_ms: float = 0.0
    full_engine: str = ""
    failed_engine: str = ""
    unreachable: bool = False
    error_answer: bool = False
    made_tokens: int = 0
