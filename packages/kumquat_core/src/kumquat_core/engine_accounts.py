"""Exact accounts of engine memory, kept by the owner of a shard.

Memory is counted in pieces. Each reservation belongs to one request id. A
reservation is made before the prefill starts and is freed by a release, so
the sum of reservations never exceeds an engine's memory in one owner's
account.
"""

from dataclasses import dataclass, field

from .configuration import Engine

__all__ = ["EngineAccount", "Reservation", "pieces_for"]


def pieces_for(tokens: int, piece_tokens: int) -> int:
    """Return the pieces that hold ``tokens`` tokens; at least one."""
    return max(1, -(-tokens // piece_tokens))


@dataclass(frozen=True)
class Reservation:
    """Memory held by one request since ``since_s``."""

    request_id: str
    pieces: int
    since_s: float


@dataclass
class EngineAccount:
    """Reservations on one decode engine."""

    engine: Engine
    reservations_by_request_id: dict[str, Reservation] = field(default_factory=dict)
    held_pieces: int = 0

    @property
    def free_pieces(self) -> int:
        """Return the pieces that are not reserved; never negative."""
        return max(0, self.engine.total_pieces - self.held_pieces)

    @property
    def request_count(self) -> int:
        """Return the number of requests with a reservation."""
        return len(self.reservations_by_request_id)

    def fits(self, pieces: int) -> bool:
        """Tell whether a request of so many pieces can be admitted."""
        has_place = self.request_count < self.engine.max_requests
        return has_place and pieces <= self.free_pieces

    def reserve(self, request_id: str, pieces: int, now_s: float) -> None:
        """Reserve memory; a repeated call replaces the reservation."""
        self.release(request_id)
        reservation = Reservation(request_id, pieces, now_s)
        self.reservations_by_request_id[request_id] = reservation
        self.held_pieces += pieces

    def release(self, request_id: str) -> bool:
        """Free a request's memory; return whether it held any."""
        reservation = self.reservations_by_request_id.pop(request_id, None)
        if reservation is None:
            return False
        self.held_pieces -= reservation.pieces
        return True
