"""Computes what a ticket would change in the current state."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from kumquat_core.ticket_models import STATE_MODELS_BY_KIND, ObjectModel, TicketModel
from kumquat_core.tickets import ObjectState, TicketStore

__all__ = ["Action", "FieldChange", "ObjectChange", "compute_changes"]


class Action(StrEnum):
    """Effect of a ticket on one of its objects."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"


@dataclass(frozen=True)
class FieldChange:
    """One field of an object before and after; None where absent."""

    field: str
    before: Any
    after: Any


@dataclass(frozen=True)
class ObjectChange:
    """Effect of a ticket on one object, with the changed fields.

    ``number_in_force`` is the number of the ticket that set the current
    state; 0 if there is none.
    """

    kind: str
    name: str
    action: Action
    number_in_force: int
    fields: list[FieldChange] = field(default_factory=list)


def compute_changes(ticket: TicketModel, store: TicketStore) -> list[ObjectChange]:
    """Return the effect of a ticket on each object that it names."""
    current_by_key = {
        (item["kind"], item["name"]): ObjectState(item["number"], item["state"])
        for item in store.snapshot()["objects"]
    }
    absent = ObjectState(0, None)
    return [
        _change_of(
            ticket.number, item, current_by_key.get((item.kind, item.name), absent)
        )
        for item in ticket.objects
    ]


def _change_of(number: int, item: ObjectModel, current: ObjectState) -> ObjectChange:
    before = _full_state(item.kind, current.state)
    after = _full_state(item.kind, item.state)
    fields = [
        FieldChange(name, before.get(name), after.get(name))
        for name in {**before, **after}
        if before.get(name) != after.get(name)
    ]
    if number <= current.number:
        action = Action.SUPERSEDED if fields else Action.UNCHANGED
    elif not fields:
        action = Action.UNCHANGED
    elif not before:
        action = Action.CREATE
    else:
        action = Action.CHANGE if after else Action.DELETE
    return ObjectChange(item.kind, item.name, action, current.number, fields)


def _full_state(kind: str, state: dict[str, Any] | None) -> dict[str, Any]:
    """Return a state with default values filled in; empty when deleted."""
    if state is None:
        return {}
    return STATE_MODELS_BY_KIND[kind].model_validate(state).model_dump(mode="json")
