"""Splits a stream of server-sent events into complete events.

An engine may fail in the middle of an event. Only complete events are
forwarded, so that a resumed stream continues exactly after the last of them.
Blocks without a field, such as comments and empty lines, are forwarded but not
counted as events: they show no progress of the response.
"""

import copy

from .event_sequence import EventSequence
from .event_steps import ServiceSteps

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "EventTooLargeError"]

EVENT_END = b"\n\n"
ID_FIELD_PREFIX = b"id:"
COMMENT_PREFIX = b":"
# Thirty times the longest event of a model engine, which carries a few tokens.
MAX_EVENT_BYTES = 64 * 1024
# Python refuses to convert numbers of several thousand digits.
MAX_ID_DIGITS = 18


class EventTooLargeError(Exception):
    """An incomplete event is longer than ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Assembles complete events from chunks of a stream.

    ``events`` counts the complete events. ``awaits_event`` is set until the
    first event of a run that continues a response. ``misplaced`` tells why an
    event does not continue it, empty if all do; nothing after it is forwarded.
    ``steps`` are shared by the streams of a service.
    """

    def __init__(self, steps: ServiceSteps | None = None) -> None:
        self._partial = bytearray()
        self._sequence = EventSequence(steps or ServiceSteps())
        self.awaits_event = False
        self.events = 0
        self.misplaced = ""

    def fork(self) -> "EventSplitter":
        """Return a splitter for a run beside the current one."""
        fork = copy.copy(self)
        fork._partial = bytearray()
        fork._sequence = copy.copy(self._sequence)
        return fork

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._partial)

    @property
    def last_id(self) -> int | None:
        """Return the last numeric id."""
        return self._sequence.last_id

    @property
    def can_continue(self) -> bool:
        """Tell whether another engine can go on after the last event."""
        return self._sequence.can_continue

    def resume_after(self, event_id: int | None) -> None:
        """Begin after the last event that the caller already has."""
        self._sequence.last_id = event_id

    def begin_run(self, *, continues: bool) -> None:
        """Discard an incomplete event before another run.

        Comments before the first event of a run that continues a response are
        left out, since they may belong to an answer of another kind.
        """
        self._partial.clear()
        self._sequence.begin_run()
        self.awaits_event = continues
        self.misplaced = ""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return the events that it completes, unchanged.

        Raises ``EventTooLargeError`` for an event above the size limit.
        """
        # The end of an event may be split across two chunks. Bytes that were
        # searched before are not searched again.
        searched = max(0, len(self._partial) - len(EVENT_END) + 1)
        self._partial += chunk
        end = self._partial.rfind(EVENT_END, searched)
        if end < 0:
            self._check_partial_size()
            return b""
        complete = bytes(self._partial[:end])
        del self._partial[: end + len(EVENT_END)]
        self._check_partial_size()
        accepted = []
        for block in complete.split(EVENT_END):
            if self._accept(block):
                accepted.append(block + EVENT_END)
            if self.misplaced:
                break
        return b"".join(accepted)

    def _check_partial_size(self) -> None:
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"{len(self._partial)} bytes without an end")

    def _accept(self, block: bytes) -> bool:
        """Count a block that has fields; tell whether it is forwarded."""
        lines = [line for line in block.split(b"\n") if line.strip()]
        if all(line.startswith(COMMENT_PREFIX) for line in lines):
            return not self.awaits_event
        event_id = _event_id(lines)
        self.misplaced = self._sequence.misplacement(event_id)
        if self.misplaced:
            return False
        self.awaits_event = False
        self._sequence.record(event_id)
        self.events += 1
        return True


def _event_id(lines: list[bytes]) -> int | None:
    """Return the last numeric id among the fields of an event."""
    event_id = None
    for line in lines:
        if line.startswith(ID_FIELD_PREFIX):
            value = line[len(ID_FIELD_PREFIX) :].strip()
            if value.isdigit() and len(value) <= MAX_ID_DIGITS:
                event_id = int(value)
    return event_id
