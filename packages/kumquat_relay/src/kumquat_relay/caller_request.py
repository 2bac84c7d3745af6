"""A request of a caller and the metadata that the relay evaluates.

The relay doesn't interpret the body or the target. The headers of a request to
a model engine describe its prompt, see ``PromptMetadata``.
"""

from dataclasses import dataclass, field

from .accounts.client_accounts import ApiKey, ClientAccount
from .routes import Route

__all__ = ["CallerRequest", "Header", "PromptMetadata", "RequestMetadata"]

Header = tuple[bytes, bytes]


@dataclass(frozen=True)
class PromptMetadata:
    """The length of a prompt and of its output, in tokens.

    ``max_output_tokens`` limits the output. ``expected_tokens`` is the
    caller's estimate of its length, or the limit if there is no estimate.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """Values parsed from the headers of a request.

    ``headers`` are those that are forwarded to the engine; they may contain a
    key and are not printed. ``deadline_ms`` is
    the time that the caller waits for the response. ``resume_after`` is the
    number of the last event that the caller has received. ``shared_parts`` are
    the ids of the parts of its prompt that other prompts may contain too, and
    ``credentials`` tell the callers of a host apart. ``api_key`` names the
    client account; a request with several keys has one that nobody holds.
    """

    request_id: str
    host: str
    headers: tuple[Header, ...] = field(repr=False)
    deadline_ms: int | None
    prompt: PromptMetadata | None
    resume_after: int | None
    shared_parts: tuple[str, ...] = ()
    credentials: bytes = b""
    api_key: ApiKey | None = None


@dataclass(frozen=True)
class CallerRequest:
    """One completely received attempt of a caller.

    ``arrived_s`` is the monotonic time at which it was completely received.
    ``account`` is the client account in force when it was received.
    ``marks_by_key`` keeps what ``RequestMarks`` has computed.
    """

    metadata: RequestMetadata
    method: str
    target: str
    body: bytes
    route: Route
    service: str
    arrived_s: float
    account: ClientAccount | None = None
    marks_by_key: dict[bytes, str] = field(
        default_factory=dict, compare=False, repr=False
    )

    @property
    def id(self) -> str:
        """Return the id that the caller gave this attempt."""
        return self.metadata.request_id

    @property
    def priority(self) -> int:
        """Return the priority of the account, else that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def deadline_s(self) -> float:
        """Return the monotonic time by which the response must be complete."""
        limit_ms = self.route.timeout_ms
        if self.metadata.deadline_ms is not None:
            limit_ms = min(limit_ms, self.metadata.deadline_ms)
        return self.arrived_s + limit_ms / 1000

    def left_ms(self, now_s: float) -> int:
        """Return the milliseconds until the deadline, 0 if it has passed."""
        return max(0, int((self.deadline_s - now_s) * 1000))
