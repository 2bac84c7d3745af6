"""The ``apply`` command: submits a ticket and waits until hosts apply it."""

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
from .platform_access import HostResponse, Platform, call_hosts

__all__ = ["apply"]

POLL_PERIOD_S = 0.5


@dataclass(frozen=True)
class _Rollout:
    """Live hosts that have applied a log position, and those that lag.

    ``behind`` maps the id of a lagging host to the reason.
    """

    in_force: list[str]
    behind: dict[str, str]


async def apply(
    platform: Platform,
    ticket: TicketModel,
    wait_limit_s: float | None,
    as_json: bool,
) -> None:
    """Submit a ticket; with a limit, wait until all live hosts apply it."""
    position, outcome = await _accept(platform, ticket)
    if not as_json:
        console().print(f"ticket {ticket.number}: {outcome} at position {position}")
    document: dict[str, object] = {
        "number": ticket.number,
        "outcome": outcome,
        "position": position,
    }
    rollout = None
    if wait_limit_s is not None:
        rollout = await _wait_for_hosts(platform, position, wait_limit_s, as_json)
        document["in_force"] = rollout.in_force
        document["behind"] = rollout.behind
    if as_json:
        print_json(document)
    if rollout is not None and rollout.behind:
        raise typer.Exit(EXIT_INCOMPLETE)


async def _accept(platform: Platform, ticket: TicketModel) -> tuple[int, str]:
    """Append a ticket to the log; returns its position and the outcome.

    Raises ``RouterError`` with the code of the refusal.
    """
    match await platform.ticket_log().accept(ticket, TicketStore()):
        case Failure(error):
            raise _with_advice(error)
        case Success(acceptance):
            return _outcome_of(acceptance)
    raise AssertionError("a result is a success or a failure")


def _outcome_of(acceptance: Acceptance) -> tuple[int, str]:
    """Return position and outcome; raises when the ticket has no effect."""
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
    """Add to an error whether the ticket may have been accepted."""
    if error.execution is Execution.UNKNOWN:
        advice = (
            "the ticket may have been accepted; run the same command again to settle it"
        )
    else:
        advice = "the ticket was not accepted"
    return RouterError(
        error.code, f"{error.detail}; {advice}", execution=error.execution
    )


async def _wait_for_hosts(
    platform: Platform, position: int, limit_s: float, as_json: bool
) -> _Rollout:
    """Poll all live hosts until they report the position or time is up."""
    screen = console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=screen, disable=as_json) as progress:
        bar = progress.add_task("applied by hosts", total=None)
        rounds = int(limit_s / POLL_PERIOD_S)
        rollout = await _poll_hosts(platform, position)
        for _ in range(rounds):
            total = len(rollout.in_force) + len(rollout.behind)
            progress.update(bar, completed=len(rollout.in_force), total=total)
            if not rollout.behind:
                break
            await asyncio.sleep(POLL_PERIOD_S)
            rollout = await _poll_hosts(platform, position)
        total = len(rollout.in_force) + len(rollout.behind)
        progress.update(bar, completed=len(rollout.in_force), total=total)
    if not as_json:
        _print_rollout(rollout)
    return rollout


async def _poll_hosts(platform: Platform, position: int) -> _Rollout:
    """Ask every live host once which log position it has applied."""
    hosts = await platform.live_hosts()
    rollout = _Rollout([], {})
    for response in await call_hosts(platform, hosts, "GET", "/admin/status"):
        reason = _reason_behind(response, position)
        if reason:
            rollout.behind[response.host.host_id] = reason
        else:
            rollout.in_force.append(response.host.host_id)
    return rollout


def _reason_behind(response: HostResponse, position: int) -> str:
    """Return why a host lags behind a position; empty when it does not."""
    if not response.ok:
        return response.error or f"status {response.status}"
    reported = response.document.get("ticket_position", 0)
    return "" if reported >= position else f"at position {reported}"


def _print_rollout(rollout: _Rollout) -> None:
    if not rollout.behind:
        console().print(f"applied by all {len(rollout.in_force)} live host(s)")
        return
    screen = console(stderr=True)
    for host_id, reason in rollout.behind.items():
        screen.print(f"{host_id}: {reason}")
    screen.print(
        f"{len(rollout.behind)} host(s) have not applied it yet; they will do so "
        "without further action once they reach the store or a peer"
    )
