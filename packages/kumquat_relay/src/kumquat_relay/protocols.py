"""The interfaces that a platform adapter implements for the relay.

An adapter translates them into the names, formats and calls of one platform;
all decisions are made in the relay.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from kumquat_core.settings import Address

from .caller_request import Header, RequestMetadata
from .engine_connection import ResponseHead
from .engine_registry import EngineEntry, EngineRole
from .routes import RouteTable
from .store_version import StoreVersion

__all__ = [
    "Change",
    "Changes",
    "EarlierAnswerError",
    "EngineDialect",
    "EngineNotice",
    "EngineReport",
    "HistoryLostError",
    "HostEntry",
    "LeaseState",
    "OversizedAnswerError",
    "PrefillResult",
    "SendOptions",
    "SenderIdentity",
    "StateKind",
    "StateStore",
    "StoreError",
    "WriteConflictError",
]


class StateKind(Enum):
    """The kinds of state that hosts watch in the store."""

    CONFIGURATION = "configuration"
    ENGINES = "engines"
    HOSTS = "hosts"


@dataclass(frozen=True)
class HostEntry:
    """A running entry host.

    ``incarnation`` is its start time in Unix milliseconds, ``strength`` the
    relative capacity of its processors and network links.
    """

    host_id: str
    address: Address
    failure_domain: str
    incarnation: int
    strength: float = 1.0


@dataclass(frozen=True)
class Change:
    """The state of one object in the store.

    ``value`` is None if the object was removed or is invalid; for an invalid
    object ``problem`` describes the error.
    """

    key: str
    version: StoreVersion
    value: RouteTable | EngineEntry | HostEntry | None
    removed: bool = False
    problem: str = ""


@dataclass(frozen=True)
class Changes:
    """Changed objects in order of their versions, up to ``version``."""

    version: StoreVersion
    items: tuple[Change, ...]


@dataclass(frozen=True)
class LeaseState:
    """The state of a lease in the store; version 0 means that none exists.

    ``used_until_ms`` is the end of its validity, None if there is no lease or
    it cannot be parsed, and ``store_ms`` the time of the response. Both are on
    the store's monotonic clock. ``era`` is that of the response.
    """

    holder: str
    version: int
    used_until_ms: int | None
    store_ms: int
    era: int = 0


class StoreError(Exception):
    """A call to the store failed; a write may have been applied."""


class OversizedAnswerError(StoreError):
    """The answer exceeds what this host reads of one answer."""


class EarlierAnswerError(StoreError):
    """The answer has an earlier version than the call asked for.

    It belongs to another call, or the version of this host is wrong.
    """


class HistoryLostError(Exception):
    """The store no longer has the changes after the requested version."""


class WriteConflictError(Exception):
    """A conditional write did not find the expected version."""


class StateStore(Protocol):
    """Access to the platform's store."""

    async def read(self, kind: StateKind) -> Changes:
        """Return all objects of a kind; raises ``StoreError``."""

    async def wait_for_changes(
        self, kind: StateKind, after: StoreVersion, wait_s: float
    ) -> Changes:
        """Wait for changes after a version; return none after ``wait_s``.

        The version of the result has another era if the store has come back
        from a copy; its items are then incomplete. Raises ``StoreError``, and
        ``HistoryLostError`` if the store no longer has the changes.
        """

    async def put_host(self, entry: HostEntry) -> None:
        """Write the entry of a host; raises ``StoreError``."""

    async def remove_host(self, host_id: str) -> None:
        """Remove the entry of a host; raises ``StoreError``."""

    async def has_host(self, entry: HostEntry) -> bool:
        """Return whether the store has the entry of a host as it is.

        Raises ``StoreError``.
        """

    async def peer_key(self, proposal: bytes) -> bytes:
        """Return the key that all hosts share.

        ``proposal`` becomes the key if the store has none.
        """

    async def acquire_lease(
        self, name: str, holder: str, used_until_ms: int, expected: int
    ) -> StoreVersion:
        """Write a lease if its version is ``expected``; return the new one.

        Raises ``WriteConflictError`` if the lease has another version.
        """

    async def close(self) -> None:
        """Close the connections to the store."""

    async def read_lease(self, name: str) -> LeaseState:
        """Return the state of a lease; raises ``StoreError``."""


