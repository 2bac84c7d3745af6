"""How long the streams of a decode engine pause while it reads a prompt.

Load pattern: the last prefill engine is gone at a peak, and decode engines
read prompts themselves, in chunks between the tokens of their streams. Where
an event carries more tokens than a prompt has chunks, a whole prompt is read
between two events and the pause grows with it. Where events are short, each
one is delayed by a few chunks only, however long the prompt is.

Which of the two holds is learned from the pauses that hosts report. Until
then an event is taken to be delayed by one chunk of usual size for each of its
tokens. Where pauses grow with the prompt, the whole read counts.
"""

from collections import deque
from statistics import median

__all__ = ["OwnReadPauses", "first_pause_s"]

# Reads that are kept; older ones may have been beside fewer streams.
RECENT_READS = 16
MIN_READS = 3
# Pauses below this part of long reads do not grow with them.
BOUNDED_PART = 0.75
# Start value of the tokens of a prompt that an engine reads between two tokens
# of its streams; a quarter of what prefill engines read at once.
FIRST_CHUNK_TOKENS = 256
# Room for a longer pause than any seen, since more streams make steps longer.
MARGIN = 1.25


class OwnReadPauses:
    """The reads of one service with the longest pause beside each."""

    def __init__(self) -> None:
        self._reads: deque[tuple[float, float]] = deque(maxlen=RECENT_READS)

    def observe(self, read_s: float, pause_s: float) -> None:
        """Note how long streams paused beside a read, both in seconds."""
        self._reads.append((read_s, pause_s))

    def expected_s(self, read_s: float, first_s: float = float("inf")) -> float:
        """Return the pause to expect beside a read, in seconds.

        ``first_s`` bounds it until pauses were reported.
        """
        if len(self._reads) < MIN_READS:
            return min(read_s, first_s)
        usual_s = median(read for read, _ in self._reads)
        longer = [(read, pause) for read, pause in self._reads if read >= usual_s]
        if any(pause > BOUNDED_PART * read for read, pause in longer):
            return read_s
        return min(read_s, MARGIN * max(pause for _, pause in self._reads))


def first_pause_s(tokens_per_event: int, read_tokens_per_ms: float) -> float:
    """Return the pause of an event with one usual chunk for each token."""
    return tokens_per_event * FIRST_CHUNK_TOKENS / read_tokens_per_ms / 1000
