"""Client accounts, the keys that they hold and their quotas.

Load pattern: each of thousands of requests per second names its account by a
key, and keys are added, moved and removed by new versions of the configuration
while requests wait. A lookup is one hash table access, and a new version
replaces all accounts at once.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = [
    "ApiKey",
    "ClientAccount",
    "ClientAccounts",
    "QuotaSpec",
]


@dataclass(frozen=True)
class ApiKey:
    """A key of a caller; its text is never printed."""

    value: bytes = field(repr=False)

    def __str__(self) -> str:
        return "ApiKey()"


@dataclass(frozen=True)
class QuotaSpec:
    """What an account may use at all hosts together.

    ``rate_per_s`` and ``burst`` count tokens if ``counts_tokens`` is set, else
    requests. ``default_tokens`` is the cost of a request without token counts.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    default_tokens: int = 0


@dataclass(frozen=True)
class ClientAccount:
    """A client account; its ``priority`` takes precedence over a route's."""

    name: str
    priority: int | None = None
    quota: QuotaSpec | None = None


@dataclass(frozen=True)
class ClientAccounts:
    """The accounts of one version of the configuration.

    ``names_by_key`` is not printed, since it contains the keys.
    ``contested_keys`` has the holder and the other account for each key that
    several accounts name.
    """

    by_name: Mapping[str, ClientAccount]
    names_by_key: Mapping[ApiKey, str] = field(repr=False)
    contested_keys: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_keys(
        cls, entries: Iterable[tuple[ClientAccount, Iterable[bytes]]]
    ) -> "ClientAccounts":
        """Index accounts with their keys; the first holder of a key has it."""
        by_name: dict[str, ClientAccount] = {}
        names_by_key: dict[ApiKey, str] = {}
        contested_keys: list[tuple[str, str]] = []
        for account, keys in entries:
            by_name[account.name] = account
            for key in keys:
                holder = names_by_key.setdefault(ApiKey(key), account.name)
                if holder != account.name:
                    contested_keys.append((holder, account.name))
        return cls(by_name, names_by_key, tuple(contested_keys))

    def holder(self, key: ApiKey | None) -> ClientAccount | None:
        """Return the account that holds a key, None if there is none."""
        if key is None:
            return None
        name = self.names_by_key.get(key)
        return self.by_name[name] if name is not None else None
