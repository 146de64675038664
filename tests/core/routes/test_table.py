"""Tests of the lookup of routes and of the checks of a table."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import routes


def _route(name, prefix, **fields):
    values = {
        'name': name,
        'host': 'a.example',
        'prefix': prefix,
        'kind': routes.Kind.SAFE,
        'targets': (routes.Target('desk'),),
        'timeout_s': 1.0,
    } | fields
    return routes.Route(**values)


def _table(*table_routes, **fields):
    return routes.RouteTable(
        1,
        table_routes,
        (routes.Service('desk'), routes.Service('model')),
        **fields,
    )


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/a/x', 'short'),
        ('/a/b/x', 'long'),
        ('/a/b/', 'long'),
        ('/a/b', 'short'),
        ('/a', None),
        ('/other/', None),
        ('', None),
    ],
)
def test_the_longest_prefix_selects_the_route(path, name):
    table = _table(_route('short', '/a/'), _route('long', '/a/b/'))
    route = table.find('A.example', path)
    assert_that(route and route.name, matchers.Equals(name))


def test_a_route_of_another_host_is_not_found():
    table = _table(_route('one', '/a/'))
    assert_that(table.find('b.example', '/a/x'), matchers.Is(None))


def test_a_key_identifies_its_workspace():
    table = _table(
        workspaces=(
            routes.Workspace('one', ('k1', 'k2')),
            routes.Workspace('two', ('k3',)),
        )
    )
    assert_that(table.workspace_of('k2').name, matchers.Equals('one'))
    assert_that(table.workspace_of('k4'), matchers.Is(None))


def test_a_stream_may_be_repeated_only_if_it_is_resumable():
    stream = _route('s', '/s/', kind=routes.Kind.STREAM)
    assert_that(stream.is_idempotent, matchers.Is(False))
    resumable = attrs.evolve(stream, is_resumable=True)
    assert_that(resumable.is_idempotent, matchers.Is(True))


@pytest.mark.parametrize(
    ('route', 'text'),
    [
        (_route('r', '/r'), 'prefix'),
        (_route('r', '/r/', timeout_s=0.0), 'timeout'),
        (_route('r', '/r/', attempts=0), 'attempts'),
        (_route('r', '/r/', targets=()), 'add up to 0'),
        (_route('r', '/r/', targets=(routes.Target('desk', 0),)), 'add up'),
        (_route('r', '/r/', targets=(routes.Target('none'),)), 'unknown'),
    ],
)
def test_a_problem_names_the_faulty_route_and_field(route, text):
    problems = routes.find_problems(_table(route))
    assert_that(problems, matchers.HasLength(1))
    assert_that(problems[0], matchers.Contains(text))
    assert_that(problems[0], matchers.Contains("'r'"))


def test_two_routes_can_not_share_host_and_prefix():
    problems = routes.find_problems(
        _table(_route('r', '/a/'), _route('s', '/a/'))
    )
    assert_that(problems, matchers.HasLength(1))


def test_two_workspaces_can_not_share_a_key():
    shared = (
        routes.Workspace('one', ('k',)),
        routes.Workspace('two', ('k',)),
    )
    problems = routes.find_problems(_table(workspaces=shared))
    assert_that(problems, matchers.HasLength(1))


def test_a_valid_table_has_no_problems():
    table = _table(_route('r', '/a/'), _route('s', '/a/b/'))
    assert_that(routes.find_problems(table), matchers.Equals([]))
