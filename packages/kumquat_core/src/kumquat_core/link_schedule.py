"""Expected occupancy of an engine's transfer link.

The owner learns when a transfer may start (``PrefillDone``) but not when it
ends, so the end is computed from the size and the rate of the link.
Transfers share the link. Together they take as long as one after another,
so the schedule treats them as sequential.
"""

__all__ = ["LinkSchedule"]


class LinkSchedule:
    """Planned bytes of a link and the time until which it is busy."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._planned_by_request_id: dict[str, float] = {}
        self._planned_bytes = 0.0
        self._busy_until_s = 0.0

    def plan(self, request_id: str, size_bytes: float) -> None:
        """Plan the transfer that follows a prefill in progress."""
        self._planned_by_request_id[request_id] = size_bytes
        self._update_planned_bytes()

    def start(self, request_id: str, now_s: float) -> None:
        """Start a planned transfer and extend the time the link is busy."""
        size_bytes = self._planned_by_request_id.pop(request_id, 0.0)
        self._update_planned_bytes()
        begin_s = max(now_s, self._busy_until_s)
        self._busy_until_s = begin_s + size_bytes / self.bytes_per_s

    def cancel_planned(self, request_id: str) -> None:
        """Remove a planned transfer that has not started."""
        if self._planned_by_request_id.pop(request_id, None) is not None:
            self._update_planned_bytes()

    def wait_s(self, at_s: float) -> float:
        """Return how long a transfer that is ready at ``at_s`` waits.

        Planned transfers count in full, because their prefills may end first.
        """
        busy_s = max(0.0, self._busy_until_s - at_s)
        return busy_s + self._planned_bytes / self.bytes_per_s

    def transfer_s(self, size_bytes: float) -> float:
        """Return the duration of a transfer on an idle link."""
        return size_bytes / self.bytes_per_s

    def _update_planned_bytes(self) -> None:
        # An incremental sum would accumulate rounding errors.
        self._planned_bytes = sum(self._planned_by_request_id.values())
