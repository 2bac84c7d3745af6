"""Lets one body at a time come in very many parts.

Load pattern: usual bodies come in a few parts. Each part takes as long to
parse as a large one, so a body of megabytes in parts of a few bytes takes many
seconds, although it is within the limits on bytes.
"""

from .byte_budget import Holding

__all__ = ["PartsPlace"]


class PartsPlace:
    """The place of the body that may come in any number of parts."""

    def __init__(self) -> None:
        self._holder: Holding | None = None

    def take(self, holding: Holding) -> bool:
        """Take the place or keep it; return false if another body has it."""
        if self._holder is None:
            self._holder = holding
        return self._holder is holding

    def leave(self, holding: Holding) -> None:
        """Leave the place, if the body has it."""
        if self._holder is holding:
            self._holder = None
