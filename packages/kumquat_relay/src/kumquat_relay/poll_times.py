"""Timeouts of the long polls for the state in the store.

Load pattern: hundreds of hosts watch state that seldom changes. A change
ends a poll at once, so a longer timeout costs nothing but a later detection
of an unresponsive connection.

``notice_s`` bounds that detection time. Hosts that own no queue learn the
current configuration version from each acknowledgement of a report. They use
a longer timeout for polls of the configuration, and poll again as soon as an
owner has a newer version.
"""

from collections.abc import Callable

from .protocols import StateKind

__all__ = ["PollTimes"]

# Allows for the store's response after a poll has timed out, and for the first
# call on a new connection.
MARGIN_S = 1.0
MIN_TIMEOUT_S = 0.5
# Other hosts learn a new version from owners, with their next report.
OWNER_TIMEOUT_S = 2.0
# Reports carry the version much more often than this; the store ends polls
# after 30 s.
RECENT_VERSION_TIMEOUT_S = 10.0
# The list of hosts is needed only to reach an owner, and the link to an owner
# shows its loss.
HOSTS_TIMEOUT_S = 15.0
# Many hosts or engines may register within a second; after a pause, one
# response lists them all. A leaving engine must get no new work after 2 s, and
# the pause of hosts with requests takes a tenth of that.
ENGINES_PAUSE_S = 0.2
IDLE_PAUSE_S = 1.0
HOSTS_PAUSE_S = 1.5


class PollTimes:
    """Timeouts and pauses of polls, in seconds.

    ``notice_s`` is the time in which a lost connection must be detected.
    ``is_eligible_owner`` returns whether this host may own queues,
    ``has_recent_owner_version`` whether an owner has recently reported its
    configuration version, and ``idle`` whether this host has had no request
    for a while.
    """

    def __init__(
        self,
        notice_s: float,
        is_eligible_owner: Callable[[], bool],
        has_recent_owner_version: Callable[[], bool],
        idle: Callable[[], bool] = lambda: False,
    ) -> None:
        self._idle = idle
        self._timeout_s = max(MIN_TIMEOUT_S, notice_s - MARGIN_S)
        self._is_eligible_owner = is_eligible_owner
        self._has_recent_owner_version = has_recent_owner_version

    def wait_s(self, kind: StateKind) -> float:
        """Return how long the next poll may wait for a change."""
        match kind:
            case StateKind.HOSTS:
                return HOSTS_TIMEOUT_S
            case StateKind.CONFIGURATION if self._is_eligible_owner():
                return min(self._timeout_s, OWNER_TIMEOUT_S)
            case StateKind.CONFIGURATION if self._has_recent_owner_version():
                return RECENT_VERSION_TIMEOUT_S
            case _:
                return self._timeout_s

    def pause_s(self, kind: StateKind) -> float:
        """Return the pause after a poll that returned changes."""
        match kind:
            case StateKind.CONFIGURATION:
                return 0.0
            case StateKind.ENGINES:
                is_idle = self._idle() and not self._is_eligible_owner()
                return IDLE_PAUSE_S if is_idle else ENGINES_PAUSE_S
            case StateKind.HOSTS:
                return HOSTS_PAUSE_S
