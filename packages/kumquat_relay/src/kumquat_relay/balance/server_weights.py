"""Decides which part of the load of a service each server gets.

Load pattern: servers of unlike speed, some tens of requests a second each, of
which some pause. A pause delays at most what the slots and the queue of a
server hold, and a fast server reaches that at any usual rate. So while servers
pause and fast ones have room, these get more than in proportion to their
speed, and the pauses of slow ones delay few requests. Room ends well below the
number of slots, since requests arrive unevenly. Beyond it, servers are filled
in proportion to what they can serve.
"""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ServerFigures", "compute_weights"]

# Costs are raised to this power where servers state no slots: servers that are
# twice as slow get less than half of the requests, since callers wait for them
# as well.
COST_EXPONENT = 1.5
# The power while there is room: nearly all requests go to the fastest servers
# that have some.
ROOM_EXPONENT = 6.0
# Part of the slots that is filled on average before a server has no room. With
# six slots, 1% of the moments then have more requests than slots (Poisson).
ROOM_SHARE = 0.4
# Part of the requests for which the room of fast servers is used while no
# server pauses. The others go in proportion to what servers can serve, so each
# one keeps at least half of that.
CALM_ROOM_USED = 0.5
# Part of the requests that the worst server still gets, so that its recovery
# shows. At 150 requests a second this is one or two a second.
MIN_WEIGHT = 0.01


@dataclass(frozen=True)
class ServerFigures:
    """What the fleet knows of a server; ``slots`` is 0 if it states none.

    ``cost_ms`` is the latency and the expected cost of failures.
    """

    latency_ms: float
    cost_ms: float
    slots: int = 0


def compute_weights(
    figures_by_id: Mapping[str, ServerFigures],
    rate_per_s: float,
    *,
    are_pausing: bool = False,
) -> dict[str, float]:
    """Return the parts of the load that servers get; their sum is 1.

    ``are_pausing`` tells whether servers have paused recently.
    """
    if rate_per_s <= 0 or not all(item.slots for item in figures_by_id.values()):
        return _with_minimum(_by_cost(figures_by_id, COST_EXPONENT))
    room_by_id = {key: _room(item, rate_per_s) for key, item in figures_by_id.items()}
    weights_by_id = _scaled(room_by_id)
    if sum(room_by_id.values()) > 1.0:
        by_cost = _by_cost(figures_by_id, ROOM_EXPONENT)
        used = 1.0 if are_pausing else CALM_ROOM_USED
        for key, part in _fill(by_cost, room_by_id).items():
            weights_by_id[key] += used * (part - weights_by_id[key])
    return _with_minimum(weights_by_id)


def _room(item: ServerFigures, rate_per_s: float) -> float:
    """Return the part of the load for which a server has room.

    A failing server has little, whatever its latency.
    """
    latency_ms = max(1.0, item.latency_ms)
    served_per_s = ROOM_SHARE * item.slots * 1000 / latency_ms
    soundness = min(1.0, latency_ms / max(1.0, item.cost_ms))
    room: float = served_per_s * soundness**COST_EXPONENT / rate_per_s
    return room


def _by_cost(
    figures_by_id: Mapping[str, ServerFigures], exponent: float
) -> dict[str, float]:
    return _scaled(
        {
            key: max(1.0, item.cost_ms) ** -exponent
            for key, item in figures_by_id.items()
        }
    )


def _fill(
    wanted_by_id: Mapping[str, float], room_by_id: Mapping[str, float]
) -> dict[str, float]:
    """Return the wanted parts, where what exceeds the room goes to the others.

    The rooms together exceed 1.
    """
    filled: dict[str, float] = {}
    open_by_id = dict(wanted_by_id)
    left = 1.0
    while open_by_id:
        factor = left / sum(open_by_id.values())
        full = [
            key for key, part in open_by_id.items() if part * factor > room_by_id[key]
        ]
        if not full:
            return filled | {key: part * factor for key, part in open_by_id.items()}
        for key in full:
            del open_by_id[key]
            filled[key] = room_by_id[key]
            left -= filled[key]
    return filled


def _with_minimum(weights_by_id: Mapping[str, float]) -> dict[str, float]:
    return _scaled(
        {key: max(MIN_WEIGHT, weight) for key, weight in weights_by_id.items()}
    )


def _scaled(parts_by_id: Mapping[str, float]) -> dict[str, float]:
    total = sum(parts_by_id.values())
    return {key: part / total for key, part in parts_by_id.items()}
