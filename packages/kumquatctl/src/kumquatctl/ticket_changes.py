"""What a ticket would change in the state in force."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from kumquat_core.ticket_models import STATE_MODELS_BY_KIND, ObjectModel, TicketModel
from kumquat_core.tickets import ObjectState, TicketStore

__all__ = ["Action", "FieldChange", "ObjectChange", "changes_of"]


class Action(StrEnum):
    """What happens to one object of a ticket."""

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
    """What a ticket does to one object.

    ``number_in_force`` is the ticket that set the present state; 0 if none.
    """

    kind: str
    name: str
    action: Action
    number_in_force: int
    fields: list[FieldChange] = field(default_factory=list)


def changes_of(ticket: TicketModel, store: TicketStore) -> list[ObjectChange]:
    """Return the effect of a ticket on each object it touches."""
    present_by_key = {
        (item["kind"], item["name"]): ObjectState(item["number"], item["state"])
        for item in store.snapshot()["objects"]
    }
    nothing = ObjectState(0, None)
    return [
        _change_of(
            ticket.number, item, present_by_key.get((item.kind, item.name), nothing)
        )
        for item in ticket.objects
    ]


def _change_of(number: int, item: ObjectModel, present: ObjectState) -> ObjectChange:
    before = _full_state(item.kind, present.state)
    after = _full_state(item.kind, item.state)
    fields = [
        FieldChange(name, before.get(name), after.get(name))
        for name in {**before, **after}
        if before.get(name) != after.get(name)
    ]
    if number <= present.number:
        action = Action.SUPERSEDED if fields else Action.UNCHANGED
    elif not fields:
        action = Action.UNCHANGED
    elif not before:
        action = Action.CREATE
    else:
        action = Action.CHANGE if after else Action.DELETE
    return ObjectChange(item.kind, item.name, action, present.number, fields)


def _full_state(kind: str, state: dict[str, Any] | None) -> dict[str, Any]:
    """Return a state with its default values; empty when deleted."""
    if state is None:
        return {}
    return STATE_MODELS_BY_KIND[kind].model_validate(state).model_dump(mode="json")
