"""Generates the tables of ``docs/configuration.md`` from the pydantic models.

The page keeps its own text; only the lines between a pair of markers
(``<!-- table NAME -->`` and ``<!-- end -->``) are generated. A test compares
them with the models, and ``python -m kumquat_lab doc-tables`` rewrites them.
"""

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel

from kumquat_core.settings import SettingsModel
from kumquat_core.ticket_models import STATE_MODELS_BY_KIND
from kumquatctl.tool_settings import ToolSettings

__all__ = ["MISSING_TEXT", "field_table", "render_page", "table_names"]

MISSING_TEXT = "(no description)"
MARKED_TABLE = re.compile(r"(<!-- table ([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)

_TEXTS_BY_TABLE: dict[str, dict[str, str]] = {
    "settings": {
        "host_id": "Name of this host, the same as in the host list",
        "region": "Region; the host owns shards of this region's pools only",
        "failure_domain": "Failure domain of the host",
        "caller_listen.ip": "Address for callers",
        "caller_listen.port": "Port for callers",
        "admin_listen.ip": "Address for the balancer, metrics and operators; "
        "it has no authentication, so keep it on a private network",
        "admin_listen.port": "Port of the admin listener",
        "peer_listen.ip": "Address for other entry hosts",
        "peer_listen.port": "Port for other entry hosts",
        "platform.table_service_url": "Base URL of the table service",
        "platform.object_store_url": "Base URL of the object store",
        "platform.host_list_url": "Base URL of the host list",
        "platform.weight_store_url": "Base URL of the weight store",
        "peer_key_file": "File with the key shared by all entry hosts, relative to "
        "the settings file; at least 16 bytes",
        "policy": "Routing policy; all but `kumquat` are baselines for comparison",
        "disabled_rules": "Names of routing decisions to leave out, for experiments",
        "log_level": "Least level that is logged",
        "seed": "Seed of random choices; the host id is mixed in",
        "limits.max_body_bytes": "Largest request body in bytes",
        "limits.max_header_bytes": "Longest head of a request in bytes; a longer one "
        "gets 431 (code 1112)",
        "limits.body_timeout_s": "Longest time for a body to arrive, in seconds",
        "limits.max_streams": "Most requests in progress; further ones are refused",
        "limits.stream_buffer_bytes": "Bytes kept for a slow caller before the "
        "router stops reading from the engine",
        "limits.drain_notice_s": "Time in seconds for which a draining host still "
        "takes requests",
        "limits.drain_limit_s": "Longest drain in seconds; then the process ends",
        "limits.memory_mb": "Memory of the machine in MB; 40 % of what exceeds 58 MB, "
        "and at least 8 MB, may be taken by requests and responses of callers; "
        "without it 512 MB may be taken",
        "limits.max_descriptors": "Descriptors of the process; callers may have three "
        "quarters of those beyond 200, and at least 32; without it the soft limit of "
        "the process counts, at most 65,536",
        "timing.ticket_poll_s": "Period of reading the ticket log, in seconds",
        "timing.host_list_poll_s": "Period of reading the host list, in seconds",
        "timing.report_poll_s": "Period of reading engine reports, in seconds",
        "timing.max_reports_per_s": "Most engine reports that a host reads a second",
        "timing.ping_period_s": "Period of the heartbeat, in seconds",
        "timing.ping_timeout_s": "Time for an answer to a heartbeat, in seconds",
        "timing.suspicion_s": "Time from suspicion to death, in seconds",
        "timing.store_timeout_s": "Time for an answer of the platform, in seconds",
        "timing.engine_connect_timeout_s": "Time to connect to an engine, in seconds",
        "timing.stream_idle_timeout_s": "Longest silence of a token stream, in seconds",
        "timing.intent_lease_s": "Age at which another host takes over the record of "
        "a request that was not dispatched, in seconds",
    },
    "tool": {
        "table_service_url": "Base URL of the table service",
        "object_store_url": "Base URL of the object store",
        "host_list_url": "Base URL of the host list",
        "admin_port": "Admin port of hosts that are not in `admin_urls_by_host`",
        "admin_urls_by_host": "Base URL of the admin listener by host id",
        "timeout_s": "Time for each call, in seconds",
    },
    "model": {
        "version": "Version that engines load",
        "bytes_per_token": "Bytes of prompt text for one token, to count tokens",
        "max_prompt_tokens": "Longest prompt in tokens",
        "max_output_tokens": "Largest `max_tokens` a caller may ask for",
        "kv_bytes_per_token": "Bytes of KV cache for one token, to time transfers",
    },
    "pool": {
        "region": "Region of the pool's engines",
        "models": "Models the pool serves",
    },
    "engine": {
        "url": "Base URL",
        "pool": "Pool the engine belongs to",
        "failure_domain": "Failure domain",
        "role": "What the engine does",
        "models": "Models the engine has loaded",
        "state": "`leaving`: no new work; streams end normally",
        "total_pieces": "Memory in pieces",
        "piece_tokens": "Tokens in one piece",
        "max_requests": "Most requests at once",
        "prefill_tokens_per_s": "Nominal prefill rate in tokens a second",
        "link_bytes_per_s": "Nominal rate of KV transfers in bytes a second",
        "step_base_ms": "Nominal time of a decode step without requests, in ms",
        "step_request_ms": "Further time of a step for each request, in ms",
        "checks_fencing": "Whether the engine rejects old fencing numbers",
    },
    "backend_server": {
        "url": "Base URL",
        "service": "Service the server belongs to",
        "failure_domain": "Failure domain",
        "state": "`leaving`: no new work after at most one poll (2 s)",
        "checks_fencing": "Whether the server rejects old fencing numbers; "
        "say true only when it does, because outcomes are decided by it",
    },
    "service": {
        "kind": "What stands behind the service",
        "repeatable": "Whether a call may run twice; GET and HEAD always may",
        "timeout_ms": "Longest time of a call in ms",
    },
    "class": {
        "ttft_target_ms": "Target for the time to the first token, in ms",
        "tbt_target_ms": "Target for the time between tokens, in ms",
        "patience_ms": "Longest useful time to the first token, in ms",
        "deadline_ms": "Longest time of the whole answer, in ms",
        "priority": "Higher goes first at equal slack",
    },
    "tenant": {
        "api_key_sha256": "Hashes of the API keys; `kumquatctl hash-key` prints "
        "one. Two entries allow a change of key without a gap",
        "default_class": "Class of requests without `X-Request-Class`",
        "weight": "Share of capacity relative to other tenants at a peak",
        "max_concurrent": "Most requests at once",
        "requests_per_s": "Most requests a second",
    },
    "rule": {
        "tenant": "Tenant the rule is for; `*` is every tenant",
        "service": "Plain service that the tenant may call, or empty",
        "model": "Model that the tenant may use, or empty",
        "pool": "Pool that serves the model",
    },
}

_MODELS_BY_TABLE: dict[str, type[BaseModel]] = {
    "settings": SettingsModel,
    "tool": ToolSettings,
    **STATE_MODELS_BY_KIND,
}


@dataclass(frozen=True)
class _Field:
    path: str
    form: str
    default: str


def table_names() -> list[str]:
    """Return the names of all tables."""
    return list(_MODELS_BY_TABLE)


def render_page(text: str) -> str:
    """Return a page with the content of its marked tables replaced."""

    def replace(match: re.Match[str]) -> str:
        return match.group(1) + field_table(match.group(2)) + match.group(3)

    return MARKED_TABLE.sub(replace, text)


def field_table(name: str) -> str:
    """Return the Markdown table of the fields of one model."""
    schema = _MODELS_BY_TABLE[name].model_json_schema()
    texts = _TEXTS_BY_TABLE.get(name, {})
    lines = ["| field | form | default | meaning |", "|---|---|---|---|"]
    for field in _fields(schema, schema.get("$defs", {}), ""):
        text = texts.get(field.path, MISSING_TEXT)
        lines.append(f"| `{field.path}` | {field.form} | {field.default} | {text} |")
    return "\n".join(lines) + "\n"


def _fields(
    schema: Mapping[str, Any], definitions: Mapping[str, Any], prefix: str
) -> list[_Field]:
    fields: list[_Field] = []
    required = set(schema.get("required", []))
    for name, item in schema["properties"].items():
        resolved = _resolve(item, definitions)
        if "properties" in resolved:
            fields += _fields(resolved, definitions, f"{prefix}{name}.")
            continue
        default = "required" if name in required else _default_text(item.get("default"))
        fields.append(_Field(prefix + name, _form(resolved, definitions), default))
    return fields


def _resolve(item: Mapping[str, Any], definitions: Mapping[str, Any]) -> Any:
    reference = item.get("$ref")
    if reference is None:
        return item
    return {**definitions[reference.rsplit("/", 1)[1]], **item}


def _default_text(value: Any) -> str:
    return "none" if value is None else f"`{json.dumps(value)}`"


def _form(item: Mapping[str, Any], definitions: Mapping[str, Any]) -> str:
    item = _resolve(item, definitions)
    if "anyOf" in item:
        forms = [_form(part, definitions) for part in item["anyOf"]]
        return " or ".join(form for form in forms if form != "null")
    if "enum" in item:
        return ", ".join(f"`{value}`" for value in item["enum"])
    if "const" in item:
        return f"`{json.dumps(item['const'])}`"
    match item.get("type"):
        case "array":
            return "list of " + _form(item.get("items", {}), definitions)
        case "object":
            return "object"
        case "string":
            return _string_form(item)
        case kind:
            return f"{kind}{_bounds(item)}"


def _string_form(item: Mapping[str, Any]) -> str:
    pattern = item.get("pattern", "")
    if pattern.startswith("^https?"):
        return "URL"
    if "a-fA-F" in pattern:
        return "IP address"
    if "{64}" in pattern:
        return "64 hex digits"
    if item.get("format") == "path":
        return "path"
    return "name" if pattern else "string"


def _bounds(item: Mapping[str, Any]) -> str:
    signs = {
        "exclusiveMinimum": "> ",
        "minimum": ">= ",
        "exclusiveMaximum": "< ",
        "maximum": "<= ",
    }
    bounds = [f"{sign}{item[key]}" for key, sign in signs.items() if key in item]
    return " " + ", ".join(bounds) if bounds else ""
