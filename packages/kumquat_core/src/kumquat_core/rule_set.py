"""Rules of the ``kumquat`` policy that can be switched off.

Switching a rule off shows what it contributes; ``docs/policy.md`` gives the
measured effects. Production settings leave all of them on.
"""

from collections.abc import Iterable
from dataclasses import dataclass, fields

__all__ = ["RuleSet"]


@dataclass(frozen=True)
class RuleSet:
    """Which rules of the scheduler are in force."""

    slack_order: bool = True
    early_refusal: bool = True
    displacement: bool = True
    fair_share: bool = True
    late_last: bool = True
    prefix_cache: bool = True
    prefix_order: bool = True
    stragglers: bool = True
    tbt_limit: bool = True
    link_limit: bool = True
    hold_for_faster: bool = True
    hedging: bool = True

    @classmethod
    def without(cls, names: Iterable[str]) -> "RuleSet":
        """Return all rules but the named ones.

        Raises ``ValueError`` for an unknown name.
        """
        known = {item.name for item in fields(cls)}
        unknown = sorted(set(names) - known)
        if unknown:
            raise ValueError(f"unknown rules: {', '.join(unknown)}")
        return cls(**dict.fromkeys(names, False))
