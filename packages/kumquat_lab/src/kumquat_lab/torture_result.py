"""The result of a torture run."""

from dataclasses import dataclass, field

__all__ = ["TortureResult"]


@dataclass
class TortureResult:
    """Numbers of requests, faults, outcomes and invariant violations."""

    seed: int
    requests: int = 0
    max_executions: int = 0
    false_not_run: int = 0
    damaged: int = 0
    lost: int = 0
    held: int = 0
    reverted_tickets: int = 0
    late_tickets: int = 0
    work_for_leaving: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    outcomes: dict[str, int] = field(default_factory=dict)
    details: list[str] = field(default_factory=list)

    @property
    def violated(self) -> bool:
        """Tell whether any invariant was violated."""
        counts = (
            self.false_not_run,
            self.damaged,
            self.lost,
            self.held,
            self.reverted_tickets,
            self.late_tickets,
            self.work_for_leaving,
        )
        return self.max_executions > 1 or any(counts)
