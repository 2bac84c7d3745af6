"""Messages between hosts about runs at model engines.

An entry host requests a slot from the owner of a service, informs it of the
progress of the run, and reports all runs it holds twice a second.
"""

from dataclasses import dataclass, field

from .crash_messages import NO_EVIDENCE_DIGEST
from .limit_messages import NO_LIMITS_DIGEST, ServerLimit
from .message_fields import LATER_FIELD, AddressText, Figure, Whole

__all__ = [
    "EngineNoticed",
    "HeldRun",
    "RunEnded",
    "RunGrant",
    "RunPrefilled",
    "RunRefusal",
    "RunRequest",
    "RunsHeld",
    "RunsNoted",
    "RunStalled",
]


@dataclass(frozen=True)
class RunRequest:
    """Requests a slot at the model engines of a service from its owner.

    Times are remaining milliseconds. ``objective_ms`` is the time until the
    first event is late, negative if it is already. ``patience_ms`` is the time
    until the caller disconnects if no event arrives, and ``left_ms`` the time
    until its deadline, after which the response is of no use to it.
    ``max_gap_ms`` is the longest pause between events of a response that is on
    time, 0 without a limit. Engines in ``excluded`` failed this request; their
    prefill is used again only if no other prefill engine is left. The sending
    host sends nothing to those in ``blocked_engines``. ``suspect_parts`` are
    the parts of the prompt that may have crashed engines.
    """

    request_id: str
    service: str
    prompt_tokens: Whole
    expected_tokens: Whole
    priority: Whole
    objective_ms: Whole
    patience_ms: Whole
    left_ms: Whole
    excluded: tuple[str, ...] = ()
    max_gap_ms: Whole = 0
    blocked_engines: tuple[str, ...] = ()
    suspect_parts: tuple[str, ...] = field(default=(), metadata=LATER_FIELD)


@dataclass(frozen=True)
class RunGrant:
    """Grants a slot at a decode engine.

    ``prefill_engine`` is empty if the decode engine prefills the prompt
    itself. Addresses are ``IP:PORT``, for hosts that do not know the engine
    yet. ``reserve``: the owner's records may be wrong, so the slot should be
    reserved at the engine before the prefill. ``evidence_digest`` is that of
    what the owner knows about prompt parts that crash engines.
    """

    request_id: str
    decode_engine: str
    decode_address: AddressText
    prefill_engine: str
    prefill_address: AddressText
    waited_ms: Whole
    reserve: bool = False
    evidence_digest: Whole = field(default=NO_EVIDENCE_DIGEST, metadata=LATER_FIELD)


@dataclass(frozen=True)
class RunRefusal:
    """Refuses a request that would get no slot in time.

    ``waiting`` is the number of queued requests.
    """

    request_id: str
    reason: str
    retry_after_ms: Whole
    waiting: Whole


@dataclass(frozen=True)
class RunPrefilled:
    """Reports that the prefill of a granted request took ``prefill_ms``.

    0 means that the prefill engine failed, or could not be reached if
    ``unreachable`` is set. A negative value means that no prefill was
    requested, since an earlier result was still valid.
    """

    request_id: str
    service: str
    prefill_ms: Figure
    unreachable: bool = False


@dataclass(frozen=True)
class RunStalled:
    """Reports that a run has produced no event for ``silent_ms``."""

    request_id: str
    service: str
    engine: str
    silent_ms: Whole


@dataclass(frozen=True)
class EngineNoticed:
    """Forwards to the queue owner a notice that an engine sent about itself.

    ``leaving``: the engine is shutting down and accepts no new work from any
    host. ``born_ms`` is the start of the engine incarnation in Unix
    milliseconds, 0 if unknown. ``pause_ms``: the engine asked the forwarding
    host to send it nothing for this long.
    """

    service: str
    engine: str
    born_ms: Whole
    leaving: bool
    pause_ms: Whole = 0


@dataclass(frozen=True)
class RunEnded:
    """Reports that a request holds no slot any more or is not queued any more.

    ``gap_ms`` is the mean time between its events, 0 if there were too few.
    ``full_engine`` refused it for lack of capacity. ``failed_engine`` failed
    it: the engine could not be reached if ``unreachable`` is set, and sent an
    error response if ``error_response`` is, or fell silent if ``silent`` is.
    ``generated_tokens`` is the length of a complete response, else 0.
    """

    request_id: str
    service: str
    gap_ms: Figure = 0.0
    full_engine: str = ""
    failed_engine: str = ""
    unreachable: bool = False
    generated_tokens: Whole = 0
    error_response: bool = False
    silent: bool = field(default=False, metadata=LATER_FIELD)


@dataclass(frozen=True)
class HeldRun:
    """A run that a host still holds.

    ``generated_tokens`` of its response have arrived, with a mean time of
    ``gap_ms`` between events, 0 if there were too few. ``longest_gap_ms`` is
    the longest time between two events since the last report.
    """

    request_id: str
    decode_engine: str
    prompt_tokens: Whole
    expected_tokens: Whole
    age_ms: Whole
    generated_tokens: Whole = 0
    gap_ms: Figure = 0.0
    longest_gap_ms: Figure = 0.0


@dataclass(frozen=True)
class RunsHeld:
    """A host's report of all runs of a service that it holds.

    It is also the host's heartbeat to the queue owner. ``counted`` is false if
    the host has another owner now or has just changed to this one. ``digest``
    is that of the request rates that servers have named, as far as the host
    knows, and ``limits`` are these rates if the owner may have to learn them.
    """

    service: str
    runs: tuple[HeldRun, ...] = ()
    counted: bool = field(default=True, metadata=LATER_FIELD)
    digest: Whole = field(default=NO_LIMITS_DIGEST, metadata=LATER_FIELD)
    limits: tuple[ServerLimit, ...] = field(default=(), metadata=LATER_FIELD)


@dataclass(frozen=True)
class RunsNoted:
    """The queue owner's acknowledgement of a ``RunsHeld`` report.

    ``outdated``: the owner has not reached the store for a while, so another
    host should own the service. ``configuration`` is the configuration version
    that the owner uses. ``limits`` are the request rates that servers have
    named, None if the digest of the report is that of these rates.
    ``evidence_digest`` is as in ``RunGrant``, ``store_era`` the newest era of
    the store that the owner knows, 0 for the first.
    """

    host_id: str
    free_slots: Whole
    outdated: bool = False
    configuration: Whole = -1
    limits: tuple[ServerLimit, ...] | None = field(default=(), metadata=LATER_FIELD)
    evidence_digest: Whole = field(default=NO_EVIDENCE_DIGEST, metadata=LATER_FIELD)
    store_era: Whole = field(default=0, metadata=LATER_FIELD)
