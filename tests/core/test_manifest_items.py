"""Tests of the manifest's items and their view."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import manifest

AA, BB, CC = ('a' * 64, 'b' * 64, 'c' * 64)


@pytest.fixture
def content():
    """Return a small manifest."""
    return manifest.Manifest(
        name='small',
        regions=(manifest.Region('zapad', (manifest.DataCentre('nitra'),)),),
        models=(manifest.Model('drafting'),),
        workspaces=(
            manifest.Workspace('a', key_hashes=(AA,)),
            manifest.Workspace('b', key_hashes=(BB,), weight=2.0),
        ),
    )


def test_items_give_the_manifest_again(content):
    items = manifest.to_items(content)
    assert_that(manifest.from_items(items), matchers.Equals(content))


def test_difference_holds_only_what_changed(content):
    old = manifest.to_items(content)
    grown = attrs.evolve(
        content, workspaces=(manifest.Workspace('a', key_hashes=(CC,)),)
    )
    delta = manifest.difference(old, manifest.to_items(grown))
    changed = [key for key, _ in delta.changed]
    assert_that(changed, matchers.Equals(['workspaces/a']))
    assert_that(delta.removed, matchers.Equals(('workspaces/b',)))


def test_view_follows_changes_of_keys(content):
    items = manifest.to_items(content)
    view = manifest.ManifestView(dict(items))
    moved = attrs.evolve(
        content, workspaces=(manifest.Workspace('a', key_hashes=(CC,)),)
    )
    view.apply(manifest.difference(items, manifest.to_items(moved)))
    found = [view.workspace_of_key(item) for item in (AA, BB, CC)]
    wanted = [None, None, moved.workspaces[0]]
    assert_that(found, matchers.Equals(wanted))
    assert_that(view.manifest(), matchers.Equals(moved))


def test_malformed_item_is_named():
    delta = manifest.Delta((('kettles/a', b'{}'),))
    assert_that(delta.problem(), matchers.Contains('kettles/a'))
