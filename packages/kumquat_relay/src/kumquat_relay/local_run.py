"""A run that this host holds, and what it reports of it to the owner."""

from dataclasses import dataclass

from kumquat_core.peer_messages import HeldRun, RunRequest

__all__ = ["LocalRun"]


@dataclass
class LocalRun:
    """A run with its progress for the next report; times in monotonic s.

    ``longest_gap_ms`` is the longest gap between events since the last report.
    """

    request: RunRequest
    decode_engine: str
    owner: str
    since_s: float
    generated_tokens: int = 0
    gap_ms: float = 0.0
    longest_gap_ms: float = 0.0
    last_event_s: float | None = None

    def record_progress(
        self, generated_tokens: int, gap_ms: float, now_s: float
    ) -> None:
        """Record an event that has just arrived."""
        if self.last_event_s is not None:
            current_gap_ms = (now_s - self.last_event_s) * 1000
            self.longest_gap_ms = max(self.longest_gap_ms, current_gap_ms)
        self.last_event_s = now_s
        self.generated_tokens, self.gap_ms = generated_tokens, gap_ms

    def take_report(self, now_s: float) -> HeldRun:
        """Return the entry of this run in a report; begin the next period."""
        report = HeldRun(
            self.request.request_id,
            self.decode_engine,
            self.request.prompt_tokens,
            self.request.expected_tokens,
            int((now_s - self.since_s) * 1000),
            self.generated_tokens,
            self.gap_ms,
            self.longest_gap_ms,
        )
        self.longest_gap_ms = 0.0
        return report
