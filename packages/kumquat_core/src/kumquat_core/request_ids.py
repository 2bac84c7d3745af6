"""Request identifiers.

An identifier contains the host and its incarnation (start time in
milliseconds), so that an engine report shows which requests belong to a
process that no longer exists.
"""

import itertools
from dataclasses import dataclass

__all__ = ["RequestId", "RequestIdGenerator"]


@dataclass(frozen=True, order=True)
class RequestId:
    """Identifier of one request, unique across hosts and restarts."""

    host_id: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.host_id}.{self.incarnation}.{self.sequence}"

    @classmethod
    def parse(cls, text: str) -> "RequestId":
        """Return the identifier with this text form.

        Raises ``ValueError`` when the text is not an identifier.
        """
        host_id, incarnation, sequence = text.rsplit(".", 2)
        if not host_id:
            raise ValueError(f"request id without host: {text!r}")
        return cls(host_id, int(incarnation), int(sequence))


class RequestIdGenerator:
    """Generates the request ids of one process with a sequence number."""

    def __init__(self, host_id: str, incarnation: int) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._sequence = itertools.count(1)

    def next_id(self) -> RequestId:
        """Return a new identifier."""
        return RequestId(self._host_id, self._incarnation, next(self._sequence))
