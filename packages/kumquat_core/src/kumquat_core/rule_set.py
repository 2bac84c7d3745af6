"""Rules of the ``kumquat`` policy that can be switched off.

Switching a rule off shows what it contributes; ``docs/policy.md`` gives the
measured effects. Production settings leave all of them on.
"""

from collections.abc import Iterable
from dataclasses import dataclass, fields
from typing import Self

__all__ = ["RuleSet", "SwitchedRules"]


@dataclass(frozen=True)
class SwitchedRules:
    """Rules by name, each on or off; subclasses list them as fields."""

    @classmethod
    def without(cls, names: Iterable[str]) -> Self:
        """Return all rules but the named ones.

        Raises ``ValueError`` for an unknown name.
        """
        known = {item.name for item in fields(cls)}
        unknown = sorted(set(names) - known)
        if unknown:
            raise ValueError(f"unknown rules: {', '.join(unknown)}")
        return cls(**dict.fromkeys(names, False))

    def disabled(self) -> list[str]:
        """Return the names of the rules that are off."""
        return [item.name for item in fields(self) if not getattr(self, item.name)]


@dataclass(frozen=True)
class RuleSet(SwitchedRules):
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
