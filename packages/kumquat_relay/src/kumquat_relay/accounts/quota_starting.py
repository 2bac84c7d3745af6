"""Orders the hosts that wait for credit of a bucket that has just begun.

Load pattern: an owner was lost, and requests of an account within its quota
wait at all hosts for the next one, whose bucket fills from empty. Without an
order, hosts whose next request is small use up what a host with a large one
waits for, until its requests have waited too long.
"""

__all__ = ["StartingQueue"]

# Hosts that wait ask again sooner. One that has not may have ended.
MAX_SILENCE_S = 0.5
# A bucket is starting for at least MIN_STARTING_S and until no host waits, but
# not longer than MAX_STARTING_S. A host that gets no credit meanwhile may well
# be within its quota.
MIN_STARTING_S = 1.0
MAX_STARTING_S = 2.5


class StartingQueue:
    """The hosts that wait, in the order in which they began to.

    Times are monotonic seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._began_s = now_s
        self._is_over = False
        # Amount and time of the last request by host.
        self._waiting_by_host_id: dict[str, tuple[float, float]] = {}

    def begin(self, now_s: float) -> None:
        """Begin again, as when the share of the owner grows."""
        self._began_s = now_s
        self._is_over = False

    def is_starting(self, now_s: float) -> bool:
        """Return whether the bucket has just begun."""
        if self._is_over or now_s < self._began_s + MIN_STARTING_S:
            return not self._is_over
        self._is_over = now_s >= self._began_s + MAX_STARTING_S or not any(
            now_s - asked_s <= MAX_SILENCE_S
            for _, asked_s in self._waiting_by_host_id.values()
        )
        if self._is_over:
            self._waiting_by_host_id.clear()
        return not self._is_over

    def ahead(self, host_id: str, now_s: float) -> float:
        """Return the credit that hosts before this one wait for."""
        if not self._waiting_by_host_id:
            return 0.0
        ahead = 0.0
        for other_id, (amount, asked_s) in list(self._waiting_by_host_id.items()):
            if other_id == host_id:
                break
            if now_s - asked_s > MAX_SILENCE_S:
                del self._waiting_by_host_id[other_id]
            else:
                ahead += amount
        return ahead

    def wait(self, host_id: str, amount: float, now_s: float) -> None:
        """Record that a host waits; it keeps its place."""
        self._waiting_by_host_id[host_id] = (amount, now_s)

    def leave(self, host_id: str) -> None:
        """Remove a host that has credit or has ended."""
        self._waiting_by_host_id.pop(host_id, None)