@dataclass(frozen=True)
class SenderIdentity:
    """The client account and priority that engines are told.

    ``account`` is its name, empty for a request without an account.
    """

    account: str = ""
    priority: int | None = None


@dataclass(frozen=True)
class SendOptions:
    """How a request is sent to one engine.

    ``left_ms`` is the time until the deadline. ``prefill_source`` names a
    prefill result, which can be fetched once, ``fetch_from`` an engine that
    may still cache parts of the prompt, and ``reservation_id`` a reservation
    at the engine. ``identity`` replaces what the caller sent about its
    account, None if no accounts are configured.
    """

    engine_id: str
    left_ms: int
    prefill_only: bool = False
    prefill_source: str = ""
    fetch_from: Address | None = None
    resume_after: int | None = None
    reservation_id: str = ""
    identity: SenderIdentity | None = None


@dataclass(frozen=True)
class EngineReport:
    """The state that an engine reports, some hundred milliseconds old.

    ``role_command_count`` is the number of role commands accepted since the
    start of the engine.
    """

    executing_role_command: bool
    role_command_count: int


@dataclass(frozen=True)
class PrefillResult:
    """The result of a prefill.

    ``source`` identifies it to a decode engine, ``handle`` to the prefill
    engine.
    """

    source: str
    handle: str
    engine: EngineEntry
    tokens: int


@dataclass(frozen=True)
class EngineNotice:
    """What a response says about the engine that the request was sent to.

    ``leaving``: the engine is shutting down. ``replaced``: another process has
    its address. ``pause_s`` is the time in seconds for which it asks this host
    to send nothing, 0 if it does not. ``problem`` describes an invalid header.
    ``limit_per_s`` is the number of requests per second that it takes from all
    hosts together, None if it names no limit; ``limit_problem`` describes an
    invalid one.
    """

    leaving: bool = False
    pause_s: float = 0.0
    problem: str = ""
    replaced: bool = False
    limit_per_s: float | None = None
    limit_problem: str = ""


class EngineDialect(Protocol):
    """Encodes and decodes the headers and bodies of callers and engines."""

    def read_request(self, headers: Sequence[Header]) -> RequestMetadata:
        """Parse the headers of a caller's request."""

    def engine_headers(
        self, metadata: RequestMetadata, options: SendOptions
    ) -> list[Header]:
        """Return the headers of a request to an engine."""

    def not_executed(self, head: ResponseHead) -> bool:
        """Tell whether a response proves that the request was not executed."""

    def request_ids(self, head: ResponseHead) -> Sequence[str]:
        """Return the ids of the requests that a response names."""

    def notice(self, head: ResponseHead, engine_id: str) -> EngineNotice:
        """Return what a response says about the engine ``engine_id``."""

    def response_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the response headers that are forwarded to the caller."""

    def prefill_result(self, body: bytes, engine: EngineEntry) -> PrefillResult:
        """Parse the response to a prefill; raises ``ValueError``."""

    def reserve(
        self, engine: EngineEntry, tokens: int, ttl_ms: int
    ) -> tuple[str, str, list[Header], bytes]:
        """Return method, target, headers and body of a reservation request.

        It reserves a slot and memory for ``tokens`` tokens.
        """

    def parse_reservation(self, body: bytes) -> str:
        """Parse the id of a reservation; raises ``ValueError``."""

    def release_reservation(
        self, engine: EngineEntry, reservation_id: str
    ) -> tuple[str, str, list[Header]]:
        """Return method, target and headers that release a reservation."""

    def release_prefill(self, result: PrefillResult) -> tuple[str, str, list[Header]]:
        """Return method, target and headers that release a prefill result."""

    def report_request(self, engine: EngineEntry) -> tuple[str, str, list[Header]]:
        """Return method, target and headers of a request for a report."""

    def report(self, body: bytes) -> EngineReport:
        """Parse an engine's report; raises ``ValueError``."""

    def role_command(
        self,
        engine: EngineEntry,
        role: EngineRole,
        holder: str,
        fence: int,
        role_command_count: int,
    ) -> tuple[str, str, list[Header], bytes]:
        """Return method, target, headers and body of a role command.

        ``fence`` is the fencing token of the lease holder. The engine rejects
        the command unless ``role_command_count`` is the number of commands
        that it has accepted.
        """
