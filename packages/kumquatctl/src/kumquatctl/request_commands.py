"""The ``requests`` command: shows the record of a non-repeatable request."""

from datetime import UTC, datetime

from kumquat_core.request_records import (
    RECORDS_TABLE,
    Record,
    RecordState,
    record_key,
)
from kumquat_core.result_codes import ResultCode, RouterError

from .output import console, print_json, print_table
from .platform_access import Platform

__all__ = ["show"]

_TEXTS_BY_STATE = {
    RecordState.INTENT: "Not sent yet. An attempt may still send it; it has not run.",
    RecordState.DISPATCHED: "Sent or about to be sent by its host. It may have run.",
    RecordState.DONE: "It ran once and the response is recorded.",
    RecordState.CANCELLED: "It did not run. The caller may retry it.",
    RecordState.UNKNOWN: (
        "It may have run and is not sent again. Ask the backend server's "
        "operators whether it ran before the caller uses another key."
    ),
}


async def show(
    platform: Platform, tenant: str, service: str, key: str, as_json: bool
) -> None:
    """Print the record of an idempotency key, or of a request without one."""
    record = await _find_record(platform, tenant, service, key)
    document = record.to_document()
    outcome = record.outcome or {}
    document["outcome"] = {
        name: outcome[name] for name in ("status", "content_type") if name in outcome
    }
    if as_json:
        print_json({"record": document, "meaning": _TEXTS_BY_STATE[record.state]})
        return
    created = datetime.fromtimestamp(record.created_ms / 1000, UTC)
    rows = [
        ("state", record.state.value),
        ("attempt", record.attempt),
        ("fence", record.fence),
        ("created", created.isoformat(timespec="milliseconds")),
        ("backend server", record.server_url),
        ("checks fencing", record.checks_fencing),
        ("answer status", outcome.get("status", "-")),
    ]
    print_table(f"{tenant} / {service} / {key}", ("field", "value"), rows)
    console().print(_TEXTS_BY_STATE[record.state])


async def _find_record(
    platform: Platform, tenant: str, service: str, key: str
) -> Record:
    """Return the record of a key, or of a request id where there is none."""
    for row_key in (
        record_key(tenant, service, key, ""),
        record_key(tenant, service, None, key),
    ):
        row = await platform.tables.get(RECORDS_TABLE, row_key)
        if row is not None:
            try:
                return Record.from_document(row.value)
            except ValueError as error:
                detail = f"the record of {row_key} is unreadable"
                raise RouterError(ResultCode.INVALID_FIELD, detail) from error
    detail = (
        f"no record of {tenant} / {service} / {key}: no such request was sent, "
        "unless tenant, service or key is misspelt"
    )
    raise RouterError(ResultCode.INVALID_FIELD, detail)
