"""Decides how many bytes connections may receive before the host reads them.

Load pattern: a few hundred connections, almost always read as soon as bytes
arrive. When more arrives than the host can read, the kernel keeps what was
received, by itself up to several megabytes for each connection, and these
bytes count as memory of the host.

All connections share a number of bytes equally. A body whose memory was taken
from the budget may be received in full, since it is counted there.
"""

from dataclasses import dataclass

from .intake_limits import IntakeLimits

__all__ = [
    "FixedBuffer",
    "ReceiveBuffer",
    "ReceiveShare",
    "TunedBuffer",
    "listener_buffer",
]

# With these a head of the largest usual size arrives in one round trip.
MAX_SHARE_BYTES = 64 * 1024
MAX_LISTENER_BYTES = 32 * 1024
# Smaller ones hold less than two packets of most links.
MIN_SHARE_BYTES = 8 * 1024
# Connections that the kernel holds for a busy host, of those that it may hold.
HELD_SHARE = 0.5
# A share grows only when it would be so many times larger, as each change
# concerns all connections.
GROWTH = 4


@dataclass(frozen=True)
class FixedBuffer:
    """A receive buffer of at most ``size`` bytes."""

    size: int


@dataclass(frozen=True)
class TunedBuffer:
    """A receive buffer of ``size`` bytes, which the kernel enlarges itself."""

    size: int


ReceiveBuffer = FixedBuffer | TunedBuffer


def listener_buffer(limits: IntakeLimits, backlog: int) -> TunedBuffer:
    """Return the buffer of connections that are not accepted yet."""
    size = int(limits.unread_bytes * HELD_SHARE) // backlog
    return TunedBuffer(min(MAX_LISTENER_BYTES, max(MIN_SHARE_BYTES, size)))


class ReceiveShare:
    """The bytes that each of the open connections may leave unread."""

    def __init__(self, limits: IntakeLimits) -> None:
        self._unread_bytes = limits.unread_bytes
        self._open = 0
        self.size = MAX_SHARE_BYTES

    @property
    def buffer(self) -> FixedBuffer:
        """Return the buffer of a connection without a large body."""
        return FixedBuffer(self.size)

    def change_open(self, change: int) -> bool:
        """Count connections; return whether the share has changed."""
        self._open += change
        size = self._equal_share()
        if size < self.size or size >= GROWTH * self.size:
            self.size = size
            return True
        return False

    def buffer_for_body(self, size: int, largest: int) -> ReceiveBuffer:
        """Return the buffer for ``size`` bytes that the budget has granted.

        ``largest`` is the largest size that can be set on this machine. The
        kernel may choose a larger one.
        """
        if size <= self.size:
            return self.buffer
        if size <= largest:
            return FixedBuffer(size)
        return TunedBuffer(largest)

    def _equal_share(self) -> int:
        """Return the share of each connection, a power of two."""
        size = MAX_SHARE_BYTES
        while size > MIN_SHARE_BYTES and size * self._open > self._unread_bytes:
            size //= 2
        return size
