"""What a host decides on a request of an account that has a quota."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["RUN", "WAIT", "Decision", "Verdict"]


class Verdict(Enum):
    """What happens to a request now."""

    RUN = "run"
    WAIT = "wait"
    OVER_QUOTA = "over_quota"
    TOO_LARGE = "too_large"
    NO_OWNER = "no_owner"


@dataclass(frozen=True)
class Decision:
    """A verdict and the time until the next attempt.

    ``retry_after_s`` is None if the caller should not retry, or if a request
    waits for the owner.
    """

    verdict: Verdict
    retry_after_s: float | None = None


RUN = Decision(Verdict.RUN)
WAIT = Decision(Verdict.WAIT)
