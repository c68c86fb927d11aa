"""Differences of a configuration from the version in force."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from persimmonwell.core.config_check._findings import (
    Finding,
    entry_path,
    error,
    warning,
)
from persimmonwell.core.forwarding import ForwardingConfig, Tenant


@attrs.frozen
class Difference:
    """Change of one field, in words."""

    path: str
    change: str


def check_replacement(
    new: ForwardingConfig, old: ForwardingConfig
) -> tuple[Finding, ...]:
    """Return what would stop being served, or keep the new version from use."""
    return (
        *_check_version(new, old),
        *_check_removed_routes(new, old),
        *_check_removed_keys(new, old),
    )


def _check_version(new: ForwardingConfig, old: ForwardingConfig) -> Iterator[Finding]:
    if new.version <= old.version:
        reason = f"is not above {old.version}, the version in force: hosts ignore it"
        yield error("version", reason)


def _check_removed_routes(
    new: ForwardingConfig, old: ForwardingConfig
) -> Iterator[Finding]:
    kept = {(route.host.lower(), route.prefix) for route in new.routes}
    removed = {(route.host.lower(), route.prefix): route for route in old.routes}
    for (host, prefix), route in removed.items():
        if (host, prefix) in kept:
            continue
        # A request matches the longest prefix, so that a shorter one may take over.
        longest = max(
            (p for h, p in kept if h == host and prefix.startswith(p)),
            key=len,
            default=None,
        )
        reason = "is removed: its requests are refused"
        if longest is not None:
            reason = f"is removed: its requests go to the route of {longest}"
        path = entry_path("routes", route.name)
        yield warning(path, f"{host}{prefix} {reason}")


def _check_removed_keys(
    new: ForwardingConfig, old: ForwardingConfig
) -> Iterator[Finding]:
    if new.tenants is None:
        if old.tenants is not None:
            yield warning("tenants", "is removed: requests need no key any more")
        return
    if old.tenants is None:
        yield warning("tenants", "is added: requests without a key are refused")
        return
    kept = {key for tenant in new.tenants for key in tenant.keys}
    names = {tenant.name for tenant in new.tenants}
    for tenant in old.tenants:
        lost = sum(key not in kept for key in tenant.keys)
        if lost:
            path = entry_path("tenants", tenant.name, "keys")
            yield warning(path, f"{lost} of its keys are removed: they are refused")
        elif tenant.name not in names:
            yield warning(entry_path("tenants", tenant.name), "is removed")


def list_differences(
    new: ForwardingConfig, old: ForwardingConfig
) -> tuple[Difference, ...]:
    """Return each change between two configurations, without the values of keys."""
    differences = []
    if new.version != old.version:
        differences.append(
            Difference("version", _describe_change(old.version, new.version))
        )
    for field in ("routes", "services", "tenants"):
        differences += _list_entries(field, getattr(new, field), getattr(old, field))
    differences += _list_fields("limits", new.limits, old.limits)
    return tuple(differences)


def _list_entries(section: str, new: Any, old: Any) -> Iterator[Difference]:
    if (new is None) != (old is None):
        yield Difference(section, "is removed" if new is None else "is added")
    new_entries = {entry.name: entry for entry in new or ()}
    old_entries = {entry.name: entry for entry in old or ()}
    for name in [*old_entries, *(n for n in new_entries if n not in old_entries)]:
        path = entry_path(section, name)
        if name not in new_entries:
            yield Difference(path, "is removed")
        elif name not in old_entries:
            yield Difference(path, "is added")
        else:
            yield from _list_fields(path, new_entries[name], old_entries[name])


def _list_fields(path: str, new: Any, old: Any) -> Iterator[Difference]:
    new_values, old_values = _shown_values(new), _shown_values(old)
    for field, value in new_values.items():
        if value != old_values[field]:
            change = _describe_change(old_values[field], value)
            yield Difference(f"{path}.{field}", change)
    if isinstance(new, Tenant) and set(new.keys) != set(old.keys):
        added, removed = set(new.keys) - set(old.keys), set(old.keys) - set(new.keys)
        change = f"{len(added)} added, {len(removed)} removed"
        yield Difference(f"{path}.keys", change)


def _shown_values(entry: Any) -> Mapping[str, Any]:
    """Return the values of an entry, but for its keys, with the unit of times."""
    values = {}
    for field in attrs.fields(type(entry)):
        value = getattr(entry, field.name)
        if field.name == "keys":
            continue
        if field.name.endswith("_s") and value is not None:
            value = f"{value:g} s"
        values[field.name] = value
    return values


def _describe_change(old: Any, new: Any) -> str:
    return f"from {_describe(old)} to {_describe(new)}"


def _describe(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(f"{part.service} ({part.weight:g})" for part in value)
    if attrs.has(type(value)):
        return "another engine"
    return str(getattr(value, "value", value))
