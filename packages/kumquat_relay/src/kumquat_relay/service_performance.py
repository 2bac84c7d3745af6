"""Estimates the speed of a service's engines from finished work.

Load pattern: deployments differ by a factor of ten in the time per token and
in how long a run holds its slot, and engines come and go within seconds. An
engine without observations is assumed to be as fast as the others of its
service.
"""

from dataclasses import dataclass, field

from .local_prefill_pauses import LocalPrefillPauses
from .running_mean import RunningMean

__all__ = ["ServicePerformance"]

# Initial values, each replaced by the first observation of the service.
INITIAL_PREFILL_TOKENS_PER_MS = 45.0
INITIAL_TOKEN_MS = 0.6
INITIAL_SLOT_S = 3.5
# A decode engine prefills prompts at half the speed of a prefill engine.
LOCAL_PREFILL_SPEED_SHARE = 0.5
# Minimum weight of an observation. The values change with the load within the
# seconds of a load peak, in which a few tens of runs end.
MIN_WEIGHT = 0.1


@dataclass
class ServicePerformance:
    """Means over all engines of a service.

    ``prefill_tokens_per_ms`` is the speed of prefill engines and
    ``local_prefill_tokens_per_ms`` that of decode engines. ``token_ms`` is the
    time between two tokens of a run, and ``slot_s`` the time from the grant of
    a slot to its release. ``local_prefill_pauses`` estimates how long streams
    pause while their engine prefills a prompt.
    """

    local_prefill_pauses: LocalPrefillPauses = field(default_factory=LocalPrefillPauses)

    prefill_tokens_per_ms: RunningMean = field(
        default_factory=lambda: RunningMean(INITIAL_PREFILL_TOKENS_PER_MS, MIN_WEIGHT)
    )
    local_prefill_tokens_per_ms: RunningMean = field(
        default_factory=lambda: RunningMean(
            INITIAL_PREFILL_TOKENS_PER_MS * LOCAL_PREFILL_SPEED_SHARE, MIN_WEIGHT
        )
    )
    token_ms: RunningMean = field(
        default_factory=lambda: RunningMean(INITIAL_TOKEN_MS, MIN_WEIGHT)
    )
    slot_s: RunningMean = field(
        default_factory=lambda: RunningMean(INITIAL_SLOT_S, MIN_WEIGHT)
    )
