"""Messages between hosts about runs of streams at model engines.

A host asks the owner of a service for a place, tells it what becomes of the
run, and reports all runs it holds twice a second.
"""

from dataclasses import dataclass

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
    """Asks the owner of a service for a place at its model engines.

    Times are remaining milliseconds. ``objective_ms`` is the time until the
    first event is late and is negative when it is; ``patience_ms`` the time
    until the caller leaves, ``left_ms`` the time until it wants no answer any
    more. ``max_gap_ms`` is the longest pause between events
    with which an answer is on time, 0 if there is no such bound. Engines in
    ``excluded`` failed this request and are used when no other is left; the
    asking host sends nothing to those in ``barred``.
    """

    request_id: str
    service: str
    prompt_tokens: int
    expected_tokens: int
    priority: int
    objective_ms: int
    patience_ms: int
    left_ms: int
    excluded: tuple[str, ...] = ()
    max_gap_ms: int = 0
    barred: tuple[str, ...] = ()


@dataclass(frozen=True)
class RunGrant:
    """A place at a decode engine; no prefill engine if it reads itself.

    Addresses are ``IP:PORT``, for hosts that do not know the engine yet.
    ``reserve``: the owner's account may be wrong, so the place should be
    reserved at the engine before the prompt is read.
    """

    request_id: str
    decode_engine: str
    decode_address: str
    prefill_engine: str
    prefill_address: str
    waited_ms: int
    reserve: bool = False


@dataclass(frozen=True)
class RunRefusal:
    """The owner of a service has no place for a request in time."""

    request_id: str
    reason: str
    retry_after_ms: int
    waiting: int


@dataclass(frozen=True)
class RunPrefilled:
    """The prompt of a granted request was read in ``read_ms``.

    0 means that the prefill engine failed, and could not even be reached if
    ``unreachable`` is set. A negative time means that it was not asked, since
    an earlier result still served.
    """

    request_id: str
    service: str
    read_ms: float
    unreachable: bool = False


@dataclass(frozen=True)
class RunStalled:
    """A run has made no event for ``silent_ms``."""

    request_id: str
    service: str
    engine: str
    silent_ms: int


@dataclass(frozen=True)
class EngineNoticed:
    """What an engine said of itself to the sending host.

    ``leaving``: it takes no new work from anybody; ``born_ms`` is the start of
    that incarnation in Unix milliseconds, 0 if the host does not know it.
    ``pause_ms``: it wants nothing from the sending host for so long.
    """

    service: str
    engine: str
    born_ms: int
    leaving: bool
    pause_ms: int = 0


@dataclass(frozen=True)
class RunEnded:
    """A request holds no place any more, or waits no longer.

    ``gap_ms`` is the mean time between its events, 0 when there were too
    few. ``full_engine`` refused it for lack of room; ``failed_engine``
    failed it: it could not even be reached if ``unreachable`` is set, and
    answered with an error if ``error_answer`` is. ``made_tokens`` is the
    length of an answer that was complete, else 0.
    """

    request_id: str
    service: str
    gap_ms: float = 0.0
    full_engine: str = ""
    failed_engine: str = ""
    unreachable: bool = False
    made_tokens: int = 0
    error_answer: bool = False


@dataclass(frozen=True)
class HeldRun:
    """A run that a host still holds.

    ``made_tokens`` of its answer have arrived, with a mean time of ``gap_ms``
    between events; 0 when there were too few. ``longest_gap_ms`` is the
    longest time between two events since the last report.
    """

    request_id: str
    decode_engine: str
    prompt_tokens: int
    expected_tokens: int
    age_ms: int
    made_tokens: int = 0
    gap_ms: float = 0.0
    longest_gap_ms: float = 0.0


@dataclass(frozen=True)
class RunsHeld:
    """All runs of a service that a host holds; also its heartbeat."""

    service: str
    runs: tuple[HeldRun, ...] = ()


@dataclass(frozen=True)
class RunsNoted:
    """Answers ``RunsHeld``.

    ``outdated``: the owner has not reached the store for a while, so another
    host should own the service. ``configuration`` is the version in force at
    the owner.
    """

    host_id: str
    free_places: int
    outdated: bool = False
    configuration: int = -1
