"""The bounds for callers, derived from the memory and descriptors of a host.

Load pattern: looked up per connection and request; fixed while a host runs.
"""

import resource
from dataclasses import dataclass

__all__ = ["MB", "IntakeLimits"]

MB = 1024 * 1024
# A host takes 42 MB before its first caller, and up to 58 MB with the state of
# a large fleet.
OWN_MB = 58
# The rest is left to the buffers of the web server (up to 320 KB for each
# connection that sends a large body), responses of engines and fragmentation.
BUDGET_SHARE = 0.4
# The smallest budget that holds the largest usual body beside small requests.
MIN_BUDGET_BYTES = 8 * MB
# Without a stated memory; 128 of the largest usual bodies at once.
DEFAULT_BUDGET_BYTES = 512 * MB
# The part of the budget that only small requests may use.
SMALL_SHARE = 0.25
# The part of the budget for responses of servers while they are read.
RESPONSE_SHARE = 0.25
# The part of the memory beyond that of the host for bytes that connections
# have received and the host has not read.
UNREAD_SHARE = 0.25
# The same without a stated memory.
DEFAULT_UNREAD_BYTES = 320 * MB
# Descriptors that are left to files, and the share of the others that callers
# may have. The rest is for engines and other hosts.
FILE_DESCRIPTORS = 200
CALLER_SHARE = 0.75
# The part of the memory for connections, and what an idle one takes.
CONNECTION_SHARE = 0.25
CONNECTION_BYTES = 6 * 1024
MIN_CONNECTIONS = 32
# Without a stated limit and with an unlimited process.
MAX_DEFAULT_DESCRIPTORS = 65_536


@dataclass(frozen=True)
class IntakeLimits:
    """What the requests and connections of callers may take together.

    ``unread_bytes`` are those that the host has not read.
    """

    budget_bytes: int
    small_reserve_bytes: int
    max_connections: int
    unread_bytes: int = DEFAULT_UNREAD_BYTES

    @property
    def response_bytes(self) -> int:
        """Return what responses of servers may take while they are read."""
        return int(self.budget_bytes * RESPONSE_SHARE)

    @classmethod
    def from_config(
        cls, memory_mb: float | None = None, max_descriptors: int | None = None
    ) -> "IntakeLimits":
        """Return the limits of a host; None stands for the defaults."""
        budget, unread = DEFAULT_BUDGET_BYTES, DEFAULT_UNREAD_BYTES
        left = 0
        if memory_mb is not None:
            left = max(0, int((memory_mb - OWN_MB) * MB))
            budget, unread = int(left * BUDGET_SHARE), int(left * UNREAD_SHARE)
        budget = max(MIN_BUDGET_BYTES, budget)
        if max_descriptors is None:
            max_descriptors = _process_descriptors()
        callers = int((max_descriptors - FILE_DESCRIPTORS) * CALLER_SHARE)
        if memory_mb is not None:
            callers = min(callers, int(left * CONNECTION_SHARE / CONNECTION_BYTES))
        return cls(
            budget, int(budget * SMALL_SHARE), max(MIN_CONNECTIONS, callers), unread
        )


def _process_descriptors() -> int:
    """Return how many descriptors this process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return MAX_DEFAULT_DESCRIPTORS
    return min(soft, MAX_DEFAULT_DESCRIPTORS)
