"""What is wrong with a configuration, found before it is submitted.

Load pattern: an operator checks one document of thousands of routes and keys
at a time. Hosts accept each document that can be read, so an entry that has no
effect or contradicts another one shows only when callers are refused.

Nothing here prints a key: findings name the accounts that hold it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from kumquat_relay.routes import Route, RouteKind, RouteTable

__all__ = ["Finding", "FindingKind", "check_configuration"]


class FindingKind(Enum):
    """What a finding means; only an error prevents the submission.

    ``ERROR``: requests fail or hosts ignore the document. ``NO_EFFECT``: an
    entry can never match. ``CONTRADICTION``: two limits that cannot both be
    meant. ``DIFFERENCE``: what changes against the version in force.
    """

    ERROR = "error"
    NO_EFFECT = "no_effect"
    CONTRADICTION = "contradiction"
    DIFFERENCE = "difference"


@dataclass(frozen=True)
class Finding:
    """One finding: the entry it concerns and what is the matter with it."""

    kind: FindingKind
    subject: str
    detail: str


def check_configuration(table: RouteTable) -> list[Finding]:
    """Return the findings in one configuration, errors first."""
    findings = [
        *_route_findings(table),
        *_service_findings(table),
        *_limit_findings(table),
        *_account_findings(table),
    ]
    order = list(FindingKind)
    return sorted(findings, key=lambda finding: order.index(finding.kind))


def _route_findings(table: RouteTable) -> Iterator[Finding]:
    first_names: dict[tuple[str, str], str] = {}
    for route in table.routes:
        subject = f"route {route.name}"
        first = first_names.setdefault((route.host.lower(), route.prefix), route.name)
        is_path = route.prefix.startswith("/")
        if not is_path or table.match(route.host, route.prefix) is not route:
            yield Finding(
                FindingKind.NO_EFFECT, subject, _unmatched_reason(route, first)
            )
        yield from _target_findings(table, route, subject)
        yield from _time_findings(route, subject)
        if route.anonymous and table.accounts is None:
            detail = "anonymous, but there are no client accounts"
            yield Finding(FindingKind.NO_EFFECT, subject, detail)


def _unmatched_reason(route: Route, first: str) -> str:
    """Return why no request matches a route."""
    if ":" in route.host:
        return "the host has a port, which is not compared"
    if not route.prefix.startswith("/"):
        return "the prefix does not begin with a slash"
    if "?" in route.prefix:
        return "the prefix contains a query, which is not compared"
    return f"route {first} has the same host and prefix and comes first"


def _target_findings(
    table: RouteTable, route: Route, subject: str
) -> Iterator[Finding]:
    """Yield what is wrong with the services of a route."""
    for target in route.services:
        spec = table.services_by_name.get(target.service)
        if spec is None:
            detail = f"service {target.service} is not in the document"
            yield Finding(FindingKind.ERROR, subject, detail)
        elif route.kind is RouteKind.STREAM and spec.engine is None:
            detail = f"a stream, but service {target.service} has no model engines"
            yield Finding(FindingKind.ERROR, subject, detail)
        elif route.kind is not RouteKind.STREAM and spec.engine is not None:
            detail = f"no stream, but service {target.service} has model engines"
            yield Finding(FindingKind.CONTRADICTION, subject, detail)
    if len(route.services) == 1:
        return
    if not any(target.weight for target in route.services):
        last = route.services[-1].service
        detail = f"all weights are 0, so service {last} gets all requests"
        yield Finding(FindingKind.CONTRADICTION, subject, detail)
        return
    for target in route.services:
        if target.weight == 0:
            detail = f"service {target.service} has the weight 0"
            yield Finding(FindingKind.NO_EFFECT, subject, detail)


def _time_findings(route: Route, subject: str) -> Iterator[Finding]:
    """Yield what is wrong with the times of a route."""
    if route.timeout_ms == 0:
        detail = "the timeout is 0, so every request is refused"
        yield Finding(FindingKind.ERROR, subject, detail)
        return
    for name, value_ms in (
        ("latency objective", route.objective_ms),
        ("longest pause between events", route.max_gap_ms),
    ):
        if value_ms > route.timeout_ms:
            detail = f"timeout of {route.timeout_ms} ms, but {name} of {value_ms} ms"
            yield Finding(FindingKind.CONTRADICTION, subject, detail)


def _service_findings(table: RouteTable) -> Iterator[Finding]:
    named = {target.service for route in table.routes for target in route.services}
    for name in table.services_by_name:
        if name not in named:
            detail = "no route names it"
            yield Finding(FindingKind.NO_EFFECT, f"service {name}", detail)


def _limit_findings(table: RouteTable) -> Iterator[Finding]:
    limits = table.limits
    for name, value in (
        ("request heads", limits.max_header_bytes),
        ("the time of a request head", limits.header_timeout_ms),
        ("the idle time of connections", limits.idle_timeout_ms),
    ):
        if value == 0:
            detail = f"the limit on {name} is 0, so no request can be read"
            yield Finding(FindingKind.ERROR, "limits", detail)
    if limits.max_header_bytes > limits.max_body_bytes:
        detail = (
            f"request heads may have {limits.max_header_bytes} bytes, "
            f"bodies only {limits.max_body_bytes}"
        )
        yield Finding(FindingKind.CONTRADICTION, "limits", detail)


def _account_findings(table: RouteTable) -> Iterator[Finding]:
    accounts = table.accounts
    if accounts is None:
        return
    closed = [route.name for route in table.routes if not route.anonymous]
    if closed and not accounts.names_by_key:
        detail = f"nobody holds a key, so {len(closed)} routes answer 401 only"
        yield Finding(FindingKind.ERROR, "accounts", detail)
    for holder, other in accounts.contested_keys:
        detail = f"shares a key with account {holder}, which has it"
        yield Finding(FindingKind.NO_EFFECT, f"account {other}", detail)
    holders = set(accounts.names_by_key.values())
    for name, account in accounts.by_name.items():
        subject, quota = f"account {name}", account.quota
        if name not in holders:
            entry = "a quota" if quota is not None else "an entry"
            kind = FindingKind.CONTRADICTION if quota else FindingKind.NO_EFFECT
            yield Finding(kind, subject, f"{entry}, but no key of its own")
        if quota is None:
            continue
        unit = "tokens" if quota.counts_tokens else "requests"
        cost = max(1, quota.default_tokens) if quota.counts_tokens else 1
        if quota.burst < cost:
            detail = f"burst of {quota.burst:g} {unit}, but one request costs {cost}"
            yield Finding(FindingKind.CONTRADICTION, subject, detail)
        if quota.counts_tokens and quota.default_tokens == 0:
            detail = "a quota of tokens, but requests without counts cost none"
            yield Finding(FindingKind.CONTRADICTION, subject, detail)
