"""Records of non-repeatable requests in the table service.

A record is written conditionally on the version last read. When the response
to a write is lost, the record is read back: the same attempt, fence and state
mean that the write took effect. An attempt is identified by its request id
and its fence, since one request may make several attempts.
"""

import base64
import logging
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, Field
from returns.result import Failure, Result, Success

from .group_commit import GroupCommit
from .log_events import log_event
from .message_fields import Whole
from .result_codes import ResultCode, RouterError
from .table_client import ABSENT, TableClient, Write
from .task_errors import describe_error

__all__ = [
    "VersionConflict",
    "TransitionFailure",
    "TransitionResult",
    "TransitionApplied",
    "Record",
    "RecordState",
    "RecordStore",
    "RecordedOutcome",
    "StoreUnavailable",
    "StoredRecord",
    "record_key",
]

RECORDS_TABLE = "requests"

# A longer response body reaches its caller complete, but is not stored for
# repeated calls; it would slow down the transactions that other requests
# share.
MAX_STORED_BODY_BYTES = 64 * 1024

# The first write and one retry after a read-back. After that the store is
# considered unavailable, because the caller must be refused quickly.
MAX_WRITE_TRIES = 2
MAX_LOGGED_CHARACTERS = 200


# Text without line breaks, since it goes into headers and the log.
Text = Annotated[str, Field(max_length=4096, pattern=r"^[\x20-\x7e]*$")]

logger = logging.getLogger(__name__)


def _check_base64(text: str) -> str:
    base64.b64decode(text, validate=True)
    return text


class RecordState(StrEnum):
    """State of an attempt."""

    INTENT = "intent"
    DISPATCHED = "dispatched"
    DONE = "done"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RecordedOutcome:
    """The complete response of the backend server and the attempt that ran."""

    status: int
    content_type: str
    body: bytes
    attempt: str


@dataclass(frozen=True)
class Record:
    """State of one attempt, with all that a later call needs to resolve it.

    ``server_url`` and ``checks_fencing`` describe the backend server that
    the attempt addressed, which may have been removed from the configuration
    since.
    """

    state: RecordState
    attempt: str
    fence: int
    body_hash: str
    server_url: str
    checks_fencing: bool
    created_ms: int
    outcome: dict[str, Any] | None = None

    def to_document(self) -> dict[str, Any]:
        """Return the JSON form stored in the table service."""
        return {
            "state": self.state.value,
            "attempt": self.attempt,
            "fence": self.fence,
            "body_hash": self.body_hash,
            "server_url": self.server_url,
            "checks_fencing": self.checks_fencing,
            "created_ms": self.created_ms,
            "outcome": self.outcome,
        }

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "Record":
        """Return the record of a stored JSON document.

        Raises ``ValueError`` if it is not one.
        """
        model = _RecordModel.model_validate(document)
        return cls(**{**dict(model), "outcome": document["outcome"]})

    def with_outcome(self, outcome: RecordedOutcome) -> "Record":
        """Return the record as ``done``; a too large body is left out."""
        is_stored = len(outcome.body) <= MAX_STORED_BODY_BYTES
        document = {
            "status": outcome.status,
            "content_type": outcome.content_type,
            "body": base64.b64encode(outcome.body).decode() if is_stored else None,
        }
        return replace(self, state=RecordState.DONE, outcome=document)

    def recorded_outcome(self) -> Result[RecordedOutcome, RouterError]:
        """Return the complete outcome, or ``OUTCOME_NOT_KEPT``."""
        document = self.outcome
        if document is None or document["body"] is None:
            return Failure(RouterError(ResultCode.OUTCOME_NOT_KEPT))
        body = base64.b64decode(document["body"])
        return Success(
            RecordedOutcome(
                document["status"], document["content_type"], body, self.attempt
            )
        )

    def is_same_attempt(self, other: "Record") -> bool:
        """Return whether both are states of the same attempt."""
        return (self.attempt, self.fence) == (other.attempt, other.fence)

    def is_same_attempt_state(self, other: "Record") -> bool:
        """Return whether both are the same state of the same attempt."""
        return self.is_same_attempt(other) and self.state is other.state


