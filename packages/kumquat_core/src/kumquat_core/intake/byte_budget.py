"""Decides which requests of callers may take memory, without any I/O.

Load pattern: a few hundred requests per second with some kilobytes each pass
without waiting. Callers that no operator controls send many bodies of the
largest allowed size at once and stop just before their end, or read no
response.

A body with a length takes that length before it is read, one without takes
more as it grows. What does not fit waits, and the most advanced body goes on
first, so that bodies end. While something waits, bodies and responses without
progress are refused, then bodies that waited too long, the least advanced
first. Only small requests may use the reserve, which keeps them served.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from .intake_limits import IntakeLimits

__all__ = ["ByteBudget", "ENDING_CAUSES", "Cause", "Holding", "Stage", "growth_step"]

# The longest usual bodies have some kilobytes.
SMALL_BYTES = 64 * 1024
# A slower sender is one that stalls. The slowest usual links have 256 kbit/s.
PROGRESS_BYTES = 16 * 1024
STALL_S = 1.0
# A caller reads what is in its buffers in far less time.
UNREAD_STALL_S = 0.5
# Longer than a stall, so that the memory of stalled bodies reaches those that
# wait. With 1 s half of 24 bodies of 4 MB at once were refused by a host of
# 150 MB that served all of them with 2 s.
MAX_WAIT_S = 2.0
# A longer time between two decisions is one in which the host did not run.
MAX_PAUSE_S = 0.5
# What the web server has received of a body that waits: about 64 KB on most
# connections, and 320 KB at the most. Counts against the budget.
UNREAD_BYTES = 128 * 1024
# The part of the budget that requests may take while they wait.
WAITING_SHARE = 0.25
# How far a body without a length may be ahead of its reader.
MIN_AHEAD_BYTES = 128 * 1024
MAX_AHEAD_BYTES = 2 * 1024 * 1024
KEPT_AHEAD_SHARE = 0.8
FIRST_STEP_BYTES = 8 * 1024
LARGEST_STEP_BYTES = 256 * 1024


class Stage(Enum):
    """What a request holds its bytes for."""

    READING = "reading"
    RUNNING = "running"
    ANSWERING = "answering"


class Cause(Enum):
    """Why a request has to give its bytes back."""

    BODY_STALLED = "body_stalled"
    RESPONSE_UNREAD = "response_unread"
    NO_MEMORY = "no_memory"
    MANY_PARTS = "many_parts"


# The causes of refusals, as their responses name them.
ENDING_CAUSES = frozenset(cause.value for cause in Cause)


@dataclass(eq=False)
class Holding:
    """The bytes of one request.

    ``base`` is what the request takes without its body or response. ``taken``
    counts against the budget, ``moved`` are the bytes received or sent in this
    stage. ``wanted`` is the size that it waits for, 0 if none. The length of a
    body that ``grows`` is not known.
    """

    base: int = 0
    taken: int = 0
    moved: int = 0
    wanted: int = 0
    grows: bool = False
    stage: Stage = Stage.READING
    refused: Cause | None = None
    waits_since_s: float = 0.0
    progress_s: float = 0.0
    progress_moved: int = 0

    @property
    def is_small(self) -> bool:
        """Tell whether the request may use the reserve."""
        return max(self.taken, self.wanted) <= SMALL_BYTES

    def is_stalled(self, now_s: float) -> bool:
        """Tell whether its caller makes no progress, although it could."""
        match self.stage:
            case Stage.READING:
                return not self.wanted and now_s - self.progress_s > STALL_S
            case Stage.ANSWERING:
                return now_s - self.progress_s > UNREAD_STALL_S
            case Stage.RUNNING:
                return False


@dataclass(frozen=True)
class Resolution:
    """Who may go on and who has to give its bytes back."""

    granted: tuple[Holding, ...]
    refused: tuple[Holding, ...]


class ByteBudget:
    """The bytes of all requests of a host.

    ``peak_bytes`` is the most that they took; it may be set anew.
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self._limits = limits
        self._max_waiting = int(limits.budget_bytes * WAITING_SHARE / UNREAD_BYTES)
        self._holdings: dict[Holding, None] = {}
        self._waiting: dict[Holding, None] = {}
        self.total_bytes = self.peak_bytes = 0
        self._unframed_bytes = 0
        # Requests that were parsed and have not begun.
        self._expected = 0
        self._large_bytes = 0
        self._resolved_s: float | None = None

    def __len__(self) -> int:
        return len(self._holdings)

    @property
    def under_pressure(self) -> bool:
        """Tell whether something waits, or more is taken than allowed."""
        return bool(self._waiting) or self.is_over_limit

    @property
    def is_over_limit(self) -> bool:
        """Tell whether more is taken than allowed, as by responses."""
        return self.total_bytes > self._limits.budget_bytes

    def expect_request(self, size: int) -> bool:
        """Count a request that was parsed and begins in the next step.

        Returns false, without counting it, if it would be refused then.
        """
        is_full = self.total_bytes + size > self._limits.budget_bytes
        if is_full and len(self._waiting) + self._expected >= self._max_waiting:
            return False
        self._expected += 1
        self._change_total(size)
        return True

    def end_expected(self, size: int) -> None:
        """Count a request no longer that begins now, or never."""
        self._expected -= 1
        self._change_total(-size)

    def open(self, now_s: float, base: int = 0) -> Holding:
        """Return the holding of a request, which has taken nothing yet."""
        holding = Holding(base, progress_s=now_s)
        self._holdings[holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Give back all bytes of a request; it may be called again."""
        self._waiting.pop(holding, None)
        if holding in self._holdings:
            self._change(holding, 0)
            del self._holdings[holding]

    def take(self, holding: Holding, size: int, now_s: float) -> bool:
        """Let a request take ``size`` bytes in all; else it waits for them.

        It is refused if too many wait.
        """
        if size <= holding.taken:
            return True
        holding.wanted = size
        if self._fits(holding) and not self._must_queue(holding):
            self._grant(holding, now_s)
            return True
        holding.waits_since_s = now_s
        self._waiting[holding] = None
        if len(self._waiting) > self._max_waiting:
            self._refuse(holding, Cause.NO_MEMORY)
        return False

    def grow(self, holding: Holding, size: int, now_s: float) -> bool:
        """Let a body without a length take at least ``size`` bytes in all.

        While there is memory it takes more, which its connection may receive
        ahead of the reader. Else it waits as in ``take``.
        """
        ahead = min(MAX_AHEAD_BYTES, max(MIN_AHEAD_BYTES, size))
        is_short = holding.grows and holding.taken < size + ahead * KEPT_AHEAD_SHARE
        if is_short and size > SMALL_BYTES // 2 and not self._waiting:
            holding.wanted = size + ahead
            if self._fits(holding):
                self._grant(holding, now_s)
                return True
            holding.wanted = 0
        if size <= holding.taken:
            return True
        return self.take(holding, max(size, growth_step(holding.taken)), now_s)

    def record_progress(self, holding: Holding, size: int, now_s: float) -> None:
        """Record that bytes of a request were received or sent."""
        holding.moved += size
        if holding.moved - holding.progress_moved >= PROGRESS_BYTES:
            holding.progress_moved, holding.progress_s = holding.moved, now_s

    def begin_run(self, holding: Holding, size: int) -> None:
        """Keep ``size`` bytes of a body that was read until its run ends."""
        self._change(holding, size)
        holding.stage = Stage.RUNNING

    def begin_answer(self, holding: Holding, size: int, now_s: float) -> None:
        """Replace what a request has by its response, also over the limit."""
        self._change(holding, size)
        holding.stage = Stage.ANSWERING
        holding.moved = holding.progress_moved = 0
        holding.progress_s = now_s

    def change_unframed(self, size: int) -> None:
        """Count bytes of requests that have not begun, or no longer."""
        self._change_total(size)
        self._unframed_bytes += size

    @property
    def has_too_much_unframed(self) -> bool:
        """Tell whether requests that have not begun take too much."""
        return self._unframed_bytes > self._limits.budget_bytes * WAITING_SHARE

    def resize(self, holding: Holding, size: int) -> None:
        """Set what a request has taken, also over the limit."""
        if holding in self._holdings:
            self._change(holding, size)

    def resolve(self, now_s: float) -> Resolution:
        """Decide who goes on; to be called often under pressure."""
        self._excuse_pause(now_s)
        granted = self._grant_waiting(now_s)
        refused: list[Holding] = []
        for holding, cause in self._candidates(now_s):
            if not self.under_pressure:
                break
            if not holding.is_small or self._has_small_waiting():
                self._refuse(holding, cause)
                refused.append(holding)
                granted += self._grant_waiting(now_s)
        return Resolution(
            tuple(item for item in granted if item.refused is None), tuple(refused)
        )

    def _candidates(self, now_s: float) -> Iterator[tuple[Holding, Cause]]:
        """Return what may be refused, in order; some may go on meanwhile."""
        stalled = [item for item in self._holdings if item.is_stalled(now_s)]
        for holding in _least_advanced_first(stalled):
            is_body = holding.stage is Stage.READING
            yield holding, Cause.BODY_STALLED if is_body else Cause.RESPONSE_UNREAD
        for holding in _least_advanced_first(list(self._waiting)):
            is_late = now_s - holding.waits_since_s > MAX_WAIT_S
            if holding in self._waiting and (is_late or self._is_stuck(holding)):
                yield holding, Cause.NO_MEMORY

    def _is_stuck(self, holding: Holding) -> bool:
        """Tell whether only bodies that wait as well could make room."""
        return bool(holding.taken) and all(
            item in self._waiting or item.is_small for item in self._holdings
        )

    def _grant_waiting(self, now_s: float) -> list[Holding]:
        granted = []
        # Stable, so requests that have taken nothing go on in their order.
        for holding in sorted(self._waiting, key=lambda item: -item.taken):
            if self._fits(holding):
                del self._waiting[holding]
                self._grant(holding, now_s)
                granted.append(holding)
        return granted

    def _grant(self, holding: Holding, now_s: float) -> None:
        size, holding.wanted = holding.wanted, 0
        self._change(holding, size)
        holding.progress_s = now_s

    def _refuse(self, holding: Holding, cause: Cause) -> None:
        holding.refused, holding.wanted = cause, 0
        self.close(holding)

    def _fits(self, holding: Holding) -> bool:
        limits, size = self._limits, holding.wanted
        if holding.is_small:
            return self.total_bytes + size - holding.taken <= limits.budget_bytes
        own_large = holding.taken if holding.taken > SMALL_BYTES else 0
        others = self._large_bytes - own_large
        # A single request within the limits is served on any host.
        if not others:
            return True
        total = self.total_bytes - holding.taken + size
        large = others + size
        allowed = limits.budget_bytes - limits.small_reserve_bytes
        return total <= limits.budget_bytes and large <= allowed

    def _must_queue(self, holding: Holding) -> bool:
        """Tell whether an earlier one of its kind waits."""
        if holding.taken:
            return False
        return any(item.is_small == holding.is_small for item in self._waiting)

    def _has_small_waiting(self) -> bool:
        return any(item.is_small for item in self._waiting)

    def _change_total(self, change: int) -> None:
        self.total_bytes += change
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)

    def _change(self, holding: Holding, size: int) -> None:
        self._change_total(size - holding.taken)
        if holding.taken > SMALL_BYTES:
            self._large_bytes -= holding.taken
        if size > SMALL_BYTES:
            self._large_bytes += size
        holding.taken = size

    def _excuse_pause(self, now_s: float) -> None:
        """Don't take a time for which the host did not run as a stall."""
        if self._resolved_s is not None and self.under_pressure:
            pause_s = now_s - self._resolved_s
            if pause_s > MAX_PAUSE_S:
                for holding in self._holdings:
                    holding.progress_s = max(holding.progress_s, now_s - STALL_S / 2)
        self._resolved_s = now_s


def growth_step(taken: int) -> int:
    """Return the next size of a body whose length is not known."""
    return max(FIRST_STEP_BYTES, taken + min(taken, LARGEST_STEP_BYTES))


def _least_advanced_first(holdings: Iterable[Holding]) -> list[Holding]:
    return sorted(holdings, key=lambda item: item.moved)
