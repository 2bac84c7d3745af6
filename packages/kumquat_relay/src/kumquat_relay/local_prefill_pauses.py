"""Estimates how long streams pause while their engine prefills a prompt.

Load pattern: the last prefill engine fails during a load peak, and decode
engines prefill prompts themselves, in chunks between the tokens of their
streams. If an event carries more tokens than a prompt has chunks, the whole
prompt is processed between two events and the pause grows with its length. If
events are short, each one is delayed by a few chunks only, however long the
prompt is.

Which case applies is learned from the pauses that hosts report. Until then
each token of an event is assumed to be delayed by one chunk of typical size.
If pauses grow with the prompt, the duration of the whole prefill counts.
"""

from collections import deque
from statistics import median

__all__ = ["LocalPrefillPauses", "initial_pause_s"]

# Number of recent local prefills that are evaluated. Older ones may have run
# alongside fewer streams.
RECENT_PREFILLS = 16
MIN_PREFILLS = 3
# Pauses shorter than this share of a long prefill do not grow with it.
BOUNDED_SHARE = 0.75
# Prompt tokens that an engine is assumed to process between two tokens of its
# streams: a quarter of the chunk size of prefill engines.
INITIAL_CHUNK_TOKENS = 256
# Allows for longer pauses than observed, since steps with more streams take
# longer.
PAUSE_MARGIN = 1.25


class LocalPrefillPauses:
    """Recent local prefills of one service, each with its longest pause."""

    def __init__(self) -> None:
        self._prefills: deque[tuple[float, float]] = deque(maxlen=RECENT_PREFILLS)

    def observe(self, prefill_s: float, pause_s: float) -> None:
        """Record the duration of a local prefill and the pause it caused."""
        self._prefills.append((prefill_s, pause_s))

    def expected_s(self, prefill_s: float, initial_s: float = float("inf")) -> float:
        """Return the expected pause of streams during a local prefill.

        ``initial_s`` is the upper limit until enough pauses were reported.
        """
        if len(self._prefills) < MIN_PREFILLS:
            return min(prefill_s, initial_s)
        median_s = median(prefill for prefill, _ in self._prefills)
        longer_prefills = [
            (prefill, pause) for prefill, pause in self._prefills if prefill >= median_s
        ]
        if any(pause > BOUNDED_SHARE * prefill for prefill, pause in longer_prefills):
            return prefill_s
        return min(prefill_s, PAUSE_MARGIN * max(pause for _, pause in self._prefills))


def initial_pause_s(tokens_per_event: int, prefill_tokens_per_ms: float) -> float:
    """Return the delay of an event by one typical chunk for each token."""
    return tokens_per_event * INITIAL_CHUNK_TOKENS / prefill_tokens_per_ms / 1000
