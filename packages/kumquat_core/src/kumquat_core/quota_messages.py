"""Messages by which hosts lease the credit of client accounts.

``peer_messages`` encodes them together with the other messages. Amounts are
requests or tokens, as the quota of the account states.
"""

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field

from .message_fields import LATER_FIELD, Figure, Whole

__all__ = [
    "LEAVES",
    "NOT_COUNTED",
    "QuotaGrant",
    "QuotaLease",
    "QuotaNeed",
    "QuotaRequest",
]

# Value of ``count_after_ms`` by which a host only tests that an owner replies.
NOT_COUNTED = -1
# Value in the last request of a host to its previous owner, which stops
# counting the host with its reply. The credit stays valid.
LEAVES = -2

Amount = Annotated[Figure, Field(ge=0)]


@dataclass(frozen=True)
class QuotaNeed:
    """What a host holds and needs of the credit of one account.

    ``held`` is the credit that it still holds of this owner, ``returned`` what
    it gives back. ``waiting`` is the cost of all waiting requests, ``largest``
    that of the largest one, and ``wanted`` what later requests may need.
    """

    account: str
    held: Amount
    returned: Amount
    waiting: Amount
    wanted: Amount
    largest: Amount


@dataclass(frozen=True)
class QuotaRequest:
    """Reports all credit that a host holds of an owner and requests credit.

    ``acknowledged`` is the sequence of the last reply that the host received
    of this owner, 0 if none. The owner may count the host from
    ``count_after_ms`` on, when the previous owner has stopped to count it.

    An account that is not listed has no credit at the host, or what the owner
    has leased to it if the request is ``partial``.
    """

    sequence: Annotated[Whole, Field(ge=1)]
    incarnation: Whole
    acknowledged: Annotated[Whole, Field(ge=0)]
    count_after_ms: Annotated[Whole, Field(ge=LEAVES)]
    needs: tuple[QuotaNeed, ...] = ()
    partial: bool = field(default=False, metadata=LATER_FIELD)


@dataclass(frozen=True)
class QuotaLease:
    """The credit that a host gets for one account.

    If waiting requests got less than their cost, ``wait_ms`` is the time until
    the rest is available. ``starting`` states that the owner has just begun
    and that the quota is not necessarily exhausted.
    """

    account: str
    granted: Amount
    wait_ms: Annotated[Whole, Field(ge=0)]
    starting: bool = False


@dataclass(frozen=True)
class QuotaGrant:
    """Replies to the ``QuotaRequest`` with the same sequence.

    An account that is not listed gets no credit and need not wait.
    """

    sequence: Whole
    leases: tuple[QuotaLease, ...] = ()
