"""Rules of the ``kumquat`` policy that can be disabled.

Disabling a rule shows what it contributes; ``docs/policy.md`` lists the
measured effects. Production settings leave all rules enabled.
"""

from collections.abc import Iterable
from dataclasses import dataclass, fields
from typing import Self

__all__ = ["RuleSet", "SwitchedRules"]


@dataclass(frozen=True)
class SwitchedRules:
    """Rules that are enabled or disabled; each is a field of a subclass."""

    @classmethod
    def without(cls, names: Iterable[str]) -> Self:
        """Return a rule set in which the named rules are disabled.

        Raises ``ValueError`` for an unknown name.
        """
        known = {item.name for item in fields(cls)}
        unknown = sorted(set(names) - known)
        if unknown:
            raise ValueError(f"unknown rules: {', '.join(unknown)}")
        return cls(**dict.fromkeys(names, False))

    def disabled(self) -> list[str]:
        """Return the names of the disabled rules."""
        return [item.name for item in fields(self) if not getattr(self, item.name)]


@dataclass(frozen=True)
class RuleSet(SwitchedRules):
    """Rules of the shard scheduler."""

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
