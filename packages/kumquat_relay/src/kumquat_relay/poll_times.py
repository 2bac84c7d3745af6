"""How long a host lets its polls of the store wait.

Load pattern: hundreds of hosts follow state that seldom changes. A change
ends a poll at once, so a longer one costs nothing but the time until a host
notices that the connection of its poll has fallen silent.

That time is bounded by ``notice_s``. Hosts that own no queue hear from an
owner, with each answer to a report, which configuration is in force. They let
polls of the configuration wait longer and poll anew when they are behind.
"""

from collections.abc import Callable

from .protocols import StateKind

__all__ = ["PollTimes"]

# The store's answer after the end of a poll, and the first call on a new
# connection, in seconds.
MARGIN_S = 1.0
MIN_WAIT_S = 0.5
# Owners tell others, who hear it with their next report.
OWNER_WAIT_S = 2.0
# Far above the period of the reports that replace it, and the store bounds
# polls at 30 s.
HINTED_WAIT_S = 10.0
# Other hosts are needed to reach an owner only; a lost one shows on its link.
HOSTS_WAIT_S = 15.0
# Many hosts or engines enter the lists within a second; one answer tells of
# them all. Work must leave a leaving engine within two seconds, of which the
# pause takes a tenth at hosts with work.
ENGINES_PAUSE_S = 0.2
IDLE_PAUSE_S = 1.0
HOSTS_PAUSE_S = 1.5


class PollTimes:
    """Times in seconds; ``notice_s`` bounds how late a loss is noticed.

    ``may_own`` tells whether this host may own queues, ``hinted`` whether an
    owner has lately told which configuration is in force, ``idle`` whether the
    host has had no request for a while.
    """

    def __init__(
        self,
        notice_s: float,
        may_own: Callable[[], bool],
        hinted: Callable[[], bool],
        idle: Callable[[], bool] = lambda: False,
    ) -> None:
        self._idle = idle
        self._wait_s = max(MIN_WAIT_S, notice_s - MARGIN_S)
        self._may_own = may_own
        self._hinted = hinted

    def wait_s(self, kind: StateKind) -> float:
        """Return how long the next poll may wait."""
        match kind:
            case StateKind.HOSTS:
                return HOSTS_WAIT_S
            case StateKind.CONFIGURATION if self._may_own():
                return min(self._wait_s, OWNER_WAIT_S)
            case StateKind.CONFIGURATION if self._hinted():
                return HINTED_WAIT_S
            case _:
                return self._wait_s

    def pause_s(self, kind: StateKind) -> float:
        """Return the pause after a poll that brought changes."""
        match kind:
            case StateKind.CONFIGURATION:
                return 0.0
            case StateKind.ENGINES:
                rests = self._idle() and not self._may_own()
                return IDLE_PAUSE_S if rests else ENGINES_PAUSE_S
            case StateKind.HOSTS:
                return HOSTS_PAUSE_S
