"""Tickets and their merged state.

Each object stores the highest ticket number that set it, and a ticket changes
an object only if its number is higher. The merged state therefore does not
depend on the order in which tickets arrive, and never reverts.

The table service stores accepted tickets in the order of acceptance, each at
a log position. Polling by position finds a low-numbered ticket that was
accepted late, which polling by number would miss.
"""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Any

from .configuration import (
    BackendServer,
    Configuration,
    Engine,
    Model,
    Pool,
    RequestClass,
    RoutingRule,
    Service,
    Tenant,
)
from .ticket_models import STATE_MODELS_BY_KIND, TicketModel

__all__ = ["ObjectState", "Ticket", "TicketStore"]

ObjectKey = tuple[str, str]

# Positions are keys of twelve digits in the log.
MAX_POSITION = 10**12

_CLASSES_BY_KIND: dict[str, tuple[type[Any], str]] = {
    "model": (Model, "name"),
    "pool": (Pool, "name"),
    "engine": (Engine, "id"),
    "backend_server": (BackendServer, "id"),
    "service": (Service, "name"),
    "class": (RequestClass, "name"),
    "tenant": (Tenant, "name"),
    "rule": (RoutingRule, "name"),
}

_FIELDS_BY_KIND = {
    "model": "models_by_name",
    "pool": "pools_by_name",
    "engine": "engines_by_id",
    "backend_server": "backend_servers_by_id",
    "service": "services_by_name",
    "class": "classes_by_name",
    "tenant": "tenants_by_name",
    "rule": "rules_by_name",
}


@dataclass(frozen=True)
class ObjectState:
    """The state of one object and the ticket number that set it."""

    number: int
    state: dict[str, Any] | None


@dataclass(frozen=True)
class Ticket:
    """An accepted ticket at its log position."""

    position: int
    model: TicketModel

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the content, equal for equal tickets."""
        return digest_of(self.model)

    def to_document(self) -> dict[str, Any]:
        """Return the JSON form stored in the table service."""
        return {"position": self.position, "ticket": self.model.model_dump(mode="json")}

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "Ticket":
        """Return the ticket of a stored document.

        Raises ``ValueError`` when the ticket in it is not valid, and
        ``KeyError`` or ``TypeError`` when it has none.
        """
        model = TicketModel.model_validate(document["ticket"])
        position = document["position"]
        if type(position) is not int or not 0 < position < MAX_POSITION:
            raise ValueError("not a position")
        return cls(position, model)


def digest_of(model: TicketModel) -> str:
    """Return the SHA-256 of a ticket's content in canonical JSON."""
    text = json.dumps(model.model_dump(mode="json"), sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


class TicketStore:
    """The merged state of all tickets up to a log position."""

    def __init__(self) -> None:
        self._objects_by_key: dict[ObjectKey, ObjectState] = {}
        self._values_by_kind: dict[str, dict[str, Any]] = {
            kind: {} for kind in _CLASSES_BY_KIND
        }
        self._changed_kinds: set[str] = set()
        self._configuration = Configuration()
        # The digest of the ticket at the current position, None if that
        # position is the one of a snapshot.
        self._last_digest: str | None = None

    @property
    def position(self) -> int:
        """Return the log position up to which all tickets are merged."""
        return self._configuration.position

    @property
    def number(self) -> int:
        """Return the highest ticket number merged."""
        return self._configuration.number

    @property
    def configuration(self) -> Configuration:
        """Return the current configuration."""
        return self._configuration

    def number_of(self, kind: str, name: str) -> int:
        """Return the ticket number that set an object; 0 if none did."""
        current = self._objects_by_key.get((kind, name))
        return 0 if current is None else current.number

    def apply(self, tickets: Iterable[Ticket]) -> bool:
        """Merge tickets that follow the current position without a gap.

        Tickets at or below the current position and those after a gap are
        ignored. Return whether any ticket was merged.
        """
        position, number = self.position, self.number
        for ticket in sorted(tickets, key=lambda item: item.position):
            if ticket.position != position + 1:
                continue
            position, self._last_digest = ticket.position, ticket.digest
            number = max(number, ticket.model.number)
            self._merge_ticket(ticket.model)
        if position == self.position:
            return False
        self._rebuild(position, number)
        return True

    def snapshot(self) -> dict[str, Any]:
        """Return the merged state as a JSON document."""
        objects = [
            {"kind": kind, "name": name, "number": item.number, "state": item.state}
            for (kind, name), item in sorted(self._objects_by_key.items())
        ]
        return {"position": self.position, "number": self.number, "objects": objects}

    def load_snapshot(self, document: dict[str, Any]) -> bool:
        """Merge a snapshot if its position is higher.

        Return whether it was merged.
        """
        if document["position"] <= self.position:
            return False
        for item in document["objects"]:
            self._merge_object(
                (item["kind"], item["name"]), item["number"], item["state"]
            )
        self._last_digest = None
        self._rebuild(document["position"], max(self.number, document["number"]))
        return True

    def continues_at(self, first: Ticket | None) -> bool:
        """Return whether the log still has what was merged from it.

        ``first`` is its first ticket from the current position on. A table
        service that has come back from an older copy has another one there,
        or none.
        """
        if self._last_digest is None:
            return True
        return (
            first is not None
            and first.position == self.position
            and first.digest == self._last_digest
        )

    def rewind(self) -> None:
        """Read the log from its start again; what was merged stays."""
        self._last_digest = None
        self._rebuild(0, self.number)

    def _merge_ticket(self, model: TicketModel) -> None:
        for item in model.objects:
            self._merge_object((item.kind, item.name), model.number, item.state)

    def _merge_object(
        self, key: ObjectKey, number: int, state: dict[str, Any] | None
    ) -> None:
        current = self._objects_by_key.get(key)
        if current is not None and number <= current.number:
            return
        self._objects_by_key[key] = ObjectState(number, state)
        kind, name = key
        self._changed_kinds.add(kind)
        if state is None:
            self._values_by_kind[kind].pop(name, None)
        else:
            self._values_by_kind[kind][name] = _value_of(kind, name, state)

    def _rebuild(self, position: int, number: int) -> None:
        """Create a new configuration that shares the unchanged kinds."""
        changed = {
            _FIELDS_BY_KIND[kind]: MappingProxyType(dict(self._values_by_kind[kind]))
            for kind in self._changed_kinds
        }
        if "tenant" in self._changed_kinds:
            tenants = self._values_by_kind["tenant"].values()
            changed["tenants_by_key_sha256"] = MappingProxyType(
                {key: tenant for tenant in tenants for key in tenant.api_key_sha256}
            )
        self._changed_kinds = set()
        self._configuration = replace(
            self._configuration, position=position, number=number, **changed
        )


def _value_of(kind: str, name: str, state: dict[str, Any]) -> Any:
    """Return an object's validated state as its configuration data class."""
    value_class, key_field = _CLASSES_BY_KIND[kind]
    model = STATE_MODELS_BY_KIND[kind].model_validate(state)
    return value_class(**{key_field: name}, **dict(model))
