"""How fast the engines of a service work, learned from finished work.

Load pattern: deployments differ by a factor of ten in the time of a token and
in how long a stream holds its place, and engines come and go within seconds.
An engine that has shown nothing yet is taken to be like the others of its
service.
"""

from dataclasses import dataclass, field

from .learned_mean import LearnedMean
from .own_read_pauses import OwnReadPauses

__all__ = ["ServicePace"]

# Start values, each replaced by the first observation of the service.
FIRST_READ_TOKENS_PER_MS = 45.0
FIRST_TOKEN_MS = 0.6
FIRST_PLACE_S = 3.5
# A decode engine reads prompts at half the speed of a prefill engine.
OWN_READ_SHARE = 0.5
# Weight of an observation: the figures of a service change with its load,
# within the seconds of a peak, in which some tens of runs end.
RATE = 0.1


@dataclass
class ServicePace:
    """Mean figures over all engines of a service.

    ``read_tokens_per_ms`` is the reading speed of prefill engines,
    ``token_ms`` the time between two tokens of a run, and ``place_s`` the time
    from the grant of a place to its release. ``own_read_pauses`` tells how
    long streams pause while their engine reads a prompt.
    """

    own_read_pauses: OwnReadPauses = field(default_factory=OwnReadPauses)

    read_tokens_per_ms: LearnedMean = field(
        default_factory=lambda: LearnedMean(FIRST_READ_TOKENS_PER_MS, RATE)
    )
    own_read_tokens_per_ms: LearnedMean = field(
        default_factory=lambda: LearnedMean(
            FIRST_READ_TOKENS_PER_MS * OWN_READ_SHARE, RATE
        )
    )
    token_ms: LearnedMean = field(
        default_factory=lambda: LearnedMean(FIRST_TOKEN_MS, RATE)
    )
    place_s: LearnedMean = field(
        default_factory=lambda: LearnedMean(FIRST_PLACE_S, RATE)
    )
