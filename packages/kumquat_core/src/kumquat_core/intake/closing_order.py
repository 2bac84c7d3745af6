"""Decides which connections are closed when they take too much together.

Load pattern: asked when a caller opens more connections than the host may
have, or when incomplete heads take too much memory; each choice looks at all
connections.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

__all__ = ["HasHead", "HasRank", "choose_closed", "oldest_heads", "spare_of"]

# So many connections more than necessary are closed at once.
SPARE_SHARE = 1 / 16


class HasRank(Protocol):
    """A connection that may be closed to make room, lower ranks first."""

    @property
    def closing_rank(self) -> tuple[int, float] | None:
        """Return the rank, None while a request of it may run."""


T = TypeVar("T", bound=HasRank)


def choose_closed(connections: Iterable[T], count: int) -> list[T]:
    """Return up to ``count`` to close: idle ones, then heads, then bodies."""
    ranked = [
        (rank, number, item)
        for number, item in enumerate(connections)
        if (rank := item.closing_rank) is not None
    ]
    return [item for _, _, item in sorted(ranked, key=lambda entry: entry[:2])[:count]]


class HasHead(Protocol):
    """A connection on which a part of a head may have arrived."""

    @property
    def head_began_s(self) -> float | None:
        """Return when a head began that is incomplete, None without one."""


H = TypeVar("H", bound=HasHead)


def oldest_heads(connections: Iterable[H]) -> list[H]:
    """Return those to close; the others have had less time for their heads."""
    began = [
        (began_s, number, item)
        for number, item in enumerate(connections)
        if (began_s := item.head_began_s) is not None
    ]
    return [item for _, _, item in sorted(began)[: spare_of(len(began)) + 1]]


def spare_of(count: int) -> int:
    """Return how many of ``count`` connections are closed in advance."""
    return int(count * SPARE_SHARE)
