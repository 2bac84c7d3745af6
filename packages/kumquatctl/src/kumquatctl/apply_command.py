"""The command that applies a ticket and waits until it is in force."""

import asyncio
from dataclasses import dataclass

import typer
from returns.result import Failure, Success
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquat_core.ticket_log import (
    Acceptance,
    Accepted,
    AlreadyAccepted,
    Conflict,
    Superseded,
)
from kumquat_core.ticket_models import TicketModel
from kumquat_core.tickets import TicketStore

from .output import EXIT_INCOMPLETE, console, print_json
from .platform_access import HostAnswer, Platform, ask_hosts

__all__ = ["apply"]

POLL_PERIOD_S = 0.5


@dataclass(frozen=True)
class _Spread:
    """Which live hosts have a log position in force, and which have not."""

    in_force: list[str]
    behind: dict[str, str]


async def apply(
    platform: Platform,
    ticket: TicketModel,
    wait_limit_s: float | None,
    as_json: bool,
) -> None:
    """Apply a ticket; with a limit, wait until all live hosts have it."""
    position, outcome = await _accept(platform, ticket)
    if not as_json:
        console().print(f"ticket {ticket.number}: {outcome} at position {position}")
    document: dict[str, object] = {
        "number": ticket.number,
        "outcome": outcome,
        "position": position,
    }
    spread = None
    if wait_limit_s is not None:
        spread = await _wait(platform, position, wait_limit_s, as_json)
        document["in_force"] = spread.in_force
        document["behind"] = spread.behind
    if as_json:
        print_json(document)
    if spread is not None and spread.behind:
        raise typer.Exit(EXIT_INCOMPLETE)


async def _accept(platform: Platform, ticket: TicketModel) -> tuple[int, str]:
    """Return the position and outcome; raises the code of a refusal."""
    match await platform.ticket_log().accept(ticket, TicketStore()):
        case Failure(error):
            raise _with_advice(error)
        case Success(acceptance):
            return _outcome_of(acceptance)
    raise AssertionError("a result is a success or a failure")


def _outcome_of(acceptance: Acceptance) -> tuple[int, str]:
    match acceptance:
        case Accepted(position):
            return position, "accepted"
        case AlreadyAccepted(position):
            return position, "already accepted"
        case Conflict(number, position):
            detail = f"number {number} was accepted at position {position}"
            raise RouterError(ResultCode.TICKET_CONFLICT, detail)
        case Superseded(position, numbers_by_object):
            newer = ", ".join(
                f"{name} by {number}" for name, number in numbers_by_object.items()
            )
            detail = f"logged at position {position} without effect; set: {newer}"
            raise RouterError(ResultCode.TICKET_SUPERSEDED, detail)


def _with_advice(error: RouterError) -> RouterError:
    """Say whether the ticket can have been accepted."""
    if error.execution is Execution.UNKNOWN:
        advice = (
            "the ticket may have been accepted; run the same command again to settle it"
        )
    else:
        advice = "the ticket was not accepted"
    return RouterError(
        error.code, f"{error.detail}; {advice}", execution=error.execution
    )


async def _wait(
    platform: Platform, position: int, limit_s: float, as_json: bool
) -> _Spread:
    """Poll all live hosts until they report the position, or the limit."""
    screen = console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=screen, disable=as_json) as progress:
        bar = progress.add_task("in force on hosts", total=None)
        rounds = int(limit_s / POLL_PERIOD_S)
        spread = await _poll(platform, position)
        for _ in range(rounds):
            total = len(spread.in_force) + len(spread.behind)
            progress.update(bar, completed=len(spread.in_force), total=total)
            if not spread.behind:
                break
            await asyncio.sleep(POLL_PERIOD_S)
            spread = await _poll(platform, position)
        total = len(spread.in_force) + len(spread.behind)
        progress.update(bar, completed=len(spread.in_force), total=total)
    if not as_json:
        _print_spread(spread)
    return spread


async def _poll(platform: Platform, position: int) -> _Spread:
    hosts = await platform.live_hosts()
    spread = _Spread([], {})
    for answer in await ask_hosts(platform, hosts, "GET", "/admin/status"):
        reason = _reason_behind(answer, position)
        if reason:
            spread.behind[answer.host.host_id] = reason
        else:
            spread.in_force.append(answer.host.host_id)
    return spread


def _reason_behind(answer: HostAnswer, position: int) -> str:
    """Return why a host does not count yet; empty when it does."""
    if not answer.ok:
        return answer.error or f"status {answer.status}"
    present = answer.document.get("ticket_position", 0)
    return "" if present >= position else f"at position {present}"


def _print_spread(spread: _Spread) -> None:
    if not spread.behind:
        console().print(f"in force on all {len(spread.in_force)} live host(s)")
        return
    screen = console(stderr=True)
    for host_id, reason in spread.behind.items():
        screen.print(f"{host_id}: {reason}")
    screen.print(
        f"{len(spread.behind)} host(s) do not have it yet; they get it without "
        "further action once they reach the store or a peer"
    )
