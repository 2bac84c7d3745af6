"""Versions of the state in the store.

The store may come back from an older copy. Its counter then goes back and
gives out the same numbers again, so a number alone orders nothing. Its era,
which rises each time, goes first.
"""

from dataclasses import dataclass

__all__ = ["FIRST_ERA", "NO_VERSION", "StoreVersion", "possible_versions"]

# The era of a store that has never come back from a copy, at most.
FIRST_ERA = 1

# Fences of a later era exceed all those of earlier ones.
_NUMBER_BITS = 40


@dataclass(frozen=True, order=True)
class StoreVersion:
    """A version in one era of the store."""

    era: int
    number: int

    @property
    def fence(self) -> int:
        """Return the version as a fencing token, which never goes back."""
        return (self.era << _NUMBER_BITS) | self.number

    def is_possible(self, newest: "StoreVersion") -> bool:
        """Tell whether the store can have given it out before ``newest``."""
        return self.era != newest.era or self.number <= newest.number

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


NO_VERSION = StoreVersion(-1, -1)


def possible_versions(
    versions_by_key: dict[str, StoreVersion], newest: StoreVersion
) -> dict[str, StoreVersion]:
    """Return the versions that the store can have given out by ``newest``."""
    return {
        key: version
        for key, version in versions_by_key.items()
        if version.is_possible(newest)
    }
