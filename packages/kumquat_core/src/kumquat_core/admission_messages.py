"""Messages between entry hosts and the owners of shards."""

from dataclasses import dataclass

from .message_fields import Figure, Whole

__all__ = [
    "AdmissionRequest",
    "CancelAdmission",
    "Grant",
    "GrantsHeld",
    "GrantsQuery",
    "HeldGrant",
    "PrefillDone",
    "Progress",
    "Refusal",
    "Release",
    "ShardSummary",
    "SlowStep",
]


@dataclass(frozen=True)
class ShardSummary:
    """State of a shard at the time its owner sent a reply."""

    shard_id: str
    free_pieces: Whole
    queued: Whole
    expected_wait_ms: Whole


@dataclass(frozen=True)
class AdmissionRequest:
    """Requests a prefill and a decode engine from a shard owner.

    Deadlines are remaining milliseconds, since the clocks of hosts differ.
    ``prefix_blocks`` are the hashes of the prompt's leading blocks.
    ``resume_tokens`` is the number of tokens already sent to the caller.
    """

    request_id: str
    shard_id: str
    tenant: str
    class_name: str
    model: str
    prompt_tokens: Whole
    max_tokens: Whole
    ttft_deadline_ms: Whole
    patience_ms: Whole
    prefix_blocks: tuple[int, ...] = ()
    excluded_engines: tuple[str, ...] = ()
    resume_tokens: Whole = 0
    attempt: Whole = 1


@dataclass(frozen=True)
class Grant:
    """Memory is reserved at the decode engine, and the prefill may start."""

    request_id: str
    shard_id: str
    prefill_engine: str
    decode_engine: str
    pieces: Whole
    summary: ShardSummary


@dataclass(frozen=True)
class Refusal:
    """The owner does not admit a request; ``code`` is a result code."""

    request_id: str
    code: Whole
    detail: str
    retry_after_ms: Whole
    summary: ShardSummary | None = None


@dataclass(frozen=True)
class PrefillDone:
    """The prefill has ended; the request still uses its decode engine."""

    request_id: str
    shard_id: str
    prefill_ms: Figure
    cached_tokens: Whole


@dataclass(frozen=True)
class SlowStep:
    """A token took much longer than a decode step of a full batch.

    It is sent while the stream is open, because its ``Release`` follows only
    seconds later.
    """

    request_id: str
    shard_id: str
    gap_ms: Figure


@dataclass(frozen=True)
class Release:
    """The request no longer uses its engines.

    Times are those that the entry host observed, zero for a stage that the
    request did not reach.
    """

    request_id: str
    shard_id: str
    code: Whole
    prefill_ms: Figure = 0.0
    ttft_ms: Figure = 0.0
    tbt_ms: Figure = 0.0
    tokens: Whole = 0
    failed_engine: str = ""


@dataclass(frozen=True)
class CancelAdmission:
    """The entry host no longer waits for the grant of a request."""

    request_id: str
    shard_id: str


@dataclass(frozen=True)
class HeldGrant:
    """A grant whose engines an entry host still uses."""

    request_id: str
    prefill_engine: str
    decode_engine: str
    pieces: Whole
    prefilling: bool


@dataclass(frozen=True)
class GrantsQuery:
    """Asks an entry host which of its requests are still open.

    It names either the requests or the engines whose grants are queried.
    """

    request_ids: tuple[str, ...] = ()
    engine_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class GrantsHeld:
    """Replies to a ``GrantsQuery``.

    ``waiting`` lists the queried requests that have no grant yet. Request ids
    are never reused, so a queried request in neither list has ended for good.
    """

    host_id: str
    incarnation: Whole
    grants: tuple[HeldGrant, ...] = ()
    waiting: tuple[str, ...] = ()


# Messages of an entry host to a shard owner about the progress of a request.
Progress = PrefillDone | SlowStep | Release | CancelAdmission
