"""What a configuration changes against the version in force.

Load pattern: documents have thousands of entries, of which a change concerns a
few. Entries are compared by name. Keys are counted and never printed.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import asdict

from kumquat_relay.accounts.client_accounts import ClientAccounts
from kumquat_relay.routes import Route, RouteTable

from .configuration_findings import Finding, FindingKind

__all__ = ["compare_configurations"]


def compare_configurations(table: RouteTable, in_force: RouteTable) -> list[Finding]:
    """Return what ``table`` changes, an error first if hosts would ignore it.

    A version that is not newer is not applied, whatever it contains.
    """
    findings = [
        *_named_differences("route", _routes_by_name(table), _routes_by_name(in_force)),
        *_named_differences(
            "service",
            {name: asdict(s) for name, s in table.services_by_name.items()},
            {name: asdict(s) for name, s in in_force.services_by_name.items()},
        ),
        *_changed("limits", asdict(table.limits), asdict(in_force.limits)),
        *_account_differences(table.accounts, in_force.accounts),
    ]
    if table.version != in_force.version:
        detail = f"{in_force.version} -> {table.version}"
        findings.insert(0, _difference("version", detail))
    if findings and table.version <= in_force.version:
        detail = f"hosts have {in_force.version} and ignore {table.version}"
        findings.insert(0, Finding(FindingKind.ERROR, "version", detail))
    return findings


def _difference(subject: str, detail: str) -> Finding:
    return Finding(FindingKind.DIFFERENCE, subject, detail)


def _routes_by_name(table: RouteTable) -> dict[str, dict[str, object]]:
    """Return the fields of the routes; the first of equal names counts."""
    routes: dict[str, dict[str, object]] = {}
    for route in table.routes:
        routes.setdefault(route.name, _route_fields(route))
    return routes


def _route_fields(route: Route) -> dict[str, object]:
    shares = [f"{item.service} {item.weight}" for item in route.services]
    fields = {**vars(route), "kind": route.kind.value, "services": ", ".join(shares)}
    del fields["name"]
    return fields


def _named_differences(
    kind: str,
    new: Mapping[str, dict[str, object]],
    old: Mapping[str, dict[str, object]],
) -> Iterator[Finding]:
    """Yield the entries that are added, removed or changed."""
    for name in [*new, *(name for name in old if name not in new)]:
        subject = f"{kind} {name}"
        if name not in old:
            yield _difference(subject, "added")
        elif name not in new:
            yield _difference(subject, "removed")
        else:
            yield from _changed(subject, new[name], old[name])


def _changed(
    subject: str, new: Mapping[str, object], old: Mapping[str, object]
) -> Iterator[Finding]:
    """Yield one finding with all fields that differ, if any."""
    details = []
    for field, value in new.items():
        before = old.get(field)
        if isinstance(value, dict) and isinstance(before, dict):
            nested = _changed(subject, value, before)
            details += [f"{field}: {finding.detail}" for finding in nested]
        elif value != before:
            details.append(f"{field} {before} -> {value}")
    if details:
        yield _difference(subject, "; ".join(details))


def _account_differences(
    new: ClientAccounts | None, old: ClientAccounts | None
) -> Iterator[Finding]:
    if new is None or old is None:
        if new is not None:
            yield _difference("accounts", "keys are checked from now on")
        elif old is not None:
            yield _difference("accounts", "keys are not checked any more")
    new_accounts, old_accounts = (
        {name: asdict(a) for name, a in accounts.by_name.items()} if accounts else {}
        for accounts in (new, old)
    )
    yield from _named_differences("account", new_accounts, old_accounts)
    new_keys, old_keys = (
        accounts.names_by_key if accounts else {} for accounts in (new, old)
    )
    counts = Counter(
        (name, old_keys.get(key))
        for key, name in new_keys.items()
        if old_keys.get(key) != name
    )
    for (name, former), count in sorted(counts.items(), key=repr):
        detail = f"{count} keys moved here from account {former}"
        if former is None:
            detail = f"{count} keys added"
        yield _difference(f"account {name}", detail)
    removed = Counter(name for key, name in old_keys.items() if key not in new_keys)
    for name, count in sorted(removed.items()):
        yield _difference(f"account {name}", f"{count} keys removed")
