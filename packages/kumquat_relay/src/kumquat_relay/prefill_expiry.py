"""Tracks engines whose prefill results expire before they can be used.

Load pattern: for some seconds the prefill results of an engine expire at once.
Each run that names such a result is rejected and counts as a retry. After one
such rejection, further runs fetch the parts of the prompt from the engine
instead of naming its result.
"""

from kumquat_core.clock import Clock
from kumquat_core.settings import Address

__all__ = ["PrefillExpiry"]

# How long results of the engine are bypassed; the next run after that shows
# whether they still expire early, at the cost of one rejection.
BYPASS_S = 2.0


class PrefillExpiry:
    """Remembers, per engine address, until when its results are bypassed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bypass_until_s_by_address: dict[Address, float] = {}

    def record_expired(self, address: Address) -> None:
        """Record that a result of this engine had expired before its use."""
        self._bypass_until_s_by_address[address] = self._clock.monotonic() + BYPASS_S

    def likely_expired(self, address: Address) -> bool:
        """Tell whether a result of this engine has probably expired."""
        until_s = self._bypass_until_s_by_address.get(address, float("-inf"))
        return self._clock.monotonic() < until_s
