"""The commands that call hosts: ``status``, ``explain`` and ``drain``."""

from typing import Any

import typer

from kumquat_core.host_list_client import ListedHost
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import ResultCode, RouterError

from .output import EXIT_INCOMPLETE, console, fail, print_json, print_table
from .platform_access import HostResponse, Platform, call_hosts

__all__ = ["drain", "explain", "status"]

# Sorts first among decisions of the same millisecond: the owner of the shard
# decides before the entry host receives the result.
OWNER_STEP = "owner"


async def status(platform: Platform, as_json: bool) -> None:
    """Print the state of every live host of the host list."""
    hosts = await platform.live_hosts()
    responses = await call_hosts(platform, hosts, "GET", "/admin/status")
    if as_json:
        print_json({"hosts": [_document(response) for response in responses]})
    else:
        columns = ("host", "region", "domain", "state", "position", "requests", "store")
        print_table("Entry hosts", columns, [_status_row(item) for item in responses])
        _print_errors(responses)
    if not all(
        response.ok and response.document.get("ready") for response in responses
    ):
        raise typer.Exit(EXIT_INCOMPLETE)


def _status_row(response: HostResponse) -> tuple[object, ...]:
    """Return the table row of one host."""
    host = response.host
    if not response.ok:
        return (host.host_id, host.region, host.failure_domain, "no answer", "", "", "")
    document = response.document
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
    """Print the decisions about a request, collected from all live hosts.

    The entry host that received the request and the shard owners that
    granted engines each keep their own decisions in memory. Owners record
    attempt ids, not the request id, so the attempts found first are queried
    as well.
    """
    try:
        origin = RequestId.parse(request_id)
    except ValueError as error:
        detail = "a request id looks like HOST.INCARNATION.SEQUENCE"
        raise RouterError(ResultCode.INVALID_FIELD, detail) from error
    hosts = await platform.live_hosts()
    decisions = await _fetch_decisions(platform, hosts, request_id)
    attempt_ids = {item["attempt_id"] for item in decisions} - {"", request_id}
    for attempt_id in sorted(attempt_ids):
        for decision in await _fetch_decisions(platform, hosts, attempt_id):
            if decision not in decisions:
                decisions.append(decision)
    decisions.sort(key=lambda item: (item["at_ms"], item["step"] != OWNER_STEP))
    if as_json:
        print_json({"request_id": request_id, "decisions": decisions})
    elif decisions:
        rows = [
            (item["at_ms"], item["host_id"], item["step"], item["result"], inputs)
            for item in decisions
            for inputs in [_format_inputs(item["inputs"])]
        ]
        columns = ("time (ms)", "host", "step", "result", "inputs")
        print_table(f"Request {request_id}", columns, rows)
    if not decisions:
        _report_no_decisions(origin, hosts, as_json)


async def _fetch_decisions(
    platform: Platform, hosts: list[ListedHost], identifier: str
) -> list[dict[str, Any]]:
    """Return the decisions that hosts hold about a request or attempt id."""
    path = f"/admin/explain/{identifier}"
    responses = await call_hosts(platform, hosts, "GET", path)
    return [
        {**decision, "host_id": response.host.host_id}
        for response in responses
        if response.ok
        for decision in response.document["decisions"]
    ]


def _format_inputs(inputs: dict[str, object]) -> str:
    """Return the inputs of a decision, one a line."""
    return "\n".join(f"{name}={value}" for name, value in inputs.items())


def _report_no_decisions(
    origin: RequestId, hosts: list[ListedHost], as_json: bool
) -> None:
    """Print why no host knows the request; exits with ``EXIT_INCOMPLETE``."""
    if not as_json:
        listed = origin.host_id in {host.host_id for host in hosts}
        reason = (
            "Hosts keep a limited number of recent requests in memory."
            if listed
            else f"Host {origin.host_id} is no longer live; its records are lost."
        )
        console(stderr=True).print(f"no decision found. {reason}")
    raise typer.Exit(EXIT_INCOMPLETE)


async def drain(
    platform: Platform, host_id: str, draining: bool, as_json: bool
) -> None:
    """Drain one host, or let it accept requests again."""
    hosts = (await platform.host_list.fetch()).hosts
    chosen = [host for host in hosts if host.host_id == host_id]
    if not chosen:
        known = ", ".join(sorted(host.host_id for host in hosts)) or "none"
        detail = f"no host {host_id} in the host list; listed: {known}"
        fail(RouterError(ResultCode.INVALID_FIELD, detail), as_json=as_json)
    path = "/admin/drain" if draining else "/admin/undrain"
    [response] = await call_hosts(platform, chosen, "POST", path)
    if as_json:
        print_json(_document(response))
    elif response.ok:
        in_progress = response.document.get("in_progress", "?")
        state = "draining" if draining else "accepting requests"
        console().print(f"{host_id}: {state}, {in_progress} request(s) in progress")
    else:
        _print_errors([response])
    if not response.ok:
        raise typer.Exit(EXIT_INCOMPLETE)


def _document(response: HostResponse) -> dict[str, object]:
    """Return the JSON document of a host's response or of its error."""
    document: dict[str, object] = {"host_id": response.host.host_id, "ok": response.ok}
    if response.ok:
        document["answer"] = response.document
    else:
        document["error"] = _error_text(response)
    return document


def _error_text(response: HostResponse) -> str:
    return response.error or f"status {response.status}"


def _print_errors(responses: list[HostResponse]) -> None:
    for response in responses:
        if not response.ok:
            line = f"{response.host.host_id}: {_error_text(response)}"
            console(stderr=True).print(line)
