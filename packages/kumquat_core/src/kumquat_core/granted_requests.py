"""Record of a request that holds engines of a shard."""

from dataclasses import dataclass

from .pairing import RequestNeeds

__all__ = ["GrantedRequest"]


@dataclass
class GrantedRequest:
    """A grant in the ledger of a shard.

    ``needs`` is None, and ``tenant`` empty, if a previous owner granted it.
    """

    request_id: str
    tenant: str
    prefill_engine: str
    decode_engine: str
    pieces: int
    granted_s: float
    needs: RequestNeeds | None
    prefilled_s: float | None = None
