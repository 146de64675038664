"""Checks of a route table before it is accepted."""

from collections.abc import Iterator
import math

from cassiashift_core.routes import model


def find_problems(table: model.RouteTable) -> list[str]:
    """Return one line per fault of a table; it names the item at fault."""
    problems = list(_service_problems(table))
    problems += _route_problems(table)
    problems += _workspace_problems(table)
    return problems


def _service_problems(table: model.RouteTable) -> Iterator[str]:
    names = set()
    for item in table.services:
        if item.name in names:
            yield f'service {item.name!r} is defined twice'
        names.add(item.name)
        for value in (item.cold_per_s, item.cold_start_s):
            if not math.isfinite(value) or value < 0:
                yield f'service {item.name!r}: {value} is no bound on coldness'


def _route_problems(table: model.RouteTable) -> Iterator[str]:
    route_names: dict[tuple[str, str], str] = {}
    for route in table.routes:
        label = f'route {route.name!r}'
        key = (route.host.lower(), route.prefix)
        if key in route_names:
            yield f'{label}: host and prefix are those of {route_names[key]!r}'
        route_names[key] = route.name
        yield from _check_route(label, route, table)


def _check_route(
    label: str, route: model.Route, table: model.RouteTable
) -> Iterator[str]:
    prefix = route.prefix
    if not prefix.startswith('/') or not prefix.endswith('/'):
        yield f'{label}: prefix {prefix!r} does not begin and end with a slash'
    if route.timeout_s <= 0:
        yield f'{label}: timeout is not above 0'
    if route.attempts < 1:
        yield f'{label}: attempts is below 1'
    if any(target.weight < 0 for target in route.targets):
        yield f'{label}: a weight is below 0'
    if sum(target.weight for target in route.targets) <= 0:
        yield f'{label}: weights add up to 0'
    for target in route.targets:
        if table.service(target.service) is None:
            yield f'{label}: service {target.service!r} is unknown'


def _workspace_problems(table: model.RouteTable) -> Iterator[str]:
    owners: dict[str, str] = {}
    for item in table.workspaces:
        for key in item.keys:
            owner = owners.setdefault(key, item.name)
            if owner != item.name:
                yield f'workspaces {owner!r} and {item.name!r} share a key'
