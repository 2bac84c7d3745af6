"""Messages about engine crashes and the prompt parts that may cause them.

``peer_messages`` encodes them together with the other messages.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated

import xxhash
from pydantic import Field

from .message_fields import LATER_FIELD, Whole

__all__ = [
    "NO_EVIDENCE_DIGEST",
    "CrashEvidence",
    "CrashRecord",
    "EngineCrashReport",
    "TrialEnded",
    "TrialGrant",
    "TrialRequest",
    "evidence_digest",
]

NO_EVIDENCE_DIGEST = 0


@dataclass(frozen=True)
class CrashRecord:
    """An observation about one prompt part.

    The engine incarnation ``engine`` at ``address`` crashed ``age_ms`` ago
    while it began to answer a request with the part. ``trial``: the request
    was the only one with the part that was running. An empty ``engine`` means
    that requests with the part were answered without a crash.
    """

    part: str
    engine: str
    address: str
    age_ms: Annotated[Whole, Field(ge=0)]
    trial: bool


@dataclass(frozen=True)
class CrashEvidence:
    """What the sender knows about the prompt parts of a service.

    The reply, if one is wanted, is what the receiver knows. It passes the
    records on to the hosts in ``forward_to``.
    """

    service: str
    records: tuple[CrashRecord, ...] = ()
    forward_to: tuple[str, ...] = field(default=(), metadata=LATER_FIELD)


@dataclass(frozen=True)
class EngineCrashReport:
    """A run ended with its engine before the answer had begun.

    ``parts`` are the parts of its prompt that are not known to be harmless.
    ``born_ms`` is the start of the engine in Unix milliseconds.
    """

    service: str
    request_id: str
    engine: str
    born_ms: Whole
    address: str
    parts: tuple[str, ...]
    trial: bool


@dataclass(frozen=True)
class TrialRequest:
    """Asks the owner of a group to let a suspect request run on trial.

    ``mark`` is that of the request. It may run at one of ``engines``, the
    first of which is preferred. The reply is wanted within ``wait_ms``; the
    trial ends within ``left_ms``.
    """

    group: str
    request_id: str
    mark: str
    engines: tuple[str, ...]
    wait_ms: Annotated[Whole, Field(ge=0)]
    left_ms: Annotated[Whole, Field(ge=0)]


@dataclass(frozen=True)
class TrialGrant:
    """Lets a suspect request run at ``engine``, or not yet if that is empty.

    ``evidence_digest`` is that of what the owner knows.
    """

    engine: str
    evidence_digest: Whole


@dataclass(frozen=True)
class TrialEnded:
    """Reports that the trial of a request has ended."""

    group: str
    request_id: str


def evidence_digest(records: Iterable[CrashRecord]) -> int:
    """Return a 32-bit digest by which two hosts compare what they know.

    Neither the order nor the age of the records matters.
    """
    lines = sorted({f"{item.part} {item.engine} {item.trial}" for item in records})
    if not lines:
        return NO_EVIDENCE_DIGEST
    return xxhash.xxh32_intdigest("\n".join(lines).encode())
