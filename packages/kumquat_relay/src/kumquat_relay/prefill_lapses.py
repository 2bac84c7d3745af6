"""Engines whose prefill results lapse before they can be taken.

Load pattern: for some seconds the results of an engine are gone at once, and
each send that names one is rejected and counts as a repeat. After one such
rejection the parts of the prompt are fetched from the engine instead.
"""

from kumquat_core.clock import Clock
from kumquat_core.settings import Address

__all__ = ["PrefillLapses"]

# One further rejection each two seconds tells whether it still holds.
LAPSE_S = 2.0


class PrefillLapses:
    """The time until which results of an engine are not used, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_by_address: dict[Address, float] = {}

    def note(self, address: Address) -> None:
        """Note that a result of this engine had lapsed."""
        self._until_by_address[address] = self._clock.monotonic() + LAPSE_S

    def expected(self, address: Address) -> bool:
        """Tell whether a result of this engine is likely gone."""
        until_s = self._until_by_address.get(address, float("-inf"))
        return self._clock.monotonic() < until_s
