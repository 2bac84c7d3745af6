"""The credit that one host has leased from each quota owner.

Load pattern: hundreds of accounts spend credit thousands of times a second;
owners change when machines fail. Credit belongs to the owner that leased it
and is spent or expires there, since only that owner accounts for it.
"""

from dataclasses import dataclass, field

from .quota_bound import CREDIT_TTL_S, MEMBER_TTL_S

__all__ = ["OwnerLease"]


@dataclass
class OwnerLease:
    """The credit of one owner and the state of the calls to it.

    ``acknowledged`` is the sequence of the last reply and ``replied_s`` its
    time. ``held_by_account`` may not exceed ``limits_by_account``, which is
    what the owner knows to be leased.
    """

    acknowledged: int = 0
    replied_s: float = float("-inf")
    valid_until_s: float = float("-inf")
    held_by_account: dict[str, float] = field(default_factory=dict)
    limits_by_account: dict[str, float] = field(default_factory=dict)

    def held(self, account: str, now_s: float) -> float:
        """Return the credit of an account that may be spent."""
        if now_s >= self.valid_until_s:
            return 0.0
        return self.held_by_account.get(account, 0.0)

    def take(self, account: str, amount: float, now_s: float) -> float:
        """Take up to an amount of credit; return how much was left."""
        taken = min(amount, self.held(account, now_s))
        if taken > 0:
            self.held_by_account[account] -= taken
        return taken

    def put_back(self, account: str, amount: float, now_s: float) -> float:
        """Put credit back as far as the owner counts it as leased."""
        if now_s >= self.valid_until_s:
            return 0.0
        held = self.held_by_account.get(account, 0.0)
        limit = self.limits_by_account.get(account, 0.0)
        put = max(0.0, min(amount, limit - held))
        if put > 0:
            self.held_by_account[account] = held + put
        return put

    def is_kept(
        self, account: str, now_s: float, keep: float, min_ratio: float
    ) -> bool:
        """Return whether little of the credit is used, and none given back."""
        held = self.held(account, now_s)
        limit = self.limits_by_account.get(account, 0.0)
        return held <= keep and (held > 0 or limit == 0) and held >= min_ratio * limit

    def report(self, account: str, now_s: float, keep: float) -> tuple[float, float]:
        """Return what is held up to ``keep``, and what is given back."""
        held = self.held(account, now_s)
        kept = min(held, keep)
        if kept > 0:
            self.held_by_account[account] = self.limits_by_account[account] = kept
        else:
            self.held_by_account.pop(account, None)
            self.limits_by_account.pop(account, None)
        return kept, held - kept

    def renew(self, sequence: int, sent_s: float, now_s: float) -> None:
        """Apply a reply to a request that was sent at ``sent_s``."""
        self.acknowledged, self.replied_s = sequence, now_s
        self.valid_until_s = sent_s + CREDIT_TTL_S

    def add(self, account: str, amount: float) -> None:
        """Add leased credit."""
        held = self.held_by_account.get(account, 0.0)
        limit = self.limits_by_account.get(account, 0.0)
        self.held_by_account[account] = held + amount
        self.limits_by_account[account] = limit + amount

    def counted_for_s(self, now_s: float) -> float:
        """Return how long the owner may still count this host."""
        return max(0.0, self.replied_s + MEMBER_TTL_S - now_s)

    def is_over(self, now_s: float) -> bool:
        """Return whether the owner neither counts this host nor has credit."""
        return now_s >= self.valid_until_s and self.counted_for_s(now_s) == 0.0
