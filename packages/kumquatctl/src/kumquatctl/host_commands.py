"""The commands on hosts and requests in memory."""

from typing import Any

import typer

from kumquat_core.host_list_client import ListedHost
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import ResultCode, RouterError

from .output import EXIT_INCOMPLETE, console, fail, print_json, print_table
from .platform_access import HostAnswer, Platform, ask_hosts

__all__ = ["drain", "explain", "status"]

# The owner decides before the entry host learns of it, often within the
# same millisecond.
OWNER_STEP = "owner"


async def status(platform: Platform, as_json: bool) -> None:
    """Show every live host of the host list."""
    hosts = await platform.live_hosts()
    answers = await ask_hosts(platform, hosts, "GET", "/admin/status")
    if as_json:
        print_json({"hosts": [_document(answer) for answer in answers]})
    else:
        columns = ("host", "region", "domain", "state", "position", "requests", "store")
        print_table("Entry hosts", columns, [_status_row(item) for item in answers])
        _print_errors(answers)
    if not all(answer.ok and answer.document.get("ready") for answer in answers):
        raise typer.Exit(EXIT_INCOMPLETE)


def _status_row(answer: HostAnswer) -> tuple[object, ...]:
    host = answer.host
    if not answer.ok:
        return (host.host_id, host.region, host.failure_domain, "no answer", "", "", "")
    document = answer.document
    if document.get("draining"):
        state = "draining"
    else:
        state = "ready" if document.get("ready") else "not ready"
    store = "ok" if document.get("store", {}).get("healthy", True) else "failing"
    return (
        host.host_id,
        host.region,
        host.failure_domain,
        state,
        document.get("ticket_position", "?"),
        document.get("in_progress", "?"),
        store,
    )


async def explain(platform: Platform, request_id: str, as_json: bool) -> None:
    """Collect the decisions about a request from all live hosts.

    The entry host that took the request and the owners that granted engines
    each keep their own decisions in memory. Owners know the attempts of a
    request, not the request.
    """
    try:
        origin = RequestId.parse(request_id)
    except ValueError as error:
        detail = "a request id looks like HOST.INCARNATION.SEQUENCE"
        raise RouterError(ResultCode.INVALID_FIELD, detail) from error
    hosts = await platform.live_hosts()
    decisions = await _decisions_of(platform, hosts, request_id)
    attempt_ids = {item["attempt_id"] for item in decisions} - {"", request_id}
    for attempt_id in sorted(attempt_ids):
        for decision in await _decisions_of(platform, hosts, attempt_id):
            if decision not in decisions:
                decisions.append(decision)
    decisions.sort(key=lambda item: (item["at_ms"], item["step"] != OWNER_STEP))
    if as_json:
        print_json({"request_id": request_id, "decisions": decisions})
    elif decisions:
        rows = [
            (item["at_ms"], item["host_id"], item["step"], item["result"], inputs)
            for item in decisions
            for inputs in [_inputs_text(item["inputs"])]
        ]
        columns = ("time (ms)", "host", "step", "result", "inputs")
        print_table(f"Request {request_id}", columns, rows)
    if not decisions:
        _explain_nothing_found(origin, hosts, as_json)


async def _decisions_of(
    platform: Platform, hosts: list[ListedHost], identifier: str
) -> list[dict[str, Any]]:
    path = f"/admin/explain/{identifier}"
    answers = await ask_hosts(platform, hosts, "GET", path)
    return [
        {**decision, "host_id": answer.host.host_id}
        for answer in answers
        if answer.ok
        for decision in answer.document["decisions"]
    ]


def _inputs_text(inputs: dict[str, object]) -> str:
    return "\n".join(f"{name}={value}" for name, value in inputs.items())


def _explain_nothing_found(
    origin: RequestId, hosts: list[ListedHost], as_json: bool
) -> None:
    """Say why no host knows the request; exit as incomplete."""
    if not as_json:
        listed = origin.host_id in {host.host_id for host in hosts}
        reason = (
            "Hosts keep a limited number of recent requests in memory."
            if listed
            else f"Host {origin.host_id} is no longer live; its memory is gone."
        )
        console(stderr=True).print(f"no decision found. {reason}")
    raise typer.Exit(EXIT_INCOMPLETE)


async def drain(
    platform: Platform, host_id: str, draining: bool, as_json: bool
) -> None:
    """Drain one host, or let it take requests again."""
    hosts = (await platform.host_list.fetch()).hosts
    chosen = [host for host in hosts if host.host_id == host_id]
    if not chosen:
        known = ", ".join(sorted(host.host_id for host in hosts)) or "none"
        detail = f"no host {host_id} in the host list; listed: {known}"
        fail(RouterError(ResultCode.INVALID_FIELD, detail), as_json=as_json)
    path = "/admin/drain" if draining else "/admin/undrain"
    [answer] = await ask_hosts(platform, chosen, "POST", path)
    if as_json:
        print_json(_document(answer))
    elif answer.ok:
        streams = answer.document.get("in_progress", "?")
        state = "draining" if draining else "taking requests"
        console().print(f"{host_id}: {state}, {streams} request(s) in progress")
    else:
        _print_errors([answer])
    if not answer.ok:
        raise typer.Exit(EXIT_INCOMPLETE)


def _document(answer: HostAnswer) -> dict[str, object]:
    document: dict[str, object] = {"host_id": answer.host.host_id, "ok": answer.ok}
    if answer.ok:
        document["answer"] = answer.document
    else:
        document["error"] = _error_text(answer)
    return document


def _error_text(answer: HostAnswer) -> str:
    return answer.error or f"status {answer.status}"


def _print_errors(answers: list[HostAnswer]) -> None:
    for answer in answers:
        if not answer.ok:
            line = f"{answer.host.host_id}: {_error_text(answer)}"
            console(stderr=True).print(line)
