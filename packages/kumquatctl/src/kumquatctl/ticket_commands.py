"""The ticket commands: ``validate``, ``diff``, ``plan`` and ``history``."""

from dataclasses import asdict

from kumquat_core.result_codes import ResultCode
from kumquat_core.ticket_checks import missing_references
from kumquat_core.ticket_log import HEAD_KEY, HEAD_TABLE, TICKETS_TABLE, ticket_key
from kumquat_core.ticket_models import TicketModel
from kumquat_core.tickets import Ticket, TicketStore, digest_of

from .output import console, print_json, print_table
from .platform_access import Platform, read_log, read_state
from .ticket_changes import Action, ObjectChange, compute_changes

__all__ = ["diff", "history", "plan", "show_valid"]


def show_valid(ticket: TicketModel, as_json: bool) -> None:
    """Print that a ticket is valid, and its objects."""
    names = [f"{item.kind}/{item.name}" for item in ticket.objects]
    if as_json:
        print_json({"valid": True, "number": ticket.number, "objects": names})
        return
    console().print(f"valid: ticket {ticket.number} with {len(names)} object(s)")


async def diff(platform: Platform, ticket: TicketModel, as_json: bool) -> None:
    """Print the fields that a ticket would change."""
    changes = compute_changes(ticket, await read_state(platform))
    if as_json:
        print_json({"number": ticket.number, "changes": _documents(changes)})
        return
    rows = [
        (f"{change.kind}/{change.name}", change.action, item.field, before, after)
        for change in changes
        for item in change.fields
        for before, after in [(_format_value(item.before), _format_value(item.after))]
    ]
    if not rows:
        console().print(f"ticket {ticket.number} changes nothing")
        return
    columns = ("object", "action", "field", "in force", "ticket")
    print_table(f"Ticket {ticket.number}", columns, rows)


async def plan(platform: Platform, ticket: TicketModel, as_json: bool) -> None:
    """Print whether a ticket would be accepted and what it would change."""
    store = await read_state(platform)
    changes = compute_changes(ticket, store)
    verdict = await _verdict(platform, ticket, changes)
    next_number = store.number + 1
    warnings = _new_missing_references(ticket, store)
    if as_json:
        document = {
            "number": ticket.number,
            "verdict": verdict,
            "next_free_number": next_number,
            "objects": _documents(changes),
            "warnings": warnings,
        }
        print_json(document)
        return
    rows = [
        (f"{item.kind}/{item.name}", item.action, len(item.fields), number)
        for item in changes
        for number in [item.number_in_force or "-"]
    ]
    columns = ("object", "action", "fields", "set by ticket")
    print_table(f"Ticket {ticket.number}", columns, rows)
    console().print(f"verdict: {verdict}")
    console().print(f"next free number: {next_number}")
    for warning in warnings:
        console().print(f"warning: {warning}")


async def history(platform: Platform, limit: int, name: str, as_json: bool) -> None:
    """Print accepted tickets, the newest first."""
    # Without a filter only the newest positions are read; the log may be long.
    after = 0 if name else await _head_position(platform) - limit
    tickets = await read_log(platform, max(0, after))
    matching = [item for item in tickets if not name or name in _names(item)]
    newest = matching[::-1][:limit]
    if as_json:
        print_json({"tickets": [item.to_document() for item in newest]})
        return
    rows = [
        (item.position, item.model.number, item.model.author, ", ".join(_names(item)))
        for item in newest
    ]
    print_table("Accepted tickets", ("position", "number", "author", "objects"), rows)


async def _head_position(platform: Platform) -> int:
    head = await platform.tables.get(HEAD_TABLE, HEAD_KEY)
    return 0 if head is None else int(head.value["position"])


async def _verdict(
    platform: Platform, ticket: TicketModel, changes: list[ObjectChange]
) -> str:
    """Return ``accept...``, ``already accepted`` or the code of a refusal."""
    accepted = await platform.tables.get(TICKETS_TABLE, ticket_key(ticket.number))
    if accepted is not None:
        same = accepted.value.get("digest") == digest_of(ticket)
        return "already accepted" if same else ResultCode.TICKET_CONFLICT.name
    if all(change.number_in_force > ticket.number for change in changes):
        return ResultCode.TICKET_SUPERSEDED.name
    if any(change.action is Action.SUPERSEDED for change in changes):
        return "accept, but some objects keep the state of a higher ticket"
    return "accept"


def _new_missing_references(ticket: TicketModel, store: TicketStore) -> list[str]:
    """Return references to missing objects that the ticket would add."""
    after = TicketStore()
    after.load_snapshot(store.snapshot())
    after.apply([Ticket(store.position + 1, ticket)])
    known = set(missing_references(store.configuration))
    return [
        line for line in missing_references(after.configuration) if line not in known
    ]


def _names(ticket: Ticket) -> list[str]:
    return [f"{item.kind}/{item.name}" for item in ticket.model.objects]


def _documents(changes: list[ObjectChange]) -> list[dict[str, object]]:
    return [asdict(change) for change in changes]


def _format_value(value: object) -> str:
    """Return a field value for a table; ``-`` when absent."""
    if value is None:
        return "-"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)
