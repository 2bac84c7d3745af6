"""Copies of answers that a stuttering engine writes, chosen at random."""

import random

from tests.relay.stutter import Copy, CopyTime, Exchange, as_chunked, without_id

__all__ = ["random_copies"]

COPY_SHARE = 0.5
MAX_IDLE_S = 0.3


class _RandomCopies:
    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def __call__(self, exchange: Exchange) -> Copy | None:
        """Return a copy of an answer of any kind, or none."""
        if self._rng.random() >= COPY_SHARE:
            return None
        data = exchange.answer
        if self._rng.random() < 0.5:
            data = without_id(data)
        is_chunked = b"chunked" in data.partition(b"\r\n\r\n")[0].lower()
        if not is_chunked and self._rng.random() < 0.2:
            data = as_chunked(data)
        if self._rng.random() < 0.3:
            data = data[: self._rng.randrange(1, len(data))]
        time = self._rng.choice(list(CopyTime))
        return Copy(data, time, self._rng.uniform(0.0, MAX_IDLE_S))


def random_copies(rng: random.Random) -> _RandomCopies:
    """Return a plan that copies half of the answers, whole or cut.

    The copies have their id or not, and come at any time.
    """
    return _RandomCopies(rng)
