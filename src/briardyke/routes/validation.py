"""Validate a serving configuration and report all errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardyke.routes.configuration import Route, ServingConfiguration


def configuration_errors(configuration: ServingConfiguration) -> list[str]:
    """Return one message per error; the list is empty for a valid configuration."""
    errors = []
    names_by_prefix: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        errors += _route_errors(route, configuration)
        prefix = (route.host, route.path_prefix)
        if prefix in names_by_prefix:
            errors.append(
                f"routes {names_by_prefix[prefix]} and {route.name} share host and prefix"
            )
        names_by_prefix[prefix] = route.name
    for name, value in attrs.asdict(configuration.limits).items():
        if value <= 0:
            errors.append(f"limit {name} must be above 0")
    errors += _account_errors(configuration)
    return errors


def _account_errors(configuration: ServingConfiguration) -> list[str]:
    """Return the errors of the client accounts; no message contains a key."""
    errors = []
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for account in configuration.accounts:
        if not account.name:
            errors.append("a client account has no name")
        elif account.name != account.name.strip() or not account.name.isprintable():
            # It is sent to upstreams in a header, which cannot carry such a value.
            errors.append(f"the name {account.name!r} of a client account is not printable text")
        if account.name in names:
            errors.append(f"two client accounts are named {account.name}")
        names.add(account.name)
        for digest in set(account.key_digests):
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                errors.append(f"client accounts {owner} and {account.name} share a key")
    return errors


def _route_errors(route: Route, configuration: ServingConfiguration) -> list[str]:
    errors = []
    for target in route.targets:
        if target.service not in configuration.services:
            errors.append(f"route {route.name} names unknown service {target.service}")
        if target.weight < 0:
            errors.append(f"route {route.name} has a negative weight")
    if sum(target.weight for target in route.targets) <= 0:
        errors.append(f"the weights of route {route.name} add up to 0")
    if route.timeout_ms <= 0:
        errors.append(f"route {route.name} has no timeout")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        errors.append(f"the prefix of route {route.name} must begin and end with a slash")
    return errors
