"""Messages about the load of plain backend servers.

Hosts report what they saw of each server since their last report; the owner of
the service replies with the shares of the requests that each server should
get, and how many requests may be sent at all. ``peer_messages`` encodes them
together with the other messages.
"""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from .message_fields import Figure, Whole

__all__ = [
    "LoadReport",
    "LoadShares",
    "RankDemand",
    "ServerLoad",
    "ServerShare",
    "is_retry",
]

# A report covers a few seconds; an item with larger figures is left out, since
# it would hide all others for a long time.
Count = Annotated[Whole, Field(ge=0, le=1_000_000)]
Milliseconds = Annotated[Whole, Field(ge=0)]


@dataclass(frozen=True)
class ServerLoad:
    """What a host saw of one server since its last report.

    ``sent`` counts the requests sent, the next three how requests ended:
    ``refused`` ones were not executed. ``latency_ms`` is the mean of the
    answered ones. ``oldest_ms`` is the age of the oldest request that is still
    open, ``answer_age_ms`` the time since the last response, ``open`` the
    number of open requests. Each is 0 if there is none.
    """

    engine: str
    sent: Count
    answered: Count
    failed: Count
    refused: Count
    latency_ms: Annotated[Figure, Field(ge=0)]
    oldest_ms: Milliseconds
    answer_age_ms: Milliseconds
    open: Count = 0


@dataclass(frozen=True)
class RankDemand:
    """The requests of one rank that a host received.

    Requests without an objective have rank 0 and are always sent. Others have
    a smaller rank the more urgent they are: one more than twice the priority,
    and one more for retries that are late already. ``rejected`` of them were
    not sent since the service was overloaded.
    """

    rank: Annotated[Whole, Field(ge=0)]
    requests: Count
    rejected: Count


@dataclass(frozen=True)
class LoadReport:
    """A host's report on the servers of a plain service to its owner.

    ``objective_ms`` is the smallest objective of the requests of ``demand``,
    0 if none has one.
    """

    service: str
    servers: tuple[ServerLoad, ...] = ()
    demand: tuple[RankDemand, ...] = ()
    objective_ms: Milliseconds = 0


@dataclass(frozen=True)
class ServerShare:
    """The share of a host's requests that a server should get, of 10,000.

    ``weight`` is its share of those that are for a server that must not get
    them. ``silent_ms`` is for how long it should get none, since it has
    stopped answering; the shares are those without this.
    """

    engine: str
    share: Count
    weight: Count
    silent_ms: Milliseconds = 0


@dataclass(frozen=True)
class LoadShares:
    """Replies to a ``LoadReport`` with the shares for the reporting host.

    ``shares`` is empty while the owner knows too little. ``age_ms`` is the
    time since the shares were computed.

    In an overload ``admitted`` is below 10,000: of the requests of rank
    ``cut_rank`` hosts send this share of 10,000, of more urgent ones all, and
    of the first attempts of less urgent ones the share ``least``.
    """

    service: str
    shares: tuple[ServerShare, ...] = ()
    age_ms: Milliseconds = 0
    cut_rank: Annotated[Whole, Field(ge=0)] = 0
    admitted: Count = 10_000
    least: Count = 0


def is_retry(rank: int) -> bool:
    """Tell whether requests of a rank are retries, see ``RankDemand``."""
    return rank > 0 and rank % 2 == 0
