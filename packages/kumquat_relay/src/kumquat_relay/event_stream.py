"""Splits a server-sent event stream into whole events.

An engine may stop in the middle of an event. Only whole events are passed
on, so that a resumed stream continues exactly after the last one.
"""

__all__ = ["EventSplitter"]

END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Collects chunks and returns whole events with the last id among them."""

    def __init__(self) -> None:
        self._rest = b""
        self.events = 0
        self.last_id: int | None = None

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that a chunk completes, unchanged."""
        data = self._rest + chunk
        end = data.rfind(END)
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + len(END)], data[end + len(END) :]
        for event in whole.split(END)[:-1]:
            self._note(event)
        return whole

    def restart(self) -> None:
        """Forget a partial event before another engine continues."""
        self._rest = b""

    def _note(self, event: bytes) -> None:
        self.events += 1
        for line in event.split(b"\n"):
            if line.startswith(ID_FIELD):
                value = line[len(ID_FIELD) :].strip()
                if value.isdigit():
                    self.last_id = int(value)