class _OutcomeModel(BaseModel):
    """The outcome in a stored record."""

    status: Annotated[int, Field(ge=100, le=599, strict=True)]
    content_type: Annotated[str, Field(pattern=r"^[^\x00-\x08\x0a-\x1f\x7f]*$")]
    body: Annotated[str, AfterValidator(_check_base64)] | None


class _RecordModel(BaseModel):
    """A stored record."""

    state: RecordState
    attempt: Text
    fence: Annotated[Whole, Field(strict=True)]
    body_hash: Text
    server_url: Text
    checks_fencing: Annotated[bool, Field(strict=True)]
    created_ms: Annotated[Whole, Field(strict=True)]
    outcome: _OutcomeModel | None


@dataclass(frozen=True)
class StoredRecord:
    """A record as read, with its version; an absent record has version 0."""

    version: int = ABSENT
    record: Record | None = None

    def belongs_to(self, attempt: Record) -> bool:
        """Return whether the record is a state of this attempt."""
        return self.record is not None and self.record.is_same_attempt(attempt)


@dataclass(frozen=True)
class TransitionApplied:
    """The write took effect; ``version`` is the new version of the record."""

    version: int


@dataclass(frozen=True)
class VersionConflict:
    """Another write changed the version; ``current`` is the record it left."""

    current: StoredRecord


@dataclass(frozen=True)
class StoreUnavailable:
    """The store sent no response; the write may have taken effect."""


TransitionFailure = VersionConflict | StoreUnavailable
TransitionResult = TransitionApplied | TransitionFailure


def record_key(tenant: str, service: str, key: str | None, request_id: str) -> str:
    """Return the key of a record; the backend server gets the same key.

    Names of tenants and services contain no slash. Keys of callers and
    request ids have different prefixes, so that no caller can use the record
    of a request id.
    """
    if key is None:
        return f"{tenant}/{service}/request/{request_id}"
    return f"{tenant}/{service}/key/{key}"


class RecordStore:
    """Reads records and applies state transitions to them."""

    def __init__(self, table: TableClient, commit: GroupCommit) -> None:
        self._table = table
        self._commit = commit

    async def read(self, key: str) -> StoredRecord | StoreUnavailable:
        """Return the record of a key; ``StoredRecord()`` when it is absent."""
        try:
            row = await self._table.get(RECORDS_TABLE, key)
        except RouterError:
            return StoreUnavailable()
        if row is None:
            return StoredRecord()
        try:
            return StoredRecord(row.version, Record.from_document(row.value))
        except ValueError as error:
            log_event(
                logger,
                "record_unreadable",
                level=logging.WARNING,
                key=key[:MAX_LOGGED_CHARACTERS],
                version=row.version,
                problem=describe_error(error),
            )
            # Whether the request has run is not known, as when the store does
            # not answer.
            return StoreUnavailable()

    async def apply_transition(
        self, key: str, expect_version: int, record: Record
    ) -> TransitionResult:
        """Write a record conditionally; read it back after a lost response."""
        write = Write(RECORDS_TABLE, key, expect_version, record.to_document())
        for _ in range(MAX_WRITE_TRIES):
            match await self._commit.write(write):
                case Success(version):
                    return TransitionApplied(version)
            match await self.read(key):
                case StoreUnavailable():
                    return StoreUnavailable()
                case current:
                    pass
            if current.record is not None and current.record.is_same_attempt_state(
                record
            ):
                return TransitionApplied(current.version)
            if current.version != expect_version:
                return VersionConflict(current)
            # The write has not taken effect yet, and may still be in
            # transit. The retry has the same content and condition, so only
            # one of the two can take effect.
        return StoreUnavailable()
